"""Whether requests with a team's key are taken, may wait and may start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from toucandoor.core.keys import KeyRing
from toucandoor.core.leases.lapse import LeaseLapse

if TYPE_CHECKING:
    from toucandoor.core.ceilings.policy import PermitPolicy
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.core.requests.models import Request

_CUT_OFF_RETRY_AFTER_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, with the status of its answer."""

    status: int
    reason: str
    step: str
    retry_after_s: float | None = None


NO_LEASE: Final = Refusal(
    503,
    "this data centre is cut off; keyed work is not taken",
    "lease.check",
    _CUT_OFF_RETRY_AFTER_S,
)


class KeyedGate:
    """Checks lease, key, team and permits of keyed requests; it lets all others pass."""

    def __init__(self, permits: PermitPolicy, lease: ServingLease) -> None:
        self._permits = permits
        self._lease = lease
        self._lapse = LeaseLapse(lease)
        self._configuration: Configuration | None = None
        self._keys: KeyRing | None = None

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._configuration = configuration
        self._keys = KeyRing(configuration)

    def check(self, request: Request, now_s: float) -> Refusal | None:
        """Return why a new request is not taken; None when it is."""
        if request.team is None:
            return None
        if not self._lease.holds(now_s):
            return NO_LEASE
        team = self._configuration.teams.get(request.team) if self._configuration else None
        if team is None:
            return Refusal(403, "no such team", "admission.team")
        if not self.is_key_valid(request):
            return Refusal(401, "the key was withdrawn", "admission.key")
        if team.ceiling_running == 0:
            return Refusal(429, "the team's ceiling is 0", "admission.ceiling")
        return None

    def is_key_valid(self, request: Request) -> bool:
        """Return whether the request's key belongs to its team and was not withdrawn."""
        if request.team is None or request.key_digest is None or self._keys is None:
            return True
        return self._keys.is_valid_for(request.key_digest, request.team)

    def may_run(self, request: Request, now_s: float) -> bool:
        """Return whether the request may start now, if there is a slot for it."""
        if request.team is None:
            return True
        if not self.is_key_valid(request):
            return False
        return self._lease.holds(now_s) and self._permits.can_acquire(request.team, now_s)

    def has_lapsed(self, now_s: float) -> bool:
        """Return whether the lease has not held for another ``entry_lease_s``.

        A shorter lapse, as at a new version of the configuration, is no reason to refuse what
        waits. After a longer one nothing says when the lease will be renewed, while the requests'
        deadlines can be an hour away and their callers may find another entry.
        """
        if self._configuration is None:
            return False
        return self._lapse.has_lasted(self._configuration.policy.entry_lease_s, now_s)

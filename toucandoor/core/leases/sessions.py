"""What the entry processes of one VM hold from their controller."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.leases.serving import ServingLease
from toucandoor.ids import ConfigVersion, IncarnationId

if TYPE_CHECKING:
    from toucandoor.core.leases.models import LeaseTimes


@dataclass(slots=True)
class _Session:
    version: ConfigVersion
    until_s: float = -math.inf


class EntrySessions:
    """Leases handed on to the VM's entry process.

    A controller that has just started does not know what its predecessor handed on: it vouches
    for nothing until the entry has connected or a whole entry lease has passed.
    """

    def __init__(self, times: LeaseTimes, started_s: float) -> None:
        self._times = times
        self._longest = times
        self._started_s: float | None = started_s
        self._sessions: dict[IncarnationId, _Session] = {}

    def set_times(self, times: LeaseTimes, longest: LeaseTimes) -> None:
        """Take over the durations to hand on and the longest that were ever handed on."""
        self._times = times
        self._longest = longest

    def connected(self, incarnation: IncarnationId) -> None:
        """Note an entry process; it owns the VM's port, so that earlier ones are gone.

        It may still hold what an earlier controller handed on, until it says its version.
        """
        until_s = -math.inf
        if self._started_s is not None:
            until_s = self._started_s + self._longest.granter_entry_lease_s()
        self._started_s = None
        self._sessions = {i: s for i, s in self._sessions.items() if i >= incarnation}
        self._sessions.setdefault(incarnation, _Session(ConfigVersion(0), until_s))

    def acknowledged(self, incarnation: IncarnationId, version: ConfigVersion) -> None:
        """Note the version that an entry process has in force."""
        session = self._sessions.get(incarnation)
        if session is not None:
            session.version = max(session.version, version)

    def hand_on(
        self,
        incarnation: IncarnationId,
        in_force: ConfigVersion,
        keyed_until_s: float,
        now_s: float,
    ) -> float:
        """Return for how many seconds from its question an entry may start keyed work.

        Args:
            in_force: Version for which the controller's own leases stand.
            keyed_until_s: End of the controller's own leases.
        """
        session = self._sessions.get(incarnation)
        if session is None or session.version < in_force:
            return 0.0
        left_s = min(self._times.entry_lease_s, keyed_until_s - now_s)
        if left_s <= 0:
            return 0.0
        drift_s = self._times.granter_entry_lease_s() - self._times.entry_lease_s
        session.until_s = max(session.until_s, now_s + left_s + drift_s)
        return left_s

    def in_force(self, known: ConfigVersion, now_s: float) -> ConfigVersion:
        """Return the version below which no entry process here can start keyed work.

        An entry process without a lease counts as having the highest version: it gets none before
        it has that in force.
        """
        if self._started_s is not None:
            if now_s < self._started_s + self._longest.granter_entry_lease_s():
                return ConfigVersion(0)
            self._started_s = None
        held = [s.version for s in self._sessions.values() if s.until_s > now_s]
        return min([known, *held])

    def ended(self, incarnation: IncarnationId) -> None:
        """Note that an entry process starts no keyed work any more."""
        self._sessions.pop(incarnation, None)

    def any_held(self, now_s: float) -> bool:
        """Return whether an entry process may still hold a lease from here."""
        if self._started_s is not None:
            return True
        return any(session.until_s > now_s for session in self._sessions.values())


class HandedLease(ServingLease):
    """The entry's side of the lease that its controller hands on.

    Attributes:
        was_held: Whether it was renewed at all since the start.
    """

    def __init__(self) -> None:
        self._until_s = -math.inf
        self._ended = False
        self.was_held = False

    def renew(self, sent_s: float, left_s: float) -> None:
        """Count an answer from the time before its question was sent."""
        if left_s > 0 and not self._ended:
            self._until_s = max(self._until_s, sent_s + left_s)
            self.was_held = True

    def end(self) -> None:
        """Give the lease up for good."""
        self._ended = True
        self._until_s = -math.inf

    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start."""
        return self._until_s

"""Leases that a controller delegates to the entry process of its VM."""

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
    """Controller's record of the leases that it has delegated to entry processes.

    A controller that has just started does not know what its predecessor delegated. Until an entry
    process has connected or a whole entry lease has passed, it reports version 0 as in force.
    """

    def __init__(self, times: LeaseTimes, started_s: float) -> None:
        self._times = times
        self._longest_times = times
        # None once leases of an earlier controller are held in a session or have expired.
        self._started_s: float | None = started_s
        self._sessions: dict[IncarnationId, _Session] = {}

    def set_times(self, times: LeaseTimes, longest: LeaseTimes) -> None:
        """Set the durations to delegate and the longest that were ever delegated."""
        self._times = times
        self._longest_times = longest

    def on_connected(self, incarnation: IncarnationId) -> None:
        """Record an entry process; it has bound the VM's port, so earlier ones have ended.

        Until it acknowledges a version, it may still hold a lease from an earlier controller.
        """
        until_s = -math.inf
        if self._started_s is not None:
            until_s = self._started_s + self._longest_times.granter_entry_lease_s()
        self._started_s = None
        self._sessions = {i: s for i, s in self._sessions.items() if i >= incarnation}
        self._sessions.setdefault(incarnation, _Session(ConfigVersion(0), until_s))

    def on_acknowledged(self, incarnation: IncarnationId, version: ConfigVersion) -> None:
        """Record the version that an entry process has in force."""
        session = self._sessions.get(incarnation)
        if session is not None:
            session.version = max(session.version, version)

    def delegate(
        self,
        incarnation: IncarnationId,
        in_force: ConfigVersion,
        keyed_until_s: float,
        now_s: float,
    ) -> float:
        """Delegate a lease; return its duration in seconds, 0 when refused.

        The entry process counts the duration from before it sent its query.

        Args:
            in_force: Version for which the controller holds its own leases.
            keyed_until_s: Monotonic time at which the controller's own leases expire.
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

        An entry process without a lease does not lower the result: it gets a lease only once it
        has the highest version in force.
        """
        if self._started_s is not None:
            if now_s < self._started_s + self._longest_times.granter_entry_lease_s():
                return ConfigVersion(0)
            self._started_s = None
        held = [s.version for s in self._sessions.values() if s.until_s > now_s]
        return min([known, *held])

    def on_ended(self, incarnation: IncarnationId) -> None:
        """Record that an entry process has stopped starting keyed work."""
        self._sessions.pop(incarnation, None)

    def may_hold_lease(self, now_s: float) -> bool:
        """Return whether an entry process may still hold a lease from this controller."""
        if self._started_s is not None:
            return True
        return any(session.until_s > now_s for session in self._sessions.values())


class DelegatedLease(ServingLease):
    """Lease of an entry process, delegated by its controller.

    Attributes:
        was_renewed: Whether the lease was renewed at least once since the start.
    """

    def __init__(self) -> None:
        self._until_s = -math.inf
        self._ended = False
        self.was_renewed = False

    def renew(self, sent_s: float, left_s: float) -> None:
        """Extend the lease by an answer, counted from before its query was sent."""
        if left_s > 0 and not self._ended:
            self._until_s = max(self._until_s, sent_s + left_s)
            self.was_renewed = True

    def end(self) -> None:
        """End the lease for good; later renewals are ignored."""
        self._ended = True
        self._until_s = -math.inf

    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start."""
        return self._until_s

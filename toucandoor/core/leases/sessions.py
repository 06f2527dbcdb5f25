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
        self.times = times
        self._unknown_until_s = started_s + times.granter_entry_lease_s()
        self._sessions: dict[IncarnationId, _Session] = {}

    def connected(self, incarnation: IncarnationId) -> None:
        """Note an entry process; it owns the VM's port, so that earlier ones are gone."""
        self._unknown_until_s = -math.inf
        self._sessions = {i: s for i, s in self._sessions.items() if i >= incarnation}
        self._sessions.setdefault(incarnation, _Session(ConfigVersion(0)))

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
        left_s = min(self.times.entry_lease_s, keyed_until_s - now_s)
        if left_s <= 0:
            return 0.0
        drift_s = self.times.granter_entry_lease_s() - self.times.entry_lease_s
        session.until_s = max(session.until_s, now_s + left_s + drift_s)
        return left_s

    def in_force(self, known: ConfigVersion, now_s: float) -> ConfigVersion:
        """Return the version below which no entry process here can start keyed work.

        An entry process without a lease counts as having the highest version: it gets none before
        it has that in force.
        """
        if now_s < self._unknown_until_s:
            return ConfigVersion(0)
        held = [s.version for s in self._sessions.values() if s.until_s > now_s]
        return min([known, *held])


class HandedLease(ServingLease):
    """The entry's side of the lease that its controller hands on."""

    def __init__(self) -> None:
        self._until_s = -math.inf

    def renew(self, sent_s: float, left_s: float) -> None:
        """Count an answer from the time before its question was sent."""
        if left_s > 0:
            self._until_s = max(self._until_s, sent_s + left_s)

    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start."""
        return self._until_s

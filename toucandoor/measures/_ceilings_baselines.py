"""Baselines of the ceilings: a static split, and a counter in the store that entries cache."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.policy import PermitPolicy, StaticPermits
from toucandoor.measures._ceilings import PermitWorld

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.ceilings.models import Member
    from toucandoor.core.leases.serving import FixedLease
    from toucandoor.ids import AttemptId, DataCentreId, TeamId

COUNTER_REFRESH_S = 1.0


class BaselineWorld(PermitWorld):
    """The same entries and faults without coordinators."""

    def new_coordinator(
        self,
        data_centre: DataCentreId,
        *,
        keep_former: bool = False,
        former_sees_store: bool = True,
    ) -> None:
        """Start nothing."""

    def report_gone(self) -> None:
        """Tell nobody."""

    def check(self) -> None:
        """Count a team above its ceiling; tasks that ran when it was lowered may end."""
        running = self.running_by_team()
        for team in self.ceilings:
            before = self.in_force.get(team, 0)
            self.in_force[team] = max(self.ceilings[team], min(before, running[team]))
            self.overruns += max(0, running[team] - self.in_force[team])


class StaticWorld(BaselineWorld):
    """Each entry has a fixed part of each ceiling."""

    def make_permits(self, member: Member, lease: FixedLease) -> PermitPolicy:
        """Return the entry's fixed parts."""
        return StaticPermits(self._parts(self.ceilings))

    def set_ceilings(self, ceilings: Mapping[TeamId, int]) -> None:
        """Divide the new ceilings."""
        super().set_ceilings(ceilings)
        for fake in self.entries:
            if isinstance(fake.permits, StaticPermits):
                fake.permits.set_parts(self._parts(ceilings))

    def _parts(self, ceilings: Mapping[TeamId, int]) -> dict[TeamId, int]:
        return {team: ceiling // self.entries_total for team, ceiling in ceilings.items()}


class CounterWorld(BaselineWorld):
    """Entries count running tasks in the store and go by a value read a short time ago."""

    def make_permits(self, member: Member, lease: FixedLease) -> PermitPolicy:
        """Return a view of the shared counter; a new incarnation's count starts at zero."""
        return CachedCounter(self, member)

    def read_counter(self, without: Member) -> Counter[TeamId] | None:
        """Return what all other entries run, None while the store is down."""
        if not self.store.up:
            return None
        counts: Counter[TeamId] = Counter()
        for fake in self.entries:
            permits = fake.permits
            if isinstance(permits, CachedCounter) and permits.me != without:
                counts.update(permits.running)
        return counts


class CachedCounter(PermitPolicy):
    """One entry's view of the shared counter."""

    def __init__(self, world: CounterWorld, me: Member) -> None:
        self.me = me
        self.running: Counter[TeamId] = Counter()
        self._world = world
        self._others: Counter[TeamId] = Counter()
        self._read_s = float("-inf")
        self._team_of: dict[AttemptId, TeamId] = {}

    def can_acquire(self, team: TeamId, now_s: float) -> bool:
        """Return whether the cached sum is below the ceiling."""
        if now_s - self._read_s >= COUNTER_REFRESH_S:
            self._others = self._world.read_counter(self.me) or self._others
            self._read_s = now_s
        return self._others[team] + self.running[team] < self._world.ceilings.get(team, 0)

    def acquire(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Count an attempt."""
        if not self.can_acquire(team, now_s):
            return False
        self.running[team] += 1
        self._team_of[attempt_id] = team
        return True

    def release(self, attempt_id: AttemptId, now_s: float) -> None:
        """Count the attempt as ended."""
        team = self._team_of.pop(attempt_id, None)
        if team is not None:
            self.running[team] -= 1

    def set_waiting(self, team: TeamId, waiting: int, now_s: float) -> None:
        """Ignore demand."""

"""Baselines for ceilings: a static split, and a counter in the store that entries cache."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.policy import PermitPolicy, StaticPermits
from toucandoor.measures._ceilings import PermitSimulation

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.ceilings.models import Member
    from toucandoor.core.leases.serving import FixedLease
    from toucandoor.ids import AttemptId, DataCentreId, TeamId

COUNTER_REFRESH_S = 1.0


class BaselineSimulation(PermitSimulation):
    """The same entries and faults, without coordinators."""

    def start_coordinator(
        self,
        data_centre: DataCentreId,
        *,
        keep_former: bool = False,
        former_reaches_store: bool = True,
    ) -> None:
        """Do nothing: the baselines have no coordinators."""

    def report_expired(self) -> None:
        """Do nothing: the baselines have no coordinators."""

    def check(self) -> None:
        """Count tasks above a ceiling; those that ran when it was lowered may run to their end."""
        running = self.running_by_team()
        for team in self.ceilings:
            before = self.ceilings_in_force.get(team, 0)
            self.ceilings_in_force[team] = max(self.ceilings[team], min(before, running[team]))
            self.overruns += max(0, running[team] - self.ceilings_in_force[team])


class StaticSplitSimulation(BaselineSimulation):
    """Baseline in which each entry has a fixed, equal part of each ceiling."""

    def make_permits(self, member: Member, lease: FixedLease) -> PermitPolicy:
        """Return a policy with the entry's fixed parts."""
        return StaticPermits(self._parts(self.ceilings))

    def set_ceilings(self, ceilings: Mapping[TeamId, int]) -> None:
        """Put new ceilings in force and divide them among the entries."""
        super().set_ceilings(ceilings)
        for fake in self.entries:
            if isinstance(fake.permits, StaticPermits):
                fake.permits.set_parts(self._parts(ceilings))

    def _parts(self, ceilings: Mapping[TeamId, int]) -> dict[TeamId, int]:
        return {team: ceiling // self.entries_total for team, ceiling in ceilings.items()}


class StoreCounterSimulation(BaselineSimulation):
    """Baseline in which entries count running tasks in the store and rely on a cached sum."""

    def make_permits(self, member: Member, lease: FixedLease) -> PermitPolicy:
        """Return a policy over the shared counter; a new incarnation's count starts at zero."""
        return CachedCounter(self, member)

    def read_counter(self, excluded: Member) -> Counter[TeamId] | None:
        """Return the running tasks of all other entries by team, None during a store outage."""
        if not self.store.available:
            return None
        counts: Counter[TeamId] = Counter()
        for fake in self.entries:
            permits = fake.permits
            if isinstance(permits, CachedCounter) and permits.me != excluded:
                counts.update(permits.running)
        return counts


class CachedCounter(PermitPolicy):
    """One entry's permits by the shared counter, read at most once in `COUNTER_REFRESH_S`."""

    def __init__(self, simulation: StoreCounterSimulation, me: Member) -> None:
        self.me = me
        self.running: Counter[TeamId] = Counter()
        self._simulation = simulation
        self._others: Counter[TeamId] = Counter()
        self._read_s = float("-inf")
        self._team_of: dict[AttemptId, TeamId] = {}

    def can_acquire(self, team: TeamId, now_s: float) -> bool:
        """Return whether the cached sum is below the ceiling."""
        if now_s - self._read_s >= COUNTER_REFRESH_S:
            self._others = self._simulation.read_counter(self.me) or self._others
            self._read_s = now_s
        return self._others[team] + self.running[team] < self._simulation.ceilings.get(team, 0)

    def acquire(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Count an attempt as running if the cached sum allows it; return whether it does."""
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
        """Ignore the demand; the counter does not depend on it."""

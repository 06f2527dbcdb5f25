"""Order of waiting steps by rate status, the teams' shares and the time left to jobs."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Final

from toucandoor.core.fair_order.const import USEFUL_OBJECTIVES
from toucandoor.core.fair_order.pool_shares import PoolShares
from toucandoor.core.overload.models import RateStatus
from toucandoor.core.scheduling.step_order import StepOrder, TeamFigures, WaitingStep
from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from toucandoor.core.fair_order.rates import RateStatusTracker
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.progress import JobProgress
    from toucandoor.core.scheduling.queue_order import ExpectedWorkCache
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.core.scheduling.workers import RunKey
    from toucandoor.ids import PoolId, TeamId

_MS: Final = 1000.0


class StepClass(IntEnum):
    """Class of a waiting step; a lower one gets room first."""

    LONG_RUNNING = 0
    WITHIN = 1
    """Within its team's rate, and its job can still meet its objective."""
    BEYOND = 2
    """Beyond its team's rate, and its job can still meet its objective."""
    LATE = 3
    """Its job can't meet its objective any more."""
    USELESS = 4
    """Its job can't be done before its result is of no use."""


_COMPETING: Final = (StepClass.WITHIN, StepClass.BEYOND)
"""Classes in which the teams' shares decide."""


@dataclass(frozen=True, slots=True)
class _Ranked:
    """A waiting step with what decides its place.

    Attributes:
        waiting: The step.
        step_class: Its class.
        status: Rate status of its job.
        rank: Sort key within its class, or within its team where shares decide.
        deadline_rank: Sort key among the steps that get room by deadline; None for other steps.
            Jobs that have missed their latest start after they were begun come first, by the work
            left: what has been spent on them would be lost. Then come jobs by their latest start.
    """

    waiting: WaitingStep
    step_class: StepClass
    status: RateStatus
    rank: tuple[float, ...]
    deadline_rank: tuple[float, float] | None = None

    @property
    def team(self) -> TeamId:
        """Team of the job."""
        return self.waiting.job.spec.team


@dataclass(slots=True)
class _Pass:
    """One pass over the waiting steps of a pool.

    Attributes:
        long_running: Long-running steps.
        late: Steps of jobs that can't meet their objective.
        groups: Steps for which teams compete, by class and priority, then by team.
        by_deadline: Heap of the steps that get room by deadline.
        taken: Numbers of the steps that have had their turn.
    """

    long_running: list[tuple[tuple[float, ...], int, _Ranked]] = field(default_factory=list)
    late: list[tuple[tuple[float, ...], int, _Ranked]] = field(default_factory=list)
    groups: dict[tuple[StepClass, int], dict[TeamId, list[tuple[float, int, _Ranked]]]] = field(
        default_factory=dict
    )
    by_deadline: list[tuple[tuple[float, float], int, _Ranked]] = field(default_factory=list)
    taken: set[int] = field(default_factory=set)

    def add(self, number: int, each: _Ranked) -> None:
        """Add a step.

        Args:
            number: Its place in the given order, which decides between equal steps.
            each: The step.
        """
        if each.deadline_rank is not None:
            self.by_deadline.append((each.deadline_rank, number, each))
        if each.step_class is StepClass.LONG_RUNNING:
            self.long_running.append((each.rank, number, each))
        elif each.step_class not in _COMPETING:
            self.late.append(((float(each.step_class), *each.rank), number, each))
        else:
            key = (each.step_class, each.waiting.job.spec.terms.priority)
            steps = self.groups.setdefault(key, {}).setdefault(each.team, [])
            steps.append((each.rank[0], number, each))

    def sort(self) -> None:
        """Sort what has been added; the steps of a team by descending rank, to be popped."""
        self.long_running.sort()
        self.late.sort()
        heapq.heapify(self.by_deadline)
        for teams in self.groups.values():
            for steps in teams.values():
                steps.sort(reverse=True)

    def next_by_deadline(self) -> _Ranked | None:
        """Return the step with the least time left that has not had its turn, and take it."""
        while self.by_deadline:
            _, number, each = heapq.heappop(self.by_deadline)
            if number not in self.taken:
                self.taken.add(number)
                return each
        return None

    def next_of_team(self, steps: list[tuple[float, int, _Ranked]]) -> _Ranked | None:
        """Return a team's step with the least work left that has not had its turn; take it."""
        while steps:
            _, number, each = steps.pop()
            if number not in self.taken:
                self.taken.add(number)
                return each
        return None


class FairOrder(StepOrder):
    """Gives room by rate status and class, then by the teams' shares of the pool.

    Among jobs that can still meet their objective, those within their team's rate go first; within
    one priority, the team with the least weighted service gets room next, for its job with the
    least work left. Of the room given out during a shortage, a part goes to the jobs within their
    rate with the least time until their latest start, whatever their size and team.

    Args:
        run_times: Expected run times of tasks.
        rates: Rate status of the jobs.
        expected_work: Expected work of the jobs.
    """

    def __init__(
        self,
        run_times: RunTimeModel,
        rates: RateStatusTracker,
        expected_work: ExpectedWorkCache,
    ) -> None:
        self._run_times = run_times
        self._rates = rates
        self._expected_work = expected_work
        self._pools: dict[PoolId, PoolShares] = {}
        self._pool_of_run: dict[RunKey, PoolId] = {}
        self._given_core_s = 0.0
        self._place = 0
        self._current: _Ranked | None = None
        self._by_deadline = False

    def set_configuration(self, configuration: JobConfiguration, now_s: float) -> None:
        """Apply the teams' weights, and drop the service in pools that no longer exist."""
        rates = self._rates.rates()
        for shares in self._pools.values():
            shares.set_weights(rates, now_s)
        used = set(self._pool_of_run.values()) | configuration.pools.keys()
        for pool in self._pools.keys() - used:
            del self._pools[pool]

    def on_job_added(self, job: JobProgress, now_s: float) -> None:
        """Count a job against its team's rate."""
        if not job.state.final:
            self._rates.add_job(job.spec.job_id, job.spec.team, job.spec.accepted_unix_ms)

    def on_job_closed(self, job: JobProgress, now_unix_ms: float) -> None:
        """Forget the rate status of a job."""
        self._rates.remove_job(job.spec.job_id, now_unix_ms)

    def on_attached(self, job: JobProgress, run: Run, now_s: float) -> None:
        """Charge a run to its team from now on; long-running tasks don't compete by share."""
        if run.task.step.long_running:
            return
        pool = run.worker.entry.pool
        self._pool_of_run[run.key] = pool
        self._shares(pool).on_started(job.spec.team, run, now_s)
        self._given_core_s += self._reserved_core_s(job, run)

    def on_detached(self, job: JobProgress, run: Run, now_s: float) -> None:
        """Stop charging a run."""
        pool = self._pool_of_run.pop(run.key, None)
        if pool is None:
            return
        self._shares(pool).on_ended(run, now_s)
        if run.state is RunState.PLANNED:
            # The room of a plan that is taken back in the same pass has not been given.
            self._given_core_s -= self._reserved_core_s(job, run)

    def ordered(
        self, pool: PoolId, waiting: Sequence[WaitingStep], now_s: float, now_unix_ms: float
    ) -> Iterator[WaitingStep]:
        """Yield the steps by `StepClass`; `FairOrder` says in which order within a class."""
        shares = self._shares(pool)
        steps = _Pass()
        for number, each in enumerate(waiting):
            steps.add(number, self._rank(each, now_unix_ms))
        steps.sort()
        shares.begin_pass({team for teams in steps.groups.values() for team in teams}, now_s)
        self._place = 0
        for _, _, long_running in steps.long_running:
            yield self._begin(long_running, by_deadline=False)
        for key in sorted(steps.groups):
            yield from self._by_shares(shares, steps, key, now_s)
        for _, number, late in steps.late:
            if number in steps.taken:
                continue
            yield self._begin(late, by_deadline=False)
            self._end(shares, late, now_s)
        self._current = None

    def run_fields(self) -> dict[str, object]:
        """Return the log fields of a run that is planned for the step that was yielded last."""
        if self._current is None:
            return {}
        return {
            "rate_status": self._current.status.value,
            "order_class": self._current.step_class.name.lower(),
            "place": self._place,
            "by_deadline": self._by_deadline,
        }

    def team_figures(self, now_s: float) -> list[TeamFigures]:
        """Return the figures of each team with a rate, for metrics."""
        service_s: dict[TeamId, float] = {}
        waiting: dict[TeamId, int] = {}
        for shares in self._pools.values():
            shares.end_shortage(now_s)
            for team, seconds in shares.service_s(now_s).items():
                service_s[team] = service_s.get(team, 0.0) + seconds
            for team, count in shares.waiting.items():
                waiting[team] = waiting.get(team, 0) + count
        return [
            TeamFigures(
                team, service_s.get(team, 0.0), waiting.get(team, 0), *self._rates.decided(team)
            )
            for team in self._rates.rates()
        ]

    def _by_shares(
        self, shares: PoolShares, steps: _Pass, key: tuple[StepClass, int], now_s: float
    ) -> Iterator[WaitingStep]:
        """Yield the steps of one class and priority; those due by deadline in between."""
        teams = steps.groups[key]
        lowest = min(shares.position(team, now_s) for team in teams)
        height = shares.level_height()

        def level_of(team: TeamId) -> int:
            if not height:
                return 0
            return int((shares.position(team, now_s) - lowest) / height)

        heap = [(level_of(team), of_team[-1][0], team) for team, of_team in teams.items()]
        heapq.heapify(heap)
        while heap:
            if key[0] is StepClass.WITHIN and shares.deadline_due:
                urgent = steps.next_by_deadline()
                if urgent is None:
                    return
                yield self._begin(urgent, by_deadline=True)
                self._end(shares, urgent, now_s)
                continue
            level, _, team = heapq.heappop(heap)
            current = level_of(team)
            if current > level:
                # A step of the team has had its turn by its deadline meanwhile.
                heapq.heappush(heap, (current, teams[team][-1][0], team))
                continue
            chosen = steps.next_of_team(teams[team])
            if chosen is not None:
                yield self._begin(chosen, by_deadline=False)
                self._end(shares, chosen, now_s)
            if teams[team]:
                heapq.heappush(heap, (level_of(team), teams[team][-1][0], team))

    def _begin(self, each: _Ranked, *, by_deadline: bool) -> WaitingStep:
        self._place += 1
        self._current = each
        self._by_deadline = by_deadline
        self._given_core_s = 0.0
        return each.waiting

    def _end(self, shares: PoolShares, each: _Ranked, now_s: float) -> None:
        """Count what the step that was yielded last has got."""
        if self._given_core_s > 0 and (self._by_deadline or each.step_class is StepClass.WITHIN):
            shares.on_room_given(self._given_core_s, by_deadline=self._by_deadline)
        if any(task.waiting for task in each.waiting.step.tasks):
            shares.on_left_waiting(each.team, now_s)

    def _rank(self, each: WaitingStep, now_unix_ms: float) -> _Ranked:
        job, step = each.job, each.step
        spec = job.spec
        priority = float(spec.terms.priority)
        status = self._rates.status(spec.job_id, now_unix_ms)
        if step.step.long_running:
            by_arrival = (priority, float(spec.accepted_unix_ms))
            return _Ranked(each, StepClass.LONG_RUNNING, status, by_arrival)
        occurrence = step.key.occurrence
        due_ms = spec.first_due_unix_ms + occurrence * spec.interval_ms if spec.timed else 0
        begin_ms = float(due_ms or spec.accepted_unix_ms)
        expected = self._expected_work.of(job, occurrence)
        objective_ms = expected.objective_s * _MS
        left_ms = expected.chain_s * _MS
        latest_start_ms = begin_ms + objective_ms - left_ms
        if now_unix_ms <= latest_start_ms:
            within = status is RateStatus.WITHIN
            step_class = StepClass.WITHIN if within else StepClass.BEYOND
            deadline_rank = (1.0, latest_start_ms) if within else None
            return _Ranked(each, step_class, status, (expected.core_s,), deadline_rank)
        useful_until_ms = begin_ms + USEFUL_OBJECTIVES * objective_ms
        useless = now_unix_ms + left_ms > useful_until_ms
        step_class = StepClass.USELESS if useless else StepClass.LATE
        rank = (float(status is RateStatus.BEYOND), priority, begin_ms)
        deadline_rank = None
        if job.started and status is RateStatus.WITHIN and not useless:
            deadline_rank = (0.0, expected.core_s)
        return _Ranked(each, step_class, status, rank, deadline_rank)

    def _reserved_core_s(self, job: JobProgress, run: Run) -> float:
        step = run.task.step
        run_s = self._run_times.expected_s(step, job.spec.queue)
        return step.reserved.cpu_millicores / _MS * run_s

    def _shares(self, pool: PoolId) -> PoolShares:
        shares = self._pools.get(pool)
        if shares is None:
            shares = self._pools[pool] = PoolShares(pool, self._rates.rates())
        return shares

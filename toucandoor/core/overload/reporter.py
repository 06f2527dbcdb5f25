"""The owner's report on pools and teams whose waiting work can't all be done in time."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources
from toucandoor.core.overload.backlog import WaitingWork, Work, late_wait_s
from toucandoor.core.overload.const import (
    LATE_OBJECTIVES_MAX,
    NUMBER_MAX,
    REPORT_INTERVAL_S,
    STARTED_SHARE_MIN,
)
from toucandoor.core.overload.models import (
    LoadReport,
    PoolReport,
    RateStatus,
    TeamWait,
    WaitCause,
)
from toucandoor.core.overload.rates import AllWithin, RateStatuses
from toucandoor.core.overload.starts import RecentStarts
from toucandoor.core.scheduling.queue_order import (
    objective_s,
    remaining_chain_s,
    remaining_core_s,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from toucandoor.core.jobs.configuration import JobConfiguration, JobQueue
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.ids import JobId, PoolId, TeamId

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0


@dataclass(slots=True)
class _Running:
    """Runs of a team or pool.

    Attributes:
        long_running: Resources of its long-running tasks, unless they are being stopped.
        all: Resources of all its tasks.
        left: Work that the tasks that end by themselves still need.
    """

    long_running: Resources = NO_RESOURCES
    all: Resources = NO_RESOURCES
    left: Work = field(default_factory=Work)


class LoadReporter:
    """Builds the reports of one term of ownership.

    Args:
        state: The schedule; it is only read.
        rates: Rate status of jobs and teams.
    """

    def __init__(self, state: ScheduleState, rates: RateStatuses | None = None) -> None:
        self._state = state
        self._rates = rates or AllWithin()
        self._starts = RecentStarts(state)
        self._sequence = 0
        self._next_s = 0.0
        self._reported = False

    def next_report(self, fleet_capacity: Callable[[], Resources]) -> LoadReport | None:
        """Return the report that is due now; None if none is.

        Args:
            fleet_capacity: Returns the capacity of all VMs, also of those that are switched off;
                nothing while it is unknown.
        """
        state = self._state
        now_s, configuration = state.now_s, state.configuration
        if now_s < self._next_s or configuration is None:
            return None
        self._next_s = now_s + REPORT_INTERVAL_S
        report = self._build(configuration, fleet_capacity())
        if report.empty and not self._reported:
            return None
        if report.empty or not self._reported:
            _LOGGER.info(
                "overload: %s",
                "no pool or team is overloaded any more" if report.empty else "reported",
                extra={"pools": len(report.pools), "teams": len(report.ceiling_wait_s)},
            )
        self._sequence = report.sequence
        self._reported = not report.empty
        return report

    def not_written(self) -> None:
        """Process the failure of writing a report: an empty one has to be written later."""
        self._reported = True

    def _build(self, configuration: JobConfiguration, fleet_capacity: Resources) -> LoadReport:
        state = self._state
        now_s, now_unix_ms = state.now_s, state.now_unix_ms
        pools: list[PoolReport] = []
        waits: list[TeamWait] = []
        beyond: frozenset[TeamId] = frozenset()
        if any(team.jobs_per_s > 0 for team in configuration.teams.values()):
            beyond = self._rates.teams_beyond(now_s)
            by_team, by_pool = self._running(now_s)
            waiting = self._waiting_steps()
            self._starts.begin_report(now_s)
            waits += self._ceiling_waits(configuration, waiting, by_team, beyond)
            if beyond:
                # Without such teams nobody is refused for the load of a pool.
                for pool, steps in waiting.items():
                    found = self._pool_waits(
                        configuration, pool, steps, by_pool, fleet_capacity, beyond
                    )
                    if found is not None:
                        pools.append(found[0])
                        waits += found[1]
        ceiling_wait_s: dict[TeamId, float] = {}
        for wait in waits:
            if wait.cause is WaitCause.CEILING:
                longest_s = max(wait.late_s, ceiling_wait_s.get(wait.team, 0.0))
                ceiling_wait_s[wait.team] = longest_s
        return LoadReport(
            token=int(state.settings.token),
            sequence=self._sequence + 1,
            written_unix_ms=int(now_unix_ms),
            pools=tuple(pools),
            beyond=tuple(sorted(beyond)) if pools or waits else (),
            ceiling_wait_s=ceiling_wait_s,
            waits=tuple(waits),
        )

    # Work that waits and work that runs

    def _running(self, now_s: float) -> tuple[dict[TeamId, _Running], dict[PoolId, _Running]]:
        state = self._state
        by_team: dict[TeamId, _Running] = {}
        by_pool: dict[PoolId, _Running] = {}
        for worker in (*state.workers.values(), *state.former_boots):
            in_pool = by_pool.setdefault(worker.entry.pool, _Running())
            for run in worker.runs.values():
                spec = state.jobs[run.task.key.job_id].spec
                of_team = by_team.setdefault(spec.team, _Running())
                step = run.task.step
                for each, needs in ((of_team, step.needs), (in_pool, step.reserved)):
                    each.all = each.all + needs
                    if not step.long_running:
                        left_s = self._left_s(run, now_s)
                        each.left = each.left + Work.of(needs, left_s)
                    elif not run.stop_requested:
                        each.long_running = each.long_running + needs
        return by_team, by_pool

    def _left_s(self, run: Run, now_s: float) -> float:
        """Return the time that a run still takes at least, by its expected run time.

        At most half of it, which many runs still take on average: a recovered run may have begun
        long before this owner's term.
        """
        if run.stop_requested:
            return 0.0
        queue = self._state.jobs[run.task.key.job_id].spec.queue
        expected_s = self._state.run_times.expected_s(run.task.step, queue)
        return max(0.0, min(expected_s / 2, expected_s - (now_s - run.created_s)))

    def _waiting_steps(self) -> dict[PoolId, list[tuple[JobProgress, StepProgress]]]:
        state = self._state
        found: dict[PoolId, list[tuple[JobProgress, StepProgress]]] = {}
        for key, step in state.waiting_steps.items():
            job = state.jobs[key.job_id]
            if step.step.long_running or job.state.final:
                continue
            if any(task.waiting for task in step.tasks):
                found.setdefault(state.pool_of(job), []).append((job, step))
        return found

    def _waiting_work(
        self, steps: Sequence[tuple[JobProgress, StepProgress]]
    ) -> Iterator[WaitingWork]:
        """Yield the work that waits, by occurrence of a job."""
        state = self._state
        now_unix_ms = state.now_unix_ms
        work: dict[tuple[JobId, int], Work] = {}
        jobs: dict[JobId, JobProgress] = {}
        for job, step in steps:
            key = (job.spec.job_id, step.key.occurrence)
            jobs[job.spec.job_id] = job
            tasks = sum(task.waiting for task in step.tasks)
            run_s = state.run_times.expected_s(step.step, job.spec.queue)
            work[key] = work.get(key, Work()) + Work.of(step.step.needs, tasks * run_s)
        for (job_id, occurrence), waiting in work.items():
            job = jobs[job_id]
            spec = job.spec
            due_unix_ms = spec.first_due_unix_ms + occurrence * spec.interval_ms
            begin_unix_ms = due_unix_ms if spec.timed else spec.accepted_unix_ms
            yield WaitingWork(
                job_id=job_id,
                team=spec.team,
                status=self._rates.of_job(job),
                priority=spec.terms.priority,
                work=waiting,
                core_s=remaining_core_s(job, occurrence, state.run_times),
                age_s=(now_unix_ms - begin_unix_ms) / MS_PER_S,
                chain_s=remaining_chain_s(job, occurrence, state.run_times),
                objective_s=objective_s(spec, state.run_times),
            )

    # Teams at their ceilings

    def _ceiling_waits(
        self,
        configuration: JobConfiguration,
        waiting: dict[PoolId, list[tuple[JobProgress, StepProgress]]],
        by_team: dict[TeamId, _Running],
        beyond: frozenset[TeamId],
    ) -> Iterator[TeamWait]:
        """Yield the waits of teams whose ceilings delay their work.

        Room under a ceiling is given to whichever pool is reviewed first. So only the work that
        waits in the same pool is sure to have its turn before a new job.
        """
        for pool, steps in waiting.items():
            of_teams: dict[TeamId, list[tuple[JobProgress, StepProgress]]] = {}
            for pair in steps:
                of_teams.setdefault(pair[0].spec.team, []).append(pair)
            queues = _queues_of(configuration, pool)
            for team, own in of_teams.items():
                if not queues or not any(self._delayed(*pair) for pair in own):
                    continue
                running = by_team.get(team, _Running())
                room = _room(configuration.teams[team].ceiling, running.long_running)
                if room is None:
                    # No work starts before a long-running job is cancelled, and when that will be
                    # is unknown.
                    continue
                items = [
                    each
                    for each in self._waiting_work(own)
                    if team in beyond or each.status is RateStatus.WITHIN
                ]
                for queue in queues:
                    first = [each for each in items if each.priority <= queue.priority]
                    late_s = late_wait_s(first, running.left, room)
                    least_core_s = STARTED_SHARE_MIN * room.cpu_millicores / MS_PER_S
                    yield from self._team_wait(
                        team, queue, WaitCause.CEILING, late_s, max(1e-6, least_core_s)
                    )

    def _delayed(self, job: JobProgress, step: StepProgress) -> bool:
        """Return whether a step waits because of its team's ceiling."""
        return job.runnable(step) and not self._state.within_ceiling(job, step.step.needs)

    # Overloaded pools

    def _pool_waits(
        self,
        configuration: JobConfiguration,
        pool: PoolId,
        steps: Sequence[tuple[JobProgress, StepProgress]],
        by_pool: dict[PoolId, _Running],
        fleet_capacity: Resources,
        beyond: frozenset[TeamId],
    ) -> tuple[PoolReport, list[TeamWait]] | None:
        """Return the report on a pool, and the waits of teams beyond their rate.

        None if the pool isn't overloaded. The pool is assumed to get all VMs at once that no other
        pool uses.
        """
        queues = _queues_of(configuration, pool)
        running = by_pool.get(pool, _Running())
        others = NO_RESOURCES
        for other, load in by_pool.items():
            others = others + (load.all if other != pool else load.long_running)
        room = _room(fleet_capacity, others)
        if not queues or room is None or not room.cpu_millicores:
            return None
        run_times = self._state.run_times
        waiting_cpu = running.left.cpu + sum(
            sum(task.waiting for task in step.tasks)
            * step.step.needs.cpu_millicores
            * run_times.expected_s(step.step, job.spec.queue)
            for job, step in steps
        )
        if waiting_cpu / room.cpu_millicores <= min(map(_refused_above_s, queues)):
            return None
        items = list(self._waiting_work(steps))
        within = [each for each in items if each.status is RateStatus.WITHIN]
        waits: list[TeamWait] = []
        for queue in queues:
            first = [each for each in items if each.priority <= queue.priority]
            late_s = late_wait_s(first, running.left, room)
            for team in sorted(beyond):
                # Teams within their rates may leave it no start at all.
                waits += self._team_wait(team, queue, WaitCause.POOL, late_s, 0.0)
        if not waits:
            return None
        report = PoolReport(
            pool=pool,
            wait_within_s=round(late_wait_s(within, running.left, room), 3),
            wait_beyond_s=max(wait.late_s for wait in waits),
            drain_cores=round(room.cpu_millicores / MS_PER_S, 1),
        )
        return report, waits

    def _team_wait(
        self, team: TeamId, queue: JobQueue, cause: WaitCause, late_s: float, least_core_s: float
    ) -> Iterator[TeamWait]:
        """Yield the wait in a queue, if jobs may be refused by it.

        Args:
            team: The team.
            queue: The queue.
            cause: Why its work waits.
            late_s: Time until a late job starts.
            least_core_s: Work that must have been started lately to show whose turn it is.
        """
        if late_s <= _refused_above_s(queue):
            return
        started_core_s = self._starts.largest_in_time_core_s(
            team, queue, self._state.now_s, least_core_s
        )
        if started_core_s is not None:
            late_s = round(min(late_s, NUMBER_MAX), 3)
            yield TeamWait(team, queue.name, cause, late_s, round(started_core_s, 3))


def _refused_above_s(queue: JobQueue) -> float:
    """Return the wait up to which no job of a queue is refused, whatever its run time."""
    return LATE_OBJECTIVES_MAX * queue.target_duration_s


def _queues_of(configuration: JobConfiguration, pool: PoolId) -> list[JobQueue]:
    return [queue for queue in configuration.queues.values() if queue.pool == pool]


def _room(limit: Resources, used: Resources) -> Resources | None:
    """Return what a limit leaves; None if it leaves nothing of a limited resource.

    A resource with the limit 0 is not limited.
    """
    room = limit - used
    pairs = (
        (limit.cpu_millicores, room.cpu_millicores),
        (limit.memory_mb, room.memory_mb),
        (limit.gpus, room.gpus),
    )
    if any(most > 0 >= left for most, left in pairs):
        return None
    return Resources(*(left if most > 0 else 0 for most, left in pairs))

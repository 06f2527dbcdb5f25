"""The owner's report on pools and teams whose waiting work can't all be done in time."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources
from toucandoor.core.overload.backlog import late_wait_s
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
    WithinWait,
)
from toucandoor.core.overload.rates import AllWithin, RateStatuses
from toucandoor.core.overload.schedule_load import Running, ScheduleLoad, WaitingStep
from toucandoor.core.overload.starts import RecentStarts
from toucandoor.core.overload.within_waits import WithinWaits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from toucandoor.core.jobs.configuration import JobConfiguration, JobQueue
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import PoolId, TeamId

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0


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
        self._within = WithinWaits(state, self._rates)
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
                extra={
                    "pools": len(report.pools),
                    "pools_within": len(report.within),
                    "teams": len(report.ceiling_wait_s),
                },
            )
        self._sequence = report.sequence
        self._reported = not report.empty
        return report

    def not_written(self) -> None:
        """Process the failure of writing a report: an empty one has to be written later."""
        self._reported = True

    def _build(self, configuration: JobConfiguration, fleet_capacity: Resources) -> LoadReport:
        state = self._state
        now_s = state.now_s
        pools: list[PoolReport] = []
        waits: list[TeamWait] = []
        within: list[WithinWait] = []
        beyond: frozenset[TeamId] = frozenset()
        if any(team.jobs_per_s > 0 for team in configuration.teams.values()):
            beyond = self._rates.teams_beyond(now_s)
            load = ScheduleLoad(state, self._rates)
            self._starts.begin_report(now_s)
            waits += self._ceiling_waits(configuration, load, beyond)
            self._within.begin_report(load)
            for pool in load.waiting:
                queues = _queues_of(configuration, pool)
                room = _room_of_pool(load, pool, fleet_capacity)
                if not queues or room is None or not room.cpu_millicores:
                    continue
                if beyond:
                    found = self._pool_waits(load, pool, queues, room, beyond)
                    if found is not None:
                        pools.append(found[0])
                        waits += found[1]
                reported = self._within.in_pool(load, pool, queues, room)
                if reported is not None:
                    within.append(reported)
        ceiling_wait_s: dict[TeamId, float] = {}
        for wait in waits:
            if wait.cause is WaitCause.CEILING:
                longest_s = max(wait.late_s, ceiling_wait_s.get(wait.team, 0.0))
                ceiling_wait_s[wait.team] = longest_s
        report = LoadReport(
            token=int(state.settings.token),
            sequence=self._sequence + 1,
            written_unix_ms=int(state.now_unix_ms),
            pools=tuple(pools),
            beyond=tuple(sorted(beyond)) if pools or waits else (),
            ceiling_wait_s=ceiling_wait_s,
            waits=tuple(waits),
            within=tuple(within),
            configuration=configuration.version,
        )
        identities = state.identities
        if not identities.renamed:
            return report
        return report.with_names(identities.queue_name, identities.team_name)

    # Teams at their ceilings

    def _ceiling_waits(
        self,
        configuration: JobConfiguration,
        load: ScheduleLoad,
        beyond: frozenset[TeamId],
    ) -> Iterator[TeamWait]:
        """Yield the waits of teams whose ceilings delay their work.

        Room under a ceiling is given to whichever pool is reviewed first. So only the work that
        waits in the same pool is sure to have its turn before a new job.
        """
        for pool, steps in load.waiting.items():
            of_teams: dict[TeamId, list[WaitingStep]] = {}
            for waiting in steps:
                of_teams.setdefault(waiting.job.spec.team, []).append(waiting)
            queues = _queues_of(configuration, pool)
            for team, own in of_teams.items():
                if not queues or not any(map(self._delayed, own)):
                    continue
                running = load.by_team.get(team, Running())
                room = _room(configuration.teams[team].ceiling, running.long_running)
                if room is None:
                    # No work starts before a long-running job is cancelled, and when that will be
                    # is unknown.
                    continue
                items = [
                    each
                    for each in load.work_of(own)
                    if team in beyond or each.status is RateStatus.WITHIN
                ]
                for queue in queues:
                    first = [each for each in items if each.priority <= queue.priority]
                    late_s = late_wait_s(first, running.left, room)
                    least_core_s = STARTED_SHARE_MIN * room.cpu_millicores / MS_PER_S
                    yield from self._team_wait(
                        team, queue, WaitCause.CEILING, late_s, max(1e-6, least_core_s)
                    )

    def _delayed(self, waiting: WaitingStep) -> bool:
        """Return whether a step waits because of its team's ceiling."""
        job, step = waiting.job, waiting.step
        return job.runnable(step) and not self._state.within_ceiling(job, step.step.needs)

    # Overloaded pools

    def _pool_waits(
        self,
        load: ScheduleLoad,
        pool: PoolId,
        queues: Sequence[JobQueue],
        room: Resources,
        beyond: frozenset[TeamId],
    ) -> tuple[PoolReport, list[TeamWait]] | None:
        """Return the report on a pool, and the waits of teams beyond their rate.

        None if the pool isn't overloaded.
        """
        steps = load.waiting[pool]
        running = load.by_pool.get(pool, Running())
        waiting_cpu = running.left.cpu + sum(waiting.work.cpu for waiting in steps)
        if waiting_cpu / room.cpu_millicores <= min(map(_refused_above_s, queues)):
            return None
        items = load.work_of(steps)
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


def _room_of_pool(load: ScheduleLoad, pool: PoolId, fleet_capacity: Resources) -> Resources | None:
    """Return what a pool has once it gets all VMs that no other pool uses; None for nothing."""
    others = NO_RESOURCES
    for other, running in load.by_pool.items():
        others = others + (running.all if other != pool else running.long_running)
    return _room(fleet_capacity, others)


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

"""Pools whose jobs within their teams' rates can't all be done, as the owner reports them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.overload.const import (
    ARRIVALS_WINDOW_S,
    LOST_S_LEFT,
    LOST_S_MIN,
    SHARE_WINDOW_S,
)
from toucandoor.core.overload.models import RateStatus, WithinWait
from toucandoor.core.overload.pool_load import (
    Arrival,
    PoolArrivals,
    lost_s,
    queue_waits,
    share_left_core_s,
)
from toucandoor.core.scheduling.queue_order import job_core_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.jobs.configuration import JobQueue
    from toucandoor.core.jobs.models import Resources
    from toucandoor.core.overload.rates import RateStatuses
    from toucandoor.core.overload.schedule_load import ScheduleLoad
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import PoolId

MS_PER_S = 1000.0


class WithinWaits:
    """Records which jobs were accepted, and finds the pools that have too many.

    Work beyond the rates goes after all of these jobs, so that it isn't counted.

    Args:
        state: The schedule; it is only read.
        rates: Rate status of jobs and teams.
    """

    def __init__(self, state: ScheduleState, rates: RateStatuses) -> None:
        self._state = state
        self._rates = rates
        self._began_s = self._recorded_s = state.now_s
        self._arrivals: dict[PoolId, PoolArrivals] = {}

    def begin_report(self, load: ScheduleLoad) -> None:
        """Record the jobs that were accepted since the last report.

        Args:
            load: Waiting work of the schedule.
        """
        state = self._state
        now_s, now_unix_ms, since_s = state.now_s, state.now_unix_ms, self._recorded_s
        self._recorded_s = now_s
        configuration = state.configuration
        pools = () if configuration is None else configuration.pools
        for pool in [pool for pool in self._arrivals if pool not in pools]:
            del self._arrivals[pool]
        for pool in pools:
            recorded = self._arrivals.setdefault(pool, PoolArrivals(since_s))
            recorded.overloaded = recorded.overloaded and pool in load.waiting
        # Ended jobs stay in the schedule for longer than the time between two reports.
        added: list[tuple[PoolId, Arrival]] = []
        for job in reversed(state.jobs.values()):
            if job.arrived_s <= since_s:
                break
            spec = job.spec
            if spec.timed or spec.long_running or self._rates.of_job(job) is RateStatus.BEYOND:
                continue
            # A new owner reads the open jobs of the former one, which were accepted earlier.
            age_s = max(0.0, (now_unix_ms - spec.accepted_unix_ms) / MS_PER_S)
            if now_s - age_s <= self._began_s:
                continue
            core_s = job_core_ms(spec, state.run_times) / MS_PER_S
            arrival = Arrival(now_s - age_s, spec.team, spec.terms.priority, core_s)
            added.append((state.pool_of(job), arrival))
        for pool, arrival in reversed(added):
            arrivals = self._arrivals.get(pool)
            if arrivals is not None:
                arrivals.jobs.append(arrival)

    def in_pool(
        self, load: ScheduleLoad, pool: PoolId, queues: Sequence[JobQueue], room: Resources
    ) -> WithinWait | None:
        """Return the report on a pool; None while all jobs that it accepts can be done.

        Args:
            load: Waiting work of the schedule.
            pool: The pool.
            queues: Its queues.
            room: Capacity that it may have.
        """
        recorded = self._arrivals.get(pool)
        if recorded is None:
            return None
        state = self._state
        recorded.drop_old(state.now_s)
        cores = room.cpu_millicores / MS_PER_S
        waiting_cpu = sum(waiting.work.cpu for waiting in load.waiting[pool])
        if not recorded.overloaded and waiting_cpu < LOST_S_MIN * room.cpu_millicores:
            return None
        steps = [
            waiting
            for waiting in load.waiting[pool]
            if waiting.job.runnable(waiting.step)
            and state.within_ceiling(waiting.job, waiting.step.step.needs)
        ]
        items = [each for each in load.work_of(steps) if each.status is RateStatus.WITHIN]
        arrivals, window_s = recorded.within(state.now_s, ARRIVALS_WINDOW_S)
        arrivals = self._below_ceilings(arrivals, window_s)
        all_s, recent_s = lost_s(items, arrivals, window_s, cores)
        recorded.overloaded = (
            all_s >= LOST_S_LEFT if recorded.overloaded else recent_s >= LOST_S_MIN
        )
        if not recorded.overloaded:
            return None
        lately, lately_s = recorded.within(state.now_s, SHARE_WINDOW_S)
        teams = share_left_core_s(items, lately, state.rates.rates(), cores * lately_s)
        waits = queue_waits(items, arrivals, window_s, cores, queues)
        return WithinWait(pool, teams, round(len(arrivals) / window_s, 3), tuple(waits))

    def _below_ceilings(self, arrivals: Sequence[Arrival], window_s: float) -> list[Arrival]:
        """Return the arrivals, without what is above the ceiling of their team."""
        left: dict[str, float] = {}
        found: list[Arrival] = []
        for arrival in arrivals:
            ceiling = self._state.ceiling_of(arrival.team)
            if ceiling is not None and ceiling.cpu_millicores > 0:
                most = ceiling.cpu_millicores / MS_PER_S * window_s
                room = left.get(arrival.team, most)
                left[arrival.team] = room - arrival.core_s
                if room < arrival.core_s:
                    continue
            found.append(arrival)
        return found

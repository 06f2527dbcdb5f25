"""Counts the load of the pools: capacity in use, and demand of waiting and arriving tasks."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from toucandoor.core.failure_domains.models import SLOW_RATIO, USUAL_SPEED
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.arrivals import Arrival
from toucandoor.core.scheduling.ceiling_demand import CeilingDemand
from toucandoor.core.scheduling.placement import allowed_workers, room_for_step
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.core.scheduling.queue_order import remaining_chain_s
from toucandoor.core.scheduling.relocation import relocated_runs

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import Resources, StepKey
    from toucandoor.core.scheduling.planned_stops import PlannedStops
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import JobId, PoolId


class PoolLoads:
    """Loads of all pools of a schedule.

    Args:
        state: The schedule.
        planned_stops: Tells which runs stay on servers that leave, as no other has room for them.
    """

    def __init__(self, state: ScheduleState, planned_stops: PlannedStops) -> None:
        self._state = state
        self._planned_stops = planned_stops
        self._arrivals: deque[JobProgress] = deque()

    def add_arrival(self, job: JobProgress) -> None:
        """Count a job that has just arrived as demand, unless it is due later or never ends."""
        if not job.spec.timed and not job.spec.long_running:
            self._arrivals.append(job)

    def current(self, lead_s: float = 0.0) -> dict[PoolId, PoolLoad]:
        """Return the load of each pool.

        Of the waiting tasks and arrivals of a team, only what fits under its ceiling at the end of
        the lead time counts: VMs would not help the others. Jobs with a run on a slow server are
        expected to take longer by its slowness.

        Args:
            lead_s: Lead time of `PoolLoad.later` and `PoolLoad.arriving_later`, in seconds.
        """
        state = self._state
        now_s = state.now_s
        loads: dict[PoolId, PoolLoad] = {}
        chains_s: dict[tuple[JobId, int], float] = {}
        waiting: list[tuple[JobProgress, StepProgress]] = []
        demand = CeilingDemand(state.ceiling_of, state.used_by)

        def load_of(pool: PoolId) -> PoolLoad:
            return loads.setdefault(pool, PoolLoad(pool))

        leaving: Counter[StepKey] = Counter()
        for worker in state.workers.values():
            if worker.leaves:
                leaving.update(
                    run.task.key.step_key
                    for run in relocated_runs(worker)
                    if not run.is_copy and not run.task.done
                )
            if not worker.usable(now_s):
                continue
            load = load_of(worker.entry.pool)
            slowness = state.failure_domains.slowness(worker)
            slow = slowness > SLOW_RATIO
            load.add_worker(worker, slow=slow)
            for run in worker.runs.values():
                if run.is_copy:
                    continue  # uses what others leave; no VM is lent for it
                key = (run.task.key.job_id, run.task.key.occurrence)
                job = state.jobs[key[0]]
                if key not in chains_s:
                    chains_s[key] = remaining_chain_s(job, key[1], state.run_times)
                later = chains_s[key] * (slowness if slow else USUAL_SPEED) > lead_s
                load.add_run(run, later=later, slow=slow)
                if not later and not run.task.step.long_running:
                    demand.add_ending(job.spec.team, run.task.step.needs)
        for job_id in state.open_jobs:
            job = state.jobs[job_id]
            if job.state.final:
                continue
            load_of(state.pool_of(job))
            for step in job.steps.values():
                if step.remaining and job.runnable(step):
                    waiting.append((job, step))
                    tasks = sum(task.waiting for task in step.tasks)
                    demand.add_waiting(job.spec.team, step.step.needs.times(tasks))
        ratios = demand.waiting_ratios()
        for job, step in waiting:
            ratio = ratios.get(job.spec.team, 1.0)
            count = leaving[step.key]
            room = self._room_for_lasting(job, step, now_s, count)
            load_of(state.pool_of(job)).add_waiting(step, room=room, ratio=ratio, leaving=count)
        for run in self._planned_stops.without_room:
            job = state.jobs[run.task.key.job_id]
            step = state.step_of(run.task)
            if run.key in run.worker.runs and self._more_servers_help(job, step):
                load_of(state.pool_of(job)).add_without_room(run)
        self._add_arrivals(load_of, demand, now_s, lead_s)
        return loads

    def _more_servers_help(self, job: JobProgress, step: StepProgress) -> bool:
        """Return whether another server in its pool may have room for a task of a step.

        A label or the adviser may be in the way, or the task may be too large for any server.
        """
        queue = self._state.queue_of(job)
        if queue is None or queue.adviser is not None or step.step.required_label:
            return False
        workers = self._state.workers.values()
        return any(
            each.entry.pool == queue.pool and step.step.reserved.fits_in(each.entry.capacity)
            for each in workers
        )

    def _room_for_lasting(
        self, job: JobProgress, step: StepProgress, now_s: float, leaving: int
    ) -> int | None:
        """Return how many tasks of a long-running step with a limit per server still fit.

        None for other steps, whose servers become free again, and where more servers might not
        help, such as because of the team's ceiling. Room that is held for some of them counts.
        """
        state, needs = self._state, step.step.needs
        if not step.step.long_running or not step.step.per_worker_max:
            return None
        waiting = sum(task.waiting for task in step.tasks)
        if not waiting + leaving or not state.within_ceiling(job, needs.times(waiting)):
            return None
        if not self._more_servers_help(job, step):
            return None
        pool = state.pool_of(job)
        workers = [each for each in state.workers.values() if each.entry.pool == pool]
        held = sum(run in state.held_room for task in step.tasks for run in task.runs)
        return held + room_for_step(allowed_workers(workers, step, now_s), step)

    def _add_arrivals(
        self,
        load_of: Callable[[PoolId], PoolLoad],
        demand: CeilingDemand,
        now_s: float,
        lead_s: float,
    ) -> None:
        """Add the jobs that have arrived within the window to the loads of their pools."""
        window_s = const.ARRIVAL_WINDOW_S
        while self._arrivals and self._arrivals[0].arrived_s < now_s - window_s:
            self._arrivals.popleft()
        state = self._state
        # Estimated now and not on arrival, so that what has been learned meanwhile counts.
        arrivals: list[tuple[Arrival, Resources]] = []
        for job in self._arrivals:
            pool = state.pool_of(job)
            arrival = Arrival.of_job(job.arrived_s, pool, job.spec, state.run_times)
            later = arrival.needed_after(lead_s).times(1 / window_s)
            arrivals.append((arrival, later))
            demand.add_arriving(arrival.team, arrival.work.times(1 / window_s), later)
        ratios = demand.arriving_ratios()
        for arrival, later in arrivals:
            load = load_of(arrival.pool)
            ratio, ratio_later = ratios.get(arrival.team, (1.0, 1.0))
            load.arriving_cpu_millicores += arrival.work.cpu_millicores * ratio / window_s
            if ratio_later < 1.0:
                later = later.times(ratio_later)
            load.arriving_later = load.arriving_later + later

"""Assigns waiting tasks to backend servers, in the order of the queue policy."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.advice import AdviceRequests
from toucandoor.core.scheduling.lookups import run_fields
from toucandoor.core.scheduling.placement import (
    ServerChoice,
    matching_workers,
    room_for_step,
    tasks_by_worker,
    usable_workers,
)
from toucandoor.core.scheduling.record_budget import may_plan, run_bytes
from toucandoor.core.scheduling.run_gap_models import WaitCause
from toucandoor.core.scheduling.state import MS_PER_S
from toucandoor.core.scheduling.step_order import WaitingStep
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import RunKey

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.jobs.models import Resources, StepKey
    from toucandoor.core.scheduling.orders import Order
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress, Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.workers import Advice
    from toucandoor.ids import PoolId, WorkerId

_LOGGER = logging.getLogger(__name__)

REVIEW_INTERVAL_S: Final = 0.25
"""Time after which a pool is reviewed though no event has changed it: pauses of its backend servers
end, and jobs miss their objectives."""
SEARCH_INTERVAL_S: Final = 0.05
"""Time after which waiting steps are searched for pools that are due for a review, though no pool
has changed. Under overload thousands of steps wait, and most events change no pool."""


class Placer:
    """Plans runs for waiting tasks."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._reviewed_s: dict[PoolId, float] = {}
        self._searched_s = float("-inf")
        self._advice = AdviceRequests()

    def open_occurrences(self) -> None:
        """Create the steps of occurrences that have become due, and close jobs that have ended."""
        state = self._state
        now_ms = state.now_unix_ms
        for job_id in list(state.closing_jobs):
            job = state.jobs[job_id]
            if not job.has_runs:
                del state.closing_jobs[job_id]
                state.open_jobs.discard(job_id)
                state.order.on_job_closed(job, now_ms)
                state.expected_work.forget(job_id)
        for job_id in list(state.unopened_jobs):
            job = state.jobs[job_id]
            self._open(job, now_ms)
            if job.opened == job.spec.occurrences:
                del state.unopened_jobs[job_id]

    def _open(self, job: JobProgress, now_ms: float) -> None:
        spec = job.spec
        while job.opened < spec.occurrences and job.may_open():
            due_ms = spec.first_due_unix_ms + job.opened * spec.interval_ms
            if spec.timed and now_ms < due_ms + const.DUE_TIME_MARGIN_S * MS_PER_S:
                return
            for step in job.open_occurrence(job.opened):
                self._state.mark_step_waiting(job, step)
                self._state.run_gaps.on_opened(job, step)
            job.opened += 1

    def place(self) -> list[Order]:
        """Plan runs in all pools in which something may have changed.

        Returns:
            Requests to the queues' advisers; planned runs are added to the schedule's state.
        """
        state = self._state
        orders: list[Order] = []
        if state.configuration is None:
            return orders
        now_s = state.now_s
        if not state.changed_pools and now_s - self._searched_s < SEARCH_INTERVAL_S:
            return orders
        self._searched_s = now_s
        queues = state.configuration.queues
        unchanged = {
            pool
            for pool, reviewed_s in self._reviewed_s.items()
            if pool not in state.changed_pools and now_s - reviewed_s < REVIEW_INTERVAL_S
        }
        waiting: dict[PoolId, list[WaitingStep]] = {}
        for key, step in list(state.waiting_steps.items()):
            job = state.jobs[key.job_id]
            queue = queues.get(job.spec.queue)
            pool = job.spec.terms.pool if queue is None else queue.pool
            if pool in unchanged:
                continue
            if not step.remaining or not any(task.waiting for task in step.tasks):
                del state.waiting_steps[key]
            elif job.runnable(step):
                waiting.setdefault(pool, []).append(WaitingStep(job, step))
        state.changed_pools.clear()
        if waiting:
            self._place_in_pools(waiting, now_s, orders)
        return orders

    def _place_in_pools(
        self,
        waiting: dict[PoolId, list[WaitingStep]],
        now_s: float,
        orders: list[Order],
    ) -> None:
        workers = usable_workers(self._state, now_s, waiting)
        now_ms = self._state.now_unix_ms
        for pool, steps in waiting.items():
            self._reviewed_s[pool] = now_s
            usable = workers.get(pool, [])
            # What no server of the pool has room for; during a pass, room only becomes less.
            without_room: list[Resources] = []
            for each in self._state.order.ordered(pool, steps, now_s, now_ms):
                each.step.wait = self._place_step(
                    each.job, each.step, usable, without_room, now_s, orders
                )

    def _place_step(
        self,
        job: JobProgress,
        step: StepProgress,
        workers: list[WorkerView],
        without_room: list[Resources],
        now_s: float,
        orders: list[Order],
    ) -> WaitCause | None:
        """Plan runs for the waiting tasks of a step; return what the others wait for."""
        waiting = (task for task in step.tasks if task.waiting and now_s >= task.not_before_s)
        first = next(waiting, None)
        if first is None:
            return WaitCause.DELAYED
        value_bytes_max = self._state.settings.value_bytes_max
        if not step.step.gang and not may_plan(job, first, value_bytes_max):
            return WaitCause.RECORD_SIZE
        if not self._advice_ready(job, step, workers, now_s, orders):
            return WaitCause.ADVISER
        reserved = step.step.reserved
        if any(less.fits_in(reserved) for less in without_room):
            return WaitCause.NO_ROOM
        allowed = matching_workers(workers, step)
        if not allowed:
            self._ask_for_others(job, step, workers, now_s, orders)
            return WaitCause.NO_MATCH if workers else WaitCause.NO_SERVER
        tasks = [task for task in step.tasks if task.waiting and now_s >= task.not_before_s]
        on_worker = tasks_by_worker(step)
        servers = ServerChoice(
            allowed, step, on_worker, now_s, self._state.rack_spread, self._state.task_grouping
        )
        if step.step.gang:
            fits = room_for_step(allowed, step) >= len(step.tasks)
            wait = self._place_gang(job, step, tasks, servers, on_worker, now_s, fits=fits)
            if any(task.waiting for task in tasks):
                self._ask_for_others(job, step, workers, now_s, orders)
            return wait
        wait = None
        for task in tasks:
            if not self._state.within_ceiling(job, step.step.needs):
                return WaitCause.CEILING
            if not may_plan(job, task, value_bytes_max):
                return WaitCause.RECORD_SIZE
            chosen = servers.choose(task)
            if chosen is None:
                if task.isolated:
                    wait = WaitCause.APART
                    continue  # others may fit where it may not run
                if len(allowed) == len(workers) and not step.step.per_worker_max:
                    without_room.append(reserved)
                self._ask_for_others(job, step, workers, now_s, orders)
                return self._wait_for_room(step, allowed)
            self.plan_run(job, task, chosen, task.attempt + 1, now_s)
            _count_task(on_worker, chosen)
        return wait

    def _wait_for_room(self, step: StepProgress, allowed: Sequence[WorkerView]) -> WaitCause:
        """Return what a task waits for that no server has room for."""
        reserved = step.step.reserved
        if step.step.per_worker_max and any(reserved.fits_in(each.free) for each in allowed):
            return WaitCause.PER_SERVER_LIMIT
        return WaitCause.NO_ROOM

    def _place_gang(
        self,
        job: JobProgress,
        step: StepProgress,
        tasks: list[Task],
        servers: ServerChoice,
        on_worker: dict[WorkerId, int],
        now_s: float,
        *,
        fits: bool,
    ) -> WaitCause | None:
        """Place all tasks of a gang, or none; return what they wait for.

        Args:
            job: Job of the gang.
            step: Its step.
            tasks: Its tasks that may run now.
            servers: Chooses their servers.
            on_worker: Number of tasks of the step on each server; updated.
            now_s: The monotonic time.
            fits: Whether the servers have room for all its tasks together.
        """
        if len(tasks) < len(step.tasks):
            return WaitCause.STOP
        if not self._state.within_ceiling(job, step.step.needs.times(len(tasks))):
            return WaitCause.CEILING
        if not fits:
            # Known before any run is planned, as planning changes the job and causes a write.
            return WaitCause.NO_ROOM
        attempt = max(task.attempt for task in tasks) + 1
        checkpoint = max(task.checkpoint for task in tasks)
        planned: list[Run] = []
        for task in tasks:
            chosen = servers.choose(task)
            if chosen is None:
                _LOGGER.error("runs: a gang has less room than counted", extra={"job": task.key[0]})
                for run in planned:
                    self._state.drop_plan(run)
                return WaitCause.NO_ROOM
            task.checkpoint = checkpoint
            planned.append(self.plan_run(job, task, chosen, attempt, now_s))
            _count_task(on_worker, chosen)
        return None

    def plan_run(
        self, job: JobProgress, task: Task, worker: WorkerView, attempt: int, now_s: float
    ) -> Run:
        """Plan a run; it is started once its record is in the store.

        Args:
            job: Job of the task.
            task: The task.
            worker: The backend server.
            attempt: Attempt number, which no run of the task has had.
            now_s: The monotonic time.
        """
        state = self._state
        run = Run(RunKey(task.key, attempt), task, worker, RunState.PLANNED, now_s)
        run.checkpoint = task.checkpoint
        task.attempt = attempt
        job.record_bytes += run_bytes(run)
        state.attach(run)
        state.planned.setdefault(job.spec.job_id, []).append(run)
        state.mark_changed(job)
        if state.activity.record_planned(now_s):
            _LOGGER.info(
                "owner: the first run of the term is planned",
                extra={"after_s": round(now_s - state.started_s, 3)},
            )
        _LOGGER.info(
            "runs: planned",
            extra=run_fields(run)
            | state.order.run_fields()
            | {
                "queue": job.spec.queue,
                "pool": worker.entry.pool,
                "free_cpu": worker.free.cpu_millicores,
                "listing_age_s": round(now_s - worker.clock_read_s, 3),
                "job_age_s": round(now_s - job.arrived_s, 3),
            },
        )
        return run

    def advice_answered(self, key: StepKey, advice: Advice | None) -> None:
        """Process the adviser's answer for a step; None if it did not answer."""
        state = self._state
        self._advice.ended(key, answered=advice is not None)
        job = state.jobs.get(key.job_id)
        if job is None or job.state.final:
            return
        step = job.step(key.occurrence, key.step)
        self._advice.apply(step, advice, state.now_s)
        state.changed_pools.add(state.pool_of(job))
        if advice is not None:
            state.mark_step_waiting(job, step)

    def _advice_ready(
        self,
        job: JobProgress,
        step: StepProgress,
        workers: list[WorkerView],
        now_s: float,
        orders: list[Order],
    ) -> bool:
        """Return whether a step may be placed now; ask the queue's adviser if needed."""
        queue = self._state.queue_of(job)
        if queue is None or queue.adviser is None:
            return True
        step.forget_expired_tickets(now_s)
        if step.advice is not None:
            return True
        self._ask_for_others(job, step, workers, now_s, orders)
        return False

    def _ask_for_others(
        self,
        job: JobProgress,
        step: StepProgress,
        workers: list[WorkerView],
        now_s: float,
        orders: list[Order],
    ) -> None:
        """Ask the queue's adviser, if there is one, for servers that it has not been asked for."""
        queue = self._state.queue_of(job)
        if queue is None or queue.adviser is None:
            return
        needs = step.step.reserved
        order = self._advice.request(step, queue.adviser, workers, needs, now_s)
        if order is not None:
            orders.append(order)


def _count_task(on_worker: dict[WorkerId, int], worker: WorkerView) -> None:
    worker_id = worker.entry.worker_id
    on_worker[worker_id] = on_worker.get(worker_id, 0) + 1

"""Choice of a backend server for a task."""

from __future__ import annotations

from collections import deque
from itertools import takewhile
from operator import itemgetter
from typing import TYPE_CHECKING

from toucandoor.core.failure_domains.models import SLOW_RATIO
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.pacing import latency_sensitive_runs

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Sequence

    from toucandoor.core.failure_domains.rack_spread import RackSpread
    from toucandoor.core.jobs.models import Step
    from toucandoor.core.scheduling.progress import StepProgress, Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.task_grouping import TaskGrouping
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.ids import PoolId, WorkerId


def allowed_workers(
    workers: Iterable[WorkerView], step: StepProgress, now_s: float
) -> Sequence[WorkerView]:
    """Return the backend servers that may run tasks of a step, regardless of free capacity."""
    return matching_workers([worker for worker in workers if worker.usable(now_s)], step)


def usable_workers(
    state: ScheduleState, now_s: float, pools: Container[PoolId] | None = None
) -> dict[PoolId, list[WorkerView]]:
    """Return the backend servers of each pool that may get tasks, and update which are slow.

    Args:
        state: The schedule.
        now_s: The monotonic time.
        pools: The pools; None for all.
    """
    found: dict[PoolId, list[WorkerView]] = {}
    domains = state.failure_domains
    for worker in state.workers.values():
        pool = worker.entry.pool
        if pools is not None and pool not in pools:
            continue
        if worker.usable(now_s) and not domains.suspects(worker):
            worker.slow = domains.slowness(worker) > SLOW_RATIO
            found.setdefault(pool, []).append(worker)
    return found


def matching_workers(usable: Sequence[WorkerView], step: StepProgress) -> Sequence[WorkerView]:
    """Return which of the usable backend servers may run tasks of a step.

    Args:
        usable: Servers that may get new tasks; returned as given if the step may run on all.
        step: The step.
    """
    label = step.step.required_label
    tickets = step.advice.tickets if step.advice is not None else None
    if not label and tickets is None:
        return usable
    return [
        worker
        for worker in usable
        if (not label or label in worker.entry.labels)
        and (tickets is None or worker.entry.worker_id in tickets)
    ]


def tasks_by_worker(step: StepProgress) -> dict[WorkerId, int]:
    """Return the number of tasks of a step that are or may be on each server."""
    found: dict[WorkerId, int] = {}
    for task in step.tasks:
        for run in task.runs:
            worker_id = run.worker.entry.worker_id
            found[worker_id] = found.get(worker_id, 0) + 1
    return found


def room_for_step(allowed: Iterable[WorkerView], step: StepProgress) -> int:
    """Return how many more tasks of a step fit on servers, with its limit per server.

    A step has no use for more room on one server than for all its tasks.

    Args:
        allowed: Servers that may run the step.
        step: The step.
    """
    on_worker = tasks_by_worker(step)
    reserved, limit = step.step.reserved, step.step.per_worker_max or len(step.tasks)
    room = 0
    for worker in allowed:
        if worker.isolated_runs:
            continue
        left = limit - on_worker.get(worker.entry.worker_id, 0)
        if worker.slow:  # gets one task at a time
            left = min(left, 0 if worker.runs else 1)
        while left > 0 and not reserved.times(left).fits_in(worker.free):
            left -= 1
        room += max(0, left)
    return room


def choose_worker(
    allowed: Sequence[WorkerView],
    step: StepProgress,
    task: Task,
    on_worker: dict[WorkerId, int],
    now_s: float,
    rack_spread: RackSpread,
) -> WorkerView | None:
    """Return the best backend server with free capacity for a task; None if there is none.

    Args:
        allowed: Servers that may run the step.
        step: The step.
        task: The task.
        on_worker: Number of tasks of this step on each server, for the limit per server.
        now_s: The monotonic time.
        rack_spread: Which racks to avoid.
    """
    fitting = [worker for worker in allowed if _fits(worker, step.step, on_worker)]
    if task.isolated and now_s < task.lost_s + const.ISOLATION_WAIT_S:
        fitting = [each for each in fitting if all(run.harmless for run in each.runs.values())]
        if any(now_s >= each.steady_from_s for each in allowed):
            fitting = [each for each in fitting if now_s >= each.steady_from_s]
    if not fitting:
        return None
    beyond = rack_spread.beyond(step, task)
    return min(
        fitting,
        key=lambda worker: (
            beyond.get(worker.entry.rack, 0),
            *_cost(worker, step.step, task, now_s),
        ),
    )


class ServerChoice:
    """Chooses servers for the tasks of a step, one after the other, as `choose_worker` does.

    A queue's peak brings hundreds of tasks at once for hundreds of servers, so the servers are
    sorted once. The order holds while tasks are placed: the fullest server comes first, and a task
    that is placed there makes it fuller.

    Args:
        allowed: Servers that may run the step.
        step: The step.
        on_worker: Number of tasks of this step on each server, which the caller keeps up to date.
        now_s: The monotonic time.
        rack_spread: Which racks to avoid.
        grouping: In which order equally good servers are filled.
    """

    def __init__(
        self,
        allowed: Sequence[WorkerView],
        step: StepProgress,
        on_worker: dict[WorkerId, int],
        now_s: float,
        rack_spread: RackSpread,
        grouping: TaskGrouping,
    ) -> None:
        self._rack_spread = rack_spread
        self._grouping = grouping
        self._allowed = allowed
        self._step = step
        self._on_worker = on_worker
        self._now_s = now_s
        self._sorted: deque[WorkerView] | None = None
        self._spread = step.step.long_running and step.step.unavailable_max is not None

    def choose(self, task: Task) -> WorkerView | None:
        """Return the best server with free capacity; None if there is none."""
        if self._spread or task.failed_on or task.suspect:
            # Its own order: the racks of the other tasks count, or what happened to it before.
            self._sorted = None
            return choose_worker(
                self._allowed, self._step, task, self._on_worker, self._now_s, self._rack_spread
            )
        if self._sorted is None:
            step, now_s = self._step.step, self._now_s
            fitting = [worker for worker in self._allowed if self._fits(worker)]
            costs = [(_cost(worker, step, task, now_s), worker) for worker in fitting]
            costs.sort(key=itemgetter(0))
            self._sorted = deque(self._grouped(costs))
        while self._sorted and not self._fits(self._sorted[0]):
            self._sorted.popleft()
        return self._sorted[0] if self._sorted else None

    def _grouped(self, costs: list[tuple[tuple[float, ...], WorkerView]]) -> list[WorkerView]:
        """Return servers in the order of their cost; the best ones are arranged as a group.

        Args:
            costs: The servers with their costs, the lowest first.
        """
        step = self._step.step
        servers = [worker for _, worker in costs]
        if step.long_running or step.per_worker_max or step.gang or not servers:
            return servers
        # The last part of the cost is the load.
        best = costs[0][0][:-1]
        equal = sum(1 for _ in takewhile(lambda each: each[0][:-1] == best, costs))
        count = sum(task.waiting for task in self._step.tasks)
        arranged = self._grouping.arranged(servers[:equal], step.reserved, count)
        return [*arranged, *servers[equal:]]

    def _fits(self, worker: WorkerView) -> bool:
        return _fits(worker, self._step.step, self._on_worker)


def _fits(worker: WorkerView, step: Step, on_worker: dict[WorkerId, int]) -> bool:
    """Return whether a server has room for a task.

    A slow one runs one task at a time, and one with an isolated run gets no other.
    """
    limit = step.per_worker_max
    return (
        step.reserved.fits_in(worker.free)
        and not (limit and on_worker.get(worker.entry.worker_id, 0) >= limit)
        and not (worker.slow and worker.runs)
        and not worker.isolated_runs
    )


def _cost(worker: WorkerView, step: Step, task: Task, now_s: float) -> tuple[float, ...]:
    """Return the sort key of a server for a task; lower is better.

    In this order: the server is not slow, it has no run of a task that may crash it, the task has
    not failed there, the server is not cold, the task's data is on its rack, a best-effort task
    slows down few latency-sensitive runs, and the server has the largest share of its capacity in
    use. A task that may crash its server goes where the fewest runs would be lost instead, but not
    to one that has just started, as it may be one that goes down again and again.
    """
    if task.suspect:
        unsteady = now_s < worker.steady_from_s
        return (worker.slow, unsteady, worker.suspect_runs, len(worker.runs))
    failed_there = worker.entry.worker_id in task.failed_on
    far = bool(step.data_rack) and step.data_rack not in worker.entry.labels
    slowed = len(latency_sensitive_runs(worker)) if step.uses_leftovers else 0
    # The fullest server comes first, so that others stay empty and their VMs can be lent.
    cold = now_s < worker.cold_until_s
    beside_suspect = worker.suspect_runs > 0
    return (worker.slow, beside_suspect, failed_there, cold, far, slowed, -worker.used_ratio)

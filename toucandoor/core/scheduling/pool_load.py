"""Load of each pool: the capacity in use, and the demand of waiting and arriving tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import StepProgress
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.ids import PoolId


@dataclass(slots=True)
class PoolLoad:
    """Load of a pool.

    Attributes:
        pool: Name of the pool.
        workers: Number of backend servers that may get tasks.
        capacity: Total capacity of these servers.
        long_running: Capacity reserved by long-running tasks.
        finite: Capacity reserved by all other tasks.
        waiting: Capacity needed by tasks that could run now.
        arriving_cpu_millicores: Processor needed by arriving jobs at their present rate.
        spread_workers_min: Backend servers needed because of limits on the tasks of one step per
            server.
    """

    pool: PoolId
    workers: int = 0
    capacity: Resources = NO_RESOURCES
    long_running: Resources = NO_RESOURCES
    finite: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES
    arriving_cpu_millicores: float = 0.0
    spread_workers_min: int = 0

    def add_worker(self, worker: WorkerView) -> None:
        """Add a backend server and its runs."""
        self.workers += 1
        self.capacity = self.capacity + worker.entry.capacity
        for run in worker.runs.values():
            if run.task.step.long_running:
                self.long_running = self.long_running + run.task.step.reserved
            else:
                self.finite = self.finite + run.task.step.reserved

    def add_waiting(self, step: StepProgress) -> None:
        """Add the waiting tasks of a step that could run now."""
        waiting = sum(task.waiting for task in step.tasks)
        self.waiting = self.waiting + step.step.reserved.times(waiting)
        if step.step.per_worker_max:
            apart = -(-step.remaining // step.step.per_worker_max)
            self.spread_workers_min = max(self.spread_workers_min, apart)

    def log_fields(self) -> dict[str, object]:
        """Return the load as fields of a log line."""
        return {
            "pool": self.pool,
            "servers": self.workers,
            "capacity_cpu": self.capacity.cpu_millicores,
            "lasting_cpu": self.long_running.cpu_millicores,
            "ending_cpu": self.finite.cpu_millicores,
            "waiting_cpu": self.waiting.cpu_millicores,
            "arriving_cpu": round(self.arriving_cpu_millicores),
            "capacity_mb": self.capacity.memory_mb,
            "lasting_mb": self.long_running.memory_mb,
            "ending_mb": self.finite.memory_mb,
            "waiting_mb": self.waiting.memory_mb,
        }

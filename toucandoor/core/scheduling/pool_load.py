"""How full each pool is and what waits for room in it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NOTHING, Resources

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import StepProgress
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.ids import PoolId


@dataclass(slots=True)
class PoolLoad:
    """Load of a pool.

    Attributes:
        pool: Its name.
        servers: Backend servers that may get tasks.
        capacity: Their room.
        lasting: Room that long-running tasks take.
        ending: Room that other tasks take.
        waiting: Room that tasks ask for which could run now.
        arriving_cpu_millicores: Processor that arriving work keeps busy, at its present rate.
        spread_min: Backend servers needed because tasks of one step must run apart.
    """

    pool: PoolId
    servers: int = 0
    capacity: Resources = NOTHING
    lasting: Resources = NOTHING
    ending: Resources = NOTHING
    waiting: Resources = NOTHING
    arriving_cpu_millicores: float = 0.0
    spread_min: int = 0

    def add_server(self, worker: WorkerView) -> None:
        """Count a backend server and its runs."""
        self.servers += 1
        self.capacity = self.capacity + worker.entry.capacity
        for run in worker.runs.values():
            if run.task.step.long_running:
                self.lasting = self.lasting + run.task.step.room
            else:
                self.ending = self.ending + run.task.step.room

    def add_waiting(self, step: StepProgress) -> None:
        """Count the tasks of a step that could run now."""
        waiting = sum(task.waiting for task in step.tasks)
        self.waiting = self.waiting + step.step.room.times(waiting)
        if step.step.per_worker_max:
            apart = -(-step.undone // step.step.per_worker_max)
            self.spread_min = max(self.spread_min, apart)

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "pool": self.pool,
            "servers": self.servers,
            "capacity_cpu": self.capacity.cpu_millicores,
            "lasting_cpu": self.lasting.cpu_millicores,
            "ending_cpu": self.ending.cpu_millicores,
            "waiting_cpu": self.waiting.cpu_millicores,
            "arriving_cpu": round(self.arriving_cpu_millicores),
            "capacity_mb": self.capacity.memory_mb,
            "lasting_mb": self.lasting.memory_mb,
            "ending_mb": self.ending.memory_mb,
            "waiting_mb": self.waiting.memory_mb,
        }

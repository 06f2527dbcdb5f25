"""Load of each pool: the capacity in use, and the demand of waiting and arriving tasks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import StepProgress
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import PoolId


@dataclass(slots=True)
class PoolLoad:
    """Load of a pool.

    Attributes:
        pool: Name of the pool.
        workers: Number of backend servers that may get tasks.
        capacity: Total capacity of these servers.
        unusable: Part of `capacity` that is on slow servers, without what their long-running tasks
            and runs in `later` reserve.
        long_running: Capacity reserved by long-running tasks.
        finite: Capacity reserved by all other tasks.
        later: Part of `finite` whose jobs still run after the lead time.
        waiting: Capacity needed by tasks that could run now, within their teams' ceilings, and by
            those that must leave their servers.
        arriving_cpu_millicores: Processor needed by arriving jobs at their present rate, within
            their teams' ceilings.
        arriving_later: Capacity that jobs which arrive at that rate during the lead time need at
            its end, within their teams' ceilings.
        spread_workers_min: Backend servers needed because of limits on the tasks of one step per
            server.
        long_running_waiting: Part of `waiting` that long-running tasks need.
        long_running_spread_min: As `spread_workers_min`, because of long-running steps alone.
        without_room: Capacity needed by tasks that must leave their servers and have no room on
            any of these, however much is free on all of them together.
    """

    pool: PoolId
    workers: int = 0
    capacity: Resources = NO_RESOURCES
    unusable: Resources = NO_RESOURCES
    long_running: Resources = NO_RESOURCES
    finite: Resources = NO_RESOURCES
    later: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES
    arriving_cpu_millicores: float = 0.0
    arriving_later: Resources = NO_RESOURCES
    spread_workers_min: int = 0
    long_running_waiting: Resources = NO_RESOURCES
    long_running_spread_min: int = 0
    without_room: Resources = NO_RESOURCES

    def add_worker(self, worker: WorkerView, *, slow: bool = False) -> None:
        """Add a backend server.

        Args:
            worker: The server.
            slow: Whether it gets one task at a time and only when the others have no room.
        """
        self.workers += 1
        self.capacity = self.capacity + worker.entry.capacity
        if slow:
            self.unusable = self.unusable + worker.entry.capacity

    def add_run(self, run: Run, *, later: bool, slow: bool = False) -> None:
        """Add a run on one of these servers.

        Args:
            run: The run.
            later: Whether its job still runs after the lead time.
            slow: Whether its server was added as slow.
        """
        reserved = run.task.step.reserved
        if slow and (later or run.task.step.long_running):
            self.unusable = self.unusable - reserved
        if run.task.step.long_running:
            self.long_running = self.long_running + reserved
            return
        self.finite = self.finite + reserved
        if later:
            self.later = self.later + reserved

    def add_without_room(self, run: Run) -> None:
        """Add a run whose task needs a further server; `add_waiting` has counted its capacity."""
        self.without_room = self.without_room + run.task.step.reserved

    def add_waiting(
        self,
        step: StepProgress,
        *,
        room: int | None = None,
        ratio: float = 1.0,
        leaving: int = 0,
    ) -> None:
        """Add the waiting tasks of a step that could run now.

        Args:
            step: The step.
            ratio: Part of the waiting tasks that fit under the team's ceiling.
            room: How many of them fit on the present servers, for a step with a limit per server;
                None if that is not to be considered.
            leaving: Tasks of the step that must leave their servers.
        """
        waiting = sum(task.waiting for task in step.tasks)
        needed = step.step.reserved.times(waiting * ratio + leaving)
        self.waiting = self.waiting + needed
        if step.step.long_running:
            self.long_running_waiting = self.long_running_waiting + needed
        waiting += leaving
        if step.step.per_worker_max:
            apart = -(-step.remaining // step.step.per_worker_max)
            missing = 0 if room is None else max(0, waiting - room)
            if missing:
                # The capacity that is free in all may be on servers with enough tasks of the step.
                apart = max(apart, self.workers - (-missing // step.step.per_worker_max))
            self.spread_workers_min = max(self.spread_workers_min, apart)
            if step.step.long_running:
                self.long_running_spread_min = max(self.long_running_spread_min, apart)

    def log_fields(self) -> dict[str, object]:
        """Return the load as fields of a log line."""
        return {
            "pool": self.pool,
            "servers": self.workers,
            "capacity_cpu": self.capacity.cpu_millicores,
            "unusable_cpu": self.unusable.cpu_millicores,
            "lasting_cpu": self.long_running.cpu_millicores,
            "ending_cpu": self.finite.cpu_millicores,
            "waiting_cpu": self.waiting.cpu_millicores,
            "arriving_cpu": round(self.arriving_cpu_millicores),
            "capacity_mb": self.capacity.memory_mb,
            "lasting_mb": self.long_running.memory_mb,
            "ending_mb": self.finite.memory_mb,
            "waiting_mb": self.waiting.memory_mb,
        }

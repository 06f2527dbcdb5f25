"""Room on other servers for the tasks of runs that are stopped because their servers leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from toucandoor.core.failure_domains.models import SLOW_RATIO
from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.scheduling.placement import (
    choose_worker,
    matching_workers,
    tasks_by_worker,
    usable_workers,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.jobs.models import Resources, StepKey
    from toucandoor.core.scheduling.progress import StepProgress, Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import PoolId, WorkerId

RoomKind: TypeAlias = "tuple[PoolId, Resources, str]"
"""Runs of one kind fit on the same servers: pool, capacity and label."""


def relocated_runs(worker: WorkerView) -> list[Run]:
    """Return the runs of a server that leaves which need capacity elsewhere."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.long_running or run.task.step.checkpointing
    ]


def room_kind(state: ScheduleState, task: Task) -> RoomKind:
    """Return the kind of room that a task needs."""
    pool = state.pool_of(state.jobs[task.key.job_id])
    return (pool, task.step.reserved, task.step.required_label)


class HeldRoom:
    """Capacity held for the tasks of runs until these have ended.

    Release it before waiting tasks are placed, so that those tasks are placed there.
    """

    def __init__(self) -> None:
        self._targets: dict[Run, WorkerView] = {}

    def __contains__(self, run: Run) -> bool:
        """Return whether room is held for the task of a run."""
        return run in self._targets

    def runs(self) -> list[Run]:
        """Return the runs for whose tasks room is held."""
        return list(self._targets)

    def target(self, run: Run) -> WorkerView | None:
        """Return the server on which room is held for the task of a run."""
        return self._targets.get(run)

    def hold(self, run: Run, target: WorkerView) -> None:
        """Hold room for the task of a run, in place of the room held for it before."""
        self.release(run)
        target.hold(run.task.step.reserved)
        self._targets[run] = target

    def release(self, run: Run) -> None:
        """Release what is held for the task of a run."""
        target = self._targets.pop(run, None)
        if target is not None:
            target.release(run.task.step.reserved)

    def release_unneeded(self) -> None:
        """Release the room of runs that have ended, and on servers that leave or are gone."""
        for run, target in list(self._targets.items()):
            gone = target.ended or target.leaves or not target.listed
            if gone or run.key not in run.worker.runs:
                self.release(run)


class RoomSearch:
    """Searches for room in one plan, in which what has no room once gets none.

    Attributes:
        later_kinds: Kinds for which `later` may be asked; the first time for each kind goes through
            a pool's runs.
    """

    def __init__(self, state: ScheduleState, now_s: float) -> None:
        self._state = state
        self._now_s = now_s
        self._pools = usable_workers(state, now_s)
        self._no_room: set[RoomKind | StepKey] = set()
        self._no_later_room: set[RoomKind | StepKey] = set()
        self._by_free_time: dict[RoomKind, list[WorkerView]] = {}
        self.later_kinds: frozenset[RoomKind] = frozenset()

    def allowed(self, task: Task) -> Sequence[WorkerView]:
        """Return the servers that may run a task, regardless of free capacity."""
        progress = self._state.step_of(task)
        # Nobody has asked the adviser again while all tasks of the step had runs.
        progress.forget_expired_tickets(self._now_s)
        pool, _, _ = room_kind(self._state, task)
        return matching_workers(self._pools.get(pool, ()), progress)

    def free(self, task: Task) -> WorkerView | None:
        """Return a server with free capacity for a task."""
        key = self._cache_key(task)
        if key in self._no_room:
            return None
        found = self.choose(task, self.allowed(task))
        if found is None and not task.isolated:
            self._no_room.add(key)
        return found

    def choose(self, task: Task, allowed: Sequence[WorkerView]) -> WorkerView | None:
        """Return the best of some servers with free capacity for a task."""
        return choose_worker(
            allowed,
            self._state.step_of(task),
            task,
            self._on_worker(task),
            self._now_s,
            self._state.rack_spread,
        )

    def _cache_key(self, task: Task) -> RoomKind | StepKey:
        """Return what tasks have in common that fit on the same servers."""
        progress = self._state.step_of(task)
        if task.step.per_worker_max or progress.advice is not None:
            return progress.key
        return room_kind(self._state, task)

    def hold_for_gang(self, progress: StepProgress) -> list[Run]:
        """Hold room for each run of a gang that must leave; return all its runs, or none."""
        runs = [run for task in progress.tasks for run in task.runs]
        held: list[Run] = []
        for run in runs:
            if not run.worker.leaves:
                continue
            target = self.free(run.task)
            if target is None:
                for each in held:
                    self._state.held_room.release(each)
                return []
            self._state.held_room.hold(run, target)
            held.append(run)
        return runs

    def later(self, task: Task) -> WorkerView | None:
        """Return the server that is expected to have room for a task first.

        Only one task waits for room on each server.
        """
        kind, key = room_kind(self._state, task), self._cache_key(task)
        if key in self._no_later_room:
            return None
        if kind not in self._by_free_time:
            self._by_free_time[kind] = self._sorted_by_free_time(kind)
        on_worker = self._on_worker(task)
        limit = task.step.per_worker_max
        # Another task waits for room on each of the rest.
        servers = [each for each in self._by_free_time[kind] if NO_RESOURCES.fits_in(each.free)]
        self._by_free_time[kind] = servers
        for worker in matching_workers(servers, self._state.step_of(task)):
            if not limit or on_worker.get(worker.entry.worker_id, 0) < limit:
                return worker
        self._no_later_room.add(key)
        return None

    def free_after_s(self, worker: WorkerView, needed: Resources) -> float:
        """Return the expected time until a server has room; infinity if it is not foreseeable."""
        free = worker.free
        ends = sorted(
            (self.remaining_s(run), number, run)
            for number, run in enumerate(worker.runs.values())
            if not run.task.step.long_running
        )
        for left_s, _, run in ends:
            free = free + run.task.step.reserved
            if needed.fits_in(free):
                return left_s
        return float("inf")

    def remaining_s(self, run: Run) -> float:
        """Return the expected time until the end of a run.

        A run that has exceeded its expected time is taken to need as long again as it has exceeded
        it: most such runs end soon, and some take many times as long.
        """
        queue = self._state.jobs[run.task.key.job_id].spec.queue
        expected_s = self._state.run_times.expected_s(run.task.step, queue)
        ran_s = self._now_s - (run.created_s if run.confirmed_s is None else run.confirmed_s)
        return abs(expected_s - ran_s)

    def _sorted_by_free_time(self, kind: RoomKind) -> list[WorkerView]:
        pool, reserved, _ = kind
        found = [
            (self.free_after_s(worker, reserved), number, worker)
            for number, worker in enumerate(self._pools.get(pool, ()))
            if not worker.slow and not worker.isolated_runs
        ]
        return [worker for free_s, _, worker in sorted(found) if free_s < float("inf")]

    def _on_worker(self, task: Task) -> dict[WorkerId, int]:
        """Return the number of tasks of a step on each server, or to be placed there."""
        if not task.step.per_worker_max:
            return {}
        progress = self._state.step_of(task)
        found = tasks_by_worker(progress)
        for other in progress.tasks:
            for run in other.runs if other is not task else ():
                target = self._state.held_room.target(run)
                if target is not None:
                    worker_id = target.entry.worker_id
                    found[worker_id] = found.get(worker_id, 0) + 1
        return found


def has_room(target: WorkerView, now_s: float) -> bool:
    """Return whether all capacity that is held on a server is free now."""
    return target.usable(now_s) and NO_RESOURCES.fits_in(target.free)


def may_get_tasks(state: ScheduleState, target: WorkerView, now_s: float) -> bool:
    """Return whether a server with held room may still get the tasks that it is held for."""
    domains = state.failure_domains
    if not target.usable(now_s) or target.isolated_runs or domains.suspects(target):
        return False
    return not target.runs or domains.slowness(target) <= SLOW_RATIO

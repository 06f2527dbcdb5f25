"""Stops long-running tasks on servers that a wave vacates or that drain, once there is room."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.cordons import CordonSource
from toucandoor.core.scheduling.lookups import at_full_speed
from toucandoor.core.scheduling.placement import matching_workers
from toucandoor.core.scheduling.relocation import (
    RoomKind,
    RoomSearch,
    has_room,
    may_get_tasks,
    room_kind,
)
from toucandoor.core.scheduling.worker_view import Run, RunState

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from toucandoor.core.jobs.models import StepKey
    from toucandoor.core.scheduling.progress import Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import WorkerView

PLAN_INTERVAL_S: Final = 0.2
"""Interval between two plans; a stop takes about as long."""
STOPS_MAX: Final = 64
"""Most runs stopped in one plan; more would delay the starts of others in the same step."""
LATER_SEARCHES_MAX: Final = 2
"""Most searches in one plan for capacity that becomes free."""
LATER_SEARCH_INTERVAL_S: Final = 0.5
"""Interval between two plans with such searches."""
STOP_S: Final = 1.0
"""Time for a stop before a draining server leaves: a plan's interval, an order with its time-out of
0.6 s, and the end of the run."""


class PlannedStops:
    """Stops the long-running tasks that must leave their servers, as others have room for them.

    A task that finds no room stays where it is, unless its server leaves by itself.

    Attributes:
        without_room: Runs that stay for now, as no server is expected to have room for their tasks.
        needed: Servers that a wave vacates and that alone have room for tasks without a run.
    """

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._next_plan_s = 0.0
        self._next_later_s = 0.0
        self._kinds: list[RoomKind] = []
        # Tasks of each step that are not at full speed, as counted in this plan.
        self._unavailable: dict[StepKey, int] = {}
        self.without_room: dict[Run, RoomKind] = {}
        self.needed: frozenset[WorkerView] = frozenset()

    def advance(self) -> None:
        """Plan again if it is time, after waiting tasks have been placed."""
        state, now_s = self._state, self._state.now_s
        if now_s < self._next_plan_s:
            return
        self._next_plan_s = now_s + PLAN_INTERVAL_S
        self._release_held(now_s)
        leaving = [
            worker
            for worker in state.workers.values()
            if worker.runs and (worker.vacated or worker.entry.draining)
        ]
        before, self.without_room = self.without_room, {}
        vacated = [each for each in state.workers.values() if _only_vacated(each, now_s)]
        self.needed = frozenset()
        if not leaving and not vacated:
            return
        self._unavailable.clear()
        search = RoomSearch(state, now_s)
        self.needed = frozenset(self._needed(vacated, search, now_s))
        if self._kinds and now_s >= self._next_later_s:
            self._next_later_s = now_s + LATER_SEARCH_INTERVAL_S
            # In turn, as some kinds may have no room for long.
            search.later_kinds = frozenset(self._kinds[:LATER_SEARCHES_MAX])
            self._kinds = self._kinds[LATER_SEARCHES_MAX:]
        stops = 0
        for worker in sorted(leaving, key=lambda each: each.leaves_s):
            for run in list(worker.runs.values()):
                if not run.task.step.long_running or run.stop_requested:
                    continue
                if _must_stop(worker, now_s):
                    self._stop(run)
                elif stops < STOPS_MAX and self._may_leave(run):
                    stops += self._leave(run, search, now_s, known=run in before)

    def _release_held(self, now_s: float) -> None:
        """Release room that is not needed any more or can't be had, unless a stop counts on it."""
        held = self._state.held_room
        for run in held.runs():
            target = held.target(run)
            if run.stop_requested or target is None:
                continue
            if not run.worker.leaves or not may_get_tasks(self._state, target, now_s):
                held.release(run)

    def _may_leave(self, run: Run) -> bool:
        """Return whether a run may be stopped once there is room for its task.

        One that may crash its server stays until its server has reported it for long enough, as
        it would take the suspicion to the next server.
        """
        if run.state is not RunState.RUNNING or run.worker.unresponsive or run.suspect:
            return False
        return run.worker.entry.draining or self._may_be_unavailable(run.task)

    def _may_be_unavailable(self, task: Task) -> bool:
        """Return whether a long-running task may be stopped without breaking its step's promise."""
        allowed = task.step.unavailable_max
        if allowed is None:
            return True
        key = task.key.step_key
        if key not in self._unavailable:
            tasks = self._state.step_of(task).tasks
            self._unavailable[key] = sum(not at_full_speed(each) for each in tasks)
        others = self._unavailable[key] - (not at_full_speed(task))
        return others + 1 <= allowed

    def _stop(self, run: Run) -> None:
        self._state.request_stop(run)
        self._unavailable.pop(run.task.key.step_key, None)

    def _leave(self, run: Run, search: RoomSearch, now_s: float, *, known: bool) -> int:
        """Stop a run, or its whole gang, if there is room; return the number of stops.

        Args:
            run: The run.
            search: The search for room.
            now_s: The monotonic time.
            known: Whether the previous plan found no room.
        """
        state = self._state
        if run.task.step.gang:
            return self._leave_as_gang(run, search, now_s)
        target = state.held_room.target(run)
        if target is None or not has_room(target, now_s):
            free = search.free(run.task)
            if free is None:
                if target is None:
                    self._await_room(run, search, known=known)
                return 0
            state.held_room.hold(run, free)
            target = free
        if not _answered_lately([target], now_s):
            return 0
        self._stop(run)
        return 1

    def _leave_as_gang(self, run: Run, search: RoomSearch, now_s: float) -> int:
        """Stop the whole gang of a run if there is room; return the number of stops."""
        held = self._state.held_room
        gang = search.hold_for_gang(self._state.step_of(run.task))
        if not gang:
            self.without_room[run] = room_kind(self._state, run.task)
        targets = [target for each in gang if (target := held.target(each)) is not None]
        if not _answered_lately(targets, now_s):
            for each in gang:
                held.release(each)
            return 0
        for each in gang:
            self._stop(each)
        return len(gang)

    def _await_room(self, run: Run, search: RoomSearch, *, known: bool) -> None:
        """Hold room that is not free yet, so that waiting tasks do not take it part by part."""
        kind = room_kind(self._state, run.task)
        if kind not in self._kinds:
            self._kinds.append(kind)
        if kind in search.later_kinds:
            later = search.later(run.task)
            known = later is None
            if later is not None:
                self._state.held_room.hold(run, later)
        if known:
            self.without_room[run] = kind

    def _needed(
        self, vacated: Sequence[WorkerView], search: RoomSearch, now_s: float
    ) -> Iterator[WorkerView]:
        """Return the vacated servers that alone have room for long-running tasks without a run."""
        state = self._state
        for step in list(state.waiting_steps.values()) if vacated else ():
            job = state.jobs[step.key.job_id]
            if not step.step.long_running or step.step.gang or not job.runnable(step):
                continue
            for task in step.tasks:
                if not task.waiting or now_s < task.not_before_s:
                    continue
                if not state.within_ceiling(job, step.step.needs) or search.free(task):
                    break
                pool = state.pool_of(job)
                there = [each for each in vacated if each.entry.pool == pool]
                found = search.choose(task, matching_workers(there, step))
                if found is not None:
                    yield found


def _only_vacated(worker: WorkerView, now_s: float) -> bool:
    """Return whether a server gets no tasks only because a wave vacates its VM."""
    return (
        bool(worker.cordons)
        and all(cordon.source is CordonSource.WAVE for cordon in worker.cordons)
        and worker.ready(now_s)
    )


def _answered_lately(targets: Sequence[WorkerView], now_s: float) -> bool:
    """Return whether servers with held room are surely there; those that are quiet are asked."""
    quiet = [target for target in targets if target.quiet(now_s)]
    for target in quiet:
        target.require_heartbeat(now_s)
    return not quiet


def _must_stop(worker: WorkerView, now_s: float) -> bool:
    """Return whether a server leaves so soon that its runs are stopped with or without room."""
    return worker.entry.draining and now_s >= worker.leaves_s - STOP_S

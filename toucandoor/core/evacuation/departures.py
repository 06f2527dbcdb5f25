"""Which runs leave an evacuated data centre before their end, and when."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.lookups import at_full_speed
from toucandoor.core.scheduling.relocation import RoomKind, RoomSearch, room_kind
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.scheduling.progress import StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import DataCentreId

STOPS_MAX: Final = 64
"""Most runs stopped in one plan; more would delay the starts of others in the same step."""
LATER_ROOM_SEARCHES_MAX: Final = 2
"""Most searches in one plan for capacity that becomes free; each goes through a pool's runs."""
LATER_ROOM_INTERVAL_S: Final = 0.5
"""Interval between two plans with such searches. With 9,600 runs on 600 servers, 8 of them in every
plan took half of the owner's time."""
STOP_S: Final = 0.2
"""Time from the stop of a run until its task can be started elsewhere."""


class Obstacle(Enum):
    """Reason for which a run has not left yet."""

    ENDS_HERE = "runs to its end"
    STOPPING = "stop under way"
    UNCONFIRMED = "not confirmed by its server"
    NO_ROOM = "no room elsewhere"
    PROMISE = "availability of its step"


@dataclass(slots=True)
class Departures:
    """Decisions of one plan.

    Attributes:
        stops: Runs to stop.
        obstacles: Number of the runs that stay for now, by data centre and reason.
    """

    stops: list[Run] = field(default_factory=list)
    obstacles: dict[DataCentreId, Counter[Obstacle]] = field(default_factory=dict)

    def count(self, run: Run, obstacle: Obstacle) -> None:
        """Count a run that stays."""
        self.obstacles.setdefault(run.worker.entry.data_centre, Counter())[obstacle] += 1


class DeparturePolicy(ABC):
    """Decides which runs on evacuated servers are stopped so that they continue elsewhere."""

    @abstractmethod
    def plan(self, state: ScheduleState, leaving: Sequence[Run], now_s: float) -> Departures:
        """Return the runs to stop now.

        The policy holds the capacity that it assigns in `ScheduleState.held_room`.

        Args:
            state: The schedule's state, after waiting tasks have been placed.
            leaving: Runs on servers of evacuated data centres.
            now_s: The monotonic time.
        """


class StopAllAtOnce(DeparturePolicy):
    """Baseline: stops every run at once, whatever is lost with it."""

    def plan(self, state: ScheduleState, leaving: Sequence[Run], now_s: float) -> Departures:
        """Return all runs."""
        made = Departures()
        for run in leaving:
            if run.stop_requested:
                made.count(run, Obstacle.STOPPING)
            else:
                made.stops.append(run)
        return made


class LeaveWithoutLoss(DeparturePolicy):
    """Moves long-running and checkpointing tasks to free capacity; other tasks run to their end.

    Args:
        move_s: Time that a VM's move takes; checkpointing tasks that end sooner are left alone.
    """

    def __init__(self, move_s: float) -> None:
        self._move_s = move_s
        self._next_later_s = 0.0

    def plan(self, state: ScheduleState, leaving: Sequence[Run], now_s: float) -> Departures:
        """Return the runs that lose nothing and have capacity elsewhere."""
        plan = _Plan(state, self._move_s, now_s)
        if now_s >= self._next_later_s:
            self._next_later_s = now_s + LATER_ROOM_INTERVAL_S
            plan.later_searches_left = LATER_ROOM_SEARCHES_MAX
        return plan.decide(leaving)


class _Plan:
    """One plan of `LeaveWithoutLoss`.

    Attributes:
        search: The search for room.
        later_searches_left: Searches for capacity that becomes free that may still be made.
    """

    def __init__(self, state: ScheduleState, move_s: float, now_s: float) -> None:
        self._state = state
        self._move_s = move_s
        self._made = Departures()
        self._stopped: set[Run] = set()
        self._no_later_room: set[RoomKind] = set()
        self.search = RoomSearch(state, now_s)
        self.later_searches_left = 0
        self._waiting_pools = {
            state.pool_of(job)
            for key, step in state.waiting_steps.items()
            if (job := state.jobs[key.job_id]).runnable(step)
            and any(task.waiting for task in step.tasks)
        }

    def decide(self, leaving: Sequence[Run]) -> Departures:
        """Decide about each run, long-running tasks first: their callers wait for them.

        Then come those with the longest remaining time, which gain most from leaving.
        """
        for run in sorted(leaving, key=self._rank):
            obstacle = self._obstacle(run)
            if obstacle is not None:
                self._made.count(run, obstacle)
        return self._made

    def _rank(self, run: Run) -> float:
        step = run.task.step
        if step.long_running:
            return float("-inf")
        return -self.search.remaining_s(run) if step.checkpointing else 0.0

    def _obstacle(self, run: Run) -> Obstacle | None:
        """Stop a run if it can leave now; otherwise return why it stays."""
        step = run.task.step
        if run in self._stopped:
            return None
        if run.stop_requested:
            return Obstacle.STOPPING
        if not (step.long_running or step.checkpointing):
            return Obstacle.ENDS_HERE
        if run.state is not RunState.RUNNING or run.worker.unresponsive:
            return Obstacle.UNCONFIRMED
        if not step.long_running and self.search.remaining_s(run) <= self._move_s:
            return Obstacle.ENDS_HERE
        if len(self._made.stops) >= STOPS_MAX:
            return Obstacle.NO_ROOM
        progress = self._state.step_of(run.task)
        if step.gang:
            return self._move_gang(progress)
        if step.long_running and not self._promise_allows(run, progress):
            return Obstacle.PROMISE
        target = self.search.free(run.task) or self._later_room(run)
        if target is None:
            return Obstacle.NO_ROOM
        self._stop(run, target)
        return None

    def _promise_allows(self, run: Run, progress: StepProgress) -> bool:
        """Return whether a long-running task may be stopped: one at a time, if promised at all."""
        if run.task.step.unavailable_max is None:
            return True
        return run.task.step.unavailable_max > 0 and all(
            task is run.task or (at_full_speed(task) and not self._stops(task.runs))
            for task in progress.tasks
        )

    def _stops(self, runs: Sequence[Run]) -> bool:
        return any(run in self._stopped for run in runs)

    def _stop(self, run: Run, target: WorkerView) -> None:
        self._state.held_room.hold(run, target)
        self._stopped.add(run)
        self._made.stops.append(run)

    def _move_gang(self, progress: StepProgress) -> Obstacle | None:
        """Stop all runs of a gang if each of those that must leave has room elsewhere."""
        runs = self.search.hold_for_gang(progress)
        if not runs:
            return Obstacle.NO_ROOM
        self._stopped |= {run for run in runs if run.worker.evacuated}
        self._made.stops += runs
        return None

    def _later_room(self, run: Run) -> WorkerView | None:
        """Return a server that gets room for a checkpointing task before the task would end.

        None while other tasks of the pool wait, as they may get that room first.
        """
        step, search, kind = run.task.step, self.search, room_kind(self._state, run.task)
        if step.long_running or step.per_worker_max or kind[0] in self._waiting_pools:
            return None
        if not self.later_searches_left or kind in self._no_later_room:
            return None
        self.later_searches_left -= 1
        limit_s = search.remaining_s(run) - STOP_S
        best: tuple[float, WorkerView] | None = None
        for worker in search.allowed(run.task):
            free_s = search.free_after_s(worker, step.reserved)
            if free_s < limit_s and (best is None or free_s < best[0]):
                best = (free_s, worker)
        if best is None:
            # The others of this kind end sooner, so that they can't leave either.
            self._no_later_room.add(kind)
            return None
        return best[1]

"""Policy: how fast tasks in the leftovers may work beside tasks that serve users.

Answers interference that differs by image and changes within seconds: what fills the leftovers is
slowed as soon as a serving task's tail is over its target, stopped if that is not enough, and given
its speed back step by step once all tails are well below.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from toucandoor.core.scheduling.worker_view import Run, WorkerView

SLOWED_PERCENT: Final = 30
"""First speed of what fills once a tail is over its target."""
RAISE_STEP_PERCENT: Final = 20
"""Speed given back at each look, so that a tail that reacts shows before the next."""
SAFE_RATIO: Final = 0.7
"""Part of its target below which a tail leaves room for more."""
PACE_EVERY_S: Final = 0.5
"""Least time between two changes: the tails are of the last half second."""
FULL_PERCENT: Final = 100


def serving_runs(worker: WorkerView) -> list[Run]:
    """Return the runs whose users feel what fills beside them."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.tail_target_ms > 0 and run.state is RunState.RUNNING
    ]


def filling_runs(worker: WorkerView) -> list[Run]:
    """Return the runs in the leftovers."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.uses_leftovers and run.state is RunState.RUNNING and not run.stop_wanted
    ]


def needs_close_look(worker: WorkerView) -> bool:
    """Return whether a backend server has both, so that its tails must be looked at often."""
    return bool(filling_runs(worker)) and bool(serving_runs(worker))


def plan_paces(worker: WorkerView, now_s: float) -> dict[Run, int]:
    """Return the new speeds of runs in the leftovers, in percent, after a listing."""
    filling = filling_runs(worker)
    if not filling or now_s < worker.paced_s + PACE_EVERY_S:
        return {}
    ratios = [run.recent / run.task.step.tail_target_ms for run in serving_runs(worker)]
    worst = max(ratios, default=0.0)
    paces: dict[Run, int] = {}
    for run in filling:
        wanted = _next_percent(run.pace_percent, worst)
        if wanted != run.pace_percent:
            paces[run] = wanted
    return paces


def _next_percent(present: int, worst_ratio: float) -> int:
    if worst_ratio > 1.0:
        return SLOWED_PERCENT if present > SLOWED_PERCENT else 0
    if worst_ratio < SAFE_RATIO:
        return min(FULL_PERCENT, present + RAISE_STEP_PERCENT)
    return present

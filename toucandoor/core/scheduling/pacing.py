"""Speed limits of best-effort tasks that run beside latency-sensitive ones.

Best-effort tasks (`Step.uses_leftovers`) use processor that others leave unused. How much they slow
down their neighbours differs by image and changes within seconds. As soon as the tail latency of a
latency-sensitive task exceeds its target, best-effort runs on the same server are slowed down, and
stopped if that is not enough. They get their speed back step by step once all tail latencies are
well below their targets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from toucandoor.core.scheduling.worker_view import Run, WorkerView

REDUCED_SPEED_PERCENT: Final = 30
"""First speed limit of best-effort runs once a tail latency exceeds its target."""
SPEED_RAISE_PERCENT: Final = 20
"""Speed given back in one step, so that a reaction of the tail latency shows before the next."""
SAFE_RATIO: Final = 0.7
"""Ratio of tail latency to target below which speed limits may be raised."""
SPEED_LIMIT_INTERVAL_S: Final = 0.5
"""Shortest time between two changes, since reported tail latencies cover the last half second."""
FULL_PERCENT: Final = 100


def latency_sensitive_runs(worker: WorkerView) -> list[Run]:
    """Return the runs of tasks that serve users and have a target for their tail latency."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.tail_target_ms > 0 and run.state is RunState.RUNNING
    ]


def best_effort_runs(worker: WorkerView) -> list[Run]:
    """Return the runs that use only processor that others leave unused."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.uses_leftovers and run.state is RunState.RUNNING and not run.stop_requested
    ]


def needs_short_heartbeats(worker: WorkerView) -> bool:
    """Return whether a server has both kinds of runs, so that tail latencies are needed often."""
    return bool(best_effort_runs(worker)) and bool(latency_sensitive_runs(worker))


def plan_speed_limits(worker: WorkerView, now_s: float) -> dict[Run, int]:
    """Return the changed speed limits of best-effort runs, in percent, after a status report."""
    runs = best_effort_runs(worker)
    if not runs or now_s < worker.speed_limited_s + SPEED_LIMIT_INTERVAL_S:
        return {}
    ratios = [
        run.recent_metric / run.task.step.tail_target_ms for run in latency_sensitive_runs(worker)
    ]
    worst = max(ratios, default=0.0)
    limits: dict[Run, int] = {}
    for run in runs:
        percent = _next_percent(run.speed_limit_percent, worst)
        if percent != run.speed_limit_percent:
            limits[run] = percent
    return limits


def _next_percent(present: int, worst_ratio: float) -> int:
    if worst_ratio > 1.0:
        return REDUCED_SPEED_PERCENT if present > REDUCED_SPEED_PERCENT else 0
    if worst_ratio < SAFE_RATIO:
        return min(FULL_PERCENT, present + SPEED_RAISE_PERCENT)
    return present

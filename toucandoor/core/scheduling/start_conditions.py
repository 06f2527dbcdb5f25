"""Conditions under which a run may be started on its server, asked again before each start.

They are those under which the run was planned. Between the plan and a start its record is written,
the server may be silent, and a repeated start may come seconds after the first one.

Not asked again is what makes one server better than another: pauses, slowness, cold servers, racks
and the turn of the job. Nor is what stays true once it was: earlier steps are done, the time has
come.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.scheduling.placement import matching_workers

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run


class StartObstacle(Enum):
    """Why the start of a planned run may not be sent now."""

    DRAINING = "its server drains"
    CORDONED = "its server gets no new tasks"
    NO_ROOM = "its server has less room than planned"
    OTHER_POOL = "its queue has another pool"
    NOT_ALLOWED = "its server may not run its step"
    PER_SERVER_LIMIT = "its server has too many tasks of its step"
    CEILING = "its team is above its ceiling"


def start_obstacle(state: ScheduleState, run: Run) -> StartObstacle | None:
    """Return why the start of a planned run may not be sent now; None if it may."""
    worker, step = run.worker, state.step_of(run.task)
    job = state.jobs[run.task.key.job_id]
    if worker.entry.draining:
        return StartObstacle.DRAINING
    if worker.cordons:
        return StartObstacle.CORDONED
    if worker.overcommitted or worker.unknown_runs:
        return StartObstacle.NO_ROOM
    if worker.entry.pool != state.pool_of(job):
        return StartObstacle.OTHER_POOL
    if not _allowed(state, job, step, run):
        return StartObstacle.NOT_ALLOWED
    if _above_limit(step, run):
        return StartObstacle.PER_SERVER_LIMIT
    # The run itself is counted already.
    if not state.within_ceiling(job, NO_RESOURCES):
        return StartObstacle.CEILING
    return None


def may_send_start(run: Run) -> bool:
    """Return whether a start that has waited for a connection may still be written.

    It reads single values only, so that any thread may call it. A start that is withheld is looked
    at again by `start_obstacle`.
    """
    return not run.stop_requested and not run.worker.entry.draining and not run.worker.cordons


def _allowed(state: ScheduleState, job: JobProgress, step: StepProgress, run: Run) -> bool:
    """Return whether the server has the step's label and, with an adviser, a valid ticket."""
    queue = state.queue_of(job)
    step.forget_expired_tickets(state.now_s)
    if queue is not None and queue.adviser is not None and step.advice is None:
        return False
    return bool(matching_workers([run.worker], step))


def _above_limit(step: StepProgress, run: Run) -> bool:
    limit = step.step.per_worker_max
    if not limit:
        return False
    there = sum(key.task.step_key == step.key for key in run.worker.runs)
    return there > limit

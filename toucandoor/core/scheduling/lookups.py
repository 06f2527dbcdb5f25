"""Lookups in a job's progress, and the log fields of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.scheduling.progress import JobProgress, Task
    from toucandoor.core.scheduling.worker_view import Run

FULL_SPEED_PERCENT: Final = 100
"""Reported speed of a run that is not slowed down."""


def at_full_speed(task: Task) -> bool:
    """Return whether a long-running task has a run that is known to work at full speed."""
    return any(
        run.state is RunState.RUNNING
        and run.speed_percent == FULL_SPEED_PERCENT
        and not run.stop_requested
        and not run.worker.unresponsive
        for run in task.runs
    )


def find_task(job: JobProgress, key: TaskKey) -> Task | None:
    """Return the task with the given key; None if the job has no such task."""
    if key.step >= len(job.spec.steps) or key.occurrence >= job.spec.occurrences:
        return None
    if key.number >= job.spec.steps[key.step].count:
        return None
    return job.step(key.occurrence, key.step).tasks[key.number]


def task_text(key: TaskKey) -> str:
    """Return the place of a task in its job as ``occurrence.step.number``, for logs."""
    return f"{key.occurrence}.{key.step}.{key.number}"


def run_fields(run: Run) -> dict[str, object]:
    """Return the log fields that identify a run; lines with ``long_running`` are not left out."""
    lasting = {"long_running": True} if run.task.step.long_running else {}
    return lasting | {
        "job": run.task.key.job_id,
        "task": task_text(run.task.key),
        "attempt": run.key.attempt,
        "worker": run.worker.entry.worker_id,
    }


def lost_run_fields(run: Run, now_s: float) -> dict[str, object]:
    """Return the log fields that tell whether a lost run may have crashed its server."""
    since_s = now_s - run.confirmed_s if run.confirmed_s is not None else 0.0
    return {
        "confirmed": run.confirmed_s is not None,
        "reported": run.reported,
        "starts": run.starts_sent,
        "age_s": round(since_s, 3),
        "runs": len(run.worker.runs),
    }

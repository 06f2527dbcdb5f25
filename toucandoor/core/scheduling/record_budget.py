"""Keeps the progress of each job within the size of a value of the store.

A record has an entry for each task that has had a run and is not done. So a job gets no further
runs while its record is large, and goes on as its tasks are done.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress, Task
    from toucandoor.core.scheduling.worker_view import Run

BUDGET_RATIO: Final = 0.25
"""Share of the largest value up to which tasks get their first run. The rest is left to further
runs, checkpoints and failed attempts of these tasks."""
TASK_BYTES: Final = 32
"""Size of a task's entry, without its checkpoint and its runs."""
RUN_BYTES: Final = 39
"""Size of a run in it, without the ids of its server and VM."""


def run_bytes(run: Run) -> int:
    """Return about how much a new run adds to the record of its job."""
    task_bytes = TASK_BYTES + len(run.task.checkpoint) if run.key.attempt == 1 else 0
    entry = run.worker.entry
    return task_bytes + RUN_BYTES + len(entry.worker_id) + len(entry.vm_id or "")


def budget_bytes(job: JobProgress, value_bytes_max: int) -> float:
    """Return the size of a job's record up to which its tasks get their first run."""
    return value_bytes_max * BUDGET_RATIO * 0.5**job.rejected_writes


def may_plan(job: JobProgress, task: Task, value_bytes_max: int) -> bool:
    """Return whether the record of a job has room for another run of one of its tasks.

    A job without runs always gets one, as its record can only shrink when tasks are done.

    Args:
        job: The job.
        task: One of its tasks.
        value_bytes_max: Largest value of the store.
    """
    # The entry of a task that has had a run exists already; such tasks must not wait for each
    # other.
    limit_bytes = budget_bytes(job, value_bytes_max) * (2 if task.attempt > 0 else 1)
    return job.record_bytes < limit_bytes or not job.has_runs

"""Tasks that may crash the backend servers that start them.

A run that is lost with its server has no reported end, and so does not count as a failed attempt. A
task that crashes its servers would start without end, and each crash ends the runs beside it. A
lost run is counted here unless its server had gone on to report it for a while. A counted task is
then placed apart from others (see `placement`), so that the next crash shows which one is to blame.
A long-running task goes on being restarted apart from others; its job is not given up.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.models import JobState
from toucandoor.core.scheduling.lookups import run_fields
from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.scheduling.progress import JobProgress, Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run, WorkerView

_LOGGER = logging.getLogger(__name__)

CRASHES_MAX: Final = 3
"""Crashes at which a task is given up, if no other task may have caused the last one. By the
platform's rules two are enough; the third makes sure that the task ran apart from others."""
LOSSES_MAX: Final = 5
"""Lost runs, one after the other, at which a task is given up in any case. By the platform's rules
a task that crashes its servers may start twice after the third crash."""


class ServerCrashes:
    """Counts the runs that were lost with their servers, and gives up tasks that crash servers."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state

    def on_lost(self, worker: WorkerView, runs: Iterable[Run], *, ended: bool) -> None:
        """Count the runs that have been lost with a boot of a backend server.

        Args:
            worker: The boot.
            runs: The runs; they have been discarded, or may be on a later boot under the same id.
            ended: Whether they have certainly ended with the boot.
        """
        if worker.entry.draining:
            return  # its end was planned, and may have come before the ends of its runs
        suspects = [run for run in runs if _may_have_crashed_server(run)]
        for run in suspects:
            task = run.task
            job = self._state.jobs.get(task.key.job_id)
            if job is None or job.state.final or task.done or run.loss_counted:
                continue
            run.loss_counted = True
            if ended and run.confirmed_s is not None:
                task.crashes += 1
            else:
                task.unexplained_losses += 1
            task.lost_s = self._state.now_s
            self._state.mark_changed(job)
            if _must_give_up(task, alone=ended and len(suspects) == 1):
                self._give_up(job, run)

    def on_reported(self, run: Run) -> None:
        """Clear a task once a server has reported its run for long enough."""
        if not run.task.suspect or not run.harmless:
            return
        run.task.crashes = run.task.unexplained_losses = 0
        run.worker.clear_suspect(run)
        self._state.mark_changed(self._state.jobs[run.task.key.job_id])

    def _give_up(self, job: JobProgress, run: Run) -> None:
        _LOGGER.warning(
            "jobs: given up, as a task crashes its servers",
            extra=run_fields(run)
            | {
                "queue": job.spec.queue,
                "crashes": run.task.crashes,
                "unexplained": run.task.unexplained_losses,
            },
        )
        self._state.activity.jobs_given_up += 1
        self._state.finish(job, JobState.FAILED)


def _must_give_up(task: Task, *, alone: bool) -> bool:
    if task.step.long_running:
        return False  # runs until its job is cancelled, however its runs end
    if task.crashes + task.unexplained_losses >= LOSSES_MAX:
        return True
    return alone and task.crashes >= CRASHES_MAX


def _may_have_crashed_server(run: Run) -> bool:
    """Return whether a lost run may have begun, and may be the reason that its server ended."""
    sent = run.starts_sent + run.starts_unanswered > 0
    may_have_begun = sent or run.state in (RunState.RUNNING, RunState.RECOVERED)
    return may_have_begun and not run.harmless

"""Decides which runs are samples of run times, and measures them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.run_times.learned import task_weight
from toucandoor.core.run_times.models import OpenRun
from toucandoor.core.scheduling.pacing import FULL_PERCENT
from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run, WorkerView

START_ANSWER_S_MAX: Final = 0.2
"""Longest time from a start order to its confirmation. Answers of a region's servers take
milliseconds; a later confirmation is that of a status report, as the answer was lost."""
END_UNKNOWN_S_MAX: Final = 0.1
"""Longest time without an open heartbeat during which a sample may have ended. Tasks take about a
second and more."""
REFRESH_INTERVAL_S: Final = 0.25
"""Interval between two refreshes of the expected run times; a peak lasts some seconds."""
MS_PER_S: Final = 1000.0


class RunSamples:
    """Passes the run times of undisturbed runs to the model of run times."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._next_refresh_s = 0.0

    def on_done(self, run: Run, worker: WorkerView, sent_s: float) -> None:
        """Record the run time of a run that a server reports as done, if it is a sample.

        Args:
            run: The run.
            worker: The server.
            sent_s: When the heartbeat was sent that returned the end.
        """
        if run.confirmed_s is None or not _undisturbed(run):
            return
        # A server answers an open heartbeat as soon as a run ends. An answer right after the
        # heartbeat may be for a run that ended before it, at an unknown time.
        now_s = self._state.now_s
        closed_s = sent_s - max(worker.reported_s, run.confirmed_s)
        if closed_s > END_UNKNOWN_S_MAX and now_s - sent_s <= END_UNKNOWN_S_MAX:
            return
        state = self._state
        queue = state.jobs[run.task.key.job_id].spec.queue
        state.run_times.record(run.task.step, queue, now_s - run.confirmed_s)

    def refresh_if_due(self) -> None:
        """Let the model compute anew what is expected, a few times a second."""
        now_s = self._state.now_s
        if now_s >= self._next_refresh_s:
            self._next_refresh_s = now_s + REFRESH_INTERVAL_S
            self._state.run_times.refresh(self._open_runs(now_s))

    def _open_runs(self, now_s: float) -> Iterator[OpenRun]:
        for worker in self._state.workers.values():
            if worker.unresponsive:
                continue  # its runs may have ended
            for run in worker.runs.values():
                estimate_s = run.task.step.estimate_ms / MS_PER_S
                if run.confirmed_s is None or estimate_s <= 0 or not _undisturbed(run):
                    continue
                step = run.task.step
                queue = self._state.jobs[run.task.key.job_id].spec.queue
                elapsed_ratio = (now_s - run.confirmed_s) / estimate_s
                yield OpenRun(queue, step.image, estimate_s, elapsed_ratio, task_weight(step))


def _undisturbed(run: Run) -> bool:
    """Return whether a confirmed run tells how long its task takes on a server of usual speed.

    It must have been started by this owner from the task's beginning, beside its data, as the only
    run of the task, and without a speed limit, which any best-effort task may have had.
    """
    step = run.task.step
    return (
        not step.long_running
        and not step.uses_leftovers
        and run.state is RunState.RUNNING
        and run.starts_sent == 1
        and run.confirmed_s is not None
        and run.confirmed_s - run.order_sent_s <= START_ANSWER_S_MAX
        and not run.stop_requested
        and not run.checkpoint
        and len(run.task.runs) == 1
        and run.speed_limit_percent == FULL_PERCENT
        and not (step.data_rack and step.data_rack not in run.worker.entry.labels)
    )

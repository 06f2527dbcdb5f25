"""Times in which a long-running task that could run has no run, and why."""

from __future__ import annotations

import logging
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.cordons import CordonSource
from toucandoor.core.scheduling.idle_jobs import IdleJobs
from toucandoor.core.scheduling.lookups import task_text
from toucandoor.core.scheduling.run_gap_models import EndedGap, LastEnd, WaitCause
from toucandoor.core.scheduling.start_log import start_fields
from toucandoor.core.scheduling.worker_view import DiscardReason, RunState

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress, Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run, WorkerView

_LOGGER = logging.getLogger(__name__)

REVIEW_INTERVAL_S: Final = 0.25
LINE_AFTER_S: Final = 1.0
"""Time without a run after which a task is logged, and interval of the next lines."""
EVERY_SECOND_UNTIL_S: Final = 5.0
"""Length of a gap from which on each line comes after twice the time of the one before."""
NEVER_STARTED_LINE_AFTER_S: Final = 4.0
"""Time after which a task without any run so far is logged, as it may just wait for its turn."""
LINES_PER_REVIEW_MAX: Final = 25
"""Most lines of a review; the others follow in the next ones."""
ENDED_MAX: Final = 10_000
"""Most ended gaps that wait for the next report."""

_CORDON_ENDS: Final = {
    CordonSource.EVACUATION: LastEnd.EVACUATION,
    CordonSource.WAVE: LastEnd.MAINTENANCE,
    CordonSource.MOVE: LastEnd.MOVE,
}


@dataclass(slots=True)
class _Gap:
    """A time without a run.

    Attributes:
        since_s: Its begin, on the monotonic clock.
        last_end: How the last run ended.
        server: Server of that run; empty if there was none.
        cause: What the task waits for.
        accounted_s: Time up to which `waits` is complete.
        waits: Time that the task has waited for each cause.
        next_line_s: Length of the gap at which the next line is due.
        logged: Whether there has been a line.
        held_s: Longest time for which a run that never began has held the task meanwhile.
        holder: Log fields of that run.
    """

    since_s: float
    last_end: LastEnd
    server: str
    cause: WaitCause
    accounted_s: float
    waits: dict[WaitCause, float] = field(default_factory=dict)
    next_line_s: float = LINE_AFTER_S
    logged: bool = False
    held_s: float = 0.0
    holder: dict[str, object] = field(default_factory=dict)

    def account(self, now_s: float) -> None:
        """Add the time since the last call to that of the present cause."""
        waited_s = max(0.0, now_s - self.accounted_s)
        self.waits[self.cause] = self.waits.get(self.cause, 0.0) + waited_s
        self.accounted_s = now_s

    def wait_for(self, cause: WaitCause, now_s: float) -> None:
        """Set what the task waits for from now on."""
        self.account(now_s)
        self.cause = cause

    @property
    def main_cause(self) -> WaitCause:
        """What the task has waited for most of the time."""
        return max(self.waits, key=self.waits.__getitem__) if self.waits else self.cause


class RunGaps:
    """Tracks the long-running tasks without a run, by the events of the schedule.

    A run counts from its confirmation by a server until it ends, its stop is confirmed, or its
    server does not answer. Only tasks without such a run are reviewed.

    Attributes:
        idle_jobs: Tracks the jobs without any run.
    """

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self.idle_jobs = IdleJobs(state)
        self._open: dict[Task, _Gap] = {}
        self._ended_lines: deque[tuple[Task, _Gap, float]] = deque()
        self._ended: deque[EndedGap] = deque(maxlen=ENDED_MAX)
        self._longest_s = 0.0
        self._next_review_s = 0.0

    # Events of the schedule

    def on_opened(self, job: JobProgress, step: StepProgress) -> None:
        """Process that a step belongs to an occurrence that is due."""
        self.idle_jobs.on_opened(job)
        if not step.step.long_running:
            return
        for task in step.tasks:
            if task.waiting and task not in self._open:
                last_end = LastEnd.FORMER_OWNER if task.attempt else LastEnd.NEVER_STARTED
                self._begin(task, self._state.now_s, last_end, "", WaitCause.NEXT_PLACEMENT)

    def on_attached(self, job: JobProgress, run: Run) -> None:
        """Process a planned or recovered run."""
        self.idle_jobs.on_attached(job)
        if not run.task.step.long_running:
            return
        gap = self._open.get(run.task)
        if gap is not None:
            gap.wait_for(WaitCause.RECORD, self._state.now_s)
        elif run.state is RunState.RECOVERED:
            server = run.worker.entry.worker_id
            started_s = self._state.started_s
            self._begin(run.task, started_s, LastEnd.FORMER_OWNER, server, WaitCause.FORMER_RUN)

    def on_stopped(self, run: Run) -> None:
        """Process the confirmed stop of a run."""
        if not run.task.step.long_running or run.task in self._open:
            return
        if self._running(run.task) is None:
            now_s = self._state.now_s
            self._begin(run.task, now_s, _stopped_as(run), _server(run), WaitCause.STOP)

    def on_discarded(self, run: Run, reason: DiscardReason) -> None:
        """Process that a run without a reported end is about to be removed from its server."""
        begun = run.confirmed_s is not None or run.state is RunState.RECOVERED
        if not run.task.step.long_running or not begun or run.stop_acknowledged:
            return
        if self._running(run.task) not in (None, run):
            return
        now_s, worker = self._state.now_s, run.worker
        last_end = LastEnd.NOT_REPORTED
        if reason is DiscardReason.SERVER_LOST:
            expired = worker.unresponsive and worker.lease_expired(now_s)
            last_end = LastEnd.LEASE_EXPIRED if expired else LastEnd.SERVER_LOST
        gap = self._open.get(run.task)
        if gap is None:
            since_s = max(run.confirmed_s or 0.0, worker.answered_s)
            gap = self._begin(run.task, since_s, last_end, _server(run), WaitCause.SILENT_SERVER)
        gap.last_end = last_end

    def on_unbegun_discarded(self, run: Run, ended_by: str) -> None:
        """Process that a run is about to be discarded that no server has confirmed.

        Args:
            run: The run.
            ended_by: What ended it, for the log.
        """
        gap = self._open.get(run.task)
        now_s = self._state.now_s
        if gap is not None and not run.begun and now_s - run.created_s >= gap.held_s:
            gap.held_s = now_s - run.created_s
            gap.holder = _holder_fields(run, now_s) | {"ended_by": ended_by}

    def on_detached(self, job: JobProgress, run: Run) -> None:
        """Process the removal of a run."""
        self.idle_jobs.on_detached(job)
        task = run.task
        if not task.step.long_running:
            return
        if job.state.final or task.done:
            self._open.pop(task, None)
            return
        now_s = self._state.now_s
        gap = self._open.get(task)
        if gap is None and task.runs:
            return
        if gap is None:
            last_end = _stopped_as(run) if run.stop_requested else LastEnd.ENDED
            gap = self._begin(task, now_s, last_end, _server(run), WaitCause.NEXT_PLACEMENT)
        gap.wait_for(WaitCause.NEXT_PLACEMENT, now_s)

    # Review and reports

    def review(self) -> None:
        """Account for the tasks without a run, and log long gaps."""
        now_s = self._state.now_s
        if now_s < self._next_review_s:
            return
        self._next_review_s = now_s + REVIEW_INTERVAL_S
        self._begin_on_silent_servers(now_s)
        for task, gap in list(self._open.items()):
            self._review_task(task, gap, now_s)
        self._log(now_s)
        self.idle_jobs.review(now_s)

    def open_by_cause(self) -> Counter[WaitCause]:
        """Return the number of long-running tasks without a run by what they wait for."""
        return Counter(gap.cause for gap in self._open.values())

    def pop_ended(self) -> list[EndedGap]:
        """Return the gaps that have ended since the last call."""
        ended = list(self._ended)
        self._ended.clear()
        return ended

    def pop_longest_s(self) -> float:
        """Return the longest gap, after a run, that was open or has ended since the last call."""
        longest_s, self._longest_s = self._longest_s, 0.0
        now_s = self._state.now_s
        started = (gap for gap in self._open.values() if _had_run(gap))
        return max([longest_s, *(now_s - gap.since_s for gap in started)])

    def _begin(
        self, task: Task, since_s: float, last_end: LastEnd, server: str, cause: WaitCause
    ) -> _Gap:
        gap = _Gap(since_s, last_end, server, cause, since_s)
        if not _had_run(gap):
            gap.next_line_s = NEVER_STARTED_LINE_AFTER_S
        self._open[task] = gap
        return gap

    def _begin_on_silent_servers(self, now_s: float) -> None:
        for worker in [*self._state.workers.values(), *self._state.former_boots]:
            if worker.runs and worker.unresponsive:
                for run in worker.runs.values():
                    if run.task.step.long_running and run.task not in self._open:
                        self._begin_if_silent(run, worker, now_s)

    def _begin_if_silent(self, run: Run, worker: WorkerView, now_s: float) -> None:
        if self._running(run.task) is not None:
            return  # another run of the task counts
        since_s = min(now_s, max(run.confirmed_s or run.created_s, worker.answered_s))
        server = worker.entry.worker_id
        self._begin(run.task, since_s, LastEnd.SERVER_SILENT, server, WaitCause.SILENT_SERVER)

    def _review_task(self, task: Task, gap: _Gap, now_s: float) -> None:
        job = self._state.jobs.get(task.key.job_id)
        if job is None or job.state.final or task.done:
            del self._open[task]
            return
        step = self._state.step_of(task)
        if not task.runs and not job.runnable(step):
            gap.since_s = gap.accounted_s = now_s
            gap.waits.clear()
            return
        running = self._running(task)
        if running is None:
            gap.wait_for(_cause(task, step), now_s)
            return
        # A run that was confirmed before the gap began is one whose server answers again.
        confirmed_s = running.confirmed_s or now_s
        end_s = confirmed_s if confirmed_s > gap.since_s else now_s
        gap.account(end_s)
        self._end(task, gap, end_s)

    def _end(self, task: Task, gap: _Gap, end_s: float) -> None:
        del self._open[task]
        gap_s = end_s - gap.since_s
        self._ended.append(EndedGap(gap_s, gap.last_end, gap.main_cause))
        if _had_run(gap):
            self._longest_s = max(self._longest_s, gap_s)
        if gap.logged or (_had_run(gap) and gap_s >= LINE_AFTER_S):
            self._ended_lines.append((task, gap, gap_s))

    def _running(self, task: Task) -> Run | None:
        for run in task.runs:
            stopped = run.stop_acknowledged
            if run.state is RunState.RUNNING and not stopped and not run.worker.unresponsive:
                return run
        return None

    def _log(self, now_s: float) -> None:
        lines = 0
        while self._ended_lines and lines < LINES_PER_REVIEW_MAX:
            task, gap, gap_s = self._ended_lines.popleft()
            _LOGGER.info(
                "runs: a long-running task runs again", extra=self._fields(task, gap, gap_s)
            )
            lines += 1
        due = [
            (not _had_run(gap), gap.logged, gap.since_s, number, task, gap)
            for number, (task, gap) in enumerate(self._open.items())
            if now_s - gap.since_s >= gap.next_line_s
        ]
        for *_, task, gap in sorted(due, key=lambda each: each[:4])[: LINES_PER_REVIEW_MAX - lines]:
            gap_s = now_s - gap.since_s
            _LOGGER.info(
                "runs: a long-running task has had no run for a while",
                extra=self._fields(task, gap, gap_s),
            )
            gap.logged = True
            gap.next_line_s = (
                int(gap_s) + LINE_AFTER_S if gap_s < EVERY_SECOND_UNTIL_S else 2 * gap_s
            )

    def _fields(self, task: Task, gap: _Gap, gap_s: float) -> dict[str, object]:
        job = self._state.jobs.get(task.key.job_id)
        waits = sorted(gap.waits.items(), key=lambda each: -each[1])
        return {
            "job": task.key.job_id,
            "task": task_text(task.key),
            "long_running": True,
            "pool": "" if job is None else self._state.pool_of(job),
            "worker": gap.server,
            "gap_s": round(gap_s, 3),
            "ended_as": gap.last_end.value,
            "waited_for": gap.main_cause.value,
            "waits": ", ".join(f"{cause.value}: {wait_s:.2f} s" for cause, wait_s in waits),
        } | self._holder(task, gap)

    def _holder(self, task: Task, gap: _Gap) -> dict[str, object]:
        """Return the fields of the run that has held a task for longest without having begun."""
        now_s = self._state.now_s
        unbegun = [run for run in task.runs if not run.begun]
        if unbegun and now_s - unbegun[0].created_s > gap.held_s:
            return _holder_fields(unbegun[0], now_s)
        return gap.holder


def _had_run(gap: _Gap) -> bool:
    return gap.last_end is not LastEnd.NEVER_STARTED


def _holder_fields(run: Run, now_s: float) -> dict[str, object]:
    fields = start_fields(run, now_s)
    return fields | {"held_by": _server(run), "held_attempt": run.key.attempt}


def _server(run: Run) -> str:
    return run.worker.entry.worker_id


def _stopped_as(run: Run) -> LastEnd:
    """Return why a run was stopped, by what takes its server out of use."""
    sources = {cordon.source for cordon in run.worker.cordons}
    for source, last_end in _CORDON_ENDS.items():
        if source in sources:
            return last_end
    return LastEnd.DRAINING if run.worker.entry.draining else LastEnd.STOPPED


def _cause(task: Task, step: StepProgress) -> WaitCause:
    """Return what a task without a confirmed run on an answering server waits for."""
    if not task.runs:
        return step.wait or WaitCause.NEXT_PLACEMENT
    run = task.runs[-1]
    if run.state is RunState.PLANNED:
        return WaitCause.RECORD
    if run.worker.unresponsive:
        return WaitCause.SILENT_SERVER
    if run.stop_requested:
        return WaitCause.STOP
    if run.state is RunState.RECOVERED:
        return WaitCause.FORMER_RUN
    return WaitCause.START_ANSWERED if run.starts_sent else WaitCause.START_SENT

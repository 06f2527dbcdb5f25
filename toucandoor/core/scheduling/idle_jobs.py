"""Jobs with tasks that could run and no run at all."""

from __future__ import annotations

import heapq
import logging
from collections import Counter
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.run_gap_models import WaitCause

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import JobId

_LOGGER = logging.getLogger(__name__)

REVIEW_INTERVAL_S: Final = 1.0
LINE_AFTER_S: Final = 3.0
"""Time without a run after which a job that has begun is logged; doubled for each further line."""
UNBEGUN_LINE_AFTER_S: Final = 6.0
"""The same for a job that has not begun, as it may just wait for its turn."""
LINES_PER_REVIEW_MAX: Final = 5


class IdleJobs:
    """Tracks since when jobs that could run have no run, by the events of the schedule."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._runs: Counter[JobId] = Counter()
        self._since_s: dict[JobId, float] = {}
        # By whether the job has begun, so that those in the queue do not delay the others' lines.
        self._due: dict[bool, list[tuple[float, JobId, float]]] = {True: [], False: []}
        self._next_review_s = 0.0

    def on_opened(self, job: JobProgress) -> None:
        """Process that a step of a job may run from now on."""
        job_id = job.spec.job_id
        if not self._runs[job_id] and job_id not in self._since_s:
            self._begin(job)

    def on_attached(self, job: JobProgress) -> None:
        """Process a planned or recovered run."""
        job_id = job.spec.job_id
        self._runs[job_id] += 1
        self._since_s.pop(job_id, None)

    def on_detached(self, job: JobProgress) -> None:
        """Process the removal of a run."""
        job_id = job.spec.job_id
        self._runs[job_id] -= 1
        if self._runs[job_id] > 0:
            return
        del self._runs[job_id]
        if not job.state.final and _open_step(job) is not None:
            self._begin(job)

    def review(self, now_s: float) -> None:
        """Log the jobs that have had no run for a while."""
        if now_s < self._next_review_s:
            return
        self._next_review_s = now_s + REVIEW_INTERVAL_S
        for due in self._due.values():
            self._log_due(due, now_s)

    def _log_due(self, due: list[tuple[float, JobId, float]], now_s: float) -> None:
        lines = 0
        while due and due[0][0] <= now_s and lines < LINES_PER_REVIEW_MAX:
            _, job_id, since_s = heapq.heappop(due)
            job = self._state.jobs.get(job_id)
            if job is None or job.state.final:
                self._since_s.pop(job_id, None)
                self._runs.pop(job_id, None)
                continue
            if self._since_s.get(job_id) != since_s:
                continue
            step = _open_step(job)
            if step is None:
                del self._since_s[job_id]
                continue
            self._log(job, step, now_s - since_s)
            lines += 1
            heapq.heappush(due, (2 * now_s - since_s, job_id, since_s))

    def _begin(self, job: JobProgress) -> None:
        now_s = self._state.now_s
        job_id = job.spec.job_id
        self._since_s[job_id] = now_s
        after_s = LINE_AFTER_S if job.started else UNBEGUN_LINE_AFTER_S
        heapq.heappush(self._due[job.started], (now_s + after_s, job_id, now_s))

    def _log(self, job: JobProgress, step: StepProgress, gap_s: float) -> None:
        _LOGGER.info(
            "jobs: nothing of a job has run for a while",
            extra={
                "job": job.spec.job_id,
                "queue": job.spec.queue,
                "pool": self._state.pool_of(job),
                "gap_s": round(gap_s, 3),
                "begun": int(job.started),
                "waited_for": (step.wait or WaitCause.NEXT_PLACEMENT).value,
            },
        )


def _open_step(job: JobProgress) -> StepProgress | None:
    """Return a step of a job that may run and is not done; None if there is none."""
    for step in job.steps.values():
        if step.remaining and job.runnable(step):
            return step
    return None

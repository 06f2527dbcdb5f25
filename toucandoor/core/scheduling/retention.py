"""Removes the records of jobs that ended long ago.

This keeps the store small, and short the time in which a new owner reads all records.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.records import cancel_key, job_key, progress_key
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling.state import MS_PER_S

if TYPE_CHECKING:
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import JobId

_LOGGER = logging.getLogger(__name__)

RETENTION_MARGIN_S: Final = 60.0
"""Added to the promised retention of a job's state: clocks differ, and a submission may be repeated
seconds late."""
REMOVED_JOBS_MAX: Final = 10
"""Most jobs in one removal: each has up to three keys, beside the owner's, and the store accepts 32
entries."""
CHECK_INTERVAL_S: Final = 10.0
"""Time between two searches for jobs whose records are due for removal."""


class Retention:
    """Plans the removal of job records whose retention period has ended."""

    def __init__(self, state: ScheduleState, retention_s: float) -> None:
        self._state = state
        self._retention_s = retention_s + RETENTION_MARGIN_S
        self._next_check_s = 0.0
        self._removing: list[JobId] = []

    def removal(self) -> Transaction | None:
        """Return the next removal; None if nothing is due or a removal is in flight."""
        state = self._state
        now_s = state.now_s
        if self._removing or now_s < self._next_check_s:
            return None
        due_ms = state.now_unix_ms - self._retention_s * MS_PER_S
        due = [
            job_id
            for job_id, job in state.jobs.items()
            if job.state.final
            and 0 < job.finished_unix_ms < due_ms
            and job_id not in state.open_jobs
            and job_id not in state.dirty
            and not job.write_in_flight
        ][:REMOVED_JOBS_MAX]
        if not due:
            self._next_check_s = now_s + CHECK_INTERVAL_S
            return None
        self._removing = due
        keys = [key(job_id) for job_id in due for key in (job_key, progress_key)]
        keys += [cancel_key(job_id) for job_id in due if state.jobs[job_id].cancelled]
        owner = {state.settings.owner_key: state.settings.owner_revision}
        return Transaction(owner, removals=tuple(keys))

    def removed(self, *, ok: bool) -> None:
        """Process the result of the removal in flight."""
        if ok:
            for job_id in self._removing:
                del self._state.jobs[job_id]
            _LOGGER.info("jobs: records removed", extra={"jobs": len(self._removing)})
        else:
            self._next_check_s = self._state.now_s + CHECK_INTERVAL_S
        self._removing = []

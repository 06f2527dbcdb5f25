"""Removes the records of jobs that ended long ago.

This keeps the store small, and short the time in which a new owner reads all records.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from toucandoor.core.jobs.records import cancel_key, job_key, progress_key
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling.state import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.records import Record
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import JobId

_LOGGER = logging.getLogger(__name__)

RETENTION_MARGIN_S: Final = 60.0
"""Added to the promised retention of a job's state: clocks differ, and a submission may be repeated
seconds late."""
REMOVED_JOBS_MAX: Final = 7
"""Most jobs in one removal: each has an expected revision and up to three keys, beside the owner's,
and the store accepts 32 entries."""
CHECK_INTERVAL_S: Final = 10.0
"""Time between two searches for jobs whose records are due for removal."""


class _EndedJob(NamedTuple):
    finished_unix_ms: int
    revision: int


class Retention:
    """Plans the removal of job records whose retention period has ended.

    A removal expects the revision of each job's progress, so that one that the store carries out
    late removes nothing of a job that has been submitted again under the id. Jobs that ended under
    a former owner are not in the schedule; they are passed to `add_ended`.
    """

    def __init__(self, state: ScheduleState, retention_s: float) -> None:
        self._state = state
        self._retention_s = retention_s + RETENTION_MARGIN_S
        self._next_check_s = 0.0
        self._removing: list[JobId] = []
        self._ended_before: dict[JobId, _EndedJob] = {}

    def add_ended(self, job_id: JobId, finished_unix_ms: int, revision: int) -> None:
        """Add a job that ended under a former owner and is not in the schedule.

        Args:
            job_id: The job.
            finished_unix_ms: When it ended.
            revision: Revision of its progress in the store.
        """
        if job_id not in self._state.jobs:
            self._ended_before[job_id] = _EndedJob(finished_unix_ms, revision)

    def removal(self) -> Transaction | None:
        """Return the next removal; None if nothing is due or a removal is in flight."""
        state = self._state
        now_s = state.now_s
        if self._removing or now_s < self._next_check_s:
            return None
        due = self._due_jobs()
        if not due:
            self._next_check_s = now_s + CHECK_INTERVAL_S
            return None
        self._removing = due
        keys = [key for job_id in due for key in self._keys(job_id)]
        expected = {state.settings.owner_key: state.settings.owner_revision}
        expected |= {progress_key(job_id): self._revision_of(job_id) for job_id in due}
        return Transaction(expected, removals=tuple(keys))

    def _revision_of(self, job_id: JobId) -> int:
        job = self._state.jobs.get(job_id)
        return self._ended_before[job_id].revision if job is None else job.revision

    def _due_jobs(self) -> list[JobId]:
        state = self._state
        due_ms = state.now_unix_ms - self._retention_s * MS_PER_S
        due = [
            job_id
            for job_id, ended in self._ended_before.items()
            if ended.finished_unix_ms < due_ms and job_id not in state.jobs
        ]
        due += [
            job_id
            for job_id, job in state.jobs.items()
            if job.state.final
            and 0 < job.finished_unix_ms < due_ms
            and job_id not in state.open_jobs
            and job_id not in state.dirty
            and not job.write_in_flight
        ]
        return due[:REMOVED_JOBS_MAX]

    def _keys(self, job_id: JobId) -> list[str]:
        """Return the keys of a job's records that the store may still have."""
        state = self._state
        job = state.jobs.get(job_id)
        keys = [progress_key(job_id)]
        if job is not None and job.spec_stored:
            keys.append(job_key(job_id))
        if job_id in state.early_cancels or (job is not None and job.cancelled):
            keys.append(cancel_key(job_id))
        return keys

    def removed(self, *, ok: bool) -> None:
        """Process the result of the removal in flight."""
        if ok:
            for job_id in self._removing:
                self._forget(job_id)
            _LOGGER.info("jobs: records removed", extra={"jobs": len(self._removing)})
        else:
            self._next_check_s = self._state.now_s + CHECK_INTERVAL_S
        self._removing = []

    def conflicted(self, present: Iterable[Record]) -> None:
        """Process a removal that found other revisions than expected, and removed nothing.

        Args:
            present: The expected records as the store has them.
        """
        revisions = {record.key: record.revision for record in present}
        if revisions.get(self._state.settings.owner_key) == self._state.settings.owner_revision:
            for job_id in self._removing:
                revision = revisions.get(progress_key(job_id))
                job = self._state.jobs.get(job_id)
                if revision is None:
                    # An earlier removal without an answer has taken effect.
                    self._forget(job_id)
                elif job is not None:
                    job.revision = revision
                elif revision != self._ended_before[job_id].revision:
                    # It has been submitted again; the next owner reads when it has ended.
                    del self._ended_before[job_id]
        self.removed(ok=False)

    def _forget(self, job_id: JobId) -> None:
        self._state.jobs.pop(job_id, None)
        self._state.early_cancels.discard(job_id)
        self._ended_before.pop(job_id, None)

"""Takes jobs in, cancels them and tells their state, by records in the platform's store."""

from __future__ import annotations

import logging
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import (
    PENDING_KEY,
    CancelRecord,
    cancel_key,
    decode_job,
    decode_pending,
    decode_progress,
    encode,
    job_key,
    progress_key,
)
from toucandoor.core.records import Transaction, TransactionConflictError
from toucandoor.exceptions import StoreAnswerLostError, StoreError, StoreUnavailableError

if TYPE_CHECKING:
    from toucandoor.clock import Clock
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.records import Record, RecordStore
    from toucandoor.ids import JobId, QueueId, TeamId

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S: Final = 0.1
"""Pause before a write without an answer is read back or sent again."""
PENDING_CACHE_S: Final = 0.3
"""How long a count of waiting jobs is shown again; callers may be shown one of two seconds ago."""


class WriteOutcome(Enum):
    """What became of a write."""

    STORED = "stored"
    NOT_STORED = "not_stored"
    """Nothing was written, and nothing will be."""
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobStatus:
    """What is known of a job.

    Attributes:
        queue: Queue that it was handed in to.
        team: Team that handed it in.
        state: How far it is.
    """

    queue: QueueId
    team: TeamId
    state: JobState


class JobService(ABC):
    """Jobs as callers deal with them. Calls block."""

    @abstractmethod
    def submit(self, spec: JobSpec, until_s: float) -> WriteOutcome:
        """Store a job; one that is there already is stored.

        Args:
            spec: The job.
            until_s: When the caller stops waiting, on the monotonic clock.
        """

    @abstractmethod
    def cancel(self, job_id: JobId, until_s: float) -> WriteOutcome:
        """Store the cancellation of a job."""

    @abstractmethod
    def status(self, job_id: JobId) -> JobStatus | None:
        """Return what is known of a job, None where there is none.

        Raises:
            ToucandoorError: Nobody who knows answers.
        """

    @abstractmethod
    def pending(self, queue: QueueId) -> int:
        """Return how many jobs of a queue have no started task.

        Raises:
            ToucandoorError: Nobody who knows answers.
        """


class StoreJobService(JobService):
    """Jobs by records in the platform's store."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._pending: dict[QueueId, int] = {}
        self._pending_until_s = 0.0

    def submit(self, spec: JobSpec, until_s: float) -> WriteOutcome:
        """Store a job; one that is there already is stored."""
        key = job_key(spec.job_id)
        return self._create(Transaction({key: 0}, {key: encode(spec)}), key, until_s)

    def cancel(self, job_id: JobId, until_s: float) -> WriteOutcome:
        """Store the cancellation of a job."""
        key = cancel_key(job_id)
        value = encode(CancelRecord(int(self._clock.now().timestamp() * 1000)))
        return self._create(Transaction({key: 0}, {key: value}), key, until_s)

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return what is known of a job, None where there is none."""
        progress = self._store.read(progress_key(job_id))
        if progress is not None:
            record = decode_progress(progress.value)
            return JobStatus(record.queue, record.team, record.state)
        job = self._store.read(job_key(job_id))
        if job is None:
            return None
        spec = decode_job(job.value)
        return JobStatus(spec.queue, spec.team, JobState.QUEUED)

    def pending(self, queue: QueueId) -> int:
        """Return how many jobs of a queue have no started task."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._pending_until_s:
            record = self._store.read(PENDING_KEY)
            self._pending = _pending_counts(record)
            self._pending_until_s = now_s + PENDING_CACHE_S
        return self._pending.get(queue, 0)

    def _create(self, transaction: Transaction, key: str, until_s: float) -> WriteOutcome:
        """Create a record; where an answer is lost, repeat the write until its fate is known."""
        in_doubt = False
        while True:
            try:
                self._store.write(transaction)
                return WriteOutcome.STORED
            except TransactionConflictError:
                return WriteOutcome.STORED  # the record exists
            except StoreUnavailableError as err:
                if not in_doubt:
                    _LOGGER.warning("submissions: %s was not stored: %s", key, err)
                    return WriteOutcome.NOT_STORED
            except StoreAnswerLostError as err:
                in_doubt = True
                _LOGGER.warning("submissions: whether %s is stored is unknown: %s", key, err)
            except StoreError as err:
                _LOGGER.warning("submissions: %s failed: %s", key, err)
                return WriteOutcome.UNKNOWN
            if self._clock.monotonic_s() + RETRY_PAUSE_S >= until_s:
                return WriteOutcome.UNKNOWN
            time.sleep(RETRY_PAUSE_S)


def _pending_counts(record: Record | None) -> dict[QueueId, int]:
    if record is None:
        return {}
    try:
        return decode_pending(record.value).by_queue
    except msgspec.MsgspecError as err:
        _LOGGER.error("submissions: the count of waiting jobs cannot be read: %s", err)
        return {}

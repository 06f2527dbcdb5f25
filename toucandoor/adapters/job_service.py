"""Service to submit, cancel and query jobs, on records in the platform's store."""

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
    PendingRecord,
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
from toucandoor.ids import QueueAddress

if TYPE_CHECKING:
    from toucandoor.clock import Clock
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.records import Record, RecordStore
    from toucandoor.ids import JobId, QueueId, TeamId

_LOGGER = logging.getLogger(__name__)

RETRY_PAUSE_S: Final = 0.1
"""Pause before a write without an answer is sent again."""
PENDING_CACHE_S: Final = 0.3
"""Time for which the counts of waiting jobs are cached; callers may get counts up to two
seconds old."""
NO_PENDING: Final = PendingRecord({}, {})
NO_ADDRESS: Final = QueueAddress("")


class WriteOutcome(Enum):
    """Outcome of a write."""

    STORED = "stored"
    NOT_STORED = "not_stored"
    """Nothing was written, and nothing will be written later."""
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Queue, team and state of a job.

    Attributes:
        queue: Queue to which it was submitted.
        team: Team that submitted it.
        state: Its present state.
        address: Address of the queue; empty if an older build has stored the job.
    """

    queue: QueueId
    team: TeamId
    state: JobState
    address: QueueAddress = QueueAddress("")


class JobService(ABC):
    """Interface to submit, cancel and query jobs. Calls block."""

    @abstractmethod
    def submit(self, spec: JobSpec, until_s: float) -> WriteOutcome:
        """Store a job; a job that exists already counts as stored.

        Args:
            spec: The job.
            until_s: When the caller stops waiting, on the monotonic clock.
        """

    @abstractmethod
    def cancel(self, job_id: JobId, until_s: float) -> WriteOutcome:
        """Store the cancellation of a job."""

    @abstractmethod
    def status(self, job_id: JobId) -> JobStatus | None:
        """Return the status of a job; None if it does not exist.

        Raises:
            ToucandoorError: Neither the store nor a peer answered.
        """

    @abstractmethod
    def pending(self, queue: QueueId, address: QueueAddress = NO_ADDRESS) -> int:
        """Return how many jobs of a queue have no started task.

        Args:
            queue: Name of the queue.
            address: Its address; empty in questions of older builds.

        Raises:
            ToucandoorError: Neither the store nor a peer answered.
        """


class StoreJobService(JobService):
    """Job service that reads and writes records in the platform's store itself."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._pending = NO_PENDING
        self._pending_until_s = 0.0

    def submit(self, spec: JobSpec, until_s: float) -> WriteOutcome:
        """Store a job; a job that exists already counts as stored."""
        key = job_key(spec.job_id)
        # The owner removes the record of a job that has ended; its progress remains for a while.
        expected = {key: 0, progress_key(spec.job_id): 0}
        return self._create(Transaction(expected, {key: encode(spec)}), key, until_s)

    def cancel(self, job_id: JobId, until_s: float) -> WriteOutcome:
        """Store the cancellation of a job."""
        key = cancel_key(job_id)
        value = encode(CancelRecord(int(self._clock.now().timestamp() * 1000)))
        return self._create(Transaction({key: 0}, {key: value}), key, until_s)

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return the status of a job; None if it does not exist."""
        status = self._status_by_progress(job_id)
        if status is not None:
            return status
        job = self._store.read(job_key(job_id))
        if job is None:
            # It may have begun and ended between the two reads.
            return self._status_by_progress(job_id)
        spec = decode_job(job.value)
        return JobStatus(spec.queue, spec.team, JobState.QUEUED, spec.address)

    def _status_by_progress(self, job_id: JobId) -> JobStatus | None:
        progress = self._store.read(progress_key(job_id))
        if progress is None:
            return None
        record = decode_progress(progress.value)
        return JobStatus(record.queue, record.team, record.state, record.address)

    def pending(self, queue: QueueId, address: QueueAddress = NO_ADDRESS) -> int:
        """Return how many jobs of a queue have no started task."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._pending_until_s:
            record = self._store.read(PENDING_KEY)
            self._pending = _pending_counts(record)
            self._pending_until_s = now_s + PENDING_CACHE_S
        counts = self._pending
        if address and counts.by_address is not None:
            return counts.by_address.get(address, 0)
        return counts.by_queue.get(queue, 0)

    def _create(self, transaction: Transaction, key: str, until_s: float) -> WriteOutcome:
        """Create a record; repeat the write after a lost answer, until its outcome is known."""
        in_doubt = False
        while True:
            try:
                self._store.write(transaction)
                return WriteOutcome.STORED
            except TransactionConflictError:
                return WriteOutcome.STORED  # the record exists
            except StoreUnavailableError as err:
                if not in_doubt:
                    _LOGGER.warning("submissions: record %s was not stored: %s", key, err)
                    return WriteOutcome.NOT_STORED
            except StoreAnswerLostError as err:
                in_doubt = True
                _LOGGER.warning(
                    "submissions: outcome of writing record %s is unknown: %s", key, err
                )
            except StoreError as err:
                _LOGGER.warning("submissions: writing record %s failed: %s", key, err)
                return WriteOutcome.UNKNOWN
            if self._clock.monotonic_s() + RETRY_PAUSE_S >= until_s:
                return WriteOutcome.UNKNOWN
            time.sleep(RETRY_PAUSE_S)


def _pending_counts(record: Record | None) -> PendingRecord:
    if record is None:
        return NO_PENDING
    try:
        return decode_pending(record.value)
    except msgspec.MsgspecError as err:
        _LOGGER.error("submissions: the record of waiting jobs cannot be decoded: %s", err)
        return NO_PENDING

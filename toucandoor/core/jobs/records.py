"""Records of jobs in the platform's store: keys, and encoding of what they hold."""

from __future__ import annotations

from typing import Final

import msgspec

from toucandoor.core.jobs.models import JobSpec, JobState
from toucandoor.ids import JobId, QueueId, TeamId, WorkerId

INTAKE_PREFIX: Final = "work/"
"""Jobs and cancellations as entry VMs commit them; the schedule's owner watches it."""
JOB_PREFIX: Final = "work/job/"
CANCEL_PREFIX: Final = "work/cancel/"
PROGRESS_PREFIX: Final = "progress/"
PENDING_KEY: Final = "pending"
"""Jobs without a started task by queue, as the owner last counted them."""


def job_key(job_id: JobId) -> str:
    """Return the key of a job's specification."""
    return JOB_PREFIX + job_id


def cancel_key(job_id: JobId) -> str:
    """Return the key of a job's cancellation."""
    return CANCEL_PREFIX + job_id


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job_id


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that may exist on a backend server.

    Attributes:
        attempt: Number of the start.
        worker_id: Backend server that was chosen.
        worker_born_unix_ms: Boot of the backend server that was meant.
    """

    attempt: int
    worker_id: WorkerId
    worker_booted_unix_ms: int


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a task that has started at least once and is not done.

    Attributes:
        occurrence: Occurrence of the job.
        step: Number of the step.
        index: Number of the task in the step.
        attempt: Highest attempt number used.
        failed_attempts: Attempts that failed.
        checkpoint: Latest saved progress.
        runs: Runs that may exist.
    """

    occurrence: int
    step: int
    index: int
    attempt: int
    failed_attempts: tuple[int, ...]
    checkpoint: str
    runs: tuple[RunRecord, ...]


class DoneRecord(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of a step that are done."""

    occurrence: int
    step: int
    indexes: tuple[int, ...]


class ProgressRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a job as it is kept in the store.

    Attributes:
        state: State that callers are shown.
        queue: Queue of the job, so that its state can be told from this record alone.
        team: Team of the job.
        started: Whether any task has ever started.
        version: Grows with each write; tells a write's own content from others.
        done: Tasks that are done, by step.
        tasks: Tasks that have started and are not done.
        finished_unix_ms: When it reached a final state; 0 before.
    """

    state: JobState
    queue: QueueId
    team: TeamId
    started: bool = False
    version: int = 0
    done: tuple[DoneRecord, ...] = ()
    tasks: tuple[TaskRecord, ...] = ()
    finished_unix_ms: int = 0


class CancelRecord(msgspec.Struct, frozen=True):
    """A cancellation that was accepted."""

    cancelled_unix_ms: int


class PendingRecord(msgspec.Struct, frozen=True):
    """Jobs without a started task, by queue."""

    by_queue: dict[QueueId, int]


_JOB_DECODER = msgspec.json.Decoder(JobSpec)
_PROGRESS_DECODER = msgspec.json.Decoder(ProgressRecord)
_PENDING_DECODER = msgspec.json.Decoder(PendingRecord)


def encode(record: JobSpec | ProgressRecord | CancelRecord | PendingRecord) -> bytes:
    """Return a record's bytes."""
    return msgspec.json.encode(record)


def decode_job(value: bytes) -> JobSpec:
    """Decode a job's specification.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    return _JOB_DECODER.decode(value)


def decode_progress(value: bytes) -> ProgressRecord:
    """Decode a job's progress.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    return _PROGRESS_DECODER.decode(value)


def decode_pending(value: bytes) -> PendingRecord:
    """Decode the count of jobs that wait.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    return _PENDING_DECODER.decode(value)

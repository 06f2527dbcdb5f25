"""Records of jobs in the store: their keys and their encoding."""

from __future__ import annotations

from typing import Final

import msgspec

from toucandoor.core.jobs.models import JobSpec, JobState
from toucandoor.core.jobs.ranges import NumberRanges
from toucandoor.ids import JobId, QueueAddress, QueueId, TeamId, VmId, WorkerId

INTAKE_PREFIX: Final = "work/"
"""Prefix of the jobs and cancellations that entry VMs have accepted; the schedule's owner watches
it."""
JOB_PREFIX: Final = "work/job/"
CANCEL_PREFIX: Final = "work/cancel/"
PROGRESS_PREFIX: Final = "progress/"
PENDING_KEY: Final = "pending"
"""Key of the owner's latest count of jobs without a started task, by queue."""


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
        attempt: Attempt number of the run, counted per task.
        worker_id: Backend server that the run was assigned to.
        worker_booted_unix_ms: Start of the boot that the run was assigned to.
        vm_id: VM of that boot; None if not known.
        settled: Whether that boot has reported the run and no start of it is unanswered, so that
            it can't be on another boot.
    """

    attempt: int
    worker_id: WorkerId
    worker_booted_unix_ms: int
    vm_id: VmId | None = None
    settled: bool = False


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a task that has had a planned run, and is not done or may still have runs.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task in the step.
        attempt: Highest attempt number used.
        failed_attempts: Numbers of the failed attempts.
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


class LossRecord(msgspec.Struct, frozen=True, array_like=True):
    """Runs of a task that were lost with their backend servers.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        index: Number of the task in the step.
        crashes: Backend servers that crashed with a run of it.
        unexplained: Further runs that were lost.
    """

    occurrence: int
    step: int
    index: int
    crashes: int
    unexplained: int


class DoneRecord(msgspec.Struct, frozen=True, array_like=True):
    """Tasks that are done.

    Attributes:
        occurrence: Number of the occurrence; a pair stands for all from its first to its last, of
            which all tasks are done.
        step: Number of the step; not used with a pair.
        indexes: Numbers of the tasks in the step; empty with a pair.
    """

    occurrence: int | tuple[int, int]
    step: int
    indexes: NumberRanges


class ProgressRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of a job as stored.

    Attributes:
        state: State that callers see.
        queue: Queue of the job, so that a status request needs no other record.
        team: Team of the job.
        started: Whether a run of any task is known to have begun; older builds set it with the
            first plan.
        version: Grows with each write, so that an owner can recognise its own write.
        done: Tasks that are done, by step.
        tasks: Tasks that have had a planned run, and are not done or may still have runs.
        finished_unix_ms: When it reached a final state; 0 before that.
        losses: Tasks that may crash their backend servers.
        address: Address of its queue; empty in records of older builds.
    """

    state: JobState
    queue: QueueId
    team: TeamId
    started: bool = False
    version: int = 0
    done: tuple[DoneRecord, ...] = ()
    tasks: tuple[TaskRecord, ...] = ()
    finished_unix_ms: int = 0
    losses: tuple[LossRecord, ...] = ()
    address: QueueAddress = QueueAddress("")


class CancelRecord(msgspec.Struct, frozen=True):
    """An accepted cancellation of a job."""

    cancelled_unix_ms: int


class PendingRecord(msgspec.Struct, frozen=True):
    """Number of jobs without a started task.

    Attributes:
        by_queue: The number by the queue's name, which older builds read.
        by_address: The number by the queue's address; None in records of older builds.
    """

    by_queue: dict[QueueId, int]
    by_address: dict[QueueAddress, int] | None = None


_JOB_DECODER = msgspec.json.Decoder(JobSpec)
_PROGRESS_DECODER = msgspec.json.Decoder(ProgressRecord)
_PENDING_DECODER = msgspec.json.Decoder(PendingRecord)


def encode(record: JobSpec | ProgressRecord | CancelRecord | PendingRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def decode_job(value: bytes) -> JobSpec:
    """Decode a job.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid job.
    """
    return _JOB_DECODER.decode(value)


def decode_progress(value: bytes) -> ProgressRecord:
    """Decode the progress of a job.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid progress record.
    """
    return _PROGRESS_DECODER.decode(value)


def decode_pending(value: bytes) -> PendingRecord:
    """Decode the count of waiting jobs.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid count.
    """
    return _PENDING_DECODER.decode(value)

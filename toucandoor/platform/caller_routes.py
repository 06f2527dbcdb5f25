"""Decodes the HTTP calls of callers, and encodes the answers to them."""

from __future__ import annotations

import re
from typing import Final

import msgspec

from toucandoor.core.jobs.configuration import NO_KEY, JobQueue
from toucandoor.core.jobs.models import JobSpec, JobState, Resources, Step
from toucandoor.ids import JobId, KeyDigest, TeamId

JOB_ID_PATTERN: Final = re.compile(r"[0-9a-fA-F]{16}")
BEARER_PREFIX: Final = "Bearer "
STEPS_MAX: Final = 256
"""Most steps of a job. It bounds the work of validating a job, and is far above the number in any
real one."""
TASKS_MAX: Final = 20_000
"""Most tasks of an occurrence. It bounds the owner's work on a single job."""
GANG_TASKS_MAX: Final = 5_000
"""Most tasks of a step that can only be planned all at once, in one record of the store."""
NUMBER_MAX: Final = 2**53
"""Largest number in a job that can be stored and calculated with."""
OCCURRENCES_MAX: Final = 100_000
PAYLOAD_BYTES_MAX: Final = 4000
"""Largest payload of a job, by the platform's protocol."""

_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "in_progress",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class _Phase(msgspec.Struct, frozen=True):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    rack_local: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    utilization: bool = False
    miss_allowed: int | None = None


class _Job(msgspec.Struct, frozen=True):
    spec: str
    phases: list[_Phase]
    start_at_ms: int = 0
    interval_ms: int = 0
    # Number of occurrences, not of repetitions after the first.
    repeat_count: int = 0


class _State(msgspec.Struct, frozen=True):
    state: str


class _Pending(msgspec.Struct, frozen=True):
    pending: int


class InvalidJobError(Exception):
    """The body of a submission is not a valid job.

    Args:
        reason: Why it is not, for the caller.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def is_job_id(text: str) -> bool:
    """Return whether a text is a valid job id."""
    return JOB_ID_PATTERN.fullmatch(text) is not None


def bearer_key(authorization: str) -> str:
    """Return the API key of an authorization header; empty if it has none."""
    if not authorization.startswith(BEARER_PREFIX):
        return ""
    return authorization.removeprefix(BEARER_PREFIX).strip()


def decode_job_body(
    body: bytes,
    job_id: str,
    queue: JobQueue,
    team: TeamId,
    accepted_unix_ms: int,
    digest: KeyDigest = NO_KEY,
) -> JobSpec:
    """Decode the body of a submission.

    Args:
        body: The body.
        job_id: Id of the job, from the path.
        queue: Queue to which it is submitted.
        team: Team that submits it.
        accepted_unix_ms: Time of the submission.
        digest: Digest of the key that was sent with it; empty for none.

    Raises:
        InvalidJobError: The body is not a valid job.
    """
    try:
        job = msgspec.json.decode(body, type=_Job)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise InvalidJobError(f"the body is no job: {err}") from err
    _check(job)
    return JobSpec(
        job_id=JobId(job_id),
        queue=queue.name,
        team=team,
        payload=job.spec,
        steps=tuple(_step(phase) for phase in job.phases),
        terms=queue.terms,
        first_due_unix_ms=job.start_at_ms if job.repeat_count > 0 else 0,
        interval_ms=job.interval_ms,
        occurrences=max(1, job.repeat_count),
        accepted_unix_ms=accepted_unix_ms,
        address=queue.address,
        key_digest=digest,
    )


def _check(job: _Job) -> None:
    if len(job.spec.encode()) > PAYLOAD_BYTES_MAX:
        raise InvalidJobError(f"spec is over {PAYLOAD_BYTES_MAX} bytes")
    if not 1 <= len(job.phases) <= STEPS_MAX:
        raise InvalidJobError(f"phases must be 1 to {STEPS_MAX}")
    if not 0 <= job.repeat_count <= OCCURRENCES_MAX or job.interval_ms < 0:
        raise InvalidJobError("repeat_count or interval_ms is out of range")
    if not 0 <= job.start_at_ms <= NUMBER_MAX or job.interval_ms > NUMBER_MAX:
        raise InvalidJobError("start_at_ms or interval_ms is out of range")
    tasks = 0
    for number, phase in enumerate(job.phases):
        tasks += phase.count
        needs = (phase.cpu, phase.mem_mb, phase.gpu, phase.estimate_ms, phase.anti_affinity)
        if phase.count < 1 or min(needs) < 0 or max(needs) > NUMBER_MAX:
            raise InvalidJobError(f"phase {number}: a number is out of range")
        if phase.gang and phase.count > GANG_TASKS_MAX:
            raise InvalidJobError(f"phase {number}: a gang of more than {GANG_TASKS_MAX}")
        if any(not 0 <= earlier < number for earlier in phase.after):
            raise InvalidJobError(f"phase {number}: after names no earlier phase")
    if tasks > TASKS_MAX:
        raise InvalidJobError(f"more than {TASKS_MAX} tasks")


def _step(phase: _Phase) -> Step:
    return Step(
        count=phase.count,
        needs=Resources(phase.cpu, phase.mem_mb, phase.gpu),
        estimate_ms=phase.estimate_ms,
        after=tuple(phase.after),
        checkpointing=phase.checkpointing,
        gang=phase.gang,
        one_rack_preferred=phase.rack_local,
        required_label=phase.constraints,
        data_rack=phase.affinity,
        per_worker_max=phase.anti_affinity,
        copies_allowed=phase.speculative,
        long_running=phase.long_running,
        image=phase.image,
        tail_target_ms=phase.target_ms,
        uses_leftovers=phase.utilization,
        unavailable_max=phase.miss_allowed,
    )


def encode_state(state: JobState) -> bytes:
    """Encode the answer to a query of a job's state."""
    return msgspec.json.encode(_State(_STATE_NAMES[state]))


def encode_pending(count: int) -> bytes:
    """Encode the answer to a query of the number of waiting jobs."""
    return msgspec.json.encode(_Pending(count))

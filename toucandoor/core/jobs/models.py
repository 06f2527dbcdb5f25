"""Models of submitted jobs: their steps, and what the tasks of a step need."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

from toucandoor.ids import JobId, KeyDigest, PoolId, QueueAddress, QueueId, TeamId


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processor, memory and accelerators.

    Attributes:
        cpu_millicores: Processor in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Number of accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def times(self, factor: float) -> Resources:
        """Return this amount multiplied by a number of tasks or seconds, rounded down."""
        return Resources(
            int(self.cpu_millicores * factor),
            int(self.memory_mb * factor),
            int(self.gpus * factor),
        )

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether this amount is within the given capacity in every field."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.gpus <= capacity.gpus
        )


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of a job that have the same requirements.

    Attributes:
        count: Number of tasks.
        needs: Resources that each task needs on its backend server.
        estimate_ms: The caller's rough estimate of a task's run time.
        after: Numbers of the steps whose tasks must all be done before this step starts.
        checkpointing: Whether tasks save their progress while they run.
        gang: Whether tasks make progress only while all of them run, and end together.
        one_rack_preferred: Whether tasks take longer when they run on more than one rack.
        required_label: Label that the backend server must have; empty for any.
        data_rack: Rack of the data, as tasks on other racks are slower; empty for none.
        per_worker_max: Most tasks of an occurrence on one backend server; 0 for no limit.
        copies_allowed: Whether copies of a task may run in parallel.
        long_running: Whether tasks run until the job is cancelled, and are restarted when they end.
        image: Image that the tasks run; tasks with the same image behave alike.
        tail_target_ms: Target for the tail of a long-running task's response time; 0 for none.
        uses_leftovers: Whether the tasks are best-effort: they use processor that others leave
            unused, and reserve none.
        unavailable_max: Most tasks that the system itself may make unavailable at once; None if the
            step has no such promise.
    """

    count: int
    needs: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    one_rack_preferred: bool = False
    required_label: str = ""
    data_rack: str = ""
    per_worker_max: int = 0
    copies_allowed: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    uses_leftovers: bool = False
    unavailable_max: int | None = None

    @property
    def reserved(self) -> Resources:
        """Capacity that a task reserves on its backend server."""
        if self.uses_leftovers:
            return Resources(0, self.needs.memory_mb, self.needs.gpus)
        return self.needs


class QueueTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Terms of a job's queue when the job was accepted; they stay valid if the queue is removed.

    Attributes:
        pool: Pool that runs its tasks.
        priority: Priority; 0 is the highest.
        attempts_max: Failed runs of a task at which the job fails.
        slack_ratio: Factor on the run time of the longest chain of steps, for the objective.
        target_duration_ms: Time that the objective adds to that.
    """

    pool: PoolId
    priority: int = 0
    attempts_max: int = 1
    slack_ratio: float = 1.0
    target_duration_ms: float = 0.0


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller submitted it; it never changes.

    Attributes:
        job_id: Id that the caller gave the job.
        queue: Queue that it was submitted to.
        team: Team whose key was sent with it; empty for public queues.
        payload: Text that every task gets.
        steps: Steps in the caller's order.
        terms: Terms of its queue when it was accepted.
        first_due_unix_ms: Due time of the first occurrence; 0 if it is due at once.
        interval_ms: Time between occurrences.
        occurrences: Number of times that all steps are run.
        accepted_unix_ms: When it was accepted, by the clock of the accepting VM.
        address: Address of its queue; empty in records of older builds.
        key_digest: Digest of the key that was sent with it; empty without a key, and in records of
            older builds.
    """

    job_id: JobId
    queue: QueueId
    team: TeamId
    payload: str
    steps: tuple[Step, ...]
    terms: QueueTerms
    first_due_unix_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 1
    accepted_unix_ms: int = 0
    address: QueueAddress = QueueAddress("")
    key_digest: KeyDigest = KeyDigest("")

    @property
    def timed(self) -> bool:
        """Whether its occurrences have due times."""
        return self.first_due_unix_ms > 0

    @property
    def long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)


class TaskKey(NamedTuple):
    """Identifies one task.

    Attributes:
        job_id: Job of the task.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        number: Number of the task in the step, from 0.
    """

    job_id: JobId
    occurrence: int
    step: int
    number: int

    @property
    def step_key(self) -> StepKey:
        """Key of the step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Identifies one step of one occurrence."""

    job_id: JobId
    occurrence: int
    step: int


class JobState(Enum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)

"""What callers hand in: jobs, their steps and what a task of a step needs."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgspec

from toucandoor.ids import JobId, PoolId, QueueId, TeamId


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processor, memory and accelerators.

    Attributes:
        cpu_millicores: Processor in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Accelerators.
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

    def times(self, count: int) -> Resources:
        """Return this amount for a number of tasks."""
        return Resources(self.cpu_millicores * count, self.memory_mb * count, self.gpus * count)

    def fits_in(self, room: Resources) -> bool:
        """Return whether the room holds this amount."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True):
    """Tasks of a job that need the same.

    Attributes:
        count: Number of tasks.
        needs: What each task occupies on its backend server.
        estimate_ms: The caller's rough estimate of a task's run time.
        after: Numbers of the steps whose tasks must all be done first.
        checkpointing: Tasks save their progress as they run.
        gang: Tasks work only while all of them run, and end together.
        one_rack_preferred: Tasks take longer when they run on more than one rack.
        required_label: Label that the backend server must have; empty for any.
        data_rack: Rack where the data is; slower elsewhere; empty for none.
        per_worker_max: Most tasks of an occurrence on one backend server; 0 for no bound.
        copies_allowed: Copies of a task may run in parallel.
        long_running: Tasks run until the job is cancelled and are restarted when they end.
        image: What the tasks run; tasks of one image behave alike.
        tail_target_ms: Bound of a long-running task's response time; 0 for none.
        uses_leftovers: Runs in processor that others leave unused; takes none of the room.
        unavailable_max: Tasks that may be unavailable at once because of the system; None where
            the step has no such promise.
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
        """What a task takes of its backend server's room."""
        if self.uses_leftovers:
            return Resources(0, self.needs.memory_mb, self.needs.gpus)
        return self.needs


class QueueTerms(msgspec.Struct, frozen=True):
    """What a job's queue promised when the job was accepted; holds on when the queue goes.

    Attributes:
        pool: Pool that runs its tasks.
        priority: 0 comes first.
        attempts_max: Failed runs of a task after which the job has failed.
        slack_ratio: Objective as a multiple of the longest chain of work.
        target_duration_ms: What the objective adds to that.
    """

    pool: PoolId
    priority: int = 0
    attempts_max: int = 1
    slack_ratio: float = 1.0
    target_duration_ms: float = 0.0


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its caller handed it in; never changes.

    Attributes:
        job_id: The caller's id of the job.
        queue: Queue it was handed in to.
        team: Team whose key came with it; empty on queues open to all.
        payload: Text that every task gets.
        steps: Steps in the caller's order.
        terms: What its queue promised.
        first_due_unix_ms: Due time of the first occurrence; 0 for at once.
        interval_ms: Time between occurrences.
        occurrences: How often all steps run.
        accepted_unix_ms: When it was accepted, by the accepting VM's clock.
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

    @property
    def timed(self) -> bool:
        """Whether its occurrences have due times."""
        return self.first_due_unix_ms > 0

    @property
    def long_running(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)


class TaskKey(NamedTuple):
    """Names one task."""

    job_id: JobId
    occurrence: int
    step: int
    number: int

    @property
    def step_key(self) -> StepKey:
        """The step that the task belongs to."""
        return StepKey(self.job_id, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Names one step of one occurrence."""

    job_id: JobId
    occurrence: int
    step: int


class JobState(Enum):
    """How far a job is, as its caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job changes no more."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)

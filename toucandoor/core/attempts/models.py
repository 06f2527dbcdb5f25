"""Events and decisions of the attempt tracker, in addition to those of the request engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from toucandoor.core.requests.models import Answer, AttemptOutcome, Refuse
from toucandoor.ids import AttemptId, RequestId, VmId


class TaskState(Enum):
    """State of a task as its backend server reports it."""

    NEVER_SEEN = "never_seen"
    """The backend server has not received this task id, and refuses it from now on."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskQueried:
    """The state of a task was queried on a new connection.

    Attributes:
        state: State that the backend server reported; None when it was unreachable or its reply
            was invalid.
        up_s: Uptime of the backend server's process in seconds, where it reported one.
        resume_token: Token to resume a checkpointed task from.
    """

    attempt_id: AttemptId
    state: TaskState | None
    up_s: float | None = None
    resume_token: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerFetched:
    """Fetching the answer of a finished task by its id has ended.

    Attributes:
        whole: Whether the complete answer arrived and carried the attempt's id.
    """

    attempt_id: AttemptId
    whole: bool


@dataclass(frozen=True, slots=True)
class QueryTask:
    """Query the task's state from its backend server on a new connection.

    Attributes:
        renew: Whether the query also renews the task's lease.
        start_by_s: Monotonic time after which the backend server must not renew the lease.
    """

    attempt_id: AttemptId
    vm: VmId
    address: str
    renew: bool
    start_by_s: float


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Fetch a finished task's answer by its id on a new connection."""

    request_id: RequestId
    attempt_id: AttemptId
    vm: VmId
    address: str


@dataclass(frozen=True, slots=True)
class StopTask:
    """Ask the backend server to stop a task whose answer is no longer needed."""

    attempt_id: AttemptId
    vm: VmId
    address: str


@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Close the attempt's own connection, as its answer is no longer needed."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class CloseConnections:
    """Close all connections to a backend server that were opened before this decision.

    They no longer deliver data although the backend server answers on new connections.
    """

    vm: VmId
    address: str


@dataclass(frozen=True, slots=True)
class Requeue:
    """Put the request back in its queue, as it did not run or may run again.

    Attributes:
        not_before_s: Monotonic time before which it must not be dispatched.
        exclude: Backend servers to avoid in the next attempt.
        resume_token: Token to resume the task from; None to start it anew.
    """

    request_id: RequestId
    not_before_s: float
    exclude: frozenset[VmId]
    resume_token: str | None = None


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Record an attempt's outcome, found after its connection failed, for its backend server."""

    attempt_id: AttemptId
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class WorkerUnreachable:
    """A backend server did not answer a query on a new connection."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """The attempt's task has certainly ended, so its permit may be returned."""

    attempt_id: AttemptId


AttemptDecision = (
    Answer
    | Refuse
    | QueryTask
    | FetchAnswer
    | StopTask
    | CloseAttempt
    | CloseConnections
    | Requeue
    | RecordOutcome
    | WorkerUnreachable
    | TaskEnded
)

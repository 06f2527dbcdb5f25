"""Events and decisions of the attempts domain, beside those of the request engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from toucandoor.core.requests.models import Answer, AttemptOutcome, Refuse
from toucandoor.ids import AttemptId, RequestId, VmId


class TaskState(Enum):
    """What a backend server says of a task when asked by its id."""

    NEVER_SEEN = "never_seen"
    """It never took the id in, and refuses it from now on."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskWord:
    """A backend server was asked about a task on a new connection.

    Attributes:
        state: Its word; None when it could not be reached or gave no valid answer.
        up_s: How long the backend server's process has been up, in seconds.
        resume_token: Token of a checkpointed task.
    """

    attempt_id: AttemptId
    state: TaskState | None
    up_s: float | None = None
    resume_token: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerFetched:
    """The answer of a finished task was asked for by the task's id.

    Attributes:
        whole: Whether the whole answer came and carried the attempt's id.
    """

    attempt_id: AttemptId
    whole: bool


@dataclass(frozen=True, slots=True)
class AskTask:
    """Ask the backend server about the task on a new connection.

    Attributes:
        renew: Whether to renew the task's lease with the question.
        start_by_s: Monotonic time after which the backend server must not renew any more.
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
    """Tell the backend server that nobody waits for the task any more."""

    attempt_id: AttemptId
    vm: VmId
    address: str


@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Close the attempt's own connection: nobody reads its answer any more."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class CloseConnections:
    """Close every connection to the backend server opened until now: they went silent."""

    vm: VmId
    address: str


@dataclass(frozen=True, slots=True)
class Requeue:
    """Put the request back in its queue; it did not run, or may run again.

    Attributes:
        not_before_s: Monotonic time before which it must not be dispatched.
        exclude: Backend servers that should not take it next.
    """

    request_id: RequestId
    not_before_s: float
    exclude: frozenset[VmId]
    resume_token: str | None = None


@dataclass(frozen=True, slots=True)
class Judged:
    """What an attempt whose connection failed tells of its backend server."""

    attempt_id: AttemptId
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class OutOfReach:
    """A backend server left a question on a new connection unanswered."""

    vm: VmId


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """The attempt's task has certainly ended: its permit may be given back."""

    attempt_id: AttemptId


AttemptDecision = (
    Answer
    | Refuse
    | AskTask
    | FetchAnswer
    | StopTask
    | CloseAttempt
    | CloseConnections
    | Requeue
    | Judged
    | OutOfReach
    | TaskEnded
)

"""Events and decisions of the request engine.

A caller's thread submits a request, then does what the engine decides for it (dispatch, ask a
backend server about a task, answer, refuse) and reports back each outcome as an event.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId, TeamId, VmId


class RequestClass(Enum):
    """How soon a request wants to start."""

    URGENT = "urgent"
    PATIENT = "patient"


class Fate(Enum):
    """What a refusal says of the request."""

    NOT_RUN = "not_run"
    """No backend server ran it or will run it."""

    UNKNOWN = "unknown"
    """It may have run, or may still be running."""

    FAILED = "failed"
    """It ran and the backend server reported that it failed."""


class PreemptHow(Enum):
    """How a running task can be made to give back its slot; the task route of the same name."""

    CHECKPOINT = "checkpoint"
    """The task stops and can be resumed from a token; no work is lost."""

    STOP = "stop"
    """The task stops and starts anew later; its work is lost."""


class AttemptOutcome(Enum):
    """How one attempt on one backend server ended, as the dispatching thread saw it."""

    ANSWERED = "answered"
    """The whole answer came and carried the attempt's id."""

    FAILED = "failed"
    """The backend server said that the task ran and failed."""

    BUSY = "busy"
    """The backend server said it did not run the task: no free slot."""

    DRAINING = "draining"
    """The backend server said it did not run the task: it is leaving."""

    NOT_SENT = "not_sent"
    """The entry let its time to send pass, because it was paused; no byte was sent."""

    UNREACHABLE = "unreachable"
    """No connection could be made; no byte of the request was sent."""

    CHECKPOINTED = "checkpointed"
    """The backend server stopped the task and returned a token to resume it from."""

    STOPPED = "stopped"
    """The backend server stopped the task before it had an effect that must not be repeated."""

    UNKNOWN = "unknown"
    """Bytes were sent and no whole answer that carries the attempt's id came back."""


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request as the entry took it in.

    Attributes:
        team: Team whose key came with it; None on queues open to all.
        idempotent: Whether it may be sent again when its fate is unknown.
        key_digest: Digest of the key's secret; the key must still work when the request starts.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time after which the caller no longer wants it to start or run.
        idempotency_key: The caller's own id of this submission, the same when it repeats it.
        declared_run_s: Run time the caller declared; may be far off.
        preempt_how: How it may be interrupted for urgent work; None when it may not.
    """

    request_id: RequestId
    queue: QueueId
    team: TeamId | None
    request_class: RequestClass
    idempotent: bool
    arrived_s: float
    deadline_s: float
    idempotency_key: str | None = None
    declared_run_s: float | None = None
    key_digest: str | None = None
    preempt_how: PreemptHow | None = None


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller's request has been read whole and its key checked."""

    request: Request


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller no longer waits."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        slots_free: Free slots the backend server reported with its answer, if it did.
        resume_token: Token of a checkpointed task.
        run_s: Running time seen, in seconds.
    """

    attempt_id: AttemptId
    outcome: AttemptOutcome
    slots_free: int | None = None
    resume_token: str | None = None
    run_s: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; deadlines and leases are looked at."""


Event = Submitted | Cancelled | AttemptEnded | Tick


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to a backend server.

    Attributes:
        start_by_s: Monotonic time after which the first byte must not be sent any more.
        lease_s: Task lease to ask for, in seconds.
    """

    request_id: RequestId
    attempt_id: AttemptId
    vm: VmId
    address: str
    start_by_s: float
    lease_s: float
    resume_token: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller the answer of this attempt."""

    request_id: RequestId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller its final answer: the request is given up on.

    Attributes:
        status: HTTP status code.
        retry_after_s: When the caller should come back, in seconds; None where it should not.
    """

    request_id: RequestId
    status: int
    reason: str
    fate: Fate
    step: str
    peer: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Preempt:
    """Ask a backend server to interrupt a patient task, so that an urgent request gets its slot."""

    request_id: RequestId
    attempt_id: AttemptId
    vm: VmId
    address: str
    how: PreemptHow


Decision = Dispatch | Answer | Refuse | Preempt


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as the entry knows it.

    Attributes:
        leaving: Whether the platform's list, a peer or the server itself said it is leaving.
        cordoned: Whether maintenance or a move has taken it out of use.
    """

    vm: VmId
    pool: PoolId
    address: str
    slots: int
    connections: int
    data_centre: str
    rack: str
    leaving: bool = False
    cordoned: bool = False

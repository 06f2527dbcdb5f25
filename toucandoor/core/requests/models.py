"""Events and decisions of the request engine.

A caller's thread submits a request, carries out the engine's decisions for it (dispatch, fetch an
answer, answer, refuse) and reports each outcome as an event.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId, TeamId, VmId


class RequestClass(Enum):
    """Scheduling class of a request: how soon it has to start."""

    URGENT = "urgent"
    PATIENT = "patient"


class ExecutionStatus(Enum):
    """What a refusal states about whether the request ran."""

    NOT_RUN = "not_run"
    """No backend server ran the request, and none will."""

    UNKNOWN = "unknown"
    """The request may have run, or may still be running."""

    FAILED = "failed"
    """The request ran, and its backend server reported a failure."""


class PreemptMethod(Enum):
    """How a running task is preempted; the value names the backend server's task route."""

    CHECKPOINT = "checkpoint"
    """The task stops and can be resumed from a token; no work is lost."""

    STOP = "stop"
    """The task stops and starts from the beginning later; its work is lost."""


class AttemptOutcome(Enum):
    """How one attempt on one backend server ended, as reported by the dispatching thread."""

    ANSWERED = "answered"
    """The complete answer arrived and carried the attempt's id."""

    FAILED = "failed"
    """The backend server reported that the task ran and failed."""

    BUSY = "busy"
    """The backend server reported that it did not run the task, as it has no free slot."""

    DRAINING = "draining"
    """The backend server reported that it did not run the task, as it is draining."""

    NOT_SENT = "not_sent"
    """The entry was paused past the time limit for sending; no byte was sent."""

    UNREACHABLE = "unreachable"
    """No connection could be made; no byte of the request was sent."""

    CHECKPOINTED = "checkpointed"
    """The backend server stopped the task and returned a token to resume it from."""

    STOPPED = "stopped"
    """The backend server stopped the task before it had an effect that must not be repeated."""

    UNKNOWN = "unknown"
    """Bytes were sent, but no complete answer that carries the attempt's id came back."""


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request as received by the entry.

    Attributes:
        team: Team that the key belongs to; None on queues open to all.
        idempotent: Whether the request may run again after an attempt of unknown outcome.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time after which the request must not start or go on running.
        idempotency_key: The caller's id of this submission, the same when it is repeated.
        declared_run_s: Run time in seconds that the caller declared; it may be inaccurate.
        key_digest: Digest of the key's secret; the key must still be valid at the start.
        preempt_how: How the request may be preempted for urgent ones; None when it may not.
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
    preempt_how: PreemptMethod | None = None


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller's request was read completely and its key was checked."""

    request: Request


@dataclass(frozen=True, slots=True)
class Cancelled:
    """A request was cancelled.

    Its caller disconnected, or a later submission took over its idempotency key.
    """

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        slots_free: Free slots that the backend server reported with its answer, if any.
        resume_token: Token to resume a checkpointed task from.
        run_s: Measured run time, in seconds.
        detail: Reason that the backend server or the entry gave for the outcome.
    """

    attempt_id: AttemptId
    outcome: AttemptOutcome
    slots_free: int | None = None
    resume_token: str | None = None
    run_s: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; deadlines and leases are checked."""


Event = Submitted | Cancelled | AttemptEnded | Tick


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to a backend server.

    Attributes:
        start_by_s: Monotonic time after which the first byte must not be sent.
        lease_s: Task lease to request from the backend server, in seconds.
        resume_token: Token to resume the task from; None to start it anew.
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
    """Return this attempt's answer to the caller."""

    request_id: RequestId
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Return an error to the caller as the final answer of its request.

    Attributes:
        status: HTTP status code.
        fate: Whether the request ran.
        step: Processing step that refused the request.
        peer: VM or entry at which that step failed; empty for this entry.
        retry_after_s: Time after which the caller may retry, in seconds; None when it should not.
    """

    request_id: RequestId
    status: int
    reason: str
    fate: ExecutionStatus
    step: str
    peer: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Preempt:
    """Preempt a patient task on a backend server to free its slot for an urgent request."""

    request_id: RequestId
    attempt_id: AttemptId
    vm: VmId
    address: str
    how: PreemptMethod


Decision = Dispatch | Answer | Refuse | Preempt


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as known to the entry.

    Attributes:
        leaving: Whether the platform's VM list reported the backend server as leaving.
        cordoned: Whether maintenance or a move has taken the backend server out of use.
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

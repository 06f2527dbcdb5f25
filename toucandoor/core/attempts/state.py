"""State that the attempt tracker keeps for each request and each attempt."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.attempts.models import AttemptDecision, CloseAttempt, StopTask, TaskState
from toucandoor.core.requests.models import Dispatch, ExecutionStatus, Request

if TYPE_CHECKING:
    from toucandoor.ids import AttemptId, VmId


class Phase(Enum):
    """Phase of an attempt."""

    SENT = "sent"
    """The attempt's connection is open and may still deliver the answer."""

    DISCONNECTED = "adrift"
    """The connection was lost; the outcome can only be queried from the backend server."""

    FETCHING = "fetching"
    """The task has finished and its answer is being fetched by the task's id."""

    ABANDONED = "left"
    """The answer is no longer needed, but the task may still run and keeps its permit."""


@dataclass(slots=True)
class RequestState:
    """State of a request across all its attempts.

    Attributes:
        unsuccessful_attempts: Number of attempts that failed, ended with unknown outcome or did not
            reach their backend server.
        failed_vms: Backend servers on which an attempt failed.
        tried_vms: Backend servers to which an attempt was sent.
        resume_token: Token of the last checkpoint; the work before it is not repeated.
        ran: Whether an attempt certainly ran, at least in part.
        unknown_attempts: Attempts that may have run.
    """

    request: Request
    attempts_made: int = 0
    unsuccessful_attempts: int = 0
    failed_vms: set[VmId] = field(default_factory=set)
    tried_vms: set[VmId] = field(default_factory=set)
    resume_token: str | None = None
    ran: bool = False
    unknown_attempts: set[AttemptId] = field(default_factory=set)

    def execution_status(self) -> ExecutionStatus:
        """Return what is known for certain about whether the request ran."""
        if self.unknown_attempts:
            return ExecutionStatus.UNKNOWN
        return ExecutionStatus.FAILED if self.ran else ExecutionStatus.NOT_RUN


@dataclass(slots=True)
class Attempt:
    """One attempt whose task has not certainly ended.

    Attributes:
        sent_s: Monotonic time of the dispatch.
        lease_until_s: Monotonic time at which the task's lease has expired, margin included.
        query_at_s: Monotonic time at which the task's state is queried next.
        query_pending: Whether a query has not been answered yet.
        unanswered_queries: Queries and fetches without a usable reply since the last reply that
            the task is running.
        reported_end: End state that the backend server reported while the attempt's own
            connection was still open.
    """

    dispatch: Dispatch
    sent_s: float
    lease_until_s: float
    query_at_s: float
    phase: Phase = Phase.SENT
    query_pending: bool = False
    unanswered_queries: int = 0
    reported_end: TaskState | None = None


def abandon(attempt: Attempt) -> list[AttemptDecision]:
    """Stop waiting for an attempt's answer; its permit stays in use until its task has ended."""
    closed = [CloseAttempt(attempt.dispatch.attempt_id)] if attempt.phase is Phase.SENT else []
    attempt.phase = Phase.ABANDONED
    return [*closed]


def stop_task(attempt: Attempt) -> StopTask:
    """Return the decision to stop an attempt's task."""
    return StopTask(attempt.dispatch.attempt_id, attempt.dispatch.vm, attempt.dispatch.address)

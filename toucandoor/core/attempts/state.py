"""What the tracker keeps of each request and of each attempt."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.attempts.models import AttemptDecision, CloseAttempt, StopTask, TaskState
from toucandoor.core.requests.models import Dispatch, Fate, Request

if TYPE_CHECKING:
    from toucandoor.ids import AttemptId, VmId


class Phase(Enum):
    """What an attempt waits for."""

    SENT = "sent"
    """Its connection is open and may still bring the answer."""

    ADRIFT = "adrift"
    """Its connection is gone; only the backend server's word can tell what became of it."""

    FETCHING = "fetching"
    """Its task has finished and the answer is being fetched by its id."""

    LEFT = "left"
    """The caller has its final answer, but the task may still run and holds its permit."""


@dataclass(slots=True)
class RequestState:
    """What is known of a request over all its attempts.

    Attributes:
        setbacks: Attempts that failed, ended unknown or met no backend server.
        resume_token: Token of the last checkpoint; work before it is never run again.
        ran: Whether an attempt certainly ran, if only in part.
        unknown: Attempts that may have run.
    """

    request: Request
    attempts_made: int = 0
    setbacks: int = 0
    failed_on: set[VmId] = field(default_factory=set)
    tried: set[VmId] = field(default_factory=set)
    resume_token: str | None = None
    ran: bool = False
    unknown: set[AttemptId] = field(default_factory=set)

    def fate(self) -> Fate:
        """Return what a refusal may truly say of the request."""
        if self.unknown:
            return Fate.UNKNOWN
        return Fate.FAILED if self.ran else Fate.NOT_RUN


@dataclass(slots=True)
class Attempt:
    """One attempt whose task has not certainly ended."""

    dispatch: Dispatch
    sent_s: float
    lease_until_s: float
    ask_at_s: float
    phase: Phase = Phase.SENT
    asking: bool = False
    unanswered_asks: int = 0
    ended_word: TaskState | None = None


def leave(attempt: Attempt) -> list[AttemptDecision]:
    """Stop waiting for an attempt's answer; its permit stays spent until its task has ended."""
    closed = [CloseAttempt(attempt.dispatch.attempt_id)] if attempt.phase is Phase.SENT else []
    attempt.phase = Phase.LEFT
    return [*closed]


def stop(attempt: Attempt) -> StopTask:
    """Return the decision that stops an attempt's task."""
    return StopTask(attempt.dispatch.attempt_id, attempt.dispatch.vm, attempt.dispatch.address)

"""All events the request engine takes and all decisions it returns."""

from __future__ import annotations

from dataclasses import dataclass

from toucandoor.core.attempts.models import (
    AnswerFetched,
    CloseAttempt,
    CloseConnections,
    FetchAnswer,
    QueryTask,
    StopTask,
    TaskQueried,
)
from toucandoor.core.requests.models import Answer, Dispatch, Event, Preempt, Refuse
from toucandoor.ids import VmId


@dataclass(frozen=True, slots=True)
class ServerProbed:
    """A backend server was asked for its status on a new connection.

    Attributes:
        reached: Whether it answered.
        draining: Whether it says that it leaves.
    """

    vm: VmId
    reached: bool
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Ask a backend server for its status on a new connection."""

    vm: VmId
    address: str


CallerDecision = Dispatch | Answer | Refuse | FetchAnswer
"""Decisions carried out by the thread of the request's caller."""

ServerDecision = QueryTask | StopTask | CloseAttempt | CloseConnections | ProbeServer | Preempt
"""Decisions carried out beside the callers' threads."""

EngineEvent = Event | TaskQueried | AnswerFetched | ServerProbed
EngineDecision = CallerDecision | ServerDecision

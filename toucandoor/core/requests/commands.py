"""Unions of all events that the request engine handles and all decisions that it returns."""

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
class WorkerProbed:
    """A backend server's status was queried on a new connection.

    Attributes:
        reached: Whether it answered.
        draining: Whether it reported that it is draining.
    """

    vm: VmId
    reached: bool
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ProbeWorker:
    """Query a backend server's status on a new connection."""

    vm: VmId
    address: str


CallerDecision = Dispatch | Answer | Refuse | FetchAnswer
"""Decisions carried out by the thread of the request's caller."""

WorkerDecision = QueryTask | StopTask | CloseAttempt | CloseConnections | ProbeWorker | Preempt
"""Decisions carried out outside the callers' threads."""

EngineEvent = Event | TaskQueried | AnswerFetched | WorkerProbed
EngineDecision = CallerDecision | WorkerDecision

"""Helpers for the tests of attempts: requests, dispatches and recorded sessions."""

from __future__ import annotations

import json
from dataclasses import asdict
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Any

from approvaltests import Options, verify

from toucandoor.clock import ManualClock
from toucandoor.core.attempts.budget import RetryBudget
from toucandoor.core.attempts.models import AnswerFetched, TaskQueried
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.requests.models import AttemptEnded, Dispatch, Request, RequestClass
from toucandoor.ids import AttemptId, QueueId, RequestId, VmId

if TYPE_CHECKING:
    from collections.abc import Sequence

LEASE_S = 10.0


def make_request(name: str, *, idempotent: bool, deadline_s: float = 600.0) -> Request:
    return Request(
        request_id=RequestId(name),
        queue=QueueId("builds"),
        team=None,
        request_class=RequestClass.URGENT,
        idempotent=idempotent,
        arrived_s=0.0,
        deadline_s=deadline_s,
    )


def make_dispatch(request: Request, attempt: str, vm: str, now_s: float) -> Dispatch:
    return Dispatch(
        request_id=request.request_id,
        attempt_id=AttemptId(attempt),
        vm=VmId(vm),
        address=f"{vm}:80",
        start_by_s=now_s + 1.0,
        lease_s=LEASE_S,
    )


class Session:
    """Feeds a tracker and records each event and decision as a line of JSON."""

    def __init__(self, unhealthy: Sequence[str] = (), retry_tokens: float = 100.0) -> None:
        self.clock = ManualClock()
        self.unhealthy = set(unhealthy)
        budget = RetryBudget(Random(1), floor_per_s=0.01, tokens_max=retry_tokens)
        self.tracker = AttemptTracker(budget, lambda vm, _now_s: vm not in self.unhealthy)
        self.lines: list[str] = []

    def start(self, request: Request, attempt: str, vm: str) -> None:
        sent = make_dispatch(request, attempt, vm, self.clock.monotonic_s())
        self._write("event", sent)
        self.tracker.on_attempt_started(request, sent, self.clock.monotonic_s())

    def event(self, event: AttemptEnded | TaskQueried | AnswerFetched) -> list[Any]:
        now_s = self.clock.monotonic_s()
        self._write("event", event)
        match event:
            case AttemptEnded():
                decisions = self.tracker.on_attempt_ended(event, now_s)
            case TaskQueried():
                decisions = self.tracker.on_task_queried(event, now_s)
            case AnswerFetched():
                decisions = self.tracker.on_answer_fetched(event, now_s)
        return self._decided(decisions)

    def cancel(self, request: Request) -> list[Any]:
        self.lines.append(json.dumps({"event": "Cancelled", "request_id": request.request_id}))
        return self._decided(
            self.tracker.on_request_cancelled(request.request_id, self.clock.monotonic_s())
        )

    def tick(self, after_s: float) -> list[Any]:
        self.clock.advance(after_s)
        return self._decided(self.tracker.tick(self.clock.monotonic_s()))

    def verify(self) -> None:
        verify("\n".join(self.lines) + "\n", options=Options().for_file.with_extension(".jsonl"))

    def _decided(self, decisions: Sequence[Any]) -> list[Any]:
        for decision in decisions:
            self._write("decision", decision)
        return list(decisions)

    def _write(self, kind: str, what: Any) -> None:
        line = {"at_s": round(self.clock.monotonic_s(), 3), kind: type(what).__name__}
        self.lines.append(json.dumps(line | asdict(what), default=_plain))


def _plain(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, frozenset):
        return sorted(value)
    raise TypeError(type(value))

"""Bounded event history of recent requests, for operators' explain command."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.attempts.models import FetchAnswer
from toucandoor.core.requests.const import JOURNAL_LINES_MAX, JOURNAL_REQUESTS_MAX
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    Cancelled,
    Dispatch,
    Preempt,
    Refuse,
    Request,
    Submitted,
)

if TYPE_CHECKING:
    from toucandoor.core.requests.commands import EngineDecision, EngineEvent
    from toucandoor.ids import AttemptId, RequestId


@dataclass(slots=True)
class _Record:
    request: Request
    lines: list[str] = field(default_factory=list)


class RequestJournal:
    """Keeps the event history of an entry's most recent requests.

    Args:
        requests_max: Number of requests to keep; the oldest one is dropped first.
    """

    def __init__(self, requests_max: int = JOURNAL_REQUESTS_MAX) -> None:
        self._requests_max = requests_max
        self._records: OrderedDict[RequestId, _Record] = OrderedDict()
        self._request_of: dict[AttemptId, RequestId] = {}

    def record(self, event: EngineEvent, decisions: list[EngineDecision], now_s: float) -> None:
        """Record an event and the decisions that resulted from it."""
        match event:
            case Submitted(request):
                self._add_request(request)
            case Cancelled(request_id):
                self._add_line(request_id, now_s, "the request was cancelled")
            case AttemptEnded(attempt_id, outcome, detail=detail):
                ended_id = self._request_of.pop(attempt_id, None)
                tail = f": {detail}" if detail else ""
                self._add_line(ended_id, now_s, f"attempt ended as {outcome.value}{tail}")
        for decision in decisions:
            self._record_decision(decision, now_s)

    def explain(self, request_id: RequestId) -> list[str]:
        """Return the recorded lines of a request in order; empty when the request is unknown."""
        record = self._records.get(request_id)
        return list(record.lines) if record else []

    def _record_decision(self, decision: EngineDecision, now_s: float) -> None:
        match decision:
            case Dispatch(request_id, attempt_id, vm):
                self._request_of[attempt_id] = request_id
                self._add_line(request_id, now_s, f"sent to {vm}")
            case Preempt(request_id, _, vm, _, how):
                self._add_line(
                    request_id, now_s, f"asked {vm} to {how.value} the task for an urgent request"
                )
            case FetchAnswer(request_id, _attempt_id, vm):
                self._add_line(request_id, now_s, f"fetching the finished answer from {vm}")
            case Answer(request_id):
                self._add_line(request_id, now_s, "answered")
            case Refuse(request_id, status, reason, execution_status, step):
                text = f"refused with {status} ({execution_status.value}) at {step}: {reason}"
                self._add_line(request_id, now_s, text)

    def _add_request(self, request: Request) -> None:
        team = request.team or "no team"
        first = f"0.000 s: {request.request_class.value} request of {team} for {request.queue}"
        self._records[request.request_id] = _Record(request, [first])
        while len(self._records) > self._requests_max:
            self._records.popitem(last=False)

    def _add_line(self, request_id: RequestId | None, now_s: float, text: str) -> None:
        record = self._records.get(request_id) if request_id else None
        if record is not None and len(record.lines) < JOURNAL_LINES_MAX:
            record.lines.append(f"{now_s - record.request.arrived_s:.3f} s: {text}")

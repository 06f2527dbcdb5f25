"""Bounded record of what became of recent requests, and why."""

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
    """Keeps the last requests of one entry, each with what happened to it.

    Args:
        requests_max: Requests kept; the oldest one goes first.
    """

    def __init__(self, requests_max: int = JOURNAL_REQUESTS_MAX) -> None:
        self._requests_max = requests_max
        self._records: OrderedDict[RequestId, _Record] = OrderedDict()
        self._request_of: dict[AttemptId, RequestId] = {}

    def note(self, event: EngineEvent, decisions: list[EngineDecision], now_s: float) -> None:
        """Note an event and what was decided upon it."""
        match event:
            case Submitted(request):
                self._open(request)
            case Cancelled(request_id):
                self._add(request_id, now_s, "the caller went away")
            case AttemptEnded(attempt_id, outcome, detail=detail):
                request_of = self._request_of.pop(attempt_id, None)
                tail = f": {detail}" if detail else ""
                self._add(request_of, now_s, f"attempt ended as {outcome.value}{tail}")
        for decision in decisions:
            self._note_decision(decision, now_s)

    def explain(self, request_id: RequestId) -> list[str]:
        """Return what happened to a request, a line each; empty when it is not known here."""
        record = self._records.get(request_id)
        return list(record.lines) if record else []

    def _note_decision(self, decision: EngineDecision, now_s: float) -> None:
        match decision:
            case Dispatch(request_id, attempt_id, vm):
                self._request_of[attempt_id] = request_id
                self._add(request_id, now_s, f"sent to {vm}")
            case Preempt(request_id, _, vm, _, how):
                self._add(request_id, now_s, f"asked {vm} to {how.value} it for urgent work")
            case FetchAnswer(request_id, _attempt_id, vm):
                self._add(request_id, now_s, f"fetching the finished answer from {vm}")
            case Answer(request_id):
                self._add(request_id, now_s, "answered")
            case Refuse(request_id, status, reason, fate, step):
                text = f"refused with {status} ({fate.value}) at {step}: {reason}"
                self._add(request_id, now_s, text)

    def _open(self, request: Request) -> None:
        team = request.team or "no team"
        first = f"0.000 s: {request.request_class.value} request of {team} for {request.queue}"
        self._records[request.request_id] = _Record(request, [first])
        while len(self._records) > self._requests_max:
            self._records.popitem(last=False)

    def _add(self, request_id: RequestId | None, now_s: float, text: str) -> None:
        record = self._records.get(request_id) if request_id else None
        if record is not None and len(record.lines) < JOURNAL_LINES_MAX:
            record.lines.append(f"{now_s - record.request.arrived_s:.3f} s: {text}")

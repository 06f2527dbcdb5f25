"""Counts of what callers got, by kind of call."""

from __future__ import annotations

import logging
import threading
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from toucandoor.adapters.node_metrics import NodeMetrics

_LOGGER = logging.getLogger(__name__)

NO_ANSWER: Final = "no_answer"
"""Outcome of a call whose answer could not be written, as its connection was closed."""


class CallKind(Enum):
    """Kind of a caller's call."""

    SUBMISSION = "submission"
    STATE = "state"
    CANCELLATION = "cancellation"
    WAITING_JOBS = "waiting_jobs"
    OTHER = "other"


class CallerOutcomes:
    """Counts the outcomes of calls, and the calls without an answer. Safe to use from threads.

    Args:
        metrics: Metrics of the process.
    """

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of calls that have no answer yet."""
        return self._in_flight

    def begin(self) -> None:
        """Count a call that has arrived."""
        with self._lock:
            self._in_flight += 1

    def abandon(self, kind: CallKind, outcome: str) -> None:
        """Count a call that ended with an error of the program."""
        self._end(kind, outcome)

    def deliver(
        self, kind: CallKind, outcome: str, fields: Mapping[str, str], body: Iterable[bytes]
    ) -> Iterator[bytes]:
        """Yield the answer of a call; count its outcome once the server has written it.

        Args:
            kind: Kind of the call.
            outcome: What the answer says: a state, or the status of an error.
            fields: Log fields of the call.
            body: Body of the answer.
        """
        written = False
        try:
            yield from body
            written = True
        finally:
            self._end(kind, outcome if written else NO_ANSWER)
            if not written:
                _LOGGER.warning("callers: a call ended without an answer", extra=dict(fields))

    def log_unanswered(self) -> None:
        """Log and count the calls without an answer; called once the server has stopped."""
        with self._lock:
            left, self._in_flight = self._in_flight, 0
        if left:
            self._metrics.add_caller_outcome(CallKind.OTHER.value, NO_ANSWER, left)
            _LOGGER.warning(
                "callers: calls had no answer when the node stopped", extra={"calls": left}
            )

    def _end(self, kind: CallKind, outcome: str) -> None:
        with self._lock:
            self._in_flight -= 1
        self._metrics.add_caller_outcome(kind.value, outcome)

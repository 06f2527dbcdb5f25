"""State and output of a coordinator, its write limit, and the data centres known as expired."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    DEFAULT_LEDGER_WRITE_BURST,
    DEFAULT_LEDGER_WRITES_PER_MINUTE,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.ceilings.models import (
        DataCentreExpired,
        DataCentrePart,
        Envelope,
        WriteLedger,
    )
    from toucandoor.ids import DataCentreId


class CoordinatorState(Enum):
    """State of a coordinator, which decides what it may do."""

    CANDIDATE = "candidate"
    """Its term is not in the ledger yet; it may only write it there."""

    ACTIVE = "holder"

    SUPERSEDED = "deposed"
    """The ledger has a later term; this coordinator does nothing any more."""


@dataclass(slots=True)
class CoordinatorOutput:
    """Messages to send and at most one ledger write."""

    envelopes: list[Envelope] = field(default_factory=list)
    write: WriteLedger | None = None


class WriteBudget:
    """Token bucket that bounds the ledger writes of one coordinator."""

    def __init__(self) -> None:
        self._tokens = DEFAULT_LEDGER_WRITE_BURST
        self._refilled_s: float | None = None

    def try_consume(self, now_s: float) -> bool:
        """Consume a token; return False when there is none."""
        elapsed_s = 0.0 if self._refilled_s is None else now_s - self._refilled_s
        self._refilled_s = now_s
        gained = elapsed_s * DEFAULT_LEDGER_WRITES_PER_MINUTE / 60.0
        self._tokens = min(DEFAULT_LEDGER_WRITE_BURST, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ExpiredDataCentres:
    """Data centres reported as expired; a report is void once a newer term was seen after it."""

    def __init__(self) -> None:
        self._events: dict[DataCentreId, DataCentreExpired] = {}
        self._term_first_seen: dict[DataCentreId, tuple[int, float]] = {}

    def on_expired(self, event: DataCentreExpired) -> None:
        """Record an expiry; a later one of the same data centre replaces it."""
        self._events[event.data_centre] = event

    def on_recovered(self, data_centre: DataCentreId) -> None:
        """Discard the data centre's expiry."""
        self._events.pop(data_centre, None)

    def observe_terms(self, lines: Mapping[DataCentreId, DataCentrePart], now_s: float) -> None:
        """Record when each data centre's current term was first seen."""
        for data_centre, line in lines.items():
            if self._term_first_seen.get(data_centre, (-1, 0.0))[0] != line.term:
                self._term_first_seen[data_centre] = (line.term, now_s)

    def reclaimable(self, now_s: float) -> frozenset[DataCentreId]:
        """Return the expired data centres whose permits may be reclaimed."""
        events = self._events.values()
        return frozenset(e.data_centre for e in events if self._is_reclaimable(e, now_s))

    def _is_reclaimable(self, event: DataCentreExpired, now_s: float) -> bool:
        seen_s = self._term_first_seen.get(event.data_centre, (0, now_s))[1]
        return now_s >= event.last_task_end_s and event.observed_s > seen_s

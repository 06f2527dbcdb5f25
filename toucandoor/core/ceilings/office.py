"""What a coordinator may do, what it wants done, and how often it may write."""

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
        DataCentreGone,
        DataCentrePart,
        Envelope,
        WriteLedger,
    )
    from toucandoor.ids import DataCentreId


class Office(Enum):
    """What a coordinator may do."""

    CANDIDATE = "candidate"
    """Its term is not in the ledger yet."""

    HOLDER = "holder"

    DEPOSED = "deposed"
    """A later term is in the ledger; it does nothing any more."""


@dataclass(slots=True)
class CoordinatorOutput:
    """What the coordinator wants done: messages to send and at most one write."""

    envelopes: list[Envelope] = field(default_factory=list)
    write: WriteLedger | None = None


class WriteBudget:
    """Token bucket that bounds the ledger writes of one coordinator."""

    def __init__(self) -> None:
        self._tokens = DEFAULT_LEDGER_WRITE_BURST
        self._filled_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Take a token; False when there is none."""
        elapsed_s = 0.0 if self._filled_s is None else now_s - self._filled_s
        self._filled_s = now_s
        gained = elapsed_s * DEFAULT_LEDGER_WRITES_PER_MINUTE / 60.0
        self._tokens = min(DEFAULT_LEDGER_WRITE_BURST, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Judgements:
    """Data centres judged gone, each void once a newer term of it was seen."""

    def __init__(self) -> None:
        self._events: dict[DataCentreId, DataCentreGone] = {}
        self._term_seen: dict[DataCentreId, tuple[int, float]] = {}

    def on_gone(self, event: DataCentreGone) -> None:
        """Note a judgement; a later one replaces it."""
        self._events[event.data_centre] = event

    def on_back(self, data_centre: DataCentreId) -> None:
        """Forget a judgement."""
        self._events.pop(data_centre, None)

    def note_terms(self, lines: Mapping[DataCentreId, DataCentrePart], now_s: float) -> None:
        """Note when each data centre's term was first seen."""
        for data_centre, line in lines.items():
            if self._term_seen.get(data_centre, (-1, 0.0))[0] != line.term:
                self._term_seen[data_centre] = (line.term, now_s)

    def reclaimable(self, now_s: float) -> frozenset[DataCentreId]:
        """Return the data centres whose permits are free again."""
        events = self._events.values()
        return frozenset(e.data_centre for e in events if self._is_reclaimable(e, now_s))

    def _is_reclaimable(self, event: DataCentreGone, now_s: float) -> bool:
        seen_s = self._term_seen.get(event.data_centre, (0, now_s))[1]
        return now_s >= event.last_task_end_s and event.judged_s > seen_s

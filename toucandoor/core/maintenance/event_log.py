"""Event log of a data centre: bounded segments, compacted into a summary.

Events are first written into the assignment map together with the change they report. From there
they are copied to segments, numbered by their first event, and only then taken off the map. A copy
made twice gives the same bytes, so a crash or lost answer between the two leaves no gap and no
double.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from toucandoor.core.maintenance.const import (
    KEY_LOG_PREFIX,
    LOG_SEGMENT_MAX_BYTES,
    LOG_SEGMENTS_KEPT,
    LOG_SUMMARY_DAYS_KEPT,
)
from toucandoor.core.pools.models import FleetEvent, Swap

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from datetime import datetime

    from toucandoor.ids import DataCentreId, VmId


@dataclass(frozen=True, slots=True)
class Segment:
    """A slot's present content: consecutive events.

    Attributes:
        number: Which segment since the first; the slot is the number modulo the slots kept.
    """

    number: int = 0
    events: tuple[FleetEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class LogSummary:
    """What is left of segments that were overwritten.

    Attributes:
        segment: Number of the segment being filled.
        compacted: Number of the last segment folded in; -1 before the first.
        first_sequence: Lowest sequence that belongs into that segment.
        days: Count of events by day, kind and pool.
    """

    segment: int = 0
    compacted: int = -1
    first_sequence: int = 0
    days: dict[str, dict[str, int]] = field(default_factory=dict)


_SEGMENT_DECODER = msgspec.json.Decoder(Segment)
_SUMMARY_DECODER = msgspec.json.Decoder(LogSummary)


def summary_key(data_centre: DataCentreId) -> str:
    """Return the key of a data centre's log summary."""
    return f"{KEY_LOG_PREFIX}{data_centre}/summary"


def segment_key(data_centre: DataCentreId, number: int) -> str:
    """Return the key of the slot that a segment is kept in."""
    return f"{KEY_LOG_PREFIX}{data_centre}/{number % LOG_SEGMENTS_KEPT}"


def decode_segment(value: bytes | None) -> Segment | None:
    """Return the segment in a stored value; None where there is none."""
    return _SEGMENT_DECODER.decode(value) if value else None


def decode_summary(value: bytes | None) -> LogSummary:
    """Return the summary in a stored value; an empty one where there is none."""
    return _SUMMARY_DECODER.decode(value) if value else LogSummary()


@dataclass(frozen=True, slots=True)
class LogRead:
    """Event: the log's summary and the slot being filled, as read.

    Attributes:
        slot: Content of the slot of segment ``summary.segment``.
    """

    summary: LogSummary
    summary_revision: int
    slot: Segment | None
    slot_revision: int


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Decision: read the summary, then the slot of the segment it names."""

    data_centre: DataCentreId


def flush(data_centre: DataCentreId, events: Sequence[FleetEvent], read: LogRead) -> Swap | int:
    """Return the next write that the events need, or the sequence below which all are kept.

    Args:
        data_centre: Whose log it is.
        events: Events awaiting the log, in order of their sequence.
        read: The log as it is.
    """
    number = read.summary.segment
    slot = read.slot
    if slot is not None and slot.number < number:
        if read.summary.compacted < slot.number:
            return _swap(summary_key(data_centre), read.summary_revision, _compact(read, slot))
        slot = None
    segment = slot or Segment(number)
    logged = segment.events[-1].sequence + 1 if segment.events else read.summary.first_sequence
    new = [event for event in events if event.sequence >= logged]
    if not new:
        return logged
    if len(msgspec.json.encode(segment)) >= LOG_SEGMENT_MAX_BYTES:
        following = replace(read.summary, segment=number + 1, first_sequence=logged)
        return _swap(summary_key(data_centre), read.summary_revision, following)
    filled = replace(segment, events=(*segment.events, *new))
    return _swap(segment_key(data_centre, number), read.slot_revision, filled)


def _swap(key: str, revision: int, value: Segment | LogSummary) -> Swap:
    return Swap(key, revision, msgspec.json.encode(value, order="sorted"))


def _compact(read: LogRead, old: Segment) -> LogSummary:
    days = {day: dict(counts) for day, counts in read.summary.days.items()}
    for event in old.events:
        counts = days.setdefault(event.at.date().isoformat(), {})
        name = f"{event.kind.value}/{event.pool or '-'}"
        counts[name] = counts.get(name, 0) + 1
    kept = sorted(days)[-LOG_SUMMARY_DAYS_KEPT:]
    return replace(read.summary, compacted=old.number, days={day: days[day] for day in kept})


def between(
    segments: Iterable[Segment | None],
    waiting: Iterable[FleetEvent],
    start: datetime,
    length: timedelta,
    vm: VmId | None = None,
) -> list[FleetEvent]:
    """Return the events of a span of time, oldest first, each once.

    Args:
        segments: All slots of the log.
        waiting: Events that the assignment map still holds.
        start: Start of the span, included.
        length: Length of the span.
        vm: Only events of this VM; all when None.
    """
    found = {event.sequence: event for each in segments if each for event in each.events}
    found |= {event.sequence: event for event in waiting}
    return [
        event
        for _, event in sorted(found.items())
        if start <= event.at < start + length and (vm is None or event.vm == vm)
    ]

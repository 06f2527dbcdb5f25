"""Event log of a data centre: a ring of bounded segments; overwritten ones leave a summary.

Events are first written into the assignment map, in the same write as the change that they report.
From there they are copied to the segments, and removed from the map only after that. An event that
is in the log already, by its sequence number, is not appended again, so a crash or a lost answer
between the two steps neither loses nor duplicates events.
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
    """Content of a slot of the log: consecutive events.

    Attributes:
        number: Number of the segment; its slot is this number modulo ``LOG_SEGMENTS_KEPT``.
        events: The events, in order of their sequence.
    """

    number: int = 0
    events: tuple[FleetEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class LogSummary:
    """Position of the log, and event counts of the segments that were overwritten.

    Attributes:
        segment: Number of the segment being filled.
        compacted: Number of the last segment that the counts include; -1 before the first.
        first_sequence: Sequence of the first event of ``segment``.
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
    """Return the key of the slot that holds a segment."""
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
        slot: Content of the slot of segment ``summary.segment``; it may still hold the segment that
            is overwritten next.
    """

    summary: LogSummary
    summary_revision: int
    slot: Segment | None
    slot_revision: int


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Decision: read the log's summary, then the slot of the segment being filled."""

    data_centre: DataCentreId


def next_log_write(
    data_centre: DataCentreId, events: Sequence[FleetEvent], read: LogRead
) -> Swap | int:
    """Return the next write to store events, or the sequence below which all events are stored.

    Args:
        data_centre: Data centre of the log.
        events: Events to store, in order of their sequence.
        read: The log as last read.
    """
    number = read.summary.segment
    slot = read.slot
    if slot is not None and slot.number < number:
        if read.summary.compacted < slot.number:
            return _swap(
                summary_key(data_centre), read.summary_revision, _fold_into_summary(read, slot)
            )
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


def _fold_into_summary(read: LogRead, old: Segment) -> LogSummary:
    days = {day: dict(counts) for day, counts in read.summary.days.items()}
    for event in old.events:
        counts = days.setdefault(event.at.date().isoformat(), {})
        name = f"{event.kind.value}/{event.pool or '-'}"
        counts[name] = counts.get(name, 0) + 1
    kept = sorted(days)[-LOG_SUMMARY_DAYS_KEPT:]
    return replace(read.summary, compacted=old.number, days={day: days[day] for day in kept})


def events_between(
    segments: Iterable[Segment | None],
    waiting: Iterable[FleetEvent],
    start: datetime,
    length: timedelta,
    vm: VmId | None = None,
) -> list[FleetEvent]:
    """Return the events of a time range, oldest first, without duplicates.

    Args:
        segments: All slots of the log.
        waiting: Events that are still in the assignment map.
        start: Start of the range, inclusive.
        length: Length of the range; its end is exclusive.
        vm: Only events of this VM; all when None.
    """
    found = {event.sequence: event for each in segments if each for event in each.events}
    found |= {event.sequence: event for event in waiting}
    return [
        event
        for _, event in sorted(found.items())
        if start <= event.at < start + length and (vm is None or event.vm == vm)
    ]

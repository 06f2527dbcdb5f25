"""What an owner that stops as planned tells the next one.

A new owner does not know when the leases of a backend server end that does not answer, and has to
wait a whole lease before its tasks may run elsewhere. In a rolling restart that wait would begin
anew with each owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.scheduling.workers import Boot
from toucandoor.ids import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HANDOVER_KEY: Final = "owner-handover"
"""Lies below the ownership's own key, so that one read shows both."""


class UnresponsiveBoot(msgspec.Struct, frozen=True):
    """A boot of a backend server that did not answer the former owner.

    Attributes:
        worker_id: Its id.
        born_unix_ms: Its start.
        lapses_in_s: Time from the record's write by which every lease of it has ended.
    """

    worker_id: WorkerId
    born_unix_ms: int
    lapses_in_s: float


class HandoverRecord(msgspec.Struct, frozen=True):
    """The last word of an owner; the next claim removes it."""

    silent: tuple[UnresponsiveBoot, ...]


def encode_handover(lapses_in_s: Mapping[Boot, float]) -> bytes:
    """Return the bytes of a record."""
    silent = tuple(UnresponsiveBoot(*boot, left_s) for boot, left_s in lapses_in_s.items())
    return msgspec.json.encode(HandoverRecord(silent))


def decode_handover(value: bytes) -> dict[Boot, float]:
    """Return the time in which each silent boot's leases end.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    silent: Iterable[UnresponsiveBoot] = msgspec.json.decode(value, type=HandoverRecord).silent
    return {Boot(each.worker_id, each.born_unix_ms): each.lapses_in_s for each in silent}

"""Record that an owner leaves to its successor when it stops as planned.

A new owner does not know when the leases of an unresponsive backend server expire, and must wait
for the longest possible lease before its tasks may run elsewhere. In a rolling restart, that wait
would start again with each owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.scheduling.workers import Boot
from toucandoor.ids import WorkerId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HANDOVER_KEY: Final = "owner-handover"
"""Starts with the key of the ownership record, so that one prefix read returns both records."""


class UnresponsiveBoot(msgspec.Struct, frozen=True):
    """A boot of a backend server that did not answer the former owner.

    Attributes:
        worker_id: Id of the backend server.
        born_unix_ms: Start of the boot.
        lapses_in_s: Longest time, from the write of the record, until all its leases have expired.
    """

    worker_id: WorkerId
    born_unix_ms: int
    lapses_in_s: float


class HandoverRecord(msgspec.Struct, frozen=True):
    """Unresponsive boots at the end of an owner's term; the next claim deletes the record.

    Attributes:
        silent: The unresponsive boots.
    """

    silent: tuple[UnresponsiveBoot, ...]


def encode_handover(leases_s: Mapping[Boot, float]) -> bytes:
    """Encode a handover record.

    Args:
        leases_s: Longest time, in seconds, until the leases of each unresponsive boot have expired.
    """
    boots = tuple(UnresponsiveBoot(*boot, left_s) for boot, left_s in leases_s.items())
    return msgspec.json.encode(HandoverRecord(boots))


def decode_handover(value: bytes) -> dict[Boot, float]:
    """Return the longest time, in seconds, until the leases of each unresponsive boot have expired.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid record.
    """
    boots: Iterable[UnresponsiveBoot] = msgspec.json.decode(value, type=HandoverRecord).silent
    return {Boot(boot.worker_id, boot.born_unix_ms): boot.lapses_in_s for boot in boots}

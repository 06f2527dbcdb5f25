"""Validity of the schedule's ownership at its holder, and the record that claims it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.ids import EntryId

if TYPE_CHECKING:
    from toucandoor.clock import Clock

OWNER_KEY: Final = "owner"
OWNER_TTL_S: Final = 1.2
"""Lease of the ownership: the schedule stands still for as long when its owner dies; a store that
answers sixty times slower than usual, in a quarter second, can still renew it."""
RENEW_EVERY_S: Final = 0.3
"""A quarter of the lease, so that two renewals in a row can fail."""
RENEW_TIMEOUT_S: Final = 0.4
"""Longest wait for a renewal: above a slow store's answer, and short enough to try again."""
VALIDITY_MARGIN_S: Final = 0.2
"""How long before its end the holder stops; covers the drift of clocks and an order under way."""


class OwnerRecord(msgspec.Struct, frozen=True):
    """Who owns the schedule.

    Attributes:
        entry_id: Entry VM of the owner.
        claim_id: Unique for each claim, so that a lost answer can be read back.
    """

    entry_id: EntryId
    claim_id: str


class OwnershipLease:
    """Tells how long its holder may act, by the holder's own clock.

    Counted from before each renewal was sent, so that it ends before the store can grant the
    ownership to another.
    """

    def __init__(self, clock: Clock, granted_at_s: float, ttl_s: float) -> None:
        self._clock = clock
        self._ttl_s = ttl_s
        self._valid_until_s = granted_at_s + ttl_s - VALIDITY_MARGIN_S

    def renewed(self, sent_at_s: float) -> None:
        """Note a renewal that the store has answered."""
        until_s = sent_at_s + self._ttl_s - VALIDITY_MARGIN_S
        self._valid_until_s = max(self._valid_until_s, until_s)

    @property
    def valid(self) -> bool:
        """Whether its holder may act now."""
        return self._clock.monotonic_s() < self._valid_until_s


def encode_owner(record: OwnerRecord) -> bytes:
    """Return a record's bytes."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode a record.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    return msgspec.json.decode(value, type=OwnerRecord)

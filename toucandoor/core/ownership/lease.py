"""Record of the schedule's ownership, and the validity of the ownership at its holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.ids import EntryId

if TYPE_CHECKING:
    from toucandoor.clock import Clock

OWNER_KEY: Final = "owner"
OWNER_TTL_S: Final = 1.2
"""Lease of the ownership. When the owner fails, nothing is scheduled until it expires. It is long
enough to be renewed even if the store answers sixty times slower than usual, in 0.25 s."""
RENEW_INTERVAL_S: Final = 0.3
"""Interval between renewals: a quarter of the lease, so that two consecutive renewals may fail."""
RENEW_RETRY_S: Final = 0.05
"""Pause after a failed renewal; short, since the ownership must not end for a few lost answers."""
RENEW_TIMEOUT_S: Final = 0.4
"""Longest time-out of a renewal: more than a slow store needs, and short enough to retry."""
VALIDITY_MARGIN_S: Final = 0.2
"""Time before the end of the lease at which the holder stops acting; covers clock drift and an
order in flight."""


class OwnerRecord(msgspec.Struct, frozen=True):
    """Claim of the schedule's ownership.

    Attributes:
        entry_id: Entry VM of the owner.
        claim_id: Unique for each claim, so that a claim can be recognised after a lost answer.
    """

    entry_id: EntryId
    claim_id: str


class OwnershipLease:
    """Validity of the ownership by its holder's own clock.

    It is counted from the time before each renewal was sent, so that it ends before the store can
    grant the ownership to another entry VM.
    """

    def __init__(self, clock: Clock, granted_at_s: float, ttl_s: float) -> None:
        self._clock = clock
        self._ttl_s = ttl_s
        self._valid_until_s = granted_at_s + ttl_s - VALIDITY_MARGIN_S

    def record_renewal(self, sent_at_s: float) -> None:
        """Extend the validity after a renewal that the store has answered.

        Args:
            sent_at_s: When the renewal was sent, on the monotonic clock.
        """
        until_s = sent_at_s + self._ttl_s - VALIDITY_MARGIN_S
        self._valid_until_s = max(self._valid_until_s, until_s)

    @property
    def valid(self) -> bool:
        """Whether its holder may act now."""
        return self._clock.monotonic_s() < self._valid_until_s


def encode_owner(record: OwnerRecord) -> bytes:
    """Encode an ownership record."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode an ownership record.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid record.
    """
    return msgspec.json.decode(value, type=OwnerRecord)

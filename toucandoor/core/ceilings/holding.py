"""Permits held by one member and their transfers to and from other members."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import DEFAULT_RESEND_S
from toucandoor.core.ceilings.models import (
    Epoch,
    Member,
    PermitTransfer,
    PermitTransferAck,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import TeamId

NO_EPOCH = Epoch(0, 0)


class Holding:
    """Permits held by one member, and its transfers that are not acknowledged yet.

    The giver stops holding permits before it sends the transfer. At most one transfer to each taker
    is unacknowledged, so the taker accepts only sequence numbers above the last one: a duplicated
    or reordered transfer counts once. A transfer is valid only in its own epoch.

    Attributes:
        held: Permits of each team, spent ones included.
    """

    def __init__(self, me: Member, epoch: Epoch = NO_EPOCH) -> None:
        self.me = me
        self.epoch = epoch
        self.held: Counter[TeamId] = Counter()
        self._sequence = 0
        self._unacked: dict[Member, PermitTransfer] = {}
        self._sent_s: dict[Member, float] = {}
        self._received_sequences: dict[Member, int] = {}

    def enter_epoch(self, epoch: Epoch) -> None:
        """Enter a later epoch; transfers of earlier epochs become void."""
        self.epoch = epoch
        self._unacked.clear()
        self._sent_s.clear()
        self._received_sequences.clear()

    def reset(self, me: Member) -> None:
        """Drop all permits and start under a new identity, in no epoch."""
        self.me = me
        self.held.clear()
        self.enter_epoch(NO_EPOCH)

    def is_settled(self) -> bool:
        """Return whether no permits are held and every transfer was acknowledged."""
        return not self._unacked and not +self.held

    def can_transfer_to(self, taker: Member) -> bool:
        """Return whether no transfer to the taker awaits its acknowledgement."""
        return taker not in self._unacked

    def start_transfer(
        self, taker: Member, permits: Mapping[TeamId, int], now_s: float
    ) -> PermitTransfer:
        """Remove permits from this member and return the transfer that carries them."""
        self.held.subtract(permits)
        self._sequence += 1
        transfer = PermitTransfer(self.me, taker, self.epoch, self._sequence, dict(permits))
        self._unacked[taker] = transfer
        self._sent_s[taker] = now_s
        return transfer

    def receive(self, transfer: PermitTransfer) -> PermitTransferAck | None:
        """Add the permits of a transfer, once, and return its acknowledgement.

        Returns:
            None when the transfer is for another member or of another epoch.
        """
        if transfer.taker != self.me or transfer.epoch != self.epoch:
            return None
        if transfer.sequence > self._received_sequences.get(transfer.giver, 0):
            self._received_sequences[transfer.giver] = transfer.sequence
            self.held.update(transfer.permits)
        return PermitTransferAck(transfer.giver, self.me, self.epoch, transfer.sequence)

    def on_ack(self, ack: PermitTransferAck) -> None:
        """Drop an acknowledged transfer."""
        transfer = self._unacked.get(ack.taker)
        if ack.giver != self.me or ack.epoch != self.epoch or transfer is None:
            return
        if transfer.sequence == ack.sequence:
            del self._unacked[ack.taker]

    def due_resends(self, now_s: float) -> list[PermitTransfer]:
        """Return the transfers whose acknowledgement is overdue, as sent again at this time."""
        overdue = [t for t in self._unacked.values() if self._is_overdue(t.taker, now_s)]
        for transfer in overdue:
            self._sent_s[transfer.taker] = now_s
        return overdue

    def _is_overdue(self, taker: Member, now_s: float) -> bool:
        return now_s - self._sent_s[taker] >= DEFAULT_RESEND_S

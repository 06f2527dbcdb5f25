"""One member's permits and their transfer to and from other members."""

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
    """Permits held, and transfers that were not acknowledged yet.

    The giver stops holding permits before the transfer leaves. At most one transfer to each taker
    is unacknowledged, so the taker counts a sequence number only above the last one it saw: a
    doubled or reordered transfer counts once. A transfer counts only in its own epoch.

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
        self._seen: dict[Member, int] = {}

    def enter(self, epoch: Epoch) -> None:
        """Enter a later epoch: transfers of earlier ones never count any more."""
        self.epoch = epoch
        self._unacked.clear()
        self._sent_s.clear()
        self._seen.clear()

    def restart(self, me: Member) -> None:
        """Hold nothing, under a new identity and outside of all epochs."""
        self.me = me
        self.held.clear()
        self.enter(NO_EPOCH)

    def is_settled(self) -> bool:
        """Return whether nothing is held and every transfer was acknowledged."""
        return not self._unacked and not +self.held

    def can_give_to(self, taker: Member) -> bool:
        """Return whether no transfer to the taker waits for its acknowledgement."""
        return taker not in self._unacked

    def give(self, taker: Member, permits: Mapping[TeamId, int], now_s: float) -> PermitTransfer:
        """Stop holding permits and return the transfer that carries them."""
        self.held.subtract(permits)
        self._sequence += 1
        transfer = PermitTransfer(self.me, taker, self.epoch, self._sequence, dict(permits))
        self._unacked[taker] = transfer
        self._sent_s[taker] = now_s
        return transfer

    def take_in(self, transfer: PermitTransfer) -> PermitTransferAck | None:
        """Count a transfer once; None when it is for another identity or another epoch."""
        if transfer.taker != self.me or transfer.epoch != self.epoch:
            return None
        if transfer.sequence > self._seen.get(transfer.giver, 0):
            self._seen[transfer.giver] = transfer.sequence
            self.held.update(transfer.permits)
        return PermitTransferAck(transfer.giver, self.me, self.epoch, transfer.sequence)

    def on_ack(self, ack: PermitTransferAck) -> None:
        """Forget an acknowledged transfer."""
        transfer = self._unacked.get(ack.taker)
        if ack.giver != self.me or ack.epoch != self.epoch or transfer is None:
            return
        if transfer.sequence == ack.sequence:
            del self._unacked[ack.taker]

    def to_resend(self, now_s: float) -> list[PermitTransfer]:
        """Return the transfers whose acknowledgement is overdue."""
        overdue = [t for t in self._unacked.values() if self._is_overdue(t.taker, now_s)]
        for transfer in overdue:
            self._sent_s[transfer.taker] = now_s
        return overdue

    def _is_overdue(self, taker: Member, now_s: float) -> bool:
        return now_s - self._sent_s[taker] >= DEFAULT_RESEND_S

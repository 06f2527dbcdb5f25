"""Orders on VMs of the last seconds, kept in the store so that two owners never take turns.

A VM that a former owner has ordered lately is left alone by the next one for a while; all others
may be ordered at once. The record is written before the orders are sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.ids import VmId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.clock import Clock

VM_ORDERS_KEY: Final = "vm-orders"
KEPT_S: Final = 12.0
"""How long an order stays in the record; longer than any time for which it is looked at."""
CLOCK_SKEW_S: Final = 3.0
"""How far the clocks of two VMs may be apart, a step of two seconds on one of them included."""


class VmOrdersRecord(msgspec.Struct, frozen=True):
    """VMs that owners have ordered lately, with the wall-clock time of the order."""

    ordered_unix_ms: dict[VmId, int]


class VmOrderLog:
    """Remembers which VMs were ordered lately, by this owner and by the former one.

    Args:
        clock: The clock.
        holder_gap_s: Time for which a VM that the former owner ordered is left alone.
    """

    def __init__(self, clock: Clock, holder_gap_s: float) -> None:
        self._clock = clock
        self._holder_gap_s = holder_gap_s
        self._free_at_s = clock.monotonic_s() + holder_gap_s
        self._former: set[VmId] = set()
        self._ordered_unix_ms: dict[VmId, int] = {}

    def restore(self, record: VmOrdersRecord) -> None:
        """Take over what former owners ordered lately."""
        self._ordered_unix_ms = dict(record.ordered_unix_ms)
        recent_ms = self._unix_ms() - (self._holder_gap_s + CLOCK_SKEW_S) * 1000
        self._former = {vm_id for vm_id, at in self._ordered_unix_ms.items() if at > recent_ms}

    def free(self, vm_id: VmId) -> bool:
        """Return whether a VM may be ordered now."""
        return vm_id not in self._former or self._clock.monotonic_s() >= self._free_at_s

    def ordering(self, vm_ids: Iterable[VmId]) -> VmOrdersRecord:
        """Note orders that are about to be sent; return the record to write before."""
        now_ms = self._unix_ms()
        kept_ms = now_ms - int(KEPT_S * 1000)
        kept = {vm_id: at for vm_id, at in self._ordered_unix_ms.items() if at > kept_ms}
        self._ordered_unix_ms = kept | dict.fromkeys(vm_ids, now_ms)
        return VmOrdersRecord(dict(self._ordered_unix_ms))

    def _unix_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def encode_vm_orders(record: VmOrdersRecord) -> bytes:
    """Return a record's bytes."""
    return msgspec.json.encode(record)


def decode_vm_orders(value: bytes) -> VmOrdersRecord:
    """Decode a record.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    return msgspec.json.decode(value, type=VmOrdersRecord)

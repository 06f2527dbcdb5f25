"""Record of recent orders on VMs, so that a new owner does not order the same VMs too soon.

A VM that a former owner has recently ordered gets no order from the next owner for a while; all
others may be ordered at once. The record is written to the store before the orders are sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.ids import VmId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.clock import Clock

VM_ORDERS_KEY: Final = "vm-orders"
RETENTION_S: Final = 12.0
"""Time for which an order stays in the record; longer than the handover gap and the skew."""
CLOCK_SKEW_S: Final = 3.0
"""Largest difference between the clocks of two VMs; includes a clock step of 2 s on one of them."""


class VmOrdersRecord(msgspec.Struct, frozen=True):
    """VMs that owners have recently ordered, with the Unix time of the order in milliseconds."""

    ordered_unix_ms: dict[VmId, int]


class VmOrderLog:
    """Tracks which VMs this owner and the former ones have recently ordered.

    Args:
        clock: The clock.
        handover_gap_s: Time for which a VM that a former owner has ordered gets no order.

    Attributes:
        former_until_s: End of that time, on the monotonic clock.
        former_unix_ms: When former owners have ordered VMs that are subject to it.
    """

    def __init__(self, clock: Clock, handover_gap_s: float) -> None:
        self._clock = clock
        self._handover_gap_s = handover_gap_s
        self.former_until_s = clock.monotonic_s() + handover_gap_s
        self.former_unix_ms: dict[VmId, int] = {}
        self._ordered_unix_ms: dict[VmId, int] = {}

    def restore(self, record: VmOrdersRecord) -> None:
        """Take over the recent orders of former owners."""
        self._ordered_unix_ms = dict(record.ordered_unix_ms)
        recent_ms = self._unix_ms() - (self._handover_gap_s + CLOCK_SKEW_S) * 1000
        self.former_unix_ms = {
            vm_id: at_ms for vm_id, at_ms in self._ordered_unix_ms.items() if at_ms > recent_ms
        }

    def may_order(self, vm_id: VmId) -> bool:
        """Return whether a VM may be ordered now."""
        return vm_id not in self.former_unix_ms or self._clock.monotonic_s() >= self.former_until_s

    def record_orders(self, vm_ids: Iterable[VmId]) -> VmOrdersRecord:
        """Record orders that are about to be sent; return the record to write before them."""
        now_ms = self._unix_ms()
        kept_ms = now_ms - int(RETENTION_S * 1000)
        kept = {vm_id: at for vm_id, at in self._ordered_unix_ms.items() if at > kept_ms}
        self._ordered_unix_ms = kept | dict.fromkeys(vm_ids, now_ms)
        return VmOrdersRecord(dict(self._ordered_unix_ms))

    def _unix_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)


def encode_vm_orders(record: VmOrdersRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def decode_vm_orders(value: bytes) -> VmOrdersRecord:
    """Decode a record.

    Raises:
        msgspec.MsgspecError: The bytes are not such a record.
    """
    return msgspec.json.decode(value, type=VmOrdersRecord)

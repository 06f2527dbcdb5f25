"""Orders on VMs of the last seconds, kept in the store so that two owners never take turns.

A VM that a former owner has ordered lately is left alone by the next one for a while; all others
may be ordered at once. The record is written before the orders are sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.ids import VmId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

VM_ORDERS_KEY: Final = "vm-orders"
KEPT_S: Final = 10.0
"""How long an order stays in the record: the time in which two holders count as taking turns, and
the longest delay of an order, several times over."""


class VmOrdersRecord(msgspec.Struct, frozen=True):
    """VMs that the owner has ordered lately."""

    vms: tuple[VmId, ...]


class VmOrderLog:
    """Remembers which VMs were ordered lately, by this owner and by the former one.

    Args:
        now_s: The monotonic clock.
        holder_gap_s: Time for which a VM that the former owner ordered is left alone.
    """

    def __init__(self, now_s: Callable[[], float], holder_gap_s: float) -> None:
        self._now_s = now_s
        self._free_at_s = now_s() + holder_gap_s
        self._former: frozenset[VmId] = frozenset()
        self._ordered_at_s: dict[VmId, float] = {}

    def restore(self, record: VmOrdersRecord) -> None:
        """Take over what the former owner ordered lately."""
        self._former = frozenset(record.vms)

    def free(self, vm_id: VmId) -> bool:
        """Return whether a VM may be ordered now."""
        return vm_id not in self._former or self._now_s() >= self._free_at_s

    def ordering(self, vm_ids: Iterable[VmId]) -> VmOrdersRecord:
        """Note orders that are about to be sent; return the record to write before."""
        now_s = self._now_s()
        for vm_id in vm_ids:
            self._ordered_at_s[vm_id] = now_s
        for vm_id, at_s in list(self._ordered_at_s.items()):
            if now_s - at_s > KEPT_S:
                del self._ordered_at_s[vm_id]
        former = self._former if now_s < self._free_at_s else frozenset()
        return VmOrdersRecord(tuple(sorted(former | set(self._ordered_at_s))))


def encode_vm_orders(record: VmOrdersRecord) -> bytes:
    """Return a record's bytes."""
    return msgspec.json.encode(record)


def decode_vm_orders(value: bytes) -> VmOrdersRecord:
    """Decode a record.

    Raises:
        msgspec.MsgspecError: The bytes are no such record.
    """
    return msgspec.json.decode(value, type=VmOrdersRecord)

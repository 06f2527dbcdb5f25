"""The platform's VM list as last read, with moves ordered since."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.workers import VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.core.scheduling.workers import VmEntry
    from toucandoor.ids import PoolId, VmId

LIST_EVERY_S: Final = 1.0
"""Time between reads while orders are under way; maintenance and moves take longer."""
LIST_IDLE_EVERY_S: Final = 5.0
"""Time between reads otherwise; VMs appear and disappear without orders too."""
LIST_RETRY_S: Final = 0.5
"""Pause after a failed read."""


class VmList:
    """The VM list, and when to read it next.

    Attributes:
        vms: VMs as last read, with moves ordered since.
        read_at_s: Monotonic time at which the last successful read was sent; None before the first.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self.vms: dict[VmId, VmEntry] = {}
        self.read_at_s: float | None = None
        self._in_flight = False
        self._next_read_s = 0.0
        self._moved_at_s: dict[VmId, float] = {}

    def begin_read_if_due(self, *, active: bool) -> bool:
        """Return whether a read of the list is due; if so, record that it has begun.

        Args:
            active: Whether orders on VMs are under way.
        """
        now_s = self._now_s()
        if not active and self.read_at_s is not None:
            due = now_s >= self.read_at_s + LIST_IDLE_EVERY_S
        else:
            due = now_s >= self._next_read_s
        if self._in_flight or not due:
            return False
        self._in_flight = True
        return True

    def schedule_read(self) -> None:
        """Make a read due now; it has no effect while no orders on VMs are under way."""
        self._next_read_s = self._now_s()

    def on_read(self, vms: Iterable[VmEntry] | None, asked_at_s: float) -> None:
        """Handle the end of a read.

        Args:
            vms: The VMs listed; None if the read failed.
            asked_at_s: When the read was sent, on the monotonic clock.
        """
        self._in_flight = False
        if vms is None:
            self._next_read_s = self._now_s() + LIST_RETRY_S
            return
        self._next_read_s = self._now_s() + LIST_EVERY_S
        self.read_at_s = asked_at_s
        listed = {vm.vm_id: vm for vm in vms}
        for vm_id, moved_at_s in list(self._moved_at_s.items()):
            if moved_at_s < asked_at_s:
                del self._moved_at_s[vm_id]
            elif vm_id in listed and vm_id in self.vms:
                listed[vm_id] = self.vms[vm_id]
        self.vms = listed

    def on_move_begun(self, vm_id: VmId, pool: PoolId) -> None:
        """Record that the move of a VM to another pool has begun."""
        vm = self.vms.get(vm_id)
        if vm is not None:
            self.vms[vm_id] = replace(vm, pool=pool, state=VmState.MOVING, worker_id=None)
            self._moved_at_s[vm_id] = self._now_s()

"""Runs on VMs that the platform lists as down, moving or under maintenance: they have ended.

A server that does not answer may be cut off and run on, so its tasks must wait until its lease has
expired. The platform's VM list tells the two apart: nothing runs on such a VM.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.workers import VmState

if TYPE_CHECKING:
    from collections.abc import Collection

    from toucandoor.core.scheduling.worker_registry import WorkerRegistry
    from toucandoor.core.scheduling.workers import VmEntry

_ORDERED_STATES: Final = (VmState.MOVING, VmState.MAINTENANCE)


class DownVms(ABC):
    """Decides what reads of the VM list say about the runs of backend servers."""

    @abstractmethod
    def on_vm_list(self, vms: Collection[VmEntry], asked_at_s: float) -> None:
        """Process a read of the VM list.

        Args:
            vms: The VMs.
            asked_at_s: When the read was sent, on the monotonic clock.
        """


class IgnoreDownVms(DownVms):
    """Baseline: only answers and leases of backend servers count."""

    def on_vm_list(self, vms: Collection[VmEntry], asked_at_s: float) -> None:
        """Ignore the list."""


class DiscardRunsOnDownVms(DownVms):
    """Discards the runs that have certainly ended with their VMs.

    Args:
        registry: The backend servers.
    """

    def __init__(self, registry: WorkerRegistry) -> None:
        self._registry = registry

    def on_vm_list(self, vms: Collection[VmEntry], asked_at_s: float) -> None:
        """Process the VMs that are down, moving or under maintenance."""
        down = {vm.vm_id for vm in vms if vm.state is VmState.DOWN}
        ordered = {vm.vm_id for vm in vms if vm.state in _ORDERED_STATES}
        if not down and not ordered:
            return
        for worker in self._registry.boots_on(down | ordered):
            # One that answers is the next server, which the list may be too old to show.
            by_order = worker.entry.vm_id in ordered
            if not by_order or worker.heartbeat_failures > 0:
                self._registry.vm_down(worker, asked_at_s, by_order=by_order)

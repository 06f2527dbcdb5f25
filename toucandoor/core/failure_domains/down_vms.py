"""Runs on VMs that the platform lists as down: they have ended, whatever their leases.

A server that does not answer may be cut off and run on, so its tasks must wait until its lease has
expired. The platform's VM list tells the two apart: nothing runs on a VM that is down.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from toucandoor.core.scheduling.workers import VmState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.scheduling.worker_registry import WorkerRegistry
    from toucandoor.core.scheduling.workers import VmEntry


class DownVms(ABC):
    """Decides what reads of the VM list say about the runs of backend servers."""

    @abstractmethod
    def on_vm_list(self, vms: Iterable[VmEntry], asked_at_s: float) -> None:
        """Process a read of the VM list.

        Args:
            vms: The VMs.
            asked_at_s: When the read was sent, on the monotonic clock.
        """


class IgnoreDownVms(DownVms):
    """Baseline: only answers and leases of backend servers count."""

    def on_vm_list(self, vms: Iterable[VmEntry], asked_at_s: float) -> None:
        """Ignore the list."""


class DiscardRunsOnDownVms(DownVms):
    """Discards the runs that have certainly ended with their VMs.

    Args:
        registry: The backend servers.
    """

    def __init__(self, registry: WorkerRegistry) -> None:
        self._registry = registry

    def on_vm_list(self, vms: Iterable[VmEntry], asked_at_s: float) -> None:
        """Process the VMs that are down."""
        down = {vm.vm_id for vm in vms if vm.state is VmState.DOWN}
        if not down:
            return
        for worker in self._registry.boots_on(down):
            self._registry.vm_down(worker, asked_at_s)

"""Totals of a simulated fleet's planned stops, from its records and VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from toucandoor.core.pools.models import AssignmentMap
    from toucandoor.fakes.virtual_vm import VirtualVm
    from toucandoor.ids import VmId
    from toucandoor.measures._fleet_models import RunFigures


def all_maintained(
    records: Collection[AssignmentMap], vms: Mapping[VmId, VirtualVm], now_s: float
) -> bool:
    """Return whether all VMs are maintained that have no fault and are not down by themselves."""
    maintained = _maintained(records)
    return not any(
        vms[vm_id].fault is None
        and vm_id not in maintained
        and (vm.planned_out or vms[vm_id].is_up(now_s))
        for record in records
        for vm_id, vm in record.vms.items()
    )


def set_totals(
    figures: RunFigures,
    records: Collection[AssignmentMap],
    vms: Mapping[VmId, VirtualVm],
    now_s: float,
) -> None:
    """Set the figures that are known only at the end."""
    figures.maintained = len(_maintained(records))
    figures.tasks_cut = sum(vm.tasks_cut for vm in vms.values())
    figures.refused_acts = sum(vm.refused for vm in vms.values())
    stopped = [vm_id for record in records for vm_id, vm in record.vms.items() if vm.planned_out]
    figures.failed = len(stopped)
    figures.stuck = sum(vms[vm_id].fault is None and vms[vm_id].is_up(now_s) for vm_id in stopped)


def _maintained(records: Collection[AssignmentMap]) -> set[VmId]:
    return {
        vm_id
        for record in records
        for vm_id, vm in record.vms.items()
        if vm.maintained_at is not None
    }

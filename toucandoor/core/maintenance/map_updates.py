"""Changes that a planner makes to a data centre's assignment map, other than starting stops."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from toucandoor.core.maintenance.const import DEFAULT_FAILED_MIN
from toucandoor.core.maintenance.drain import next_step
from toucandoor.core.pools.budget import with_received, with_returned
from toucandoor.core.pools.models import EventKind, VmAssignment, VmStep

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping
    from datetime import datetime

    from toucandoor.core.maintenance.drain import StepChange, StopView
    from toucandoor.core.maintenance.models import ConfigurationInForce, MaintenanceSettings
    from toucandoor.core.pools.models import AssignmentMap, BudgetLedger
    from toucandoor.ids import PoolId, VmId


def with_takeover(record: AssignmentMap, fence: int, actor: str, now: datetime) -> AssignmentMap:
    """Return the map with the fencing number of a new lease, so that older writes conflict."""
    if record.fence >= fence:
        return record
    record = replace(record, fence=fence)
    return record.with_event(now, EventKind.TAKEOVER, actor, f"planning lease {fence}")


def adopt_configuration(
    record: AssignmentMap,
    in_force: ConfigurationInForce,
    located_here: Collection[VmId],
    actor: str,
    now: datetime,
) -> AssignmentMap:
    """Return the map with the VMs of a configuration; an older configuration changes nothing.

    A VM is added only if the platform's VM list also places it in this data centre. A VM never
    changes its data centre, so controllers with different configurations cannot both add it. The
    time to its first maintenance starts when it is added.
    """
    if in_force.version < record.configuration_version:
        return record
    before = record
    configured = {
        vm_id: vm
        for vm_id, vm in in_force.configuration.vms.items()
        if vm.data_centre == record.data_centre
    }
    for vm_id in sorted(record.vms.keys() - configured.keys()):
        record = _remove(record, vm_id, actor, now)
    for vm_id, vm in sorted(configured.items()):
        present = record.vms.get(vm_id)
        if present is not None and (present.home, present.rack) != (vm.pool, vm.rack):
            record = record.with_vm(vm_id, home=vm.pool, rack=vm.rack)
        elif present is None and vm_id in located_here:
            vms = {**record.vms, vm_id: VmAssignment(vm.pool, vm.pool, vm.rack, maintained_at=now)}
            record = replace(record, vms=vms).with_event(
                now, EventKind.ADDED, actor, "configured and listed", vm=vm_id, pool=vm.pool
            )
    return record if record is before else replace(record, configuration_version=in_force.version)


def _remove(record: AssignmentMap, vm_id: VmId, actor: str, now: datetime) -> AssignmentMap:
    pool = record.vms[vm_id].pool
    vms = {other: vm for other, vm in record.vms.items() if other != vm_id}
    return replace(record, vms=vms).with_event(
        now, EventKind.REMOVED, actor, "no longer configured here", vm=vm_id, pool=pool
    )


def with_outages(
    record: AssignmentMap, unavailable: Collection[VmId], actor: str, now: datetime
) -> AssignmentMap:
    """Return the map with the start or end of outages of VMs that are not in a planned stop."""
    for vm_id, vm in record.vms.items():
        out = vm_id in unavailable
        if vm.planned_out or out == (vm.out_since is not None):
            continue
        kind = EventKind.OUTAGE if out else EventKind.RECOVERED
        reason = "not listed as live, or silent" if out else "listed as live and answering"
        record = record.with_vm(vm_id, out_since=now if out else None)
        record = record.with_event(now, kind, actor, reason, vm=vm_id, pool=vm.pool)
    return record


def advance_steps(
    record: AssignmentMap,
    views: Mapping[VmId, StopView],
    settings: MaintenanceSettings,
    actor: str,
    now: datetime,
) -> AssignmentMap:
    """Return the map with every planned stop advanced to its next step, where that is due."""
    for vm_id, view in views.items():
        vm = record.vms[vm_id]
        change = next_step(vm, view, settings)
        if change is None:
            continue
        record = _with_step(record, vm_id, vm, change, settings, now)
        reason = f"{change.step.value}: {change.reason}"
        record = record.with_event(now, EventKind.STEP, actor, reason, vm=vm_id, pool=vm.pool)
    return record


def _with_step(
    record: AssignmentMap,
    vm_id: VmId,
    vm: VmAssignment,
    change: StepChange,
    settings: MaintenanceSettings,
    now: datetime,
) -> AssignmentMap:
    failures = vm.failures + change.failed
    if change.step is not VmStep.IN_SERVICE:
        return record.with_vm(vm_id, step=change.step, failures=failures)
    if change.completed:
        return record.with_vm(
            vm_id, step=change.step, boot="", failures=0, maintained_at=now, out_since=None
        )
    retry = now + timedelta(seconds=settings.retry_after_s * min(2**failures, 24))
    return record.with_vm(vm_id, step=change.step, boot="", not_before=retry, out_since=None)


def with_pause(
    record: AssignmentMap, reason: str | None, actor: str, now: datetime
) -> AssignmentMap:
    """Return the map with the reason why no new stop starts; None ends the pause."""
    if (reason is None) == (record.paused is None):
        return record
    kind = EventKind.RESUMED if reason is None else EventKind.PAUSED
    return replace(record, paused=reason).with_event(now, kind, actor, reason or "signals are good")


def failure_pause_reason(record: AssignmentMap, settings: MaintenanceSettings) -> str | None:
    """Return why stops must pause when too many VMs failed theirs; None otherwise."""
    failed = sorted(vm_id for vm_id, vm in record.vms.items() if vm.step is VmStep.FAILED)
    limit = max(DEFAULT_FAILED_MIN, int(len(record.vms) * settings.failed_max_ratio))
    if len(failed) < limit:
        return None
    return f"{len(failed)} VMs have not come back from maintenance"


def return_idle_places(record: AssignmentMap, keep: Mapping[PoolId, int]) -> AssignmentMap:
    """Return the map with idle places returned.

    Args:
        record: The data centre's map.
        keep: Idle places of each pool that are not to be returned.
    """
    occupied = record.places_occupied()
    for pool in sorted(record.granted_seen):
        idle = record.places_held(pool) - occupied[pool] - keep.get(pool, 0)
        if idle > 0:
            record = with_returned(record, pool, idle)
    return record


def receive_all_places(record: AssignmentMap, ledger: BudgetLedger) -> AssignmentMap:
    """Return the map with all places received that the ledger has granted to it, of every pool."""
    for pool in sorted(ledger.granted):
        record = with_received(record, ledger, pool)
    return record

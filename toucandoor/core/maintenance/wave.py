"""Selection of the VMs whose planned stop starts next, and reasons why others wait."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.pools.budget import budget_uses, granted_to, with_received
from toucandoor.core.pools.const import OUTBOX_EVENTS_MAX
from toucandoor.core.pools.models import EventKind, VmStep

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from toucandoor.core.maintenance.models import MaintenanceSettings, VmReport
    from toucandoor.core.pools.budget import BudgetUse
    from toucandoor.core.pools.models import AssignmentMap, FleetRead, VmAssignment
    from toucandoor.ids import PoolId, VmId

_NEVER_MAINTAINED = datetime(1970, 1, 1, tzinfo=UTC)
_VMS_NAMED_MAX = 4


class Obstacle(Enum):
    """Condition that keeps a VM from being drained."""

    UNDER_WAY = "under_way"
    NOT_DUE = "not_due"
    STORE_UNAVAILABLE = "store_away"
    NO_PLANNER = "no_planner"
    LIST_STALE = "list_stale"
    PAUSED = "paused"
    OUT = "out"
    LEAVING = "leaving"
    RETRY_LATER = "retry_later"
    BUDGET_USED = "budget_used"
    PLACES_HELD_ELSEWHERE = "no_place_here"
    EVENT_OUTBOX_FULL = "log_behind"
    NO_RECENT_REPORT = "not_asked"
    UNHEALTHY = "unhealthy"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a VM is not being drained now.

    Attributes:
        obstacle: The first condition that is not met; None when the stop starts next.
        text: Explanation for operators.
    """

    vm: VmId
    obstacle: Obstacle | None
    text: str


@dataclass(frozen=True, slots=True)
class WaveView:
    """State from which the next stops are selected.

    Attributes:
        record: The data centre's assignment map with the changes of this planning run.
        read: All fleet records as last read.
        reports: Status reports of VMs that are recent enough to use.
        leaving: VMs that the platform lists as leaving.
        list_fresh: Whether the platform's VM list is recent enough.
        store_read_recently: Whether the fleet records were read within the lease duration.
    """

    record: AssignmentMap
    read: FleetRead
    reports: Mapping[VmId, VmReport]
    leaving: Collection[VmId]
    now: datetime
    list_fresh: bool = True
    store_read_recently: bool = True


def is_due(vm: VmAssignment, record: AssignmentMap, now: datetime, interval_s: float) -> bool:
    """Return whether a VM's maintenance is due."""
    last = vm.maintained_at or _NEVER_MAINTAINED
    if record.wave is not None and last < record.wave.requested_at:
        return True
    if vm.requested_at is not None and last < vm.requested_at:
        return True
    return now - last >= timedelta(seconds=interval_s)


def due_vms(record: AssignmentMap, now: datetime, interval_s: float) -> list[VmId]:
    """Return the VMs that are due, in the order in which to stop them.

    VMs in racks under maintenance come first: if such a rack is lost, more of the VMs lost were
    out anyway. Among them, the VM whose last maintenance is oldest comes first.
    """
    busy_racks = {vm.rack for vm in record.vms.values() if vm.planned_out}
    due = [
        (vm.rack not in busy_racks, vm.maintained_at or _NEVER_MAINTAINED, vm.rack, vm_id)
        for vm_id, vm in record.vms.items()
        if not vm.planned_out and is_due(vm, record, now, interval_s)
    ]
    return [vm_id for *_, vm_id in sorted(due)]


class WavePlanner:
    """Starts the planned stops whose conditions are met, and explains why others wait.

    Both use the same checks in the same order, so that explanations match the decisions.

    Attributes:
        unplanned: Number of VMs out without a planned stop, by pool.
        wanted_places: Places that the ledger should grant to this data centre, by pool; set by
            ``start_stops``.
        to_poll: VMs whose stop needs a recent status report first; set by ``start_stops``.
    """

    def __init__(self, view: WaveView, settings: MaintenanceSettings) -> None:
        self._view = view
        self._settings = settings
        self._record = view.record
        maps = {**view.read.maps, view.record.data_centre: view.record}
        self._uses = budget_uses(replace(view.read, maps=maps), view.record.data_centre)
        self.unplanned = {pool: len(use.unplanned) for pool, use in self._uses.items()}
        self._room = {pool: use.room for pool, use in self._uses.items()}
        self._free_places: dict[PoolId, int] = {}
        self.wanted_places: dict[PoolId, int] = {}
        self.to_poll: list[VmId] = []

    def explain(self, vm_id: VmId) -> Explanation:
        """Return why a VM is not being drained now."""
        vm = self._record.vms[vm_id]
        obstacle, text = self._obstacle(vm_id, vm)
        return Explanation(vm_id, obstacle, text)

    def start_stops(self, actor: str) -> AssignmentMap:
        """Return the map with every planned stop started that may start now.

        Also updates ``wanted_places`` and ``to_poll``.
        """
        for vm_id in due_vms(self._record, self._view.now, self._settings.interval_s):
            vm = self._record.vms[vm_id]
            if self._room.get(vm.pool, 0) < 1:
                continue
            obstacle, _ = self._obstacle(vm_id, vm)
            if obstacle is Obstacle.PLACES_HELD_ELSEWHERE:
                self.wanted_places[vm.pool] = self.wanted_places.get(vm.pool, 0) + 1
                self._room[vm.pool] -= 1
            elif obstacle is Obstacle.NO_RECENT_REPORT:
                self.to_poll.append(vm_id)
                self._room[vm.pool] -= 1
            elif obstacle is None:
                self._start_stop(vm_id, vm, actor)
        return self._record

    def _start_stop(self, vm_id: VmId, vm: VmAssignment, actor: str) -> None:
        self._room[vm.pool] -= 1
        self._free_places[vm.pool] = self._free_places_here(vm.pool) - 1
        record = with_received(self._record, self._view.read.ledger, vm.pool)
        record = record.with_vm(
            vm_id, step=VmStep.CORDONED, boot=self._view.reports[vm_id].boot, not_before=None
        )
        last = vm.maintained_at.isoformat() if vm.maintained_at else "never"
        self._record = record.with_event(
            self._view.now,
            EventKind.STEP,
            actor,
            f"cordoned: maintenance is due, last {last}",
            vm=vm_id,
            pool=vm.pool,
        )

    def _obstacle(self, vm_id: VmId, vm: VmAssignment) -> tuple[Obstacle | None, str]:
        return (
            self._obstacle_of_data_centre()
            or self._obstacle_of_vm(vm_id, vm)
            or self._obstacle_of_budget(vm)
            or self._obstacle_of_report(vm_id)
            or (None, "its drain starts next")
        )

    def _obstacle_of_data_centre(self) -> tuple[Obstacle, str] | None:
        view = self._view
        if not view.store_read_recently:
            return Obstacle.STORE_UNAVAILABLE, (
                "the platform's store is unavailable; no new stop starts"
            )
        if not view.list_fresh:
            return Obstacle.LIST_STALE, "the platform's VM list is too old"
        if len(self._record.events) >= OUTBOX_EVENTS_MAX:
            return Obstacle.EVENT_OUTBOX_FULL, "too many events wait to be written to the event log"
        if view.record.paused is not None:
            return Obstacle.PAUSED, f"waves are paused: {view.record.paused}"
        return None

    def _obstacle_of_vm(self, vm_id: VmId, vm: VmAssignment) -> tuple[Obstacle, str] | None:
        view = self._view
        if vm.planned_out:
            return Obstacle.UNDER_WAY, f"its planned stop is under way ({vm.step.value})"
        if not is_due(vm, view.record, view.now, self._settings.interval_s):
            return Obstacle.NOT_DUE, f"it is not due; last maintained {vm.maintained_at}"
        if vm_id in view.leaving:
            return Obstacle.LEAVING, "the platform lists it as leaving"
        if vm.out_since is not None or vm_id in view.read.unavailable:
            return Obstacle.OUT, "it is out of service without a planned stop"
        if vm.not_before is not None and view.now < vm.not_before:
            return Obstacle.RETRY_LATER, (
                f"its last planned stop did not complete; next try at {vm.not_before}"
            )
        return None

    def _obstacle_of_budget(self, vm: VmAssignment) -> tuple[Obstacle, str] | None:
        use = self._uses.get(vm.pool)
        if use is None:
            return Obstacle.BUDGET_USED, f"pool {vm.pool} has no budget"
        if self._room[vm.pool] < 1:
            return Obstacle.BUDGET_USED, _budget_text(vm.pool, use)
        if self._free_places_here(vm.pool) < 1:
            return Obstacle.PLACES_HELD_ELSEWHERE, (
                f"other data centres hold the free places in the budget of pool {vm.pool}"
            )
        return None

    def _obstacle_of_report(self, vm_id: VmId) -> tuple[Obstacle, str] | None:
        report = self._view.reports.get(vm_id)
        if report is None:
            return Obstacle.NO_RECENT_REPORT, "no recent status report from it"
        if not report.healthy or report.draining:
            return Obstacle.UNHEALTHY, "it does not report itself as healthy"
        return None

    def _free_places_here(self, pool: PoolId) -> int:
        """Return the places of a pool that this data centre was granted and does not use."""
        known = self._free_places.get(pool)
        if known is None:
            granted = granted_to(self._view.read.ledger, pool, self._record.data_centre)
            held = max(granted, self._record.granted_seen.get(pool, 0))
            held -= self._record.returned.get(pool, 0)
            known = self._free_places[pool] = held - self._record.places_occupied()[pool]
        return known


def _budget_text(pool: PoolId, use: BudgetUse) -> str:
    parts = [f"the budget of pool {pool} is used: {use.used} of {use.limit} out"]
    if use.reserved:
        parts.append(f"{use.reserved} places held by other data centres")
    for name, vms in (("planned", use.planned), ("lent", use.lent), ("failed", use.unplanned)):
        if vms:
            shown = sorted(vms)[:_VMS_NAMED_MAX]
            more = f" and {len(vms) - len(shown)} more" if len(vms) > len(shown) else ""
            parts.append(f"{name} {', '.join(shown)}{more}")
    return "; ".join(parts)

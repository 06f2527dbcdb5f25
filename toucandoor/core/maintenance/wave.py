"""Which VM is stopped next, and why another is not."""

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

_LONG_AGO = datetime(1970, 1, 1, tzinfo=UTC)
_NAMED_MAX = 4


class Obstacle(Enum):
    """Why a VM is not being drained."""

    UNDER_WAY = "under_way"
    NOT_DUE = "not_due"
    STORE_AWAY = "store_away"
    NO_PLANNER = "no_planner"
    LIST_STALE = "list_stale"
    PAUSED = "paused"
    OUT = "out"
    LEAVING = "leaving"
    RETRY_LATER = "retry_later"
    BUDGET_USED = "budget_used"
    NO_PLACE_HERE = "no_place_here"
    LOG_BEHIND = "log_behind"
    NOT_ASKED = "not_asked"
    UNHEALTHY = "unhealthy"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a VM is not being drained now.

    Attributes:
        obstacle: The first thing in the way; None when its stop starts next.
        text: Sentence for operators.
    """

    vm: VmId
    obstacle: Obstacle | None
    text: str


@dataclass(frozen=True, slots=True)
class WaveView:
    """What the choice of the next VM rests on.

    Attributes:
        record: The data centre's map as it would be written now.
        read: All fleet records as last read.
        reports: VMs' own words that are fresh enough.
        leaving: VMs the platform lists as leaving.
        list_fresh: Whether the platform's list is recent enough.
        store_seen: Whether the records were read lately.
    """

    record: AssignmentMap
    read: FleetRead
    reports: Mapping[VmId, VmReport]
    leaving: Collection[VmId]
    now: datetime
    list_fresh: bool = True
    store_seen: bool = True


def is_due(vm: VmAssignment, record: AssignmentMap, now: datetime, interval_s: float) -> bool:
    """Return whether a VM's maintenance is due."""
    last = vm.maintained_at or _LONG_AGO
    if record.wave is not None and last < record.wave.requested_at:
        return True
    if vm.requested_at is not None and last < vm.requested_at:
        return True
    return now - last >= timedelta(seconds=interval_s)


def candidates(record: AssignmentMap, now: datetime, interval_s: float) -> list[VmId]:
    """Return the VMs that are due; those in racks under maintenance first, then the oldest.

    Stops that share a rack with others leave fewer VMs of a pool out when that rack is lost.
    """
    busy_racks = {vm.rack for vm in record.vms.values() if vm.planned_out}
    due = [
        (vm.rack not in busy_racks, vm.maintained_at or _LONG_AGO, vm.rack, vm_id)
        for vm_id, vm in record.vms.items()
        if not vm.planned_out and is_due(vm, record, now, interval_s)
    ]
    return [vm_id for *_, vm_id in sorted(due)]


class WavePlanner:
    """Checks every condition for starting a planned stop, in one fixed order.

    The same checks start stops and explain why one was not started, so that the two agree.
    """

    def __init__(self, view: WaveView, settings: MaintenanceSettings) -> None:
        self._view = view
        self._settings = settings
        self._record = view.record
        maps = {**view.read.maps, view.record.data_centre: view.record}
        self._uses = budget_uses(replace(view.read, maps=maps), view.record.data_centre)
        self.unplanned = {pool: len(use.unplanned) for pool, use in self._uses.items()}
        self._room = {pool: use.room for pool, use in self._uses.items()}
        self._spare: dict[PoolId, int] = {}
        self.wanted: dict[PoolId, int] = {}
        self.to_ask: list[VmId] = []

    def explain(self, vm_id: VmId) -> Explanation:
        """Return what keeps a VM from being drained now."""
        vm = self._record.vms[vm_id]
        obstacle, text = self._obstacle(vm_id, vm)
        return Explanation(vm_id, obstacle, text)

    def start(self, actor: str) -> AssignmentMap:
        """Return the map with the planned stops started that may start now.

        Afterwards ``wanted`` counts the places that the ledger should hand out, and ``to_ask``
        lists the VMs whose own word is needed first.
        """
        for vm_id in candidates(self._record, self._view.now, self._settings.interval_s):
            vm = self._record.vms[vm_id]
            if self._room.get(vm.pool, 0) < 1:
                continue
            obstacle, _ = self._obstacle(vm_id, vm)
            if obstacle is Obstacle.NO_PLACE_HERE:
                self.wanted[vm.pool] = self.wanted.get(vm.pool, 0) + 1
                self._room[vm.pool] -= 1
            elif obstacle is Obstacle.NOT_ASKED:
                self.to_ask.append(vm_id)
                self._room[vm.pool] -= 1
            elif obstacle is None:
                self._begin(vm_id, vm, actor)
        return self._record

    def _begin(self, vm_id: VmId, vm: VmAssignment, actor: str) -> None:
        self._room[vm.pool] -= 1
        self._spare[vm.pool] = self._spare_places(vm.pool) - 1
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
        if not view.store_seen:
            return Obstacle.STORE_AWAY, "the platform's store is away; nothing new is stopped"
        if not view.list_fresh:
            return Obstacle.LIST_STALE, "the platform's list of VMs is too old"
        if len(self._record.events) >= OUTBOX_EVENTS_MAX:
            return Obstacle.LOG_BEHIND, "the event log is behind"
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
            return Obstacle.LEAVING, "the platform is taking it away"
        if vm.out_since is not None or vm_id in view.read.unavailable:
            return Obstacle.OUT, "it is out without a planned stop"
        if vm.not_before is not None and view.now < vm.not_before:
            return Obstacle.RETRY_LATER, f"its last try did not complete; next at {vm.not_before}"
        return None

    def _obstacle_of_budget(self, vm: VmAssignment) -> tuple[Obstacle, str] | None:
        use = self._uses.get(vm.pool)
        if use is None:
            return Obstacle.BUDGET_USED, f"pool {vm.pool} has no budget"
        if self._room[vm.pool] < 1:
            return Obstacle.BUDGET_USED, _budget_text(vm.pool, use)
        if self._spare_places(vm.pool) < 1:
            return Obstacle.NO_PLACE_HERE, (
                f"other data centres hold the free places in the budget of pool {vm.pool}"
            )
        return None

    def _obstacle_of_report(self, vm_id: VmId) -> tuple[Obstacle, str] | None:
        report = self._view.reports.get(vm_id)
        if report is None:
            return Obstacle.NOT_ASKED, "it has not answered lately"
        if not report.healthy or report.draining:
            return Obstacle.UNHEALTHY, "it does not report itself as healthy"
        return None

    def _spare_places(self, pool: PoolId) -> int:
        """Return the places held here, or handed out to here, that nothing takes."""
        known = self._spare.get(pool)
        if known is None:
            granted = granted_to(self._view.read.ledger, pool, self._record.data_centre)
            held = max(granted, self._record.granted_seen.get(pool, 0))
            held -= self._record.returned.get(pool, 0)
            known = self._spare[pool] = held - self._record.occupied()[pool]
        return known


def _budget_text(pool: PoolId, use: BudgetUse) -> str:
    parts = [f"the budget of pool {pool} is used: {use.used} of {use.limit} out"]
    if use.reserved:
        parts.append(f"{use.reserved} places held by other data centres")
    for name, vms in (("planned", use.planned), ("lent", use.lent), ("failed", use.unplanned)):
        if vms:
            shown = sorted(vms)[:_NAMED_MAX]
            more = f" and {len(vms) - len(shown)} more" if len(vms) > len(shown) else ""
            parts.append(f"{name} {', '.join(shown)}{more}")
    return "; ".join(parts)

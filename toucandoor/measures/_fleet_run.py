"""Maintenance of a whole fleet in virtual time: planners, their store and their VMs."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from toucandoor.clock import ManualClock
from toucandoor.core.maintenance.event_log import (
    LogRead,
    ReadLog,
    decode_segment,
    decode_summary,
    segment_key,
    summary_key,
)
from toucandoor.core.maintenance.lease import LeaseRead, ReadLease, decode_lease, lease_key
from toucandoor.core.maintenance.models import (
    ConfigurationInForce,
    MaintenanceSettings,
    PollVm,
    ServiceSignals,
    Tick,
    VmListRead,
    VmUnreachable,
)
from toucandoor.core.maintenance.planner import MaintenancePlanner
from toucandoor.core.maintenance.wave import WavePlanner
from toucandoor.core.pools.models import (
    ReadFleet,
    StoreUnavailable,
    Swap,
    assignment_key,
    decode_map,
    encode,
)
from toucandoor.core.pools.records import first_ledger, first_map, fleet_keys, fleet_read
from toucandoor.fakes.fleets import data_centres, fleet_configuration
from toucandoor.fakes.virtual_store import StoreFault, VirtualStore
from toucandoor.fakes.virtual_vm import VirtualVm, VmFault
from toucandoor.ids import DataCentreId, VmId
from toucandoor.measures._fleet_models import RunFigures, RunSettings

if TYPE_CHECKING:
    from toucandoor.core.maintenance.models import VmCommand
    from toucandoor.core.maintenance.planner import PlannerDecision, PlannerEvent
    from toucandoor.core.pools.models import AssignmentMap
    from toucandoor.fakes.fleets import FleetSize

_DAY_S = 86_400.0


@dataclass(slots=True)
class _Controller:
    name: str
    data_centre: DataCentreId
    planner: MaintenancePlanner
    frozen_until_s: float = 0.0
    held_up: list[PlannerDecision] = field(default_factory=list)


class FleetRun:
    """Runs planners against stand-ins and checks every promise as it goes.

    Args:
        planner_settings: Settings of the planners.
        wave_planner: How planners choose the next VM.
        guarded: Whether VMs refuse acts for another boot or under an older lease.
        serial: Whether to plan as the baseline does: one VM at a time for each pool, drains that
            wait for every task to end, pools of all sizes alike.
    """

    def __init__(
        self,
        size: FleetSize,
        settings: RunSettings,
        seed: str,
        planner_settings: MaintenanceSettings | None = None,
        *,
        wave_planner: type[WavePlanner] = WavePlanner,
        guarded: bool = True,
        serial: bool = False,
    ) -> None:
        self._size = size
        self._settings = settings
        self._planner_settings = planner_settings or MaintenanceSettings()
        self._serial = serial
        self._wave_planner = wave_planner
        self._guarded = guarded
        self._rng = Random(seed)
        self._centres = data_centres(size)
        self._configuration = fleet_configuration(size)
        if serial:
            pools = {
                pool: each.model_copy(update={"unavailable_max": 1})
                for pool, each in self._configuration.pools.items()
            }
            self._configuration = self._configuration.model_copy(update={"pools": pools})
        self.clock = ManualClock()
        self.store = VirtualStore()
        self.figures = RunFigures()
        self.vms = {vm: self._vm(vm) for vm in sorted(self._configuration.vms)}
        self._incarnation = 0
        self.controllers: list[_Controller] = []
        self._maps: dict[DataCentreId, AssignmentMap] = {}
        self.store_down = False
        self._list: list[tuple[float, VmListRead]] = []
        self._down: set[VmId] = set()
        self._reboots_at_start: Counter[str] = Counter()
        self._set_up()

    def _vm(self, vm_id: VmId) -> VirtualVm:
        bad = self._rng.random() < self._settings.bad_ratio
        fault = self._rng.choice((*VmFault,)) if bad else None
        return VirtualVm(vm_id, fault=fault, guarded=self._guarded)

    def _set_up(self) -> None:
        for each in self._centres:
            record = first_map(self._configuration, 1, each)
            self.store.swap(Swap(assignment_key(each), 0, encode(record)))
            self._maps[each] = record
        ledger = first_ledger(self._configuration, 1)
        self.store.swap(Swap("fleet/budgets", 0, encode(ledger)))
        self.store.on_write = self._check_write
        for each in self._centres:
            for _ in range(self._settings.controllers):
                self.controllers.append(self._controller(each))

    def _controller(self, data_centre: DataCentreId) -> _Controller:
        self._incarnation += 1
        name = f"{data_centre}-{self._incarnation}"
        planner = MaintenancePlanner(name, data_centre, self._planner_settings)
        planner.wave_planner = self._wave_planner
        controller = _Controller(name, data_centre, planner)
        self._tell(controller, ConfigurationInForce(1, self._configuration))
        return controller

    def run(self) -> RunFigures:
        """Run until every VM is maintained that is not out for another cause, or the time is up."""
        while self.clock.monotonic_s() < self._settings.end_s:
            self.clock.advance(self._settings.tick_s)
            self.step()
            if self.figures.rollout_s is None and self._all_done():
                self.figures.rollout_s = self.clock.monotonic_s()
                break
        self._conclude()
        return self.figures

    def step(self) -> None:
        """Let a step of virtual time pass for everyone."""
        now_s = self.clock.monotonic_s()
        self._trouble(now_s)
        self._work(now_s)
        listed = self._listed(now_s)
        late = self._in_span(now_s, self._settings.bad_signals_s)
        order = list(enumerate(self.controllers))
        self._rng.shuffle(order)
        for index, controller in order:
            if self._rng.random() < self._settings.kill_ratio:
                self.kill(index)
                continue
            if now_s < controller.frozen_until_s:
                continue
            held_up, controller.held_up = controller.held_up, []
            for decision in held_up:
                self._carry_out(controller, decision)
            self._tell(controller, listed)
            self._tell(controller, ServiceSignals(0.5 if late else 0.0, 0.0))
            self._tick(controller, now_s)

    def kill(self, index: int) -> None:
        """Kill a controller; a new process takes its place."""
        self.figures.faults += 1
        self.controllers[index] = self._controller(self.controllers[index].data_centre)

    def away(self) -> bool:
        """Return whether the store is away now."""
        now_s = self.clock.monotonic_s()
        return self.store_down or any(
            self._in_span(now_s, span) for span in self._settings.outages_s
        )

    def _tick(self, controller: _Controller, now_s: float) -> None:
        # Planners run side by side: each gets as far as chance has it before the next one's turn.
        for _ in range(self._rng.randint(1, 4)):
            decisions = self._tell(controller, Tick())
            if not decisions:
                return
            if self._rng.random() < self._settings.freeze_ratio:
                self.figures.faults += 1
                controller.frozen_until_s = now_s + self._rng.uniform(1, 120)
                controller.held_up = decisions
                return
            for decision in decisions:
                self._carry_out(controller, decision)

    def _tell(self, controller: _Controller, event: PlannerEvent) -> list[PlannerDecision]:
        return controller.planner.handle(event, self.clock.monotonic_s(), self.clock.now())

    def _carry_out(self, controller: _Controller, decision: PlannerDecision) -> None:
        self.note(controller.name, decision)
        for follow_up in self._tell(controller, self._answer(controller, decision)):
            self._carry_out(controller, follow_up)

    def _answer(self, controller: _Controller, decision: PlannerDecision) -> PlannerEvent:
        now_s = self.clock.monotonic_s()
        away = self.away()
        match decision:
            case Swap():
                fault = StoreFault.UNAVAILABLE if away else self._lost()
                return self.store.swap(decision, fault)
            case ReadLease(key=key):
                value, revision = self.store.get(key)
                record = decode_lease(value) if value else None
                return StoreUnavailable(key) if away else LeaseRead(record, revision)
            case ReadFleet():
                return StoreUnavailable("fleet") if away else self._fleet_read()
            case ReadLog(data_centre=data_centre):
                return StoreUnavailable("log") if away else self._log_read(data_centre)
            case PollVm(vm=vm):
                return self.vms[vm].report(now_s) or VmUnreachable(vm)
        late = self._rng.random() < self._settings.late_act_ratio
        if late or controller.planner.lease.may_finish(now_s):
            self._take(controller, decision, now_s)
        return self.vms[decision.vm].report(now_s) or VmUnreachable(decision.vm)

    def note(self, controller: str, decision: PlannerDecision) -> None:
        """Note a decision that is being carried out; for golden sessions."""

    def _take(self, controller: _Controller, act: VmCommand, now_s: float) -> None:
        vm = self.vms[act.vm]
        before = (vm.draining, vm.reboots)
        vm.execute(act, now_s)
        after = (vm.draining, vm.reboots)
        stopped = after[1] > before[1] or (after[0] and not before[0])
        planned = self._maps[controller.data_centre].vms[act.vm].planned_out
        self.figures.unplaced_stops += stopped and not planned

    def _lost(self) -> StoreFault | None:
        if self._rng.random() >= self._settings.lost_ratio:
            return None
        self.figures.faults += 1
        return self._rng.choice(
            (StoreFault.LOST_AFTER, StoreFault.LOST_BEFORE, StoreFault.LOST_LATE)
        )

    def _fleet_read(self) -> PlannerEvent:
        keys = [*fleet_keys(self._centres), *(lease_key(each) for each in self._centres)]
        return fleet_read(self._centres, {key: self.store.get(key) for key in keys})

    def _log_read(self, data_centre: DataCentreId) -> LogRead:
        value, revision = self.store.get(summary_key(data_centre))
        summary = decode_summary(value)
        slot, slot_revision = self.store.get(segment_key(data_centre, summary.segment))
        return LogRead(summary, revision, decode_segment(slot), slot_revision)

    @staticmethod
    def _in_span(now_s: float, span: tuple[float, float]) -> bool:
        return span[0] <= now_s < span[1]

    def _trouble(self, now_s: float) -> None:
        settings, rng = self._settings, self._rng
        if rng.random() < settings.lost_ratio:
            self.store.deliver_late()
        share = settings.tick_s / _DAY_S
        for a_day, down_s in ((settings.fails_a_day, 4 * 3_600.0), (settings.restarts_a_day, 90.0)):
            if rng.random() < a_day * share:
                self.figures.faults += 1
                self.vms[rng.choice(sorted(self.vms))].crash(now_s, down_s)
        lost_s = settings.rack_lost_s
        if lost_s is not None and lost_s <= now_s < lost_s + settings.tick_s:
            rack = rng.choice(sorted({vm.rack for vm in self._configuration.vms.values()}))
            for vm_id, vm in self._configuration.vms.items():
                if vm.rack == rack:
                    self.figures.faults += 1
                    self.vms[vm_id].crash(now_s, 1_800.0)

    def _work(self, now_s: float) -> None:
        for vm in self.vms.values():
            if vm.accepts_tasks(now_s) and len(vm.tasks) < 2 and self._rng.random() < 0.2:
                can_checkpoint = self._rng.random() < 0.5 and vm.fault is not VmFault.KEEPS_TASKS
                length_s = self._rng.uniform(1, self._settings.task_s)
                if vm.fault is VmFault.KEEPS_TASKS:
                    length_s = float("inf")
                checkpoint = can_checkpoint and not self._serial
                vm.tasks[f"{vm.vm}-{now_s:.0f}"] = (now_s + length_s, checkpoint)

    def _listed(self, now_s: float) -> VmListRead:
        live = {
            vm_id: each.data_centre
            for vm_id, each in self._configuration.vms.items()
            if self.vms[vm_id].is_up(now_s)
        }
        self._list.append((now_s, VmListRead(live, frozenset(), self._settings.list_lag_s)))
        while len(self._list) > 1 and self._list[1][0] <= now_s - self._settings.list_lag_s:
            self._list.pop(0)
        return self._list[0][1]

    def _check_write(self, key: str) -> None:
        data_centre = DataCentreId(key.rpartition("/")[2])
        if key != assignment_key(data_centre):
            return
        before, after = self._maps[data_centre], decode_map(self.store.values[key])
        self._maps[data_centre] = after
        self.figures.takeovers += before.fence != after.fence
        begun = [
            vm_id
            for vm_id, vm in after.vms.items()
            if vm.planned_out and not before.vms[vm_id].planned_out
        ]
        for vm_id, vm in after.vms.items():
            ended = before.vms[vm_id].planned_out and not vm.planned_out
            if ended and self.vms[vm_id].reboots - self._reboots_at_start[vm_id] > 1:
                self.figures.double_reboots += 1
        for vm_id in begun:
            self._reboots_at_start[vm_id] = self.vms[vm_id].reboots
        if begun:
            self._check_begun(begun)

    def _check_begun(self, begun: list[VmId]) -> None:
        now_s = self.clock.monotonic_s()
        figures = self.figures
        figures.planned_starts += len(begun)
        settings = self._settings
        known_s = settings.list_lag_s + self._planner_settings.fleet_read_every_s + settings.tick_s
        figures.starts_while_away += self.away()
        start_s, end_s = settings.bad_signals_s
        figures.starts_while_signals_bad += self._in_span(now_s, (start_s + settings.tick_s, end_s))
        planned: Counter[str] = Counter()
        out: Counter[str] = Counter()
        for record in self._maps.values():
            for vm_id, vm in record.vms.items():
                planned[vm.pool] += vm.planned_out
                long_down = not self.vms[vm_id].is_up(now_s) and self._down_since(vm_id) <= (
                    now_s - known_s
                )
                out[vm.pool] += vm.planned_out or vm.out_since is not None or long_down
        for pool in {self._configuration.vms[vm_id].pool for vm_id in begun}:
            limit = self._configuration.pools[pool].unavailable_max
            figures.over_held += planned[pool] > limit
            figures.budget_breaches += out[pool] > limit

    def _down_since(self, vm_id: VmId) -> float:
        for at_s, listed in self._list:
            if vm_id not in listed.live:
                return at_s
        return float("inf")

    def _all_done(self) -> bool:
        now_s = self.clock.monotonic_s()
        maintained = self._maintained()
        return not any(
            self.vms[vm_id].fault is None
            and vm_id not in maintained
            and (vm.planned_out or self.vms[vm_id].is_up(now_s))
            for record in self._maps.values()
            for vm_id, vm in record.vms.items()
        )

    def _maintained(self) -> set[VmId]:
        return {
            vm_id
            for record in self._maps.values()
            for vm_id, vm in record.vms.items()
            if vm.maintained_at is not None
        }

    def _conclude(self) -> None:
        figures = self.figures
        figures.maintained = len(self._maintained())
        figures.tasks_cut = sum(vm.tasks_cut for vm in self.vms.values())
        figures.refused_acts = sum(vm.refused for vm in self.vms.values())
        figures.store_calls = self.store.calls
        stopped = [
            vm_id
            for record in self._maps.values()
            for vm_id, vm in record.vms.items()
            if vm.planned_out
        ]
        figures.failed = len(stopped)
        now_s = self.clock.monotonic_s()
        figures.stuck = sum(
            self.vms[vm_id].fault is None and self.vms[vm_id].is_up(now_s) for vm_id in stopped
        )

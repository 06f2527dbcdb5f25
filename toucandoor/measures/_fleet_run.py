"""Simulation of a fleet's planned stops in virtual time: planners, store and VMs."""

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
from toucandoor.measures import _fleet_totals
from toucandoor.measures._fleet_models import RunFigures, RunSettings

if TYPE_CHECKING:
    from toucandoor.core.maintenance.models import VmCommand
    from toucandoor.core.maintenance.planner import PlannerDecision, PlannerEvent
    from toucandoor.core.pools.models import AssignmentMap
    from toucandoor.fakes.fleets import FleetSize

_DAY_S = 86_400.0


@dataclass(slots=True)
class SimulatedController:
    """One controller process and its planner.

    Attributes:
        frozen_until_s: Virtual time until which the process is frozen.
        delayed_decisions: Decisions made before a freeze, to be carried out after it.
    """

    name: str
    data_centre: DataCentreId
    planner: MaintenancePlanner
    frozen_until_s: float = 0.0
    delayed_decisions: list[PlannerDecision] = field(default_factory=list)


class FleetSimulation:
    """Runs planners against a simulated store and VMs, and counts violations of their guarantees.

    Args:
        seed: Seed of all random choices.
        planner_settings: Settings of the planners.
        wave_planner: Class that selects the VMs whose planned stop starts next.
        guarded: Whether VMs refuse commands for another boot or with an older fencing token.
        serial: Whether to plan as the baseline does: each pool has one VM at a time out of service,
            and drains wait for every task to end because no task can checkpoint.

    Attributes:
        figures: Figures counted so far; totals are updated when the simulation ends.
        store_down: Whether the store is unavailable beyond the outages of the settings.
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
        self._data_centres = data_centres(size)
        self._configuration = fleet_configuration(size)
        if serial:
            pools = {
                pool_id: pool.model_copy(update={"unavailable_max": 1})
                for pool_id, pool in self._configuration.pools.items()
            }
            self._configuration = self._configuration.model_copy(update={"pools": pools})
        self.clock = ManualClock()
        self.store = VirtualStore()
        self.figures = RunFigures()
        self.vms = {vm: self._new_vm(vm) for vm in sorted(self._configuration.vms)}
        self._incarnation = 0
        self.controllers: list[SimulatedController] = []
        self._maps: dict[DataCentreId, AssignmentMap] = {}
        self.store_down = False
        self._vm_lists: list[tuple[float, VmListRead]] = []
        self._down: set[VmId] = set()
        self._reboots_at_start: Counter[str] = Counter()
        self._set_up()

    def _new_vm(self, vm_id: VmId) -> VirtualVm:
        faulty = self._rng.random() < self._settings.faulty_vm_ratio
        fault = self._rng.choice((*VmFault,)) if faulty else None
        return VirtualVm(vm_id, fault=fault, guarded=self._guarded)

    def _set_up(self) -> None:
        for data_centre in self._data_centres:
            record = first_map(self._configuration, 1, data_centre)
            self.store.swap(Swap(assignment_key(data_centre), 0, encode(record)))
            self._maps[data_centre] = record
        ledger = first_ledger(self._configuration, 1)
        self.store.swap(Swap("fleet/budgets", 0, encode(ledger)))
        self.store.on_write = self._check_write
        for data_centre in self._data_centres:
            for _ in range(self._settings.controllers):
                self.controllers.append(self._new_controller(data_centre))

    def _new_controller(self, data_centre: DataCentreId) -> SimulatedController:
        self._incarnation += 1
        name = f"{data_centre}-{self._incarnation}"
        planner = MaintenancePlanner(name, data_centre, self._planner_settings)
        planner.wave_planner = self._wave_planner
        controller = SimulatedController(name, data_centre, planner)
        self._handle_event(controller, ConfigurationInForce(1, self._configuration))
        return controller

    def run(self) -> RunFigures:
        """Run until ``end_s``, or until all VMs are maintained that can be, and return the figures.

        VMs that have a fault, or are down without a planned stop, are not waited for.
        """
        while self.clock.monotonic_s() < self._settings.end_s:
            self.clock.advance(self._settings.tick_s)
            self.step()
            if self.figures.rollout_s is None and self.all_maintained():
                self.figures.rollout_s = self.clock.monotonic_s()
                break
        self.update_totals()
        return self.figures

    def all_maintained(self) -> bool:
        """Return whether all VMs are maintained that can be."""
        now_s = self.clock.monotonic_s()
        return _fleet_totals.all_maintained(self._maps.values(), self.vms, now_s)

    def update_totals(self) -> None:
        """Set the figures that are known only at the end."""
        now_s = self.clock.monotonic_s()
        _fleet_totals.set_totals(self.figures, self._maps.values(), self.vms, now_s)
        self.figures.store_calls = self.store.calls

    def step(self) -> None:
        """Simulate one step: faults, new tasks, then each controller in random order."""
        now_s = self.clock.monotonic_s()
        self._inject_faults(now_s)
        self._start_tasks(now_s)
        vm_list = self._delayed_vm_list(now_s)
        signals_bad = self._within(now_s, self._settings.bad_signals_s)
        order = list(enumerate(self.controllers))
        self._rng.shuffle(order)
        for index, controller in order:
            if self._rng.random() < self._settings.kill_ratio:
                self.kill(index)
                continue
            if now_s < controller.frozen_until_s:
                continue
            delayed, controller.delayed_decisions = controller.delayed_decisions, []
            for decision in delayed:
                self._carry_out(controller, decision)
            self._handle_event(controller, vm_list)
            self._handle_event(controller, ServiceSignals(0.5 if signals_bad else 0.0, 0.0))
            self._tick(controller, now_s)

    def kill(self, index: int) -> None:
        """Replace a controller by a new process that has no state of the old one."""
        self.figures.faults += 1
        self.controllers[index] = self._new_controller(self.controllers[index].data_centre)

    def store_unavailable(self) -> bool:
        """Return whether the store is unavailable now."""
        now_s = self.clock.monotonic_s()
        return self.store_down or any(
            self._within(now_s, span) for span in self._settings.store_outages_s
        )

    def _tick(self, controller: SimulatedController, now_s: float) -> None:
        # Planners run concurrently: a random number of planning runs before another one's turn.
        for _ in range(self._rng.randint(1, 4)):
            decisions = self._handle_event(controller, Tick())
            if not decisions:
                return
            if self._rng.random() < self._settings.freeze_ratio:
                self.figures.faults += 1
                controller.frozen_until_s = now_s + self._rng.uniform(1, 120)
                controller.delayed_decisions = decisions
                return
            for decision in decisions:
                self._carry_out(controller, decision)

    def _handle_event(
        self, controller: SimulatedController, event: PlannerEvent
    ) -> list[PlannerDecision]:
        return controller.planner.handle(event, self.clock.monotonic_s(), self.clock.now())

    def _carry_out(self, controller: SimulatedController, decision: PlannerDecision) -> None:
        self.record_decision(controller.name, decision)
        for follow_up in self._handle_event(controller, self._execute(controller, decision)):
            self._carry_out(controller, follow_up)

    def _execute(self, controller: SimulatedController, decision: PlannerDecision) -> PlannerEvent:
        """Execute a decision and return the event that reports its result."""
        now_s = self.clock.monotonic_s()
        unavailable = self.store_unavailable()
        match decision:
            case Swap():
                fault = StoreFault.UNAVAILABLE if unavailable else self._random_store_fault()
                return self.store.swap(decision, fault)
            case ReadLease(key=key):
                value, revision = self.store.get(key)
                record = decode_lease(value) if value else None
                return StoreUnavailable(key) if unavailable else LeaseRead(record, revision)
            case ReadFleet():
                return StoreUnavailable("fleet") if unavailable else self._fleet_read()
            case ReadLog(data_centre=data_centre):
                return StoreUnavailable("log") if unavailable else self._log_read(data_centre)
            case PollVm(vm=vm):
                return self.vms[vm].report(now_s) or VmUnreachable(vm)
        late = self._rng.random() < self._settings.late_command_ratio
        if late or controller.planner.lease.may_finish(now_s):
            self._command_vm(controller, decision, now_s)
        return self.vms[decision.vm].report(now_s) or VmUnreachable(decision.vm)

    def record_decision(self, controller: str, decision: PlannerDecision) -> None:
        """Called before each decision is carried out; for subclasses that record sessions."""

    def _command_vm(
        self, controller: SimulatedController, command: VmCommand, now_s: float
    ) -> None:
        vm = self.vms[command.vm]
        before = (vm.draining, vm.reboots)
        vm.execute(command, now_s)
        after = (vm.draining, vm.reboots)
        stopped = after[1] > before[1] or (after[0] and not before[0])
        planned = self._maps[controller.data_centre].vms[command.vm].planned_out
        self.figures.unplaced_stops += stopped and not planned

    def _random_store_fault(self) -> StoreFault | None:
        if self._rng.random() >= self._settings.lost_answer_ratio:
            return None
        self.figures.faults += 1
        return self._rng.choice(
            (StoreFault.LOST_AFTER, StoreFault.LOST_BEFORE, StoreFault.LOST_LATE)
        )

    def _fleet_read(self) -> PlannerEvent:
        keys = [
            *fleet_keys(self._data_centres),
            *(lease_key(data_centre) for data_centre in self._data_centres),
        ]
        return fleet_read(self._data_centres, {key: self.store.get(key) for key in keys})

    def _log_read(self, data_centre: DataCentreId) -> LogRead:
        value, revision = self.store.get(summary_key(data_centre))
        summary = decode_summary(value)
        segment, segment_revision = self.store.get(segment_key(data_centre, summary.segment))
        return LogRead(summary, revision, decode_segment(segment), segment_revision)

    @staticmethod
    def _within(now_s: float, span: tuple[float, float]) -> bool:
        return span[0] <= now_s < span[1]

    def _inject_faults(self, now_s: float) -> None:
        settings, rng = self._settings, self._rng
        if rng.random() < settings.lost_answer_ratio:
            self.store.deliver_late()
        step_days = settings.tick_s / _DAY_S
        for per_day, down_s in (
            (settings.failures_per_day, 4 * 3_600.0),
            (settings.restarts_per_day, 90.0),
        ):
            if rng.random() < per_day * step_days:
                self.figures.faults += 1
                self.vms[rng.choice(sorted(self.vms))].crash(now_s, down_s)
        lost_s = settings.rack_lost_s
        if lost_s is not None and lost_s <= now_s < lost_s + settings.tick_s:
            rack = rng.choice(sorted({vm.rack for vm in self._configuration.vms.values()}))
            for vm_id, vm in self._configuration.vms.items():
                if vm.rack == rack:
                    self.figures.faults += 1
                    self.vms[vm_id].crash(now_s, 1_800.0)

    def _start_tasks(self, now_s: float) -> None:
        for vm in self.vms.values():
            if vm.accepts_tasks(now_s) and len(vm.tasks) < 2 and self._rng.random() < 0.2:
                can_checkpoint = self._rng.random() < 0.5 and vm.fault is not VmFault.KEEPS_TASKS
                length_s = self._rng.uniform(1, self._settings.task_max_s)
                if vm.fault is VmFault.KEEPS_TASKS:
                    length_s = float("inf")
                checkpoint = can_checkpoint and not self._serial
                vm.tasks[f"{vm.vm}-{now_s:.0f}"] = (now_s + length_s, checkpoint)

    def _delayed_vm_list(self, now_s: float) -> VmListRead:
        live = {
            vm_id: vm.data_centre
            for vm_id, vm in self._configuration.vms.items()
            if self.vms[vm_id].is_up(now_s)
        }
        self._vm_lists.append((now_s, VmListRead(live, frozenset(), self._settings.list_lag_s)))
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= now_s - self._settings.list_lag_s:
            self._vm_lists.pop(0)
        return self._vm_lists[0][1]

    def _check_write(self, key: str) -> None:
        data_centre = DataCentreId(key.rpartition("/")[2])
        if key != assignment_key(data_centre):
            return
        before, after = self._maps[data_centre], decode_map(self.store.values[key])
        self._maps[data_centre] = after
        self.figures.takeovers += before.fence != after.fence
        started = [
            vm_id
            for vm_id, vm in after.vms.items()
            if vm.planned_out and not before.vms[vm_id].planned_out
        ]
        for vm_id, vm in after.vms.items():
            ended = before.vms[vm_id].planned_out and not vm.planned_out
            if ended and self.vms[vm_id].reboots - self._reboots_at_start[vm_id] > 1:
                self.figures.double_reboots += 1
        for vm_id in started:
            self._reboots_at_start[vm_id] = self.vms[vm_id].reboots
        if started:
            self._check_started_stops(started)

    def _check_started_stops(self, started: list[VmId]) -> None:
        """Check the budgets and conditions of planned stops that have just started.

        A VM that is down without a planned stop counts as out once planners can know of it: after
        the lag of the VM list, one read of the fleet records and one step.
        """
        now_s = self.clock.monotonic_s()
        figures = self.figures
        figures.planned_starts += len(started)
        settings = self._settings
        detection_s = (
            settings.list_lag_s + self._planner_settings.fleet_read_every_s + settings.tick_s
        )
        figures.starts_while_away += self.store_unavailable()
        start_s, end_s = settings.bad_signals_s
        figures.starts_while_signals_bad += self._within(now_s, (start_s + settings.tick_s, end_s))
        planned: Counter[str] = Counter()
        out: Counter[str] = Counter()
        for record in self._maps.values():
            for vm_id, vm in record.vms.items():
                planned[vm.pool] += vm.planned_out
                long_down = not self.vms[vm_id].is_up(now_s) and self._down_since(vm_id) <= (
                    now_s - detection_s
                )
                out[vm.pool] += vm.planned_out or vm.out_since is not None or long_down
        for pool in {self._configuration.vms[vm_id].pool for vm_id in started}:
            limit = self._configuration.pools[pool].unavailable_max
            figures.over_held += planned[pool] > limit
            figures.budget_breaches += out[pool] > limit

    def _down_since(self, vm_id: VmId) -> float:
        for listed_s, vm_list in self._vm_lists:
            if vm_id not in vm_list.live:
                return listed_s
        return float("inf")

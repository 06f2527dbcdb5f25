"""A data centre's maintenance planner: handles events and returns decisions.

Every decision follows from the records as read, the latest status reports of the VMs and the
lease. Nothing that a successor needs is kept in memory only, so another controller can continue
from any step.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from toucandoor.core.maintenance import map_updates
from toucandoor.core.maintenance.const import FLEET_READ_LEASE_RATIO
from toucandoor.core.maintenance.drain import step_commands, undo_stray_drains
from toucandoor.core.maintenance.event_log import LogRead, ReadLog, next_log_write
from toucandoor.core.maintenance.lease import LeaseRead, PlanningLease, ReadLease
from toucandoor.core.maintenance.models import (
    ConfigurationInForce,
    ServiceSignals,
    Tick,
    VmCommand,
    VmListRead,
    VmReport,
    VmUnreachable,
)
from toucandoor.core.maintenance.planner_liveness import PlannerLiveness
from toucandoor.core.maintenance.signals import SignalGate
from toucandoor.core.maintenance.vm_observations import VmObservations
from toucandoor.core.maintenance.wave import Explanation, Obstacle, WavePlanner, WaveView
from toucandoor.core.pools.budget import with_grant, with_limits, with_returns
from toucandoor.core.pools.const import KEY_LEDGER
from toucandoor.core.pools.models import (
    FleetRead,
    ReadFleet,
    StoreUnavailable,
    Swap,
    SwapConflict,
    SwapDone,
    SwapUnconfirmed,
    assignment_key,
    encode,
)
from toucandoor.core.pools.records import pool_limits

if TYPE_CHECKING:
    from datetime import datetime

    from toucandoor.core.maintenance.models import MaintenanceSettings
    from toucandoor.core.pools.models import AssignmentMap, BudgetLedger, StoreAnswer
    from toucandoor.ids import DataCentreId, PoolId, VmId

PlannerEvent = (
    Tick
    | FleetRead
    | LeaseRead
    | LogRead
    | SwapDone
    | SwapConflict
    | SwapUnconfirmed
    | StoreUnavailable
    | VmListRead
    | VmReport
    | VmUnreachable
    | ServiceSignals
    | ConfigurationInForce
)
PlannerDecision = ReadFleet | ReadLease | ReadLog | Swap | VmCommand


class MaintenancePlanner:
    """Plans for one data centre while it holds the planning lease.

    Args:
        controller_id: Id of this controller's process; unique to each start.
        data_centre: Data centre to plan for.
        settings: Durations and limits.

    Attributes:
        wave_planner: Class that selects the next VMs to stop.
    """

    wave_planner: type[WavePlanner] = WavePlanner

    def __init__(
        self, controller_id: str, data_centre: DataCentreId, settings: MaintenanceSettings
    ) -> None:
        self._controller_id = controller_id
        self._data_centre = data_centre
        self._settings = settings
        self._key = assignment_key(data_centre)
        self._lease = PlanningLease(controller_id, data_centre, settings)
        self._observations = VmObservations(settings)
        self._signals = SignalGate(settings)
        self._configuration: ConfigurationInForce | None = None
        self._read: FleetRead | None = None
        self._read_s = float("-inf")
        self._fleet_read_pending = False
        self._log_read_pending = False
        self._log: LogRead | None = None
        self._pending_swap_key: str | None = None
        self._wanted_places: dict[PoolId, int] = {}
        self._to_poll: list[VmId] = []
        self._unplanned: dict[PoolId, int] = {}
        self._unclaimed_since_s: float | None = None
        self._planner_liveness = PlannerLiveness(settings.unmonitored_after_s)
        self._stale = True
        self._replan_at_s = float("-inf")

    @property
    def lease(self) -> PlanningLease:
        """The planning lease as this controller sees it."""
        return self._lease

    def handle(self, event: PlannerEvent, now_s: float, now: datetime) -> list[PlannerDecision]:
        """Handle an event and return the decisions that follow from it."""
        if not isinstance(event, Tick | VmListRead | ServiceSignals):
            self._replan_at_s = float("-inf")
        match event:
            case Tick():
                return self._tick(now_s, now)
            case FleetRead():
                self._planner_liveness.on_read(event, now_s)
                self._read, self._read_s = event, now_s
                self._fleet_read_pending = self._stale = False
            case LogRead():
                self._log, self._log_read_pending = event, False
            case LeaseRead():
                self._lease.on_read(event, now_s)
            case VmListRead():
                self._observations.on_list(event, now_s)
            case VmReport():
                self._observations.on_report(event, now_s)
            case VmUnreachable():
                self._observations.on_unreachable(event)
            case ServiceSignals():
                self._signals.on_signals(event, now_s)
            case ConfigurationInForce():
                if self._configuration is None or event.version >= self._configuration.version:
                    self._configuration = event
            case _:
                return self._on_store_answer(event, now_s)
        return []

    def release(self, now_s: float) -> Swap | None:
        """Return the write that releases the lease when this controller stops as planned."""
        return self._lease.release(now_s)

    def explain(self, vm_id: VmId, now_s: float, now: datetime) -> Explanation:
        """Return why a VM of this data centre is not being drained now."""
        if self._read is None or vm_id not in self._read.maps[self._data_centre].vms:
            return Explanation(
                vm_id, Obstacle.STORE_UNAVAILABLE, "its assignment record has not been read yet"
            )
        record = self._read.maps[self._data_centre]
        return WavePlanner(self._wave_view(record, now_s, now), self._settings).explain(vm_id)

    def _on_store_answer(self, answer: StoreAnswer, now_s: float) -> list[PlannerDecision]:
        if answer.key == self._lease.key:
            follow_up = self._lease.on_answer(answer, now_s)
            return [follow_up] if follow_up else []
        if answer.key == self._pending_swap_key:
            self._pending_swap_key = None
        if isinstance(answer, StoreUnavailable):
            self._fleet_read_pending = self._log_read_pending = False
        self._stale = True
        self._log = None
        return []

    def _tick(self, now_s: float, now: datetime) -> list[PlannerDecision]:
        decisions: list[PlannerDecision] = []
        lease = self._lease.tick(now_s)
        if lease is not None:
            decisions.append(lease)
        if not self._lease.may_finish(now_s):
            self._stale = True
            return decisions
        if self._lease.held(now_s):
            decisions += self._plan(now_s, now)
        if self._read is not None:
            record = self._read.maps[self._data_centre]
            # A record written under another lease may show outdated steps.
            if record.fence == self._lease.fence:
                decisions += self._vm_commands(record, now_s, now)
        return decisions

    def _plan(self, now_s: float, now: datetime) -> list[PlannerDecision]:
        if self._pending_swap_key is not None or self._fleet_read_pending or self._log_read_pending:
            return []
        settings = self._settings
        age_max_s = min(settings.fleet_read_every_s, FLEET_READ_LEASE_RATIO * settings.lease_s)
        old = now_s - self._read_s >= age_max_s
        if self._read is None or self._stale or old:
            self._fleet_read_pending = True
            return [ReadFleet()]
        record = self._read.maps[self._data_centre]
        if record.fence > self._lease.fence or now_s < self._replan_at_s:
            return []
        planned = self._planned_map(record, now_s, now)
        if planned != record:
            return [self._swap(self._key, encode(planned))]
        ledger = self._planned_ledger()
        if ledger != self._read.ledger:
            return [self._swap(KEY_LEDGER, encode(ledger))]
        if not record.events:
            self._replan_at_s = now_s + self._settings.replan_after_s
        return self._write_log(record)

    def _swap(self, key: str, value: bytes) -> Swap:
        assert self._read is not None
        self._pending_swap_key = key
        return Swap(key, self._read.revisions.get(key, 0), value)

    def _planned_map(self, record: AssignmentMap, now_s: float, now: datetime) -> AssignmentMap:
        assert self._read is not None
        actor, settings = self._controller_id, self._settings
        record = map_updates.with_takeover(record, self._lease.fence, actor, now)
        if self._configuration is not None:
            here = self._observations.located_in(self._data_centre)
            record = map_updates.adopt_configuration(record, self._configuration, here, actor, now)
        if self._observations.list_fresh(now_s):
            out = self._observations.unavailable([record])
            record = map_updates.with_outages(record, out, actor, now)
        views = self._observations.stop_views(record, self._lease.fence, now_s)
        record = map_updates.advance_steps(record, views, settings, actor, now)
        pause = self._signals.reason(now_s) or map_updates.failure_pause_reason(record, settings)
        record = map_updates.with_pause(record, pause, actor, now)
        wave = self.wave_planner(self._wave_view(record, now_s, now), settings)
        record = wave.start_stops(actor)
        self._wanted_places = wave.wanted_places
        self._unplanned = wave.unplanned
        self._to_poll = wave.to_poll
        return self._return_idle(record, now_s)

    def _return_idle(self, record: AssignmentMap, now_s: float) -> AssignmentMap:
        assert self._read is not None
        keep = dict.fromkeys({record.vms[vm_id].pool for vm_id in self._to_poll}, 1)
        received = map_updates.receive_all_places(record, self._read.ledger)
        if received == record:
            self._unclaimed_since_s = None
        elif self._unclaimed_since_s is None:
            self._unclaimed_since_s = now_s
        elif now_s - self._unclaimed_since_s >= self._settings.idle_return_s:
            # The place was granted for a move that did not use it.
            record = received
        return map_updates.return_idle_places(record, keep)

    def _planned_ledger(self) -> BudgetLedger:
        assert self._read is not None
        ledger = self._read.ledger
        if self._configuration is not None:
            in_force = self._configuration
            ledger = with_limits(ledger, pool_limits(in_force.configuration), in_force.version)
        if not self._wanted_places:
            return ledger
        ledger = with_returns(ledger, self._read.maps.values())
        for pool, count in sorted(self._wanted_places.items()):
            # One place per outage is not granted: it could not be used, and two data centres that
            # each hold such a place would wait for each other.
            free = ledger.places_free(pool) - self._unplanned.get(pool, 0)
            for _ in range(min(count, free)):
                ledger = with_grant(ledger, pool, self._data_centre)
        return ledger

    def _write_log(self, record: AssignmentMap) -> list[PlannerDecision]:
        if not record.events:
            return []
        if self._log is None:
            self._log_read_pending = True
            return [ReadLog(self._data_centre)]
        step = next_log_write(self._data_centre, record.events, self._log)
        if isinstance(step, Swap):
            self._pending_swap_key = step.key
            return [step]
        waiting = tuple(event for event in record.events if event.sequence >= step)
        return [self._swap(self._key, encode(replace(record, events=waiting)))]

    def _vm_commands(
        self, record: AssignmentMap, now_s: float, now: datetime
    ) -> list[PlannerDecision]:
        if not self._lease.held(now_s):
            # The store is unavailable: continue stops in memory; the records are brought up to
            # date from the status reports later.
            views = self._observations.stop_views(record, self._lease.fence, now_s)
            record = map_updates.advance_steps(
                record, views, self._settings, self._controller_id, now
            )
            assert self._read is not None
            maps = {**self._read.maps, self._data_centre: replace(record, events=())}
            self._read, self._stale = replace(self._read, maps=maps), True
        views = self._observations.stop_views(record, self._lease.fence, now_s)
        commands = [
            command
            for vm_id, view in views.items()
            for command in step_commands(vm_id, record.vms[vm_id], view)
        ]
        commands += undo_stray_drains(
            record, self._observations.fresh_reports(now_s), self._lease.fence
        )
        polls = self._observations.due_polls(record, self._to_poll, now_s)
        decisions: list[PlannerDecision] = []
        decisions += self._observations.due_commands(commands, now_s)
        decisions += polls
        return decisions

    def _unmonitored(self, now_s: float) -> frozenset[DataCentreId]:
        return self._planner_liveness.unmonitored(now_s) - {self._data_centre}

    def _wave_view(self, record: AssignmentMap, now_s: float, now: datetime) -> WaveView:
        assert self._read is not None
        unavailable = self._read.unavailable | self._observations.unavailable(
            list(self._read.maps.values())
        )
        return WaveView(
            record=record,
            read=replace(self._read, unavailable=unavailable, unmonitored=self._unmonitored(now_s)),
            reports=self._observations.fresh_reports(now_s),
            leaving=self._observations.leaving(),
            now=now,
            list_fresh=self._observations.list_fresh(now_s),
            store_read_recently=now_s - self._read_s <= self._settings.lease_s,
        )

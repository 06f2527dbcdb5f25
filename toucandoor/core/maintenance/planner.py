"""A data centre's maintenance planner: events in, decisions out.

Every decision follows from the records as read, what the VMs said last and the lease. Nothing a
successor needs is kept in memory, so another controller carries on from any step.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from toucandoor.core.maintenance import upkeep
from toucandoor.core.maintenance.drain import acts, stray_drains
from toucandoor.core.maintenance.event_log import LogRead, ReadLog, flush
from toucandoor.core.maintenance.lease import LeaseRead, PlanningLease, ReadLease
from toucandoor.core.maintenance.models import (
    ConfigurationSeen,
    ListSeen,
    ServiceSignals,
    Tick,
    VmAct,
    VmReport,
    VmSilent,
)
from toucandoor.core.maintenance.sightings import Sightings
from toucandoor.core.maintenance.signals import SignalGate
from toucandoor.core.maintenance.visibility import Visibility
from toucandoor.core.maintenance.wave import Explanation, Obstacle, WavePlanner, WaveView
from toucandoor.core.pools.budget import with_grant, with_limits, with_returns
from toucandoor.core.pools.const import KEY_LEDGER
from toucandoor.core.pools.models import (
    FleetRead,
    ReadFleet,
    StoreAway,
    Swap,
    SwapConflict,
    SwapDone,
    SwapLost,
    assignment_key,
    encode,
)
from toucandoor.core.pools.records import limits

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
    | SwapLost
    | StoreAway
    | ListSeen
    | VmReport
    | VmSilent
    | ServiceSignals
    | ConfigurationSeen
)
PlannerDecision = ReadFleet | ReadLease | ReadLog | Swap | VmAct


class MaintenancePlanner:
    """Plans for one data centre while it holds the planning lease.

    Args:
        me: Id of this controller's process; unique to each start.
    """

    wave_planner: type[WavePlanner] = WavePlanner

    def __init__(self, me: str, data_centre: DataCentreId, settings: MaintenanceSettings) -> None:
        self._me = me
        self._data_centre = data_centre
        self._settings = settings
        self._key = assignment_key(data_centre)
        self._lease = PlanningLease(me, data_centre, settings)
        self._sightings = Sightings(settings)
        self._signals = SignalGate(settings)
        self._configuration: ConfigurationSeen | None = None
        self._read: FleetRead | None = None
        self._read_s = float("-inf")
        self._asked_fleet = False
        self._asked_log = False
        self._log: LogRead | None = None
        self._swapping: str | None = None
        self._wanted: dict[PoolId, int] = {}
        self._to_ask: list[VmId] = []
        self._unplanned: dict[PoolId, int] = {}
        self._untaken_since_s: float | None = None
        self._visibility = Visibility(settings.unseen_after_s)
        self._stale = True
        self._quiet_until_s = float("-inf")

    @property
    def lease(self) -> PlanningLease:
        """The planning lease as this controller sees it."""
        return self._lease

    def handle(self, event: PlannerEvent, now_s: float, now: datetime) -> list[PlannerDecision]:
        """Take an event and return the decisions that follow."""
        if not isinstance(event, Tick | ListSeen | ServiceSignals):
            self._quiet_until_s = float("-inf")
        match event:
            case Tick():
                return self._tick(now_s, now)
            case FleetRead():
                self._visibility.on_read(event, now_s)
                self._read, self._read_s = event, now_s
                self._asked_fleet = self._stale = False
            case LogRead():
                self._log, self._asked_log = event, False
            case LeaseRead():
                self._lease.on_read(event, now_s)
            case ListSeen():
                self._sightings.on_list(event, now_s)
            case VmReport():
                self._sightings.on_report(event, now_s)
            case VmSilent():
                self._sightings.on_silence(event)
            case ServiceSignals():
                self._signals.on_signals(event, now_s)
            case ConfigurationSeen():
                if self._configuration is None or event.version >= self._configuration.version:
                    self._configuration = event
            case _:
                return self._answered(event, now_s)
        return []

    def release(self, now_s: float) -> Swap | None:
        """Give the lease back on a planned stop of this controller."""
        return self._lease.release(now_s)

    def explain(self, vm_id: VmId, now_s: float, now: datetime) -> Explanation:
        """Return why a VM of this data centre is not being drained now."""
        if self._read is None or vm_id not in self._read.maps[self._data_centre].vms:
            return Explanation(vm_id, Obstacle.STORE_AWAY, "its record has not been read")
        record = self._read.maps[self._data_centre]
        return WavePlanner(self._wave_view(record, now_s, now), self._settings).explain(vm_id)

    def _answered(self, answer: StoreAnswer, now_s: float) -> list[PlannerDecision]:
        if answer.key == self._lease.key:
            follow_up = self._lease.on_answer(answer, now_s)
            return [follow_up] if follow_up else []
        if answer.key == self._swapping:
            self._swapping = None
        if isinstance(answer, StoreAway):
            self._asked_fleet = self._asked_log = False
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
            # Only a record written under this very lease shows the steps as they are.
            if record.fence == self._lease.fence:
                decisions += self._act(record, now_s, now)
        return decisions

    def _plan(self, now_s: float, now: datetime) -> list[PlannerDecision]:
        if self._swapping is not None or self._asked_fleet or self._asked_log:
            return []
        old = now_s - self._read_s >= self._settings.fleet_read_every_s
        if self._read is None or self._stale or old:
            self._asked_fleet = True
            return [ReadFleet()]
        record = self._read.maps[self._data_centre]
        if record.fence > self._lease.fence or now_s < self._quiet_until_s:
            return []
        planned = self._planned(record, now_s, now)
        if planned != record:
            return [self._swap(self._key, encode(planned))]
        ledger = self._planned_ledger()
        if ledger != self._read.ledger:
            return [self._swap(KEY_LEDGER, encode(ledger))]
        if not record.events:
            self._quiet_until_s = now_s + self._settings.replan_after_s
        return self._log_step(record)

    def _swap(self, key: str, value: bytes) -> Swap:
        assert self._read is not None
        self._swapping = key
        return Swap(key, self._read.revisions.get(key, 0), value)

    def _planned(self, record: AssignmentMap, now_s: float, now: datetime) -> AssignmentMap:
        assert self._read is not None
        me, settings = self._me, self._settings
        record = upkeep.take_over(record, self._lease.fence, me, now)
        if self._configuration is not None:
            here = self._sightings.located_in(self._data_centre)
            record = upkeep.adopt_configuration(record, self._configuration, here, me, now)
        if self._sightings.list_fresh(now_s):
            out = self._sightings.unavailable([record])
            record = upkeep.note_outages(record, out, me, now)
        views = self._sightings.stop_views(record, self._lease.fence, now_s)
        record = upkeep.advance_steps(record, views, settings, me, now)
        pause = self._signals.reason(now_s) or upkeep.failure_limit(record, settings)
        record = upkeep.note_pause(record, pause, me, now)
        wave = self.wave_planner(self._wave_view(record, now_s, now), settings)
        record = wave.start(me)
        self._wanted = wave.wanted
        self._unplanned = wave.unplanned
        self._to_ask = wave.to_ask
        return self._return_idle(record, now_s)

    def _return_idle(self, record: AssignmentMap, now_s: float) -> AssignmentMap:
        assert self._read is not None
        keep = dict.fromkeys({record.vms[vm_id].pool for vm_id in self._to_ask}, 1)
        received = upkeep.receive_all(record, self._read.ledger)
        if received == record:
            self._untaken_since_s = None
        elif self._untaken_since_s is None:
            self._untaken_since_s = now_s
        elif now_s - self._untaken_since_s >= self._settings.idle_return_s:
            # The move that a place was handed out for never came to take it.
            record = received
        return upkeep.return_idle(record, keep)

    def _planned_ledger(self) -> BudgetLedger:
        assert self._read is not None
        ledger = self._read.ledger
        if self._configuration is not None:
            seen = self._configuration
            ledger = with_limits(ledger, limits(seen.configuration), seen.version)
        if not self._wanted:
            return ledger
        ledger = with_returns(ledger, self._read.maps.values())
        for pool, count in sorted(self._wanted.items()):
            # Outages keep as many places back, or two data centres would wait for each other.
            free = ledger.free(pool) - self._unplanned.get(pool, 0)
            for _ in range(min(count, free)):
                ledger = with_grant(ledger, pool, self._data_centre)
        return ledger

    def _log_step(self, record: AssignmentMap) -> list[PlannerDecision]:
        if not record.events:
            return []
        if self._log is None:
            self._asked_log = True
            return [ReadLog(self._data_centre)]
        step = flush(self._data_centre, record.events, self._log)
        if isinstance(step, Swap):
            self._swapping = step.key
            return [step]
        waiting = tuple(event for event in record.events if event.sequence >= step)
        return [self._swap(self._key, encode(replace(record, events=waiting)))]

    def _act(self, record: AssignmentMap, now_s: float, now: datetime) -> list[PlannerDecision]:
        if not self._lease.held(now_s):
            # The store is away: go on in memory; the records catch up from what the VMs say.
            views = self._sightings.stop_views(record, self._lease.fence, now_s)
            record = upkeep.advance_steps(record, views, self._settings, self._me, now)
            assert self._read is not None
            maps = {**self._read.maps, self._data_centre: replace(record, events=())}
            self._read, self._stale = replace(self._read, maps=maps), True
        views = self._sightings.stop_views(record, self._lease.fence, now_s)
        told = [
            act for vm_id, view in views.items() for act in acts(vm_id, record.vms[vm_id], view)
        ]
        told += stray_drains(record, self._sightings.fresh_reports(now_s), self._lease.fence)
        questions = self._sightings.due_questions(record, self._to_ask, now_s)
        decisions: list[PlannerDecision] = []
        decisions += self._sightings.due_acts(told, now_s)
        decisions += questions
        return decisions

    def _unseen(self, now_s: float) -> frozenset[DataCentreId]:
        return self._visibility.unseen(now_s) - {self._data_centre}

    def _wave_view(self, record: AssignmentMap, now_s: float, now: datetime) -> WaveView:
        assert self._read is not None
        unavailable = self._read.unavailable | self._sightings.unavailable(
            list(self._read.maps.values())
        )
        return WaveView(
            record=record,
            read=replace(self._read, unavailable=unavailable, unseen=self._unseen(now_s)),
            reports=self._sightings.fresh_reports(now_s),
            leaving=self._sightings.leaving(),
            now=now,
            list_fresh=self._sightings.list_fresh(now_s),
            store_seen=now_s - self._read_s <= self._settings.lease_s,
        )

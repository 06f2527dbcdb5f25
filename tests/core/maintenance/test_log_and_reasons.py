"""Tests of the event log, the explanations for VMs that wait, operators' orders and signals."""

from __future__ import annotations

import unittest
from dataclasses import replace
from datetime import timedelta

from toucandoor.clock import ManualClock
from toucandoor.core.maintenance.const import LOG_SEGMENT_MAX_BYTES, LOG_SEGMENTS_KEPT
from toucandoor.core.maintenance.drain import undo_stray_drains
from toucandoor.core.maintenance.event_log import (
    LogRead,
    Segment,
    decode_segment,
    decode_summary,
    events_between,
    next_log_write,
    segment_key,
    summary_key,
)
from toucandoor.core.maintenance.models import (
    MaintenanceSettings,
    ServiceSignals,
    UndrainVm,
    VmReport,
)
from toucandoor.core.maintenance.orders import MaintainOrder, MaintainOrderSession
from toucandoor.core.maintenance.signals import SignalGate
from toucandoor.core.maintenance.urgent_starts import UrgentStartWindow
from toucandoor.core.maintenance.wave import Obstacle, WavePlanner, WaveView
from toucandoor.core.pools.const import KEY_LEDGER
from toucandoor.core.pools.models import (
    EventKind,
    FleetEvent,
    Swap,
    SwapDone,
    SwapUnconfirmed,
    VmStep,
    assignment_key,
    decode_map,
    encode,
)
from toucandoor.core.pools.move import MoveEnded, MoveOutcome
from toucandoor.core.pools.records import first_ledger, first_map, fleet_keys, fleet_read
from toucandoor.fakes.fleets import SMALL, data_centres, fleet_configuration
from toucandoor.fakes.virtual_store import VirtualStore
from toucandoor.ids import DataCentreId, OperationId, VmId

_DC = DataCentreId("dc1")
_NOW = ManualClock().now()
_SETTINGS = MaintenanceSettings()
_CONFIGURATION = fleet_configuration(SMALL)


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = VirtualStore()

    def _read(self) -> LogRead:
        value, revision = self.store.get(summary_key(_DC))
        summary = decode_summary(value)
        slot, slot_revision = self.store.get(segment_key(_DC, summary.segment))
        return LogRead(summary, revision, decode_segment(slot), slot_revision)

    def _write_log(self, events: list[FleetEvent]) -> int:
        step = next_log_write(_DC, events, self._read())
        while isinstance(step, Swap):
            self.store.swap(step)
            step = next_log_write(_DC, events, self._read())
        return step

    @staticmethod
    def _events(first: int, count: int) -> list[FleetEvent]:
        return [
            FleetEvent(n, _NOW + timedelta(minutes=n), EventKind.STEP, "c", "r" * 80, VmId("v"))
            for n in range(first, first + count)
        ]

    def _segments(self) -> list[Segment]:
        slots = [self.store.values.get(segment_key(_DC, n)) for n in range(LOG_SEGMENTS_KEPT)]
        return [each for each in map(decode_segment, slots) if each]

    def test_stays_bounded_and_keeps_the_latest_whole(self) -> None:
        last = 0
        for first in range(0, 12_000, 300):
            # The first events of each batch come twice, as after a crash before they were removed
            # from the map.
            last = self._write_log(self._events(max(0, first - 10), 310))
        self.assertLess(max(len(value) for value in self.store.values.values()), 200_000)
        self.assertLessEqual(len(self.store.values), LOG_SEGMENTS_KEPT + 1)
        length = timedelta(minutes=600)
        found = events_between(self._segments(), [], _NOW + timedelta(minutes=last - 600), length)
        self.assertEqual([each.sequence for each in found], list(range(last - 600, last)))
        summary = decode_summary(self.store.values[summary_key(_DC)])
        kept = min(each.events[0].sequence for each in self._segments())
        self.assertEqual(sum(n for day in summary.days.values() for n in day.values()), kept)
        self.assertGreater(kept, 0)

    def test_a_crash_between_copy_and_cut_leaves_no_double(self) -> None:
        events = self._events(0, 5)
        self.assertEqual(self._write_log(events), 5)
        self.assertEqual(self._write_log(events), 5)
        self.assertEqual(len(events_between(self._segments(), events, _NOW, timedelta(hours=1))), 5)
        self.assertLess(len(self.store.values[segment_key(_DC, 0)]), LOG_SEGMENT_MAX_BYTES)


class ReasonsTest(unittest.TestCase):
    def _explain(self, **changes: object) -> Obstacle | None:
        record = first_map(_CONFIGURATION, 1, _DC)
        vm = sorted(record.vms)[0]
        vm_changes = {k[3:]: v for k, v in changes.items() if k.startswith("vm_")}
        record = replace(record.with_vm(vm, **vm_changes), paused=changes.get("paused"))
        stored = {key: (None, 0) for key in fleet_keys(data_centres(SMALL))}
        ledger = replace(first_ledger(_CONFIGURATION, 1), granted={record.vms[vm].pool: {_DC: 1}})
        if changes.get("no_place"):
            ledger = first_ledger(_CONFIGURATION, 1)
        read = replace(
            fleet_read(data_centres(SMALL), stored),
            ledger=ledger,
            unavailable=frozenset({VmId(str(changes["out"]))} if "out" in changes else ()),
        )
        read.maps[_DC] = record
        other = DataCentreId("dc2")
        read.maps[other] = first_map(_CONFIGURATION, 1, other)
        reports = {} if changes.get("no_report") else {vm: VmReport(vm, "b", True)}
        if changes.get("unhealthy"):
            reports = {vm: VmReport(vm, "b", False)}
        view = WaveView(
            record,
            read,
            reports,
            {vm} if changes.get("leaving") else (),
            _NOW,
            list_fresh=not changes.get("list_stale"),
            store_read_recently=not changes.get("store_unavailable"),
        )
        return WavePlanner(view, _SETTINGS).explain(vm).obstacle

    def test_each_obstacle_is_named(self) -> None:
        first = sorted(first_map(_CONFIGURATION, 1, _DC).vms)[0]
        pool = _CONFIGURATION.vms[first].pool
        other = next(v for v, e in _CONFIGURATION.vms.items() if e.pool == pool and v != first)
        cases: list[tuple[dict[str, object], Obstacle | None]] = [
            ({}, None),
            ({"store_unavailable": True}, Obstacle.STORE_UNAVAILABLE),
            ({"list_stale": True}, Obstacle.LIST_STALE),
            ({"paused": "urgent requests start late"}, Obstacle.PAUSED),
            ({"vm_step": VmStep.DRAINING}, Obstacle.UNDER_WAY),
            ({"vm_maintained_at": _NOW}, Obstacle.NOT_DUE),
            ({"leaving": True}, Obstacle.LEAVING),
            ({"vm_out_since": _NOW}, Obstacle.OUT),
            ({"vm_not_before": _NOW + timedelta(hours=1)}, Obstacle.RETRY_LATER),
            ({"out": other}, Obstacle.BUDGET_USED),
            ({"no_place": True}, Obstacle.PLACES_HELD_ELSEWHERE),
            ({"no_report": True}, Obstacle.NO_RECENT_REPORT),
            ({"unhealthy": True}, Obstacle.UNHEALTHY),
        ]
        for changes, obstacle in cases:
            with self.subTest(changes):
                self.assertIs(self._explain(**changes), obstacle)


class OrderTest(unittest.TestCase):
    def test_order_is_noted_once_after_a_lost_answer(self) -> None:
        store = VirtualStore()
        for each in data_centres(SMALL):
            record = first_map(_CONFIGURATION, 1, each)
            store.swap(Swap(assignment_key(each), 0, encode(record)))
        store.swap(Swap(KEY_LEDGER, 0, encode(first_ledger(_CONFIGURATION, 1))))
        session = MaintainOrderSession(MaintainOrder(OperationId("o"), _DC, None, "ann"))
        keys = fleet_keys(data_centres(SMALL))

        def read() -> object:
            stored = {key: store.get(key) for key in keys}
            return session.on_read(fleet_read(data_centres(SMALL), stored), _NOW)

        swap = read()
        assert isinstance(swap, Swap)
        store.swap(swap)
        session.on_answer(SwapUnconfirmed(swap.key))
        ended = read()
        assert isinstance(ended, MoveEnded)
        self.assertIs(ended.outcome, MoveOutcome.MOVED)
        record = decode_map(store.values[assignment_key(_DC)])
        self.assertEqual(len(record.events), 1)
        self.assertIsNotNone(record.wave)
        self.assertIsInstance(session.on_answer(SwapDone(swap.key, 9)), MoveEnded)


class SignalsTest(unittest.TestCase):
    def test_pauses_at_once_and_resumes_after_a_good_while(self) -> None:
        gate, good = SignalGate(_SETTINGS), ServiceSignals(0.0, 0.0)
        self.assertIsNotNone(gate.reason(0.0))
        gate.on_signals(good, 0.0)
        self.assertIsNone(gate.reason(0.0))
        gate.on_signals(ServiceSignals(0.0, 0.5), 10.0)
        self.assertEqual(gate.reason(10.0), "teams are short of their shares")
        for now_s in (20.0, 40.0, 79.0):
            gate.on_signals(good, now_s)
            self.assertIsNotNone(gate.reason(now_s))
        gate.on_signals(good, 80.0)
        self.assertIsNone(gate.reason(80.0))
        self.assertIsNotNone(gate.reason(80.0 + _SETTINGS.signals_age_max_s + 1))

    def test_urgent_starts_leave_the_window(self) -> None:
        starts = UrgentStartWindow(10.0)
        starts.record_start(late=True, now_s=0.0)
        starts.record_start(late=False, now_s=5.0)
        self.assertEqual(starts.counts(6.0), (2, 1))
        self.assertEqual(starts.counts(11.0), (1, 0))


class StrayDrainTest(unittest.TestCase):
    def test_only_drains_that_a_planner_ordered_are_undone(self) -> None:
        record = first_map(_CONFIGURATION, 1, _DC)
        own, ordered, *_ = sorted(record.vms)
        reports = {
            own: VmReport(own, "b", draining=True, fence=4),
            ordered: VmReport(ordered, "b", draining=True, fence=4, drain_fence=4),
        }
        self.assertEqual(undo_stray_drains(record, reports, 5), [UndrainVm(ordered, "b", 5)])

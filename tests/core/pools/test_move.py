"""Tests of moves: one swap each, settled by a read after a lost answer, within the budget."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from unittest import mock

from toucandoor.clock import ManualClock
from toucandoor.core.pools.const import KEY_LEDGER, OPERATIONS_KEPT_MAX
from toucandoor.core.pools.models import (
    ReadFleet,
    Swap,
    SwapConflict,
    SwapDone,
    SwapUnconfirmed,
    assignment_key,
    decode_map,
    encode,
)
from toucandoor.core.pools.move import MoveEnded, MoveOrder, MoveOutcome, MoveSession
from toucandoor.core.pools.records import first_ledger, first_map, fleet_keys, fleet_read
from toucandoor.fakes.fleets import OBERLAND, WHISTLELINE, data_centres, fleet_configuration
from toucandoor.fakes.virtual_store import StoreFault, VirtualStore
from toucandoor.ids import OperationId, PoolId, VmId
from toucandoor.measures._move_races import Race, RaceSettings

_DATA_CENTRES = data_centres(WHISTLELINE)
_NOW = ManualClock().now()


def _order(vm: str = "vm0000", name: str = "op1", target: str = "pool2") -> MoveOrder:
    return MoveOrder(OperationId(name), VmId(vm), PoolId("pool1"), PoolId(target), "ann")


class MoveTest(unittest.TestCase):
    def setUp(self) -> None:
        self.configuration = fleet_configuration(WHISTLELINE)
        self.store = VirtualStore()
        for each in _DATA_CENTRES:
            record = first_map(self.configuration, 1, each)
            self.store.swap(Swap(assignment_key(each), 0, encode(record)))
        self.store.swap(Swap(KEY_LEDGER, 0, encode(first_ledger(self.configuration, 1))))

    def _read(self, session: MoveSession) -> object:
        stored = {key: self.store.get(key) for key in fleet_keys(_DATA_CENTRES)}
        return session.on_read(fleet_read(_DATA_CENTRES, stored), _NOW)

    def _run(self, session: MoveSession, faults: list[StoreFault | None]) -> MoveEnded:
        decision: object = session.start()
        while not isinstance(decision, MoveEnded):
            if isinstance(decision, ReadFleet):
                decision = self._read(session)
                continue
            assert isinstance(decision, Swap)
            fault = faults.pop(0) if faults and decision.key != KEY_LEDGER else None
            decision = session.on_answer(self.store.swap(decision, fault))
        return decision

    def _pool_of(self, vm: str) -> PoolId:
        data_centre = self.configuration.vms[VmId(vm)].data_centre
        return decode_map(self.store.values[assignment_key(data_centre)]).vms[VmId(vm)].pool

    def test_one_owner_changes_in_one_swap(self) -> None:
        ended = self._run(MoveSession(_order()), [])
        self.assertEqual((ended.outcome, self._pool_of("vm0000")), (MoveOutcome.MOVED, "pool2"))

    def test_lost_answer_is_read_back(self) -> None:
        ended = self._run(MoveSession(_order()), [StoreFault.LOST_AFTER])
        self.assertEqual(ended.outcome, MoveOutcome.MOVED)
        value = self.store.values[assignment_key(_DATA_CENTRES[0])]
        moved = [event for event in decode_map(value).events if event.operation == "op1"]
        self.assertEqual(len(moved), 1)

    def test_write_that_lands_late_leaves_no_false_refusal(self) -> None:
        session = MoveSession(_order(), tries=2)
        ended = self._run(session, [StoreFault.LOST_LATE, StoreFault.UNAVAILABLE])
        self.assertEqual(ended.outcome, MoveOutcome.UNKNOWN)
        self.store.deliver_late()
        self.assertEqual(self._pool_of("vm0000"), "pool2")

    def test_a_vm_found_elsewhere_is_not_moved(self) -> None:
        self._run(MoveSession(_order()), [])
        ended = self._run(MoveSession(_order(name="op2", target="pool3")), [])
        self.assertEqual(ended.outcome, MoveOutcome.REFUSED)
        self.assertIn("pool2, not pool1", ended.reason)

    def test_a_pool_lends_no_more_than_its_budget(self) -> None:
        members = sorted(vm for vm, each in self.configuration.vms.items() if each.pool == "pool1")
        ended = [self._run(MoveSession(_order(vm, f"op{vm}")), []).outcome for vm in members[:3]]
        self.assertEqual(ended, [MoveOutcome.MOVED, MoveOutcome.MOVED, MoveOutcome.REFUSED])

    def test_unplanned_outages_elsewhere_count(self) -> None:
        members = sorted(vm for vm, each in self.configuration.vms.items() if each.pool == "pool1")
        session = MoveSession(_order(members[0]))
        session.start()
        stored = {key: self.store.get(key) for key in fleet_keys(_DATA_CENTRES)}
        read = fleet_read(_DATA_CENTRES, stored, unavailable=frozenset(members[1:3]))
        decision = session.on_read(read, _NOW)
        assert isinstance(decision, MoveEnded)
        self.assertIn("2 of 2 out", decision.reason)

    def test_a_data_centre_that_cannot_be_seen_counts_as_out(self) -> None:
        session = MoveSession(_order())
        stored = {key: self.store.get(key) for key in fleet_keys(_DATA_CENTRES)}
        read = fleet_read(_DATA_CENTRES, stored, unmonitored=frozenset(_DATA_CENTRES[1:2]))
        self.assertIsInstance(session.on_read(read, _NOW), MoveEnded)

    def test_trace_gone_is_unknown(self) -> None:
        session = MoveSession(_order())
        self._read(session)
        session.on_answer(SwapDone(KEY_LEDGER, 1))
        self._run_to_map_swap(session)
        session.on_answer(SwapUnconfirmed(assignment_key(_DATA_CENTRES[0])))
        key = assignment_key(_DATA_CENTRES[0])
        record = decode_map(self.store.values[key])
        for index in range(OPERATIONS_KEPT_MAX + 2):
            record = record.with_operation(OperationId(f"other{index}"))
        self.store.swap(Swap(key, self.store.revisions[key], encode(record)))
        ended = self._read(session)
        assert isinstance(ended, MoveEnded)
        self.assertEqual(ended.outcome, MoveOutcome.UNKNOWN)

    def _run_to_map_swap(self, session: MoveSession) -> None:
        decision = self._read(session)
        while isinstance(decision, Swap) and decision.key == KEY_LEDGER:
            session.on_answer(self.store.swap(decision))
            decision = self._read(session)
        assert isinstance(decision, Swap)

    def test_gives_up_when_the_store_keeps_changing(self) -> None:
        session = MoveSession(_order(), tries=2)
        for _ in range(2):
            self.assertIsInstance(self._read(session), Swap)
            session.on_answer(SwapConflict(KEY_LEDGER))
        ended = self._read(session)
        assert isinstance(ended, MoveEnded)
        self.assertEqual(ended.outcome, MoveOutcome.NOT_MOVED)


class RaceTest(unittest.TestCase):
    settings = RaceSettings(moves=120)

    def test_product_keeps_one_owner_and_the_baseline_does_not(self) -> None:
        for size in (WHISTLELINE, OBERLAND):
            product = Race(size, self.settings, Random(7), product=True).run()
            self.assertGreater(product.moved, 40)
            self.assertEqual((product.double, product.without, product.redone), (0, 0, 0))
            self.assertEqual((product.untrue, product.over_budget), (0, 0))
            baseline = Race(size, self.settings, Random(7), product=False).run()
            self.assertGreater(baseline.double, 0)

    def test_without_reading_back_outcomes_are_untrue(self) -> None:
        def without_settling(self: MoveSession, answer: object) -> object:
            if isinstance(answer, SwapUnconfirmed):
                self._order = replace(self._order, operation=OperationId("again"))
                return ReadFleet()
            return original(self, answer)

        original = MoveSession.on_answer
        with mock.patch.object(MoveSession, "on_answer", without_settling):
            race = Race(WHISTLELINE, self.settings, Random(7), product=True).run()
        self.assertGreater(race.untrue + race.redone, 0)

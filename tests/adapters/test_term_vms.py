"""Records of orders on VMs, in a store that loses answers or carries out writes late."""

from __future__ import annotations

import unittest
from unittest import mock

from tests.core.scheduling.common import CAPACITY, POOL, configuration, job
from toucandoor.adapters.owner_records import OwnerRecords
from toucandoor.adapters.term_context import TermContext
from toucandoor.adapters.term_vms import OrderRecordWriter, TermVms
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import ProgressRecord, RunRecord, TaskRecord
from toucandoor.core.maintenance.vm_orders import (
    VM_ORDERS_KEY,
    VmOrdersRecord,
    decode_vm_orders,
    encode_vm_orders,
)
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import Record, Snapshot, Transaction, TransactionConflictError
from toucandoor.core.scheduling.scheduler import Scheduler, SchedulerSettings
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.exceptions import StoreAnswerLostError
from toucandoor.fakes.virtual_platform import VirtualRecords
from toucandoor.ids import DataCentreId, FencingToken, VmId, WorkerId


def record(*vms: str) -> VmOrdersRecord:
    return VmOrdersRecord({VmId(vm): 1 for vm in vms})


class OrderRecordTest(unittest.TestCase):
    """What a new owner reads must contain all VMs that were ordered in the last seconds."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        token = self.records.write(Transaction(writes={OWNER_KEY: b"owner"}))
        self.faults: list[str] = []
        self.late: list[Transaction] = []
        store = mock.Mock()
        store.write.side_effect = self.write
        self.writer = OrderRecordWriter(OwnerRecords(store, FencingToken(token)))

    def write(self, transaction: Transaction) -> int:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "late":
            self.late.append(transaction)
            raise StoreAnswerLostError("no answer", step="store.write")
        revision = self.records.write(transaction)
        if fault == "lost":
            raise StoreAnswerLostError("no answer", step="store.write")
        return revision

    def stored(self) -> VmOrdersRecord:
        [found] = self.records.below(VM_ORDERS_KEY)
        return decode_vm_orders(found.value)

    def test_lost_answers_delay_no_order_for_long(self) -> None:
        """Where three answers in ten are lost, moves must not wait a second for each of them."""
        self.faults = ["lost", "", "lost", "lost"]
        self.writer.write(record("a"), self.writer.next_number())
        self.writer.write(record("a", "b"), self.writer.next_number())
        self.assertEqual(self.stored(), record("a", "b"))

    def test_a_write_that_takes_effect_late_replaces_no_later_record(self) -> None:
        self.writer.write(record("a"), self.writer.next_number())
        self.faults = ["late"]
        self.writer.write(record("a", "b"), self.writer.next_number())
        self.writer.write(record("a", "b", "c"), self.writer.next_number())
        for transaction in self.late:
            with self.assertRaises(TransactionConflictError):
                self.records.write(transaction)
        self.assertEqual(self.stored(), record("a", "b", "c"))

    def test_a_record_that_comes_after_a_later_one_is_not_written(self) -> None:
        first, second = self.writer.next_number(), self.writer.next_number()
        self.writer.write(record("a", "b"), second)
        self.writer.write(record("a"), first)
        self.assertEqual(self.stored(), record("a", "b"))

    def test_a_superseded_owner_writes_nothing(self) -> None:
        self.records.write(Transaction(writes={OWNER_KEY: b"other"}))
        with self.assertRaises(TransactionConflictError):
            self.writer.write(record("a"), self.writer.next_number())
        self.assertEqual(self.records.below(VM_ORDERS_KEY), [])

    def test_no_answer_at_all_is_an_error(self) -> None:
        self.faults = ["late"] * 10
        with self.assertRaises(StoreAnswerLostError):
            self.writer.write(record("a"), self.writer.next_number())


class VmListReadsTest(unittest.TestCase):
    """How often the VM list is read while no orders on VMs are under way."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        settings = SchedulerSettings(OWNER_KEY, 1, FencingToken(1), 6.0)
        self.scheduler = Scheduler(settings, self.clock)
        self.scheduler.set_configuration(configuration())
        dependencies = mock.Mock(clock=self.clock)
        dependencies.settings = mock.Mock(holder_lease_s=3.0, vm_maintenance_s=2.0, vm_move_s=1.5)
        dependencies.configuration.waves = {}
        dependencies.configuration.evacuations = None
        dependencies.vms.list.return_value = ()
        self.vms = TermVms(
            TermContext(
                dependencies,
                mock.Mock(),
                self.scheduler,
                post=lambda event: event(),
                submit=lambda action: action(),
                submit_calls=lambda _calls: None,
                may_act=lambda: True,
            )
        )
        self.list = dependencies.vms.list

    def reads_in(self, for_s: int) -> int:
        before = self.list.call_count
        for _ in range(for_s * 10):
            self.clock.advance(0.1)
            self.vms.submit_due_actions()
        return int(self.list.call_count) - before

    # Guards against VMs that are down and hold tasks until the next idle read.
    def test_the_list_is_read_each_second_while_runs_on_unlisted_servers_may_exist(self) -> None:
        self.vms.submit_due_actions()
        self.assertLessEqual(self.reads_in(5), 1)
        spec = job(1)
        run = RunRecord(1, WorkerId("w"), 1000, VmId("m"), settled=True)
        progress = ProgressRecord(
            JobState.RUNNING, spec.queue, spec.team, tasks=(TaskRecord(0, 0, 0, 1, (), "", (run,)),)
        )
        self.scheduler.restore_job(spec, progress, 1)
        self.assertGreaterEqual(self.reads_in(5), 4)

    # Guards against runs on a server that an order of the former owner is about to end.
    def test_servers_on_vms_that_the_former_owner_has_ordered_get_no_runs_yet(self) -> None:
        now_ms = int(self.scheduler.state.now_unix_ms)
        orders = encode_vm_orders(VmOrdersRecord({VmId("m"): now_ms}))
        nothing = Snapshot((), 1)
        stored = Record(VM_ORDERS_KEY, orders, 1, 1)
        self.vms.restore(nothing, nothing, Snapshot((stored,), 1))
        for vm_id in ("m", "n"):
            entry = WorkerEntry(
                WorkerId(vm_id),
                POOL,
                "a:1",
                DataCentreId("dc"),
                CAPACITY,
                (),
                False,
                1,
                vm_id=VmId(vm_id),
            )
            self.scheduler.worker_listed(entry)
        paused = {
            worker_id: worker.paused_until_s > self.clock.monotonic_s()
            for worker_id, worker in self.scheduler.workers.items()
        }
        self.assertEqual(paused, {WorkerId("m"): True, WorkerId("n"): False})


if __name__ == "__main__":
    unittest.main()

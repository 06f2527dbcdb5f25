"""Records of orders on VMs, in a store that loses answers or carries out writes late."""

from __future__ import annotations

import unittest
from unittest import mock

from toucandoor.adapters.term_vms import OrderRecordWriter
from toucandoor.core.maintenance.vm_orders import (
    VM_ORDERS_KEY,
    VmOrdersRecord,
    decode_vm_orders,
)
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import Transaction, TransactionConflictError
from toucandoor.exceptions import StoreAnswerLostError
from toucandoor.fakes.virtual_platform import VirtualRecords
from toucandoor.ids import FencingToken, VmId


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
        self.writer = OrderRecordWriter(store, FencingToken(token))

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


if __name__ == "__main__":
    unittest.main()

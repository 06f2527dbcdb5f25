"""Writes of a node whose answer is lost, and that the store carries out after later ones."""

from __future__ import annotations

import threading
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from tests.adapters.test_owner_task import (
    MemoryStore,
    MemoryWorkers,
    dependencies,
    entry_value,
    wait_for,
)
from tests.core.scheduling.common import NEEDS, POOL, job, succeeds_after_1s
from toucandoor.adapters.job_service import StoreJobService, WriteOutcome
from toucandoor.adapters.owner_records import OwnerRecords
from toucandoor.adapters.owner_task import OwnerTask
from toucandoor.adapters.peers import NODE_PREFIX, Peer, PeerDirectory
from toucandoor.clock import SystemClock
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.jobs.records import (
    PENDING_KEY,
    ProgressRecord,
    cancel_key,
    decode_pending,
    encode,
    job_key,
    progress_key,
)
from toucandoor.core.ownership.candidates import VmCapacity
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import LeaseEndedError, Transaction, TransactionConflictError
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.exceptions import StoreAnswerLostError
from toucandoor.fakes.virtual_platform import Observations, VirtualRecords, VirtualWorker
from toucandoor.ids import DataCentreId, EntryId, FencingToken, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.ids import StoreLeaseId

WAITING = 4


class LateStore(MemoryStore):
    """Store that carries out some writes only when it is told to, without an answer.

    Attributes:
        withheld: The writes that are still to be carried out.
        unconditional: Keys that were written without an expected revision.
    """

    def __init__(self, records: VirtualRecords, changed: threading.Condition) -> None:
        super().__init__(records, changed)
        self.withheld: list[Transaction] = []
        self.unconditional: set[str] = set()
        self._withhold: Callable[[Transaction], bool] = lambda _transaction: False

    def withhold_next(self, prefix: str, count: int = 1) -> None:
        """Withhold the next writes of records below a prefix, and lose their answers."""
        left = iter(range(count))

        def chosen(transaction: Transaction) -> bool:
            written = any(key.startswith(prefix) for key in transaction.writes)
            return written and next(left, None) is not None

        self._withhold = chosen

    def write(self, transaction: Transaction) -> int:
        self.unconditional |= transaction.writes.keys() - transaction.expected.keys()
        if self._withhold(transaction):
            self.withheld.append(transaction)
            raise StoreAnswerLostError("no answer", step="store.write")
        if transaction.lease_id is not None and transaction.lease_id not in self._leases:
            raise LeaseEndedError("ended", step="store.write")
        return super().write(transaction)

    def carry_out_withheld(self) -> list[Exception]:
        """Carry out the writes that were withheld; return the refusals."""
        refusals: list[Exception] = []
        withheld, self.withheld = self.withheld, []
        for transaction in withheld:
            try:
                self.write(transaction)
            except (TransactionConflictError, LeaseEndedError) as err:
                refusals.append(err)
        return refusals


class OwnerWritesTest(unittest.TestCase):
    """An owner; a server is listed only where a test adds it, and has room for one task."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.records = VirtualRecords()
        changed = threading.Condition(threading.RLock())
        self.store = LateStore(self.records, changed)
        entry = WorkerEntry(
            WorkerId("w"), POOL, "127.0.0.1:1", DataCentreId("d"), NEEDS, ("a", "r"), False, 1
        )
        self.entry = entry
        worker = VirtualWorker(entry, clock, Observations(), succeeds_after_1s)
        self.task = OwnerTask(dependencies("e", self.store, MemoryWorkers(worker), clock))
        self.addCleanup(self.task.stop, 2.0)
        self.jobs = StoreJobService(MemoryStore(self.records, changed), clock)
        self.clock = clock

    def waiting(self) -> int:
        record = self.records.records.get(PENDING_KEY)
        return sum(decode_pending(record.value).by_queue.values()) if record is not None else 0

    def submit(self, number: int) -> None:
        until_s = self.clock.monotonic_s() + 2.0
        spec = job(number, Step(1, NEEDS, estimate_ms=1000))
        self.assertEqual(self.jobs.submit(spec, until_s), WriteOutcome.STORED)

    # Guards against a count of waiting jobs that stays too low, as a late write has replaced it.
    def test_a_late_count_of_waiting_jobs_replaces_no_later_one(self) -> None:
        self.task.start()
        wait_for(self, lambda: self.task.is_owner)
        self.store.withhold_next(PENDING_KEY)
        self.submit(1)
        wait_for(self, lambda: bool(self.store.withheld))
        for number in range(2, 1 + WAITING):
            self.submit(number)
        wait_for(self, lambda: self.waiting() == WAITING)
        value = self.records.records[PENDING_KEY].value
        self.store.carry_out_withheld()
        self.assertEqual(self.records.records[PENDING_KEY].value, value)

    # Guards against a claim that takes effect when its process no longer knows of it: the
    # ownership is then taken for the time of its lease, and nothing is scheduled.
    def test_a_late_claim_does_not_take_the_ownership(self) -> None:
        self.store.withhold_next(OWNER_KEY)
        self.task.start()
        wait_for(self, lambda: self.task.is_owner)
        self.task.stop(2.0)
        self.assertNotIn(OWNER_KEY, self.records.records)
        (refusal,) = self.store.carry_out_withheld()
        self.assertIsInstance(refusal, LeaseEndedError)
        self.assertNotIn(OWNER_KEY, self.records.records)

    # Guards against a new kind of record that a late write can bring back.
    def test_each_write_expects_the_revision_of_what_it_replaces(self) -> None:
        self.task.start()
        for number in range(2):
            self.submit(number)
        wait_for(self, lambda: self.waiting() == 2)
        self.records.write(Transaction(writes={"servers/w": entry_value(self.entry)}))
        wait_for(self, lambda: self.waiting() == 0)
        self.task.stop(2.0)
        self.assertEqual(self.store.unconditional, set())


class JobWritesTest(unittest.TestCase):
    """Submissions and cancellations that a node repeats."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        self.store = LateStore(self.records, threading.Condition(threading.RLock()))
        self.clock = SystemClock()
        self.jobs = StoreJobService(self.store, self.clock)

    # Guards against a job that is run again, as a late write has brought its specification back.
    def test_a_late_submission_changes_nothing_after_its_repetition(self) -> None:
        spec = job(1)
        self.store.withhold_next(job_key(spec.job_id))
        outcome = self.jobs.submit(spec, self.clock.monotonic_s() + 2.0)
        self.assertEqual(outcome, WriteOutcome.STORED)
        before = dict(self.records.records)
        self.assertEqual(len(self.store.withheld), 1)
        (late,) = self.store.withheld
        self.assertEqual(len(self.store.carry_out_withheld()), 1)
        self.assertEqual(self.records.records, before)
        ended = ProgressRecord(JobState.COMPLETED, spec.queue, spec.team)
        progress = {progress_key(spec.job_id): encode(ended)}
        self.records.write(Transaction(writes=progress, removals=(job_key(spec.job_id),)))
        self.store.withheld = [late]
        self.assertEqual(len(self.store.carry_out_withheld()), 1)
        self.assertEqual(self.records.records.keys(), progress.keys())

    def test_a_late_cancellation_changes_nothing_after_its_repetition(self) -> None:
        key = cancel_key(job(1).job_id)
        self.store.withhold_next(key)
        outcome = self.jobs.cancel(job(1).job_id, self.clock.monotonic_s() + 2.0)
        self.assertEqual(outcome, WriteOutcome.STORED)
        before = self.records.records[key]
        self.assertEqual(len(self.store.carry_out_withheld()), 1)
        self.assertEqual(self.records.records[key], before)


class OwnerRecordsTest(unittest.TestCase):
    """Records that are read only by a later owner, or by nodes."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        self.store = LateStore(self.records, threading.Condition(threading.RLock()))
        token = self.store.write(Transaction({OWNER_KEY: 0}, {OWNER_KEY: b"{}"}))
        self.written = OwnerRecords(self.store, FencingToken(token))

    def write(self, *values: bytes) -> None:
        for value in values:
            self.written.write(Transaction(writes={"waves/1": value, "status/wave/1": value}))

    def stored(self) -> list[bytes]:
        return [self.records.records[key].value for key in ("waves/1", "status/wave/1")]

    # Guards against a wave that a new owner takes for less advanced, as a late write replaced it.
    def test_a_late_write_replaces_no_later_one(self) -> None:
        self.write(b"1")
        self.store.withhold_next("waves/")
        with self.assertRaises(StoreAnswerLostError):
            self.write(b"2")
        self.write(b"3")
        (refusal,) = self.store.carry_out_withheld()
        self.assertIsInstance(refusal, TransactionConflictError)
        self.assertEqual(self.stored(), [b"3", b"3"])

    def test_a_write_without_an_answer_that_took_effect_is_replaced(self) -> None:
        self.store.withhold_next("waves/")
        with self.assertRaises(StoreAnswerLostError):
            self.write(b"1")
        self.assertEqual(self.store.carry_out_withheld(), [])
        self.write(b"2")
        self.assertEqual(self.stored(), [b"2", b"2"])

    def test_records_of_a_former_owner_are_replaced_whether_they_were_read_or_not(self) -> None:
        self.write(b"1")
        for loaded in (False, True):
            successor = OwnerRecords(self.store, FencingToken(2))
            if loaded:
                successor.loaded(self.records.below("waves/"))
                successor.loaded(self.records.below("status/"))
            calls = self.records.writes
            successor.write(Transaction(writes={"waves/1": b"2", "status/wave/1": b"2"}))
            self.assertEqual(self.records.writes - calls, 1 if loaded else 2)

    def test_a_superseded_owner_writes_nothing(self) -> None:
        self.write(b"1")
        self.records.remove(OWNER_KEY)
        self.store.write(Transaction({OWNER_KEY: 0}, {OWNER_KEY: b"{}"}))
        with self.assertRaises(TransactionConflictError):
            self.write(b"2")
        self.assertEqual(self.stored(), [b"1", b"1"])


class NodeRecordTest(unittest.TestCase):
    """The record by which the other nodes know a node; the store removes it with its lease."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        self.store = LateStore(self.records, threading.Condition(threading.RLock()))
        this_node = Peer(EntryId("e"), "10.0.0.1:1", DataCentreId("d"), VmCapacity(2.0, 100.0))
        self.directory = PeerDirectory(self.store, this_node)
        self.key = NODE_PREFIX + "e"

    def rounds(self, count: int = 1) -> None:
        for _ in range(count):
            with mock.patch.object(self.directory, "_stop") as stop:
                stop.is_set.side_effect = [False, True]
                self.directory._run()

    # Guards against a node that its peers no longer know, as its record went with a former lease.
    def test_a_late_write_under_a_former_lease_does_not_replace_the_record(self) -> None:
        self.store.withhold_next(NODE_PREFIX)
        self.rounds(2)
        record = self.records.records[self.key]
        self.store.carry_out_withheld()
        self.assertEqual(self.records.records[self.key], record)
        self.assertEqual(self.store.unconditional, set())

    def test_a_record_that_was_replaced_or_removed_is_written_again(self) -> None:
        self.rounds()
        # As a process of a former build does, whose write is carried out after it has ended.
        lease: StoreLeaseId = self.store.grant_lease(15.0).lease_id
        value = self.records.records[self.key].value
        self.store.write(Transaction(writes={self.key: value}, lease_id=lease))
        self.rounds(2)
        self.store.expire(lease)
        self.rounds(2)
        found = msgspec.json.decode(self.records.records[self.key].value)
        self.assertEqual(found["address"], "10.0.0.1:1")


if __name__ == "__main__":
    unittest.main()

"""Two nodes' owner tasks against one store and one backend server, with real threads."""

from __future__ import annotations

import asyncio
import threading
import time
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.adapters.call_loop import CallLoop
from toucandoor.adapters.job_service import StoreJobService, WriteOutcome
from toucandoor.adapters.owner_task import OwnerTask
from toucandoor.adapters.term_context import OwnerDependencies
from toucandoor.clock import SystemClock
from toucandoor.core.jobs.models import JobSpec, JobState, Step
from toucandoor.core.ownership.handover import HANDOVER_KEY
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import (
    Changes,
    LeaseEndedError,
    Record,
    RecordStore,
    Snapshot,
    StoreLease,
    Transaction,
)
from toucandoor.core.scheduling.workers import (
    OrderUnansweredError,
    OrderWithheldError,
    RunKey,
    StartOrder,
    StatusReport,
    WorkerEntry,
    WorkerPort,
    WorkerTarget,
)
from toucandoor.exceptions import StoreUnavailableError
from toucandoor.fakes.virtual_platform import (
    Observations,
    TaskBehaviour,
    VirtualRecords,
    VirtualWorker,
)
from toucandoor.ids import DataCentreId, EntryId, FencingToken, StoreLeaseId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

WITHIN_S = 20.0
"""Time-out of a condition; far above the time needed, and each test goes on once it holds."""


class MemoryStore(RecordStore):
    """Store in memory, shared by threads; can be made unavailable to one node."""

    def __init__(self, records: VirtualRecords, changed: threading.Condition) -> None:
        self._records = records
        self._changed = changed
        self._leases: dict[StoreLeaseId, list[str]] = {}
        self.unavailable = False
        self.fail_next_write = False

    def _check(self) -> None:
        if self.unavailable:
            raise StoreUnavailableError("unavailable", step="store")

    def read(self, key: str) -> Record | None:
        self._check()
        with self._changed:
            return self._records.records.get(key)

    def read_pages(self, prefix: str) -> Iterator[Snapshot]:
        self._check()
        with self._changed:
            yield Snapshot(tuple(self._records.below(prefix)), self._records.revision)

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        self._check()
        with self._changed:
            self._changed.wait_for(lambda: self._records.revision > after_revision, wait_s)
            written = tuple(
                record for record in self._records.below(prefix) if record.revision > after_revision
            )
            deleted = () if self._records.below(prefix) else (prefix,)
            return Changes(written, deleted, self._records.revision)

    def write(self, transaction: Transaction) -> int:
        self._check()
        if self.fail_next_write:
            self.fail_next_write = False
            raise RuntimeError("bug in the client")
        with self._changed:
            revision = self._records.write(transaction)
            if transaction.lease_id is not None:
                self._leases[transaction.lease_id] += transaction.writes
            self._changed.notify_all()
            return revision

    def grant_lease(self, ttl_s: float) -> StoreLease:
        self._check()
        lease_id = StoreLeaseId(len(self._leases) + 1)
        self._leases[lease_id] = []
        return StoreLease(lease_id, ttl_s)

    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        self._check()
        if lease_id not in self._leases:
            raise LeaseEndedError("ended", step="renew")

    def end_lease(self, lease_id: StoreLeaseId) -> None:
        self._check()
        self.expire(lease_id)

    def expire(self, lease_id: StoreLeaseId) -> None:
        with self._changed:
            for key in self._leases.pop(lease_id, []):
                self._records.remove(key)
            self._changed.notify_all()


class MemoryWorkers(WorkerPort):
    """Sends orders to one virtual backend server; can fail a start or ignore heartbeats."""

    def __init__(self, worker: VirtualWorker) -> None:
        self._worker = worker
        self._lock = threading.Lock()
        self.fail_next_start = False
        self.unresponsive = False
        self.unanswered_heartbeats = 0

    async def async_start(
        self, target: WorkerTarget, order: StartOrder, may_send: Callable[[], bool]
    ) -> int:
        if self.fail_next_start:
            self.fail_next_start = False
            raise RuntimeError("bug in the client")
        if not may_send():
            raise OrderWithheldError("withheld", step="start")
        with self._lock:
            return self._worker.start(order)

    async def async_stop(self, target: WorkerTarget, run: RunKey, token: FencingToken) -> int:
        with self._lock:
            return self._worker.stop(run, token)

    async def async_limit_speed(
        self, target: WorkerTarget, run: RunKey, percent: int, token: FencingToken
    ) -> int:
        raise NotImplementedError

    async def async_heartbeat(
        self,
        target: WorkerTarget,
        token: FencingToken,
        *,
        lease_until_ms: int | None,
        acknowledged: int,
        wait_s: float,
        runs: int,
    ) -> StatusReport:
        until_s = time.monotonic() + wait_s
        while True:
            if self.unresponsive:
                self.unanswered_heartbeats += 1
                raise OrderUnansweredError("no answer", step="hold")
            with self._lock:
                report = self._worker.heartbeat(token, lease_until_ms, acknowledged)
            if report.ended or time.monotonic() >= until_s:
                return report
            await asyncio.sleep(0.01)


def entry_value(entry: WorkerEntry) -> bytes:
    capacity = {"cpu": entry.capacity.cpu_millicores, "mem_mb": entry.capacity.memory_mb, "gpu": 0}
    return msgspec.json.encode(
        {
            "service": entry.pool,
            "address": entry.address,
            "zone": entry.data_centre,
            "state": "ready",
            "sequence": 1,
            "capacity": capacity,
            "labels": list(entry.labels),
            "born": entry.booted_unix_ms,
        }
    )


def dependencies(
    name: str,
    store: MemoryStore,
    workers: WorkerPort,
    clock: SystemClock,
    *,
    processor_cores: float = 1.0,
    link_mbps: float = 1000.0,
) -> OwnerDependencies:
    settings = mock.Mock(
        processor_cores=processor_cores,
        link_mbps=link_mbps,
        lease_s_max=6.0,
        holder_lease_s=3.0,
        vm_maintenance_s=2.0,
        vm_move_s=1.5,
        status_retention_s=120.0,
        store_value_bytes_max=1024 * 1024,
        switched_off=frozenset(),
    )
    watch = mock.Mock(waves={}, evacuations=None, current=configuration())
    watch.add_listener.side_effect = lambda listener: listener(configuration())
    vms = mock.Mock()
    vms.list.return_value = ()
    metrics = mock.Mock()
    metrics.platform_bytes.return_value = {}
    return OwnerDependencies(
        EntryId(name),
        settings,
        clock,
        store,
        workers,
        CallLoop(),
        vms,
        mock.Mock(),
        watch,
        metrics,
    )


def wait_for(test: unittest.TestCase, condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail the test if it does not in time."""
    until_s = time.monotonic() + WITHIN_S
    while not condition():
        test.assertLess(time.monotonic(), until_s, "the condition did not become true in time")
        time.sleep(0.02)


class OwnerTaskTest(unittest.TestCase):
    """Jobs complete although the owner changes or fails."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.records = VirtualRecords()
        self.changed = threading.Condition(threading.RLock())
        self.seen = Observations()
        entry = WorkerEntry(
            WorkerId("w"), POOL, "127.0.0.1:1", DataCentreId("d"), CAPACITY, ("a", "r"), False, 1
        )
        behaviour = TaskBehaviour(NEEDS, 0.6)
        worker = VirtualWorker(entry, clock, self.seen, lambda _task, _worker: behaviour)
        self.records.write(Transaction(writes={"servers/w": entry_value(entry)}))
        self.stores = [MemoryStore(self.records, self.changed) for _ in range(2)]
        self.workers = workers = MemoryWorkers(worker)
        self.tasks = [
            OwnerTask(dependencies(f"e{number}", store, workers, clock))
            for number, store in enumerate(self.stores)
        ]
        for task in self.tasks:
            self.addCleanup(task.stop, 2.0)
        self.jobs = StoreJobService(MemoryStore(self.records, self.changed), clock)
        self.clock = clock

    def submit(self, spec: JobSpec) -> None:
        outcome = self.jobs.submit(spec, self.clock.monotonic_s() + 2.0)
        self.assertEqual(outcome, WriteOutcome.STORED)

    def state(self, spec: JobSpec) -> JobState | None:
        status = self.jobs.status(spec.job_id)
        return status.state if status is not None else None

    def test_a_job_is_finished_by_the_next_owner(self) -> None:
        self.tasks[0].start()
        wait_for(self, lambda: self.tasks[0].is_owner)
        spec = job(1, Step(2, NEEDS), Step(2, NEEDS, after=(0,)))
        self.submit(spec)
        wait_for(self, lambda: self.state(spec) is JobState.RUNNING)
        self.tasks[1].start()
        self.tasks[0].stop(2.0)
        wait_for(self, lambda: self.tasks[1].is_owner)
        wait_for(self, lambda: self.state(spec) is JobState.COMPLETED)
        self.assertEqual(self.seen.violations, [])
        self.assertEqual(self.seen.starts, 4)

    def test_an_owner_without_access_to_the_store_is_replaced(self) -> None:
        self.tasks[0].start()
        wait_for(self, lambda: self.tasks[0].is_owner)
        self.stores[0].unavailable = True
        self.tasks[1].start()
        self.stores[0].expire(StoreLeaseId(1))
        wait_for(self, lambda: self.tasks[1].is_owner)
        spec = job(2)
        self.submit(spec)
        wait_for(self, lambda: self.state(spec) is JobState.COMPLETED)
        self.assertEqual(self.seen.violations, [])
        self.assertIsNotNone(self.records.records.get(OWNER_KEY))

    def test_a_handover_record_is_used_once(self) -> None:
        self.tasks[0].start()
        wait_for(self, lambda: self.tasks[0].is_owner)
        spec = job(4)
        self.submit(spec)
        wait_for(self, lambda: self.seen.starts > 0)
        self.workers.unresponsive = True
        wait_for(self, lambda: self.workers.unanswered_heartbeats > 1)
        self.tasks[0].stop(2.0)
        self.assertIn(HANDOVER_KEY, self.records.records)
        self.workers.unresponsive = False
        self.tasks[1].start()
        wait_for(self, lambda: self.tasks[1].is_owner)
        self.assertNotIn(HANDOVER_KEY, self.records.records)
        wait_for(self, lambda: self.state(spec) is JobState.COMPLETED)
        self.assertEqual(self.seen.violations, [])

    def test_an_unexpected_error_in_an_order_leaves_the_term_and_the_job_at_work(self) -> None:
        self.tasks[0].start()
        wait_for(self, lambda: self.tasks[0].is_owner)
        self.tasks[1].start()
        self.workers.fail_next_start = True
        spec = job(3)
        with (
            self.assertLogs("toucandoor.adapters.term_orders", "ERROR") as logs,
            self.assertNoLogs("toucandoor.adapters.owner_term", "ERROR"),
        ):
            self.submit(spec)
            wait_for(self, lambda: self.state(spec) is JobState.COMPLETED)
        self.assertIn("bug in the client", logs.output[0])
        self.assertTrue(self.tasks[0].is_owner)
        self.assertEqual(self.seen.violations, [])

    def test_an_unhandled_error_ends_the_term_and_the_next_completes_the_job(self) -> None:
        self.tasks[0].start()
        wait_for(self, lambda: self.tasks[0].is_owner)
        self.tasks[1].start()
        self.stores[0].fail_next_write = True
        spec = job(3)
        with self.assertLogs("toucandoor.adapters.owner_term", "ERROR") as logs:
            self.submit(spec)
            wait_for(self, lambda: self.state(spec) is JobState.COMPLETED)
        self.assertIn("bug in the client", logs.output[0])
        self.assertEqual(self.seen.violations, [])

    # Guards against an entry of another writer that ends the term of each owner that reads it.
    def test_an_entry_that_cannot_be_called_ends_no_term(self) -> None:
        entry = msgspec.json.decode(self.records.records["servers/w"].value)
        other = msgspec.json.encode(entry | {"address": "127.0.0.1"})
        self.records.write(Transaction(writes={"servers/resolver-1": other}))
        for task in self.tasks:
            task.start()
        wait_for(self, lambda: any(task.is_owner for task in self.tasks))
        token = self.records.records[OWNER_KEY].revision
        spec = job(5)
        self.submit(spec)
        wait_for(self, lambda: self.state(spec) is JobState.COMPLETED)
        self.assertEqual(self.records.records[OWNER_KEY].revision, token)


if __name__ == "__main__":
    unittest.main()

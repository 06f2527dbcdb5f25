"""Cost of a takeover: what a new owner reads from the store before it can schedule."""

from __future__ import annotations

import threading
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from tests.core.scheduling.common import NEEDS, POOL, fleet, job
from toucandoor.adapters.term_context import TermContext
from toucandoor.adapters.term_intake import TermIntake
from toucandoor.core.evacuation.requests import EvacuationRequests
from toucandoor.core.jobs.models import JobSpec, JobState, Step
from toucandoor.core.jobs.records import progress_key
from toucandoor.core.records import Changes, Record, RecordStore, Snapshot, Transaction
from toucandoor.core.run_times.snapshots import RUN_TIMES_KEY
from toucandoor.core.scheduling.scheduler import Scheduler, SchedulerSettings
from toucandoor.ids import FencingToken
from toucandoor.platform.operator_records import WORKER_PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator

    from toucandoor.core.records import StoreLease
    from toucandoor.fakes.virtual_platform import VirtualRecords
    from toucandoor.ids import StoreLeaseId

URGENT_START_S = 1.3
"""Within this time urgent work starts, by the first letter; a takeover comes on top of nothing."""
LINK_BYTES_PER_S = 5_000_000 / 8
"""Slowest link of an entry VM of the grown deployments."""
RETAINED_JOBS = 27 * 180
"""Jobs that end while their records are retained: the grown deployment's jobs a second, and the
time for which a state can be asked for with its margin."""
ANSWER_BYTES = 150
"""Size of an answer's HTTP headers."""


class CountingStore(RecordStore):
    """Store in memory that counts the bytes of the answers to reads, as the platform sends them."""

    def __init__(self, records: VirtualRecords) -> None:
        self._records = records
        self._lock = threading.Lock()
        self.bytes_read = 0

    def _count(self, records: list[Record]) -> None:
        items = [
            {
                "key": record.key,
                "value": record.value,
                "revision": record.revision,
                "created": record.created_revision,
                "lease_id": 0,
            }
            for record in records
        ]
        with self._lock:
            self.bytes_read += ANSWER_BYTES + len(msgspec.json.encode(items))

    def read(self, key: str) -> Record | None:
        record = self._records.records.get(key)
        self._count([record] if record is not None else [])
        return record

    def read_pages(self, prefix: str) -> Iterator[Snapshot]:
        records = self._records.below(prefix)
        self._count(records)
        yield Snapshot(tuple(records), self._records.revision)

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        raise NotImplementedError

    def write(self, transaction: Transaction) -> int:
        raise NotImplementedError

    def grant_lease(self, ttl_s: float) -> StoreLease:
        raise NotImplementedError

    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        raise NotImplementedError

    def end_lease(self, lease_id: StoreLeaseId) -> None:
        raise NotImplementedError


class TakeoverTest(unittest.TestCase):
    """A new owner's load, from the records that a former owner has left."""

    def load(
        self, store: CountingStore, requests: EvacuationRequests | None = None
    ) -> tuple[Scheduler, TermIntake]:
        clock = self.fleet.clock
        settings = SchedulerSettings("owner", 1, FencingToken(1), 6.0)
        scheduler = Scheduler(settings, clock)
        self.dependencies = dependencies = mock.Mock(store=store, clock=clock)
        dependencies.configuration.evacuations = requests
        term = TermContext(
            dependencies,
            mock.Mock(),
            scheduler,
            lambda event: event(),
            mock.Mock(),
            mock.Mock(),
            lambda: True,
        )
        intake = TermIntake(term, mock.Mock(), threading.Event())
        intake.load()
        return scheduler, intake

    def setUp(self) -> None:
        self.fleet = fleet(workers=0)

    # On whistleline-grown a new owner read 1.5 MB, three quarters of it of ended jobs, through a
    # link of 5 Mbit/s, and nothing was started for three seconds.
    def test_urgent_work_starts_in_time_after_a_takeover_however_many_jobs_have_ended(self) -> None:
        made = self.fleet
        for number in range(30):
            made.boot(f"w{number}", POOL, NEEDS.times(8))
        specs = [
            msgspec.structs.replace(
                job(number, Step(8, NEEDS, 1000), Step(8, NEEDS, 1000, after=(0,))),
                payload="x" * 300,
            )
            for number in range(20)
        ]
        for spec in specs:
            made.submit(spec)
        made.run(30.0)
        for spec in specs:
            self.assertIs(made.state(spec.job_id), JobState.COMPLETED)
        none_ended = CountingStore(type(made.records)())
        self.load(none_ended)
        store = CountingStore(made.records)
        self.load(store)
        bytes_per_job = (store.bytes_read - none_ended.bytes_read) / len(specs)
        read_s = bytes_per_job * RETAINED_JOBS / LINK_BYTES_PER_S
        self.assertLess(read_s, URGENT_START_S)

    def test_open_jobs_are_loaded_with_their_progress_however_many_they_are(self) -> None:
        made = self.fleet
        for number in range(2):
            made.boot(f"w{number}", POOL, NEEDS.times(8))
        for number in range(12):
            made.submit(job(number, Step(4, NEEDS, 1000)))
        made.run(0.5)
        for single_reads_max in (0, 400):
            with (
                self.subTest(single_reads_max=single_reads_max),
                mock.patch("toucandoor.adapters.term_intake.SINGLE_READS_MAX", single_reads_max),
            ):
                scheduler, _ = self.load(CountingStore(made.records))
                self.assertEqual(len(scheduler.jobs), 12)
                running = [each for each in scheduler.jobs.values() if each.has_runs]
                self.assertEqual(len(running), 4)

    def test_requests_to_evacuate_are_read_before_the_first_plan(self) -> None:
        # The process of a new owner may not have heard from the store for seconds.
        requests = EvacuationRequests(5.0, 1.5)
        self.fleet.records.write(Transaction(writes={"op/evacuate/a": b"{}"}))
        self.load(CountingStore(self.fleet.records), requests)
        self.assertEqual(set(requests.in_force), {"a"})
        self.assertTrue(requests.known_within(self.fleet.clock.monotonic_s(), 0.0))

    def test_run_times_that_cannot_be_used_are_logged_and_start_from_the_prior(self) -> None:
        """Guards against a takeover that fails, or stands, because of one bad record."""
        for value, level in ((b"\xff", "ERROR"), (b'{"version": 1, "ratios": []}', "INFO")):
            records = type(self.fleet.records)()
            records.write(Transaction({}, {RUN_TIMES_KEY: value}))
            with self.assertLogs("toucandoor.adapters.term_intake", "INFO") as logs:
                scheduler, _ = self.load(CountingStore(records))
            self.assertEqual(scheduler.run_times.queue_ratios(), ())
            (line,) = [each for each in logs.output if "learned run times" in each]
            self.assertTrue(line.startswith(level))

    def test_ended_jobs_are_read_after_the_load_and_removed_in_time(self) -> None:
        made = self.fleet
        made.boot("w", POOL, NEEDS.times(8))
        ended, running = job(1), job(2, Step(1, NEEDS, long_running=True))
        made.submit(ended)
        made.submit(running)
        made.run(5.0)
        scheduler, intake = self.load(CountingStore(made.records))
        made.clock.advance(200.0)
        self.assertIsNone(scheduler.retention.removal())
        waits = (
            "toucandoor.adapters.term_intake.ENDED_JOBS_DELAY_S",
            "toucandoor.adapters.term_intake.ENDED_JOBS_PAGE_PAUSE_S",
        )
        with mock.patch(waits[0], 0.0), mock.patch(waits[1], 0.0):
            intake.read_ended_jobs()
        made.clock.advance(60.0)
        removal = scheduler.retention.removal()
        assert removal is not None
        self.assertEqual(removal.removals, (progress_key(ended.job_id),))

    # Guards against one entry of another writer that ends the term of each owner that reads it.
    def test_entries_that_cannot_be_used_are_logged_and_counted_and_the_others_hold(self) -> None:
        records = type(self.fleet.records)()
        entry = {
            "service": POOL,
            "address": "10.0.0.1:80",
            "zone": "z",
            "state": "ready",
            "sequence": 1,
            "capacity": {"cpu": 1, "mem_mb": 1},
            "labels": [],
        }
        records.write(
            Transaction(
                writes={
                    "servers/a": b"\xff",
                    "servers/b": msgspec.json.encode(entry | {"address": "127.0.0.1"}),
                    "servers/c": msgspec.json.encode(entry),
                }
            )
        )
        with self.assertLogs("toucandoor.adapters.term_intake", "WARNING") as logs:
            scheduler, intake = self.load(CountingStore(records))
        self.assertEqual(set(scheduler.workers), {"c"})
        self.assertEqual(len(logs.output), 2)
        self.assertIn("servers/b is ignored: address:", logs.output[1])
        metrics = self.dependencies.metrics
        metrics.set_invalid_entries.assert_called_with(2)
        changes = Changes(tuple(records.below("servers/")), (), records.revision)
        with self.assertNoLogs("toucandoor.adapters.term_intake", "WARNING"):
            intake.apply_changes(WORKER_PREFIX, changes)
        intake.apply_changes(WORKER_PREFIX, Changes((), ("servers/a",), records.revision))
        metrics.set_invalid_entries.assert_called_with(1)

    def test_an_unexpected_error_with_one_record_leaves_the_others_in_use(self) -> None:
        made = self.fleet
        for number in (1, 2):
            made.submit(job(number))
        add_job = Scheduler.add_job

        def fail_first(scheduler: Scheduler, spec: JobSpec) -> None:
            if spec.job_id == job(1).job_id:
                raise IndexError("a task that its step does not have")
            add_job(scheduler, spec)

        with (
            mock.patch.object(Scheduler, "add_job", fail_first),
            self.assertLogs("toucandoor.adapters.term_intake", "ERROR") as logs,
        ):
            scheduler, _ = self.load(CountingStore(made.records))
        self.assertEqual(set(scheduler.jobs), {job(2).job_id})
        self.assertIn(f"record work/job/{job(1).job_id} is not used", logs.output[0])
        self.dependencies.metrics.add_unexpected_error.assert_called_once_with("work")


if __name__ == "__main__":
    unittest.main()

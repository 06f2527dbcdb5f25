"""Job service on records in the store, while the owner removes those of jobs that have ended."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from tests.adapters.test_term_intake import CountingStore
from tests.core.scheduling.common import fleet, job
from toucandoor.adapters.job_service import StoreJobService, WriteOutcome
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import job_key, progress_key

if TYPE_CHECKING:
    from toucandoor.core.records import Record, Transaction


class WritableStore(CountingStore):
    """Store in memory that also takes writes."""

    def write(self, transaction: Transaction) -> int:
        return self._records.write(transaction)


class EndedJobTest(unittest.TestCase):
    """A job whose specification has been removed."""

    def setUp(self) -> None:
        self.fleet = fleet()
        self.spec = job(1)
        self.fleet.submit(self.spec)
        self.store = WritableStore(self.fleet.records)
        self.jobs = StoreJobService(self.store, self.fleet.clock)

    def test_a_repeated_submission_counts_as_stored_and_writes_nothing(self) -> None:
        self.fleet.run(5.0)
        outcome = self.jobs.submit(self.spec, self.fleet.clock.monotonic_s() + 1.0)
        self.assertIs(outcome, WriteOutcome.STORED)
        self.assertNotIn(job_key(self.spec.job_id), self.fleet.records.records)

    # The status would be "no such job" if a job began and ended between the reads of its progress
    # and of its specification.
    def test_status_of_a_job_that_ends_between_two_reads(self) -> None:
        read = self.store.read

        def read_while_the_job_ends(key: str) -> Record | None:
            record = read(key)
            if key == progress_key(self.spec.job_id):
                self.fleet.run(5.0)
            return record

        with mock.patch.object(self.store, "read", read_while_the_job_ends):
            status = self.jobs.status(self.spec.job_id)
        assert status is not None
        self.assertIs(status.state, JobState.COMPLETED)

    def test_status_of_an_unknown_job(self) -> None:
        self.assertIsNone(self.jobs.status(job(2).job_id))


if __name__ == "__main__":
    unittest.main()

"""Removal of the records of ended jobs, in a store that carries out removals late."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import fleet, job, never_ends
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import progress_key
from toucandoor.core.records import Transaction, TransactionConflictError

RETAINED_S = 200.0
"""Time after which the records of a job are due for removal, and a search for them is made."""


class LateRemovalTest(unittest.TestCase):
    """One job that has ended; the first removal of its records gets no answer."""

    def setUp(self) -> None:
        self.fleet = fleet(behaviour=never_ends)
        self.key = progress_key(job(1).job_id)
        self.late: list[Transaction] = []
        self.fleet.submit(job(1))
        self.fleet.run(1.0)
        self.fleet.cancel(job(1).job_id)
        self.fleet.run(5.0)
        self.assertEqual(self.fleet.state(job(1).job_id), JobState.CANCELLED)
        # The stand-in answers a write that also removes keys with the revision of the last removal.
        ended = self.fleet.scheduler.jobs[job(1).job_id]
        ended.revision = self.fleet.records.records[self.key].revision

    def remove(self, *, new_owner: bool) -> Transaction:
        """Return the removal that is due, which the store does not carry out."""
        if new_owner:
            self.fleet.take_over()
        owner = self.fleet.scheduler
        self.fleet.clock.advance(RETAINED_S)
        removal = owner.retention.removal()
        assert removal is not None
        self.assertIn(self.key, removal.removals)
        return removal

    # Guards against a job that is lost as the removal of a former one with its id comes late.
    def test_a_late_removal_does_not_remove_a_job_that_was_submitted_meanwhile(self) -> None:
        for new_owner in (False, True):
            with self.subTest(new_owner=new_owner):
                self.setUp()
                removal = self.remove(new_owner=new_owner)
                self.fleet.scheduler.retention.removed(ok=False)
                self.fleet.run(20.0)
                self.assertNotIn(self.key, self.fleet.records.records)
                self.fleet.submit(job(1))
                self.fleet.run(1.0)
                with self.assertRaises(TransactionConflictError):
                    self.fleet.records.write(removal)
                self.assertEqual(self.fleet.state(job(1).job_id), JobState.RUNNING)

    # Guards against removals that are refused for ever once one has taken effect unnoticed.
    def test_a_removal_without_an_answer_that_took_effect_is_noticed(self) -> None:
        for new_owner in (False, True):
            with self.subTest(new_owner=new_owner):
                self.setUp()
                removal = self.remove(new_owner=new_owner)
                self.fleet.records.write(removal)
                retention = self.fleet.scheduler.retention
                retention.removed(ok=False)
                self.fleet.clock.advance(20.0)
                again = retention.removal()
                assert again is not None
                with self.assertRaises(TransactionConflictError) as caught:
                    self.fleet.records.write(again)
                retention.conflicted(caught.exception.present)
                self.assertNotIn(job(1).job_id, self.fleet.scheduler.jobs)
                self.fleet.clock.advance(20.0)
                self.assertIsNone(retention.removal())

    def test_a_job_whose_record_has_another_revision_is_removed_later(self) -> None:
        removal = self.remove(new_owner=False)
        value = self.fleet.records.records[self.key].value
        self.fleet.records.write(Transaction(writes={self.key: value}))
        with self.assertRaises(TransactionConflictError) as caught:
            self.fleet.records.write(removal)
        self.fleet.scheduler.retention.conflicted(caught.exception.present)
        self.fleet.run(20.0)
        self.assertNotIn(self.key, self.fleet.records.records)


if __name__ == "__main__":
    unittest.main()

"""Order in which changed jobs are written to the store when many have changed at once."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import job
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import JobState
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.policies import Policies
from toucandoor.core.scheduling.progress import JobProgress
from toucandoor.core.scheduling.progress_writer import ProgressWriter
from toucandoor.core.scheduling.settings import SchedulerSettings
from toucandoor.core.scheduling.state import ScheduleState
from toucandoor.ids import FencingToken

JOBS_PER_WRITE = 15


class ProgressWriterTest(unittest.TestCase):
    """Jobs have changed while the store was unavailable."""

    def setUp(self) -> None:
        settings = SchedulerSettings(OWNER_KEY, 1, FencingToken(1), 6.0)
        self.clock = ManualClock()
        self.state = ScheduleState(settings, self.clock, Policies())
        self.writer = ProgressWriter(self.state)

    def changed(self, *, ended: bool = False, final: bool = False) -> JobProgress:
        """Return a new job that must be written."""
        made = JobProgress(job(len(self.state.jobs) + 1))
        if final:
            made.state, made.finished_unix_ms = JobState.COMPLETED, 1
            made.spec_stored = False
        self.state.jobs[made.spec.job_id] = made
        self.state.mark_changed(made)
        if ended or final:
            made.ends_version = made.version
        return made

    def next_writes(self) -> list[JobProgress]:
        """Return the jobs of the writes that are made now; the store answers them."""
        commits = self.writer.commits()
        for commit in commits:
            self.writer.done(commit, 5)
        return [each for commit in commits for each, _ in commit.jobs]

    def test_ends_go_before_starts(self) -> None:
        # Callers of ended jobs waited until the starts of all jobs before them were stored.
        starts = [self.changed() for _ in range(JOBS_PER_WRITE)]
        ends = [self.changed(ended=True) for _ in range(JOBS_PER_WRITE)]
        whole = [self.changed(final=True) for _ in range(JOBS_PER_WRITE)]
        expected = [starts[0], *whole[:-1], starts[1], whole[-1], *ends[:13], starts[2], *ends[13:]]
        expected += starts[3:15]
        self.assertEqual(self.next_writes(), expected)

    def test_an_end_that_is_stored_has_no_precedence(self) -> None:
        stored = self.changed(ended=True)
        self.assertEqual(self.next_writes(), [stored])
        self.changed()
        self.state.mark_changed(stored)
        end = self.changed(ended=True)
        self.assertEqual(self.next_writes()[1:], [end, stored])

    def test_a_start_is_written_while_more_jobs_end_than_can_be_stored(self) -> None:
        # Ends that always go first would keep a job from starting for as long as they last.
        for _ in range(4 * JOBS_PER_WRITE):
            self.changed(final=True)
        start = self.changed()
        for _ in range(4 * JOBS_PER_WRITE):
            if start in self.next_writes():
                return
            for _ in range(3 * JOBS_PER_WRITE):
                self.changed(final=True)
        self.fail("the start was not written")

    # Guards against a record that never says that the runs of a quiet job are settled.
    def test_a_job_with_settled_runs_is_written_once_after_a_while(self) -> None:
        quiet = self.changed()
        self.assertEqual(self.next_writes(), [quiet])
        self.state.settled_jobs[quiet.spec.job_id] = self.clock.monotonic_s()
        self.assertEqual(self.next_writes(), [])
        self.clock.advance(const.SETTLED_WRITE_DELAY_S)
        self.assertEqual(self.next_writes(), [quiet])
        self.clock.advance(const.SETTLED_WRITE_DELAY_S)
        self.assertEqual(self.next_writes(), [])

    def test_a_job_that_is_written_anyway_is_not_written_for_its_settled_runs(self) -> None:
        settled = self.changed()
        self.state.settled_jobs[settled.spec.job_id] = self.clock.monotonic_s()
        self.assertEqual(self.next_writes(), [settled])
        self.clock.advance(const.SETTLED_WRITE_DELAY_S)
        self.assertEqual(self.next_writes(), [])

    # Guards against a write of a record that is being removed as its job has ended.
    def test_a_job_that_has_ended_is_not_written_for_its_settled_runs(self) -> None:
        ended = self.changed(final=True)
        self.next_writes()
        self.state.settled_jobs[ended.spec.job_id] = self.clock.monotonic_s()
        self.clock.advance(const.SETTLED_WRITE_DELAY_S)
        self.assertEqual(self.next_writes(), [])

    # Guards against writes for settled runs that delay those of other jobs.
    def test_settled_runs_fill_up_writes_and_wait_while_many_jobs_have_changed(self) -> None:
        quiet = [self.changed() for _ in range(JOBS_PER_WRITE)]
        self.next_writes()
        for each in quiet:
            self.state.settled_jobs[each.spec.job_id] = self.clock.monotonic_s()
        self.clock.advance(const.SETTLED_WRITE_DELAY_S)
        changed = [self.changed() for _ in range(JOBS_PER_WRITE)]
        self.assertEqual(self.next_writes(), changed)
        other = self.changed()
        self.assertEqual(self.next_writes(), [other, *quiet[:-1]])


if __name__ == "__main__":
    unittest.main()

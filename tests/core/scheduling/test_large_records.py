"""Jobs whose progress is large, against a store that rejects values above a limit."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.core.scheduling.common import POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Resources, Step
from toucandoor.core.jobs.records import PROGRESS_PREFIX, progress_key
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling import const
from toucandoor.exceptions import StoreRejectedError
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec, TaskKey
    from toucandoor.ids import JobId, WorkerId

SMALL = Resources(2, 4, 0)
CAPACITY = Resources(64_000, 64_000, 0)
VALUE_BYTES_MAX = 16_000
TASKS = 1500
"""Tasks of a job whose progress has several times that size if all of them run at once."""


def ends_after_1s(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    return TaskBehaviour(SMALL, 1.0)


class LargeRecordsTest(unittest.TestCase):
    """A job whose record could become too large harms no other job, and ends itself."""

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), ends_after_1s)
        self.fleet.records.value_bytes_max = VALUE_BYTES_MAX
        self.fleet.value_bytes_max = VALUE_BYTES_MAX
        self.largest_bytes: dict[str, int] = {}
        self.rejected: list[float] = []
        write = self.fleet.records.write

        def observed_write(transaction: Transaction) -> int:
            try:
                revision = write(transaction)
            except StoreRejectedError:
                self.rejected.append(self.now_s)
                raise
            for key, value in transaction.writes.items():
                self.largest_bytes[key] = max(self.largest_bytes.get(key, 0), len(value))
            return revision

        self.fleet.records.write = observed_write  # type: ignore[method-assign]
        for number in range(2):
            self.fleet.boot(f"w{number}", POOL, CAPACITY)
        self.fleet.take_over()

    @property
    def now_s(self) -> float:
        return self.fleet.clock.monotonic_s()

    def submit_large_and_small(self) -> tuple[JobSpec, list[JobSpec]]:
        large = job(1000, Step(TASKS, SMALL, 1000))
        small = [job(number, Step(4, SMALL, 1000)) for number in range(1, 7)]
        for spec in (large, *small):
            self.fleet.submit(spec)
        return large, small

    def assert_completed(self, *specs: JobSpec) -> None:
        for spec in specs:
            self.assertIs(self.fleet.state(spec.job_id), JobState.COMPLETED, spec.job_id)
        self.assertEqual(self.fleet.observations.violations, [])

    # Guards against a job that never begins, and blocks others, as its progress is too large.
    def test_a_job_with_more_tasks_than_a_record_has_room_for_runs_them_in_turn(self) -> None:
        large, small = self.submit_large_and_small()
        self.fleet.run(3.0)
        self.assert_completed(*small)
        self.fleet.run(40.0)
        self.assert_completed(large)
        self.assertEqual(self.rejected, [])
        self.assertEqual(self.fleet.observations.starts, TASKS + 24)
        self.assertGreater(self.largest_bytes[progress_key(large.job_id)], VALUE_BYTES_MAX / 8)

    def test_a_new_owner_goes_on_with_a_large_job(self) -> None:
        large, small = self.submit_large_and_small()
        for _ in range(5):
            self.fleet.run(1.7)
            self.fleet.take_over()
        self.fleet.run(40.0)
        self.assert_completed(large, *small)
        self.assertEqual(self.rejected, [])
        self.assertEqual(self.fleet.observations.starts, TASKS + 24)

    def test_a_limit_that_the_settings_do_not_name_delays_only_the_large_job(self) -> None:
        self.fleet.value_bytes_max = 1024 * 1024
        self.fleet.take_over()
        with self.assertLogs("toucandoor.core.scheduling.progress_writer", "ERROR") as logs:
            large, small = self.submit_large_and_small()
            self.fleet.run(3.0)
            self.assert_completed(*small)
            self.fleet.run(120.0)
        self.assert_completed(large)
        self.assertIn(f"the store rejects the record of {large.job_id}", logs.output[0])
        self.assertEqual(self.fleet.scheduler.unwritable_jobs, 0)

    # Guards against a write that is rejected for good and repeated without end, with other jobs.
    def test_a_record_that_is_never_accepted_is_written_alone_and_ever_more_rarely(self) -> None:
        refused = job(500)
        self.reject_record_of(refused.job_id)
        others = [job(number, Step(4, SMALL, 1000)) for number in range(1, 40)]
        with self.assertLogs("toucandoor.core.scheduling.progress_writer", "ERROR"):
            for spec in (*others[:20], refused, *others[20:]):
                self.fleet.submit(spec)
            self.fleet.run(3.0)
            self.assert_completed(*others)
            self.assertEqual(self.fleet.scheduler.unwritable_jobs, 1)
            before = len(self.rejected)
            self.assertLess(before, 12)
            self.fleet.run(120.0)
        self.assertLess(len(self.rejected) - before, 12)
        self.assertEqual(self.fleet.observations.running.get(refused.job_id), None)
        later = job(600)
        self.fleet.submit(later)
        self.fleet.run(3.0)
        self.assert_completed(later)

    def reject_record_of(self, job_id: JobId) -> None:
        write = self.fleet.records.write

        def rejecting_write(transaction: Transaction) -> int:
            if progress_key(job_id) in transaction.writes:
                self.rejected.append(self.now_s)
                raise StoreRejectedError("invalid", step="write")
            return write(transaction)

        self.fleet.records.write = rejecting_write  # type: ignore[method-assign]

    def test_records_of_jobs_with_many_occurrences_stay_small(self) -> None:
        occurrences = 2000
        repeated = job(
            1,
            Step(1, SMALL, 10),
            occurrences=occurrences,
            first_due_unix_ms=int(self.fleet.clock.now().timestamp() * 1000),
        )
        self.fleet.submit(repeated)
        for _ in range(4):
            self.fleet.run(520.0)
            self.fleet.take_over()
        self.assert_completed(repeated)
        self.assertEqual(self.fleet.observations.starts, occurrences)
        self.assertEqual(self.rejected, [])
        self.assertLess(self.largest_bytes[progress_key(repeated.job_id)], VALUE_BYTES_MAX / 8)

    # Guards against a job whose thousands of due occurrences slow down each placement.
    def test_a_job_that_is_handed_in_late_has_few_occurrences_open_at_once(self) -> None:
        occurrences = 1500
        late = job(1, Step(1, SMALL, 10), occurrences=occurrences, first_due_unix_ms=1)
        other = job(2)
        self.fleet.submit(late)
        self.fleet.submit(other)
        self.fleet.run(0.05)
        self.assertLessEqual(
            len(self.fleet.scheduler.state.waiting_steps), const.OPEN_OCCURRENCES_MAX + 1
        )
        for _ in range(4):
            self.fleet.run(3.0)
            self.fleet.take_over()
        self.assert_completed(other)
        self.fleet.run(20.0)
        self.assert_completed(late)
        self.assertEqual(self.fleet.observations.starts, occurrences + 3)

    def test_a_write_has_no_more_jobs_than_one_value_has_room_for(self) -> None:
        for number in range(1, 30):
            self.fleet.submit(job(number, Step(60, SMALL, 1000)))
        sizes: list[int] = []
        write = self.fleet.records.write

        def measured_write(transaction: Transaction) -> int:
            records = [each for each in transaction.writes if each.startswith(PROGRESS_PREFIX)]
            if len(records) > 1:
                sizes.append(sum(len(transaction.writes[each]) for each in records))
            return write(transaction)

        self.fleet.records.write = measured_write  # type: ignore[method-assign]
        self.fleet.run(20.0)
        self.assertLessEqual(max(sizes), VALUE_BYTES_MAX)
        self.assertEqual(self.rejected, [])


if __name__ == "__main__":
    unittest.main()

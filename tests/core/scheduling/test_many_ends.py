"""Servers on which more runs have ended than one status report lists."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.core.scheduling.common import POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Resources, Step
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.ids import WorkerId

SMALL = Resources(100, 100, 0)
CAPACITY = Resources(64_000, 64_000, 0)
JOBS, TASKS_PER_JOB = 26, 24
TASKS = JOBS * TASKS_PER_JOB
"""More than a status report lists, all on one server."""
OUTAGE_S = 4.5


def ends_after_2s(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    return TaskBehaviour(SMALL, 2.0)


class ManyEndsTest(unittest.TestCase):
    """Each task runs once, though its end is not in the first report after it."""

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), ends_after_2s)
        self.fleet.boot("w0", POOL, CAPACITY)
        self.fleet.boot("w1", POOL, CAPACITY)
        self.fleet.take_over()
        self.specs = [job(number, Step(TASKS_PER_JOB, SMALL, 2000)) for number in range(1, 27)]
        for spec in self.specs:
            self.fleet.submit(spec)
        self.fleet.run(1.5)
        self.assertEqual(self.fleet.observations.starts, TASKS)

    def assert_each_task_has_run_once(self) -> None:
        self.fleet.run(30.0)
        self.assertEqual(self.fleet.observations.violations, [])
        self.assertEqual(self.fleet.observations.starts, TASKS)
        for spec in self.specs:
            self.assertIs(self.fleet.state(spec.job_id), JobState.COMPLETED)

    # Guards against a run that counts as gone, as its end is beyond the limit of a status report.
    def test_ends_during_an_outage_of_the_store_start_no_task_again(self) -> None:
        self.fleet.make_store_unavailable(OUTAGE_S)
        self.fleet.run(OUTAGE_S)
        self.assert_each_task_has_run_once()

    def test_a_new_owner_starts_no_task_again_that_has_ended_before(self) -> None:
        owner = self.fleet.owner
        assert owner is not None
        owner.alive = False
        self.fleet.run(OUTAGE_S)
        with self.assertLogs("toucandoor.core.scheduling.run_ends", "INFO") as logs:
            self.fleet.take_over()
            self.assert_each_task_has_run_once()
        self.assertTrue(any("lists only its first ended runs" in line for line in logs.output))

    def test_a_run_that_the_server_never_had_is_planned_again_after_the_last_report(self) -> None:
        # Its start is lost, so that no report will ever contain it.
        owner = self.fleet.owner
        assert owner is not None
        extra = job(100, Step(1, SMALL, 2000))
        self.fleet.submit(extra)
        self.fleet.run(0.02)
        task = next(iter(owner.scheduler.jobs[extra.job_id].steps.values())).tasks[0]
        (run,) = task.runs
        owner.alive = False
        self.fleet.workers[run.worker.entry.worker_id].runs.pop(run.key, None)
        self.fleet.run(OUTAGE_S)
        self.fleet.take_over()
        self.fleet.run(30.0)
        self.assertIs(self.fleet.state(extra.job_id), JobState.COMPLETED)
        for spec in self.specs:
            self.assertIs(self.fleet.state(spec.job_id), JobState.COMPLETED)


if __name__ == "__main__":
    unittest.main()

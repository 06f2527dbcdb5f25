"""Tasks in the leftovers give way to tasks that serve users, and get their speed back."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import CAPACITY, NEEDS, job
from toucandoor.core.jobs.models import Step, TaskKey
from toucandoor.core.scheduling.pacing import SLOWED_PERCENT, needs_close_look, plan_paces
from toucandoor.core.scheduling.progress import Task
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import RunKey, WorkerEntry
from toucandoor.ids import DataCentreId, PoolId, WorkerId


class PacingTest(unittest.TestCase):
    """One server with one task of each sort."""

    def setUp(self) -> None:
        entry = WorkerEntry(
            WorkerId("w"), PoolId("p"), "w:1", DataCentreId("d"), CAPACITY, ("a", "r"), False, 1
        )
        self.worker = WorkerView(entry)
        serves = Step(1, NEEDS, long_running=True, tail_target_ms=100)
        fills = Step(1, NEEDS, uses_leftovers=True)
        self.serving = self.run_of(serves, 1)
        self.filling = self.run_of(fills, 2)

    def run_of(self, step: Step, number: int) -> Run:
        key = TaskKey(job(number).job_id, 0, 0, 0)
        run = Run(RunKey(key, 1), Task(key, step), self.worker, RunState.RUNNING, 0.0)
        self.worker.add(run)
        return run

    def look(self, tail_ms: int, now_s: float) -> int | None:
        self.serving.recent = tail_ms
        paces = plan_paces(self.worker, now_s)
        if self.filling not in paces:
            return None
        self.worker.paced_s = now_s
        self.filling.pace_percent = paces[self.filling]
        return self.filling.pace_percent

    def test_over_target_is_slowed_then_stopped_within_the_allowed_time(self) -> None:
        self.assertTrue(needs_close_look(self.worker))
        self.assertEqual(self.look(150, 1.0), SLOWED_PERCENT)
        self.assertIsNone(self.look(150, 1.2))
        self.assertEqual(self.look(150, 1.6), 0)

    def test_speed_comes_back_only_well_below_target(self) -> None:
        self.look(150, 1.0)
        self.assertIsNone(self.look(90, 2.0))
        self.assertEqual(self.look(50, 3.0), SLOWED_PERCENT + 20)

    def test_nothing_is_slowed_without_a_reason(self) -> None:
        self.assertIsNone(self.look(90, 1.0))

    def test_leftovers_take_no_processor_of_the_room(self) -> None:
        self.assertEqual(self.worker.used.cpu_millicores, NEEDS.cpu_millicores)


if __name__ == "__main__":
    unittest.main()

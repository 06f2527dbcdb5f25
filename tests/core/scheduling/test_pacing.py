"""Best-effort tasks are slowed down for latency-sensitive tasks, and get their speed back."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import CAPACITY, NEEDS, job
from toucandoor.core.jobs.models import Step, TaskKey
from toucandoor.core.scheduling.pacing import (
    REDUCED_SPEED_PERCENT,
    needs_short_heartbeats,
    plan_speed_limits,
)
from toucandoor.core.scheduling.progress import Task
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import RunKey, WorkerEntry
from toucandoor.ids import DataCentreId, PoolId, WorkerId


class PacingTest(unittest.TestCase):
    """One backend server with a latency-sensitive run and a best-effort run."""

    def setUp(self) -> None:
        entry = WorkerEntry(
            WorkerId("w"), PoolId("p"), "w:1", DataCentreId("d"), CAPACITY, ("a", "r"), False, 1
        )
        self.worker = WorkerView(entry)
        latency_sensitive = Step(1, NEEDS, long_running=True, tail_target_ms=100)
        best_effort = Step(1, NEEDS, uses_leftovers=True)
        self.latency_sensitive_run = self.add_run(latency_sensitive, 1)
        self.best_effort_run = self.add_run(best_effort, 2)

    def add_run(self, step: Step, number: int) -> Run:
        key = TaskKey(job(number).job_id, 0, 0, 0)
        run = Run(RunKey(key, 1), Task(key, step), self.worker, RunState.RUNNING, 0.0)
        self.worker.add(run)
        return run

    def plan_limit(self, tail_ms: int, now_s: float) -> int | None:
        self.latency_sensitive_run.recent_metric = tail_ms
        limits = plan_speed_limits(self.worker, now_s)
        if self.best_effort_run not in limits:
            return None
        self.worker.speed_limited_s = now_s
        self.best_effort_run.speed_limit_percent = limits[self.best_effort_run]
        return self.best_effort_run.speed_limit_percent

    def test_over_target_is_slowed_then_stopped_within_the_allowed_time(self) -> None:
        self.assertTrue(needs_short_heartbeats(self.worker))
        self.assertEqual(self.plan_limit(150, 1.0), REDUCED_SPEED_PERCENT)
        self.assertIsNone(self.plan_limit(150, 1.2))
        self.assertEqual(self.plan_limit(150, 1.6), 0)

    def test_speed_is_raised_only_well_below_target(self) -> None:
        self.plan_limit(150, 1.0)
        self.assertIsNone(self.plan_limit(90, 2.0))
        self.assertEqual(self.plan_limit(50, 3.0), REDUCED_SPEED_PERCENT + 20)

    def test_nothing_is_slowed_without_a_reason(self) -> None:
        self.assertIsNone(self.plan_limit(90, 1.0))

    def test_best_effort_tasks_reserve_no_processor(self) -> None:
        self.assertEqual(self.worker.used.cpu_millicores, NEEDS.cpu_millicores)


if __name__ == "__main__":
    unittest.main()

"""Tasks that crash each backend server that starts them, and tasks that only run beside them."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Step, TaskKey
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import JobId, WorkerId

CRASH_AFTER_S = 0.01
BACK_AFTER_S = 3.3
RACKS = 3
STARTS_MAX = 5
"""Starts of a task that crashes its servers: three, and two after three servers have crashed."""


class CrashingFleet(VirtualFleet):
    """A fleet in which the first task of some jobs crashes each server that starts it.

    Attributes:
        crashing: Jobs with such a task.
        task_starts: Number of starts of each task.
        back_after_s: Time after which a crashed server starts again; None if it stays away.
    """

    def __init__(self, workers: int = 6) -> None:
        super().__init__(configuration(), self._behave)
        self.crashing: set[JobId] = set()
        self.task_starts: dict[TaskKey, int] = {}
        self.back_after_s: float | None = BACK_AFTER_S
        for number in range(workers):
            self.boot_number(number)
        self.take_over()

    def boot_number(self, number: int) -> None:
        self.boot(f"w{number}", POOL, CAPACITY, labels=("a", f"r{number % RACKS}"))

    def crashes(self, task: TaskKey) -> bool:
        return task.job_id in self.crashing and task.number == 0

    def _behave(self, task: TaskKey, worker: WorkerId) -> TaskBehaviour:
        self.task_starts[task] = self.task_starts.get(task, 0) + 1
        if self.crashes(task):
            self.schedule(CRASH_AFTER_S, lambda: self._crash(worker))
        return TaskBehaviour(NEEDS, 1.0)

    def _crash(self, worker: WorkerId) -> None:
        self.crash(worker)
        if self.back_after_s is not None:
            number = int(worker.removeprefix("w"))
            self.schedule(self.back_after_s, lambda: self.boot_number(number))


class ServerCrashesTest(unittest.TestCase):
    def assert_given_up(self, virtual: CrashingFleet, job_id: JobId) -> None:
        starts = virtual.task_starts[TaskKey(job_id, 0, 0, 0)]
        self.assertLessEqual(starts, STARTS_MAX)
        self.assertEqual(virtual.state(job_id), JobState.FAILED)
        self.assertEqual(virtual.observations.violations, [])

    # Guards against a task that crashes one server after the other, for as long as its job is open.
    def test_a_task_that_crashes_its_servers_is_given_up(self) -> None:
        virtual = CrashingFleet()
        crashing = job(1, Step(2, NEEDS, estimate_ms=1000))
        others = [job(number) for number in range(2, 8)]
        virtual.crashing.add(crashing.job_id)
        for each in [crashing, *others]:
            virtual.submit(each)
        virtual.run(60.0)
        self.assert_given_up(virtual, crashing.job_id)
        states = [virtual.state(each.job_id) for each in others]
        self.assertEqual(states, [JobState.COMPLETED] * len(others))


if __name__ == "__main__":
    unittest.main()

"""Peaks of one queue on a virtual fleet that gets the VMs that its pool wants, and returns them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.pools.lending import RETURN_AFTER_S, wanted_vms
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.ids import JobId, WorkerId

LEAD_S = 2.0
TICK_S = 0.2
PEAK_S = 6.0
JOBS_PER_TICK = 3
TASKS = 4
RUN_S = 1.5
TAIL_RATIO = 7.0
VMS_MIN = 3

EstimateRatio = Callable[[random.Random, float], float] if TYPE_CHECKING else object
"""Returns the ratio of a job's estimate to its usual run time, at a time in seconds."""


class Peaks:
    """Runs peaks of some seconds, each followed by as long a time without jobs.

    Attributes:
        fleet: The fleet.
        vm_s: Time of VMs in the pool.
        waited_s: Time for which tasks waited, in seconds, summed over tasks.
    """

    def __init__(
        self,
        estimate_ratio: EstimateRatio,
        run_times: RunTimeModel | None,
        tail_part: float = 0.0,
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        self._estimate_ratio = estimate_ratio
        self._tail_part = tail_part
        self._run_s: dict[JobId, float] = {}
        self.fleet = VirtualFleet(configuration(), self._behaviour)
        self.fleet.run_times = run_times
        self._booted = 0
        self._coming = 0
        self._surplus_s = 0.0
        self.vm_s = self.waited_s = 0.0
        for _ in range(VMS_MIN):
            self._boot()
        self.fleet.take_over()

    def _behaviour(self, task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
        rng = random.Random(f"{task.job_id}/{task.number}")
        tail = TAIL_RATIO if rng.random() < self._tail_part else 1.0
        return TaskBehaviour(NEEDS, self._run_s[task.job_id] * rng.uniform(0.9, 1.1) * tail)

    def run(self, peaks: int) -> None:
        """Run some peaks, and check that all jobs are completed."""
        number = 0
        for peak in range(peaks):
            for tick in range(int(2 * PEAK_S / TICK_S)):
                if tick * TICK_S < PEAK_S:
                    for _ in range(JOBS_PER_TICK):
                        self._submit(number, (peak * 2 * PEAK_S) + tick * TICK_S)
                        number += 1
                self.fleet.run(TICK_S)
                self._lend()
        self.fleet.run(40.0)
        states = {self.fleet.state(job_id) for job_id in self._run_s}
        assert states == {JobState.COMPLETED}, states

    def _submit(self, number: int, now_s: float) -> None:
        run_s = RUN_S * self._random.lognormvariate(0.0, 0.4)
        estimate_s = run_s * self._estimate_ratio(self._random, now_s)
        spec = job(number, Step(TASKS, NEEDS, estimate_ms=max(1, int(estimate_s * 1000))))
        accepted_ms = int(self.fleet.clock.now().timestamp() * 1000)
        spec = msgspec.structs.replace(spec, accepted_unix_ms=accepted_ms)
        self._run_s[spec.job_id] = run_s
        self.fleet.submit(spec)

    def _boot(self) -> None:
        self.fleet.boot(f"v{self._booted}", POOL, CAPACITY)
        self._booted += 1

    def _lend(self) -> None:
        scheduler = self.fleet.scheduler
        load = scheduler.pool_loads.current(LEAD_S).get(POOL)
        self.waited_s += (
            sum(
                task.waiting
                for job_id in scheduler.open_jobs
                for step in scheduler.jobs[job_id].steps.values()
                for task in step.tasks
            )
            * TICK_S
        )
        wanted = max(VMS_MIN, wanted_vms(load, CAPACITY))
        present = [each for each in scheduler.workers.values() if each.listed]
        self.vm_s += (len(present) + self._coming) * TICK_S
        missing = wanted - len(present) - self._coming
        for _ in range(missing):
            self._coming += 1
            self.fleet.schedule(LEAD_S, self._arrive)
        self._surplus_s = self._surplus_s + TICK_S if missing < 0 else 0.0
        if self._surplus_s > RETURN_AFTER_S:
            empty = [each for each in present if not each.runs and not each.uncommitted]
            for worker in empty[:-missing]:
                del self.fleet.workers[worker.entry.worker_id]
                scheduler.worker_unlisted(worker.entry.worker_id)

    def _arrive(self) -> None:
        self._coming -= 1
        self._boot()

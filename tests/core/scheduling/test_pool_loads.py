"""Load of a pool one of whose backend servers is slow."""

from __future__ import annotations

import unittest

from tests.core.failure_domains.common import rack_fleet
from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, job
from toucandoor.core.jobs.models import NO_RESOURCES, Step, TaskKey
from toucandoor.core.pools.lending import wanted_vms
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import WorkerId

LEAD_S = 2.0
SLOW = WorkerId("r0-0")
LASTING = job(6, Step(8, NEEDS, long_running=True, per_worker_max=2))


def behave(task: TaskKey, worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of tasks that take five times as long on one server."""
    if task.job_id == LASTING.job_id:
        return TaskBehaviour(NEEDS, float("inf"))
    return TaskBehaviour(NEEDS, 2.5 if worker == SLOW else 0.5)


class SlowServerTest(unittest.TestCase):
    """Guards against too few lent VMs, as a slow server counted as full capacity."""

    def loads(self, *, baseline: bool) -> tuple[PoolLoad, PoolLoad, PoolLoad]:
        """Return the load when idle, with a job for both servers, and with long-running tasks.

        Args:
            baseline: Whether the owner has no evidence on failure domains.
        """
        virtual = rack_fleet(racks=2, servers=1, behaviour=behave, baseline=baseline)
        assert virtual.owner is not None
        pool_loads = virtual.owner.scheduler.pool_loads
        for number in range(1, 5):
            virtual.submit(job(number, Step(8, NEEDS, estimate_ms=500)))
            virtual.run(3.0)
        idle = pool_loads.current(LEAD_S)[POOL]
        virtual.submit(job(5, Step(8, NEEDS, estimate_ms=500)))
        virtual.run(0.3)
        busy = pool_loads.current(LEAD_S)[POOL]
        virtual.run(3.0)
        virtual.submit(LASTING)
        virtual.run(0.3)
        return idle, busy, pool_loads.current(LEAD_S)[POOL]

    def test_other_vms_are_wanted_in_its_place(self) -> None:
        idle, busy, lasting = self.loads(baseline=False)
        self.assertEqual((idle.unusable, wanted_vms(idle, CAPACITY)), (CAPACITY, 0))
        # It has one run, which outlasts the lead time there; three tasks wait.
        self.assertEqual((busy.later, busy.unusable), (NEEDS, CAPACITY - NEEDS))
        self.assertEqual((busy.waiting, wanted_vms(busy, CAPACITY)), (NEEDS.times(3), 4))
        # It has no room for a second task, so three servers are missing for five.
        self.assertEqual((lasting.unusable, lasting.spread_workers_min), (CAPACITY - NEEDS, 5))

    def test_without_evidence_it_counts_like_others(self) -> None:
        idle, busy, lasting = self.loads(baseline=True)
        self.assertEqual((idle.unusable, wanted_vms(idle, CAPACITY)), (NO_RESOURCES, 0))
        self.assertEqual((busy.later, busy.unusable), (NO_RESOURCES, NO_RESOURCES))
        self.assertEqual((busy.waiting, wanted_vms(busy, CAPACITY)), (NO_RESOURCES, 2))
        self.assertEqual((lasting.unusable, lasting.spread_workers_min), (NO_RESOURCES, 4))


if __name__ == "__main__":
    unittest.main()

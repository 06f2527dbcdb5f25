"""Demand of arriving jobs at the time when a VM that is moved now gets tasks."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import NEEDS, POOL, fleet, job
from toucandoor.core.jobs.models import Resources, Step
from toucandoor.core.pools.lending import wanted_vms
from toucandoor.core.scheduling.arrivals import Arrival
from toucandoor.fakes.virtual_platform import TaskBehaviour

LEAD_S = 2.0


class ArrivalTest(unittest.TestCase):
    """Capacity that one job a second needs some seconds after the first."""

    def test_short_jobs_need_their_work_each_second(self) -> None:
        arrival = Arrival.of_job(0.0, POOL, job(1, Step(3, NEEDS, estimate_ms=1000)))
        self.assertEqual(arrival.needed_after(LEAD_S), NEEDS.times(3))

    def test_of_long_jobs_only_those_that_have_arrived_by_then_run(self) -> None:
        """A job of eight seconds that came each second would need all of its work after eight."""
        arrival = Arrival.of_job(0.0, POOL, job(1, Step(1, NEEDS, estimate_ms=8000)))
        self.assertEqual(arrival.needed_after(LEAD_S), NEEDS.times(2))


class ShortPeakTest(unittest.TestCase):
    """A peak of some seconds, of jobs that take longer than a VM's move."""

    def test_vms_are_wanted_for_what_runs_when_they_arrive(self) -> None:
        """Guards against VMs for the whole work of each arriving job, most of them never used."""
        vm = Resources(8000, 16000, 0)
        virtual = fleet(workers=40, behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, 4.0))
        assert virtual.owner is not None
        scheduler = virtual.owner.scheduler
        number, running_max, wanted_max = 0, 0, 0
        for tenth in range(100):
            if tenth < 30:
                number += 1
                virtual.submit(
                    job(
                        number,
                        Step(1, NEEDS, estimate_ms=4000),
                        Step(1, NEEDS, estimate_ms=4000, after=(0,)),
                    )
                )
            virtual.run(0.1)
            wanted = wanted_vms(scheduler.loads(LEAD_S).get(POOL), vm)
            wanted_max = max(wanted_max, wanted)
            running = sum(map(len, virtual.observations.running.values()))
            running_max = max(running_max, -(-running * NEEDS.cpu_millicores // vm.cpu_millicores))
        self.assertGreaterEqual(wanted_max, running_max)
        self.assertLessEqual(wanted_max, 2 * running_max)

    def test_runs_that_will_have_ended_want_no_vm(self) -> None:
        virtual = fleet(workers=4)
        virtual.submit(job(1, Step(8, NEEDS, estimate_ms=1000)))
        virtual.run(0.5)
        assert virtual.owner is not None
        load = virtual.owner.scheduler.loads(LEAD_S)[POOL]
        self.assertEqual(load.finite, NEEDS.times(8))
        self.assertEqual(load.later, Resources())


if __name__ == "__main__":
    unittest.main()

"""Demand of arriving jobs at the time when a VM that is moved now gets tasks."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import NEEDS, POOL, fleet, job, never_ends
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
            wanted = wanted_vms(scheduler.pool_loads.current(LEAD_S).get(POOL), vm)
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
        load = virtual.owner.scheduler.pool_loads.current(LEAD_S)[POOL]
        self.assertEqual(load.finite, NEEDS.times(8))
        self.assertEqual(load.later, Resources())


class SpreadTest(unittest.TestCase):
    """Tasks of a step that may not share a backend server, beside others that have filled some."""

    def test_tasks_that_fit_on_no_present_server_want_more_vms(self) -> None:
        """Guards against watchers that wait although other VMs could be had.

        The servers have room for them in all, but the others were placed on the fullest ones first.
        """
        vm = Resources(8000, 16000, 0)
        behaviour = TaskBehaviour(NEEDS, 60.0)
        virtual = fleet(workers=4, behaviour=lambda _task, _worker: behaviour)
        virtual.submit(job(1, Step(8, NEEDS, long_running=True)))
        virtual.run(1.0)
        virtual.submit(job(2, Step(4, NEEDS, long_running=True, per_worker_max=1)))
        virtual.run(1.0)
        assert virtual.owner is not None
        load = virtual.owner.scheduler.pool_loads.current(LEAD_S)[POOL]
        self.assertEqual(load.waiting, NEEDS.times(2))
        self.assertGreaterEqual(wanted_vms(load, vm), 4 + 2)

    def test_tasks_that_more_vms_do_not_help_want_none(self) -> None:
        """Otherwise a pool would take all VMs for tasks that can never be placed."""
        large = Resources(9000, 1000, 0)
        cases = {
            "too large for a server": (Step(4, large, long_running=True, per_worker_max=1), {}),
            "a label that no server has": (
                Step(4, NEEDS, long_running=True, per_worker_max=1, required_label="x"),
                {},
            ),
            "the team's ceiling": (
                Step(4, NEEDS, long_running=True, per_worker_max=1),
                {"ceiling": NEEDS},
            ),
        }
        for name, (step, options) in cases.items():
            with self.subTest(reason=name):
                virtual = fleet(workers=2, behaviour=never_ends, **options)
                virtual.submit(job(1, step))
                virtual.run(1.0)
                assert virtual.owner is not None
                load = virtual.owner.scheduler.pool_loads.current(LEAD_S)[POOL]
                self.assertEqual(load.spread_workers_min, 4)


if __name__ == "__main__":
    unittest.main()

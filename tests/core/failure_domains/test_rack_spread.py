"""Spread of long-running tasks over racks."""

from __future__ import annotations

import unittest
from collections import Counter

from tests.core.failure_domains.common import rack_fleet, set_reachable
from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, job, never_ends
from toucandoor.core.jobs.models import Step
from toucandoor.fakes.virtual_fleet import VirtualFleet


def tasks_by_rack(virtual: VirtualFleet) -> Counter[str]:
    """Return the number of running tasks on each rack."""
    for boot in virtual.observations.boots:
        boot.update()
    return Counter(
        virtual.workers[worker_id].entry.rack
        for where in virtual.observations.running.values()
        for worker_id in where
    )


class RackSpreadTest(unittest.TestCase):
    """The loss of a rack must not cost more tasks than the step's promise allows."""

    def test_a_rack_gets_no_more_tasks_than_may_be_unavailable(self) -> None:
        for promised, most in ((2, 2), (1, 2), (0, 2), (None, 8)):
            virtual = rack_fleet(behaviour=never_ends)
            step = Step(8, NEEDS, long_running=True, unavailable_max=promised)
            virtual.submit(job(1, step))
            virtual.run(1.0)
            found = tasks_by_rack(virtual)
            self.assertEqual(sum(found.values()), 8)
            self.assertLessEqual(max(found.values()), most, promised)
            if promised is None:
                self.assertEqual(max(found.values()), 8)  # steps without a promise stay together

    def test_a_full_rack_is_used_where_the_others_have_no_room(self) -> None:
        """Guards against tasks that wait for a spread that the capacity does not allow."""
        virtual = rack_fleet(racks=2, servers=1, behaviour=never_ends)
        virtual.submit(job(1, Step(8, NEEDS, long_running=True, unavailable_max=1)))
        virtual.run(1.0)
        self.assertEqual(tasks_by_rack(virtual), {"r0": 4, "r1": 4})

    def test_tasks_that_leave_a_lost_rack_keep_to_the_spread(self) -> None:
        virtual = rack_fleet(behaviour=never_ends)
        virtual.submit(job(1, Step(6, NEEDS, long_running=True, unavailable_max=2)))
        virtual.run(1.0)
        lost = max(tasks_by_rack(virtual))
        set_reachable(virtual, lost, reachable=False)
        virtual.run(12.0)
        found = tasks_by_rack(virtual)
        self.assertEqual(sum(found.values()), 6)
        self.assertLessEqual(max(found.values()), 2)
        self.assertEqual(found[lost], 0)

    def test_servers_without_a_rack_are_never_full(self) -> None:
        virtual = rack_fleet(racks=0, behaviour=never_ends)
        for number in range(4):
            virtual.boot(f"w{number}", POOL, CAPACITY, labels=("a",))
        virtual.run(0.1)
        virtual.submit(job(1, Step(8, NEEDS, long_running=True, unavailable_max=1)))
        virtual.run(1.0)
        running = virtual.observations.running.values()
        self.assertEqual(len({each for where in running for each in where}), 2)

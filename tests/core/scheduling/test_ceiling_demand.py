"""Demand of teams at their ceilings, for which no VM may be lent."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import NEEDS, POOL, TEAM, fleet, job
from toucandoor.core.jobs.models import NO_RESOURCES, Resources, Step
from toucandoor.core.pools.lending import wanted_vms
from toucandoor.core.scheduling.ceiling_demand import CeilingDemand
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import TeamId

LEAD_S = 2.0
VM = Resources(8000, 16000, 0)
OPEN_TEAM = TeamId("open")


def demand(used: Resources, ceiling: Resources) -> CeilingDemand:
    """Return the demand of a team with a ceiling, beside teams without one."""
    return CeilingDemand(lambda team: ceiling if team == TEAM else None, lambda _team: used)


class CeilingDemandTest(unittest.TestCase):
    def test_running_then_waiting_then_arriving_tasks_fill_the_ceiling(self) -> None:
        """Guards against demand beyond the ceiling, also where each part of it is within it."""
        made = demand(NEEDS.times(4), NEEDS.times(10))
        made.add_ending(TEAM, NEEDS)
        made.add_waiting(TEAM, NEEDS.times(4))
        made.add_arriving(TEAM, NEEDS.times(20), NEEDS.times(12))
        self.assertEqual(made.waiting_ratios(), {TEAM: 1.0})
        self.assertEqual(made.arriving_ratios(), {TEAM: (0.5, 3 / 12)})

    def test_the_scarcest_resource_limits_and_an_unlimited_one_does_not(self) -> None:
        made = demand(NO_RESOURCES, Resources(0, 500, 0))
        made.add_waiting(TEAM, Resources(100_000, 2000, 0))
        self.assertEqual(made.waiting_ratios(), {TEAM: 0.25})

    def test_a_team_above_a_lowered_ceiling_has_no_room_and_others_are_not_limited(self) -> None:
        made = demand(NEEDS.times(4), NEEDS)
        for team in (TEAM, OPEN_TEAM):
            made.add_waiting(team, NEEDS)
        self.assertEqual(made.waiting_ratios(), {TEAM: 0.0})


class LendingTest(unittest.TestCase):
    """A team that sends far more than may run at once."""

    def wanted_max(self, ceiling: Resources) -> int:
        """Return the most VMs wanted during a peak of one team."""
        virtual = fleet(4, lambda _task, _worker: TaskBehaviour(NEEDS, 4.0), ceiling=ceiling)
        assert virtual.owner is not None
        wanted = []
        for number in range(50):
            virtual.submit(job(number, Step(8, NEEDS, estimate_ms=4000)))
            virtual.run(0.1)
            wanted.append(
                wanted_vms(virtual.owner.scheduler.pool_loads.current(LEAD_S).get(POOL), VM)
            )
        return max(wanted)

    def test_no_vm_is_wanted_beyond_the_ceiling(self) -> None:
        """On deployment H, VMs were lent for tasks that waited for their team's ceiling."""
        self.assertLessEqual(self.wanted_max(NEEDS.times(12)), 4)
        self.assertGreater(self.wanted_max(NO_RESOURCES), 40)

    def test_vms_for_the_ceiling_are_wanted_while_earlier_tasks_end(self) -> None:
        """Guards against counting room as taken that is free when a moved VM gets tasks."""
        virtual = fleet(workers=4, ceiling=NEEDS.times(12))
        for number in range(10):
            virtual.submit(job(number, Step(8, NEEDS, estimate_ms=1000)))
        virtual.run(0.5)
        assert virtual.owner is not None
        load = virtual.owner.scheduler.pool_loads.current(LEAD_S)[POOL]
        self.assertEqual(load.finite, NEEDS.times(12))
        # Tasks of a step count by the part that fits, rounded down for each step.
        self.assertAlmostEqual(load.waiting.cpu_millicores, NEEDS.cpu_millicores * 12, delta=10)


if __name__ == "__main__":
    unittest.main()

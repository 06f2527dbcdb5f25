"""Sessions of a whole fleet, each with one fault that permits must survive."""

from __future__ import annotations

import unittest

from toucandoor.ids import DataCentreId, EntryId, TeamId
from toucandoor.measures._ceilings import CUT_OFF_GRACE_S, PermitWorld

NORTH, SOUTH = DataCentreId("north"), DataCentreId("south")
RED = TeamId("red")


def make_world(ceiling: int = 20) -> PermitWorld:
    world = PermitWorld({NORTH: 2, SOUTH: 2}, {RED: ceiling}, seed=1, step_s=0.25)
    world.run_s = lambda: 1000.0
    world.run(2)
    return world


class ReclaimTest(unittest.TestCase):
    def tearDown(self) -> None:
        self.assertEqual((self.world.overruns, self.world.conservation_breaches), (0, 0))

    def test_late_judgement_of_a_paused_coordinator(self) -> None:
        """South was judged gone, came back, and only then the judge goes on."""
        world = self.world = make_world()
        world.cut_or_heal(SOUTH)
        world.waiting[EntryId("south-0")][RED] = 30
        world.run(CUT_OFF_GRACE_S + 36)
        world.paused_coordinators.add(NORTH)
        world.run(5)
        world.cut_or_heal(SOUTH)
        world.run(5)
        self.assertGreater(world.running(RED), 15)
        world.paused_coordinators.clear()
        world.waiting[EntryId("north-0")][RED] = 30
        world.run(5)
        self.assertLessEqual(world.running(RED), 20)

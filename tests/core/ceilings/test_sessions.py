"""Sessions of a whole fleet with one kind of fault each, and the members' use of leases."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from toucandoor.core.ceilings.const import COORDINATOR_ID
from toucandoor.core.ceilings.coordinator import PermitCoordinator
from toucandoor.core.ceilings.entry import EntryPermits
from toucandoor.core.ceilings.ledger import total_permits
from toucandoor.core.ceilings.models import (
    Epoch,
    EpochStart,
    JoinRequest,
    LeaveNotice,
    Ledger,
    Member,
    PermitTransfer,
)
from toucandoor.core.leases.serving import FixedLease
from toucandoor.ids import AttemptId, DataCentreId, EntryId, IncarnationId, TeamId
from toucandoor.measures._ceilings import PermitWorld
from toucandoor.measures._ceilings_fakes import CUT_OFF_GRACE_S, Chaos

NORTH, SOUTH = DataCentreId("north"), DataCentreId("south")
RED = TeamId("red")


def make_world(ceiling: int = 20) -> PermitWorld:
    world = PermitWorld({NORTH: 2, SOUTH: 2}, {RED: ceiling}, seed=1, step_s=0.25)
    world.run_s = lambda: 1000.0
    world.run(2)
    return world


class WorldTest(unittest.TestCase):
    world: PermitWorld

    def tearDown(self) -> None:
        self.assertEqual((self.world.overruns, self.world.conservation_breaches), (0, 0))


class ReclaimTest(WorldTest):
    def test_killed_entry_with_long_tasks(self) -> None:
        """Guards against permits reclaimed while tasks of the killed entry still run.

        The tasks run until their leases expire, because nobody renews them.
        """
        world = self.world = make_world()
        world.waiting[EntryId("north-0")][RED] = 20
        world.run(3)
        world.restart_entry(world.entries[0])
        world.waiting[EntryId("north-1")][RED] = 30
        world.run(25)
        self.assertEqual(world.running(RED), 20)
        world.run(15)
        self.assertEqual(world.running(RED), 20)

    def test_late_judgement_of_a_paused_coordinator(self) -> None:
        """Guards against permits reclaimed from a data centre whose lease holds again.

        The coordinator of north is paused after it learned that south's lease expired, and goes
        on after south has come back.
        """
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

    def test_newer_incarnation_proves_the_earlier_dead(self) -> None:
        """Guards against permits of a dead incarnation that are never reclaimed.

        The coordinator that sees the newer incarnation join is replaced before the tasks end, and
        no expiry is reported.
        """
        world = self.world = make_world()
        world.report_gone = lambda: None
        world.waiting[EntryId("north-0")][RED] = 20
        world.run(3)
        world.restart_entry(world.entries[0])
        world.waiting[EntryId("north-1")][RED] = 30
        world.run(20)
        world.new_coordinator(NORTH)
        world.run(5)
        self.assertEqual(world.running(RED), 20)
        world.run(35)
        self.assertEqual(world.running(RED), 20)


class StormTest(WorldTest):
    """Demand moves between entries while messages, writes or coordinators fail.

    Guards against permits that are created on the way, which would let a team exceed its ceiling.
    """

    def run_storm(
        self, chaos: Chaos, act: Callable[[PermitWorld], None] = lambda world: None
    ) -> None:
        world = self.world = make_world()
        world.run_s = lambda: world.random.choice([0.3, 1.0, 4.0])
        world.chaos = chaos
        for turn in range(40):
            for index, fake in enumerate(world.entries):
                has_demand = index in (turn % 4, (turn + 1) % 4)
                world.waiting[fake.entry][RED] = 60 if has_demand else 0
            act(world)
            world.run(2)

    def test_doubled_messages(self) -> None:
        self.run_storm(Chaos(doubled_ratio=1.0, late_ratio=0.3))

    def test_lost_messages(self) -> None:
        self.run_storm(Chaos(lost_ratio=0.4), lambda world: world.new_coordinator(NORTH))

    def test_late_messages_of_an_earlier_epoch(self) -> None:
        self.run_storm(Chaos(late_ratio=0.5, late_s=4), lambda world: world.new_coordinator(NORTH))

    def test_late_writes(self) -> None:
        self.run_storm(Chaos(write_late_ratio=0.8, answer_lost_ratio=0.5))

    def test_two_coordinators_that_see_the_store(self) -> None:
        self.run_storm(Chaos(), lambda world: world.new_coordinator(NORTH, keep_former=True))

    def test_lowered_ceiling_is_reached(self) -> None:
        self.run_storm(
            Chaos(), lambda world: world.set_ceilings({RED: world.random.choice([3, 20])})
        )
        self.world.set_ceilings({RED: 4})
        self.world.run(10)
        self.assertEqual(total_permits(self.world.store.ledger, RED), 4)
        self.assertLessEqual(self.world.running(RED), 4)


class LeaseTest(unittest.TestCase):
    def test_no_permit_is_spent_after_lease_expiry_until_the_coordinator_confirms(self) -> None:
        lease = FixedLease(10.0)
        me = Member(EntryId("north-0"), IncarnationId(1))
        coordinator = Member(COORDINATOR_ID, IncarnationId(1))
        permits = EntryPermits(me, lease)
        epoch = Epoch(1, 0)
        permits.on_message(EpochStart(coordinator, epoch, [me], answer_to=1), 1.0)
        permits.on_message(PermitTransfer(coordinator, me, epoch, 1, {RED: 5}), 1.0)
        self.assertTrue(permits.acquire(RED, AttemptId("a"), 9.9))
        self.assertFalse(permits.acquire(RED, AttemptId("b"), 10.0))
        lease.until_s = 30.0
        self.assertFalse(permits.acquire(RED, AttemptId("c"), 12.0))
        permits.on_message(EpochStart(coordinator, epoch, [me], answer_to=1), 13.0)
        self.assertFalse(permits.acquire(RED, AttemptId("d"), 13.0))
        request = permits.tick(14.0)[0].message
        assert isinstance(request, JoinRequest)
        permits.on_message(EpochStart(coordinator, epoch, [me], request.question), 15.0)
        self.assertTrue(permits.acquire(RED, AttemptId("e"), 15.0))

    def test_a_member_that_left_is_a_pending_ledger_update(self) -> None:
        coordinator = PermitCoordinator(NORTH, "c", FixedLease(100.0))
        member = Member(EntryId("north-0"), IncarnationId(1))
        ledger, revision = Ledger(), 0

        def settle(now_s: float) -> None:
            nonlocal ledger, revision
            write = coordinator.tick(now_s).write
            if write is not None:
                ledger, revision = write.ledger, revision + 1
                coordinator.on_ledger(ledger, revision, now_s)

        coordinator.on_ledger(ledger, revision, 10.0)
        settle(10.0)
        coordinator.on_message(JoinRequest(member, 1, Epoch(0, 0)), 11.0)
        settle(11.0)
        self.assertIn(member, ledger.data_centres[NORTH].members)
        self.assertFalse(coordinator.has_pending_ledger_update)
        coordinator.on_message(LeaveNotice(member), 12.0)
        self.assertTrue(coordinator.has_pending_ledger_update)
        settle(12.0)
        settle(13.0)
        self.assertNotIn(member, ledger.data_centres[NORTH].members)
        self.assertFalse(coordinator.has_pending_ledger_update)

    def test_a_coordinator_without_a_lease_raises_no_term(self) -> None:
        lease = FixedLease(10.0)
        coordinator = PermitCoordinator(NORTH, "c", lease)
        coordinator.on_ledger(Ledger(), 0, 10.0)
        self.assertIsNone(coordinator.tick(10.0).write)
        lease.until_s = 30.0
        self.assertIsNotNone(coordinator.tick(11.0).write)

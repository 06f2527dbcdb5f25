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
from toucandoor.measures._ceilings import PermitSimulation
from toucandoor.measures._ceilings_fakes import (
    CUT_OFF_GRACE_S,
    ENTRY_LEASE_S,
    LEASE_EXPIRY_MARGIN_S,
    NetworkFaults,
)

NORTH, SOUTH = DataCentreId("north"), DataCentreId("south")
RED = TeamId("red")


def make_simulation(ceiling: int = 20, *, keeps_permits: bool = False) -> PermitSimulation:
    simulation = PermitSimulation(
        {NORTH: 2, SOUTH: 2}, {RED: ceiling}, seed=1, step_s=0.25, keeps_permits=keeps_permits
    )
    simulation.run_s = lambda: 1000.0
    simulation.run(2)
    return simulation


class SimulationTest(unittest.TestCase):
    simulation: PermitSimulation

    def tearDown(self) -> None:
        self.assertEqual((self.simulation.overruns, self.simulation.conservation_breaches), (0, 0))


class ReclaimTest(SimulationTest):
    def test_killed_entry_with_long_tasks(self) -> None:
        """Guards against permits reclaimed while tasks of the killed entry still run.

        The tasks run until their leases expire, because nobody renews them.
        """
        simulation = self.simulation = make_simulation()
        simulation.waiting[EntryId("north-0")][RED] = 20
        simulation.run(3)
        simulation.restart_entry(simulation.entries[0])
        simulation.waiting[EntryId("north-1")][RED] = 30
        simulation.run(25)
        self.assertEqual(simulation.running(RED), 20)
        simulation.run(15)
        self.assertEqual(simulation.running(RED), 20)

    def test_late_judgement_of_a_paused_coordinator(self) -> None:
        """Guards against permits reclaimed from a data centre whose lease holds again.

        The coordinator of north is paused after it learned that south's lease expired, and goes
        on after south has come back. Where data centres keep their permits, south's coordinator
        has gone on in its term, which does not void what north learned.
        """
        for keeps_permits in (False, True):
            with self.subTest(keeps_permits=keeps_permits):
                self.check_late_judgement(make_simulation(keeps_permits=keeps_permits))
                self.tearDown()

    def check_late_judgement(self, simulation: PermitSimulation) -> None:
        self.simulation = simulation
        simulation.toggle_partition(SOUTH)
        simulation.waiting[EntryId("south-0")][RED] = 30
        simulation.run(CUT_OFF_GRACE_S + 36)
        simulation.paused_coordinators.add(NORTH)
        simulation.run(5)
        simulation.toggle_partition(SOUTH)
        simulation.run(5)
        self.assertGreater(simulation.running(RED), 15)
        simulation.paused_coordinators.clear()
        simulation.waiting[EntryId("north-0")][RED] = 30
        simulation.run(5)
        self.assertLessEqual(simulation.running(RED), 20)

    def test_lapse_of_all_leases_while_the_store_is_away(self) -> None:
        """Guards against permits that stay unused after a lapse until the store is back."""
        simulation = self.simulation = make_simulation(keeps_permits=True)
        simulation.run_s = lambda: 1.0
        simulation.waiting[EntryId("north-0")][RED] = 30
        simulation.run(5)
        simulation.store.available = False
        simulation.paused_coordinators.add(NORTH)
        for fake in simulation.entries:
            fake.paused = True
        simulation.run(ENTRY_LEASE_S + LEASE_EXPIRY_MARGIN_S / 2)
        simulation.paused_coordinators.clear()
        for fake in simulation.entries:
            fake.paused = False
        simulation.run(3)
        simulation.waiting[EntryId("north-0")][RED] = 30
        simulation.run_s = lambda: 1000.0
        simulation.run(2)
        self.assertEqual(simulation.running(RED), 20)

    def test_newer_incarnation_proves_the_earlier_dead(self) -> None:
        """Guards against permits of a dead incarnation that are never reclaimed.

        The coordinator that sees the newer incarnation join is replaced before the tasks end, and
        no expiry is reported.
        """
        simulation = self.simulation = make_simulation()
        simulation.report_expired = lambda: None
        simulation.waiting[EntryId("north-0")][RED] = 20
        simulation.run(3)
        simulation.restart_entry(simulation.entries[0])
        simulation.waiting[EntryId("north-1")][RED] = 30
        simulation.run(20)
        simulation.start_coordinator(NORTH)
        simulation.run(5)
        self.assertEqual(simulation.running(RED), 20)
        simulation.run(35)
        self.assertEqual(simulation.running(RED), 20)


class LoanTest(SimulationTest):
    """An entry that restarts while the store is away borrows from the other of its data centre."""

    def start_loan(self) -> PermitSimulation:
        """Return a simulation in which north-1 has restarted and runs tasks on 20 lent permits."""
        simulation = self.simulation = make_simulation()
        simulation.run_s = lambda: 1.0
        simulation.waiting[EntryId("north-0")][RED] = 30
        simulation.run(5)
        self.assertEqual(simulation.held_by_team()[RED], 20)
        simulation.store.available = False
        simulation.run_s = lambda: 1000.0
        simulation.restart_entry(simulation.entries[1])
        simulation.waiting[EntryId("north-1")][RED] = 30
        simulation.run(8)
        self.assertEqual(simulation.running(RED), 20)
        return simulation

    def test_lender_ends_while_lent_permits_are_spent(self) -> None:
        """Guards against a borrower whose tasks go on after its lender's permits were reclaimed.

        The lender's successor is listed once the store returns, and gets the reclaimed permits.
        """
        for kill in (True, False):
            with self.subTest(kill=kill):
                simulation = self.start_loan()
                simulation.run(20)
                self.assertEqual(simulation.running(RED), 20)
                lender = next(e for e in simulation.entries if e.entry == "north-0")
                if kill:
                    simulation.restart_entry(lender)
                lender.paused = True
                simulation.run(10)
                simulation.store.available = True
                simulation.waiting[lender.entry][RED] = 30
                simulation.run(40)
                lender.paused = False
                simulation.run(10)
                self.assertEqual(simulation.running(RED), 20)
                self.tearDown()

    def test_paused_borrower_goes_on_after_its_loan_ended(self) -> None:
        """Guards against permits that lender and borrower both spend.

        The lender takes them back after the borrower's last task lease, while it is paused.
        """
        simulation = self.start_loan()
        borrower = next(e for e in simulation.entries if e.entry == "north-1")
        borrower.paused = True
        simulation.waiting[EntryId("north-0")][RED] = 30
        simulation.run(25)
        self.assertEqual(simulation.running(RED), 20)
        simulation.run(15)
        self.assertEqual(simulation.running(RED), 20)
        borrower.paused = False
        simulation.waiting[EntryId("north-1")][RED] = 30
        simulation.run(10)
        self.assertEqual(simulation.running(RED), 20)

    def test_borrower_returns_what_it_does_not_need_once_it_is_listed(self) -> None:
        """Guards against permits that stay lent, which nobody could use."""
        simulation = self.start_loan()
        simulation.store.available = True
        simulation.run(5)
        for fake in simulation.entries:
            for task in fake.tasks.values():
                task.end_s = simulation.now_s
        simulation.run(3)
        simulation.waiting[EntryId("south-0")][RED] = 30
        simulation.run(5)
        self.assertEqual(simulation.running(RED), 20)


class StormTest(SimulationTest):
    """Demand moves between entries while messages, writes or coordinators fail.

    Guards against permits that are created on the way, which would let a team exceed its ceiling.
    """

    def run_storm(
        self,
        faults: NetworkFaults,
        act: Callable[[PermitSimulation], None] = lambda simulation: None,
    ) -> None:
        simulation = self.simulation = make_simulation()
        simulation.run_s = lambda: simulation.random.choice([0.3, 1.0, 4.0])
        simulation.network_faults = faults
        for turn in range(40):
            for index, fake in enumerate(simulation.entries):
                has_demand = index in (turn % 4, (turn + 1) % 4)
                simulation.waiting[fake.entry][RED] = 60 if has_demand else 0
            act(simulation)
            simulation.run(2)

    def test_doubled_messages(self) -> None:
        self.run_storm(NetworkFaults(duplicated_ratio=1.0, delayed_ratio=0.3))

    def test_lost_messages(self) -> None:
        self.run_storm(
            NetworkFaults(lost_ratio=0.4), lambda simulation: simulation.start_coordinator(NORTH)
        )

    def test_late_messages_of_an_earlier_epoch(self) -> None:
        self.run_storm(
            NetworkFaults(delayed_ratio=0.5, delay_max_s=4),
            lambda simulation: simulation.start_coordinator(NORTH),
        )

    def test_late_writes(self) -> None:
        self.run_storm(NetworkFaults(write_delayed_ratio=0.8, answer_lost_ratio=0.5))

    def test_two_coordinators_that_see_the_store(self) -> None:
        self.run_storm(
            NetworkFaults(),
            lambda simulation: simulation.start_coordinator(NORTH, keep_former=True),
        )

    def test_lowered_ceiling_is_reached(self) -> None:
        self.run_storm(
            NetworkFaults(),
            lambda simulation: simulation.set_ceilings({RED: simulation.random.choice([3, 20])}),
        )
        self.simulation.set_ceilings({RED: 4})
        self.simulation.run(10)
        self.assertEqual(total_permits(self.simulation.store.ledger, RED), 4)
        self.assertLessEqual(self.simulation.running(RED), 4)


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

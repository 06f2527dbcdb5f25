"""Suspected racks: what counts as evidence, and what follows for starts and heartbeats."""

from __future__ import annotations

import unittest

from tests.core.failure_domains.common import (
    cut_fleet,
    domains,
    rack_fleet,
    runs_20s,
    set_reachable,
)
from tests.core.scheduling.common import NEEDS, job
from toucandoor.core.jobs.models import Step
from toucandoor.core.scheduling.orders import Order, SendHeartbeat, StartRun
from toucandoor.fakes.virtual_calls import CallOutcome, OwnerTerm
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.ids import WorkerId


def record_calls(virtual: VirtualFleet) -> list[tuple[float, Order]]:
    """Return a list to which every later order is added with its time."""
    sent: list[tuple[float, Order]] = []
    send = virtual.calls.send

    def record(owner: OwnerTerm, order: Order) -> None:
        sent.append((virtual.clock.monotonic_s(), order))
        send(owner, order)

    virtual.calls.send = record  # type: ignore[method-assign]
    return sent


def heartbeats(calls: list[tuple[float, Order]], server: str) -> list[tuple[float, SendHeartbeat]]:
    """Return the heartbeats to servers whose ids begin with a text, with their times."""
    found = [(at_s, each) for at_s, each in calls if isinstance(each, SendHeartbeat)]
    return [each for each in found if each[1].worker.entry.worker_id.startswith(server)]


class SuspectedRackTest(unittest.TestCase):
    """A rack is suspected by two silent servers, and not by less."""

    def test_a_rack_out_of_reach_gets_no_start_until_one_of_its_servers_answers(self) -> None:
        virtual = cut_fleet(4, 2, "r1", for_s=2.2)
        self.assertEqual(domains(virtual).suspected_racks, {"r1"})
        calls = record_calls(virtual)
        virtual.submit(job(2, Step(8, NEEDS)))
        virtual.run(2.0)
        racks = {each.run.worker.entry.rack for _, each in calls if isinstance(each, StartRun)}
        self.assertNotIn("r1", racks)
        set_reachable(virtual, "r1", reachable=True)
        virtual.run(1.2)
        self.assertEqual(domains(virtual).suspected_racks, set())
        # The cut lost nothing: no run was started a second time, and the waiting ones start now.
        self.assertEqual(virtual.observations.starts, 32)
        self.assertEqual(virtual.observations.violations, [])

    def test_one_server_of_a_suspected_rack_is_tried_at_a_time(self) -> None:
        """Guards against calls that wait for their time-outs for every server of a lost rack."""
        virtual = cut_fleet(4, 6, "r1", for_s=2.5)
        calls = record_calls(virtual)
        virtual.run(3.0)
        tries = [at_s for at_s, _ in heartbeats(calls, "r1")]
        self.assertGreaterEqual(len(tries), 2)
        for earlier_s, later_s in zip(tries, tries[1:], strict=False):
            self.assertGreaterEqual(later_s - earlier_s, 1.0)  # the stand-in's time-out

    def test_a_start_that_was_never_sent_goes_elsewhere(self) -> None:
        virtual = cut_fleet(4, 2, "r1", for_s=0.0)
        virtual.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "write" else CallOutcome.ANSWERED
        )
        virtual.submit(job(2, Step(8, NEEDS)))
        virtual.run(2.2)
        self.assertEqual(domains(virtual).suspected_racks, {"r1"})
        virtual.calls.choose_outcome = lambda kind: CallOutcome.ANSWERED
        virtual.run(0.5)
        self.assertEqual(virtual.observations.starts, 24 + 6)  # 6 more fit on the other racks

    def test_a_single_silent_server_is_no_evidence_against_its_rack(self) -> None:
        virtual = cut_fleet(for_s=0.0)
        virtual.workers[WorkerId("r1-0")].reachable = False
        virtual.run(4.0)
        self.assertEqual(domains(virtual).suspected_racks, set())

    def test_an_idle_server_is_asked_when_the_only_busy_one_of_its_rack_is_silent(self) -> None:
        """Guards against tasks that move from one silent server to the next of the same rack."""
        virtual = rack_fleet(behaviour=runs_20s)
        virtual.submit(job(1, Step(2, NEEDS)))
        virtual.run(0.5)
        set_reachable(virtual, "r0", reachable=False)
        virtual.run(4.0)
        self.assertEqual(domains(virtual).suspected_racks, {"r0"})
        virtual.run(6.0)
        self.assertEqual(virtual.observations.starts, 4)
        set_reachable(virtual, "r0", reachable=True)
        virtual.run(2.0)
        self.assertEqual(domains(virtual).suspected_racks, set())
        self.assertEqual(virtual.observations.violations, [])

    def test_two_crashed_servers_do_not_keep_the_others_of_their_rack_idle(self) -> None:
        """Guards against a suspicion that lasts as long as the crashed servers do not answer."""
        virtual = rack_fleet(servers=4, behaviour=runs_20s)
        virtual.submit(job(1, Step(8, NEEDS)))
        virtual.run(0.5)
        busy = [each for each in virtual.scheduler.workers.values() if each.runs]
        self.assertEqual({each.entry.rack for each in busy}, {"r0"})
        for each in busy:
            virtual.workers[each.entry.worker_id].reachable = False
        virtual.run(2.2)
        virtual.submit(job(2, Step(56, NEEDS)))
        virtual.run(1.5)
        self.assertEqual(domains(virtual).suspected_racks, set())
        self.assertEqual(virtual.observations.starts, 64)

    def test_when_most_racks_are_silent_none_is_suspected(self) -> None:
        """Guards against an owner that blames the racks for its own connection."""
        virtual = cut_fleet(4, 2, "r0", "r1", "r2", for_s=2.6)
        self.assertTrue(domains(virtual).own_connection_suspected)
        self.assertEqual(domains(virtual).suspected_racks, set())
        for rack in ("r0", "r1", "r2"):
            set_reachable(virtual, rack, reachable=True)
        virtual.run(2.0)
        self.assertFalse(domains(virtual).own_connection_suspected)

    def test_a_poll_that_failed_beside_an_answered_start_is_repeated_without_a_wait(self) -> None:
        """Guards against a second long poll before a server counts as unresponsive."""
        virtual = rack_fleet(behaviour=runs_20s)
        calls = record_calls(virtual)
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.3)
        set_reachable(virtual, "r0", reachable=False)
        virtual.run(3.0)
        # The start of the run is answered during the first poll after the first contact.
        waits_s = [each.wait_s for _, each in heartbeats(calls, "r0-0")]
        self.assertEqual(waits_s[:2], [1.0, 0.0])

    def test_a_new_owner_knows_no_suspicion_and_learns_it_from_its_own_calls(self) -> None:
        virtual = cut_fleet(4, 2, "r1", for_s=2.2)
        virtual.take_over()
        self.assertEqual(domains(virtual).suspected_racks, set())
        virtual.run(1.5)
        self.assertEqual(domains(virtual).suspected_racks, {"r1"})


class FlappingTest(unittest.TestCase):
    """A server that repeatedly goes down waits longer each time before it gets tasks."""

    def test_pauses_double_and_are_forgotten(self) -> None:
        virtual = cut_fleet(for_s=0.0)
        worker_id = WorkerId("r1-0")
        view = virtual.scheduler.workers[worker_id]
        pauses_s: list[float] = []
        for _ in range(4):
            virtual.workers[worker_id].reachable = False
            virtual.run(3.0)
            virtual.workers[worker_id].reachable = True
            virtual.run(0.1)
            while view.unresponsive:
                virtual.run(0.05)
            began_s = virtual.clock.monotonic_s()
            while domains(virtual).suspects(view):
                virtual.run(0.05)
            pauses_s.append(virtual.clock.monotonic_s() - began_s)
        for measured_s, expected_s in zip(pauses_s, [0, 1, 2, 4], strict=True):
            self.assertAlmostEqual(measured_s, expected_s, delta=0.15)

    def test_a_server_that_had_runs_gets_tasks_again_after_a_long_cut(self) -> None:
        """Guards against a server that is never called again once its runs are discarded."""
        virtual = cut_fleet(1, 1, "r0", for_s=12.0)
        set_reachable(virtual, "r0", reachable=True)
        virtual.run(3.0)
        self.assertEqual(virtual.observations.starts, 6)

"""Runs on VMs that are down; the pattern: a rack loses power, beside servers that are cut off."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, fleet, job
from toucandoor.core.failure_domains.down_vms import DiscardRunsOnDownVms
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.scheduling.scheduler import WAKE_S_MAX
from toucandoor.core.scheduling.workers import VmEntry, VmState
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import LEASE_S
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import DataCentreId, VmId, WorkerId

RUN_S = 2.0


class DownVmsTest(unittest.TestCase):
    """Three servers with one VM each, of which the first one gets the tasks."""

    def setUp(self) -> None:
        self.fleet = fleet(workers=0, behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, RUN_S))
        for number in range(3):
            self.fleet.boot(f"w{number}", POOL, CAPACITY, vm_id=f"m{number}")
        self.fleet.run(0.5)

    def submit(self) -> WorkerId:
        """Submit three tasks, and return the server that runs them."""
        self.fleet.submit(job(1, Step(3, NEEDS, estimate_ms=2000)))
        self.fleet.run(0.3)
        [place] = {place for on in self.fleet.observations.running.values() for place in on}
        return place

    def now_s(self) -> float:
        return self.fleet.clock.monotonic_s()

    def read_list(
        self, place: WorkerId, *, asked_at_s: float, state: VmState = VmState.DOWN
    ) -> None:
        vm_id = VmId("m" + place[1:])
        vm = VmEntry(vm_id, POOL, state, DataCentreId("dc"), (), CAPACITY, None)
        registry = self.fleet.scheduler.registry
        DiscardRunsOnDownVms(registry).on_vm_list([vm], asked_at_s)

    def test_tasks_run_again_at_once(self) -> None:
        place = self.submit()
        self.fleet.crash(place)
        self.fleet.run(0.1)
        self.read_list(place, asked_at_s=self.now_s())
        self.fleet.run(WAKE_S_MAX + 0.05)
        self.assertEqual(self.fleet.observations.starts, 6)
        self.fleet.run(RUN_S + 0.2)
        self.assertEqual(self.fleet.state(job(1).job_id), JobState.COMPLETED)
        self.assertEqual(self.fleet.observations.violations, [])

    # Guards against tasks that wait for a whole lease for runs on a VM that is gone for a long
    # maintenance or move, as its order was carried out late or given by a former owner.
    def test_tasks_on_a_vm_that_an_order_has_taken_away_run_again_at_once(self) -> None:
        for state in (VmState.MAINTENANCE, VmState.MOVING):
            with self.subTest(state):
                self.setUp()
                place = self.submit()
                self.fleet.crash(place)
                self.fleet.run(2.2)
                self.read_list(place, asked_at_s=self.now_s(), state=state)
                self.fleet.run(WAKE_S_MAX + 0.05)
                self.assertEqual(self.fleet.observations.starts, 6)
                self.assertEqual(self.fleet.observations.violations, [])

    # Guards against jobs that are given up, as tasks count as crashing servers that an order for
    # their VMs has ended.
    def test_an_order_that_takes_a_vm_away_is_no_crash_of_its_tasks(self) -> None:
        for state in (VmState.MAINTENANCE, VmState.MOVING):
            with self.subTest(state):
                self.setUp()
                place = self.submit()
                runs = list(self.fleet.scheduler.workers[place].runs.values())
                self.fleet.run(0.2)
                self.fleet.crash(place)
                self.fleet.run(2.2)
                self.read_list(place, asked_at_s=self.now_s(), state=state)
                self.assertEqual(len(self.fleet.scheduler.workers[place].runs), 0)
                self.assertEqual([run.task.crashes for run in runs], [0, 0, 0])

    # Guards against a second run of tasks on the server that follows, as the list lags behind it.
    def test_a_server_that_answers_keeps_its_tasks_though_its_vm_is_listed_as_moving(self) -> None:
        place = self.submit()
        self.fleet.run(0.2)
        for state in (VmState.MAINTENANCE, VmState.MOVING):
            self.read_list(place, asked_at_s=self.now_s(), state=state)
        self.fleet.run(0.5)
        self.assertEqual(self.fleet.observations.starts, 3)
        worker = self.fleet.scheduler.workers[place]
        self.assertEqual(len(worker.runs), 3)
        self.assertTrue(worker.usable(self.now_s()))

    def test_a_server_that_is_cut_off_keeps_its_tasks(self) -> None:
        place = self.submit()
        self.fleet.workers[place].reachable = False
        self.fleet.run(0.1)
        self.read_list(place, asked_at_s=self.now_s(), state=VmState.UP)
        self.fleet.run(LEASE_S - 0.5)
        self.assertEqual(self.fleet.observations.starts, 3)

    def test_a_boot_that_has_become_known_since_keeps_its_tasks(self) -> None:
        """Guards against an old answer that ends the tasks of a restart in place.

        The later boot takes starts for the earlier one before the owner learns of it.
        """
        asked_at_s = self.now_s()
        self.fleet.crash("w0")
        self.fleet.boot("w0", POOL, CAPACITY, vm_id="m0", listed_after_s=5.0)
        self.fleet.submit(job(1, Step(3, NEEDS, estimate_ms=2000)))
        earlier = self.fleet.scheduler.workers[WorkerId("w0")]
        while (later := self.fleet.scheduler.workers[WorkerId("w0")]) is earlier:
            self.fleet.run(0.001)
        # It is known, and has not answered as a boot of its own.
        self.fleet.workers[WorkerId("w0")].reachable = False
        self.assertEqual(len(later.runs), 3)
        self.read_list(WorkerId("w0"), asked_at_s=asked_at_s)
        self.assertEqual(len(later.runs), 3)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.observations.violations, [])

    def test_a_boot_that_has_answered_since_stays_in_use(self) -> None:
        asked_at_s = self.now_s()
        place = self.submit()
        self.read_list(place, asked_at_s=asked_at_s)
        worker = self.fleet.scheduler.workers[place]
        self.assertEqual(len(worker.runs), 3)
        self.assertTrue(worker.usable(self.now_s()))

    def test_a_task_with_an_unanswered_start_waits_for_its_lease(self) -> None:
        """A later boot under the same id may still take the start."""
        outcomes = iter([CallOutcome.ANSWER_LOST])
        self.fleet.calls.choose_outcome = lambda kind: (
            next(outcomes, CallOutcome.ANSWERED) if kind == "start" else CallOutcome.ANSWERED
        )
        place = self.submit()
        self.fleet.crash(place)
        self.fleet.run(0.1)
        self.read_list(place, asked_at_s=self.now_s())
        self.fleet.run(WAKE_S_MAX + 0.05)
        self.assertEqual(self.fleet.observations.starts, 5)
        self.fleet.run(LEASE_S + 3.0)
        self.assertEqual(self.fleet.observations.starts, 6)
        self.assertEqual(self.fleet.observations.violations, [])

    # Guards against tasks that wait for a whole lease as an answer that was under way when the VM
    # went down brings their runs back.
    def test_an_answer_from_before_does_not_bring_runs_back(self) -> None:
        self.fleet.calls.choose_answer_delay_s = lambda: 0.5
        place = self.submit()
        worker = self.fleet.scheduler.workers[place]
        answered_s = worker.heartbeat_sent_s + worker.heartbeat_wait_s
        self.fleet.run(answered_s + 0.05 - self.now_s())
        self.fleet.crash(place)
        self.fleet.run(0.05)
        self.read_list(place, asked_at_s=self.now_s())
        self.assertEqual(len(worker.runs), 0)
        self.fleet.run(0.5)
        self.assertGreater(worker.answered_s, answered_s + 0.4)
        self.assertEqual(len(worker.runs), 0)
        self.assertEqual(self.fleet.observations.violations, [])

    def test_no_task_is_placed_on_a_vm_that_is_down(self) -> None:
        self.fleet.crash("w0")
        self.fleet.run(0.1)
        self.read_list(WorkerId("w0"), asked_at_s=self.now_s())
        self.assertNotEqual(self.submit(), "w0")


if __name__ == "__main__":
    unittest.main()

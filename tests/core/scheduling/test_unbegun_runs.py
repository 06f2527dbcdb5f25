"""Runs whose start nobody answered: how long they keep their tasks without a run."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, POOL, configuration, job, never_ends
from toucandoor.core.jobs.models import Step, TaskKey
from toucandoor.core.scheduling import const
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

if TYPE_CHECKING:
    from toucandoor.fakes.virtual_platform import VirtualWorker

RUNS_AGAIN_WITHIN_S = 3.0
"""Longest time without a run that callers accept for a task that has room."""
STEP_S = 0.01


class UnbegunRunsTest(unittest.TestCase):
    """Servers on a VM each; each of the long-running tasks fills one of them."""

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), never_ends)
        self.fleet.take_over()
        self.tasks: list[TaskKey] = []

    def boot(self, *numbers: int) -> None:
        for number in numbers:
            self.fleet.boot(f"w{number}", POOL, CAPACITY, vm_id=f"m{number}")
        self.fleet.run(0.3)

    def submit(self, count: int) -> None:
        spec = job(1, Step(count, CAPACITY, long_running=True))
        self.fleet.submit(spec)
        self.tasks = [TaskKey(spec.job_id, 0, 0, number) for number in range(count)]
        self.fleet.run(2.0)

    def longest_gap_s(self, for_s: float) -> float:
        """Run on and return the longest time for which one of the tasks had no run."""
        longest_s, without_s = 0.0, dict.fromkeys(self.tasks, 0.0)
        for _ in range(round(for_s / STEP_S)):
            self.fleet.run(STEP_S)
            for boot in self.fleet.observations.boots:
                boot.update()
            for task in self.tasks:
                runs = self.fleet.observations.running.get(task)
                without_s[task] = 0.0 if runs else without_s[task] + STEP_S
                longest_s = max(longest_s, without_s[task])
        self.assertEqual(self.fleet.observations.violations, [])
        return longest_s

    def place_of(self, number: int) -> WorkerId:
        [worker] = self.fleet.observations.running[self.tasks[number]]
        return worker

    # Guards against a start on a server whose VM is under maintenance, as the answer to a heartbeat
    # from before the maintenance came after it.
    def test_an_answer_from_before_the_maintenance_does_not_return_a_server_to_use(self) -> None:
        waves = VirtualWaves(self.fleet)
        self.boot(0, 1, 2)
        self.submit(2)
        vms = [VmId(self.place_of(number).replace("w", "m")) for number in range(2)]
        self.fleet.calls.choose_answer_delay_s = lambda: 0.06
        waves.order(vms[:1], within_s=8.0, down_max=1)
        self.assertLess(self.longest_gap_s(0.4), RUNS_AGAIN_WITHIN_S)
        waves.order(vms[1:], within_s=8.0, down_max=1)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against starts on a server that an order has ended, as it had answered a heartbeat from
    # before the order: the answer came after it.
    def test_a_server_is_usable_only_after_an_answer_to_a_later_heartbeat(self) -> None:
        self.boot(0)
        worker = self.fleet.scheduler.workers[WorkerId("w0")]
        self.fleet.calls.choose_answer_delay_s = lambda: 0.3
        self.fleet.scheduler.registry.require_heartbeat(worker)
        while not worker.heartbeat_in_flight:
            self.fleet.run(STEP_S)
        self.fleet.run(0.1)
        self.fleet.scheduler.registry.require_heartbeat(worker)
        ordered_s = self.fleet.clock.monotonic_s()
        while worker.answered_s < ordered_s:
            self.fleet.run(STEP_S)
        self.assertFalse(worker.usable(self.fleet.clock.monotonic_s()))
        self.fleet.run(0.5)
        self.assertTrue(worker.usable(self.fleet.clock.monotonic_s()))

    # Guards against a start on a server whose VM is under maintenance, as the owner met it only
    # while the order for the VM was under way.
    def test_a_server_met_while_its_maintenance_was_ordered_gets_no_start(self) -> None:
        waves = VirtualWaves(self.fleet)
        self.boot(0)
        self.submit(1)
        place = self.place_of(0)
        met = self.fleet.boot("w1", POOL, CAPACITY, vm_id="m1", listed_after_s=60.0)

        def list_meanwhile() -> float:
            self.fleet.schedule(0.1, lambda: self.fleet.scheduler.worker_listed(met.entry))
            return 0.3

        waves.choose_order_delay_s = list_meanwhile
        waves.order([VmId("m1")], within_s=8.0, down_max=1)
        self.fleet.run(1.0)
        self.assertFalse(met.alive)
        entry = self.fleet.workers[place].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=20_000))
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    def lose_before_start(self, outcome: CallOutcome) -> VirtualWorker:
        """Drain the server of the only task, and lose the next one as the task is started there.

        Args:
            outcome: Outcome of that start.

        Returns:
            The lost server.
        """
        self.boot(0, 1, 2)
        self.submit(1)
        place = self.place_of(0)
        lost: list[VirtualWorker] = []

        def choose_outcome(kind: str) -> CallOutcome:
            orders = self.fleet.scheduler.state.runs_awaiting_orders
            moved = [run for run in orders if run.key.attempt == 2]
            if kind != "start" or not moved:
                return CallOutcome.ANSWERED
            if not lost:
                lost.append(self.fleet.workers[moved[0].worker.entry.worker_id])
                self.fleet.crash(lost[0].entry.worker_id)
            return outcome

        self.fleet.calls.choose_outcome = choose_outcome
        entry = self.fleet.workers[place].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=20_000))
        self.fleet.run(1.0)
        self.assertEqual(len(lost), 1)
        return lost[0]

    # Guards against a task that waits for a whole lease for a run on a VM that has another server.
    def test_a_start_without_an_answer_ends_once_its_vm_has_another_server(self) -> None:
        lost = self.lose_before_start(CallOutcome.ANSWERED)
        vm_id = lost.entry.vm_id
        assert vm_id is not None
        self.fleet.boot("other", POOL, CAPACITY, vm_id=vm_id)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a task that waits for a whole lease for a start on a server that was lost for
    # good at that moment, though its VM is listed as down.
    def test_a_start_without_an_answer_ends_once_its_vm_is_listed_as_down(self) -> None:
        VirtualWaves(self.fleet)
        self.lose_before_start(CallOutcome.ANSWERED)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a task that waits for a whole lease for a start that was never sent.
    def test_a_start_without_a_connection_is_given_up_at_once(self) -> None:
        self.lose_before_start(CallOutcome.NOT_SENT)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a task that waits for a whole lease for a start on an idle server that has been
    # gone for a while: nothing had been sent to it that would have shown this.
    def test_an_idle_server_gets_no_start_before_it_has_answered(self) -> None:
        self.boot(0, 1)
        self.submit(1)
        place = self.place_of(0)
        [idle] = self.fleet.workers.keys() - {place}
        self.fleet.crash(idle)
        self.fleet.run(0.5)
        entry = self.fleet.workers[place].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=20_000))
        self.fleet.run(0.5)
        self.boot(2)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a task that waits for a whole lease for a first start that was sent after an
    # outage of the store, in which its server was lost and the owner was not allowed to call it.
    def test_after_a_store_outage_a_server_gets_no_start_before_it_has_answered(self) -> None:
        self.boot(0, 1, 2)
        self.submit(1)
        place = self.place_of(0)
        planned: list[WorkerId] = []

        def choose_outcome(kind: str) -> CallOutcome:
            if kind == "write" and not planned:
                workers = self.fleet.scheduler.workers.values()
                runs = [run for worker in workers for run in worker.runs.values()]
                planned.extend(run.worker.entry.worker_id for run in runs if run.key.attempt == 2)
                if planned:
                    self.fleet.make_store_unavailable(8.0)
            return CallOutcome.ANSWERED

        self.fleet.calls.choose_outcome = choose_outcome
        entry = self.fleet.workers[place].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=20_000))
        self.fleet.run(4.0)
        self.assertEqual(len(planned), 1)
        self.fleet.crash(planned[0])
        self.fleet.run(4.0)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a task that waits for a whole lease for a first start on a server that must
    # answer again, as an order for its VM may have ended it while the plan was being written.
    def test_a_server_that_must_answer_again_gets_no_planned_start_before(self) -> None:
        self.boot(0, 1, 2)
        self.submit(1)
        place = self.place_of(0)
        ended: list[WorkerId] = []

        def choose_outcome(kind: str) -> CallOutcome:
            workers = self.fleet.scheduler.workers.values()
            runs = [run for worker in workers for run in worker.runs.values()]
            moved = [run.worker for run in runs if run.key.attempt == 2]
            if kind == "write" and moved and not ended:
                ended.append(moved[0].entry.worker_id)
                self.fleet.crash(ended[0])
                self.fleet.scheduler.registry.require_heartbeat(moved[0])
            return CallOutcome.ANSWERED

        for worker in self.fleet.scheduler.workers.values():
            self.fleet.scheduler.registry.require_heartbeat(worker)
        self.fleet.run(0.1)
        self.fleet.calls.choose_outcome = choose_outcome
        entry = self.fleet.workers[place].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=20_000))
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)
        self.assertEqual(len(ended), 1)

    # Guards against a run that is planned on a server that has ended with its VM's maintenance or
    # move, whose order nobody answered, while the platform's list still contains it.
    def test_a_server_whose_vm_has_another_one_gets_no_runs(self) -> None:
        self.boot(0, 1)
        self.fleet.crash("w1")
        self.fleet.boot("other", POOL, CAPACITY, vm_id="m1")
        self.fleet.run(0.3)
        workers, now_s = self.fleet.scheduler.workers, self.fleet.clock.monotonic_s()
        self.assertTrue(workers[WorkerId("w1")].listed)
        usable = {each for each, worker in workers.items() if worker.usable(now_s)}
        self.assertEqual(usable, {WorkerId("w0"), WorkerId("other")})

    # Guards against a run that holds its task for good on a server that reports that it has no run,
    # while neither its starts nor its stops are answered.
    def test_a_run_whose_stops_get_no_answer_either_ends_once_no_start_can_arrive(self) -> None:
        self.boot(0, 1)
        self.submit(1)
        place = self.place_of(0)
        self.fleet.calls.choose_outcome = lambda kind: (
            CallOutcome.ANSWERED if kind in ("hold", "write") else CallOutcome.LATE
        )
        self.fleet.calls.choose_delay_s = lambda: 600.0
        self.fleet.crash(place)
        self.fleet.run(10.0)
        self.fleet.calls.choose_outcome = lambda kind: (
            CallOutcome.LATE if kind == "stop" else CallOutcome.ANSWERED
        )
        self.boot(2)
        bound_s = const.UNANSWERED_START_S_MAX + RUNS_AGAIN_WITHIN_S
        self.assertLess(self.longest_gap_s(40.0), bound_s)

    # Guards against a task that is stopped on a draining server for room on one that is gone.
    def test_a_task_stays_while_the_only_idle_server_does_not_answer(self) -> None:
        self.boot(0, 1)
        self.submit(1)
        place = self.place_of(0)
        [idle] = self.fleet.workers.keys() - {place}
        self.fleet.crash(idle)
        self.fleet.run(0.5)
        entry = self.fleet.workers[place].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=20_000))
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a whole lease of waiting for a start of a new task on an idle server that is
    # gone; planned stops ask such a server before.
    def test_a_new_task_gets_no_start_on_an_idle_server_that_is_gone(self) -> None:
        self.boot(0)
        self.fleet.run(3.0)
        self.fleet.crash("w0")
        spec = job(1, Step(1, CAPACITY, long_running=True))
        self.fleet.submit(spec)
        self.tasks = [TaskKey(spec.job_id, 0, 0, 0)]
        self.fleet.run(0.5)
        self.boot(1)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

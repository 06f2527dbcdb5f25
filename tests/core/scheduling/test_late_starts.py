"""Starts that are carried out late or never sent: a shorter wait for them runs no task twice.

``TOUCANDOOR_LONG_RUN=1 script/test tests.core.scheduling.test_late_starts`` plays many more seeds.
"""

from __future__ import annotations

import os
import unittest
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job, never_ends
from tests.core.scheduling.late_start_series import Conditions, LateStartSeries
from toucandoor.core.jobs.models import JobState, Step, TaskKey
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.ids import WorkerId

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.scheduling.worker_view import Run

SEEDS = 200 if os.environ.get("TOUCANDOOR_LONG_RUN") else 4
RUNS_AGAIN_WITHIN_S = 3.0
"""Longest time without a run that callers accept for a task that has room."""
LATE_S = 4.0
STEP_S = 0.01


class LateStartsTest(unittest.TestCase):
    """Servers on a VM each, and tasks that never end."""

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), never_ends)
        self.fleet.calls.choose_delay_s = lambda: LATE_S
        self.fleet.calls.late_orders_survive_restarts = True
        self.fleet.take_over()
        for number in range(3):
            self.boot(f"w{number}", f"m{number}")
        self.fleet.run(0.3)
        self.spec = job(1, Step(1, NEEDS, long_running=True))

    def boot(self, worker_id: str, vm_id: str, listed_after_s: float = 0.0) -> None:
        number = int(vm_id.removeprefix("m"))
        self.fleet.boot(
            worker_id,
            POOL,
            CAPACITY,
            labels=("a", f"r{number}"),
            vm_id=vm_id,
            listed_after_s=listed_after_s,
        )

    def submit(self, *outcomes: CallOutcome, for_s: float = 0.1) -> None:
        """Submit the job.

        Args:
            *outcomes: Outcomes of the first starts; later ones are answered.
            for_s: Time to run on.
        """
        left = list(outcomes)
        self.fleet.calls.choose_outcome = lambda kind: (
            left.pop(0) if kind == "start" and left else CallOutcome.ANSWERED
        )
        self.fleet.submit(self.spec)
        self.fleet.run(for_s)

    @property
    def runs(self) -> list[Run]:
        """Runs of the job that the owner knows."""
        steps = self.fleet.scheduler.jobs[self.spec.job_id].steps.values()
        return [run for step in steps for task in step.tasks for run in task.runs]

    def first_place(self) -> tuple[WorkerId, str]:
        """Return the server of the first run, and its VM."""
        entry = self.runs[0].worker.entry
        return entry.worker_id, str(entry.vm_id)

    def longest_gap_s(self, for_s: float, spec: JobSpec | None = None) -> float:
        """Run on and return the longest time for which one of the tasks had no run."""
        spec = spec or self.spec
        tasks = [TaskKey(spec.job_id, 0, 0, each) for each in range(spec.steps[0].count)]
        longest_s, without_s = 0.0, dict.fromkeys(tasks, 0.0)
        observations = self.fleet.observations
        for _ in range(round(for_s / STEP_S)):
            self.fleet.run(STEP_S)
            for boot in observations.boots:
                boot.update()
            for task in tasks:
                runs = observations.running.get(task)
                without_s[task] = 0.0 if runs else without_s[task] + STEP_S
                longest_s = max(longest_s, without_s[task])
        self.assertEqual(observations.violations, [])
        for task in tasks:
            self.assertEqual(len(observations.running[task]), 1)
        return longest_s

    # Guards against a second run, by a late start, of a task whose VM has another server.
    def test_a_late_start_for_a_replaced_server_runs_nothing(self) -> None:
        self.submit(CallOutcome.LATE)
        lost, vm_id = self.first_place()
        self.fleet.crash(lost)
        self.fleet.run(0.5)
        self.boot("other", vm_id)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against the same under a new owner, which knows the run from its record alone.
    def test_a_late_start_for_a_replaced_server_runs_nothing_under_a_new_owner(self) -> None:
        self.submit(CallOutcome.LATE)
        lost, vm_id = self.first_place()
        self.fleet.crash(lost)
        self.fleet.take_over()
        self.fleet.run(0.5)
        self.boot("other", vm_id)
        self.assertLess(self.longest_gap_s(12.0), RUNS_AGAIN_WITHIN_S)

    # Guards against a second run beside one that the server has begun late after a restart in
    # place, while the server of another VM answers.
    def test_a_late_start_is_waited_for_after_a_restart_in_place(self) -> None:
        for listed_after_s in (0.0, 0.5, 3.0, 30.0):
            with self.subTest(listed_after_s=listed_after_s):
                self.setUp()
                self.submit(CallOutcome.LATE)
                lost, vm_id = self.first_place()
                self.fleet.crash(lost)
                self.fleet.run(0.5)
                self.boot(lost, vm_id, listed_after_s=listed_after_s)
                self.longest_gap_s(20.0)

    # Guards against a second run where the id of a replaced server is on another VM, which has the
    # late start.
    def test_a_late_start_is_waited_for_where_its_server_is_on_another_vm(self) -> None:
        self.submit(CallOutcome.LATE)
        lost, vm_id = self.first_place()
        self.fleet.crash(lost)
        self.boot(lost, "m7")
        self.fleet.run(0.2)
        self.boot("other", vm_id)
        self.longest_gap_s(20.0)

    # Guards against the same where that server is cut off, so that it has not refused the owner of
    # the start, and the record alone names the run.
    def test_a_late_start_of_a_former_owner_is_waited_for_on_another_vm(self) -> None:
        self.submit(CallOutcome.LATE)
        lost, vm_id = self.first_place()
        self.fleet.crash(lost)
        self.fleet.take_over()
        self.boot(lost, "m7")
        self.fleet.workers[lost].reachable = False
        self.fleet.run(0.2)
        self.boot("other", vm_id)
        self.longest_gap_s(30.0)

    # Guards against a run that is dropped, as its latest start was not sent, while an earlier copy
    # of it is still on its way.
    def test_an_earlier_start_is_waited_for_though_the_next_was_not_sent(self) -> None:
        for later in range(1, 4):
            for cut in (False, True):
                with self.subTest(later=later, cut=cut):
                    self.setUp()
                    self.submit(CallOutcome.LATE, *[CallOutcome.NOT_SENT] * later)
                    place, _ = self.first_place()
                    self.fleet.workers[place].reachable = not cut
                    self.fleet.run(3.0)
                    self.assertEqual([run.worker.entry.worker_id for run in self.runs], [place])
                    self.longest_gap_s(20.0)

    # Guards against the same where the first one was not sent and the next one is late.
    def test_a_start_is_waited_for_after_one_that_was_not_sent(self) -> None:
        self.submit(CallOutcome.NOT_SENT, CallOutcome.LATE, CallOutcome.NOT_SENT)
        place, _ = self.first_place()
        self.fleet.run(3.0)
        self.assertEqual([run.worker.entry.worker_id for run in self.runs], [place])
        self.longest_gap_s(20.0)

    # Guards against a task that stays without a run on a server that answers, but takes no starts.
    def test_a_task_is_planned_again_after_starts_that_were_not_sent(self) -> None:
        self.submit(*[CallOutcome.NOT_SENT] * 3)
        self.assertLess(self.longest_gap_s(5.0), RUNS_AGAIN_WITHIN_S)
        self.assertEqual([run.key.attempt for run in self.runs], [2])

    # Guards against the run of a cancelled job that takes up capacity for a whole lease, though no
    # start of it was sent.
    def test_a_cancelled_run_without_a_sent_start_ends_on_a_silent_server(self) -> None:
        self.submit(CallOutcome.NOT_SENT, for_s=0.05)
        place, _ = self.first_place()
        self.fleet.crash(place)
        self.fleet.cancel(self.spec.job_id)
        self.fleet.run(1.0)
        self.assertEqual(len(self.fleet.scheduler.workers[place].runs), 0)

    # Guards against a second run of a task that moved to a later boot while a start was in flight.
    def test_a_start_that_was_not_sent_to_a_later_boot_leaves_one_run(self) -> None:
        for outcomes in (
            [CallOutcome.NOT_SENT],
            [CallOutcome.LATE, CallOutcome.NOT_SENT],
            [CallOutcome.NOT_SENT, CallOutcome.LATE],
        ):
            for restart_after_s in (0.1, 0.7, 1.2, 1.4):
                with self.subTest(outcomes=outcomes, restart_after_s=restart_after_s):
                    self.setUp()
                    self.submit(*outcomes, for_s=0.05)
                    place, vm_id = self.first_place()
                    self.fleet.run(restart_after_s)
                    self.fleet.crash(place)
                    self.boot(place, vm_id)
                    self.longest_gap_s(20.0)

    # Guards against a run that begins after its job has been cancelled, or a job that never ends,
    # where a stop was requested while a start was in flight.
    def test_a_cancelled_run_is_stopped_unless_no_start_of_it_was_sent(self) -> None:
        for outcomes in ([CallOutcome.NOT_SENT], [CallOutcome.LATE, CallOutcome.NOT_SENT]):
            for cancel_after_s in (0.1, 0.45, 1.2):
                with self.subTest(outcomes=outcomes, cancel_after_s=cancel_after_s):
                    self.setUp()
                    self.submit(*outcomes, for_s=0.05)
                    self.fleet.run(cancel_after_s)
                    self.fleet.cancel(self.spec.job_id)
                    self.fleet.run(3.0)
                    self.assertEqual(self.fleet.state(self.spec.job_id), JobState.CANCELLED)
                    self.assertFalse(any(self.fleet.observations.running.values()))
                    self.fleet.run(12.0)
                    self.assertFalse(any(self.fleet.observations.running.values()))
                    self.assertEqual(self.fleet.observations.violations, [])

    # Guards against a second run, or none, of a task of a gang of which one start was not sent.
    def test_a_gang_runs_once_though_one_start_was_late_or_not_sent(self) -> None:
        for outcome in (CallOutcome.NOT_SENT, CallOutcome.LATE):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.spec = job(1, Step(3, NEEDS, gang=True, per_worker_max=1))
                self.submit(outcome)
                self.longest_gap_s(20.0)

    # Guards against a gang that begins without one of its tasks, as one heartbeat of an idle server
    # was lost: the others would wait for it until their time-out, and end alone.
    def test_a_gang_begins_whole_though_an_idle_server_lost_a_heartbeat(self) -> None:
        self.fleet.run(5.0)
        self.spec = job(1, Step(3, NEEDS, gang=True, per_worker_max=1))
        lost: list[str] = []

        def choose_outcome(kind: str) -> CallOutcome:
            if kind == "hold" and not lost:
                lost.append(kind)
                return CallOutcome.ANSWER_LOST
            return CallOutcome.ANSWERED

        self.fleet.calls.choose_outcome = choose_outcome
        self.fleet.submit(self.spec)
        self.fleet.run(3.0)
        running = self.fleet.observations.running
        self.assertEqual([len(running[task]) for task in sorted(running)], [1, 1, 1])

    # Guards against a start that waits for long on an idle server that answers.
    def test_an_idle_server_that_answers_gets_its_start_soon(self) -> None:
        self.fleet.run(10.0)
        self.submit(for_s=0.0)
        self.assertLess(self.longest_gap_s(5.0), 0.2)

    # Guards against a second run of a task of a gang whose start was late, as its server was
    # replaced.
    def test_a_late_start_of_a_gang_for_a_replaced_server_runs_nothing(self) -> None:
        self.spec = job(1, Step(3, NEEDS, gang=True, per_worker_max=1))
        self.submit(CallOutcome.LATE)
        lost, vm_id = self.first_place()
        self.fleet.crash(lost)
        self.fleet.run(0.5)
        self.boot("other", vm_id)
        self.fleet.run(20.0)
        self.assertEqual(self.fleet.observations.violations, [])
        self.assertTrue(all(len(each) < 2 for each in self.fleet.observations.running.values()))

    # Guards against a second run on the same rack, or one long after the end as done, of a task
    # that may have copies.
    def test_a_late_start_of_a_task_that_may_have_copies_runs_at_most_one_copy(self) -> None:
        self.fleet.observations.copies_allowed = lambda _task: True
        self.spec = job(1, Step(1, NEEDS, copies_allowed=True, estimate_ms=300))
        self.submit(CallOutcome.LATE, CallOutcome.NOT_SENT)
        lost, vm_id = self.first_place()
        self.fleet.crash(lost)
        self.fleet.run(0.5)
        self.boot("other", vm_id)
        self.fleet.run(15.0)
        self.assertEqual(self.fleet.observations.violations, [])
        self.assertTrue(self.fleet.observations.running[TaskKey(self.spec.job_id, 0, 0, 0)])


class LateStartSeriesTest(unittest.TestCase):
    def assert_holds(self, conditions: Conditions) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                series = LateStartSeries(seed, conditions)
                series.play()
                self.assertEqual(series.failures, [], "\n".join(series.log))

    # Guards against a task that runs twice, or not at all, where late orders end with their boot.
    def test_tasks_run_once_where_late_orders_end_with_their_boot(self) -> None:
        self.assert_holds(Conditions())

    # Guards against the same where late orders reach a later boot and VMs get other servers.
    def test_tasks_run_once_where_vms_get_other_servers(self) -> None:
        self.assert_holds(Conditions(survives=True, in_place=False))


if __name__ == "__main__":
    unittest.main()

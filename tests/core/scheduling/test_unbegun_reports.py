"""Lines and figures about runs that hold their tasks without having begun."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest.mock import patch

from tests.core.scheduling.common import CAPACITY, POOL, configuration, fleet, job, never_ends
from tests.core.scheduling.test_run_gaps import RUNS_AGAIN, RunGapsTestCase
from toucandoor.core.jobs.models import Step
from toucandoor.core.scheduling.start_log import VmOrder
from toucandoor.core.scheduling.unbegun_runs import BEGUN, WARN_AFTER_S
from toucandoor.core.scheduling.worker_view import DiscardReason
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.fakes.virtual_platform import TaskBehaviour

HOLDS = "runs: a run holds its task without having begun"
HOLDS_NO_LONGER = "runs: a run that held its task without having begun does so no longer"
LOST = "runs: lost with its server"
DISCARDED = "runs: discarded before it had begun"
LEASE_EXPIRED = "its server was unreachable until its lease expired"
LASTING = job(1, Step(1, CAPACITY, long_running=True))


def too_large(task: TaskKey, worker: WorkerId) -> TaskBehaviour:
    """Let a task need more than a server has."""
    return replace(never_ends(task, worker), needs=CAPACITY + CAPACITY)


def seconds(line: dict[str, object], name: str) -> float:
    value = line[name]
    assert isinstance(value, float)
    return value


class UnbegunReportsTest(RunGapsTestCase):
    def fail_at_first_start(self) -> VirtualFleet:
        """Let the only server fail at the moment at which the first start is sent to it."""
        virtual = fleet(1, never_ends)
        virtual.run(0.5)

        def fail(kind: str) -> CallOutcome:
            if kind == "start":
                virtual.workers[WorkerId("w0")].reachable = False
            return CallOutcome.ANSWERED

        virtual.calls.choose_outcome = fail
        virtual.submit(LASTING)
        return virtual

    # Guards against a task that is held for a whole lease without a line that says by what.
    def test_a_run_without_an_answer_is_warned_of_once_and_its_end_is_logged(self) -> None:
        virtual = self.fail_at_first_start()
        virtual.run(WARN_AFTER_S - 0.2)
        self.assertEqual(self.lines(HOLDS), [])
        virtual.run(12.0)
        (warned,) = self.lines(HOLDS)
        self.assertAlmostEqual(seconds(warned, "planned_age_s"), WARN_AFTER_S, delta=0.6)
        self.assertGreater(seconds(warned, "first_start_age_s"), WARN_AFTER_S - 0.5)
        self.assertLess(seconds(warned, "answer_age_at_first_start_s"), 1.0)
        self.assertRegex(str(warned["start_outcomes"]), r"^no answer: \d+$")
        self.assertEqual((warned["begun"], warned["vm_order"]), (False, ""))
        (ended,) = self.lines(HOLDS_NO_LONGER)
        self.assertEqual(ended["ended_by"], LEASE_EXPIRED)

    # Guards against lines on a lost run that can't tell whether, when and how it was started.
    def test_lines_on_a_run_lost_before_it_began_tell_of_its_starts(self) -> None:
        virtual = self.fail_at_first_start()
        virtual.run(12.0)
        (lost,) = self.lines(LOST)
        (discarded,) = self.lines(DISCARDED)
        for line in (lost, discarded):
            self.assertFalse(line["begun"])
            self.assertGreater(seconds(line, "planned_age_s"), WARN_AFTER_S)
            self.assertGreaterEqual(
                seconds(line, "first_start_age_s"), seconds(line, "last_start_age_s")
            )
            self.assertEqual(line["starts"], line["starts_unanswered"])
        self.assertEqual(lost["ended_by"], LEASE_EXPIRED)

    # Guards against a gap whose line hides that a run that never began held the task.
    def test_the_end_of_a_gap_names_the_run_that_held_the_task(self) -> None:
        virtual = self.fail_at_first_start()
        virtual.run(12.0)
        virtual.calls.choose_outcome = lambda _kind: CallOutcome.ANSWERED
        virtual.boot("w1", POOL, CAPACITY)
        virtual.run(1.0)
        (again,) = self.lines(RUNS_AGAIN)
        self.assertEqual((again["held_by"], again["held_attempt"]), ("w0", 1))
        self.assertEqual(again["ended_by"], LEASE_EXPIRED)
        self.assertRegex(str(again["start_outcomes"]), r"^no answer: \d+$")

    # Guards against figures that mix runs that waited for a lease with other discarded runs.
    def test_ended_runs_are_counted_once_by_what_ended_them(self) -> None:
        virtual = self.fail_at_first_start()
        virtual.run(12.0)
        (ended,) = virtual.scheduler.unbegun_runs.pop_ended()
        self.assertEqual(ended.ended_by, "lease_expired")
        self.assertGreater(ended.held_s, WARN_AFTER_S)
        self.assertEqual(virtual.scheduler.unbegun_runs.pop_ended(), [])

    # Guards against a start that was never ordered and looks like one without an answer.
    def test_a_run_that_may_not_start_has_no_start_and_begins_after_all(self) -> None:
        virtual = fleet(1, never_ends)
        state = virtual.scheduler.state
        may_start, state.may_start = state.may_start, lambda _run: False
        virtual.submit(LASTING)
        virtual.run(WARN_AFTER_S + 1.0)
        (warned,) = self.lines(HOLDS)
        self.assertEqual((warned["starts"], warned["start_outcomes"]), (0, ""))
        self.assertNotIn("first_start_age_s", warned)
        state.may_start = may_start
        virtual.run(1.5)
        (ended,) = self.lines(HOLDS_NO_LONGER)
        self.assertEqual(ended["ended_by"], BEGUN)
        self.assertEqual(state.unbegun_runs.pop_ended(), [])

    # Guards against a start that was withheld and that looks like one without an answer.
    def test_a_withheld_start_is_not_one_without_an_answer(self) -> None:
        virtual = fleet(1, never_ends)
        virtual.run(0.5)
        virtual.calls.choose_send_delay_s = lambda: 0.3
        virtual.submit(LASTING)
        evacuation = virtual.scheduler.evacuation
        with patch.object(evacuation, "may_start", return_value=False):
            virtual.run(WARN_AFTER_S + 1.0)
        (warned,) = self.lines(HOLDS)
        self.assertRegex(str(warned["start_outcomes"]), r"^withheld: \d+$")

    # Guards against warnings of runs that began in time, and of a lost run that had begun.
    def test_runs_that_have_begun_are_not_reported(self) -> None:
        virtual = fleet(1, never_ends)
        virtual.submit(LASTING)
        virtual.run(5.0)
        virtual.workers[WorkerId("w0")].reachable = False
        virtual.run(14.0)
        self.assertEqual(self.lines(HOLDS), [])
        (lost,) = self.lines(LOST)
        self.assertTrue(lost["begun"])
        self.assertEqual(virtual.scheduler.unbegun_runs.pop_ended(), [])

    # Guards against a maintenance that shows in no line on a run started after it.
    def test_the_maintenance_of_a_vm_is_recorded_for_its_server(self) -> None:
        virtual = VirtualFleet(configuration(), never_ends)
        virtual.take_over()
        waves = VirtualWaves(virtual)
        virtual.boot("w0", POOL, CAPACITY, vm_id="m0")
        virtual.run(0.5)
        view = virtual.scheduler.workers[WorkerId("w0")]
        waves.order([VmId("m0")], within_s=8.0, down_max=1)
        virtual.run(1.5)
        self.assertIs(view.vm_order, VmOrder.MAINTENANCE)
        self.assertGreater(view.vm_order_s, 0.0)

    # Guards against a refused start that looks like one without an answer.
    def test_a_refused_start_is_counted(self) -> None:
        virtual = fleet(1, too_large)
        virtual.submit(LASTING)
        virtual.run(0.5)
        line = self.lines(DISCARDED)[0]
        self.assertEqual(line["reason"], DiscardReason.START_REFUSED.value)
        self.assertEqual(line["start_outcomes"], "refused: 1")
        ended = virtual.scheduler.unbegun_runs.pop_ended()[0]
        self.assertEqual(ended.ended_by, "start_refused")
        self.assertLess(ended.held_s, 0.5)


if __name__ == "__main__":
    unittest.main()

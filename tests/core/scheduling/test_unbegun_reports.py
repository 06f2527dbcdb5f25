"""Lines and figures about runs that hold their tasks without having begun."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, POOL, configuration, fleet, job, never_ends
from tests.core.scheduling.test_run_gaps import RUNS_AGAIN, RunGapsTestCase
from toucandoor.core.jobs.models import Step
from toucandoor.core.scheduling.start_log import VmOrder
from toucandoor.core.scheduling.worker_view import DiscardReason
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.fakes.virtual_platform import TaskBehaviour

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

    # Guards against lines on a lost run that can't tell whether, when and how it was started.
    def test_lines_on_a_run_lost_before_it_began_tell_of_its_starts(self) -> None:
        virtual = self.fail_at_first_start()
        virtual.run(12.0)
        (lost,) = self.lines(LOST)
        (discarded,) = self.lines(DISCARDED)
        for line in (lost, discarded):
            self.assertFalse(line["begun"])
            self.assertGreater(seconds(line, "planned_age_s"), 3.0)
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


if __name__ == "__main__":
    unittest.main()

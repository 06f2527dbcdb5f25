"""Copies: when a task gets a second run, where, and what it may cost."""

from __future__ import annotations

import unittest
from typing import Any

from msgspec.structs import replace

from tests.core.failure_domains.common import rack_fleet, runs_20s, set_reachable
from tests.core.scheduling.common import NEEDS, job, succeeds_after_1s
from toucandoor.core.copies import spare_capacity
from toucandoor.core.copies.models import CopyCounts, NoCopies
from toucandoor.core.jobs.models import JobState, Step, TaskKey
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import WorkerId

COPIED = Step(1, NEEDS, estimate_ms=1000, copies_allowed=True)


def slow_on_first(_task: TaskKey, worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of a task that takes 30 s on the first rack and 1 s elsewhere."""
    return TaskBehaviour(NEEDS, 30.0 if worker.startswith("r0") else 1.0)


def copied_fleet(**options: Any) -> VirtualFleet:
    """Return a fleet of 64 cores, of which copies may reserve 6.4: three tasks."""
    virtual = rack_fleet(**{"behaviour": slow_on_first} | options)
    virtual.observations.copies_allowed = lambda task: True
    return virtual


def counts(virtual: VirtualFleet) -> CopyCounts:
    """Return the counts of the present owner."""
    return virtual.scheduler.copies


class OverdueTest(unittest.TestCase):
    """Runs that take much longer than the quantile of their step."""

    def test_the_first_to_be_done_counts_and_the_other_run_is_stopped(self) -> None:
        virtual = copied_fleet()
        spec = job(1, COPIED)
        virtual.submit(spec)
        virtual.run(1.4)
        self.assertEqual(virtual.observations.copies, 0)
        virtual.run(1.6)
        self.assertEqual(virtual.state(spec.job_id), JobState.COMPLETED)
        self.assertFalse(any(virtual.observations.running.values()))
        self.assertEqual(virtual.observations.violations, [])
        found = counts(virtual)
        self.assertEqual((found.started, found.won, found.lost), (1, 1, 0))
        self.assertAlmostEqual(found.core_s, 2.0, delta=0.4)

    def test_what_is_never_copied(self) -> None:
        one_rack = {"racks": 1, "servers": 3, "behaviour": runs_20s}
        cases: dict[str, tuple[Step, dict[str, Any]]] = {
            "others of its step run": (replace(COPIED, count=2), {}),
            "copies are not allowed": (replace(COPIED, copies_allowed=False), {}),
            "gang": (replace(COPIED, gang=True), {}),
            "long-running": (replace(COPIED, long_running=True), {}),
            "best effort": (replace(COPIED, uses_leftovers=True), {}),
            "no estimate": (replace(COPIED, estimate_ms=0), {}),
            "no more runs may fail": (COPIED, {"attempts_max": 1}),
            "no other rack than the first run's": (COPIED, one_rack),
        }
        for name, (step, options) in cases.items():
            with self.subTest(name):
                virtual = copied_fleet(**options)
                virtual.submit(job(1, step))
                virtual.run(10.0)
                self.assertEqual(virtual.observations.copies, 0)
                if name in ("copies are not allowed", "gang", "long-running", "best effort"):
                    set_reachable(virtual, "r0", reachable=False)
                    virtual.run(4.0)
                    self.assertEqual(virtual.observations.copies, 0)

    def test_copies_reserve_at_most_a_tenth_of_the_pool(self) -> None:
        virtual = copied_fleet()
        for number in range(6):
            virtual.submit(job(number + 1, COPIED))
        with self.assertLogs(spare_capacity.__name__, "INFO") as logs:
            virtual.run(1.9)
        self.assertEqual(virtual.observations.copies, 3)
        self.assertEqual(counts(virtual).over_budget, 3)
        # `toucandoor explain job` would otherwise not tell why a task waited for a slow run.
        lines = [
            each.__dict__["job"]
            for each in logs.records
            if each.message == "copies: refused" and each.__dict__["reason"] == "over budget"
        ]
        self.assertEqual(len(set(lines)), len(lines))
        self.assertEqual(len(lines), 3)
        virtual.run(5.0)
        self.assertEqual(counts(virtual).won, 6)

    def test_copies_leave_the_room_that_waiting_tasks_need(self) -> None:
        virtual = copied_fleet()
        virtual.submit(job(1, COPIED))
        virtual.run(1.0)
        # Each of these needs more than half a server: eight run and two wait.
        wide = Step(1, NEEDS.times(2.5), estimate_ms=1000)
        for number in range(10):
            virtual.submit(job(number + 2, wide))
        virtual.run(0.6)
        self.assertEqual(virtual.observations.copies, 0)
        virtual.run(3.0)
        self.assertEqual(virtual.observations.copies, 1)


class SilentTest(unittest.TestCase):
    """Runs on servers that do not answer."""

    def test_a_rack_out_of_reach_for_5_s_with_and_without_copies(self) -> None:
        """Guards against tasks that wait for the rack though they may run twice."""
        completed_s: dict[bool, float] = {}
        for baseline in (False, True):
            virtual = copied_fleet(behaviour=succeeds_after_1s, baseline=baseline)
            if baseline:
                virtual.scheduler._copies = NoCopies()
            spec = job(1, replace(COPIED, count=2))
            virtual.submit(spec)
            virtual.run(0.3)
            set_reachable(virtual, "r0", reachable=False)
            virtual.schedule(5.0, lambda v=virtual: set_reachable(v, "r0", reachable=True))
            began_s = virtual.clock.monotonic_s()
            while not virtual.state(spec.job_id).final:
                virtual.run(0.05)
            completed_s[baseline] = virtual.clock.monotonic_s() - began_s
            virtual.run(10.0)
            self.assertFalse(any(virtual.observations.running.values()))
            self.assertEqual(virtual.observations.violations, [])
        self.assertLess(completed_s[False], 3.2)
        self.assertGreater(completed_s[True], 5.0)

    def test_no_copies_when_the_owners_own_connection_is_suspected(self) -> None:
        """Guards against copies of half the schedule while the owner itself is cut off."""
        virtual = copied_fleet(behaviour=runs_20s)
        step = Step(24, NEEDS, estimate_ms=20000, copies_allowed=True, per_worker_max=3)
        virtual.submit(job(1, step))
        virtual.run(0.5)
        for rack in ("r0", "r1", "r2"):
            set_reachable(virtual, rack, reachable=False)
        virtual.run(4.0)
        self.assertLessEqual(virtual.observations.copies, 3)
        before = virtual.observations.copies
        virtual.run(1.0)
        self.assertEqual(virtual.observations.copies, before)

    def test_a_new_owner_knows_both_runs_and_stops_the_other_one(self) -> None:
        virtual = copied_fleet()
        spec = job(1, COPIED)
        virtual.submit(spec)
        virtual.run(1.8)
        self.assertEqual(virtual.observations.copies, 1)
        virtual.take_over()
        virtual.run(0.1)
        task = virtual.scheduler.jobs[spec.job_id].step(0, 0).tasks[0]
        self.assertEqual([run.is_copy for run in task.runs], [False, True])
        self.assertFalse(task.waiting)
        virtual.run(2.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.COMPLETED)
        self.assertFalse(any(virtual.observations.running.values()))
        self.assertEqual(virtual.observations.starts, 2)
        self.assertEqual(counts(virtual).won, 1)

    def test_a_late_start_is_refused_once_another_run_may_be_done(self) -> None:
        """Guards against a start that is carried out seconds after the task is done."""
        virtual = copied_fleet()
        outcomes = iter([CallOutcome.LATE])
        virtual.calls.choose_outcome = lambda kind: (
            next(outcomes, CallOutcome.ANSWERED) if kind == "start" else CallOutcome.ANSWERED
        )
        virtual.submit(job(1, COPIED))
        virtual.run(0.2)
        set_reachable(virtual, "r0", reachable=False)
        virtual.run(6.0)  # the start arrives after 4 s
        self.assertEqual(len(virtual.observations.acknowledged), 1)
        self.assertEqual(virtual.observations.violations, [])

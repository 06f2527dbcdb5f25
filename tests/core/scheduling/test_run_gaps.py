"""Long-running tasks and jobs that could run and have no run."""

from __future__ import annotations

import logging
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, fleet, job, never_ends
from toucandoor.core.jobs.models import Step
from toucandoor.core.scheduling.run_gap_models import LastEnd, WaitCause
from toucandoor.core.scheduling.run_gaps import LINES_PER_REVIEW_MAX
from toucandoor.core.scheduling.worker_view import Cordon, CordonSource
from toucandoor.core.scheduling.workers import RunKey, StartOrder
from toucandoor.ids import WorkerId

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.scheduling.run_gaps import RunGaps
    from toucandoor.fakes.virtual_fleet import VirtualFleet

NO_RUN = "runs: a long-running task has had no run for a while"
RUNS_AGAIN = "runs: a long-running task runs again"
IDLE = "jobs: nothing of a job has run for a while"


def lasting(number: int, tasks: int = 1) -> JobSpec:
    return job(number, Step(tasks, NEEDS, long_running=True))


class RunGapsTestCase(unittest.TestCase):
    """Records the lines about gaps."""

    def setUp(self) -> None:
        self.records: list[logging.LogRecord] = []
        handler = logging.Handler()
        handler.emit = self.records.append  # type: ignore[method-assign]
        logger = logging.getLogger("toucandoor.core.scheduling")
        level = logger.level
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        self.addCleanup(setattr, logger, "propagate", True)
        self.addCleanup(logger.setLevel, level)
        self.addCleanup(logger.removeHandler, handler)

    def lines(self, kind: str) -> list[dict[str, object]]:
        return [vars(each) for each in self.records if each.msg == kind]


def gaps_of(virtual: VirtualFleet) -> RunGaps:
    return virtual.scheduler.state.run_gaps


def drain(virtual: VirtualFleet, worker_id: str) -> None:
    entry = virtual.workers[WorkerId(worker_id)].entry
    virtual.scheduler.worker_listed(replace(entry, draining=True))


class LongRunningTasksTest(RunGapsTestCase):
    # Guards against a log that can't tell why a long-running task had no run.
    def test_a_task_stopped_for_a_drain_without_room_elsewhere_is_logged_with_its_parts(
        self,
    ) -> None:
        virtual = fleet(1, never_ends)
        virtual.submit(lasting(1))
        virtual.run(2.0)
        self.assertEqual(self.lines(NO_RUN), [])
        drain(virtual, "w0")
        virtual.run(2.6)
        waiting = self.lines(NO_RUN)
        self.assertEqual([int(each["gap_s"]) for each in waiting], [1, 2])  # type: ignore[call-overload]
        self.assertEqual(waiting[0]["ended_as"], LastEnd.DRAINING.value)
        self.assertEqual(waiting[0]["waited_for"], WaitCause.NO_SERVER.value)
        self.assertEqual(waiting[0]["worker"], "w0")
        self.assertEqual(gaps_of(virtual).open_by_cause(), {WaitCause.NO_SERVER: 1})
        virtual.boot("w1", POOL, CAPACITY)
        virtual.run(1.0)
        (again,) = self.lines(RUNS_AGAIN)
        self.assertAlmostEqual(again["gap_s"], 2.65, delta=0.15)  # type: ignore[call-overload]
        self.assertIn(WaitCause.NO_SERVER.value, str(again["waits"]))
        self.assertEqual(gaps_of(virtual).open_by_cause(), {})
        self.assertAlmostEqual(gaps_of(virtual).pop_longest_s(), 2.65, delta=0.15)
        self.assertEqual(gaps_of(virtual).pop_longest_s(), 0.0)

    # Guards against a loss whose cause, the wait for a lease, shows in no line.
    def test_a_run_on_a_silent_server_is_a_gap_since_its_last_answer(self) -> None:
        virtual = fleet(2, never_ends)
        virtual.submit(lasting(1))
        virtual.run(2.0)
        (run,) = virtual.scheduler.jobs[job(1).job_id].step(0, 0).tasks[0].runs
        silent = run.worker.entry.worker_id
        virtual.workers[silent].reachable = False
        answered_s = run.worker.answered_s
        virtual.run(4.0)
        line = self.lines(NO_RUN)[-1]
        self.assertEqual(line["ended_as"], LastEnd.SERVER_SILENT.value)
        self.assertEqual(line["waited_for"], WaitCause.SILENT_SERVER.value)
        self.assertEqual(line["worker"], silent)
        virtual.run(6.0)
        (again,) = self.lines(RUNS_AGAIN)
        self.assertEqual(again["ended_as"], LastEnd.LEASE_EXPIRED.value)
        self.assertEqual(again["waited_for"], WaitCause.SILENT_SERVER.value)
        (later,) = virtual.scheduler.jobs[job(1).job_id].step(0, 0).tasks[0].runs
        assert later.confirmed_s is not None
        self.assertAlmostEqual(
            again["gap_s"], later.confirmed_s - answered_s, delta=0.01  # type: ignore[call-overload]
        )

    # Guards against gaps that are counted twice or for ever after a server answers again.
    def test_a_silent_server_that_answers_again_ends_the_gap(self) -> None:
        virtual = fleet(1, never_ends)
        virtual.submit(lasting(1))
        virtual.run(2.0)
        worker = virtual.workers[WorkerId("w0")]
        worker.reachable = False
        virtual.run(3.0)
        worker.reachable = True
        virtual.run(2.0)
        self.assertEqual(len(self.lines(RUNS_AGAIN)), 1)
        self.assertEqual(gaps_of(virtual).open_by_cause(), {})

    # Guards against a wait for a former owner's lease that no line of the new owner tells.
    def test_a_recovered_run_on_a_server_that_is_gone_is_a_gap_of_the_new_owner(self) -> None:
        virtual = fleet(2, never_ends)
        virtual.submit(lasting(1))
        virtual.run(2.0)
        (run,) = virtual.scheduler.jobs[job(1).job_id].step(0, 0).tasks[0].runs
        virtual.crash(run.worker.entry.worker_id)
        virtual.take_over()
        virtual.run(3.0)
        line = self.lines(NO_RUN)[-1]
        self.assertEqual(line["ended_as"], LastEnd.FORMER_OWNER.value)
        self.assertEqual(line["waited_for"], WaitCause.SILENT_SERVER.value)

    # Guards against a stop whose reason is lost once its server is put back into use.
    def test_the_reason_of_a_stop_is_what_takes_the_server_out_of_use(self) -> None:
        for source, expected in (
            (CordonSource.WAVE, LastEnd.MAINTENANCE),
            (CordonSource.MOVE, LastEnd.MOVE),
            (CordonSource.EVACUATION, LastEnd.EVACUATION),
        ):
            with self.subTest(source):
                self.records.clear()
                virtual = fleet(1, never_ends)
                virtual.submit(lasting(1))
                virtual.run(2.0)
                worker = virtual.scheduler.workers[WorkerId("w0")]
                worker.cordons.add(Cordon(source))
                (run,) = worker.runs.values()
                virtual.scheduler.state.request_stop(run)
                virtual.run(1.5)
                self.assertEqual(self.lines(NO_RUN)[0]["ended_as"], expected.value)

    # Guards against a gap that is put down to its pool while the team's ceiling holds it back.
    def test_the_ceiling_of_the_team_is_told_from_a_lack_of_room(self) -> None:
        for ceiling, expected in ((NEEDS, WaitCause.CEILING), (None, WaitCause.NO_ROOM)):
            with self.subTest(expected):
                self.records.clear()
                options = {} if ceiling is None else {"ceiling": ceiling}
                virtual = fleet(1, never_ends, **options)  # type: ignore[arg-type]
                virtual.submit(lasting(1, 1 if ceiling is not None else 4))
                virtual.submit(lasting(2))
                virtual.run(6.0)
                (line,) = self.lines(NO_RUN)[:1]
                self.assertEqual(line["ended_as"], LastEnd.NEVER_STARTED.value)
                self.assertEqual(line["waited_for"], expected.value)

    # Guards against lines and gaps of tasks that no caller waits for.
    def test_tasks_of_cancelled_jobs_are_in_no_gap(self) -> None:
        virtual = fleet(1, never_ends)
        virtual.submit(lasting(1, 2))
        virtual.run(2.0)
        virtual.cancel(job(1).job_id)
        virtual.run(5.0)
        self.assertEqual(self.lines(NO_RUN), [])
        self.assertEqual(gaps_of(virtual).open_by_cause(), {})

    # Guards against gaps of tasks that have another run, such as one with a late start elsewhere.
    def test_the_stop_of_a_second_run_is_no_gap(self) -> None:
        virtual = fleet(2, never_ends)
        virtual.submit(lasting(1))
        virtual.run(2.0)
        gaps_of(virtual).pop_ended()
        task = virtual.scheduler.jobs[job(1).job_id].step(0, 0).tasks[0]
        (run,) = task.runs
        here = run.worker.entry.worker_id
        other = next(each for name, each in virtual.workers.items() if name != here)
        until_ms = other.clock_ms() + 5000
        key = RunKey(task.key, run.key.attempt)
        token = virtual.scheduler.token
        other.start(StartOrder(key, "payload", until_ms, token, "", ""))
        virtual.scheduler.registry.require_heartbeat(
            virtual.scheduler.workers[other.entry.worker_id]
        )
        virtual.run(3.0)
        self.assertEqual(virtual.observations.starts, 2)
        self.assertEqual(virtual.observations.running[task.key], {here})
        self.assertEqual(gaps_of(virtual).pop_ended(), [])

    # Guards against a flood of lines when a large part of the fleet is silent.
    def test_many_gaps_at_once_are_logged_in_portions_and_none_is_forgotten(self) -> None:
        virtual = fleet(30, never_ends)
        virtual.submit(lasting(1, 110))
        virtual.run(2.0)
        for worker in virtual.workers.values():
            worker.reachable = False
        virtual.run(5.0)
        tasks = {str(each["task"]) for each in self.lines(NO_RUN)}
        self.assertEqual(len(tasks), 110)
        self.assertLessEqual(len(self.lines(NO_RUN)), 4 * 5 * LINES_PER_REVIEW_MAX)


class IdleJobsTest(RunGapsTestCase):
    # Guards against a job that stands still and shows in no line.
    def test_a_job_without_any_run_is_logged_with_what_it_waits_for(self) -> None:
        virtual = fleet(1)
        virtual.submit(job(1, Step(1, NEEDS, estimate_ms=1000)))
        virtual.run(0.5)
        virtual.crash("w0")
        virtual.run(12.0)
        line, *_ = self.lines(IDLE)
        self.assertEqual(line["job"], job(1).job_id)
        self.assertEqual(line["begun"], 1)
        self.assertEqual(line["waited_for"], WaitCause.NO_SERVER.value)

    # Guards against lines about jobs that wait for their next occurrence.
    def test_a_job_between_two_occurrences_is_not_idle(self) -> None:
        virtual = fleet(1)
        now_ms = int(virtual.clock.now().timestamp() * 1000)
        spec = job(1, Step(1, NEEDS, estimate_ms=1000), occurrences=2, first_due_unix_ms=now_ms)
        virtual.submit(msgspec.structs.replace(spec, interval_ms=8000))
        virtual.run(12.0)
        self.assertEqual(self.lines(IDLE), [])


if __name__ == "__main__":
    unittest.main()

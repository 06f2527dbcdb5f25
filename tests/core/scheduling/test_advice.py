"""Queues whose adviser names the servers that may run a step, taking a time for each of them."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, QUEUE, configuration, job
from toucandoor.core.jobs.configuration import AdviserTimes
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.scheduling.advice import CALL_S
from toucandoor.core.scheduling.workers import OrderRefusal, OrderRefusedError
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import JobSpec, TaskKey
    from toucandoor.core.scheduling.workers import StartOrder
    from toucandoor.ids import WorkerId

DECISION_S, PER_WORKER_S, VALIDITY_S = 0.6, 0.04, 10.0


def ends_after_1s(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    return TaskBehaviour(NEEDS, 1.0)


class AdviceTest(unittest.TestCase):
    """Jobs of a queue with an adviser start, whatever the size of the pool."""

    def make_fleet(self, servers: int) -> VirtualFleet:
        known = configuration()
        adviser = AdviserTimes(DECISION_S, PER_WORKER_S, VALIDITY_S)
        queue = replace(known.queues[QUEUE], adviser=adviser)
        fleet = VirtualFleet(replace(known, queues={QUEUE: queue}), ends_after_1s)
        for number in range(servers):
            fleet.boot(f"w{number}", POOL, CAPACITY)
        fleet.take_over()
        fleet.run(1.0)
        return fleet

    def submit(self, fleet: VirtualFleet, first: int, count: int) -> list[JobSpec]:
        specs = [job(number, Step(4, NEEDS, 1000)) for number in range(first, first + count)]
        for spec in specs:
            fleet.submit(spec)
        return specs

    def assert_completed(self, fleet: VirtualFleet, specs: list[JobSpec]) -> None:
        for spec in specs:
            self.assertIs(fleet.state(spec.job_id), JobState.COMPLETED, spec.job_id)
        self.assertEqual(fleet.observations.violations, [])

    # Guards against a queue that stands still for good, as advice on its pool outlasts a time-out.
    def test_jobs_start_however_many_servers_the_pool_has(self) -> None:
        for servers in (1, 30, 36, 40, 100, 101, 250):
            with self.subTest(servers=servers):
                fleet = self.make_fleet(servers)
                specs = self.submit(fleet, 1, 1)
                fleet.run(CALL_S + 1.5)
                self.assert_completed(fleet, specs)
                self.assertEqual(fleet.calls.adviser.unanswered, 0)

    def test_calls_for_many_steps_wait_for_each_other_and_none_is_repeated(self) -> None:
        fleet = self.make_fleet(40)
        specs = self.submit(fleet, 1, 20)
        fleet.run(20 * CALL_S + 5.0)
        self.assert_completed(fleet, specs)
        self.assertEqual(fleet.calls.adviser.unanswered, 0)
        self.assertEqual(len(fleet.calls.adviser.asked), 20)

    def test_a_step_that_only_servers_beyond_the_first_call_may_run_is_started(self) -> None:
        for gang in (False, True):
            with self.subTest(gang=gang):
                fleet = self.make_fleet(250)
                allowed = {f"w{number}" for number in range(240, 250)}
                fleet.calls.adviser.approves = allowed.__contains__
                spec = job(1, Step(4, NEEDS, 1000, gang=gang))
                fleet.submit(spec)
                fleet.run(30.0)
                self.assert_completed(fleet, [spec])

    def test_an_adviser_that_is_slower_than_configured_is_asked_for_fewer_servers(self) -> None:
        fleet = self.make_fleet(40)
        fleet.calls.adviser.decision_s *= 4
        fleet.calls.adviser.per_worker_s *= 4
        specs = self.submit(fleet, 1, 2)
        with self.assertLogs("toucandoor.core.scheduling.advice", "INFO"):
            fleet.run(60.0)
        self.assert_completed(fleet, specs)
        asked = fleet.calls.adviser.asked
        self.assertLess(min(asked), max(asked))

    def test_calls_are_few_while_the_adviser_is_away_and_jobs_start_after_its_return(self) -> None:
        fleet = self.make_fleet(40)
        fleet.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "advise" else CallOutcome.ANSWERED
        )
        specs = self.submit(fleet, 1, 3)
        fleet.run(30.0)
        self.assertLess(len(fleet.calls.adviser.asked), 30)
        fleet.calls.choose_outcome = lambda kind: CallOutcome.ANSWERED
        fleet.run(30.0)
        self.assert_completed(fleet, specs)

    def test_answers_that_are_lost_delay_but_stop_nothing(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                chosen = random.Random(seed)
                fleet = self.make_fleet(40)

                def lose(kind: str, chosen: random.Random = chosen) -> CallOutcome:
                    lost = kind == "advise" and chosen.random() < 0.3
                    return CallOutcome.ANSWER_LOST if lost else CallOutcome.ANSWERED

                fleet.calls.choose_outcome = lose
                specs = self.submit(fleet, 1, 5)
                fleet.run(90.0)
                self.assert_completed(fleet, specs)

    # Guards against one server that has all tickets of a step forgotten, again and again.
    def test_a_server_that_accepts_no_ticket_does_not_hold_up_a_step(self) -> None:
        fleet = self.make_fleet(3)
        refusing = fleet.workers[next(iter(fleet.workers))]

        def refuse(_order: StartOrder) -> int:
            raise OrderRefusedError(OrderRefusal.TICKET_INVALID, step="start", peer="w0")

        refusing.start = refuse  # type: ignore[method-assign]
        specs = self.submit(fleet, 1, 3)
        fleet.run(8.0)
        self.assert_completed(fleet, specs)
        self.assertLessEqual(len(fleet.calls.adviser.asked), 3)

    # Guards against servers that are never used again, as all tickets expired before the starts.
    def test_servers_whose_tickets_have_expired_are_asked_for_again(self) -> None:
        fleet = self.make_fleet(3)
        refused_until_s = fleet.clock.monotonic_s() + 5.0
        for worker in fleet.workers.values():
            start = worker.start

            def expired(order: StartOrder, start: Callable[[StartOrder], int] = start) -> int:
                if fleet.clock.monotonic_s() < refused_until_s:
                    raise OrderRefusedError(OrderRefusal.TICKET_INVALID, step="start", peer="w")
                return start(order)

            worker.start = expired  # type: ignore[method-assign]
        specs = self.submit(fleet, 1, 2)
        fleet.run(15.0)
        self.assert_completed(fleet, specs)

    def test_servers_that_join_later_are_asked_for_when_the_others_are_full(self) -> None:
        fleet = self.make_fleet(1)
        specs = self.submit(fleet, 1, 1)
        fleet.run(1.0)
        for number in range(1, 4):
            fleet.boot(f"w{number}", POOL, CAPACITY)
        specs += self.submit(fleet, 2, 3)
        fleet.run(8.0)
        self.assert_completed(fleet, specs)

    # Guards against a cancelled job that runs, and is shown as completed, as its adviser answered
    # after the cancellation.
    def test_advice_for_a_job_that_was_cancelled_meanwhile_starts_nothing(self) -> None:
        fleet = self.make_fleet(30)
        (spec,) = self.submit(fleet, 1, 1)
        fleet.run(0.5)
        self.assertEqual(fleet.calls.adviser.asked, [30])
        fleet.cancel(spec.job_id)
        fleet.run(10.0)
        self.assertEqual(fleet.observations.starts, 0)
        self.assertIs(fleet.state(spec.job_id), JobState.CANCELLED)

    # Guards against the same where a task has failed for good while servers for others were asked
    # for.
    def test_advice_for_a_job_that_has_failed_meanwhile_starts_nothing(self) -> None:
        fleet = self.make_fleet(30)
        (spec,) = self.submit(fleet, 1, 1)
        fleet.run(0.5)
        (job_progress,) = fleet.scheduler.jobs.values()
        fleet.scheduler.state.finish(job_progress, JobState.FAILED)
        fleet.run(10.0)
        self.assertEqual(fleet.observations.starts, 0)
        self.assertIs(fleet.state(spec.job_id), JobState.FAILED)

    def test_a_new_owner_asks_again(self) -> None:
        fleet = self.make_fleet(40)
        specs = self.submit(fleet, 1, 2)
        fleet.run(0.5)
        fleet.take_over()
        fleet.run(10.0)
        self.assert_completed(fleet, specs)


if __name__ == "__main__":
    unittest.main()

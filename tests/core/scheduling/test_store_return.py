"""Outages of the store and losses of the owner, with 500 open jobs and 40 backend servers."""

from __future__ import annotations

import random
import unittest
from itertools import count
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.jobs.records import PROGRESS_PREFIX, decode_progress
from toucandoor.core.ownership.lease import OWNER_TTL_S, RENEW_INTERVAL_S, VALIDITY_MARGIN_S
from toucandoor.fakes.virtual_calls import STORE_CALL_S, CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.records import Transaction
    from toucandoor.ids import WorkerId

SERVERS = 40
OPEN_JOBS = 500
OUTAGE_S = 5.0
KILLED_S, CUT_OFF_S = 1.0, 2.0
"""Targets for the time without a start."""
TAKEOVER_S = 0.1
"""What the target leaves when the lease ends 0.9 s after the owner was killed."""
CLAIM_AND_LOAD_S = 0.06 + 3 * STORE_CALL_S
"""Until a node has claimed, with the youngest one down (``tests/adapters/test_many_nodes.py``);
then for the answer to its claim and two reads."""


class BusyFleetTestCase(unittest.TestCase):
    """Callers replace each job that has completed."""

    def setUp(self) -> None:
        self.random = random.Random(1)
        self.numbers = count(1)
        self.completed: dict[str, float] = {}
        self.fleet = VirtualFleet(configuration(), self.behaviour)
        for number in range(SERVERS):
            self.fleet.boot(f"w{number}", POOL, CAPACITY.times(7))
        self.fleet.take_over()
        write = self.fleet.records.write

        def observed_write(transaction: Transaction) -> int:
            revision = write(transaction)
            for key, value in transaction.writes.items():
                if key.startswith(PROGRESS_PREFIX):
                    self.observe(key, decode_progress(value).state)
            return revision

        self.fleet.records.write = observed_write  # type: ignore[method-assign]
        for _ in range(OPEN_JOBS):
            self.submit()

    def behaviour(self, _task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
        return TaskBehaviour(NEEDS, self.random.uniform(0.2, 1.2))

    def submit(self) -> None:
        wait_s = self.fleet.calls.store_down_until_s - self.now_s
        if wait_s > 0:
            self.fleet.schedule(wait_s + 0.1, self.submit)
            return
        steps = (Step(2, NEEDS, estimate_ms=700), Step(2, NEEDS, estimate_ms=700, after=(0,)))
        self.fleet.submit(job(next(self.numbers), *steps))

    def observe(self, key: str, state: JobState) -> None:
        if state is JobState.COMPLETED and key not in self.completed:
            self.completed[key] = self.now_s
            self.fleet.schedule(0.05, self.submit)

    @property
    def now_s(self) -> float:
        return self.fleet.clock.monotonic_s()

    def completed_within(self, from_s: float, for_s: float) -> int:
        return sum(from_s <= each < from_s + for_s for each in self.completed.values())

    def running(self) -> int:
        for worker in self.fleet.workers.values():
            worker.update()
        return sum(len(worker.runs) for worker in self.fleet.workers.values())


class StoreReturnTest(BusyFleetTestCase):
    """The store is unavailable for a while."""

    def test_jobs_complete_and_start_again_at_once(self) -> None:
        # The owner must not wait for a renewal, a watch or starts before it stores what ended.
        self.fleet.run(3.0)
        level_per_s = self.completed_within(self.now_s - 1.5, 1.5) / 1.5
        running = self.running()
        self.fleet.make_store_unavailable(OUTAGE_S)
        self.fleet.run(OUTAGE_S)
        returned_s = self.now_s
        self.assertEqual(self.completed_within(returned_s - 4.9, 4.9), 0)
        self.fleet.run(0.3)
        self.assertGreater(self.completed_within(returned_s, 0.3), 0)
        self.fleet.run(0.1)
        self.assertGreaterEqual(self.running(), 0.9 * running)
        self.fleet.run(1.6)
        self.assertGreaterEqual(self.completed_within(returned_s + 1.0, 1.0), 0.9 * level_per_s)
        self.assertEqual(self.fleet.observations.violations, [])


class OwnerLostTest(BusyFleetTestCase):
    """Another node takes over when the lease in the store has ended."""

    def assert_gap(self, lost_s: float, lease_rest_s: float, within_s: float) -> None:
        """Take over at the end of the lease; check the time in which no start was sent."""
        self.fleet.run(lost_s + lease_rest_s + CLAIM_AND_LOAD_S - self.now_s)
        former = len(self.fleet.observations.started)
        last_s = self.fleet.observations.started[-1][0]
        self.fleet.take_over()
        self.fleet.run(0.5)
        first_s = self.fleet.observations.started[former][0]
        self.assertLess(first_s - last_s, within_s)
        self.assertLess(first_s - lost_s - lease_rest_s, TAKEOVER_S)
        self.assertEqual(self.fleet.observations.violations, [])

    def test_starts_go_on_soon_after_the_lease_of_a_killed_owner(self) -> None:
        # Nothing but the lease may keep the schedule standing.
        self.fleet.run(1.0)
        assert self.fleet.owner is not None
        self.fleet.owner.alive = False
        self.assert_gap(self.now_s, OWNER_TTL_S - RENEW_INTERVAL_S, KILLED_S)

    def test_starts_go_on_soon_after_an_owner_was_cut_off_from_the_store(self) -> None:
        # It may start what is stored until its lease ends, but plans can't be stored any more.
        self.fleet.run(1.0)
        assert self.fleet.owner is not None
        self.fleet.owner.valid_until_s = self.now_s + OWNER_TTL_S - VALIDITY_MARGIN_S
        cut_s = self.now_s
        self.fleet.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT
            if kind == "write" and self.now_s < cut_s + OWNER_TTL_S
            else CallOutcome.ANSWERED
        )
        self.assert_gap(cut_s, OWNER_TTL_S, CUT_OFF_S)


if __name__ == "__main__":
    unittest.main()

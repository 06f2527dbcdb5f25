"""Tests of the routing policies."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings, strategies

from toucandoor.core.requests.models import AttemptEnded, AttemptOutcome, BackendServer
from toucandoor.core.routing.leaving import LeavingSource
from toucandoor.core.routing.policy import LeastConnections, RoutingPolicy
from toucandoor.core.routing.shared_load import SharedLoadRouting
from toucandoor.ids import AttemptId, PoolId, VmId

POOL = PoolId("p")


def worker(vm: str, *, leaving: bool = False, data_centre: str = "dc-1") -> BackendServer:
    return BackendServer(
        vm=VmId(vm),
        pool=POOL,
        address=f"{vm}:80",
        slots=8,
        connections=64,
        data_centre=data_centre,
        rack="r",
        leaving=leaving,
    )


class RoutingTest(unittest.TestCase):
    policy: RoutingPolicy

    def setUp(self) -> None:
        self.routing = SharedLoadRouting(Random(1), "dc-1")
        self.policy = self.routing
        self.policy.update_workers([worker(f"vm-{n}") for n in range(4)], 0.0)
        self.count = 0

    def use(self, vm: str, outcome: AttemptOutcome, now_s: float, free: int | None = None) -> None:
        self.count += 1
        attempt = AttemptId(f"a{self.count}")
        self.policy.on_attempt_started(attempt, VmId(vm), now_s)
        self.policy.on_attempt_ended(AttemptEnded(attempt, outcome, slots_free=free), now_s)

    def picks(self, now_s: float, *, count: int = 40, trial: bool = False) -> set[str]:
        picked = (self.policy.pick(POOL, now_s, urgent=True, trial=trial) for _ in range(count))
        return {each.vm for each in picked if each is not None}

    def warm_up(self) -> None:
        for number in range(4):
            self.use(f"vm-{number}", AttemptOutcome.ANSWERED, 0.0)

    def test_ejects_a_server_that_fails_everything(self) -> None:
        self.warm_up()
        for _ in range(3):
            self.use("vm-0", AttemptOutcome.FAILED, 1.0)
        self.assertEqual(self.picks(1.5), {"vm-1", "vm-2", "vm-3"})

    def test_ejects_no_more_than_half_a_pool(self) -> None:
        self.warm_up()
        for number in (0, 1, 2):
            for _ in range(3):
                self.use(f"vm-{number}", AttemptOutcome.FAILED, 1.0)
        self.assertEqual(self.picks(1.5), {"vm-2", "vm-3"})

    def test_ejects_nobody_where_every_server_fails(self) -> None:
        for number in range(4):
            for _ in range(5):
                self.use(f"vm-{number}", AttemptOutcome.FAILED, 1.0)
        self.assertEqual(len(self.picks(1.5)), 4)

    def test_one_trial_at_a_time_brings_a_server_back(self) -> None:
        self.warm_up()
        for _ in range(3):
            self.use("vm-0", AttemptOutcome.FAILED, 1.0)
        self.assertNotIn("vm-0", self.picks(3.0), "a request that runs at most once is no trial")
        self.assertEqual(self.picks(3.0, trial=True), {"vm-0"})
        self.policy.on_attempt_started(AttemptId("trial"), VmId("vm-0"), 3.0)
        self.assertNotIn("vm-0", self.picks(3.0, trial=True))
        self.policy.on_attempt_ended(AttemptEnded(AttemptId("trial"), AttemptOutcome.ANSWERED), 3.1)
        self.assertIn("vm-0", self.picks(3.1))

    def test_attempts_sent_before_the_ejection_do_not_lengthen_it(self) -> None:
        self.warm_up()
        for number in range(8):
            self.policy.on_attempt_started(AttemptId(f"old-{number}"), VmId("vm-0"), 1.0)
        for number in range(8):
            failed = AttemptEnded(AttemptId(f"old-{number}"), AttemptOutcome.FAILED)
            self.policy.on_attempt_ended(failed, 1.0)
        self.assertEqual(self.picks(2.1, trial=True), {"vm-0"})

    def test_an_unreachable_rack_gets_nothing_until_probes_reach_it(self) -> None:
        for number in (0, 1, 2):
            self.policy.mark_unreachable(VmId(f"vm-{number}"), 1.0)
        self.assertEqual(self.picks(1.5, trial=True), {"vm-3"})
        self.assertEqual(len(self.policy.due_for_probe(2.1)), 3)
        self.assertEqual(self.policy.due_for_probe(2.2), [])
        self.policy.on_worker_probed(VmId("vm-0"), draining=False, now_s=2.3)
        self.assertEqual(self.picks(2.3), {"vm-0", "vm-3"})

    def test_a_busy_server_gets_no_attempt_during_its_backoff(self) -> None:
        self.use("vm-0", AttemptOutcome.BUSY, 1.0, free=0)
        self.assertNotIn("vm-0", self.picks(1.01))
        self.assertIn("vm-0", self.picks(20.0))

    def test_reported_load_of_other_entries_counts_and_fades(self) -> None:
        self.use("vm-0", AttemptOutcome.ANSWERED, 1.0, free=2)
        self.assertNotIn("vm-0", self.picks(1.1))
        self.assertIn("vm-0", self.picks(600.0))

    def test_own_data_centre_wins_ties(self) -> None:
        far = [worker(f"far-{n}", data_centre="dc-2") for n in range(3)]
        self.policy.update_workers([*far, worker("near")], 0.0)
        self.assertEqual(self.picks(1.0), {"near"})

    def test_any_leaving_report_stops_new_attempts(self) -> None:
        self.use("vm-0", AttemptOutcome.DRAINING, 1.0)
        self.routing.leaving.add(VmId("vm-1"), LeavingSource.PEER, 1.0)
        workers = [worker(f"vm-{n}", leaving=n == 2) for n in range(4)]
        self.policy.update_workers(workers, 1.0)
        self.assertEqual(self.picks(1.1), {"vm-3"})

    def test_leaving_reports_end(self) -> None:
        self.use("vm-0", AttemptOutcome.DRAINING, 1.0)
        self.routing.leaving.add(VmId("vm-1"), LeavingSource.PEER, 1.0)
        self.assertEqual([s.vm for s in self.policy.due_for_probe(2.1)], ["vm-0"])
        self.policy.on_worker_probed(VmId("vm-0"), draining=False, now_s=2.2)
        self.assertEqual(self.picks(2.3), {"vm-0", "vm-2", "vm-3"})
        self.assertIn("vm-1", self.picks(31.5))

    def test_baseline_ignores_failures(self) -> None:
        self.policy = LeastConnections()
        self.policy.update_workers([worker("vm-0"), worker("vm-1")], 0.0)
        for _ in range(9):
            self.use("vm-0", AttemptOutcome.FAILED, 1.0)
        self.assertIn("vm-0", self.picks(1.5))

    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(list(AttemptOutcome)),
                strategies.integers(0, 3),
                strategies.floats(0.0, 3.0),
            ),
            max_size=60,
        )
    )
    @settings(derandomize=True, deadline=None, database=None)
    def test_failing_tasks_alone_never_empty_a_pool(
        self, steps: list[tuple[AttemptOutcome, int, float]]
    ) -> None:
        self.setUp()
        now_s = 0.0
        out_of_reach = (AttemptOutcome.UNKNOWN, AttemptOutcome.UNREACHABLE)
        for outcome, number, after_s in steps:
            now_s += after_s
            if outcome not in (*out_of_reach, AttemptOutcome.DRAINING, AttemptOutcome.BUSY):
                self.use(f"vm-{number}", outcome, now_s)
            self.assertGreaterEqual(len(self.picks(now_s, count=60)), 1)

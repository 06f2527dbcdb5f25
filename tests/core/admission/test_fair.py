"""Tests of the queue policy and the reserve on their own."""

from __future__ import annotations

import time
import unittest
from dataclasses import replace

from toucandoor.core.admission.drain import DrainRate
from toucandoor.core.admission.fair import FairQueue, FairSettings
from toucandoor.core.admission.models import SlotUse
from toucandoor.core.admission.pool import PoolAdmission
from toucandoor.core.admission.reserve import LentReserve
from toucandoor.core.requests.models import (
    AttemptEnded,
    AttemptOutcome,
    BackendServer,
    PreemptMethod,
    Request,
    RequestClass,
)
from toucandoor.core.shares.ledger import ShareLedger
from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId, TeamId, VmId


def _request(number: int, team: str = "a", *, urgent: bool = True, now_s: float = 0.0) -> Request:
    return Request(
        RequestId(f"{team}-{number}"),
        QueueId("q"),
        TeamId(team),
        RequestClass.URGENT if urgent else RequestClass.PATIENT,
        idempotent=True,
        arrived_s=now_s,
        deadline_s=now_s + 60 + number,
    )


class FairQueueTest(unittest.TestCase):
    def test_a_wave_of_cancellations_is_cheap(self) -> None:
        count = 20_000
        queue = FairQueue(count, ShareLedger({}))
        for number in range(count):
            self.assertTrue(queue.offer(_request(number), 0.0))
        started_s = time.process_time()
        for number in reversed(range(1, count)):
            self.assertIsNotNone(queue.cancel(RequestId(f"a-{number}")))
        self.assertLess(time.process_time() - started_s, 2.0)
        self.assertEqual([each.request_id for each in queue.expired(61.0)], ["a-0"])

    def test_urgent_work_beyond_the_credit_waits_for_the_others(self) -> None:
        shares = ShareLedger({})
        queue = FairQueue(8, shares, FairSettings(urgent_credit=10.0))
        queue.offer(_request(0, "b", urgent=False), 0.0)
        shares.started(TeamId("a"), AttemptId("x"), 0.0)
        queue.offer(_request(0, "a"), 9.0)
        queue.offer(_request(1, "a"), 9.0)
        first = queue.next(9.0, lambda each: True)
        second = queue.next(11.0, lambda each: True)
        self.assertEqual([each and each.request_id for each in (first, second)], ["a-0", "b-0"])

    def test_a_full_queue_refuses_and_a_put_back_request_keeps_its_place(self) -> None:
        queue = FairQueue(2, ShareLedger({}))
        self.assertEqual([queue.offer(_request(n), 0.0) for n in range(3)], [True, True, False])
        picked = queue.next(0.0, lambda each: True)
        assert picked is not None
        self.assertTrue(queue.offer(_request(3), 0.0))
        queue.put_back(picked, 0.0)
        self.assertEqual(len(queue), 3)
        self.assertEqual(queue.next(0.0, lambda each: True), picked)


class LentReserveTest(unittest.TestCase):
    def test_a_reserve_never_takes_the_last_slot(self) -> None:
        for slots in (1, 4):
            use = SlotUse(slots, urgent=0, fixed=0, preemptible=(), under_way=0)
            self.assertTrue(LentReserve(1.0).may_start_patient(use, preemptible=False))


class PoolAdmissionTest(unittest.TestCase):
    def test_a_stop_that_was_not_asked_for_is_no_preemption(self) -> None:
        pool = PoolAdmission(LentReserve(0.5), 2)
        request = replace(_request(0, urgent=False), preempt_how=PreemptMethod.STOP)
        server = BackendServer(VmId("v"), PoolId("p"), "10.0.0.1:1", 2, 64, "dc-1", "r-1")
        for number in range(4):
            attempt_id = AttemptId(f"x-{number}")
            pool.started(request, attempt_id, server, 0.0)
            pool.ended(AttemptEnded(attempt_id, AttemptOutcome.STOPPED), 1.0)
        pool.started(request, AttemptId("y"), server, 2.0)
        self.assertEqual(len(pool.use(2.0).preemptible), 1)


class DrainRateTest(unittest.TestCase):
    def test_follows_starts_and_decays_without_them(self) -> None:
        drain = DrainRate()
        self.assertEqual(drain.time_to_drain_s(0, 0.0), 1.0)
        self.assertEqual(drain.time_to_drain_s(5, 0.0), 120.0)
        for number in range(101):
            drain.started(number / 10)
        self.assertAlmostEqual(drain.time_to_drain_s(40, 10.0), 4.0, places=1)
        self.assertAlmostEqual(drain.per_s(30.0), 1 / 20)

"""Approval tests of request engine sessions with routing, permits and attempts."""

from __future__ import annotations

import unittest
from itertools import count
from random import Random
from typing import Any

from tests.common import verify_session
from toucandoor.clock import ManualClock
from toucandoor.core.admission.policy import FirstComeFirstServed
from toucandoor.core.attempts.budget import RetryBudget
from toucandoor.core.attempts.models import AnswerFetched, TaskQueried, TaskState
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.ceilings.policy import StaticPermits
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.leases.serving import FixedLease
from toucandoor.core.requests.commands import EngineEvent, WorkerProbed
from toucandoor.core.requests.engine import RequestEngine
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    BackendServer,
    Cancelled,
    Dispatch,
    Refuse,
    Request,
    RequestClass,
    Submitted,
    Tick,
)
from toucandoor.core.routing.shared_load import SharedLoadRouting
from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId, TeamId, VmId

ANSWERED = AttemptOutcome.ANSWERED
KEY_DIGEST = "1" * 64
CONFIGURATION = Configuration.model_validate(
    {
        "pools": {"p": {"unavailable_max": 1}},
        "queues": {"q": {"pool": "p"}},
        "teams": {"a": {"ceiling_running": 2, "keys": {"k": {"sha256": KEY_DIGEST}}}},
    }
)


class EngineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lines: list[Any] = []
        self.permits = StaticPermits({TeamId("a"): 2})
        self.lease = FixedLease(float("inf"))
        routing = SharedLoadRouting(Random(1), "dc-1")
        numbers = count(1)
        self.engine = RequestEngine(
            make_queue=lambda queue: FirstComeFirstServed(queue.waiting_max),
            routing=routing,
            permits=self.permits,
            lease=self.lease,
            new_attempt_id=lambda: AttemptId(f"a{next(numbers)}"),
            tracker=AttemptTracker(RetryBudget(Random(1)), routing.is_healthy),
        )
        self.engine.configure(CONFIGURATION)
        workers = [
            BackendServer(VmId(vm), PoolId("p"), f"{vm}:80", 8, 64, "dc-1", "r")
            for vm in ("vm-1", "vm-2")
        ]
        self.engine.update_workers(workers, 0.0)

    def handle(self, event: EngineEvent) -> list[Any]:
        now_s = self.clock.monotonic_s()
        decisions = self.engine.handle(event, now_s)
        self.lines.append({"at_s": round(now_s, 3), "event": event, "decisions": decisions})
        return decisions

    def submit(
        self,
        name: str,
        *,
        idempotent: bool = False,
        deadline_s: float = 60.0,
        key_digest: str | None = None,
    ) -> list[Any]:
        now_s = self.clock.monotonic_s()
        request = Request(
            request_id=RequestId(name),
            queue=QueueId("q"),
            team=TeamId("a"),
            request_class=RequestClass.URGENT,
            idempotent=idempotent,
            arrived_s=now_s,
            deadline_s=now_s + deadline_s,
            key_digest=key_digest,
        )
        return self.handle(Submitted(request))

    def end(self, attempt: str, outcome: AttemptOutcome) -> list[Any]:
        return self.handle(AttemptEnded(AttemptId(attempt), outcome))

    def task_queried(self, attempt: str, state: TaskState | None) -> list[Any]:
        return self.handle(TaskQueried(AttemptId(attempt), state, up_s=900.0))

    def tick(self, after_s: float) -> list[Any]:
        self.clock.advance(after_s)
        return self.handle(Tick())

    def test_permits_come_back_only_when_tasks_have_ended(self) -> None:
        """A third request waits until the task leases of two attempts of unknown outcome expire."""
        self.submit("first")
        self.submit("second")
        self.submit("third", deadline_s=300.0)
        for attempt in ("a1", "a2"):
            self.end(attempt, AttemptOutcome.UNKNOWN)
            self.task_queried(attempt, None)
        self.handle(WorkerProbed(VmId("vm-1"), reached=True))
        self.assertFalse(self.permits.can_acquire(TeamId("a"), 0.0))
        self.assertFalse(any(isinstance(each, Dispatch) for each in self.tick(30.0)))
        started = [each for each in self.tick(3.0) if isinstance(each, Dispatch)]
        self.assertEqual([each.request_id for each in started], ["third"])
        verify_session(self.lines)

    def test_a_request_that_waits_does_not_outlive_its_key(self) -> None:
        for name in ("first", "second", "third"):
            self.submit(name, key_digest=KEY_DIGEST)
        withdrawn = CONFIGURATION.model_copy(
            update={"withdrawn_keys": CONFIGURATION.teams[TeamId("a")].keys}
        )
        self.engine.configure(withdrawn)
        after = [*self.end("a1", ANSWERED), *self.tick(0.05)]
        self.assertFalse(any(isinstance(each, Dispatch) for each in after))
        (refused,) = [each for each in after if isinstance(each, Refuse)]
        self.assertEqual((refused.request_id, refused.status), ("third", 401))
        (late,) = self.submit("late", key_digest=KEY_DIGEST)
        self.assertEqual((late.status, late.fate.value), (401, "not_run"))
        verify_session(self.lines)

    def test_a_request_that_waits_is_refused_when_the_lease_is_not_renewed(self) -> None:
        """Guards against a caller held until its deadline at an entry without a controller."""
        for name in ("first", "second", "third"):
            self.submit(name, deadline_s=3600.0)
        lease_s = CONFIGURATION.policy.entry_lease_s
        self.lease.until_s = self.clock.monotonic_s()
        lapsed = self.tick(0.05) + self.tick(lease_s - 0.1)
        self.lease.until_s = self.clock.monotonic_s() + 1.0
        # The first check after the lease's end comes late, as after a freeze.
        lapsed += self.tick(0.05) + self.tick(20.0) + self.tick(lease_s - 0.1)
        self.assertFalse(any(isinstance(each, Refuse) for each in lapsed))
        (refused,) = [each for each in self.tick(0.2) if isinstance(each, Refuse)]
        self.assertEqual(
            (refused.request_id, refused.status, refused.fate.value, refused.retry_after_s),
            ("third", 503, "not_run", 5.0),
        )
        self.assertEqual(self.end("a1", ANSWERED)[0].request_id, "first")

    def test_requests_of_a_queue_that_is_removed_are_given_up(self) -> None:
        for name in ("first", "second", "third"):
            self.submit(name)
        self.engine.configure(CONFIGURATION.model_copy(update={"queues": {}}))
        (refused,) = self.tick(0.05)
        self.assertEqual(
            (refused.request_id, refused.status, refused.fate.value), ("third", 404, "not_run")
        )
        answered = self.end("a1", ANSWERED)
        self.assertIn(Answer(RequestId("first"), AttemptId("a1")), answered)
        requeued = [*self.end("a2", AttemptOutcome.BUSY), *self.tick(0.05)]
        (refused,) = [each for each in requeued if isinstance(each, Refuse)]
        self.assertEqual((refused.request_id, refused.status), ("second", 404))
        verify_session(self.lines)

    def test_a_resumed_task_keeps_its_token_over_a_busy_server(self) -> None:
        self.submit("job")
        checkpointed = AttemptEnded(
            AttemptId("a1"), AttemptOutcome.CHECKPOINTED, resume_token="t-1"
        )
        (resumed,) = self.handle(checkpointed)
        self.assertEqual(resumed.resume_token, "t-1")
        (requeued,) = self.end("a2", AttemptOutcome.BUSY)
        self.assertEqual(requeued.resume_token, "t-1")
        verify_session(self.lines)

    def test_a_request_that_may_have_run_is_never_called_not_run(self) -> None:
        """The first attempt ends with unknown outcome, then the request waits past its deadline."""
        self.submit("job", idempotent=True, deadline_s=4.0)
        self.submit("other")
        self.end("a1", AttemptOutcome.UNKNOWN)
        self.task_queried("a1", None)
        (refused,) = [each for each in self.tick(4.5) if isinstance(each, Refuse)]
        self.assertEqual(refused.fate.value, "unknown")
        verify_session(self.lines)

    def test_a_wave_of_cancellations_stops_tasks_and_frees_permits(self) -> None:
        for name in ("first", "second", "third"):
            self.submit(name)
        self.handle(Cancelled(RequestId("third")))
        self.handle(Cancelled(RequestId("first")))
        self.assertFalse(self.permits.can_acquire(TeamId("a"), 0.0))
        self.task_queried("a1", TaskState.STOPPED)
        self.assertTrue(self.permits.can_acquire(TeamId("a"), 0.0))
        verify_session(self.lines)

    def test_a_torn_answer_is_fetched_by_the_tasks_id(self) -> None:
        self.submit("job")
        self.end("a1", AttemptOutcome.UNKNOWN)
        self.task_queried("a1", TaskState.FINISHED)
        self.handle(AnswerFetched(AttemptId("a1"), whole=False))
        self.task_queried("a1", TaskState.FINISHED)
        self.handle(AnswerFetched(AttemptId("a1"), whole=True))
        verify_session(self.lines)

"""Approval tests of recorded attempt tracker sessions."""

from __future__ import annotations

import unittest
from random import Random

from tests.core.attempts.common import LEASE_S, Session, make_request
from toucandoor.core.attempts.budget import RetryBudget
from toucandoor.core.attempts.models import (
    AnswerFetched,
    QueryTask,
    TaskEnded,
    TaskQueried,
    TaskState,
)
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.requests.models import AttemptEnded, AttemptOutcome, ExecutionStatus, Refuse
from toucandoor.ids import AttemptId


def _ended(attempt: str, outcome: AttemptOutcome) -> AttemptEnded:
    return AttemptEnded(AttemptId(attempt), outcome)


def _queried(attempt: str, state: TaskState | None, up_s: float | None = 900.0) -> TaskQueried:
    return TaskQueried(AttemptId(attempt), state, up_s)


class SessionsTest(unittest.TestCase):
    def test_silent_connections(self) -> None:
        """Connections of two tasks hang while their backend server answers on new connections."""
        session = Session()
        done, lost = make_request("done", idempotent=False), make_request("lost", idempotent=False)
        session.start(done, "a1", "vm-1")
        session.start(lost, "a2", "vm-1")
        session.tick(2.0)
        session.event(_queried("a1", TaskState.FINISHED))
        session.event(_queried("a2", TaskState.NEVER_SEEN))
        session.tick(0.5)
        session.event(_queried("a1", TaskState.FINISHED))
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_ended("a2", AttemptOutcome.UNKNOWN))
        session.event(AnswerFetched(AttemptId("a1"), whole=True))
        session.event(_queried("a2", TaskState.NEVER_SEEN))
        session.start(lost, "a3", "vm-2")
        session.event(_ended("a3", AttemptOutcome.ANSWERED))
        session.event(_ended("a1", AttemptOutcome.ANSWERED))
        session.verify()

    def test_server_dies_with_tasks(self) -> None:
        """The non-idempotent request is answered at once, the idempotent one runs elsewhere."""
        session = Session()
        once, often = make_request("once", idempotent=False), make_request("often", idempotent=True)
        session.start(once, "a1", "vm-1")
        session.start(often, "a2", "vm-1")
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_ended("a2", AttemptOutcome.UNKNOWN))
        session.event(_queried("a1", None))
        session.event(_queried("a2", None))
        session.start(often, "a3", "vm-2")
        session.event(_ended("a3", AttemptOutcome.ANSWERED))
        session.tick(20.0)
        session.verify()

    def test_server_came_back_and_forgot(self) -> None:
        """A backend server that restarted reports NEVER_SEEN of a task that may have run before."""
        session = Session()
        once = make_request("once", idempotent=False)
        session.start(once, "a1", "vm-1")
        session.clock.advance(5.0)
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_queried("a1", TaskState.NEVER_SEEN, up_s=3.0))
        session.verify()

    def test_job_that_can_never_run(self) -> None:
        """Failures on three healthy backend servers refuse a request; others don't count."""
        session = Session(unhealthy=["vm-1"])
        request = make_request("job", idempotent=True)
        for index in range(1, 5):
            session.start(request, f"a{index}", f"vm-{index}")
            session.event(_ended(f"a{index}", AttemptOutcome.FAILED))
        session.verify()

    def test_cancelled_task_keeps_its_permit_until_it_ended(self) -> None:
        session = Session()
        request = make_request("job", idempotent=True)
        session.start(request, "a1", "vm-1")
        session.cancel(request)
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_queried("a1", TaskState.RUNNING))
        session.tick(2.0)
        session.event(_queried("a1", None))
        session.tick(10.0)
        session.verify()

    def test_an_unknown_attempt_forbids_not_run_when_retries_end(self) -> None:
        session = Session()
        request = make_request("job", idempotent=True)
        session.start(request, "a1", "vm-1")
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_queried("a1", None))
        for index in range(2, 5):
            session.start(request, f"a{index}", f"vm-{index}")
            decisions = session.event(_ended(f"a{index}", AttemptOutcome.UNREACHABLE))
        refused = next(each for each in decisions if isinstance(each, Refuse))
        self.assertEqual(refused.fate, ExecutionStatus.UNKNOWN)

    def test_a_permit_waits_for_the_end_of_a_renewed_lease(self) -> None:
        """The reply to a renewal is lost, so the lease may have been renewed at the last moment."""
        session = Session()
        request = make_request("job", idempotent=False)
        session.start(request, "a1", "vm-1")
        session.tick(9.0)
        session.event(_queried("a1", None))
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_queried("a1", None))
        ended_s = None
        while ended_s is None:
            if TaskEnded(AttemptId("a1")) in session.tick(0.5):
                ended_s = session.clock.monotonic_s()
        self.assertEqual(ended_s, 9.0 + 1.0 + LEASE_S + 1.0)

    def test_a_lease_that_may_not_be_renewed_ends(self) -> None:
        """Guards against a task that runs on a borrowed permit after the loan has ended."""
        session = Session()
        session.tracker = AttemptTracker(
            RetryBudget(Random(1)), lambda _vm, _now_s: True, lambda _attempt, _now_s: False
        )
        session.start(make_request("job", idempotent=False), "a1", "vm-1")
        queries = [each for each in session.tick(9.0) if isinstance(each, QueryTask)]
        self.assertEqual([query.renew for query in queries], [False])

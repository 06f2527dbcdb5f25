"""Golden sessions of the attempt tracker."""

from __future__ import annotations

import unittest

from tests.core.attempts.common import Session, request
from toucandoor.core.attempts.models import AnswerFetched, TaskState, TaskWord
from toucandoor.core.requests.models import AttemptEnded, AttemptOutcome
from toucandoor.ids import AttemptId


def _ended(attempt: str, outcome: AttemptOutcome) -> AttemptEnded:
    return AttemptEnded(AttemptId(attempt), outcome)


def _word(attempt: str, state: TaskState | None, up_s: float | None = 900.0) -> TaskWord:
    return TaskWord(AttemptId(attempt), state, up_s)


class SessionsTest(unittest.TestCase):
    def test_silent_connections(self) -> None:
        """Two tasks on one server; the connections go silent, the server does not."""
        session = Session()
        done, lost = request("done", idempotent=False), request("lost", idempotent=False)
        session.start(done, "a1", "vm-1")
        session.start(lost, "a2", "vm-1")
        session.tick(2.0)
        session.event(_word("a1", TaskState.FINISHED))
        session.event(_word("a2", TaskState.NEVER_SEEN))
        session.tick(0.5)
        session.event(_word("a1", TaskState.FINISHED))
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_ended("a2", AttemptOutcome.UNKNOWN))
        session.event(AnswerFetched(AttemptId("a1"), whole=True))
        session.event(_word("a2", TaskState.NEVER_SEEN))
        session.start(lost, "a3", "vm-2")
        session.event(_ended("a3", AttemptOutcome.ANSWERED))
        session.event(_ended("a1", AttemptOutcome.ANSWERED))
        session.verify()

    def test_server_dies_with_tasks(self) -> None:
        """The non-idempotent request is answered at once, the idempotent one runs elsewhere."""
        session = Session()
        once, often = request("once", idempotent=False), request("often", idempotent=True)
        session.start(once, "a1", "vm-1")
        session.start(often, "a2", "vm-1")
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_ended("a2", AttemptOutcome.UNKNOWN))
        session.event(_word("a1", None))
        session.event(_word("a2", None))
        session.start(often, "a3", "vm-2")
        session.event(_ended("a3", AttemptOutcome.ANSWERED))
        session.tick(20.0)
        session.verify()

    def test_server_came_back_and_forgot(self) -> None:
        """A server younger than the attempt says it never saw the task: that proves nothing."""
        session = Session()
        once = request("once", idempotent=False)
        session.start(once, "a1", "vm-1")
        session.clock.advance(5.0)
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_word("a1", TaskState.NEVER_SEEN, up_s=3.0))
        session.verify()

    def test_job_that_can_never_run(self) -> None:
        """Failures on an unhealthy server don't count against the job."""
        session = Session(unhealthy=["vm-1"])
        job = request("job", idempotent=True)
        for index in range(1, 5):
            session.start(job, f"a{index}", f"vm-{index}")
            session.event(_ended(f"a{index}", AttemptOutcome.FAILED))
        session.verify()

    def test_cancelled_task_keeps_its_permit_until_it_ended(self) -> None:
        session = Session()
        job = request("job", idempotent=True)
        session.start(job, "a1", "vm-1")
        session.cancel(job)
        session.event(_ended("a1", AttemptOutcome.UNKNOWN))
        session.event(_word("a1", TaskState.RUNNING))
        session.tick(2.0)
        session.event(_word("a1", None))
        session.tick(10.0)
        session.verify()

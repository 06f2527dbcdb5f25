"""Sessions of admission on the request engine, compared with approved files."""

from __future__ import annotations

import unittest

from tests.common import verify_session
from tests.core.admission.session import Session
from toucandoor.core.requests.models import (
    AttemptOutcome,
    Decision,
    Dispatch,
    ExecutionStatus,
    Preempt,
    PreemptMethod,
    Refuse,
)
from toucandoor.ids import RequestId


def _started(decisions: list[Decision]) -> list[str]:
    return [each.request_id for each in decisions if isinstance(each, Dispatch)]


class ReserveTest(unittest.TestCase):
    def test_urgent_work_takes_the_lent_reserve_back(self) -> None:
        session = Session(slots=4)
        for number in range(4):
            session.submit(f"patient-{number}", how=PreemptMethod.CHECKPOINT)
        preempts = session.submit("urgent-1", urgent=True)
        self.assertEqual([type(each) for each in preempts], [Preempt])
        self.assertEqual(session.submit("urgent-2", urgent=True), [], "the reserve is one slot")
        name = preempts[0].request_id
        started = session.end(name, AttemptOutcome.CHECKPOINTED, "token-1")
        self.assertEqual(_started(started), ["urgent-1"])
        self.assertEqual(_started(session.end("urgent-1")), ["urgent-2"])
        session.end("urgent-2")
        self.assertEqual(session.running[name].resume_token, "token-1")
        verify_session(session.lines)

    def test_a_resumed_task_that_finds_no_slot_still_resumes_from_its_token(self) -> None:
        session = Session(slots=2)
        session.submit("once", how=PreemptMethod.CHECKPOINT, idempotent=False)
        session.end("once", AttemptOutcome.CHECKPOINTED, "token-1")
        for outcome in (AttemptOutcome.BUSY, AttemptOutcome.DRAINING):
            session.end("once", outcome)
            session.after(2.5)
            self.assertEqual(session.running[RequestId("once")].resume_token, "token-1")
        verify_session(session.lines)

    def test_patient_work_that_cannot_be_preempted_stays_out_of_the_reserve(self) -> None:
        session = Session(slots=4)
        started = [session.submit(f"patient-{number}") for number in range(4)]
        self.assertEqual([len(each) for each in started], [1, 1, 1, 0])
        self.assertIsInstance(session.submit("urgent", urgent=True)[0], Dispatch)
        verify_session(session.lines)

    def test_a_request_is_preempted_three_times_at_most(self) -> None:
        session = Session(slots=2)
        for name in ("first", "second"):
            session.submit(name, how=PreemptMethod.STOP)
        preempts: list[str] = []
        for number in range(8):
            for decision in session.submit(f"u-{number}", urgent=True):
                if isinstance(decision, Preempt):
                    preempts.append(decision.request_id)
                    session.end(decision.request_id, AttemptOutcome.STOPPED)
            session.end(f"u-{number}")
        self.assertEqual(sorted(preempts), ["first"] * 3 + ["second"] * 3)
        verify_session(session.lines)

    def test_the_spare_pool_lends_to_urgent_work(self) -> None:
        session = Session(slots=4, spare_slots=3)
        for number in range(3):
            session.submit(f"patient-{number}")
        placed = [session.submit(f"urgent-{number}", urgent=True) for number in range(4)]
        self.assertEqual(
            [each[0].vm if each else None for each in placed], ["vm-p", "vm-s", "vm-s", None]
        )
        self.assertEqual(session.submit("own", urgent=True, queue="s")[0].vm, "vm-s")
        verify_session(session.lines)

    def test_aged_patient_work_without_room_does_not_keep_urgent_work_from_the_spare(self) -> None:
        session = Session(slots=2, spare_slots=3)
        for number in range(2):
            session.submit(f"long-{number}", urgent=True, deadline_s=300.0)
        session.submit("patient")
        session.after(31.0)
        for number in range(2):
            self.assertEqual(session.submit(f"urgent-{number}", urgent=True)[0].vm, "vm-s")


class GivenUpTest(unittest.TestCase):
    def test_each_refusal_comes_at_once_with_the_drain_rate(self) -> None:
        session = Session(slots=4, waiting_max=8)
        for number in range(4):
            session.submit(f"first-{number}", urgent=True)
        for number in range(8):
            session.submit(f"second-{number}", urgent=True, deadline_s=8.0 + number)
        for number in range(4):
            session.after(1.0)
            session.end(f"first-{number}")
        for number in range(4):
            session.submit(f"third-{number}", urgent=True)
        (full,) = session.submit("one-too-many", urgent=True)
        assert isinstance(full, Refuse)
        self.assertAlmostEqual(full.retry_after_s or 0, 8 / 2, places=1)
        late, *overrun = session.after(8.5)
        self.assertEqual((late.request_id, late.status), ("second-4", 504))
        # Requests that run past their deadline are refused too, but may have run.
        self.assertEqual(
            [(each.request_id, each.fate) for each in overrun if isinstance(each, Refuse)],
            [(f"second-{number}", ExecutionStatus.UNKNOWN) for number in range(4)],
        )
        for number in range(5, 8):
            self.assertEqual(session.cancel(f"second-{number}")[0].status, 503)
        verify_session(session.lines)


class ShareTest(unittest.TestCase):
    def test_the_team_that_has_run_less_starts_next(self) -> None:
        session = Session(slots=2)
        for number in range(4):
            session.submit(f"a-{number}", urgent=True, team="a")
        session.submit("b-0", urgent=True, team="b")
        session.submit("b-1", urgent=True, team="b")
        session.after(5.0)
        self.assertEqual(_started(session.end("a-0")), ["b-0"])
        self.assertEqual(_started(session.end("a-1")), ["b-1"])
        session.after(6.0)
        self.assertEqual(_started(session.end("b-0")), ["a-2"], "a team with no demand left")
        verify_session(session.lines)


class AgeingTest(unittest.TestCase):
    def test_aged_patient_work_takes_one_start_in_four(self) -> None:
        session = Session(slots=4, waiting_max=64)
        for number in range(16):
            session.submit(f"urgent-{number:02}", urgent=True)
        session.submit("patient")
        session.after(31.0)
        started: list[str] = []
        for number in range(4):
            started += _started(session.end(f"urgent-{number:02}"))
        self.assertEqual(started[0], "patient", "its turn was due")
        verify_session(session.lines)

"""Tests of single steps of a loan of permits that longer sessions hardly reach."""

from __future__ import annotations

import unittest

from toucandoor.core.ceilings.loans import BorrowedPermits, LoanBook
from toucandoor.core.ceilings.models import LoanAnswer, LoanRequest, Member
from toucandoor.ids import AttemptId, EntryId, IncarnationId, TeamId

RED = TeamId("red")
LENDER = Member(EntryId("lender"), IncarnationId(1))
BORROWER = Member(EntryId("borrower"), IncarnationId(2))
TASK_LEASE_S = 30.0


class LoanBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = LoanBook()

    def ask(self, question: int, kept: int, waiting: int) -> LoanAnswer | None:
        request = LoanRequest(
            BORROWER, LENDER, question, {RED: kept} if kept else {}, {RED: waiting}, TASK_LEASE_S
        )
        return self.book.on_request(request, lambda team: 5 - self.book.lent(team), 3.0, 0.0)

    def test_permits_that_it_does_not_count_are_refused(self) -> None:
        """Guards against a lender that has ended a loan and accepts that its permits are spent."""
        answer = self.ask(1, kept=2, waiting=0)
        self.assertEqual((answer.permits, answer.lease_s) if answer else None, ({}, 0.0))
        self.assertEqual(self.book.lent(RED), 0)

    def test_late_request_lowers_no_loan(self) -> None:
        """Guards against a loan that shrinks below what a later answer allowed."""
        self.ask(1, kept=0, waiting=2)
        self.ask(2, kept=2, waiting=2)
        self.assertIsNone(self.ask(1, kept=0, waiting=0))
        self.assertEqual(self.book.lent(RED), 4)


class BorrowedPermitsTest(unittest.TestCase):
    def test_answer_to_an_earlier_request_grants_nothing(self) -> None:
        """Guards against permits spent that the lender counts as returned by a later request."""
        borrowed = BorrowedPermits(BORROWER)
        borrowed.due_requests({RED: 5}, TASK_LEASE_S, 0.0)
        borrowed.on_answer(LoanAnswer(LENDER, BORROWER, 1, {}, 3.0), 0.0)
        borrowed.due_requests({RED: 5}, TASK_LEASE_S, 0.5)
        borrowed.due_requests({RED: 5}, TASK_LEASE_S, 2.0)
        borrowed.on_answer(LoanAnswer(LENDER, BORROWER, 2, {RED: 5}, 3.0), 2.1)
        self.assertFalse(borrowed.acquire(RED, AttemptId("a"), 2.1))
        borrowed.on_answer(LoanAnswer(LENDER, BORROWER, 3, {RED: 1}, 3.0), 2.2)
        self.assertTrue(borrowed.acquire(RED, AttemptId("a"), 2.2))
        self.assertFalse(borrowed.acquire(RED, AttemptId("b"), 2.2))
        self.assertFalse(borrowed.may_renew(AttemptId("a"), 5.1))

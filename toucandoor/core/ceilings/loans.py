"""Loans of permits between entries, for an entry that the ledger does not list yet.

The lender counts lent permits as its own until the loan has surely ended, so neither the ledger nor
a count of an epoch needs to know the borrower.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    DEFAULT_RESEND_S,
    DEFAULT_START_MARGIN_S,
    DEFAULT_STATUS_INTERVAL_S,
    LOAN_LEASE_S,
    LOAN_RETRY_S,
    LOANS_MAX,
    PEERS_ID,
)
from toucandoor.core.ceilings.models import Envelope, LoanAnswer, LoanRequest, Member
from toucandoor.ids import IncarnationId

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from toucandoor.ids import AttemptId, TeamId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"
_LENDER_TIMEOUT_S = 2 * LOAN_LEASE_S
_QUESTIONS_MAX = 16
_ANY_PEER = Member(PEERS_ID, IncarnationId(0))


@dataclass(slots=True)
class _Loan:
    question: int = 0
    permits: Counter[TeamId] = field(default_factory=Counter)
    waiting: Mapping[TeamId, int] = field(default_factory=dict)
    until_s: float = 0.0
    task_lease_s: float = 0.0


class LoanBook:
    """Permits that this member has lent, by borrower.

    A loan covers at least what its borrower may spend: it shrinks only to what the borrower has
    promised to keep to, and ends only when the borrower's lease on it and then the last task lease
    have expired.
    """

    def __init__(self) -> None:
        self._loans: dict[Member, _Loan] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no permits are lent."""
        return not any(+loan.permits for loan in self._loans.values())

    def lent(self, team: TeamId) -> int:
        """Return how many of the team's permits are lent."""
        return sum(loan.permits[team] for loan in self._loans.values())

    def waiting(self, team: TeamId) -> int:
        """Return how many more of the team's permits the borrowers could use."""
        return sum(loan.waiting.get(team, 0) for loan in self._loans.values())

    def reserved(self, team: TeamId, held: int) -> int:
        """Return how many permits the lender leaves free for borrowers below an equal part."""
        part = held // (1 + len(self._loans))
        return sum(
            min(loan.waiting.get(team, 0), max(0, part - loan.permits[team]))
            for loan in self._loans.values()
        )

    def teams(self) -> set[TeamId]:
        """Return the teams whose permits are lent or asked for."""
        return {t for loan in self._loans.values() for t in (*loan.permits, *loan.waiting)}

    def on_request(
        self, request: LoanRequest, free: Callable[[TeamId], int], lease_s: float, now_s: float
    ) -> LoanAnswer | None:
        """Grant or refuse a request; None when a later one was answered.

        Args:
            free: Returns how many of a team's permits are neither spent nor lent.
            lease_s: Time for which the borrower may spend the permits.
        """
        loan = self._loans.get(request.borrower, _Loan())
        if request.question <= loan.question:
            return None
        unknown = any(kept > loan.permits[team] for team, kept in request.kept.items())
        if unknown or (request.borrower not in self._loans and len(self._loans) >= LOANS_MAX):
            return refusal(request)
        self._loans[request.borrower] = loan
        loan.question = request.question
        loan.permits = Counter(request.kept)
        for team, waiting in request.waiting.items():
            loan.permits[team] += max(0, min(waiting, free(team)))
        loan.waiting = {
            team: waiting - (loan.permits[team] - request.kept.get(team, 0))
            for team, waiting in request.waiting.items()
        }
        loan.until_s = max(loan.until_s, now_s + lease_s)
        loan.task_lease_s = max(loan.task_lease_s, request.task_lease_s)
        permits = dict(+loan.permits)
        if not permits and not +Counter(loan.waiting):
            del self._loans[request.borrower]
        return LoanAnswer(request.lender, request.borrower, request.question, permits, lease_s)

    def end_expired(self, task_lease_s: float, now_s: float) -> set[TeamId]:
        """End the loans whose last task lease has expired; return the teams that this changes."""
        teams: set[TeamId] = set()
        for borrower, loan in list(self._loans.items()):
            if now_s >= loan.until_s:
                teams.update(loan.waiting)
                loan.waiting = {}
            lease_s = max(task_lease_s, loan.task_lease_s)
            if now_s >= loan.until_s + lease_s + DEFAULT_START_MARGIN_S:
                teams.update(loan.permits)
                del self._loans[borrower]
        return teams

    def refuse(self, request: LoanRequest) -> LoanAnswer:
        """Refuse a request, and end the loan when its borrower keeps no permits."""
        if not request.kept:
            self._loans.pop(request.borrower, None)
        return refusal(request)

    def clear(self) -> None:
        """Forget all loans, when this member's own permits were reclaimed."""
        self._loans.clear()


def refusal(request: LoanRequest) -> LoanAnswer:
    """Return the answer that ends the borrower's use of the loan."""
    return LoanAnswer(request.lender, request.borrower, request.question, {}, 0.0)


class BorrowedPermits:
    """Permits that this process has borrowed from one peer, and the attempts that they allow.

    They may be spent while the lender's lease on them lasts. Each request promises to keep to what
    it names, so that a lost answer leaves the lender with more than is spent here, never with less.
    """

    def __init__(self, me: Member) -> None:
        self._me = me
        self._lender: Member | None = None
        self._limit: Counter[TeamId] = Counter()
        self._spent: Counter[TeamId] = Counter()
        self._team_of: dict[AttemptId, TeamId] = {}
        self._unrenewable: set[AttemptId] = set()
        self._lease_until_s = 0.0
        self._question = 0
        self._sent_s: dict[int, float] = {}
        self._answered_s = 0.0
        self._answered_question = 0

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is borrowed."""
        return self._lender is None

    def restart(self, me: Member) -> None:
        """Drop all borrowed permits and borrow under a new identity."""
        self._drop_lender()
        self._me = me

    def can_acquire(self, team: TeamId, now_s: float) -> bool:
        """Return whether a borrowed permit of the team is free."""
        return now_s < self._lease_until_s and self._spent[team] < self._limit[team]

    def acquire(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Spend a borrowed permit on an attempt; return False when none is free."""
        if not self.can_acquire(team, now_s):
            return False
        self._spent[team] += 1
        self._team_of[attempt_id] = team
        return True

    def release(self, attempt_id: AttemptId) -> None:
        """Free the attempt's borrowed permit, if it has one."""
        self._unrenewable.discard(attempt_id)
        team = self._team_of.pop(attempt_id, None)
        if team is not None:
            self._spent[team] -= 1

    def may_renew(self, attempt_id: AttemptId, now_s: float) -> bool:
        """Return whether the attempt's task lease may be renewed.

        The lender counts the permit for one task lease after the loan's own lease.
        """
        if attempt_id in self._team_of:
            return now_s < self._lease_until_s
        return attempt_id not in self._unrenewable

    def due_requests(
        self, waiting: Mapping[TeamId, int], task_lease_s: float, now_s: float
    ) -> list[Envelope]:
        """Return the request that is due.

        Args:
            waiting: Requests of each team that wait for a permit; empty to return the permits.
            task_lease_s: Longest task lease that this process requests.
            now_s: Monotonic time.
        """
        self._drop_silent_lender(now_s)
        missing = {t: w - self._limit[t] + self._spent[t] for t, w in waiting.items()}
        missing = {team: count for team, count in missing.items() if count > 0}
        if not missing and not +self._limit and self._lender is None:
            return []
        if self._answered_question != self._question:
            interval_s = LOAN_RETRY_S
        else:
            interval_s = DEFAULT_STATUS_INTERVAL_S if missing else DEFAULT_RESEND_S
        if now_s - self._sent_s.get(self._question, -interval_s) < interval_s:
            return []
        if self._lender is None:
            return self._request(_ANY_PEER, {}, task_lease_s, now_s)
        for team in self._limit:
            if waiting.get(team, 0) == 0:
                self._limit[team] = self._spent[team]
        return self._request(self._lender, missing, task_lease_s, now_s)

    def due_returns(self, task_lease_s: float, now_s: float) -> list[Envelope]:
        """Return the request that gives back what is not spent, until nothing is borrowed."""
        self._drop_silent_lender(now_s)
        if self._lender is None:
            return []
        envelopes = self.due_requests({}, task_lease_s, now_s)
        if envelopes and not +self._spent:
            self._drop_lender()
        return envelopes

    def on_answer(self, answer: LoanAnswer, now_s: float) -> None:
        """Handle an offer, a grant or a refusal; an answer to an earlier request grants nothing."""
        sent_s = self._sent_s.get(answer.question)
        if answer.borrower != self._me or sent_s is None:
            return
        self._answered_question = max(self._answered_question, answer.question)
        if self._lender is None and answer.question == self._question and answer.lease_s > 0:
            _LOGGER.info("%s not listed yet, borrowing from %s", _PREFIX, answer.lender.entry)
            self._lender = answer.lender
            self._answered_s = now_s
            self._sent_s = {}
            return
        if answer.lender != self._lender:
            return
        if answer.lease_s <= 0:
            self._drop_lender()
            return
        self._answered_s = now_s
        self._lease_until_s = max(self._lease_until_s, sent_s + answer.lease_s)
        if answer.question == self._question:
            self._limit = Counter(answer.permits)

    def _request(
        self, lender: Member, missing: Mapping[TeamId, int], task_lease_s: float, now_s: float
    ) -> list[Envelope]:
        self._question += 1
        self._sent_s[self._question] = now_s
        self._sent_s.pop(self._question - _QUESTIONS_MAX, None)
        kept = dict(+self._limit)
        request = LoanRequest(self._me, lender, self._question, kept, dict(missing), task_lease_s)
        return [Envelope(lender, request)]

    def _drop_silent_lender(self, now_s: float) -> None:
        if self._lender is not None and now_s - self._answered_s > _LENDER_TIMEOUT_S:
            self._drop_lender()

    def _drop_lender(self) -> None:
        if self._lender is not None:
            _LOGGER.info("%s loan from %s has ended", _PREFIX, self._lender.entry)
        self._unrenewable |= set(self._team_of)
        self._team_of.clear()
        self._spent.clear()
        self._limit.clear()
        self._lender = None
        self._lease_until_s = 0.0
        self._sent_s = {}

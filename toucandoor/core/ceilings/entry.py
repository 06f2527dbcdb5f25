"""Permits of one entry: spent on attempts, exchanged with other members by demand."""

from __future__ import annotations

import logging
import math
from collections import Counter, defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    BORROW_AFTER_REQUESTS,
    COORDINATOR_ID,
    DEFAULT_RESEND_S,
    DEFAULT_STATUS_REFRESH_S,
    LOAN_LEASE_S,
    PEERS_ID,
)
from toucandoor.core.ceilings.exchange import PermitExchange
from toucandoor.core.ceilings.loans import BorrowedPermits, LoanBook, refusal
from toucandoor.core.ceilings.models import (
    CeilingMessage,
    Envelope,
    Epoch,
    EpochReport,
    EpochStart,
    JoinRequest,
    LeaveNotice,
    LoanAnswer,
    LoanRequest,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
)
from toucandoor.core.ceilings.policy import PermitPolicy
from toucandoor.ids import IncarnationId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.ids import AttemptId, TeamId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"


class MemberState(Enum):
    """Whether the coordinator counts this member's permits."""

    NOT_JOINED = "outside"
    """The coordinator has not added this member yet; it holds no permits."""

    CONFIRMED = "counted"
    """The coordinator counts this member's permits."""

    UNCONFIRMED = "doubtful"
    """The lease expired for a time, so the permits may have been reclaimed."""

    LEFT = "left"
    """The member has transferred all permits to others and leaves."""


class EntryPermits(PermitPolicy):
    """Holds this entry's part of each ceiling.

    A permit is spent when an attempt starts and free again when its task has certainly ended. Once
    the serving lease has expired, if only for a moment, no permit is spent until the coordinator
    has confirmed that this member's permits still count. An entry that the ledger does not list,
    and that nobody adds while the store is away, borrows permits from a listed one.
    """

    def __init__(self, me: Member, lease: ServingLease) -> None:
        self._lease = lease
        self._lease_seen_until_s = lease.keyed_until_s()
        self._exchange = PermitExchange(me)
        self._state = MemberState.NOT_JOINED
        self._leaving = False
        self._spent: Counter[TeamId] = Counter()
        self._team_of: dict[AttemptId, TeamId] = {}
        self._waiting: dict[TeamId, int] = {}
        self._reserved: dict[TeamId, int] = {}
        self._report: EpochReport | None = None
        self._join_question = 1
        self._join_sent_s: float | None = None
        # Longest of any configuration so far; no loan ends before it is known.
        self._task_lease_s = math.inf
        self._loans = LoanBook()
        self._borrowed = BorrowedPermits(me)
        self._unanswered_joins = 0

    @property
    def me(self) -> Member:
        """This member's identity."""
        return self._exchange.me

    @property
    def epoch(self) -> Epoch:
        """Epoch in which this member's transfers are valid."""
        return self._exchange.epoch

    @property
    def state(self) -> MemberState:
        """Whether the coordinator counts this member's permits."""
        return self._state

    def held(self, team: TeamId) -> int:
        """Return how many of the team's permits this entry holds, spent ones included."""
        return self._exchange.holding.held[team]

    def held_by_team(self) -> dict[TeamId, int]:
        """Return the permits that this entry holds, spent ones included, by team."""
        return dict(+self._exchange.holding.held)

    def spent(self, team: TeamId) -> int:
        """Return how many of the team's permits are spent on attempts."""
        return self._spent[team]

    def can_acquire(self, team: TeamId, now_s: float) -> bool:
        """Return whether the lease holds and a permit is free that is not reserved for a peer."""
        self._observe_lease(now_s)
        if self._leaving or not self._lease.holds(now_s):
            return False
        return self._has_own_free(team) or self._borrowed.can_acquire(team, now_s)

    def acquire(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Spend a permit on an attempt; return False when none is free."""
        if not self.can_acquire(team, now_s):
            return False
        if not self._has_own_free(team):
            return self._borrowed.acquire(team, attempt_id, now_s)
        self._spent[team] += 1
        self._team_of[attempt_id] = team
        self._exchange.mark_changed(team)
        return True

    def release(self, attempt_id: AttemptId, now_s: float) -> None:
        """Free the attempt's permit; a second call changes nothing."""
        self._observe_lease(now_s)
        team = self._team_of.pop(attempt_id, None)
        if team is None:
            self._borrowed.release(attempt_id)
            return
        self._spent[team] -= 1
        self._exchange.mark_changed(team)

    def may_renew(self, attempt_id: AttemptId, now_s: float) -> bool:
        """Return whether the task lease of a running attempt may be renewed."""
        return self._borrowed.may_renew(attempt_id, now_s)

    def set_task_lease(self, task_lease_s: float) -> None:
        """Set the task lease of the configuration in force; a shorter one is ignored."""
        known_s = 0.0 if math.isinf(self._task_lease_s) else self._task_lease_s
        self._task_lease_s = max(known_s, task_lease_s)

    def set_waiting(self, team: TeamId, waiting: int, now_s: float) -> None:
        """Set how many requests of the team wait for a permit here."""
        if self._waiting.get(team, 0) == waiting:
            return
        self._waiting[team] = waiting
        self._exchange.mark_changed(team)

    def start_leaving(self) -> None:
        """Stop spending permits, and transfer them to other members as tasks end."""
        self._leaving = True
        self._mark_all_changed()

    def restart(self, incarnation: IncarnationId) -> None:
        """Drop all permits and start under a new incarnation, when the lease was refused.

        The permits of running attempts stay with the last incarnation until their tasks' leases
        have expired, so releasing them here changes nothing.
        """
        self._reset(Member(self.me.entry, incarnation))
        self._borrowed.restart(self.me)

    def on_message(self, message: CeilingMessage, now_s: float) -> list[Envelope]:
        """Handle a message from another member and return the answers."""
        self._observe_lease(now_s)
        if self._state is MemberState.LEFT:
            return []
        if isinstance(message, PermitTransfer):
            return self._on_transfer(message)
        if isinstance(message, EpochStart):
            return self._on_epoch_start(message, now_s)
        if isinstance(message, LoanRequest):
            return self._on_loan_request(message, now_s)
        if isinstance(message, LoanAnswer):
            self._borrowed.on_answer(message, now_s)
        if isinstance(message, PermitTransferAck):
            self._exchange.on_ack(message)
        if isinstance(message, PermitStatus):
            self._exchange.on_status(message, now_s)
        return []

    def tick(self, now_s: float) -> list[Envelope]:
        """Return the join request, transfers and statuses that are due.

        Call it often, and after messages.
        """
        self._observe_lease(now_s)
        if self._state is MemberState.LEFT:
            return [Envelope(self._coordinator(), LeaveNotice(self.me))]
        envelopes = self._due_join_request(now_s) + self._due_loan_requests(now_s)
        if self._state is MemberState.NOT_JOINED:
            return envelopes
        self._mark_changed(self._loans.end_expired(self._task_lease_s, now_s))
        self._exchange.drop_silent_peers(now_s)
        envelopes += self._exchange.due_resends(now_s)
        envelopes += self._due_transfers(now_s)
        envelopes += self._exchange.due_statuses(self._demand, now_s)
        # The notice frees the permits at once, those of a loan too.
        is_unused = not +self._spent and self._loans.is_empty and self._borrowed.is_empty
        if self._leaving and is_unused and self._exchange.holding.is_settled():
            self._state = MemberState.LEFT
        return envelopes

    def _has_own_free(self, team: TeamId) -> bool:
        if self._state is not MemberState.CONFIRMED:
            return False
        held = self.held(team)
        kept = self._reserved.get(team, 0) + self._loans.reserved(team, held)
        return self._used(team) < held - kept

    def _used(self, team: TeamId) -> int:
        """Return how many of the held permits are spent here or lent."""
        return self._spent[team] + self._loans.lent(team)

    def _on_loan_request(self, request: LoanRequest, now_s: float) -> list[Envelope]:
        """Lend permits, offer to, or refuse; a member that is not confirmed gives no answer."""
        lease_s = min(LOAN_LEASE_S, self._lease.keyed_until_s() - now_s)
        is_ready = self._state is MemberState.CONFIRMED and lease_s > 0
        answer: LoanAnswer | None = None
        if request.lender.entry == PEERS_ID:
            if is_ready and not self._leaving:
                answer = LoanAnswer(self.me, request.borrower, request.question, {}, lease_s)
        elif request.lender != self.me:
            answer = refusal(request)
        elif self._leaving:
            answer = self._loans.refuse(request)
        elif is_ready:
            answer = self._loans.on_request(request, self._free, lease_s, now_s)
        self._mark_changed(self._loans.teams() | set(request.kept) | set(request.waiting))
        return [] if answer is None else [Envelope(request.borrower, answer)]

    def _free(self, team: TeamId) -> int:
        return self.held(team) - self._used(team) - self._reserved.get(team, 0)

    def _due_loan_requests(self, now_s: float) -> list[Envelope]:
        """Return the request to borrow, or to return, permits that is due."""
        if self._state is not MemberState.NOT_JOINED or self._leaving:
            return self._borrowed.due_returns(self._task_lease_s, now_s)
        if not self._lease.holds(now_s) or self._unanswered_joins < BORROW_AFTER_REQUESTS:
            return []
        return self._borrowed.due_requests(self._waiting, self._task_lease_s, now_s)

    def _coordinator(self) -> Member:
        return Member(COORDINATOR_ID, IncarnationId(self.epoch.term))

    def _observe_lease(self, now_s: float) -> None:
        """Stop spending when the lease has expired since the last call, even if it holds again."""
        expired = now_s >= self._lease_seen_until_s
        self._lease_seen_until_s = self._lease.keyed_until_s()
        if not expired or self._state not in (MemberState.CONFIRMED, MemberState.UNCONFIRMED):
            return
        if self._state is MemberState.CONFIRMED:
            _LOGGER.warning(
                "%s lease expired; spending no permits until the coordinator confirms them", _PREFIX
            )
        self._state = MemberState.UNCONFIRMED
        self._join_question += 1
        self._join_sent_s = None
        self._mark_all_changed()

    def _due_join_request(self, now_s: float) -> list[Envelope]:
        if not self._lease.holds(now_s):
            return []
        interval_s = DEFAULT_RESEND_S
        if self._state is MemberState.CONFIRMED:
            if self._exchange.has_recent_coordinator_status(now_s):
                return []
            interval_s = DEFAULT_STATUS_REFRESH_S
        if self._join_sent_s is not None and now_s - self._join_sent_s < interval_s:
            return []
        self._join_sent_s = now_s
        self._unanswered_joins += 1
        return [
            Envelope(self._coordinator(), JoinRequest(self.me, self._join_question, self.epoch))
        ]

    def _on_transfer(self, transfer: PermitTransfer) -> list[Envelope]:
        if self._state is MemberState.NOT_JOINED:
            return []
        if transfer.epoch > self.epoch and transfer.taker == self.me:
            self._enter_epoch(transfer.epoch)
        return self._exchange.on_transfer(transfer)

    def _on_epoch_start(self, start: EpochStart, now_s: float) -> list[Envelope]:
        if start.epoch < self.epoch:
            return []
        if self.me not in start.members:
            self._on_permits_void(start)
            return []
        if self._state is MemberState.NOT_JOINED or start.epoch > self.epoch:
            self._enter_epoch(start.epoch)
        confirmed = start.answer_to == self._join_question and self._lease.holds(now_s)
        if self._state is MemberState.NOT_JOINED or confirmed:
            self._state = MemberState.CONFIRMED
            self._mark_all_changed()
            self._lease_seen_until_s = self._lease.keyed_until_s()
        self._exchange.peers = [*start.members, start.coordinator]
        return [] if self._report is None else [Envelope(start.coordinator, self._report)]

    def _enter_epoch(self, epoch: Epoch) -> None:
        self._exchange.enter_epoch(epoch)
        self._mark_all_changed()
        self._reserved.clear()
        self._report = EpochReport(self.me, epoch, dict(+self._exchange.holding.held))

    def _on_permits_void(self, start: EpochStart) -> None:
        if self._state is MemberState.NOT_JOINED and start.answer_to != self._join_question:
            return
        _LOGGER.warning("%s the coordinator reclaimed the permits; joining again", _PREFIX)
        me = self.me
        self._reset(Member(me.entry, me.incarnation, me.generation + 1))

    def _reset(self, me: Member) -> None:
        self._exchange.reset(me)
        self._state = MemberState.NOT_JOINED
        self._unanswered_joins = 0
        self._join_question += 1
        self._join_sent_s = None
        self._spent.clear()
        self._team_of.clear()
        self._reserved.clear()
        self._report = None
        self._loans.clear()

    def _mark_all_changed(self) -> None:
        self._mark_changed(self._exchange.known_teams() | set(self._waiting))

    def _mark_changed(self, teams: Iterable[TeamId]) -> None:
        for team in teams:
            self._exchange.mark_changed(team)

    def _demand(self, team: TeamId) -> int:
        if self._leaving or self._state is not MemberState.CONFIRMED:
            return self._used(team)
        return self._used(team) + self._waiting.get(team, 0) + self._loans.waiting(team)

    def _due_transfers(self, now_s: float) -> list[Envelope]:
        given: defaultdict[Member, Counter[TeamId]] = defaultdict(Counter)
        for team in self._exchange.pop_changed() | set(self._reserved):
            self._collect_transfers(team, given, now_s)
        return self._exchange.transfer(given, now_s)

    def _collect_transfers(
        self, team: TeamId, given: defaultdict[Member, Counter[TeamId]], now_s: float
    ) -> None:
        """Add the permits each peer gets now to `given`; reserve those it gets as tasks end."""
        free = self.held(team) - self._used(team)
        reserved = 0
        for peer, planned in self._planned_transfers(team, now_s).items():
            if not self._exchange.holding.can_transfer_to(peer):
                continue
            permits = min(planned, free)
            reserved += planned - permits
            if permits > 0:
                given[peer][team] += permits
                free -= permits
        self._reserved.pop(team, None)
        if reserved:
            self._reserved[team] = reserved

    def _planned_transfers(self, team: TeamId, now_s: float) -> dict[Member, int]:
        planned = self._exchange.planned_transfers(team, self._demand(team), now_s)
        spare = self.held(team) - sum(planned.values())
        target = self._exchange.return_target()
        if self._leaving and spare > 0 and target is not None:
            planned[target] = planned.get(target, 0) + spare
        return planned

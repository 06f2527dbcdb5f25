"""Coordinator of one data centre's permits.

It writes the data centre's line of the ledger, holds the permits that no entry holds, and recovers
lost permits.

Several coordinators at once do no harm. Each raises the data centre's term in the ledger before it
acts; writes of an earlier term fail their compare-and-swap, and members refuse transfers of an
earlier term. A coordinator whose lease expired, if only for a moment, raises the term again, so
that a late event that reports its data centre as expired meets a newer term and is ignored. Where
the ledger says that the data centre keeps its permits, nobody reclaims them and the term goes on.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    COORDINATOR_ID,
    DEFAULT_RESEND_S,
    DEFAULT_ROTATION_PERIOD_S,
    DEFAULT_START_MARGIN_S,
    LOAN_LEASE_S,
)
from toucandoor.core.ceilings.coordinator_state import (
    CoordinatorOutput,
    CoordinatorState,
    ExpiredDataCentres,
    WriteBudget,
)
from toucandoor.core.ceilings.count import EpochCount
from toucandoor.core.ceilings.exchange import PermitExchange
from toucandoor.core.ceilings.ledger import (
    LedgerInput,
    demands_with_min_part,
    outgoing_by_team,
    plan_change,
    raise_term,
)
from toucandoor.core.ceilings.member_tracker import MemberTracker
from toucandoor.core.ceilings.models import (
    CeilingMessage,
    DataCentreExpired,
    DataCentrePart,
    Envelope,
    Epoch,
    EpochReport,
    EpochStart,
    IncarnationExpired,
    JoinRequest,
    LeaveNotice,
    Ledger,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
    WriteLedger,
)
from toucandoor.core.ceilings.writes import LedgerWrites, WriteOutcome
from toucandoor.ids import ConfigVersion, IncarnationId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.ids import DataCentreId, TeamId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"


class PermitCoordinator:
    """Moves permits between the members of a data centre and the ledger.

    Args:
        start_id: Unique to this start of the coordinator; prefix of its operation ids.
        lease: Lease of the coordinator's own VM.
        keeps_permits: Whether no other data centre may reclaim the permits of this one.
    """

    def __init__(
        self,
        data_centre: DataCentreId,
        start_id: str,
        lease: ServingLease,
        *,
        keeps_permits: bool = False,
    ) -> None:
        self._lease = lease
        self._keeps_permits = keeps_permits
        self._lease_seen_until_s = lease.keyed_until_s()
        self._data_centre = data_centre
        self._writes = LedgerWrites(start_id)
        self._state = CoordinatorState.CANDIDATE
        self._exchange = PermitExchange(Member(COORDINATOR_ID, IncarnationId(0)))
        self._ledger: Ledger | None = None
        self._revision = -1
        # Permits of this data centre's ledger line that were already added to the holdings.
        self._credited_parts: Counter[TeamId] = Counter()
        self._write_budget = WriteBudget()
        self._version = ConfigVersion(0)
        self._ceilings: Mapping[TeamId, int] = {}
        self._task_lease_s = 0.0
        self._members = MemberTracker()
        self._expired_data_centres = ExpiredDataCentres()
        self._count: EpochCount | None = None
        self._announced_s: float | None = None
        self._plan_due = True
        self._turn = 0
        self._outgoing: dict[TeamId, int] = {}

    @property
    def state(self) -> CoordinatorState:
        """State of this coordinator, which decides what it may do."""
        return self._state

    @property
    def epoch(self) -> Epoch:
        """Epoch in which transfers to and from this coordinator are valid."""
        return self._exchange.epoch

    @property
    def is_counting(self) -> bool:
        """Return whether a count of all permits is under way."""
        return self._count is not None

    @property
    def has_pending_ledger_update(self) -> bool:
        """Whether a ledger write is open or the ledger still lists members that have left.

        The next coordinator would wait for the reports of these members, and could not use the
        permits held here until then.
        """
        if self._state is not CoordinatorState.ACTIVE:
            return False
        return self._writes.is_open or any(map(self._members.is_ended, self._own_line().members))

    def unassigned(self, team: TeamId) -> int:
        """Return how many of the team's permits the coordinator itself holds."""
        return self._exchange.holding.held[team]

    def set_ceilings(
        self, version: ConfigVersion, ceilings: Mapping[TeamId, int], task_lease_s: float
    ) -> None:
        """Set the ceilings of an accepted configuration; an older version is ignored.

        Args:
            task_lease_s: Task lease of that configuration, in seconds.
        """
        if version <= self._version:
            return
        self._task_lease_s = task_lease_s
        self._version = version
        self._ceilings = dict(ceilings)
        self._plan_due = True

    def on_incarnation_expired(self, event: IncarnationExpired) -> None:
        """Record when an expired incarnation's permits become free."""
        self._members.on_incarnation_expired(event)

    def on_data_centre_expired(self, event: DataCentreExpired) -> None:
        """Record when another data centre's permits become free."""
        if event.data_centre != self._data_centre:
            self._expired_data_centres.on_expired(event)
            self._plan_due = True

    def on_data_centre_recovered(self, data_centre: DataCentreId) -> None:
        """Cancel the expiry of a data centre whose lease holds again."""
        self._expired_data_centres.on_recovered(data_centre)

    def on_ledger(self, ledger: Ledger, revision: int, now_s: float) -> None:
        """Update from the ledger as the store holds it, after a watch, a read or an own write.

        After each write, whatever its outcome, the adapter reads until it can call this.

        Args:
            ledger: Value of the ledger's key; an empty one when the key does not exist.
            revision: Revision of the ledger's key; 0 when the key does not exist.
            now_s: Monotonic time.
        """
        self._observe_lease(now_s)
        if self._state is CoordinatorState.SUPERSEDED or revision < self._revision:
            return
        self._plan_due = self._plan_due or revision != self._revision
        self._ledger = ledger
        self._revision = revision
        self._expired_data_centres.observe_terms(ledger.data_centres, now_s)
        if not self._settle_write(revision):
            return
        if self._state is CoordinatorState.ACTIVE:
            self._apply_own_line()

    def on_message(self, message: CeilingMessage, now_s: float) -> list[Envelope]:
        """Handle a member's message and return the answers."""
        self._observe_lease(now_s)
        if self._state is not CoordinatorState.ACTIVE:
            return []
        self._plan_due = True
        if isinstance(message, PermitTransfer):
            return self._exchange.on_transfer(message)
        if isinstance(message, JoinRequest):
            return self._on_join(message)
        if isinstance(message, EpochReport) and self._count is not None:
            self._count.on_report(message)
        if isinstance(message, PermitStatus):
            self._exchange.on_status(message, now_s)
        if isinstance(message, PermitTransferAck):
            self._exchange.on_ack(message)
        if isinstance(message, LeaveNotice):
            self._members.on_leave(message.member)
        return []

    def tick(self, now_s: float) -> CoordinatorOutput:
        """Return the messages and the write that are due; call it often and after messages."""
        self._observe_lease(now_s)
        self._members.end_expired(self._own_line().members, now_s)
        if self._state is CoordinatorState.SUPERSEDED or self._ledger is None:
            return CoordinatorOutput()
        if self._state is CoordinatorState.CANDIDATE:
            return CoordinatorOutput(write=self._write_term(now_s))
        self._drop_ended_members(now_s)
        self._finish_count()
        self._exchange.drop_silent_peers(now_s)
        write = self._plan(now_s) if self._is_plan_due(now_s) else self._writes.pop_retry()
        envelopes = self._announce(now_s)
        envelopes += self._exchange.due_resends(now_s)
        envelopes += self._exchange.transfer_surplus(self._outgoing, now_s)
        envelopes += self._exchange.due_statuses(lambda team: self._outgoing.get(team, 0), now_s)
        return CoordinatorOutput(envelopes, write)

    def _is_plan_due(self, now_s: float) -> bool:
        return self._plan_due or int(now_s / DEFAULT_ROTATION_PERIOD_S) != self._turn

    def _plan(self, now_s: float) -> WriteLedger | None:
        """Update the permits that should leave this data centre; return the write that is due."""
        self._plan_due = False
        self._turn = int(now_s / DEFAULT_ROTATION_PERIOD_S)
        inputs = self._ledger_input(now_s)
        ledger = self._ledger or Ledger()
        teams = self._exchange.known_teams()
        outgoing = outgoing_by_team(ledger, self._data_centre, teams, inputs)
        for team in set(outgoing) | set(self._outgoing):
            if outgoing.get(team, 0) != self._outgoing.get(team, 0):
                self._exchange.mark_changed(team)
        self._outgoing = outgoing
        return self._write(inputs, now_s)

    def _observe_lease(self, now_s: float) -> None:
        """End the term when the lease has expired since the last call, even if it holds again.

        It goes on where nobody may reclaim the data centre's permits.
        """
        expired = now_s >= self._lease_seen_until_s
        self._lease_seen_until_s = self._lease.keyed_until_s()
        if not expired or self._state is not CoordinatorState.ACTIVE:
            return
        if self._own_line().keeps_permits:
            return
        _LOGGER.warning("%s lease expired; term %s has ended", _PREFIX, self.epoch.term)
        self._state = CoordinatorState.CANDIDATE
        self._writes.discard()
        self._count = None
        self._exchange.reset(self._exchange.me)

    def _own_line(self) -> DataCentrePart:
        lines = self._ledger.data_centres if self._ledger is not None else {}
        return lines.get(self._data_centre, DataCentrePart())

    def _write_term(self, now_s: float) -> WriteLedger | None:
        if self._writes.is_open or self._ledger is None:
            return self._writes.pop_retry()
        if not self._lease.holds(now_s) or not self._write_budget.try_consume(now_s):
            return None
        operation = self._writes.next_operation()
        ledger = raise_term(
            self._ledger, self._data_centre, operation, keeps_permits=self._keeps_permits
        )
        return self._writes.begin(ledger, self._revision)

    def _settle_write(self, revision: int) -> bool:
        """Apply the outcome of the last write; return whether it is known."""
        outcome = self._writes.settle(self._own_line().operation, revision)
        if outcome is WriteOutcome.APPLIED and self._state is CoordinatorState.CANDIDATE:
            self._activate()
        elif outcome is WriteOutcome.APPLIED:
            self._credited_parts.subtract(self._writes.pop_withdrawn())
        elif outcome is WriteOutcome.VOID:
            self._exchange.holding.held.update(self._writes.pop_withdrawn())
        return outcome is not WriteOutcome.OPEN

    def _activate(self) -> None:
        line = self._own_line()
        self._state = CoordinatorState.ACTIVE
        self._exchange.reset(Member(COORDINATOR_ID, IncarnationId(line.term)))
        self._credited_parts = Counter(line.parts)
        _LOGGER.info(
            "%s coordinating data centre %s in term %s", _PREFIX, self._data_centre, line.term
        )
        self._start_count(Epoch(line.term, 0))

    def _apply_own_line(self) -> None:
        """Add the permits that other data centres gave; stop when a later term is in the ledger."""
        line = self._own_line()
        if line.term != self.epoch.term:
            _LOGGER.info("%s superseded by the coordinator of term %s", _PREFIX, line.term)
            self._state = CoordinatorState.SUPERSEDED
            return
        received = Counter(line.parts)
        received.subtract(self._credited_parts)
        self._credited_parts = Counter(line.parts)
        self._exchange.holding.held.update(+received)
        for team in +received:
            self._exchange.mark_changed(team)

    def _write(self, inputs: LedgerInput, now_s: float) -> WriteLedger | None:
        if self._writes.is_open or self._ledger is None:
            self._plan_due = True
            return self._writes.pop_retry()
        operation = self._writes.next_operation()
        change = plan_change(self._ledger, self._data_centre, inputs, operation)
        if change is None:
            return None
        if not self._write_budget.try_consume(now_s):
            self._plan_due = True
            return None
        self._exchange.holding.held.subtract(change.withdrawn)
        return self._writes.begin_change(change, self._revision)

    def _ledger_input(self, now_s: float) -> LedgerInput:
        line = self._own_line()
        ended = self._members.ended if self._count is None else set()
        return LedgerInput(
            unassigned=self._exchange.holding.held,
            demand=self._demand(),
            version=self._version,
            ceilings=self._ceilings,
            task_lease_s=self._task_lease_s,
            joined=frozenset(self._members.joining),
            ended=frozenset(ended & set(line.members)),
            expired=self._expired_data_centres.reclaimable(now_s),
            turn=int(now_s / DEFAULT_ROTATION_PERIOD_S),
        )

    def _demand(self) -> dict[TeamId, int]:
        ledger = self._ledger or Ledger()
        ceilings = self._ceilings if self._version > ledger.version else ledger.ceilings
        return demands_with_min_part(
            ledger, self._data_centre, ceilings, self._exchange.demand_of_peers
        )

    def _active_members(self) -> list[Member]:
        return self._members.active(self._own_line().members)

    def _on_join(self, request: JoinRequest) -> list[Envelope]:
        member = request.member
        is_void = request.epoch.term > 0 or self._members.is_ended(member)
        if is_void or member in self._active_members():
            # An answer that does not list the member tells it that its permits are void.
            return [Envelope(member, self._epoch_start(request.question))]
        self._members.joining.add(member)
        return []

    def _epoch_start(self, answer_to: int = 0) -> EpochStart:
        return EpochStart(self._exchange.me, self.epoch, self._active_members(), answer_to)

    def _drop_ended_members(self, now_s: float) -> None:
        """Start a new count without the members that have ended since the last one.

        A dead member's borrowers may start tasks until its last loan's lease has expired.
        """
        listed = self._own_line().members
        ledger = self._ledger or Ledger()
        task_lease_s = max(self._task_lease_s, ledger.task_lease_s)
        self._members.expire_earlier_incarnations(
            listed, now_s + LOAN_LEASE_S + task_lease_s + DEFAULT_START_MARGIN_S
        )
        new = self._members.pop_newly_ended(listed)
        if not new:
            return
        self._plan_due = True
        if self._count is not None:
            for member in new:
                self._count.on_member_ended(member)
        self._start_count(Epoch(self.epoch.term, self.epoch.round + 1))

    def _start_count(self, epoch: Epoch) -> None:
        members = self._active_members()
        expected = Counter(self._credited_parts)
        expected.subtract(self._exchange.holding.held)
        expected.subtract(self._writes.withdrawn)
        self._exchange.enter_epoch(epoch)
        self._exchange.peers = members
        self._count = EpochCount(epoch, expected, members)
        self._announced_s = None

    def _announce(self, now_s: float) -> list[Envelope]:
        self._exchange.peers = self._active_members()
        added = self._members.pop_added(self._own_line().members)
        start = self._epoch_start()
        receivers = self._exchange.peers if added else []
        envelopes = [Envelope(member, start) for member in receivers]
        if self._count is None:
            return envelopes
        if self._announced_s is not None and now_s - self._announced_s < DEFAULT_RESEND_S:
            return envelopes
        self._announced_s = now_s
        return envelopes + [Envelope(m, start) for m in sorted(self._count.awaited)]

    def _finish_count(self) -> None:
        if self._count is None or self._count.awaited:
            return
        lost = self._count.lost_permits()
        self._count = None
        self._plan_due = True
        self._exchange.holding.held.update(lost)
        for team in lost:
            self._exchange.mark_changed(team)
        if lost:
            _LOGGER.info("%s recovered %s permits that no member reported", _PREFIX, lost.total())

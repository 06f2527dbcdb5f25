"""Coordinator of one data centre's permits: writes the ledger, holds the pool, finds lost ones.

Nothing depends on there being only one coordinator. Each raises the data centre's term in the
ledger before it acts; writes of an earlier term fail their compare-and-swap, and members refuse
transfers of an earlier term. A coordinator whose lease ran out, if only for a moment, raises the
term again, so that a late judgement that its data centre is gone finds another term and is void.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    COORDINATOR_ID,
    DEFAULT_RESEND_S,
    DEFAULT_START_MARGIN_S,
    DEFAULT_TURN_S,
)
from toucandoor.core.ceilings.count import EpochCount
from toucandoor.core.ceilings.exchange import Exchange
from toucandoor.core.ceilings.ledger import (
    LocalView,
    floor_of,
    plan_change,
    take_office,
    wanted_elsewhere,
)
from toucandoor.core.ceilings.models import (
    CeilingMessage,
    DataCentreGone,
    DataCentrePart,
    EntryGone,
    Envelope,
    Epoch,
    EpochReport,
    EpochStart,
    JoinRequest,
    LeaveNotice,
    Ledger,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
    WriteLedger,
)
from toucandoor.core.ceilings.office import CoordinatorOutput, Judgements, Office, WriteBudget
from toucandoor.core.ceilings.roster import Roster
from toucandoor.core.ceilings.writes import LedgerWrites, WriteOutcome
from toucandoor.ids import ConfigVersion, IncarnationId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.ids import DataCentreId, TeamId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"


class PermitCoordinator:
    """Moves permits between the data centre's members and the ledger.

    Args:
        start_id: Unique to this start of the coordinator; prefix of its operation ids.
        lease: Lease of the coordinator's own VM.
    """

    def __init__(self, data_centre: DataCentreId, start_id: str, lease: ServingLease) -> None:
        self._lease = lease
        self._lease_seen_until_s = lease.keyed_until_s()
        self._data_centre = data_centre
        self._writes = LedgerWrites(start_id)
        self._office = Office.CANDIDATE
        self._exchange = Exchange(Member(COORDINATOR_ID, IncarnationId(0)))
        self._ledger: Ledger | None = None
        self._revision = -1
        self._accounted: Counter[TeamId] = Counter()
        self._budget = WriteBudget()
        self._version = ConfigVersion(0)
        self._ceilings: Mapping[TeamId, int] = {}
        self._task_lease_s = 0.0
        self._roster = Roster()
        self._judgements = Judgements()
        self._count: EpochCount | None = None
        self._announced_s: float | None = None
        self._plan_due = True
        self._turn = 0
        self._wanted: dict[TeamId, int] = {}

    @property
    def office(self) -> Office:
        """What this coordinator may do."""
        return self._office

    @property
    def epoch(self) -> Epoch:
        """Epoch in which the pool's transfers count."""
        return self._exchange.epoch

    @property
    def is_counting(self) -> bool:
        """Return whether reports of members are awaited."""
        return self._count is not None

    @property
    def owes_ledger(self) -> bool:
        """Whether the ledger still names members that have left.

        The next coordinator would wait for their reports, and all permits in hand here with them.
        """
        if self._office is not Office.HOLDER:
            return False
        return self._writes.is_open or any(map(self._roster.is_gone, self._line().members))

    def pool(self, team: TeamId) -> int:
        """Return the team's permits in hand."""
        return self._exchange.holding.held[team]

    def set_ceilings(
        self, version: ConfigVersion, ceilings: Mapping[TeamId, int], task_lease_s: float
    ) -> None:
        """Take the ceilings of an accepted configuration; an older one changes nothing."""
        if version <= self._version:
            return
        self._task_lease_s = task_lease_s
        self._version = version
        self._ceilings = dict(ceilings)
        self._plan_due = True

    def on_entry_gone(self, event: EntryGone) -> None:
        """Note that an incarnation's permits are free from a time on."""
        self._roster.on_gone(event)

    def on_data_centre_gone(self, event: DataCentreGone) -> None:
        """Note that another data centre's permits are free from a time on."""
        if event.data_centre != self._data_centre:
            self._judgements.on_gone(event)
            self._plan_due = True

    def on_data_centre_back(self, data_centre: DataCentreId) -> None:
        """Forget that a data centre was gone."""
        self._judgements.on_back(data_centre)

    def on_ledger(self, ledger: Ledger, revision: int, now_s: float) -> None:
        """Take in the ledger as the store holds it: from a watch, a read, or an own write.

        After each write, whatever its outcome, the adapter reads until it can call this.

        Args:
            ledger: Value of the ledger's key; an empty one when the key does not exist.
            revision: Revision of the ledger's key; 0 when the key does not exist.
            now_s: Monotonic time.
        """
        self._observe_lease(now_s)
        if self._office is Office.DEPOSED or revision < self._revision:
            return
        self._plan_due = self._plan_due or revision != self._revision
        self._ledger = ledger
        self._revision = revision
        self._judgements.note_terms(ledger.data_centres, now_s)
        if not self._settle(revision):
            return
        if self._office is Office.HOLDER:
            self._take_gifts()

    def on_message(self, message: CeilingMessage, now_s: float) -> list[Envelope]:
        """Handle a member's message; return the answers."""
        self._observe_lease(now_s)
        if self._office is not Office.HOLDER:
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
            self._roster.on_left(message.member)
        return []

    def tick(self, now_s: float) -> CoordinatorOutput:
        """Return what is due; call it often and after messages."""
        self._observe_lease(now_s)
        self._roster.expire(self._line().members, now_s)
        if self._office is Office.DEPOSED or self._ledger is None:
            return CoordinatorOutput()
        if self._office is Office.CANDIDATE:
            return CoordinatorOutput(write=self._write_office(now_s))
        self._drop_gone(now_s)
        self._close_count()
        self._exchange.drop_silent(now_s)
        write = self._plan(now_s) if self._is_plan_due(now_s) else self._writes.again()
        envelopes = self._announce(now_s)
        envelopes += self._exchange.resend(now_s)
        envelopes += self._exchange.give_what_is_owed(self._wanted, now_s)
        envelopes += self._exchange.show(lambda team: self._wanted.get(team, 0), now_s)
        return CoordinatorOutput(envelopes, write)

    def _is_plan_due(self, now_s: float) -> bool:
        return self._plan_due or int(now_s / DEFAULT_TURN_S) != self._turn

    def _plan(self, now_s: float) -> WriteLedger | None:
        """Work out what other data centres should get, and the write that is due."""
        self._plan_due = False
        self._turn = int(now_s / DEFAULT_TURN_S)
        view = self._view(now_s)
        wanted = self._wanted_elsewhere(view)
        for team in set(wanted) | set(self._wanted):
            if wanted.get(team, 0) != self._wanted.get(team, 0):
                self._exchange.touch(team)
        self._wanted = wanted
        return self._write(view, now_s)

    def _observe_lease(self, now_s: float) -> None:
        lapsed = now_s >= self._lease_seen_until_s
        self._lease_seen_until_s = self._lease.keyed_until_s()
        if not lapsed or self._office is not Office.HOLDER:
            return
        _LOGGER.warning("%s lease ran out, term %s is over", _PREFIX, self.epoch.term)
        self._office = Office.CANDIDATE
        self._writes.forget()
        self._count = None
        self._exchange.restart(self._exchange.me)

    def _line(self) -> DataCentrePart:
        lines = self._ledger.data_centres if self._ledger is not None else {}
        return lines.get(self._data_centre, DataCentrePart())

    def _write_office(self, now_s: float) -> WriteLedger | None:
        if self._writes.is_open or self._ledger is None:
            return self._writes.again()
        if not self._lease.holds(now_s) or not self._budget.take(now_s):
            return None
        operation = self._writes.next_operation()
        ledger = take_office(self._ledger, self._data_centre, operation)
        return self._writes.send(ledger, self._revision)

    def _settle(self, revision: int) -> bool:
        """Act on what became of the last write; return whether that is known."""
        outcome = self._writes.settle(self._line().operation, revision)
        if outcome is WriteOutcome.APPLIED and self._office is Office.CANDIDATE:
            self._start_office()
        elif outcome is WriteOutcome.APPLIED:
            self._accounted.subtract(self._writes.take_withdrawn())
        elif outcome is WriteOutcome.VOID:
            self._exchange.holding.held.update(self._writes.take_withdrawn())
        return outcome is not WriteOutcome.OPEN

    def _start_office(self) -> None:
        line = self._line()
        self._office = Office.HOLDER
        self._exchange.restart(Member(COORDINATOR_ID, IncarnationId(line.term)))
        self._accounted = Counter(line.parts)
        _LOGGER.info("%s coordinating %s in term %s", _PREFIX, self._data_centre, line.term)
        self._start_count(Epoch(line.term, 0))

    def _take_gifts(self) -> None:
        line = self._line()
        if line.term != self.epoch.term:
            _LOGGER.info("%s deposed by term %s", _PREFIX, line.term)
            self._office = Office.DEPOSED
            return
        gifts = Counter(line.parts)
        gifts.subtract(self._accounted)
        self._accounted = Counter(line.parts)
        self._exchange.holding.held.update(+gifts)
        for team in +gifts:
            self._exchange.touch(team)

    def _write(self, view: LocalView, now_s: float) -> WriteLedger | None:
        if self._writes.is_open or self._ledger is None:
            self._plan_due = True
            return self._writes.again()
        operation = self._writes.next_operation()
        change = plan_change(self._ledger, self._data_centre, view, operation)
        if change is None:
            return None
        if not self._budget.take(now_s):
            self._plan_due = True
            return None
        self._exchange.holding.held.subtract(change.withdrawn)
        return self._writes.send_change(change, self._revision)

    def _view(self, now_s: float) -> LocalView:
        line = self._line()
        left = self._roster.gone if self._count is None else set()
        return LocalView(
            pool=self._exchange.holding.held,
            demand=self._demand(),
            version=self._version,
            ceilings=self._ceilings,
            task_lease_s=self._task_lease_s,
            joined=frozenset(self._roster.joining),
            left=frozenset(left & set(line.members)),
            gone=self._judgements.reclaimable(now_s),
            turn=int(now_s / DEFAULT_TURN_S),
        )

    def _demand(self) -> dict[TeamId, int]:
        ledger = self._ledger or Ledger()
        ceilings = self._ceilings if self._version > ledger.version else ledger.ceilings
        data_centres = len(set(ledger.data_centres) | {self._data_centre})
        demand_of = self._exchange.demand_of_peers
        return {
            team: max(floor_of(ceiling, data_centres), demand_of(team))
            for team, ceiling in ceilings.items()
        }

    def _wanted_elsewhere(self, view: LocalView) -> dict[TeamId, int]:
        """Return the permits that the coordinator needs to retire or give away."""
        ledger, me = self._ledger or Ledger(), self._data_centre
        teams = set(self._line().parts) | self._exchange.teams_known()
        return {team: wanted_elsewhere(ledger, me, team, view) for team in sorted(teams)}

    def _present(self) -> list[Member]:
        return self._roster.present(self._line().members)

    def _on_join(self, request: JoinRequest) -> list[Envelope]:
        member = request.member
        is_void = request.epoch.term > 0 or self._roster.is_gone(member)
        if is_void or member in self._present():
            # An answer without the member in it says that its permits are void.
            return [Envelope(member, self._epoch_start(request.question))]
        self._roster.joining.add(member)
        return []

    def _epoch_start(self, answer_to: int = 0) -> EpochStart:
        return EpochStart(self._exchange.me, self.epoch, self._present(), answer_to)

    def _drop_gone(self, now_s: float) -> None:
        """Count anew without the members that are gone."""
        listed = self._line().members
        ledger = self._ledger or Ledger()
        task_lease_s = max(self._task_lease_s, ledger.task_lease_s)
        self._roster.succeed(listed, now_s + task_lease_s + DEFAULT_START_MARGIN_S)
        new = self._roster.newly_gone(listed)
        if not new:
            return
        self._plan_due = True
        if self._count is not None:
            for member in new:
                self._count.on_gone(member)
        self._start_count(Epoch(self.epoch.term, self.epoch.round + 1))

    def _start_count(self, epoch: Epoch) -> None:
        members = self._present()
        expected = Counter(self._accounted)
        expected.subtract(self._exchange.holding.held)
        expected.subtract(self._writes.withdrawn)
        self._exchange.enter(epoch)
        self._exchange.peers = members
        self._count = EpochCount(epoch, expected, members)
        self._announced_s = None

    def _announce(self, now_s: float) -> list[Envelope]:
        self._exchange.peers = self._present()
        added = self._roster.take_added(self._line().members)
        start = self._epoch_start()
        told = self._exchange.peers if added else []
        envelopes = [Envelope(member, start) for member in told]
        if self._count is None:
            return envelopes
        if self._announced_s is not None and now_s - self._announced_s < DEFAULT_RESEND_S:
            return envelopes
        self._announced_s = now_s
        return envelopes + [Envelope(m, start) for m in sorted(self._count.awaited)]

    def _close_count(self) -> None:
        if self._count is None or self._count.awaited:
            return
        lost = self._count.lost()
        self._count = None
        self._plan_due = True
        self._exchange.holding.held.update(lost)
        for team in lost:
            self._exchange.touch(team)
        if lost:
            _LOGGER.info("%s recovered %s permits", _PREFIX, lost.total())

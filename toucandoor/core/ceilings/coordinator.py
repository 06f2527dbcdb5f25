"""Coordinator of one data centre's permits: writes the ledger, holds the pool, finds lost ones.

Nothing depends on there being only one coordinator. Each raises the data centre's term in the
ledger before it acts; writes of an earlier term fail their compare-and-swap, and members refuse
transfers of an earlier term. A coordinator whose lease ran out, if only for a moment, raises the
term again, so that a late judgement that its data centre is gone finds another term and is void.
"""

from __future__ import annotations

import logging
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    COORDINATOR_ID,
    DEFAULT_LEDGER_WRITE_BURST,
    DEFAULT_LEDGER_WRITES_PER_MINUTE,
    DEFAULT_RESEND_S,
    DEFAULT_TURN_S,
)
from toucandoor.core.ceilings.count import EpochCount
from toucandoor.core.ceilings.exchange import Exchange
from toucandoor.core.ceilings.ledger import (
    LedgerChange,
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
from toucandoor.ids import ConfigVersion, EntryId, IncarnationId, OperationId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.ids import DataCentreId, TeamId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"


class Office(Enum):
    """What a coordinator may do."""

    CANDIDATE = "candidate"
    """Its term is not in the ledger yet."""

    HOLDER = "holder"

    DEPOSED = "deposed"
    """A later term is in the ledger; it does nothing any more."""


@dataclass(slots=True)
class CoordinatorOutput:
    """What the coordinator wants done: messages to send and at most one write."""

    envelopes: list[Envelope] = field(default_factory=list)
    write: WriteLedger | None = None


class WriteBudget:
    """Token bucket that bounds the ledger writes of one coordinator."""

    def __init__(self) -> None:
        self._tokens = DEFAULT_LEDGER_WRITE_BURST
        self._filled_s: float | None = None

    def take(self, now_s: float) -> bool:
        """Take a token; False when there is none."""
        elapsed_s = 0.0 if self._filled_s is None else now_s - self._filled_s
        self._filled_s = now_s
        gained = elapsed_s * DEFAULT_LEDGER_WRITES_PER_MINUTE / 60.0
        self._tokens = min(DEFAULT_LEDGER_WRITE_BURST, self._tokens + gained)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PermitCoordinator:
    """Moves permits between the data centre's members and the ledger.

    Args:
        start_id: Unique to this start of the coordinator; prefix of its operation ids.
        lease: Lease of the coordinator's own VM.
    """

    def __init__(self, data_centre: DataCentreId, start_id: str, lease: ServingLease) -> None:
        self._lease = lease
        self._lease_seen_until_s = lease.keyed_until_s()
        self._term_seen_s: dict[DataCentreId, tuple[int, float]] = {}
        self._data_centre = data_centre
        self._start_id = start_id
        self._operations = 0
        self._office = Office.CANDIDATE
        self._exchange = Exchange(Member(COORDINATOR_ID, IncarnationId(0)))
        self._ledger: Ledger | None = None
        self._revision = -1
        self._pending: WriteLedger | None = None
        self._withdrawn: Counter[TeamId] = Counter()
        self._accounted: Counter[TeamId] = Counter()
        self._budget = WriteBudget()
        self._version = ConfigVersion(0)
        self._ceilings: Mapping[TeamId, int] = {}
        self._joining: set[Member] = set()
        self._gone: set[Member] = set()
        self._gone_later: dict[tuple[EntryId, IncarnationId], float] = {}
        self._lives_gone: dict[tuple[EntryId, IncarnationId], int] = {}
        self._data_centres_gone: dict[DataCentreId, DataCentreGone] = {}
        self._count: EpochCount | None = None
        self._announced_s: float | None = None
        self._outbox: list[Envelope] = []
        self._rewrite = False
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

    def pool(self, team: TeamId) -> int:
        """Return the team's permits in hand."""
        return self._exchange.holding.held[team]

    def set_ceilings(self, version: ConfigVersion, ceilings: Mapping[TeamId, int]) -> None:
        """Take the ceilings of an accepted configuration; an older one changes nothing."""
        if version <= self._version:
            return
        self._version = version
        self._ceilings = dict(ceilings)
        self._plan_due = True

    def on_entry_gone(self, event: EntryGone) -> None:
        """Note that an incarnation's permits are free from a time on."""
        self._gone_later[event.entry, event.incarnation] = event.last_task_end_s

    def on_data_centre_gone(self, event: DataCentreGone) -> None:
        """Note that another data centre's permits are free from a time on."""
        if event.data_centre != self._data_centre:
            self._data_centres_gone[event.data_centre] = event
            self._plan_due = True

    def on_data_centre_back(self, data_centre: DataCentreId) -> None:
        """Forget that a data centre was gone."""
        self._data_centres_gone.pop(data_centre, None)

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
        self._note_terms(ledger, now_s)
        if self._pending is not None and not self._settle(ledger, revision):
            return
        if self._office is Office.HOLDER:
            self._take_gifts(ledger)

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
            self._on_left(message.member)
        return []

    def tick(self, now_s: float) -> CoordinatorOutput:
        """Return what is due; call it often and after messages."""
        self._observe_lease(now_s)
        self._expire_gone(now_s)
        if self._office is Office.DEPOSED or self._ledger is None:
            return CoordinatorOutput()
        if self._office is Office.CANDIDATE:
            return CoordinatorOutput(write=self._write_office(now_s))
        self._drop_gone()
        self._close_count()
        self._exchange.drop_silent(now_s)
        write = self._plan(now_s) if self._is_plan_due(now_s) else self._again()
        envelopes = self._announce(now_s)
        envelopes += self._exchange.resend(now_s)
        envelopes += self._give(self._wanted, now_s)
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

    # Office and ledger

    def _observe_lease(self, now_s: float) -> None:
        lapsed = now_s >= self._lease_seen_until_s
        self._lease_seen_until_s = self._lease.keyed_until_s()
        if not lapsed or self._office is not Office.HOLDER:
            return
        _LOGGER.warning("%s lease ran out, term %s is over", _PREFIX, self.epoch.term)
        self._office = Office.CANDIDATE
        self._pending = None
        self._withdrawn.clear()
        self._count = None
        self._exchange.restart(self._exchange.me)

    def _note_terms(self, ledger: Ledger, now_s: float) -> None:
        for data_centre, line in ledger.data_centres.items():
            if self._term_seen_s.get(data_centre, (-1, 0.0))[0] != line.term:
                self._term_seen_s[data_centre] = (line.term, now_s)

    def _is_reclaimable(self, event: DataCentreGone, now_s: float) -> bool:
        seen_s = self._term_seen_s.get(event.data_centre, (0, now_s))[1]
        return now_s >= event.last_task_end_s and event.judged_s > seen_s

    def _line(self) -> DataCentrePart:
        if self._ledger is None:
            return DataCentrePart()
        return self._ledger.data_centres.get(self._data_centre, DataCentrePart())

    def _operation(self) -> OperationId:
        self._operations += 1
        return OperationId(f"{self._start_id}.{self._operations}")

    def _write_office(self, now_s: float) -> WriteLedger | None:
        if self._pending is not None or self._ledger is None:
            return self._again()
        if not self._budget.take(now_s):
            return None
        operation = self._operation()
        ledger = take_office(self._ledger, self._data_centre, operation)
        self._pending = WriteLedger(ledger, self._revision, operation)
        return self._pending

    def _again(self) -> WriteLedger | None:
        """Return the write whose outcome is open, if the store was seen without it."""
        if not self._rewrite:
            return None
        self._rewrite = False
        return self._pending

    def _settle(self, ledger: Ledger, revision: int) -> bool:
        """Find out what became of the pending write; return whether that is known."""
        pending = self._pending
        if pending is None:
            return True
        line = self._line()
        if line.operation == pending.operation:
            self._pending = None
            self._on_applied()
            return True
        if revision > pending.base_revision:
            # The compare-and-swap can never succeed any more.
            self._pending = None
            self._exchange.holding.held.update(self._withdrawn)
            self._withdrawn.clear()
            return True
        self._rewrite = True
        return False

    def _on_applied(self) -> None:
        if self._office is Office.CANDIDATE:
            self._start_office()
            return
        self._accounted.subtract(self._withdrawn)
        self._withdrawn.clear()

    def _start_office(self) -> None:
        line = self._line()
        self._office = Office.HOLDER
        self._exchange.restart(Member(COORDINATOR_ID, IncarnationId(line.term)))
        self._accounted = Counter(line.parts)
        _LOGGER.info("%s coordinating %s in term %s", _PREFIX, self._data_centre, line.term)
        self._start_count(Epoch(line.term, 0))

    def _take_gifts(self, ledger: Ledger) -> None:
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
        if self._pending is not None or self._ledger is None:
            self._plan_due = True
            return self._again()
        operation = OperationId(f"{self._start_id}.{self._operations + 1}")
        change = plan_change(self._ledger, self._data_centre, view, operation)
        if change is None:
            return None
        if not self._budget.take(now_s):
            self._plan_due = True
            return None
        self._operations += 1
        return self._send_change(change, operation)

    def _send_change(self, change: LedgerChange, operation: OperationId) -> WriteLedger:
        self._withdrawn = +change.withdrawn
        self._exchange.holding.held.subtract(self._withdrawn)
        self._pending = WriteLedger(change.ledger, self._revision, operation)
        return self._pending

    def _view(self, now_s: float) -> LocalView:
        events = self._data_centres_gone.values()
        gone = {e.data_centre for e in events if self._is_reclaimable(e, now_s)}
        line = self._line()
        left = self._gone if self._count is None else set()
        return LocalView(
            pool=self._exchange.holding.held,
            demand=self._demand(),
            version=self._version,
            ceilings=self._ceilings,
            joined=frozenset(self._joining - self._gone),
            left=frozenset(left & set(line.members)),
            gone=frozenset(gone),
            turn=int(now_s / DEFAULT_TURN_S),
        )

    def _demand(self) -> dict[TeamId, int]:
        ledger = self._ledger or Ledger()
        ceilings = self._ceilings if self._version > ledger.version else ledger.ceilings
        data_centres = len(set(ledger.data_centres) | {self._data_centre})
        demand: dict[TeamId, int] = {}
        for team, ceiling in ceilings.items():
            floor = floor_of(ceiling, data_centres)
            demand[team] = max(floor, self._exchange.demand_of_peers(team))
        return demand

    def _wanted_elsewhere(self, view: LocalView) -> dict[TeamId, int]:
        """Return the permits that the coordinator needs to retire or give away."""
        if self._ledger is None:
            return {}
        teams = set(self._line().parts) | self._exchange.teams_known()
        me = self._data_centre
        return {team: wanted_elsewhere(self._ledger, me, team, view) for team in sorted(teams)}

    # Members

    def _on_join(self, request: JoinRequest) -> list[Envelope]:
        member = request.member
        is_counted = member in self._line().members and member not in self._gone
        if is_counted or request.epoch.term > 0 or self._is_marked_gone(member):
            # An answer without the member in it says that its permits are void.
            return [Envelope(member, self._epoch_start(request.question))]
        self._joining.add(member)
        return []

    def _is_marked_gone(self, member: Member) -> bool:
        return member.life <= self._lives_gone.get((member.entry, member.incarnation), -1)

    def _epoch_start(self, answer_to: int = 0) -> EpochStart:
        members = [m for m in self._line().members if m not in self._gone]
        return EpochStart(self._exchange.me, self.epoch, members, answer_to)

    def _expire_gone(self, now_s: float) -> None:
        due = [key for key, end_s in self._gone_later.items() if now_s >= end_s]
        for key in due:
            del self._gone_later[key]
            listed = [m for m in self._line().members if (m.entry, m.incarnation) == key]
            joining = [m for m in self._joining if (m.entry, m.incarnation) == key]
            lives = [m.life for m in listed + joining]
            self._lives_gone[key] = max(lives, default=self._lives_gone.get(key, 0))
        if due:
            self._joining = {m for m in self._joining if not self._is_marked_gone(m)}

    def _on_left(self, member: Member) -> None:
        self._lives_gone[member.entry, member.incarnation] = member.life
        self._joining.discard(member)

    def _drop_gone(self) -> None:
        """Count anew without the members that are gone."""
        listed = set(self._line().members)
        self._gone &= listed
        new = {m for m in listed if self._is_marked_gone(m)} - self._gone
        if not new:
            return
        self._plan_due = True
        self._gone |= new
        if self._count is not None:
            for member in new:
                self._count.on_gone(member)
        self._start_count(Epoch(self.epoch.term, self.epoch.round + 1))

    # Counting

    def _start_count(self, epoch: Epoch) -> None:
        members = [m for m in self._line().members if m not in self._gone]
        expected = Counter(self._accounted)
        expected.subtract(self._exchange.holding.held)
        expected.subtract(self._withdrawn)
        self._exchange.enter(epoch)
        self._exchange.peers = members
        self._count = EpochCount(epoch, expected, members)
        self._announced_s = None

    def _announce(self, now_s: float) -> list[Envelope]:
        line = self._line()
        self._exchange.peers = [m for m in line.members if m not in self._gone]
        added = self._joining & set(line.members)
        self._joining -= added
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

    def _give(self, wanted: Mapping[TeamId, int], now_s: float) -> list[Envelope]:
        given: defaultdict[Member, Counter[TeamId]] = defaultdict(Counter)
        for team in self._exchange.take_changed():
            self._give_team(team, wanted.get(team, 0), given, now_s)
        return self._exchange.give(given, now_s)

    def _give_team(
        self,
        team: TeamId,
        wanted: int,
        given: defaultdict[Member, Counter[TeamId]],
        now_s: float,
    ) -> None:
        in_hand = max(0, self.pool(team) - wanted)
        for member, owed in self._exchange.owed(team, wanted, now_s).items():
            permits = min(owed, in_hand)
            if permits > 0 and self._exchange.holding.can_give_to(member):
                given[member][team] += permits
                in_hand -= permits

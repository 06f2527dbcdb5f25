"""An entry's permits: spent on dispatches, exchanged with the other entries by demand."""

from __future__ import annotations

import logging
from collections import Counter, defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    COORDINATOR_ID,
    DEFAULT_RESEND_S,
    DEFAULT_STATUS_REFRESH_S,
)
from toucandoor.core.ceilings.exchange import Exchange
from toucandoor.core.ceilings.models import (
    CeilingMessage,
    Envelope,
    Epoch,
    EpochReport,
    EpochStart,
    JoinRequest,
    LeaveNotice,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
)
from toucandoor.core.ceilings.policy import PermitPolicy
from toucandoor.ids import IncarnationId

if TYPE_CHECKING:
    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.ids import AttemptId, TeamId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"


class Standing(Enum):
    """Whether this member's permits are known to count."""

    OUTSIDE = "outside"
    """It was not added yet and holds nothing."""

    COUNTED = "counted"

    DOUBTFUL = "doubtful"
    """Its lease ran out for a time, so its permits may have been reclaimed."""

    LEFT = "left"
    """It has handed back everything."""


class EntryPermits(PermitPolicy):
    """Holds this entry's part of each ceiling.

    A permit is spent when an attempt is taken and free again when its task has certainly ended.
    Whenever the serving lease has run out, if only for a moment, nothing more is spent until the
    coordinator has confirmed that this member's permits still count.
    """

    def __init__(self, me: Member, lease: ServingLease) -> None:
        self._lease = lease
        self._lease_seen_until_s = lease.keyed_until_s()
        self._exchange = Exchange(me)
        self._standing = Standing.OUTSIDE
        self._leaving = False
        self._spent: Counter[TeamId] = Counter()
        self._team_of: dict[AttemptId, TeamId] = {}
        self._waiting: dict[TeamId, int] = {}
        self._held_back: dict[TeamId, int] = {}
        self._report: EpochReport | None = None
        self._question = 1
        self._asked_s: float | None = None

    @property
    def me(self) -> Member:
        """This member's identity."""
        return self._exchange.me

    @property
    def epoch(self) -> Epoch:
        """Epoch in which this member's transfers count."""
        return self._exchange.epoch

    @property
    def standing(self) -> Standing:
        """Whether this member's permits are known to count."""
        return self._standing

    def held(self, team: TeamId) -> int:
        """Return the team's permits here, spent ones included."""
        return self._exchange.holding.held[team]

    def holdings(self) -> dict[TeamId, int]:
        """Return the permits of every team held here, spent ones included."""
        return dict(+self._exchange.holding.held)

    def spent(self, team: TeamId) -> int:
        """Return how many of the team's permits are spent on attempts."""
        return self._spent[team]

    def may_take(self, team: TeamId, now_s: float) -> bool:
        """Return whether the lease holds and a permit is free that no peer should get."""
        self._observe_lease(now_s)
        if self._standing is not Standing.COUNTED or self._leaving:
            return False
        if not self._lease.holds(now_s):
            return False
        return self._spent[team] < self.held(team) - self._held_back.get(team, 0)

    def take(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Spend a permit on an attempt; False when none is free."""
        if not self.may_take(team, now_s):
            return False
        self._spent[team] += 1
        self._team_of[attempt_id] = team
        self._exchange.touch(team)
        return True

    def give_back(self, attempt_id: AttemptId, now_s: float) -> None:
        """Free the attempt's permit; a second call changes nothing."""
        self._observe_lease(now_s)
        team = self._team_of.pop(attempt_id, None)
        if team is None:
            return
        self._spent[team] -= 1
        self._exchange.touch(team)

    def want(self, team: TeamId, waiting: int, now_s: float) -> None:
        """Note how many requests of the team wait for a permit here."""
        if self._waiting.get(team, 0) == waiting:
            return
        self._waiting[team] = waiting
        self._exchange.touch(team)

    def start_leaving(self) -> None:
        """Spend nothing more, and hand permits to the others as tasks end."""
        self._leaving = True
        self._touch_all()

    def restart(self, incarnation: IncarnationId) -> None:
        """Hold nothing, under a new incarnation: the last one's lease will not be renewed.

        The permits of running attempts stay with the last incarnation until their tasks' leases
        have run out, so giving them back here changes nothing.
        """
        self._restart(Member(self.me.entry, incarnation))

    def on_message(self, message: CeilingMessage, now_s: float) -> list[Envelope]:
        """Handle a message from another member; return the answers."""
        self._observe_lease(now_s)
        if self._standing is Standing.LEFT:
            return []
        if isinstance(message, PermitTransfer):
            return self._on_transfer(message)
        if isinstance(message, EpochStart):
            return self._on_epoch_start(message, now_s)
        if isinstance(message, PermitTransferAck):
            self._exchange.on_ack(message)
        if isinstance(message, PermitStatus):
            self._exchange.on_status(message, now_s)
        return []

    def tick(self, now_s: float) -> list[Envelope]:
        """Give, ask and show what is due; call it often and after messages."""
        self._observe_lease(now_s)
        if self._standing is Standing.LEFT:
            return [Envelope(self._coordinator(), LeaveNotice(self.me))]
        envelopes = self._ask(now_s)
        if self._standing is Standing.OUTSIDE:
            return envelopes
        self._exchange.drop_silent(now_s)
        envelopes += self._exchange.resend(now_s)
        envelopes += self._give(now_s)
        envelopes += self._exchange.show(self._demand, now_s)
        if self._leaving and not +self._spent and self._exchange.holding.is_settled():
            self._standing = Standing.LEFT
        return envelopes

    def _coordinator(self) -> Member:
        return Member(COORDINATOR_ID, IncarnationId(self.epoch.term))

    def _observe_lease(self, now_s: float) -> None:
        lapsed = now_s >= self._lease_seen_until_s
        self._lease_seen_until_s = self._lease.keyed_until_s()
        if not lapsed or self._standing not in (Standing.COUNTED, Standing.DOUBTFUL):
            return
        if self._standing is Standing.COUNTED:
            _LOGGER.warning("%s lease ran out, permits wait for the coordinator", _PREFIX)
        self._standing = Standing.DOUBTFUL
        self._question += 1
        self._asked_s = None
        self._touch_all()

    def _ask(self, now_s: float) -> list[Envelope]:
        if not self._lease.holds(now_s):
            return []
        interval_s = DEFAULT_RESEND_S
        if self._standing is Standing.COUNTED:
            if self._exchange.hears_coordinator(now_s):
                return []
            interval_s = DEFAULT_STATUS_REFRESH_S
        if self._asked_s is not None and now_s - self._asked_s < interval_s:
            return []
        self._asked_s = now_s
        return [Envelope(self._coordinator(), JoinRequest(self.me, self._question, self.epoch))]

    def _on_transfer(self, transfer: PermitTransfer) -> list[Envelope]:
        if self._standing is Standing.OUTSIDE:
            return []
        if transfer.epoch > self.epoch and transfer.taker == self.me:
            self._enter(transfer.epoch)
        return self._exchange.on_transfer(transfer)

    def _on_epoch_start(self, start: EpochStart, now_s: float) -> list[Envelope]:
        if start.epoch < self.epoch:
            return []
        if self.me not in start.members:
            self._void(start)
            return []
        if self._standing is Standing.OUTSIDE or start.epoch > self.epoch:
            self._enter(start.epoch)
        answered = start.answer_to == self._question and self._lease.holds(now_s)
        if self._standing is Standing.OUTSIDE or answered:
            self._standing = Standing.COUNTED
            self._touch_all()
            self._lease_seen_until_s = self._lease.keyed_until_s()
        self._exchange.peers = [*start.members, start.coordinator]
        return [] if self._report is None else [Envelope(start.coordinator, self._report)]

    def _enter(self, epoch: Epoch) -> None:
        self._exchange.enter(epoch)
        self._touch_all()
        self._held_back.clear()
        self._report = EpochReport(self.me, epoch, dict(+self._exchange.holding.held))

    def _void(self, start: EpochStart) -> None:
        if self._standing is Standing.OUTSIDE and start.answer_to != self._question:
            return
        _LOGGER.warning("%s permits were reclaimed, joining again", _PREFIX)
        me = self.me
        self._restart(Member(me.entry, me.incarnation, me.life + 1))

    def _restart(self, me: Member) -> None:
        self._exchange.restart(me)
        self._standing = Standing.OUTSIDE
        self._question += 1
        self._asked_s = None
        self._spent.clear()
        self._team_of.clear()
        self._held_back.clear()
        self._report = None

    def _touch_all(self) -> None:
        for team in self._exchange.teams_known() | set(self._waiting):
            self._exchange.touch(team)

    def _demand(self, team: TeamId) -> int:
        if self._leaving or self._standing is not Standing.COUNTED:
            return self._spent[team]
        return self._spent[team] + self._waiting.get(team, 0)

    def _give(self, now_s: float) -> list[Envelope]:
        given: defaultdict[Member, Counter[TeamId]] = defaultdict(Counter)
        for team in self._exchange.take_changed() | set(self._held_back):
            self._divide(team, given, now_s)
        return self._exchange.give(given, now_s)

    def _divide(
        self, team: TeamId, given: defaultdict[Member, Counter[TeamId]], now_s: float
    ) -> None:
        """Add what each peer gets now, and hold back what it should get as tasks end."""
        free = self.held(team) - self._spent[team]
        held_back = 0
        for peer, wanted in self._owed(team, now_s).items():
            if not self._exchange.holding.can_give_to(peer):
                continue
            permits = min(wanted, free)
            held_back += wanted - permits
            if permits > 0:
                given[peer][team] += permits
                free -= permits
        self._held_back.pop(team, None)
        if held_back:
            self._held_back[team] = held_back

    def _owed(self, team: TeamId, now_s: float) -> dict[Member, int]:
        owed = self._exchange.owed(team, self._demand(team), now_s)
        spare = self.held(team) - sum(owed.values())
        heir = self._exchange.heir()
        if self._leaving and spare > 0 and heir is not None:
            owed[heir] = owed.get(heir, 0) + spare
        return owed

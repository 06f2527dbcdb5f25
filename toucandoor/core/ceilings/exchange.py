"""Exchange of permits among the members of one data centre, directly and by demand."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    COORDINATOR_ID,
    DEFAULT_STATUS_CALM_INTERVAL_S,
    DEFAULT_STATUS_INTERVAL_S,
    DEFAULT_STATUS_REFRESH_S,
    DEFAULT_TURN_S,
)
from toucandoor.core.ceilings.division import plan_moves
from toucandoor.core.ceilings.holding import Holding
from toucandoor.core.ceilings.models import (
    Envelope,
    Epoch,
    Member,
    PermitStatus,
    PermitTransfer,
    PermitTransferAck,
    TeamStatus,
)

if TYPE_CHECKING:
    from toucandoor.ids import TeamId

_NOTHING = TeamStatus(0, 0)
_PEER_SILENT_S = 3 * DEFAULT_STATUS_REFRESH_S


def is_significant(old: TeamStatus, new: TeamStatus) -> bool:
    """Return whether a change alters what others would give or take."""
    if old.held != new.held:
        return True
    if new.demand > new.held or old.demand > old.held:
        return old.demand != new.demand
    return abs(old.demand - new.demand) >= max(1, new.held // 4)


class Exchange:
    """Shows peers what this member holds and wants, and gives them what they are short of.

    Every member computes the same division from the same statuses and carries out the moves in
    which it is the giver. Statuses may be stale: that moves permits to the wrong place for a
    time and never makes one.
    """

    def __init__(self, me: Member) -> None:
        self.holding = Holding(me)
        self.peers: list[Member] = []
        self._statuses: dict[Member, dict[TeamId, TeamStatus]] = {}
        self._heard_s: dict[Member, float] = {}
        self._shown: dict[TeamId, TeamStatus] = {}
        self._shown_s = 0.0
        self._refreshed_s: float | None = None
        self._changed: set[TeamId] = set()
        self._to_show: set[TeamId] = set()

    @property
    def me(self) -> Member:
        """This member's identity."""
        return self.holding.me

    @property
    def epoch(self) -> Epoch:
        """Epoch in which this member's transfers count."""
        return self.holding.epoch

    def enter(self, epoch: Epoch) -> None:
        """Enter a later epoch; statuses are exchanged anew."""
        self.holding.enter(epoch)
        self._forget()

    def restart(self, me: Member) -> None:
        """Hold nothing, under a new identity."""
        self.holding.restart(me)
        self.peers = []
        self._forget()

    def _forget(self) -> None:
        self._statuses.clear()
        self._heard_s.clear()
        self._refreshed_s = None

    def touch(self, team: TeamId) -> None:
        """Note that the team's holding or demand here may have changed."""
        self._changed.add(team)
        self._to_show.add(team)

    def on_status(self, status: PermitStatus, now_s: float) -> None:
        """Note what a peer holds and wants."""
        if status.epoch != self.epoch:
            return
        if status.sender not in self.peers:
            self.peers.append(status.sender)
            self._refreshed_s = None
        known = self._statuses.setdefault(status.sender, {})
        if status.whole:
            self._changed.update(known)
            known.clear()
        known.update(status.teams)
        self._heard_s[status.sender] = now_s
        self._changed.update(status.teams)

    def on_transfer(self, transfer: PermitTransfer) -> list[Envelope]:
        """Count a transfer and acknowledge it."""
        ack = self.holding.take_in(transfer)
        if ack is None:
            return []
        for team in transfer.permits:
            self.touch(team)
        return [Envelope(transfer.giver, ack)]

    def on_ack(self, ack: PermitTransferAck) -> None:
        """Forget an acknowledged transfer; its taker may be given more."""
        self.holding.on_ack(ack)
        self._changed.update(self._statuses.get(ack.taker, {}))

    def demand_of_peers(self, team: TeamId) -> int:
        """Return how many of the team's permits the other members could use."""
        return sum(teams.get(team, _NOTHING).demand for teams in self._statuses.values())

    def held_by_peers(self, team: TeamId) -> int:
        """Return how many of the team's permits the other members said they hold."""
        return sum(teams.get(team, _NOTHING).held for teams in self._statuses.values())

    def heir(self) -> Member | None:
        """Return who should get permits that this member gives up: the coordinator if heard."""
        heard = sorted(self._heard_s)
        return next((m for m in heard if m.entry == COORDINATOR_ID), next(iter(heard), None))

    def hears_coordinator(self, now_s: float) -> bool:
        """Return whether the coordinator of this epoch showed its status lately."""
        heard = [at_s for m, at_s in self._heard_s.items() if m.entry == COORDINATOR_ID]
        return bool(heard) and now_s - max(heard) <= 2 * DEFAULT_STATUS_REFRESH_S

    def teams_known(self) -> set[TeamId]:
        """Return the teams that any member holds or wants permits of."""
        teams = set(self.holding.held) | self._to_show | set(self._shown)
        return teams.union(*self._statuses.values())

    def take_changed(self) -> set[TeamId]:
        """Return the teams whose division should be looked at again, and forget them."""
        changed, self._changed = self._changed, set()
        return changed

    def owed(self, team: TeamId, demand: int, now_s: float) -> dict[Member, int]:
        """Return how many permits of a team each peer should get from this member."""
        held = {self.me: self.holding.held[team]}
        demands = {self.me: demand}
        for peer, teams in self._statuses.items():
            status = teams.get(team, _NOTHING)
            held[peer] = status.held
            demands[peer] = status.demand
            if not self.holding.can_give_to(peer):
                # It may never get what is under way, so no more is set aside for it.
                demands[peer] = min(status.demand, status.held)
        if all(demands[key] <= held[key] for key in held):
            return {}
        ordered = dict(sorted(held.items()))
        senior = next((key for key in ordered if key.entry == COORDINATOR_ID), None)
        turn = int(now_s / DEFAULT_TURN_S)
        moves = plan_moves(ordered, demands, senior=senior, turn=turn)
        return {m.taker: m.permits for m in moves if m.giver == self.me}

    def give(self, permits: Mapping[Member, Counter[TeamId]], now_s: float) -> list[Envelope]:
        """Transfer permits to the peers that have no transfer under way."""
        envelopes: list[Envelope] = []
        for taker, teams in permits.items():
            if not self.holding.can_give_to(taker):
                continue
            envelopes.append(Envelope(taker, self.holding.give(taker, teams, now_s)))
            self._assume_taken(taker, teams)
        return envelopes

    def give_what_is_owed(self, kept: Mapping[TeamId, int], now_s: float) -> list[Envelope]:
        """Transfer what peers should get of the teams whose division has changed.

        Args:
            kept: Permits of each team that stay here whatever the peers want.
            now_s: Monotonic time.
        """
        given: defaultdict[Member, Counter[TeamId]] = defaultdict(Counter)
        for team in self.take_changed():
            stays = kept.get(team, 0)
            in_hand = max(0, self.holding.held[team] - stays)
            for member, owed in self.owed(team, stays, now_s).items():
                permits = min(owed, in_hand)
                if permits > 0 and self.holding.can_give_to(member):
                    given[member][team] += permits
                    in_hand -= permits
        return self.give(given, now_s)

    def _assume_taken(self, taker: Member, permits: Mapping[TeamId, int]) -> None:
        known = self._statuses.setdefault(taker, {})
        for team, count in permits.items():
            old = known.get(team, _NOTHING)
            known[team] = TeamStatus(old.held + count, old.demand)
            self.touch(team)

    def resend(self, now_s: float) -> list[Envelope]:
        """Return the transfers whose acknowledgement is overdue."""
        return [Envelope(t.taker, t) for t in self.holding.to_resend(now_s)]

    def drop_silent(self, now_s: float) -> None:
        """Forget the status of peers that were not heard for long."""
        silent = [p for p, heard_s in self._heard_s.items() if now_s - heard_s > _PEER_SILENT_S]
        for peer in silent:
            self._changed.update(self._statuses.pop(peer, {}))
            del self._heard_s[peer]

    def show(self, demand_of: Callable[[TeamId], int], now_s: float) -> list[Envelope]:
        """Return the status messages that are due.

        Args:
            demand_of: Returns how many of a team's permits this member could use.
            now_s: Monotonic time.
        """
        due_s = self._refreshed_s
        if due_s is None or now_s - due_s >= DEFAULT_STATUS_REFRESH_S:
            teams = {team: self._status(team, demand_of) for team in self.teams_known()}
            return self._send_status(teams, whole=True, now_s=now_s)
        if not self._to_show or now_s - self._shown_s < DEFAULT_STATUS_INTERVAL_S:
            return []
        teams = {team: self._status(team, demand_of) for team in sorted(self._to_show)}
        changed = {
            team: status
            for team, status in teams.items()
            if is_significant(self._shown.get(team, _NOTHING), status)
        }
        is_urgent = any(status.demand > status.held for status in changed.values())
        if not is_urgent and now_s - self._shown_s < DEFAULT_STATUS_CALM_INTERVAL_S:
            self._to_show = set(changed)
            return []
        self._to_show = set()
        return self._send_status(changed, whole=False, now_s=now_s) if changed else []

    def _status(self, team: TeamId, demand_of: Callable[[TeamId], int]) -> TeamStatus:
        return TeamStatus(self.holding.held[team], demand_of(team))

    def _send_status(
        self, teams: dict[TeamId, TeamStatus], *, whole: bool, now_s: float
    ) -> list[Envelope]:
        if whole:
            self._refreshed_s = now_s
            self._shown = {}
            self._to_show = set()
            teams = {team: status for team, status in teams.items() if status != _NOTHING}
        self._shown_s = now_s
        self._shown.update(teams)
        status = PermitStatus(self.me, self.epoch, teams, whole)
        return [Envelope(peer, status) for peer in self.peers if peer != self.me]

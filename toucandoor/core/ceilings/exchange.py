"""Exchange of permits by demand, directly between the members of one data centre."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.const import (
    COORDINATOR_ID,
    DEFAULT_ROTATION_PERIOD_S,
    DEFAULT_STATUS_IDLE_INTERVAL_S,
    DEFAULT_STATUS_INTERVAL_S,
    DEFAULT_STATUS_REFRESH_S,
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

_EMPTY_STATUS = TeamStatus(0, 0)
_PEER_TIMEOUT_S = 3 * DEFAULT_STATUS_REFRESH_S


def is_significant(old: TeamStatus, new: TeamStatus) -> bool:
    """Return whether a change of status may alter the division of the permits."""
    if old.held != new.held:
        return True
    if new.demand > new.held or old.demand > old.held:
        return old.demand != new.demand
    return abs(old.demand - new.demand) >= max(1, new.held // 4)


class PermitExchange:
    """Publishes this member's held permits and demand, and transfers permits to peers.

    Every member computes the same division from the same statuses and carries out the moves in
    which it is the giver. A stale status may send permits to the wrong member for a time, but
    never creates one.

    Attributes:
        holding: Permits of this member.
        peers: Members that receive this member's status.
    """

    def __init__(self, me: Member) -> None:
        self.holding = Holding(me)
        self.peers: list[Member] = []
        self._statuses: dict[Member, dict[TeamId, TeamStatus]] = {}
        self._last_status_s: dict[Member, float] = {}
        self._published: dict[TeamId, TeamStatus] = {}
        self._published_s = 0.0
        self._full_status_s: float | None = None
        self._changed: set[TeamId] = set()
        self._unpublished: set[TeamId] = set()

    @property
    def me(self) -> Member:
        """This member's identity."""
        return self.holding.me

    @property
    def epoch(self) -> Epoch:
        """Epoch in which this member's transfers are valid."""
        return self.holding.epoch

    def enter_epoch(self, epoch: Epoch) -> None:
        """Enter a later epoch and discard the peers' statuses."""
        self.holding.enter_epoch(epoch)
        self._clear_statuses()

    def reset(self, me: Member) -> None:
        """Drop all permits and start under a new identity."""
        self.holding.reset(me)
        self.peers = []
        self._clear_statuses()

    def _clear_statuses(self) -> None:
        self._statuses.clear()
        self._last_status_s.clear()
        self._full_status_s = None

    def mark_changed(self, team: TeamId) -> None:
        """Record that the team's held permits or demand here may have changed."""
        self._changed.add(team)
        self._unpublished.add(team)

    def on_status(self, status: PermitStatus, now_s: float) -> None:
        """Record a peer's held permits and demand; a status of another epoch is ignored."""
        if status.epoch != self.epoch:
            return
        if status.sender not in self.peers:
            self.peers.append(status.sender)
            self._full_status_s = None
        known = self._statuses.setdefault(status.sender, {})
        if status.whole:
            self._changed.update(known)
            known.clear()
        known.update(status.teams)
        self._last_status_s[status.sender] = now_s
        self._changed.update(status.teams)

    def on_transfer(self, transfer: PermitTransfer) -> list[Envelope]:
        """Add the permits of a transfer and return the acknowledgement."""
        ack = self.holding.receive(transfer)
        if ack is None:
            return []
        for team in transfer.permits:
            self.mark_changed(team)
        return [Envelope(transfer.giver, ack)]

    def on_ack(self, ack: PermitTransferAck) -> None:
        """Drop an acknowledged transfer; its taker may get another one."""
        self.holding.on_ack(ack)
        self._changed.update(self._statuses.get(ack.taker, {}))

    def demand_of_peers(self, team: TeamId) -> int:
        """Return how many of the team's permits the other members could use."""
        return sum(teams.get(team, _EMPTY_STATUS).demand for teams in self._statuses.values())

    def held_by_peers(self, team: TeamId) -> int:
        """Return how many of the team's permits the other members reported as held."""
        return sum(teams.get(team, _EMPTY_STATUS).held for teams in self._statuses.values())

    def return_target(self) -> Member | None:
        """Return the peer that gets the permits of a leaving member, None without a known peer.

        It is the coordinator, if its status is known.
        """
        senders = sorted(self._last_status_s)
        return next((m for m in senders if m.entry == COORDINATOR_ID), next(iter(senders), None))

    def has_recent_coordinator_status(self, now_s: float) -> bool:
        """Return whether a recent status of this epoch's coordinator is known."""
        received_s = [at_s for m, at_s in self._last_status_s.items() if m.entry == COORDINATOR_ID]
        return bool(received_s) and now_s - max(received_s) <= 2 * DEFAULT_STATUS_REFRESH_S

    def known_teams(self) -> set[TeamId]:
        """Return the teams for which any member has held permits or demand."""
        teams = set(self.holding.held) | self._unpublished | set(self._published)
        return teams.union(*self._statuses.values())

    def pop_changed(self) -> set[TeamId]:
        """Return and clear the teams whose division must be computed again."""
        changed, self._changed = self._changed, set()
        return changed

    def planned_transfers(self, team: TeamId, demand: int, now_s: float) -> dict[Member, int]:
        """Return how many of the team's permits each peer should get from this member.

        Args:
            demand: Permits that this member could use.
        """
        held = {self.me: self.holding.held[team]}
        demands = {self.me: demand}
        for peer, teams in self._statuses.items():
            status = teams.get(team, _EMPTY_STATUS)
            held[peer] = status.held
            demands[peer] = status.demand
            if not self.holding.can_transfer_to(peer):
                # The transfer under way may never arrive, so no more permits are planned for it.
                demands[peer] = min(status.demand, status.held)
        if all(demands[key] <= held[key] for key in held):
            return {}
        ordered = dict(sorted(held.items()))
        coordinator = next((key for key in ordered if key.entry == COORDINATOR_ID), None)
        turn = int(now_s / DEFAULT_ROTATION_PERIOD_S)
        moves = plan_moves(ordered, demands, first_served=coordinator, turn=turn)
        return {m.taker: m.permits for m in moves if m.giver == self.me}

    def transfer(self, permits: Mapping[Member, Counter[TeamId]], now_s: float) -> list[Envelope]:
        """Transfer permits to the peers that have no transfer under way."""
        envelopes: list[Envelope] = []
        for taker, teams in permits.items():
            if not self.holding.can_transfer_to(taker):
                continue
            envelopes.append(Envelope(taker, self.holding.start_transfer(taker, teams, now_s)))
            self._assume_received(taker, teams)
        return envelopes

    def transfer_surplus(self, kept: Mapping[TeamId, int], now_s: float) -> list[Envelope]:
        """Transfer permits of the teams whose division has changed to the peers due to get them.

        Args:
            kept: Permits of each team that stay here whatever the peers' demand.
            now_s: Monotonic time.
        """
        given: defaultdict[Member, Counter[TeamId]] = defaultdict(Counter)
        for team in self.pop_changed():
            kept_permits = kept.get(team, 0)
            surplus = max(0, self.holding.held[team] - kept_permits)
            for member, planned in self.planned_transfers(team, kept_permits, now_s).items():
                permits = min(planned, surplus)
                if permits > 0 and self.holding.can_transfer_to(member):
                    given[member][team] += permits
                    surplus -= permits
        return self.transfer(given, now_s)

    def _assume_received(self, taker: Member, permits: Mapping[TeamId, int]) -> None:
        known = self._statuses.setdefault(taker, {})
        for team, count in permits.items():
            old = known.get(team, _EMPTY_STATUS)
            known[team] = TeamStatus(old.held + count, old.demand)
            self.mark_changed(team)

    def due_resends(self, now_s: float) -> list[Envelope]:
        """Return messages that repeat the transfers whose acknowledgement is overdue."""
        return [Envelope(t.taker, t) for t in self.holding.due_resends(now_s)]

    def drop_silent_peers(self, now_s: float) -> None:
        """Discard the status of peers that have sent none within the time-out."""
        silent = [p for p, at_s in self._last_status_s.items() if now_s - at_s > _PEER_TIMEOUT_S]
        for peer in silent:
            self._changed.update(self._statuses.pop(peer, {}))
            del self._last_status_s[peer]

    def due_statuses(self, demand_of: Callable[[TeamId], int], now_s: float) -> list[Envelope]:
        """Return the status messages that are due.

        Args:
            demand_of: Returns how many of a team's permits this member could use.
            now_s: Monotonic time.
        """
        full_s = self._full_status_s
        if full_s is None or now_s - full_s >= DEFAULT_STATUS_REFRESH_S:
            teams = {team: self._status(team, demand_of) for team in self.known_teams()}
            return self._status_messages(teams, whole=True, now_s=now_s)
        if not self._unpublished or now_s - self._published_s < DEFAULT_STATUS_INTERVAL_S:
            return []
        teams = {team: self._status(team, demand_of) for team in sorted(self._unpublished)}
        changed = {
            team: status
            for team, status in teams.items()
            if is_significant(self._published.get(team, _EMPTY_STATUS), status)
        }
        is_urgent = any(status.demand > status.held for status in changed.values())
        if not is_urgent and now_s - self._published_s < DEFAULT_STATUS_IDLE_INTERVAL_S:
            self._unpublished = set(changed)
            return []
        self._unpublished = set()
        return self._status_messages(changed, whole=False, now_s=now_s) if changed else []

    def _status(self, team: TeamId, demand_of: Callable[[TeamId], int]) -> TeamStatus:
        return TeamStatus(self.holding.held[team], demand_of(team))

    def _status_messages(
        self, teams: dict[TeamId, TeamStatus], *, whole: bool, now_s: float
    ) -> list[Envelope]:
        if whole:
            self._full_status_s = now_s
            self._published = {}
            self._unpublished = set()
            teams = {team: status for team, status in teams.items() if status != _EMPTY_STATUS}
        self._published_s = now_s
        self._published.update(teams)
        status = PermitStatus(self.me, self.epoch, teams, whole)
        return [Envelope(peer, status) for peer in self.peers if peer != self.me]

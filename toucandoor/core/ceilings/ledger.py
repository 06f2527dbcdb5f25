"""Changes to the ledger, the stored account of every team's permits."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from toucandoor.core.ceilings.const import DEFAULT_FLOOR_RATIO
from toucandoor.core.ceilings.division import max_min_parts, plan_moves
from toucandoor.core.ceilings.exchange import is_significant
from toucandoor.core.ceilings.models import DataCentrePart, Ledger, Member, TeamStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from toucandoor.ids import ConfigVersion, DataCentreId, OperationId, TeamId

_NO_PART = DataCentrePart()


def encode_ledger(ledger: Ledger) -> str:
    """Return the ledger as the store's value."""
    return msgspec.json.encode(ledger).decode()


def decode_ledger(value: str) -> Ledger:
    """Return the ledger of a store's value.

    Raises:
        msgspec.MsgspecError: The value is not a ledger.
    """
    return msgspec.json.decode(value, type=Ledger)


def total_permits(ledger: Ledger, team: TeamId) -> int:
    """Return how many permits of the team exist; a lowered ceiling is in force at this number."""
    return sum(line.parts.get(team, 0) for line in ledger.data_centres.values())


def ceiling_in_force(ledger: Ledger, team: TeamId) -> int:
    """Return the most requests that may run: the ceiling, or more while permits are retired."""
    return max(ledger.ceilings.get(team, 0), total_permits(ledger, team))


@dataclass(slots=True)
class LedgerInput:
    """Local state of a coordinator that its change of the ledger depends on.

    Attributes:
        unassigned: Permits that the coordinator itself holds; it may give away or retire them.
        demand: Permits that the data centre could use.
        version: Newest configuration version known here.
        ceilings: Ceilings of that configuration.
        task_lease_s: Task lease of that configuration, in seconds.
        joined: Members to add to the data centre's line.
        ended: Members to remove from it, because they have ended.
        expired: Data centres whose permits may be reclaimed.
        turn: Rotates who gets permits that cannot be divided evenly.
    """

    unassigned: Mapping[TeamId, int]
    demand: Mapping[TeamId, int]
    version: ConfigVersion
    ceilings: Mapping[TeamId, int]
    task_lease_s: float = 0.0
    joined: frozenset[Member] = frozenset()
    ended: frozenset[Member] = frozenset()
    expired: frozenset[DataCentreId] = frozenset()
    turn: int = 0


@dataclass(slots=True)
class LedgerChange:
    """A new ledger and the permits that its writer gives up with it.

    Attributes:
        withdrawn: Permits that the writer no longer holds when it sends the write.
    """

    ledger: Ledger
    withdrawn: Counter[TeamId] = field(default_factory=Counter)


def raise_term(
    ledger: Ledger, me: DataCentreId, operation: OperationId, *, keeps_permits: bool = False
) -> Ledger:
    """Return the ledger with the data centre's term raised.

    Args:
        keeps_permits: Whether the line is marked as never to be reclaimed. The mark is never
            removed, because a coordinator of an earlier term may still rely on it.
    """
    line = ledger.data_centres.get(me, _NO_PART)
    line = msgspec.structs.replace(
        line,
        term=line.term + 1,
        operation=operation,
        keeps_permits=line.keeps_permits or keeps_permits or msgspec.UNSET,
    )
    return _with_line(ledger, me, line)


def outgoing_permits(ledger: Ledger, me: DataCentreId, team: TeamId, inputs: LedgerInput) -> int:
    """Return how many of the data centre's permits should be retired or given away."""
    excess = total_permits(ledger, team) - _ceiling(ledger, inputs, team)
    if excess > 0:
        return min(excess, ledger.data_centres.get(me, _NO_PART).parts.get(team, 0))
    return sum(_gifts_by_taker(ledger, me, team, inputs).values())


def outgoing_by_team(
    ledger: Ledger, me: DataCentreId, teams: Iterable[TeamId], inputs: LedgerInput
) -> dict[TeamId, int]:
    """Return `outgoing_permits` of some teams and of those with permits in the data centre."""
    teams = {*teams, *ledger.data_centres.get(me, _NO_PART).parts}
    return {team: outgoing_permits(ledger, me, team, inputs) for team in sorted(teams)}


def demands_with_min_part(
    ledger: Ledger,
    me: DataCentreId,
    ceilings: Mapping[TeamId, int],
    demand_of: Callable[[TeamId], int],
) -> dict[TeamId, int]:
    """Return a data centre's demand for each team, at least the part that it keeps without any."""
    data_centres = len({*ledger.data_centres, me})
    return {
        team: max(min_part(ceiling, data_centres), demand_of(team))
        for team, ceiling in ceilings.items()
    }


def min_part(ceiling: int, data_centres: int) -> int:
    """Return the permits that a data centre keeps without demand, to serve when it is cut off."""
    return int(ceiling * DEFAULT_FLOOR_RATIO / max(1, data_centres))


def plan_change(
    ledger: Ledger, me: DataCentreId, inputs: LedgerInput, operation: OperationId
) -> LedgerChange | None:
    """Return the change of the ledger that is due, None when there is none."""
    draft = _reclaim(_with_ceilings(ledger, inputs), inputs)
    change = LedgerChange(draft)
    for team in sorted(set(draft.ceilings) | _teams_with_permits(draft)):
        _plan_team(change, me, team, inputs)
    line = change.ledger.data_centres.get(me, _NO_PART)
    members = sorted((set(line.members) | inputs.joined) - inputs.ended)
    demand = _published_demand(line, inputs)
    line = msgspec.structs.replace(line, members=members, demand=demand)
    change.ledger = _with_line(change.ledger, me, line)
    if change.ledger == ledger:
        return None
    line = msgspec.structs.replace(line, operation=operation)
    change.ledger = _with_line(change.ledger, me, line)
    return change


def _with_line(ledger: Ledger, me: DataCentreId, line: DataCentrePart) -> Ledger:
    return msgspec.structs.replace(ledger, data_centres={**ledger.data_centres, me: line})


def _with_ceilings(ledger: Ledger, inputs: LedgerInput) -> Ledger:
    if inputs.version <= ledger.version:
        return ledger
    return msgspec.structs.replace(
        ledger,
        version=inputs.version,
        ceilings=dict(inputs.ceilings),
        task_lease_s=max(ledger.task_lease_s, inputs.task_lease_s),
    )


def _ceiling(ledger: Ledger, inputs: LedgerInput, team: TeamId) -> int:
    ceilings = inputs.ceilings if inputs.version > ledger.version else ledger.ceilings
    return ceilings.get(team, 0)


def _reclaim(ledger: Ledger, inputs: LedgerInput) -> Ledger:
    for data_centre in inputs.expired:
        line = ledger.data_centres.get(data_centre)
        if line is not None and not line.keeps_permits and (line.parts or line.members):
            empty = DataCentrePart(term=line.term + 1)
            ledger = _with_line(ledger, data_centre, empty)
    return ledger


def _teams_with_permits(ledger: Ledger) -> set[TeamId]:
    return {team for line in ledger.data_centres.values() for team in line.parts}


def _demands(
    ledger: Ledger, me: DataCentreId, team: TeamId, inputs: LedgerInput
) -> dict[DataCentreId, int]:
    demands = {dc: line.demand.get(team, 0) for dc, line in ledger.data_centres.items()}
    return demands | {me: inputs.demand.get(team, 0)}


def _gifts_by_taker(
    ledger: Ledger, me: DataCentreId, team: TeamId, inputs: LedgerInput
) -> dict[DataCentreId, int]:
    """Return how many of the team's permits this data centre should give each other one."""
    held = {dc: line.parts.get(team, 0) for dc, line in sorted(ledger.data_centres.items())}
    demands = _demands(ledger, me, team, inputs)
    if not any(demands[dc] > held[dc] for dc in held if dc != me):
        return {}
    unclaimed = max(0, _ceiling(ledger, inputs, team) - sum(held.values()))
    moves = plan_moves(held, demands, unclaimed=unclaimed, turn=inputs.turn)
    return {m.taker: m.permits for m in moves if m.giver == me}


def _claimable(ledger: Ledger, me: DataCentreId, team: TeamId, inputs: LedgerInput) -> int:
    """Return how many unclaimed permits this data centre may claim."""
    ceiling = _ceiling(ledger, inputs, team)
    unclaimed = ceiling - total_permits(ledger, team)
    if unclaimed <= 0:
        return 0
    target = max_min_parts(ceiling, _demands(ledger, me, team, inputs), inputs.turn)[me]
    part = ledger.data_centres.get(me, _NO_PART).parts.get(team, 0)
    return max(0, min(unclaimed, target - part))


def _plan_team(change: LedgerChange, me: DataCentreId, team: TeamId, inputs: LedgerInput) -> None:
    ledger = change.ledger
    in_hand = inputs.unassigned.get(team, 0)
    excess = total_permits(ledger, team) - _ceiling(ledger, inputs, team)
    if excess > 0:
        retired = min(excess, in_hand)
        _add(change, me, team, -retired)
        change.withdrawn[team] += retired
        return
    _add(change, me, team, _claimable(ledger, me, team, inputs))
    for taker, wanted in _gifts_by_taker(ledger, me, team, inputs).items():
        permits = min(wanted, in_hand)
        in_hand -= permits
        _add(change, taker, team, permits)
        _add(change, me, team, -permits)
        change.withdrawn[team] += permits


def _add(change: LedgerChange, data_centre: DataCentreId, team: TeamId, permits: int) -> None:
    if permits == 0:
        return
    line = change.ledger.data_centres.get(data_centre, _NO_PART)
    parts = {**line.parts, team: line.parts.get(team, 0) + permits}
    if parts[team] == 0:
        del parts[team]
    line = msgspec.structs.replace(line, parts=parts)
    change.ledger = _with_line(change.ledger, data_centre, line)


def _published_demand(line: DataCentrePart, inputs: LedgerInput) -> dict[TeamId, int]:
    published = dict(line.demand)
    for team in set(published) | set(inputs.demand):
        part = line.parts.get(team, 0)
        old = TeamStatus(part, published.get(team, 0))
        new = TeamStatus(part, inputs.demand.get(team, 0))
        if is_significant(old, new):
            published[team] = new.demand
    return {team: demand for team, demand in published.items() if demand > 0}

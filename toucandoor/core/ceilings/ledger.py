"""Changes to the ledger, the store's record of where every team's permits are."""

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
    from collections.abc import Mapping

    from toucandoor.ids import ConfigVersion, DataCentreId, OperationId, TeamId

_NO_PART = DataCentrePart()


def encode_ledger(ledger: Ledger) -> str:
    """Return the ledger as the store's value."""
    return msgspec.json.encode(ledger).decode()


def decode_ledger(value: str) -> Ledger:
    """Return the ledger of a store's value.

    Raises:
        msgspec.ValidationError: The value is not a ledger.
    """
    return msgspec.json.decode(value, type=Ledger)


def total(ledger: Ledger, team: TeamId) -> int:
    """Return how many permits of a team exist: the ceiling in force while it comes down."""
    return sum(line.parts.get(team, 0) for line in ledger.data_centres.values())


def ceiling_in_force(ledger: Ledger, team: TeamId) -> int:
    """Return the most that may run: the ceiling, or the permits not yet retired after a cut."""
    return max(ledger.ceilings.get(team, 0), total(ledger, team))


@dataclass(slots=True)
class LocalView:
    """What a coordinator brings to the ledger.

    Attributes:
        pool: Permits in hand, which may be given away or retired.
        demand: Permits that the data centre could use.
        ceilings: Ceilings of the newest configuration known here.
        left: Members that hold nothing any more.
        gone: Data centres whose permits are free again.
    """

    pool: Mapping[TeamId, int]
    demand: Mapping[TeamId, int]
    version: ConfigVersion
    ceilings: Mapping[TeamId, int]
    task_lease_s: float = 0.0
    joined: frozenset[Member] = frozenset()
    left: frozenset[Member] = frozenset()
    gone: frozenset[DataCentreId] = frozenset()
    turn: int = 0


@dataclass(slots=True)
class LedgerChange:
    """A new ledger and what its writer gives up with it.

    Attributes:
        withdrawn: Permits that leave the writer's pool before the write is sent.
    """

    ledger: Ledger
    withdrawn: Counter[TeamId] = field(default_factory=Counter)


def take_office(ledger: Ledger, me: DataCentreId, operation: OperationId) -> Ledger:
    """Return the ledger with the data centre's term raised."""
    line = ledger.data_centres.get(me, _NO_PART)
    return _with_line(
        ledger, me, msgspec.structs.replace(line, term=line.term + 1, operation=operation)
    )


def wanted_elsewhere(ledger: Ledger, me: DataCentreId, team: TeamId, view: LocalView) -> int:
    """Return how many of the data centre's permits should be retired or given away."""
    excess = total(ledger, team) - _ceiling(ledger, view, team)
    if excess > 0:
        return min(excess, ledger.data_centres.get(me, _NO_PART).parts.get(team, 0))
    return sum(_gifts(ledger, me, team, view).values())


def floor_of(ceiling: int, data_centres: int) -> int:
    """Return the permits that a data centre keeps without demand, to serve with when cut off."""
    return int(ceiling * DEFAULT_FLOOR_RATIO / max(1, data_centres))


def plan_change(
    ledger: Ledger, me: DataCentreId, view: LocalView, operation: OperationId
) -> LedgerChange | None:
    """Return the change that is due, None when there is none."""
    draft = _reclaim(_with_ceilings(ledger, view), view)
    change = LedgerChange(draft)
    for team in sorted(set(draft.ceilings) | _teams_held(draft)):
        _change_team(change, me, team, view)
    line = change.ledger.data_centres.get(me, _NO_PART)
    members = sorted((set(line.members) | view.joined) - view.left)
    demand = _demand_to_show(line, view)
    line = msgspec.structs.replace(line, members=members, demand=demand)
    change.ledger = _with_line(change.ledger, me, line)
    if change.ledger == ledger:
        return None
    line = msgspec.structs.replace(line, operation=operation)
    change.ledger = _with_line(change.ledger, me, line)
    return change


def _with_line(ledger: Ledger, me: DataCentreId, line: DataCentrePart) -> Ledger:
    return msgspec.structs.replace(ledger, data_centres={**ledger.data_centres, me: line})


def _with_ceilings(ledger: Ledger, view: LocalView) -> Ledger:
    if view.version <= ledger.version:
        return ledger
    return msgspec.structs.replace(
        ledger,
        version=view.version,
        ceilings=dict(view.ceilings),
        task_lease_s=max(ledger.task_lease_s, view.task_lease_s),
    )


def _ceiling(ledger: Ledger, view: LocalView, team: TeamId) -> int:
    ceilings = view.ceilings if view.version > ledger.version else ledger.ceilings
    return ceilings.get(team, 0)


def _reclaim(ledger: Ledger, view: LocalView) -> Ledger:
    for data_centre in view.gone:
        line = ledger.data_centres.get(data_centre)
        if line is not None and (line.parts or line.members):
            empty = DataCentrePart(term=line.term + 1)
            ledger = _with_line(ledger, data_centre, empty)
    return ledger


def _teams_held(ledger: Ledger) -> set[TeamId]:
    return {team for line in ledger.data_centres.values() for team in line.parts}


def _demands(
    ledger: Ledger, me: DataCentreId, team: TeamId, view: LocalView
) -> dict[DataCentreId, int]:
    demands = {dc: line.demand.get(team, 0) for dc, line in ledger.data_centres.items()}
    return demands | {me: view.demand.get(team, 0)}


def _gifts(
    ledger: Ledger, me: DataCentreId, team: TeamId, view: LocalView
) -> dict[DataCentreId, int]:
    """Return what this data centre should give each other one."""
    held = {dc: line.parts.get(team, 0) for dc, line in sorted(ledger.data_centres.items())}
    demands = _demands(ledger, me, team, view)
    if not any(demands[dc] > held[dc] for dc in held if dc != me):
        return {}
    unclaimed = max(0, _ceiling(ledger, view, team) - sum(held.values()))
    moves = plan_moves(held, demands, spare=unclaimed, turn=view.turn)
    return {m.taker: m.permits for m in moves if m.giver == me}


def _claim(ledger: Ledger, me: DataCentreId, team: TeamId, view: LocalView) -> int:
    """Return how many unclaimed permits this data centre should take."""
    ceiling = _ceiling(ledger, view, team)
    unclaimed = ceiling - total(ledger, team)
    if unclaimed <= 0:
        return 0
    target = max_min_parts(ceiling, _demands(ledger, me, team, view), view.turn)[me]
    part = ledger.data_centres.get(me, _NO_PART).parts.get(team, 0)
    return max(0, min(unclaimed, target - part))


def _change_team(change: LedgerChange, me: DataCentreId, team: TeamId, view: LocalView) -> None:
    ledger = change.ledger
    in_hand = view.pool.get(team, 0)
    excess = total(ledger, team) - _ceiling(ledger, view, team)
    if excess > 0:
        retired = min(excess, in_hand)
        _add(change, me, team, -retired)
        change.withdrawn[team] += retired
        return
    _add(change, me, team, _claim(ledger, me, team, view))
    for taker, wanted in _gifts(ledger, me, team, view).items():
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


def _demand_to_show(line: DataCentrePart, view: LocalView) -> dict[TeamId, int]:
    shown = dict(line.demand)
    for team in set(shown) | set(view.demand):
        part = line.parts.get(team, 0)
        old = TeamStatus(part, shown.get(team, 0))
        new = TeamStatus(part, view.demand.get(team, 0))
        if is_significant(old, new):
            shown[team] = new.demand
    return {team: demand for team, demand in shown.items() if demand > 0}

"""Division of permits among those who want them: max-min fair, in whole permits."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Move(Generic[KeyT]):
    """Permits that should pass from one holder to another."""

    giver: KeyT
    taker: KeyT
    permits: int


def max_min_parts(total: int, demands: Mapping[KeyT, int], turn: int = 0) -> dict[KeyT, int]:
    """Return each holder's fair part: small demands in full, the large ones level.

    Args:
        total: Permits to divide.
        demands: Permits each could use; the order decides who gets an odd one.
        turn: Rotates the order, so that an odd permit goes round.
    """
    parts = dict.fromkeys(demands, 0)
    open_keys = [key for key, demand in demands.items() if demand > 0]
    left = total
    while open_keys and left > 0:
        level = left // len(open_keys)
        if level == 0:
            start = turn % len(open_keys)
            for key in (open_keys[start:] + open_keys[:start])[:left]:
                parts[key] += 1
            break
        for key in open_keys:
            added = min(level, demands[key] - parts[key])
            parts[key] += added
            left -= added
        open_keys = [key for key in open_keys if parts[key] < demands[key]]
    return parts


def plan_moves(
    held: Mapping[KeyT, int],
    demands: Mapping[KeyT, int],
    *,
    senior: KeyT | None = None,
    spare: int = 0,
    turn: int = 0,
) -> list[Move[KeyT]]:
    """Return the moves that bring every holder its fair part, in the order of the keys.

    Args:
        held: Permits each holds.
        demands: Permits each could use.
        senior: Holder whose demand is met before all others.
        spare: Permits that nobody holds and anybody may claim; they are not moved.
        turn: Rotates who gets an odd permit.
    """
    total = sum(held.values()) + spare
    targets: dict[KeyT, int] = {}
    if senior is not None:
        targets[senior] = min(demands.get(senior, 0), total)
    others = {key: demands.get(key, 0) for key in held if key != senior}
    targets |= max_min_parts(total - sum(targets.values()), others, turn)
    short = [(key, targets[key] - held[key]) for key in held if targets[key] > held[key]]
    over = [(key, held[key] - targets[key]) for key in held if held[key] > targets[key]]
    return _match(over, short)


def _match(over: list[tuple[KeyT, int]], short: list[tuple[KeyT, int]]) -> list[Move[KeyT]]:
    moves: list[Move[KeyT]] = []
    givers = iter(over)
    giver, left = next(givers, (None, 0))
    for taker, wanted in short:
        while wanted > 0 and giver is not None:
            permits = min(left, wanted)
            moves.append(Move(giver, taker, permits))
            wanted -= permits
            left -= permits
            if left == 0:
                giver, left = next(givers, (None, 0))
    return moves

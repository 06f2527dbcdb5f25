"""Max-min fair division of whole permits among holders with a demand."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Move(Generic[KeyT]):
    """Permits that should be transferred from one holder to another."""

    giver: KeyT
    taker: KeyT
    permits: int


def max_min_parts(total: int, demands: Mapping[KeyT, int], turn: int = 0) -> dict[KeyT, int]:
    """Return each holder's max-min fair part: small demands are met, the others get equal parts.

    Args:
        total: Permits to divide.
        demands: Permits each holder could use; permits that cannot be divided evenly go to the
            first holders in this order.
        turn: Rotates that order, so that the holders take turns.
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
    first_served: KeyT | None = None,
    unclaimed: int = 0,
    turn: int = 0,
) -> list[Move[KeyT]]:
    """Return the moves that bring every holder its fair part, in the order of the keys.

    Args:
        held: Permits each holder has.
        demands: Permits each holder could use.
        first_served: Holder whose demand is met before all others.
        unclaimed: Permits that nobody holds and any holder may claim; they are divided, not moved.
        turn: Rotates who gets permits that cannot be divided evenly.
    """
    total = sum(held.values()) + unclaimed
    targets: dict[KeyT, int] = {}
    if first_served is not None:
        targets[first_served] = min(demands.get(first_served, 0), total)
    others = {key: demands.get(key, 0) for key in held if key != first_served}
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

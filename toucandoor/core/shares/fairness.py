"""Each team's due part of a service that was full."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import TeamId


def due_service(
    total: float, demand: Mapping[TeamId, float], weights: Mapping[TeamId, float]
) -> dict[TeamId, float]:
    """Divide a service by weight; what a team does not ask for goes to the others.

    Args:
        total: Service given to all teams.
        demand: Service each team asked for, in the same unit.
        weights: Weight of each team.
    """
    due = dict.fromkeys(demand, 0.0)
    left = min(total, sum(demand.values()))
    hungry = {team for team in demand if demand[team] > 0}
    while hungry and left > 1e-9:
        level = left / sum(weights[team] for team in hungry)
        sated = {team for team in hungry if demand[team] - due[team] <= level * weights[team]}
        for team in sated or hungry:
            given = min(demand[team] - due[team], level * weights[team])
            due[team] += given
            left -= given
        if not sated:
            break
        hungry -= sated
    return due


def misplaced_ratio(
    service: Mapping[TeamId, float],
    demand: Mapping[TeamId, float],
    weights: Mapping[TeamId, float],
) -> float:
    """Return the part of a service that went to another team than it was due to."""
    total = sum(service.values())
    if total <= 0:
        return 0.0
    due = due_service(total, demand, weights)
    return sum(abs(service.get(team, 0.0) - due[team]) for team in due) / (2 * total)

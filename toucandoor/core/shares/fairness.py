"""Fair division of a full service by weight, and the deviation of the actual one from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import TeamId


def due_service(
    total: float, demand: Mapping[TeamId, float], weights: Mapping[TeamId, float]
) -> dict[TeamId, float]:
    """Divide a service by weight; what exceeds a team's demand goes to the others.

    Args:
        total: Service given to all teams.
        demand: Demand of each team, in the same unit.
        weights: Weight of each team.

    Returns:
        Service due to each team.
    """
    due = dict.fromkeys(demand, 0.0)
    left = min(total, sum(demand.values()))
    unmet = {team for team in demand if demand[team] > 0}
    while unmet and left > 1e-9:
        level = left / sum(weights[team] for team in unmet)
        met = {team for team in unmet if demand[team] - due[team] <= level * weights[team]}
        for team in met or unmet:
            given = min(demand[team] - due[team], level * weights[team])
            due[team] += given
            left -= given
        if not met:
            break
        unmet -= met
    return due


def misplaced_ratio(
    service: Mapping[TeamId, float],
    demand: Mapping[TeamId, float],
    weights: Mapping[TeamId, float],
) -> float:
    """Return the part of the service, 0 to 1, that went to teams it was not due to."""
    total = sum(service.values())
    if total <= 0:
        return 0.0
    due = due_service(total, demand, weights)
    return sum(abs(service.get(team, 0.0) - due[team]) for team in due) / (2 * total)

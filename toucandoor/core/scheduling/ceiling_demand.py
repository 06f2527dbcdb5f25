"""Demand of teams with a ceiling, of which only the part that can run counts for the pools."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.ids import TeamId


@dataclass(slots=True)
class _TeamDemand:
    """Demand of one team in all pools.

    Attributes:
        ceiling: Most that the team may have running; 0 in a field for no limit.
        running: What its tasks use that still run after the lead time.
        waiting: What its tasks need that could run now.
        arriving: What its jobs need each second at their present rate.
        arriving_later: What jobs that arrive during the lead time need at its end.
    """

    ceiling: Resources
    running: Resources
    waiting: Resources = NO_RESOURCES
    arriving: Resources = NO_RESOURCES
    arriving_later: Resources = NO_RESOURCES


class CeilingDemand:
    """Tells which part of a team's demand fits under its ceiling at the end of a lead time.

    Running tasks come first, then waiting ones, then arrivals. A ceiling applies to all pools
    together, so each pool's part of the waiting tasks and of the arrivals is reduced by the same
    ratio.

    Args:
        ceiling_of: Returns the ceiling of a team; None if it has none.
        used_by: Returns what the present runs of a team use.
    """

    def __init__(
        self,
        ceiling_of: Callable[[TeamId], Resources | None],
        used_by: Callable[[TeamId], Resources],
    ) -> None:
        self._ceiling_of = ceiling_of
        self._used_by = used_by
        self._teams: dict[TeamId, _TeamDemand | None] = {}

    def _team(self, team_id: TeamId) -> _TeamDemand | None:
        if team_id not in self._teams:
            ceiling = self._ceiling_of(team_id)
            self._teams[team_id] = (
                None if ceiling is None else _TeamDemand(ceiling, self._used_by(team_id))
            )
        return self._teams[team_id]

    def add_ending(self, team_id: TeamId, needs: Resources) -> None:
        """Add a run that ends within the lead time, so that its room is free then."""
        team = self._team(team_id)
        if team is not None:
            team.running = team.running - needs

    def add_waiting(self, team_id: TeamId, needs: Resources) -> None:
        """Add what waiting tasks need."""
        team = self._team(team_id)
        if team is not None:
            team.waiting = team.waiting + needs

    def add_arriving(self, team_id: TeamId, needs: Resources, needs_later: Resources) -> None:
        """Add what arriving jobs need.

        Args:
            team_id: Team of the jobs.
            needs: Need of the jobs each second at their present rate.
            needs_later: Need, at the end of the lead time, of those that arrive during it.
        """
        team = self._team(team_id)
        if team is not None:
            team.arriving = team.arriving + needs
            team.arriving_later = team.arriving_later + needs_later

    def waiting_ratios(self) -> dict[TeamId, float]:
        """Return the part of the waiting tasks that can run, of each team with a ceiling."""
        return {
            team_id: _part(team.waiting, team.ceiling, team.running)
            for team_id, team in self._teams.items()
            if team is not None
        }

    def arriving_ratios(self) -> dict[TeamId, tuple[float, float]]:
        """Return the parts of arrivals that can run, of each team with a ceiling.

        The first is that of the jobs' need each second, by the ceiling alone; the second is that of
        their need at the end of the lead time, beside the team's other tasks.
        """
        ratios: dict[TeamId, tuple[float, float]] = {}
        for team_id, waiting_ratio in self.waiting_ratios().items():
            team = self._teams[team_id]
            if team is not None:
                taken = team.running + team.waiting.times(waiting_ratio)
                ratios[team_id] = (
                    _part(team.arriving, team.ceiling, NO_RESOURCES),
                    _part(team.arriving_later, team.ceiling, taken),
                )
        return ratios


def _part(wanted: Resources, ceiling: Resources, taken: Resources) -> float:
    """Return the part of a demand that fits under a ceiling beside what is taken, 0 to 1."""
    return min(
        min(1.0, max(0.0, (limit - used) / want)) if limit and want else 1.0
        for want, limit, used in zip(
            (wanted.cpu_millicores, wanted.memory_mb, wanted.gpus),
            (ceiling.cpu_millicores, ceiling.memory_mb, ceiling.gpus),
            (taken.cpu_millicores, taken.memory_mb, taken.gpus),
            strict=True,
        )
    )

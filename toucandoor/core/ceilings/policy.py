"""Permit policies, which decide whether one more request of a team may run at this entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import AttemptId, TeamId


class PermitPolicy(ABC):
    """Holds this entry's part of each team's ceiling."""

    @abstractmethod
    def can_acquire(self, team: TeamId, now_s: float) -> bool:
        """Return whether a permit of the team is free here."""

    @abstractmethod
    def acquire(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Spend a permit on an attempt before its first byte is sent.

        Returns:
            False when no permit is free.
        """

    @abstractmethod
    def release(self, attempt_id: AttemptId, now_s: float) -> None:
        """Free the permit of an attempt whose task has certainly ended."""

    def may_renew(self, attempt_id: AttemptId, now_s: float) -> bool:
        """Return whether the task lease of a running attempt may be renewed."""
        return True

    @abstractmethod
    def set_waiting(self, team: TeamId, waiting: int, now_s: float) -> None:
        """Set how many requests of the team wait for a permit here."""


class StaticPermits(PermitPolicy):
    """Baseline policy: each entry has a fixed part of each ceiling."""

    def __init__(self, parts: Mapping[TeamId, int]) -> None:
        self._parts = dict(parts)
        self._running: Counter[TeamId] = Counter()
        self._team_of: dict[AttemptId, TeamId] = {}

    def set_parts(self, parts: Mapping[TeamId, int]) -> None:
        """Replace the parts after a change of configuration."""
        self._parts = dict(parts)

    def can_acquire(self, team: TeamId, now_s: float) -> bool:
        """Return whether the team runs fewer attempts here than its fixed part."""
        return self._running[team] < self._parts.get(team, 0)

    def acquire(self, team: TeamId, attempt_id: AttemptId, now_s: float) -> bool:
        """Count an attempt against the team's part; return False when that is used up."""
        if not self.can_acquire(team, now_s):
            return False
        self._team_of[attempt_id] = team
        self._running[team] += 1
        return True

    def release(self, attempt_id: AttemptId, now_s: float) -> None:
        """Free the attempt's permit; a second call changes nothing."""
        team = self._team_of.pop(attempt_id, None)
        if team is not None:
            self._running[team] -= 1

    def set_waiting(self, team: TeamId, waiting: int, now_s: float) -> None:
        """Ignore the demand, because the parts are fixed."""

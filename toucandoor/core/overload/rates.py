"""Interface to the rate status of jobs and teams, and the baseline without rates."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from toucandoor.core.overload.models import RateStatus

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress
    from toucandoor.ids import TeamId


class RateStatuses(ABC):
    """Tells which jobs and teams are beyond the rate to which their team is entitled."""

    @abstractmethod
    def of_job(self, job: JobProgress) -> RateStatus:
        """Return whether a job was within its team's rate when it was accepted."""

    @abstractmethod
    def teams_beyond(self, now_s: float) -> frozenset[TeamId]:
        """Return the teams whose next job would be beyond their rate."""


class AllWithin(RateStatuses):
    """Baseline: every job is within its team's rate."""

    def of_job(self, job: JobProgress) -> RateStatus:
        """Return `RateStatus.WITHIN`."""
        return RateStatus.WITHIN

    def teams_beyond(self, now_s: float) -> frozenset[TeamId]:
        """Return no team."""
        return frozenset()

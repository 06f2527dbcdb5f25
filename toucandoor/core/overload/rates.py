"""Interface to the rate status of jobs and teams, and the baseline without rates."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from toucandoor.core.overload.models import RateStatus

if TYPE_CHECKING:
    from toucandoor.clock import Clock
    from toucandoor.core.fair_order.rates import RateStatusTracker
    from toucandoor.core.scheduling.progress import JobProgress
    from toucandoor.ids import TeamId

MS_PER_S: Final = 1000


class RateStatuses(ABC):
    """Tells which jobs and teams are beyond the rate to which their team is entitled."""

    @abstractmethod
    def of_job(self, job: JobProgress) -> RateStatus:
        """Return whether a job was within its team's rate when it was accepted."""

    @abstractmethod
    def teams_beyond(self, now_s: float) -> frozenset[TeamId]:
        """Return the teams whose next job would be beyond their rate."""


class TrackedRates(RateStatuses):
    """Rate status by the token buckets of the schedule's owner.

    Args:
        tracker: Decides the rate status of each job once.
        clock: Source of wall-clock time, by which jobs are accepted.
    """

    def __init__(self, tracker: RateStatusTracker, clock: Clock) -> None:
        self._tracker = tracker
        self._clock = clock

    def of_job(self, job: JobProgress) -> RateStatus:
        """Return whether a job was within its team's rate when it was accepted."""
        return self._tracker.status(job.spec.job_id, self._now_unix_ms())

    def teams_beyond(self, now_s: float) -> frozenset[TeamId]:
        """Return the teams whose next job would be beyond their rate."""
        return frozenset(self._tracker.teams_beyond(self._now_unix_ms()))

    def _now_unix_ms(self) -> float:
        return self._clock.now().timestamp() * MS_PER_S


class AllWithin(RateStatuses):
    """Baseline: every job is within its team's rate."""

    def of_job(self, job: JobProgress) -> RateStatus:
        """Return `RateStatus.WITHIN`."""
        return RateStatus.WITHIN

    def teams_beyond(self, now_s: float) -> frozenset[TeamId]:
        """Return no team."""
        return frozenset()

"""Rate status of jobs: whether each is within or beyond the rate to which its team is entitled."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from toucandoor.core.fair_order.const import BURST_JOBS_MIN, BURST_S, JOBS_PER_S_MAX
from toucandoor.core.overload.models import RateStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.ids import JobId, TeamId

_LOGGER = logging.getLogger(__name__)

_MS_PER_S: Final = 1000.0


def valid_rates(configuration: JobConfiguration) -> dict[TeamId, float]:
    """Return the rate of each team with a valid weight, in jobs per second."""
    return {
        name: team.jobs_per_s
        for name, team in configuration.teams.items()
        if _is_valid(team.jobs_per_s)
    }


def _is_valid(jobs_per_s: float) -> bool:
    return math.isfinite(jobs_per_s) and 0.0 < jobs_per_s <= JOBS_PER_S_MAX


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one team, in jobs.

    Attributes:
        jobs_per_s: Tokens added a second.
        tokens: Tokens at the time `at_unix_ms`.
        at_unix_ms: Acceptance time of the latest job; 0 before the first one.
        last_beyond_unix_ms: Acceptance time of the latest job beyond the rate; 0 for none.
        open_jobs: Number of the team's open jobs.
        within: Jobs within the rate so far.
        beyond: Jobs beyond the rate so far.
    """

    jobs_per_s: float
    tokens: float = 0.0
    at_unix_ms: float = 0.0
    last_beyond_unix_ms: float = 0.0
    open_jobs: int = 0
    within: int = 0
    beyond: int = 0

    @property
    def capacity(self) -> float:
        """Most tokens that it holds."""
        return max(BURST_JOBS_MIN, BURST_S * self.jobs_per_s)

    def tokens_at(self, unix_ms: float) -> float:
        """Return the tokens at a time."""
        passed_s = max(0.0, unix_ms - self.at_unix_ms) / _MS_PER_S
        return min(self.capacity, self.tokens + passed_s * self.jobs_per_s)

    def take(self, accepted_unix_ms: float) -> RateStatus:
        """Take a token for a job if there is one."""
        self.tokens = self.tokens_at(accepted_unix_ms)
        self.at_unix_ms = max(self.at_unix_ms, accepted_unix_ms)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self.within += 1
            return RateStatus.WITHIN
        self.beyond += 1
        self.last_beyond_unix_ms = self.at_unix_ms
        return RateStatus.BEYOND

    def is_beyond(self, now_unix_ms: float) -> bool:
        """Return whether a job accepted now would be beyond the rate, as others just were."""
        refill_ms = self.capacity / self.jobs_per_s * _MS_PER_S
        if not self.last_beyond_unix_ms or now_unix_ms - self.last_beyond_unix_ms >= refill_ms:
            return False
        return self.tokens_at(now_unix_ms) < 1.0


class RateStatusTracker:
    """Decides once for each job whether it is within its team's rate, by a token bucket per team.

    Buckets follow the acceptance times of jobs. Jobs are decided in batches, each in the order of
    acceptance: a new owner reads the open jobs in the order of their ids. Jobs of teams without a
    valid rate are always within it. Clocks of the accepting nodes differ by milliseconds, so the
    order is approximate; a job that was accepted before one of an earlier batch adds no tokens.

    Args:
        started_unix_ms: When this owner's term began, by its wall clock.
    """

    def __init__(self, started_unix_ms: float) -> None:
        self._started_unix_ms = started_unix_ms
        self._buckets: dict[TeamId, _Bucket] = {}
        self._configured: frozenset[TeamId] = frozenset()
        self._statuses: dict[JobId, RateStatus] = {}
        self._teams: dict[JobId, TeamId] = {}
        self._undecided: dict[JobId, float] = {}
        self._reported: dict[TeamId, float] = {}
        self._rebuilt = False

    @property
    def invalid_weights(self) -> int:
        """Number of teams of the configuration in force whose weight is ignored."""
        return len(self._reported)

    def set_configuration(self, configuration: JobConfiguration, now_unix_ms: float) -> None:
        """Apply the rates of a configuration.

        A team that has been removed, or whose new weight is invalid, keeps its rate until its open
        jobs have ended.

        Args:
            configuration: The configuration.
            now_unix_ms: The wall-clock time.
        """
        self._decide(now_unix_ms)
        rates = valid_rates(configuration)
        self._report_invalid(configuration, rates)
        self._configured = frozenset(rates)
        for team, jobs_per_s in rates.items():
            bucket = self._buckets.get(team)
            if bucket is None:
                bucket = self._buckets[team] = _Bucket(jobs_per_s)
                bucket.tokens = bucket.capacity
                bucket.open_jobs = sum(each == team for each in self._teams.values())
            elif bucket.jobs_per_s != jobs_per_s:
                bucket.tokens = bucket.tokens_at(now_unix_ms)
                bucket.at_unix_ms = max(bucket.at_unix_ms, now_unix_ms)
                bucket.jobs_per_s = jobs_per_s
                bucket.tokens = min(bucket.tokens, bucket.capacity)
        for team in [each for each in self._buckets if each not in rates]:
            self._drop_if_unused(team)

    def _report_invalid(
        self, configuration: JobConfiguration, rates: Mapping[TeamId, float]
    ) -> None:
        invalid = {
            name: team.jobs_per_s for name, team in configuration.teams.items() if name not in rates
        }
        for team, weight in invalid.items():
            known = self._reported.get(team)
            # Without any weight the order is not by teams, and a missing one says nothing.
            expected = bool(rates) or weight != 0.0
            if expected and (known is None or (known != weight and not math.isnan(weight))):
                _LOGGER.warning(
                    "order: the weight of team %s is missing or invalid and is ignored",
                    team,
                    extra={"team": team, "weight": weight},
                )
        self._reported = invalid

    def add_job(self, job_id: JobId, team: TeamId, accepted_unix_ms: float) -> None:
        """Add a job; its status is decided at the next query. A second call changes nothing."""
        if job_id in self._teams:
            return
        self._teams[job_id] = team
        self._undecided[job_id] = accepted_unix_ms
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.open_jobs += 1

    def remove_job(self, job_id: JobId, now_unix_ms: float) -> None:
        """Remove a job that has ended; it stays counted in its team's bucket."""
        self._decide(now_unix_ms)
        team = self._teams.pop(job_id, None)
        self._statuses.pop(job_id, None)
        bucket = self._buckets.get(team) if team is not None else None
        if team is not None and bucket is not None:
            bucket.open_jobs -= 1
            if team not in self._configured:
                self._drop_if_unused(team)

    def clear(self) -> None:
        """Forget all jobs, as no team has a weight any more."""
        self._teams.clear()
        self._statuses.clear()
        self._undecided.clear()
        self._buckets.clear()

    def status(self, job_id: JobId, now_unix_ms: float) -> RateStatus:
        """Return whether a job is within its team's rate; unknown jobs are."""
        self._decide(now_unix_ms)
        return self._statuses.get(job_id, RateStatus.WITHIN)

    def teams_beyond(self, now_unix_ms: float) -> tuple[TeamId, ...]:
        """Return the teams that are beyond their rate now, ordered by name.

        These are teams of which a job accepted now would be beyond the rate, and which have handed
        in such jobs within the time that refills their bucket.
        """
        self._decide(now_unix_ms)
        return tuple(
            sorted(team for team, bucket in self._buckets.items() if bucket.is_beyond(now_unix_ms))
        )

    def rates(self) -> dict[TeamId, float]:
        """Return the rate of each team that has one, in jobs per second."""
        return {team: bucket.jobs_per_s for team, bucket in self._buckets.items()}

    def decided(self, team: TeamId) -> tuple[int, int]:
        """Return the number of a team's jobs within and beyond its rate in this term."""
        bucket = self._buckets.get(team)
        return (0, 0) if bucket is None else (bucket.within, bucket.beyond)

    def _drop_if_unused(self, team: TeamId) -> None:
        if self._buckets[team].open_jobs <= 0:
            del self._buckets[team]

    def _decide(self, now_unix_ms: float) -> None:
        """Decide the status of the jobs that have been added, in the order of acceptance."""
        if not self._undecided:
            return
        for bucket in self._buckets.values():
            # The owner's clock was set back; else the bucket would not fill until it catches up.
            bucket.at_unix_ms = min(bucket.at_unix_ms, now_unix_ms)
        earlier = 0
        for job_id, accepted_ms in sorted(self._undecided.items(), key=lambda each: each[1]):
            earlier += accepted_ms < self._started_unix_ms
            bucket_of_team = self._buckets.get(self._teams[job_id])
            if bucket_of_team is None:
                self._statuses[job_id] = RateStatus.WITHIN
                continue
            # A node whose clock is ahead must not move the bucket ahead of the owner's clock.
            plausible_ms = min(accepted_ms, now_unix_ms) if accepted_ms > 0 else now_unix_ms
            self._statuses[job_id] = bucket_of_team.take(plausible_ms)
        if earlier and not self._rebuilt:
            self._rebuilt = True
            _LOGGER.info(
                "order: rebuilt the rate status of open jobs; jobs that have ended are not counted",
                extra={
                    "jobs": earlier,
                    "beyond": sum(each is RateStatus.BEYOND for each in self._statuses.values()),
                },
            )
        self._undecided.clear()

"""Counts of what an owner has done in its term, for logs that are complete at any load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import JobState

if TYPE_CHECKING:
    from toucandoor.core.scheduling.worker_view import DiscardReason


@dataclass(slots=True)
class Activity:
    """Counts since the start of a term.

    Lines about single runs are limited per second; these counts are not.

    Attributes:
        started_s: Start of the term's schedule, on the monotonic clock.
        runs_planned: Runs assigned to a backend server.
        runs_started: Starts that a backend server has confirmed.
        runs_ended: Ends of runs that a backend server has reported.
        runs_lost: Runs that were lost with their backend server, without a reported end.
        plans_discarded: Runs that were discarded before a backend server had confirmed them, by the
            reason.
        jobs_ended: Jobs that have reached a final state.
        jobs_given_up: Those of them that were given up, as a task crashed its servers.
        jobs_failed: Those of them that failed for any reason.
        jobs_cancelled: Those of them that were cancelled.
        jobs_late: Those of them that were completed after their objective.
        first_planned_s: When the first run was planned, on the monotonic clock; None before that.
    """

    started_s: float
    runs_planned: int = 0
    runs_started: int = 0
    runs_ended: int = 0
    runs_lost: int = 0
    plans_discarded: Counter[DiscardReason] = field(default_factory=Counter)
    jobs_ended: int = 0
    jobs_given_up: int = 0
    jobs_failed: int = 0
    jobs_cancelled: int = 0
    jobs_late: int = 0
    first_planned_s: float | None = None

    def record_planned(self, now_s: float) -> bool:
        """Count a planned run, and return whether it is the first one."""
        self.runs_planned += 1
        if self.first_planned_s is not None:
            return False
        self.first_planned_s = now_s
        return True

    def record_end(self, state: JobState) -> None:
        """Count a job that has reached a final state."""
        self.jobs_ended += 1
        self.jobs_failed += state is JobState.FAILED
        self.jobs_cancelled += state is JobState.CANCELLED

    def jobs_by_end(self) -> dict[str, int]:
        """Return the number of ended jobs by how they ended."""
        return {
            "completed": self.jobs_ended - self.jobs_failed - self.jobs_cancelled,
            "cancelled": self.jobs_cancelled,
            "attempts_exhausted": self.jobs_failed - self.jobs_given_up,
            "crashes_servers": self.jobs_given_up,
        }

    def counts(self) -> dict[str, int]:
        """Return all counts by name."""
        return {
            "planned": self.runs_planned,
            "started": self.runs_started,
            "ended": self.runs_ended,
            "lost": self.runs_lost,
            "discarded": self.plans_discarded.total(),
            "jobs_ended": self.jobs_ended,
            "jobs_given_up": self.jobs_given_up,
            "jobs_failed": self.jobs_failed,
            "jobs_cancelled": self.jobs_cancelled,
            "jobs_late": self.jobs_late,
        }

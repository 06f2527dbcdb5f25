"""Interface to the expected run times of tasks, and the baseline that trusts the callers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import Step
    from toucandoor.ids import QueueId

MS_PER_S = 1000.0


class RunTimeModel(ABC):
    """Expected run times of the tasks of a step, on a backend server of usual speed."""

    @abstractmethod
    def expected_s(self, step: Step, queue: QueueId) -> float:
        """Return the expected run time of a task, in seconds."""

    @abstractmethod
    def quantile_s(self, step: Step, queue: QueueId, ratio: float) -> float:
        """Return the run time that a share of the tasks does not exceed, in seconds.

        Args:
            step: The step.
            queue: Queue of its job.
            ratio: Share of the tasks, above 0 and below 1.
        """

    @abstractmethod
    def record(self, step: Step, queue: QueueId, run_s: float) -> None:
        """Record the run time of a task that ran from its start to its end undisturbed.

        Args:
            step: Step of the task.
            queue: Queue of its job.
            run_s: Its run time, in seconds of the monotonic clock.
        """


class CallerEstimates(RunTimeModel):
    """Baseline: the callers' estimates, for every quantile."""

    def expected_s(self, step: Step, queue: QueueId) -> float:
        """Return the caller's estimate."""
        return step.estimate_ms / MS_PER_S

    def quantile_s(self, step: Step, queue: QueueId, ratio: float) -> float:
        """Return the caller's estimate."""
        return step.estimate_ms / MS_PER_S

    def record(self, step: Step, queue: QueueId, run_s: float) -> None:
        """Ignore the run time."""


CALLER_ESTIMATES = CallerEstimates()

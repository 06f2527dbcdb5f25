"""Interface to the expected run times of tasks, and the baseline that trusts the callers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.jobs.models import Step
    from toucandoor.ids import QueueId

MS_PER_S = 1000.0


class OpenRun(NamedTuple):
    """A run that has not ended and whose run time will be a sample.

    Attributes:
        queue: Queue of its job.
        image: Image of its step.
        estimate_s: The caller's estimate of its run time, above 0.
        elapsed_ratio: Time since its start, divided by that estimate.
        weight: Weight that it has beside others of its step.
    """

    queue: QueueId
    image: str
    estimate_s: float
    elapsed_ratio: float
    weight: float


class QueueRatio(NamedTuple):
    """Ratio of actual to estimated run times of a queue.

    Attributes:
        queue: The queue.
        expected: Factor on the estimates of the image with the most recent work.
        median: Median ratio over all images.
        weight: Samples that it rests on, without the prior; older ones weigh less.
    """

    queue: QueueId
    expected: float
    median: float
    weight: float


class RunTimeModel(ABC):
    """Expected run times of the tasks of a step, on a backend server of usual speed.

    Attributes:
        dropped: Number of run times that were implausible and not used.
        version: Changes whenever an expected run time may have changed.
    """

    dropped: int = 0
    version: int = 0

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

    @abstractmethod
    def refresh(self, open_runs: Iterable[OpenRun]) -> None:
        """Compute anew what is expected; called a few times a second.

        Args:
            open_runs: Runs that have not ended.
        """

    @abstractmethod
    def queue_ratios(self) -> tuple[QueueRatio, ...]:
        """Return what has been learned of each queue, for logs and metrics."""


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

    def refresh(self, open_runs: Iterable[OpenRun]) -> None:
        """Do nothing."""

    def queue_ratios(self) -> tuple[QueueRatio, ...]:
        """Return nothing: the estimates are not corrected."""
        return ()


CALLER_ESTIMATES = CallerEstimates()

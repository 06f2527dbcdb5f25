"""Interface to the order in which waiting steps of a pool get room, and the baseline order."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.scheduling.queue_order import step_rank

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.ids import PoolId, TeamId


@dataclass(frozen=True, slots=True, eq=False)
class WaitingStep:
    """A step with tasks that could run now.

    Attributes:
        job: Its job.
        step: The step.
    """

    job: JobProgress
    step: StepProgress


@dataclass(frozen=True, slots=True)
class TeamFigures:
    """What a team has got in this term, for metrics.

    Attributes:
        team: The team.
        service_s: Time for which its runs have reserved whole servers, in seconds.
        waiting_steps: Steps that were left without room for all their tasks.
        jobs_within: Jobs within its rate.
        jobs_beyond: Jobs beyond its rate.
    """

    team: TeamId
    service_s: float
    waiting_steps: int
    jobs_within: int
    jobs_beyond: int


class StepOrder(ABC):
    """Decides which waiting step of a pool gets room next.

    One instance serves all pools for one term of ownership.
    """

    @abstractmethod
    def set_configuration(self, configuration: JobConfiguration, now_s: float) -> None:
        """Process a newer configuration."""

    @abstractmethod
    def on_job_added(self, job: JobProgress, now_s: float) -> None:
        """Process a job that has been accepted, or that a new owner has read from the store."""

    def on_job_closed(self, job: JobProgress, now_unix_ms: float) -> None:  # noqa: B027
        """Process a job that has ended and of which no run may exist any more."""

    @abstractmethod
    def on_attached(self, job: JobProgress, run: Run, now_s: float) -> None:
        """Process a run that has been planned or recovered; it takes room from now on."""

    @abstractmethod
    def on_detached(self, job: JobProgress, run: Run, now_s: float) -> None:
        """Process a run that no longer takes room."""

    @abstractmethod
    def ordered(
        self, pool: PoolId, waiting: Sequence[WaitingStep], now_s: float, now_unix_ms: float
    ) -> Iterator[WaitingStep]:
        """Yield waiting steps in the order in which they get room.

        The placer plans the runs of each step before it asks for the next one, so that an order may
        depend on what the steps before have got.

        Args:
            pool: Pool of the steps.
            waiting: Steps with tasks that could run now.
            now_s: The monotonic time.
            now_unix_ms: The wall-clock time.
        """

    def run_fields(self) -> dict[str, object]:
        """Return the log fields of a run that is planned for the step that was yielded last."""
        return {}

    def team_figures(self, now_s: float) -> list[TeamFigures]:
        """Return the figures of the teams; none if the order does not depend on teams."""
        return []


class LeastWorkFirst(StepOrder):
    """Baseline: by class and priority, then least remaining work, whatever the team.

    Args:
        run_times: Expected run times of tasks.
    """

    def __init__(self, run_times: RunTimeModel) -> None:
        self._run_times = run_times

    def set_configuration(self, configuration: JobConfiguration, now_s: float) -> None:
        """Do nothing: the order depends on the jobs alone."""

    def on_job_added(self, job: JobProgress, now_s: float) -> None:
        """Do nothing."""

    def on_attached(self, job: JobProgress, run: Run, now_s: float) -> None:
        """Do nothing."""

    def on_detached(self, job: JobProgress, run: Run, now_s: float) -> None:
        """Do nothing."""

    def ordered(
        self, pool: PoolId, waiting: Sequence[WaitingStep], now_s: float, now_unix_ms: float
    ) -> Iterator[WaitingStep]:
        """Yield the steps by `step_rank`, equal ones in the given order."""
        ranked = sorted(
            (step_rank(each.job, each.step, now_unix_ms, self._run_times), number)
            for number, each in enumerate(waiting)
        )
        for _, number in ranked:
            yield waiting[number]

"""Arrivals of jobs, from which the demand of the next seconds is estimated."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import Resources
from toucandoor.core.run_times.models import CALLER_ESTIMATES
from toucandoor.core.scheduling.queue_order import job_core_ms, job_memory_mb_s, longest_chain_s

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.ids import PoolId, TeamId


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of a job whose tasks end by themselves.

    Attributes:
        arrived_s: When it arrived, on the monotonic clock.
        pool: Pool that runs it.
        team: Team that submitted it.
        work: Resources times seconds that all its tasks need, by expected run times.
        chain_s: Expected run time of its longest chain of steps.
    """

    arrived_s: float
    pool: PoolId
    team: TeamId
    work: Resources
    chain_s: float

    @classmethod
    def of_job(
        cls,
        arrived_s: float,
        pool: PoolId,
        spec: JobSpec,
        run_times: RunTimeModel = CALLER_ESTIMATES,
    ) -> Arrival:
        """Return the arrival of a job."""
        work = Resources(int(job_core_ms(spec, run_times)), int(job_memory_mb_s(spec, run_times)))
        return cls(arrived_s, pool, spec.team, work, longest_chain_s(spec, run_times))

    def needed_after(self, lead_s: float) -> Resources:
        """Return the capacity that one such job a second needs after some seconds.

        A job uses its work divided by its chain while it runs. Until all of a chain has passed,
        the number of jobs that run at once still grows.
        """
        if self.chain_s <= lead_s:
            return self.work
        return self.work.times(lead_s / self.chain_s)

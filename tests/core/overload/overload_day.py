"""A day in virtual time on which callers are refused by the owner's reports, and retry."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from tests.core.scheduling.common import CAPACITY, POOL, QUEUE, configuration
from toucandoor.core.admission.submission import AcceptAll, SubmissionPolicy
from toucandoor.core.jobs.configuration import JobConfiguration, JobTeam
from toucandoor.core.jobs.models import JobSpec, JobState, Resources, Step
from toucandoor.core.overload.admission import AdmissionByLoad
from toucandoor.core.overload.const import LATE_OBJECTIVES_MAX
from toucandoor.core.overload.followed_report import FollowedReport
from toucandoor.core.overload.records import encode_report
from toucandoor.core.overload.reporter import LoadReporter
from toucandoor.core.scheduling.queue_order import objective_s
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import JobId, TeamId

if TYPE_CHECKING:
    from toucandoor.core.admission.submission import Rejection
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.overload.models import LoadReport
    from toucandoor.core.overload.rates import RateStatuses
    from toucandoor.ids import WorkerId

BUSY_TEAM = TeamId("busy")
CEILING = Resources(16000, 0, 0)
TASK_CPU_MILLICORES = 2000
TRIES_S = (0.0, 0.4, 0.9, 1.6, 2.5)
"""Times of a caller's tries after its first."""


@dataclass
class Submission:
    """A job, and what became of it."""

    spec: JobSpec
    rejections: list[Rejection] = field(default_factory=list)
    accepted: bool = False


class OverloadDay:
    """Teams that submit jobs at random to one pool, with a ceiling of 16 cores each.

    Args:
        seed: Seed of arrivals, sizes and run times.
        admission: Whether jobs are refused by the owner's reports.
        workers: Backend servers of the pool, with 8 cores each.
        ceiling: Ceiling of each team.
        rates: Rate status of teams; None if all are within their rates.

    Attributes:
        fleet: The fleet.
        submissions: All jobs.
        reports: Reports written so far.
        rejections_s: Times of all refusals, by the virtual clock.
        report_lost: Whether nodes get no reports now.
    """

    def __init__(
        self,
        seed: int,
        *,
        admission: bool = True,
        workers: int = 12,
        ceiling: Resources = CEILING,
        rates: RateStatuses | None = None,
    ) -> None:
        self._random = random.Random(seed)
        self._rates = rates
        teams = (BUSY_TEAM, TeamId("a"), TeamId("b"), TeamId("c"))
        base = configuration()
        self.fleet = VirtualFleet(
            JobConfiguration(
                base.version,
                base.queues,
                base.pools,
                {team: JobTeam(team, frozenset({team}), 1.0, ceiling) for team in teams},
            ),
            self._behaviour,
        )
        for number in range(workers):
            self.fleet.boot(f"w{number}", POOL, CAPACITY)
        self._capacity = CAPACITY.times(workers)
        self._followed = FollowedReport(self.fleet.clock)
        self._policy: SubmissionPolicy = AcceptAll()
        if admission:
            self._policy = AdmissionByLoad(self._followed)
        self.submissions: list[Submission] = []
        self.reports: list[LoadReport] = []
        self.rejections_s: list[float] = []
        self.report_lost = False
        self._specs: dict[JobId, JobSpec] = {}
        self.take_over()
        self._report()

    def _behaviour(self, task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
        step = self._specs[task.job_id].steps[task.step]
        return TaskBehaviour(step.needs, step.estimate_ms / 1000)

    def take_over(self) -> None:
        """Start a new owner, whose reports begin again."""
        owner = self.fleet.take_over()
        self._reporter = LoadReporter(owner.scheduler.state, self._rates)

    def _report(self) -> None:
        report = self._reporter.next_report(lambda: self._capacity)
        if report is not None:
            self.reports.append(report)
            value = encode_report(report)
            if not self.report_lost:
                self.fleet.schedule(0.02, lambda: self._followed.on_record(value))
        self.fleet.schedule(0.05, self._report)

    def submit_at_random(self, team: TeamId, ceilings_used: float, for_s: float) -> None:
        """Schedule submissions that need a multiple of a team's ceiling on average."""
        mean_core_s = 4.5 * TASK_CPU_MILLICORES / 1000 * 0.75
        per_s = ceilings_used * CEILING.cpu_millicores / 1000 / mean_core_s
        at_s = self._random.expovariate(per_s)
        while at_s < for_s:
            count = self._random.randint(1, 8)
            steps = tuple(
                Step(
                    count,
                    Resources(TASK_CPU_MILLICORES, 100, 0),
                    estimate_ms=self._random.randint(150, 600),
                    after=tuple(range(number)),
                )
                for number in range(2)
            )
            self.fleet.schedule(at_s, lambda steps=steps: self._first_try(team, steps))
            at_s += self._random.expovariate(per_s)

    def _first_try(self, team: TeamId, steps: tuple[Step, ...]) -> None:
        job_id = JobId(f"{len(self.submissions) + 1:016x}")
        terms = configuration().queues[QUEUE].terms
        spec = JobSpec(job_id, QUEUE, team, "", steps, terms)
        submission = Submission(spec)
        self.submissions.append(submission)
        self._try(submission, 0)

    def _try(self, submission: Submission, number: int) -> None:
        now_unix_ms = int(self.fleet.clock.now().timestamp() * 1000)
        spec = msgspec.structs.replace(submission.spec, accepted_unix_ms=now_unix_ms)
        submission.spec = spec
        rejection = self._policy.rejection(spec)
        if rejection is None:
            submission.accepted = True
            self._specs[submission.spec.job_id] = submission.spec
            self.fleet.submit(submission.spec)
            return
        submission.rejections.append(rejection)
        self.rejections_s.append(self.fleet.clock.monotonic_s())
        if number + 1 < len(TRIES_S):
            pause_s = TRIES_S[number + 1] - TRIES_S[number]
            self.fleet.schedule(pause_s, lambda: self._try(submission, number + 1))

    def of_use(self, submission: Submission) -> bool:
        """Return whether a job was done within three objectives of its acceptance."""
        job = self.fleet.scheduler.jobs.get(submission.spec.job_id)
        if job is None or job.state is not JobState.COMPLETED:
            return False
        total_s = (job.finished_unix_ms - submission.spec.accepted_unix_ms) / 1000
        return total_s <= LATE_OBJECTIVES_MAX * objective_s(submission.spec)

    def of_team(self, team: TeamId) -> list[Submission]:
        """Return a team's submissions."""
        return [each for each in self.submissions if each.spec.team == team]

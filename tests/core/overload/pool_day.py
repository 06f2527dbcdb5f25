"""A day in virtual time on which teams within their rates ask a pool for more than it has."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from tests.core.fair_order.days import NEEDS, RUN_S, SERVER, with_weights
from tests.core.scheduling.common import POOL, QUEUE
from toucandoor.core.admission.submission import AcceptAll, SubmissionPolicy
from toucandoor.core.jobs.models import JobSpec, JobState, Step
from toucandoor.core.overload.admission import AdmissionByLoad
from toucandoor.core.overload.followed_report import FollowedReport
from toucandoor.core.overload.rates import TrackedRates
from toucandoor.core.overload.records import encode_report
from toucandoor.core.overload.reporter import LoadReporter
from toucandoor.core.scheduling.queue_order import objective_s
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import JobId, TeamId

if TYPE_CHECKING:
    from toucandoor.core.overload.models import LoadReport

SIZES = (1, 2, 4, 8, 16)
TRIES_S = (0.0, 0.4, 0.9, 1.6, 2.5)
"""Times of a caller's tries after its first."""
WARM_UP_S = 1.5


@dataclass
class Submission:
    """A job, and what became of it."""

    spec: JobSpec
    at_s: float
    refusals: list[tuple[float, int]] = field(default_factory=list)
    accepted: bool = False


class PoolDay:
    """Teams that submit jobs of all sizes at random to one pool.

    Args:
        loads: What each team asks for, as a part of the pool.
        seed: Seed of arrivals and sizes.
        admission: Whether jobs are refused by the owner's reports.
        servers: Servers of eight cores.
        nodes: Nodes that take the calls.
        for_s: Time in which jobs are handed in.
        regular: Whether each team submits at regular intervals and all sizes in turn; otherwise the
            load of two seconds varies by a quarter.
    """

    def __init__(
        self,
        loads: dict[TeamId, float],
        seed: int,
        *,
        admission: bool = True,
        servers: int = 12,
        nodes: int = 4,
        for_s: float = 20.0,
        regular: bool = False,
    ) -> None:
        self._random = random.Random(seed)
        cores = servers * SERVER.cpu_millicores / 1000
        core_s = sum(SIZES) / len(SIZES) * RUN_S
        rates = {team: load * cores / core_s for team, load in loads.items()}
        # All have the same weight, which no team's jobs exceed.
        weights = dict.fromkeys(loads, 3.0 * max(rates.values()))
        self.fleet = VirtualFleet(with_weights(weights), lambda *_: TaskBehaviour(NEEDS, RUN_S))
        for number in range(servers):
            self.fleet.boot(f"w{number}", POOL, SERVER)
        self._capacity = SERVER.times(servers)
        self._followed = [FollowedReport(self.fleet.clock) for _ in range(nodes)]
        self._policies: list[SubmissionPolicy] = [
            AdmissionByLoad(each) if admission else AcceptAll() for each in self._followed
        ]
        self.submissions: list[Submission] = []
        self.reports: list[LoadReport] = []
        self.report_lost = False
        self.take_over()
        self._report()
        self.fleet.run(WARM_UP_S)
        for team, rate in rates.items():
            at_s = self._random.random() / rate
            sizes: list[int] = []
            while at_s < for_s:
                if not sizes:
                    sizes = self._random.sample(SIZES, len(SIZES))
                tasks = sizes.pop() if regular else self._random.choice(SIZES)
                self.fleet.schedule(at_s, partial(self._first_try, team, tasks))
                pause = self._random.uniform(0.7, 1.3) if regular else self._random.expovariate(1.0)
                at_s += pause / rate

    def take_over(self) -> None:
        """Start a new owner, whose reports begin again."""
        state = self.fleet.take_over().scheduler.state
        self._reporter = LoadReporter(state, TrackedRates(state.rates, self.fleet.clock))

    def _report(self) -> None:
        report = self._reporter.next_report(lambda: self._capacity)
        if report is not None:
            self.reports.append(report)
            value = encode_report(report)
            for followed in [] if self.report_lost else self._followed:
                self.fleet.schedule(0.02, partial(followed.on_record, value))
        self.fleet.schedule(0.05, self._report)

    def _first_try(self, team: TeamId, tasks: int) -> None:
        job_id = JobId(f"{self._random.getrandbits(64):016x}")
        terms = self.fleet.configuration.queues[QUEUE].terms
        steps = (Step(tasks, NEEDS, estimate_ms=int(RUN_S * 1000)),)
        submission = Submission(JobSpec(job_id, QUEUE, team, "", steps, terms), self.now_s)
        self.submissions.append(submission)
        self._try(submission, 0)

    @property
    def now_s(self) -> float:
        return self.fleet.clock.monotonic_s()

    def _try(self, submission: Submission, number: int) -> None:
        now_unix_ms = int(self.fleet.clock.now().timestamp() * 1000)
        spec = msgspec.structs.replace(submission.spec, accepted_unix_ms=now_unix_ms)
        submission.spec = spec
        rejection = self._random.choice(self._policies).rejection(spec)
        if rejection is None:
            submission.accepted = True
            self.fleet.submit(spec)
            return
        submission.refusals.append((self.now_s, rejection.retry_after_s))
        if number + 1 < len(TRIES_S):
            pause_s = TRIES_S[number + 1] - TRIES_S[number]
            self.fleet.schedule(pause_s, lambda: self._try(submission, number + 1))

    def objectives(self, submission: Submission) -> float:
        """Return the time from acceptance to a job's end as a multiple of its objective."""
        job = self.fleet.owner.scheduler.jobs.get(submission.spec.job_id)  # type: ignore[union-attr]
        if not submission.accepted or job is None or job.state is not JobState.COMPLETED:
            return float("inf")
        total_s = (job.finished_unix_ms - submission.spec.accepted_unix_ms) / 1000
        return total_s / objective_s(submission.spec)

    def done(self, objectives: float) -> int:
        """Return the number of jobs that were done within some objectives."""
        return sum(self.objectives(each) <= objectives for each in self.submissions)

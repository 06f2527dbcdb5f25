"""What runs and what waits in the schedule, as one report needs it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from toucandoor.core.jobs.models import NO_RESOURCES, Resources
from toucandoor.core.overload.backlog import WaitingWork, Work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.overload.rates import RateStatuses
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.ids import JobId, PoolId, TeamId

MS_PER_S = 1000.0


@dataclass(slots=True)
class Running:
    """Runs of a team or pool.

    Attributes:
        long_running: Resources of its long-running tasks, unless they are being stopped.
        all: Resources of all its tasks.
        left: Work that the tasks that end by themselves still need.
    """

    long_running: Resources = NO_RESOURCES
    all: Resources = NO_RESOURCES
    left: Work = field(default_factory=Work)


class WaitingStep(NamedTuple):
    """A step with waiting tasks.

    Attributes:
        job: Its job.
        step: The step.
        work: Resources times seconds of its waiting tasks.
    """

    job: JobProgress
    step: StepProgress
    work: Work


class ScheduleLoad:
    """Runs and waiting work of the schedule at one time.

    Args:
        state: The schedule; it is only read.
        rates: Rate status of jobs and teams.

    Attributes:
        by_team: Runs of each team.
        by_pool: Runs of each pool.
        waiting: Steps of each pool that wait, but for long-running ones.
    """

    def __init__(self, state: ScheduleState, rates: RateStatuses) -> None:
        self._state = state
        self._rates = rates
        self._now_s = state.now_s
        self._now_unix_ms = state.now_unix_ms
        self._known: dict[tuple[JobId, int], WaitingWork] = {}
        self.by_team: dict[TeamId, Running] = {}
        self.by_pool: dict[PoolId, Running] = {}
        self.waiting: dict[PoolId, list[WaitingStep]] = {}
        self._add_runs()
        self._add_waiting_steps()

    def _add_runs(self) -> None:
        state = self._state
        for worker in (*state.workers.values(), *state.former_boots):
            in_pool = self.by_pool.setdefault(worker.entry.pool, Running())
            for run in worker.runs.values():
                spec = state.jobs[run.task.key.job_id].spec
                of_team = self.by_team.setdefault(spec.team, Running())
                step = run.task.step
                for each, needs in ((of_team, step.needs), (in_pool, step.reserved)):
                    each.all = each.all + needs
                    if not step.long_running:
                        each.left = each.left + Work.of(needs, self._left_s(run))
                    elif not run.stop_requested:
                        each.long_running = each.long_running + needs

    def _left_s(self, run: Run) -> float:
        """Return the time that a run still takes at least, by its expected run time.

        At most half of it, which many runs still take on average: a recovered run may have begun
        long before this owner's term.
        """
        if run.stop_requested:
            return 0.0
        queue = self._state.jobs[run.task.key.job_id].spec.queue
        expected_s = self._state.run_times.expected_s(run.task.step, queue)
        return max(0.0, min(expected_s / 2, expected_s - (self._now_s - run.created_s)))

    def _add_waiting_steps(self) -> None:
        state = self._state
        for key, step in state.waiting_steps.items():
            job = state.jobs[key.job_id]
            if step.step.long_running or job.state.final:
                continue
            tasks = sum(task.waiting for task in step.tasks)
            if tasks:
                run_s = state.run_times.expected_s(step.step, job.spec.queue)
                work = Work.of(step.step.needs, tasks * run_s)
                self.waiting.setdefault(state.pool_of(job), []).append(WaitingStep(job, step, work))

    def work_of(self, steps: Iterable[WaitingStep]) -> list[WaitingWork]:
        """Return the work of waiting steps, by occurrence of a job."""
        work: dict[tuple[JobId, int], Work] = {}
        jobs: dict[JobId, JobProgress] = {}
        for job, step, of_step in steps:
            key = (job.spec.job_id, step.key.occurrence)
            jobs[job.spec.job_id] = job
            earlier = work.get(key)
            work[key] = of_step if earlier is None else earlier + of_step
        return [
            self._occurrence(jobs[job_id], occurrence, waiting)
            for (job_id, occurrence), waiting in work.items()
        ]

    def _occurrence(self, job: JobProgress, occurrence: int, work: Work) -> WaitingWork:
        spec = job.spec
        key = (spec.job_id, occurrence)
        known = self._known.get(key)
        if known is not None:
            return known if known.work == work else msgspec.structs.replace(known, work=work)
        due_unix_ms = spec.first_due_unix_ms + occurrence * spec.interval_ms
        begin_unix_ms = due_unix_ms if spec.timed else spec.accepted_unix_ms
        age_s = (self._now_unix_ms - begin_unix_ms) / MS_PER_S
        expected = self._state.expected_work.of(job, occurrence)
        made = WaitingWork(
            job_id=spec.job_id,
            team=spec.team,
            status=self._rates.of_job(job),
            priority=spec.terms.priority,
            work=work,
            core_s=expected.core_s,
            age_s=age_s,
            chain_s=expected.chain_s,
            objective_s=expected.objective_s,
            begun=job.started,
            gang=any(step.gang for step in spec.steps),
        )
        self._known[key] = made
        return made

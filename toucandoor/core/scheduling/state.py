"""What the parts of the scheduler share: jobs, backend servers, runs and their bookkeeping."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.models import NOTHING, JobState, Resources, StepKey
from toucandoor.core.ownership.lease import OWNER_TTL_S
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.configuration import JobConfiguration, JobQueue
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress, Task
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import FencingToken, JobId, PoolId, TeamId, WorkerId

_LOGGER = logging.getLogger(__name__)

MS_PER_S: Final = 1000
FULL_SPEED_PERCENT: Final = 100
"""What a backend server says of a run that is fully at work."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """What the scheduler must know of its surroundings.

    Attributes:
        owner_key: Record whose revision every write expects.
        owner_revision: That revision.
        token: Fencing token of this owner.
        lease_s: Lease of a backend server from each renewal.
        status_kept_s: Time for which a finished job's state can be asked for.
        handed_over: Where the former owner has said so, the longest time for which a boot's leases
            may still hold.
    """

    owner_key: str
    owner_revision: int
    token: FencingToken
    lease_s: float
    status_kept_s: float = 120.0
    handed_over: Mapping[Boot, float] = field(default_factory=dict)

    @property
    def former_lease_s(self) -> float:
        """Longest time for which a former owner's leases may still hold.

        It may have renewed them until its ownership ended, which may have been just now.
        """
        slowest_lease_s = self.lease_s * (1 + const.WORKER_CLOCK_DRIFT_RATIO)
        return OWNER_TTL_S + slowest_lease_s + const.LAPSE_MARGIN_S


class ScheduleState:
    """Jobs, backend servers and runs, with the sums that placement needs.

    Attributes:
        settings: What is known of the surroundings.
        clock: The clock.
        configuration: Newest configuration; None before the first.
        jobs: All jobs.
        open_jobs: Jobs that are not final, or that have runs.
        workers: Latest boot of each backend server.
        former_boots: Other boots that recorded runs may be on. The list does not name them, so they
            have no address and get no orders.
        deposed: Whether another owner has been met.
        waiting_steps: Steps whose occurrence is due and that may have waiting tasks.
        stale_pools: Pools in which something has changed since the last placement.
        runs_awaiting_orders: Runs that need a start or a stop.
        dirty: Jobs whose record is behind, in order.
        planned: Runs by job whose record is not in the store yet.
        finished: Jobs that have ended since they were last asked for.
    """

    def __init__(self, settings: SchedulerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.began_s = clock.monotonic_s()
        self.configuration: JobConfiguration | None = None
        self.jobs: dict[JobId, JobProgress] = {}
        self.open_jobs: set[JobId] = set()
        self.workers: dict[WorkerId, WorkerView] = {}
        self.former_boots: list[WorkerView] = []
        self.deposed = False
        self.waiting_steps: dict[StepKey, StepProgress] = {}
        self.stale_pools: set[PoolId] = set()
        self.runs_awaiting_orders: dict[Run, None] = {}
        self.dirty: dict[JobId, None] = {}
        self.planned: dict[JobId, list[Run]] = {}
        self.finished: list[JobProgress] = []
        self._team_used: dict[TeamId, Resources] = {}

    @property
    def now_s(self) -> float:
        """The monotonic time."""
        return self.clock.monotonic_s()

    @property
    def now_unix_ms(self) -> float:
        """The wall-clock time."""
        return self.clock.now().timestamp() * MS_PER_S

    # Jobs

    def touch(self, job: JobProgress) -> None:
        """Note that a job's progress has changed."""
        job.version += 1
        self.mark_dirty(job)

    def mark_dirty(self, job: JobProgress) -> None:
        """Note that a job's record is behind."""
        job.dirty = True
        self.dirty[job.spec.job_id] = None

    def finish(self, job: JobProgress, state: JobState) -> None:
        """Bring a job to its end and stop what runs of it."""
        job.state = state
        job.finished_unix_ms = int(self.now_unix_ms)
        for step in job.steps.values():
            self.waiting_steps.pop(step.key, None)
            for task in step.tasks:
                for run in task.runs:
                    self.want_stop(run)
        _LOGGER.info(
            "jobs: %s",
            state.value,
            extra={
                "job": job.spec.job_id,
                "queue": job.spec.queue,
                "age_s": round(self.now_s - job.arrived_s, 3),
            },
        )
        self.finished.append(job)
        self.touch(job)

    def step_of(self, task: Task) -> StepProgress:
        """Return the step that a task belongs to."""
        return self.jobs[task.key.job_id].step(task.key.occurrence, task.key.step)

    def queue_of(self, job: JobProgress) -> JobQueue | None:
        """Return a job's queue as configured now; None where it has been removed."""
        if self.configuration is None:
            return None
        return self.configuration.queues.get(job.spec.queue)

    def pool_of(self, job: JobProgress) -> PoolId:
        """Return the pool that runs a job now."""
        queue = self.queue_of(job)
        return job.spec.terms.pool if queue is None else queue.pool

    def attempts_max(self, job: JobProgress) -> int:
        """Return the number of failed runs of a task after which its job has failed."""
        queue = self.queue_of(job)
        return job.spec.terms.attempts_max if queue is None else queue.attempts_max

    # Runs

    def attach(self, run: Run) -> None:
        """Count a run at its task, its backend server and its team."""
        run.worker.add(run)
        run.task.runs.append(run)
        team = self.jobs[run.task.key.job_id].spec.team
        self._team_used[team] = self._team_used.get(team, NOTHING) + run.task.step.needs

    def detach(self, run: Run) -> None:
        """Count a run no longer."""
        if run.key not in run.worker.runs:
            return
        run.worker.remove(run)
        run.task.runs.remove(run)
        self.runs_awaiting_orders.pop(run, None)
        job = self.jobs[run.task.key.job_id]
        self._team_used[job.spec.team] = self._team_used[job.spec.team] - run.task.step.needs
        self.stale_pools.add(run.worker.entry.pool)
        if not job.state.final and not run.task.done:
            self.step_waits(job, self.step_of(run.task))

    def step_waits(self, job: JobProgress, step: StepProgress) -> None:
        """Note that tasks of a step may need a run."""
        self.waiting_steps[step.key] = step
        self.stale_pools.add(self.pool_of(job))

    def drop(self, run: Run) -> None:
        """End a run of which nothing is known but that it cannot exist any more."""
        self.detach(run)
        self.touch(self.jobs[run.task.key.job_id])

    def want_stop(self, run: Run) -> None:
        """Stop a run as soon as it can be."""
        run.stop_wanted = True
        self.runs_awaiting_orders[run] = None

    def lose_all(self, worker: WorkerView, why: str) -> None:
        """End all runs of a boot that has ended."""
        if worker.runs:
            _LOGGER.warning(
                "workers: %s %s",
                worker.entry.worker_id,
                why,
                extra={"worker": worker.entry.worker_id, "runs": len(worker.runs)},
            )
        for run in list(worker.runs.values()):
            self.drop(run)

    def within_ceiling(self, job: JobProgress, more: Resources) -> bool:
        """Return whether a job's team may have this much more running."""
        team_id = job.spec.team
        if not team_id or self.configuration is None:
            return True
        team = self.configuration.teams.get(team_id)
        if team is None or team.ceiling == NOTHING:
            return True
        wanted = self._team_used.get(team_id, NOTHING) + more
        ceiling = team.ceiling
        return not (
            (ceiling.cpu_millicores and wanted.cpu_millicores > ceiling.cpu_millicores)
            or (ceiling.memory_mb and wanted.memory_mb > ceiling.memory_mb)
            or (ceiling.gpus and wanted.gpus > ceiling.gpus)
        )


def at_work(task: Task) -> bool:
    """Return whether a long-running task is surely fully at work."""
    return any(
        run.state is RunState.RUNNING
        and run.percent == FULL_SPEED_PERCENT
        and not run.stop_wanted
        and not run.worker.silent
        for run in task.runs
    )


def find_task(job: JobProgress, key: TaskKey) -> Task | None:
    """Return the task that a key names, None where the job has no such task."""
    if key.step >= len(job.spec.steps) or key.occurrence >= job.spec.occurrences:
        return None
    if key.number >= job.spec.steps[key.step].count:
        return None
    return job.step(key.occurrence, key.step).tasks[key.number]


def task_text(key: TaskKey) -> str:
    """Return a task's place in its job, for logs."""
    return f"{key.occurrence}.{key.step}.{key.number}"


def run_fields(run: Run) -> dict[str, object]:
    """Return the fields of a run's log line."""
    return {
        "job": run.task.key.job_id,
        "task": task_text(run.task.key),
        "attempt": run.key.attempt,
        "worker": run.worker.entry.worker_id,
    }

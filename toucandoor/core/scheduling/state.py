"""State shared by the parts of the scheduler: jobs, backend servers and runs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.copies.models import may_be_copied
from toucandoor.core.fair_order.order import FairOrder
from toucandoor.core.fair_order.rates import RateStatusTracker
from toucandoor.core.jobs.identities import Identities
from toucandoor.core.jobs.models import NO_RESOURCES, JobState, Resources, StepKey
from toucandoor.core.run_times.learned import LearnedRunTimes
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.activity import Activity
from toucandoor.core.scheduling.lookups import lost_run_fields, run_fields
from toucandoor.core.scheduling.queue_order import ExpectedWorkCache, objective_s
from toucandoor.core.scheduling.record_budget import run_bytes
from toucandoor.core.scheduling.relocation import HeldRoom
from toucandoor.core.scheduling.run_gaps import RunGaps
from toucandoor.core.scheduling.start_log import start_fields
from toucandoor.core.scheduling.step_order import LeastWorkFirst, StepOrder
from toucandoor.core.scheduling.unbegun_runs import UnbegunRuns
from toucandoor.core.scheduling.worker_view import DiscardReason, RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from toucandoor.clock import Clock
    from toucandoor.core.failure_domains.models import FailureDomains
    from toucandoor.core.failure_domains.rack_spread import RackSpread
    from toucandoor.core.jobs.configuration import JobConfiguration, JobQueue
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.policies import Policies
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress, Task
    from toucandoor.core.scheduling.settings import SchedulerSettings
    from toucandoor.core.scheduling.task_grouping import TaskGrouping
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import JobId, PoolId, TeamId, WorkerId

_LOGGER = logging.getLogger(__name__)

MS_PER_S: Final = 1000


class ScheduleState:
    """Jobs, backend servers and runs, with the totals that placement needs.

    Attributes:
        settings: Settings for this term of ownership.
        clock: Source of monotonic and wall-clock time.
        started_s: When this state was created, on the monotonic clock.
        identities: Ids of queues and teams, which stay when a version renames them.
        configuration: Newest configuration, by these ids; None before the first one.
        jobs: All jobs.
        open_jobs: Jobs that are not final or that still have runs.
        unopened_jobs: Jobs with occurrences that were not due yet when they were last looked at.
        closing_jobs: Open jobs that are final; they are closed once their runs have ended.
        workers: Latest boot of each backend server.
        former_boots: Boots other than these on which recorded runs may exist. The platform's list
            does not contain them, so they have no address and get no orders.
        early_cancels: Cancelled jobs that are not in the schedule: they are not known yet, or have
            ended under a former owner.
        superseded: Whether another owner has been detected.
        waiting_steps: Steps of due occurrences that may have waiting tasks.
        changed_pools: Pools in which something has changed since the last placement.
        runs_awaiting_orders: Runs that need a start or a stop.
        dirty: Jobs whose record in the store is outdated, in the order of the change.
        begun_jobs: Jobs whose record in the store does not say yet that they have begun, with the
            time since when; in the order of that time.
        settled_jobs: Jobs whose record in the store does not say yet that some of their runs are
            settled, or that they have begun under a former owner, with the time since when; in the
            order of that time.
        planned: Planned runs that are not in the store yet, by job.
        finished: Jobs that have ended since `Scheduler.pop_finished` was last called.
        activity: Counts of what this owner has done.
        run_times: Expected run times of tasks.
        expected_work: Expected work of open jobs.
        order: Order in which waiting steps get room.
        rates: Rate status of the jobs; all are within their rate while no team has a weight.
        task_grouping: Decides in which order servers are filled with the tasks of a step.
        rack_spread: Decides which racks a task of a long-running step should avoid.
        policies: Creates these and other policies.
        failure_domains: Evidence on silent and slow backend servers.
        may_start: Returns whether the start of a run may be sent now.
        runs_to_copy: Runs of tasks that may have a second run, and these second runs.
        attach_listeners: Called with each run that has been planned or recovered.
        run_gaps: Long-running tasks and jobs that could run and have no run.
        unbegun_runs: Planned runs that do not begin.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        clock: Clock,
        policies: Policies,
        run_times: RunTimeModel | None = None,
    ) -> None:
        self.policies = policies
        self.settings = settings
        self.clock = clock
        self.run_times: RunTimeModel = run_times or LearnedRunTimes(clock)
        self.expected_work = ExpectedWorkCache(self.run_times)
        self.order: StepOrder = LeastWorkFirst(self.run_times)
        self.failure_domains: FailureDomains = self.policies.failure_domains(clock)
        self.task_grouping: TaskGrouping = self.policies.task_grouping()
        self.rack_spread: RackSpread = self.policies.rack_spread()
        self.may_start: Callable[[Run], bool] = lambda _run: True
        self.rates = RateStatusTracker(self.clock.now().timestamp() * MS_PER_S)
        self.started_s = clock.monotonic_s()
        self.identities = Identities()
        self.configuration: JobConfiguration | None = None
        self.jobs: dict[JobId, JobProgress] = {}
        self.open_jobs: set[JobId] = set()
        self.unopened_jobs: dict[JobId, None] = {}
        self.closing_jobs: dict[JobId, None] = {}
        self.workers: dict[WorkerId, WorkerView] = {}
        self.former_boots: list[WorkerView] = []
        self.early_cancels: set[JobId] = set()
        self.superseded = False
        self.waiting_steps: dict[StepKey, StepProgress] = {}
        self.changed_pools: set[PoolId] = set()
        self.held_room = HeldRoom()
        self.runs_awaiting_orders: dict[Run, None] = {}
        self.dirty: dict[JobId, None] = {}
        self.begun_jobs: dict[JobId, float] = {}
        self.settled_jobs: dict[JobId, float] = {}
        self.planned: dict[JobId, list[Run]] = {}
        self.finished: list[JobProgress] = []
        self.runs_to_copy: dict[Run, None] = {}
        self.activity = Activity(self.started_s)
        self.attach_listeners: list[Callable[[JobProgress, Run], None]] = []
        self.run_gaps = RunGaps(self)
        self.unbegun_runs = UnbegunRuns(self)
        self._team_used: dict[TeamId, Resources] = {}

    @property
    def now_s(self) -> float:
        """Current monotonic time."""
        return self.clock.monotonic_s()

    @property
    def now_unix_ms(self) -> float:
        """Current wall-clock time."""
        return self.clock.now().timestamp() * MS_PER_S

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Apply a newer configuration; the teams' shares decide once one of them has a weight."""
        first = self.configuration is None
        configuration = self.configuration = self.identities.apply(configuration)
        if first:
            self._adopt_jobs()
        for job_id in self.open_jobs:
            self.jobs[job_id].spec = self.identities.move_to_address(self.jobs[job_id].spec)
        self.rates.set_configuration(configuration, self.now_unix_ms)
        fair = self.policies.shares_decide(configuration)
        if not fair:
            self.rates.clear()
        if fair != isinstance(self.order, FairOrder):
            self.order = (
                FairOrder(self.run_times, self.rates, self.expected_work)
                if fair
                else LeastWorkFirst(self.run_times)
            )
            for job in self.jobs.values():
                self.order.on_job_added(job, self.now_s)
                for step in job.steps.values():
                    for run in (run for task in step.tasks for run in task.runs):
                        self.order.on_attached(job, run, self.now_s)
        self.order.set_configuration(configuration, self.now_s)

    def _adopt_jobs(self) -> None:
        """Identify the jobs that have been added before the first configuration."""
        self._team_used.clear()
        for job in self.jobs.values():
            job.spec = self.identities.adopt(job.spec)
            for step in job.steps.values():
                for run in (run for task in step.tasks for run in task.runs):
                    self._add_use(job.spec.team, run)

    def _add_use(self, team: TeamId, run: Run) -> None:
        self._team_used[team] = self._team_used.get(team, NO_RESOURCES) + run.task.step.needs

    # Progress and terms of jobs

    def add_job(self, job: JobProgress, *, has_runs: bool = False) -> None:
        """Add a job; it is open unless it is final and has no runs.

        Args:
            job: The job.
            has_runs: Whether runs of it may exist, which the caller attaches.
        """
        job_id = job.spec.job_id
        self.jobs[job_id] = job
        self.order.on_job_added(job, self.now_s)
        if not job.state.final:
            self.open_jobs.add(job_id)
            self.unopened_jobs[job_id] = None
        elif has_runs:
            self.open_jobs.add(job_id)
            self.closing_jobs[job_id] = None

    def mark_changed(self, job: JobProgress) -> None:
        """Record a change of a job's progress, which must be written to the store."""
        job.version += 1
        self.mark_dirty(job)

    def mark_dirty(self, job: JobProgress) -> None:
        """Mark the record of a job in the store as outdated."""
        job.dirty = True
        self.dirty[job.spec.job_id] = None

    def finish(self, job: JobProgress, state: JobState) -> None:
        """Set the final state of a job and stop its runs."""
        job.state = state
        job.finished_unix_ms = int(self.now_unix_ms)
        total_s = job.finished_unix_ms / MS_PER_S - job.spec.accepted_unix_ms / MS_PER_S
        self._count_finished(job, total_s)
        for step in job.steps.values():
            self.waiting_steps.pop(step.key, None)
            for task in step.tasks:
                for run in list(task.runs):
                    self.request_stop(run)
        _LOGGER.info(
            "jobs: ended as %s",
            state.value,
            extra={
                "job": job.spec.job_id,
                "queue": job.spec.queue,
                "age_s": round(self.now_s - job.arrived_s, 3),
                "total_s": round(total_s, 3),
            },
        )
        self.finished.append(job)
        self.unopened_jobs.pop(job.spec.job_id, None)
        self.closing_jobs[job.spec.job_id] = None
        self.mark_changed(job)

    def _count_finished(self, job: JobProgress, total_s: float) -> None:
        self.activity.record_end(job.state)
        completed = job.state is JobState.COMPLETED
        if completed and not job.spec.timed and total_s > objective_s(job.spec, self.run_times):
            self.activity.jobs_late += 1

    def step_of(self, task: Task) -> StepProgress:
        """Return the step of a task."""
        return self.jobs[task.key.job_id].step(task.key.occurrence, task.key.step)

    def queue_of(self, job: JobProgress) -> JobQueue | None:
        """Return the queue of a job as configured now; None if it has been removed."""
        if self.configuration is None:
            return None
        return self.configuration.queues.get(job.spec.queue)

    def pool_of(self, job: JobProgress) -> PoolId:
        """Return the pool that runs a job now."""
        queue = self.queue_of(job)
        return job.spec.terms.pool if queue is None else queue.pool

    def attempts_max(self, job: JobProgress) -> int:
        """Return the number of failed runs of a task at which its job fails."""
        queue = self.queue_of(job)
        return job.spec.terms.attempts_max if queue is None else queue.attempts_max

    def mark_begun(self, job: JobProgress, *, recovered: bool = False) -> None:
        """Record that a run of a job has begun, which callers are shown.

        A plan alone does not count: its run may never begin.

        Args:
            job: The job.
            recovered: Whether a former owner has planned the run. A new owner confirms many such
                runs at once, when it has most to write, so their jobs are written later.
        """
        if job.started:
            return
        job.started = True
        if not job.state.final:
            job.state = JobState.RUNNING
            written_later = self.settled_jobs if recovered else self.begun_jobs
            written_later.setdefault(job.spec.job_id, self.now_s)

    def confirm(self, run: Run) -> None:
        """Process that a backend server has confirmed a run, by an answer or a report."""
        run.confirm(self.now_s)
        recovered = run.state is RunState.RECOVERED
        self.mark_begun(self.jobs[run.task.key.job_id], recovered=recovered)

    # Adding, stopping and removing runs

    def attach(self, run: Run) -> None:
        """Add a run to its task and backend server, and count it for its team."""
        run.suspect, run.isolated = run.task.suspect, run.task.isolated
        run.worker.add(run)
        run.task.runs.append(run)
        if may_be_copied(run.task.step):
            self.runs_to_copy[run] = None
        job = self.jobs[run.task.key.job_id]
        self._add_use(job.spec.team, run)
        self.order.on_attached(job, run, self.now_s)
        self.run_gaps.on_attached(job, run)
        for listener in self.attach_listeners:
            listener(job, run)

    def detach(self, run: Run) -> None:
        """Remove a run from its task and backend server, and from the count of its team."""
        if run.key not in run.worker.runs:
            return
        run.worker.remove(run)
        run.task.runs.remove(run)
        self.runs_awaiting_orders.pop(run, None)
        self.runs_to_copy.pop(run, None)
        job = self.jobs[run.task.key.job_id]
        self._team_used[job.spec.team] = self._team_used[job.spec.team] - run.task.step.needs
        self.order.on_detached(job, run, self.now_s)
        self.run_gaps.on_detached(job, run)
        self.changed_pools.add(run.worker.entry.pool)
        if not job.state.final and not run.task.done:
            self.mark_step_waiting(job, self.step_of(run.task))

    def move_to_later_boot(self, run: Run, worker: WorkerView) -> None:
        """Move a run to the view of a later boot, which may have taken its start."""
        job = self.jobs[run.task.key.job_id]
        self.order.on_detached(job, run, self.now_s)
        self.run_gaps.on_discarded(run, DiscardReason.SERVER_LOST)
        run.worker.remove(run)
        self.changed_pools.add(run.worker.entry.pool)
        run.harmless_before = run.harmless
        run.begun_before = run.begun
        run.worker = worker
        run.from_former_boot = True
        run.reported = run.stop_acknowledged = False
        worker.add(run)
        self.order.on_attached(job, run, self.now_s)
        self.mark_changed(job)
        if run.state is not RunState.RECOVERED and run.starts_unanswered > 0:
            # One of its starts may still arrive; only a stop rules that out.
            run.state = RunState.STARTING
            run.confirmed_s = None
            self.request_stop(run)
        elif run.stop_requested:
            # Only the earlier boot may have confirmed the stop.
            self.request_stop(run)

    def drop_planned(self, job: JobProgress) -> None:
        """Remove the runs of a job whose record is not in the store yet."""
        for step in job.steps.values():
            for task in step.tasks:
                for run in list(task.runs):
                    if run.state is RunState.PLANNED:
                        self.drop_plan(run)

    def drop_plan(self, run: Run) -> None:
        """Undo the plan of a run of which no write is in flight; its attempt number is used again.

        What its job, its team and its server are charged is undone as well.
        """
        job_id = run.task.key.job_id
        waiting = [each for each in self.planned.pop(job_id, []) if each is not run]
        if waiting:
            self.planned[job_id] = waiting
        self.jobs[job_id].record_bytes -= run_bytes(run)
        run.task.attempt = min(run.task.attempt, run.key.attempt - 1)
        self.detach(run)

    def mark_step_waiting(self, job: JobProgress, step: StepProgress) -> None:
        """Mark a step as having tasks that may need a run."""
        self.waiting_steps[step.key] = step
        self.changed_pools.add(self.pool_of(job))

    def discard_run(self, run: Run, reason: DiscardReason, ended_by: str = "") -> None:
        """Remove a run that cannot exist any more and whose result is unknown.

        Args:
            run: The run.
            reason: Why it is discarded.
            ended_by: The same in more detail, for the log; empty if the reason says it all.
        """
        if run.confirmed_s is None and run.state is not RunState.RECOVERED:
            self._count_discarded_plan(run, reason, ended_by or reason.value)
            self.unbegun_runs.on_discarded(run, reason, ended_by or reason.value)
            self.run_gaps.on_unbegun_discarded(run, ended_by or reason.value)
        elif reason is DiscardReason.NOT_REPORTED:
            _LOGGER.info(
                "runs: discarded without a reported end",
                extra=run_fields(run) | {"reason": reason.value},
            )
        self.run_gaps.on_discarded(run, reason)
        self.detach(run)
        self.mark_changed(self.jobs[run.task.key.job_id])

    def _count_discarded_plan(self, run: Run, reason: DiscardReason, ended_by: str) -> None:
        task = run.task
        task.plans_discarded += 1
        self.activity.plans_discarded[reason] += 1
        fields = run_fields(run) | start_fields(run, self.now_s)
        fields |= {"reason": reason.value, "ended_by": ended_by, "plans": task.plans_discarded}
        if task.plans_discarded >= const.DISCARDED_PLANS_TO_WARN:
            _LOGGER.warning(
                "runs: the task is planned again and again without a start", extra=fields
            )
        else:
            _LOGGER.info("runs: discarded before it had begun", extra=fields)

    def request_stop(self, run: Run) -> None:
        """Request the stop of a run; one whose start was never sent is discarded at once."""
        if run.never_sent:
            self.discard_run(run, DiscardReason.STOPPED_UNSENT)
            return
        run.stop_requested = True
        self.runs_awaiting_orders[run] = None

    def stop_rest_of_gang(self, run: Run) -> None:
        """Stop the other runs of a gang of which one has not begun and is given up.

        They make no progress without it, and the gang is placed again once all have ended.
        """
        if not run.task.step.gang:
            return
        for task in self.step_of(run.task).tasks:
            for other in list(task.runs):
                if other is not run and not other.stop_requested:
                    self.request_stop(other)

    def discard_runs(
        self, worker: WorkerView, reason: str, runs: Collection[Run] | None = None
    ) -> None:
        """Discard the runs of a boot that has ended.

        Args:
            worker: The boot.
            reason: End of the log message; says how the boot ended.
            runs: The runs that have certainly ended; None for all.
        """
        lost = list(worker.runs.values() if runs is None else runs)
        if lost:
            _LOGGER.warning(
                (
                    "workers: all runs on %s are lost, as it %s"
                    if len(lost) == len(worker.runs)
                    else "workers: runs on %s are lost, as it %s"
                ),
                worker.entry.worker_id,
                reason,
                extra={"worker": worker.entry.worker_id, "runs": len(lost)},
            )
        for run in lost:
            self.activity.runs_lost += 1
            _LOGGER.info(
                "runs: lost with its server",
                extra=run_fields(run)
                | lost_run_fields(run, self.now_s)
                | start_fields(run, self.now_s)
                | {"ended_by": f"its server {reason}"},
            )
            self.discard_run(run, DiscardReason.SERVER_LOST, f"its server {reason}")

    def ceiling_of(self, team_id: TeamId) -> Resources | None:
        """Return the most that a team may have running; None for no ceiling."""
        if not team_id or self.configuration is None:
            return None
        team = self.configuration.teams.get(team_id)
        return None if team is None or team.ceiling == NO_RESOURCES else team.ceiling

    def used_by(self, team_id: TeamId) -> Resources:
        """Return what the runs of a team use."""
        return self._team_used.get(team_id, NO_RESOURCES)

    def within_ceiling(self, job: JobProgress, more: Resources) -> bool:
        """Return whether a job's team may have this much more running."""
        ceiling = self.ceiling_of(job.spec.team)
        if ceiling is None:
            return True
        total = self.used_by(job.spec.team) + more
        return not (
            (ceiling.cpu_millicores and total.cpu_millicores > ceiling.cpu_millicores)
            or (ceiling.memory_mb and total.memory_mb > ceiling.memory_mb)
            or (ceiling.gpus and total.gpus > ceiling.gpus)
        )

"""The scheduler: decides without I/O which task runs where, and handles the ends of runs.

Callers pass in events through methods named after them; `orders`, `commits`, `pending_commit` and
`removal` return what is to be done next. The start of a run is sent only once its record is in the
store, and the end of a run is acknowledged only once its effects are in the store. A new owner of
the schedule therefore knows every run that may exist, and no attempt number is used twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.evacuation.evacuator import Evacuator
from toucandoor.core.jobs.models import JobState
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.placer import Placer
from toucandoor.core.scheduling.planned_stops import PlannedStops
from toucandoor.core.scheduling.policies import Policies
from toucandoor.core.scheduling.pool_loads import PoolLoads
from toucandoor.core.scheduling.progress import JobProgress
from toucandoor.core.scheduling.progress_writer import ProgressWriter
from toucandoor.core.scheduling.retention import Retention
from toucandoor.core.scheduling.run_ends import RunEnds
from toucandoor.core.scheduling.run_orders import RunOrders
from toucandoor.core.scheduling.run_time_records import RunTimeRecords
from toucandoor.core.scheduling.settings import SchedulerSettings
from toucandoor.core.scheduling.start_conditions import may_send_start
from toucandoor.core.scheduling.state import ScheduleState
from toucandoor.core.scheduling.worker_registry import WorkerRegistry
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import RunKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.clock import Clock
    from toucandoor.core.copies.models import CopyCounts, CopyPolicy
    from toucandoor.core.evacuation.requests import EvacuationRequests
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.jobs.models import JobSpec, StepKey
    from toucandoor.core.jobs.records import ProgressRecord
    from toucandoor.core.records import Record
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.activity import Activity
    from toucandoor.core.scheduling.orders import Commit, Order
    from toucandoor.core.scheduling.run_gaps import RunGaps
    from toucandoor.core.scheduling.step_order import TeamFigures
    from toucandoor.core.scheduling.unbegun_runs import UnbegunRuns
    from toucandoor.core.scheduling.workers import Advice, StatusReport, WorkerEntry
    from toucandoor.ids import FencingToken, JobId, WorkerId

WAKE_S_MAX = 0.25
"""Longest time between two placements."""
WAKE_S_MIN = 0.005
"""Shortest time between two placements; about as long as the store takes to answer."""

__all__ = ["Scheduler", "SchedulerSettings"]


class Scheduler:
    """Scheduler of all pools for one term of ownership.

    Args:
        settings: Settings of the term.
        clock: Source of monotonic and wall-clock time.
        evacuations: Requests to evacuate data centres; None if they are not supported.
        run_times: Expected run times of tasks; by default they are learned.
        policies: Creates the policies; by default none is switched off.

    Attributes:
        evacuation: Empties the servers of evacuated data centres.
        registry: Adds, updates and removes backend servers, and prepares planned ends of VMs.
        run_orders: Processes the answers to starts, stops and speed limits.
        retention: Plans the removal of records of ended jobs.
        planned_stops: Stops long-running tasks on servers that leave, once others have room.
        pool_loads: Counts the load of the pools.
        run_time_records: Writes what has been learned about run times, and starts from it.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        clock: Clock,
        evacuations: EvacuationRequests | None = None,
        run_times: RunTimeModel | None = None,
        policies: Policies | None = None,
    ) -> None:
        self._state = ScheduleState(settings, clock, policies or Policies(), run_times)
        self.evacuation = Evacuator(self._state, evacuations)
        self._state.may_start = self.evacuation.may_start
        self.registry = WorkerRegistry(self._state)
        self.run_orders = RunOrders(self._state, self.registry)
        self._ends = RunEnds(self._state, self.registry.crashes)
        self._placer = Placer(self._state)
        self._writer = ProgressWriter(self._state)
        self.retention = Retention(self._state, settings.status_retention_s)
        self.planned_stops = PlannedStops(self._state)
        self.pool_loads = PoolLoads(self._state, self.planned_stops)
        self.run_time_records = RunTimeRecords(self._state)
        self._copies: CopyPolicy = self._state.policies.copies(self._state)

    @property
    def token(self) -> FencingToken:
        """Fencing token of this owner."""
        return self._state.settings.token

    @property
    def superseded(self) -> bool:
        """Whether another owner has been detected."""
        return self._state.superseded

    @property
    def state(self) -> ScheduleState:
        """The schedule, for reports that only read it."""
        return self._state

    @property
    def configuration(self) -> JobConfiguration | None:
        """Newest configuration; None before the first one."""
        return self._state.configuration

    @property
    def jobs(self) -> dict[JobId, JobProgress]:
        """All jobs."""
        return self._state.jobs

    @property
    def open_jobs(self) -> set[JobId]:
        """Jobs that are not final or that still have runs."""
        return self._state.open_jobs

    @property
    def activity(self) -> Activity:
        """Counts of what this owner has done since its term began."""
        return self._state.activity

    @property
    def run_gaps(self) -> RunGaps:
        """Long-running tasks and jobs that could run and have no run."""
        return self._state.run_gaps

    @property
    def unbegun_runs(self) -> UnbegunRuns:
        """Planned runs that do not begin."""
        return self._state.unbegun_runs

    @property
    def run_times(self) -> RunTimeModel:
        """Expected run times of tasks."""
        return self._state.run_times

    @property
    def copies(self) -> CopyCounts:
        """Counts of the copies of this owner's term."""
        return self._copies.counts

    @property
    def workers(self) -> dict[WorkerId, WorkerView]:
        """Latest boot of each backend server."""
        return self._state.workers

    @property
    def invalid_weights(self) -> int:
        """Number of teams of the configuration in force whose weight is ignored."""
        return self._state.rates.invalid_weights

    def team_figures(self) -> list[TeamFigures]:
        """Return the figures of the teams; none while no team has a weight."""
        return self._state.order.team_figures(self._state.now_s)

    def suspected_servers(self) -> int:
        """Return the number of backend servers that starts avoid."""
        return sum(map(self._state.failure_domains.suspects, self._state.workers.values()))

    def may_send_start(self, run: Run) -> bool:
        """Return whether a start may be written now. Safe to call from any thread."""
        return self.evacuation.may_start(run) and may_send_start(run)

    # Events from callers and operators

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Apply a newer configuration."""
        self._state.set_configuration(configuration)
        self._state.changed_pools |= set(configuration.pools)

    def add_job(self, spec: JobSpec) -> None:
        """Add an accepted job that has no recorded progress."""
        state = self._state
        known = state.jobs.get(spec.job_id)
        if known is not None:
            self._spec_stored_again(known)
            return
        job = JobProgress(state.identities.adopt(spec), arrived_s=state.now_s)
        state.add_job(job)
        state.mark_changed(job)
        self.pool_loads.add_arrival(job)
        if spec.job_id in self._state.early_cancels:
            self.cancel_job(spec.job_id)

    def _spec_stored_again(self, job: JobProgress) -> None:
        """Handle the record of a known job's specification, which a repeated submission wrote."""
        job.spec_stored = True
        if not job.spec_needed:
            self._state.mark_changed(job)

    def restore_job(self, spec: JobSpec, record: ProgressRecord, revision: int) -> None:
        """Add a job with the progress that a former owner has recorded.

        Args:
            spec: The job.
            record: Its recorded progress.
            revision: Revision of that record in the store.
        """
        state = self._state
        job = JobProgress(state.identities.adopt(spec), arrived_s=state.now_s)
        runs = job.restore(record, revision)
        state.add_job(job, has_runs=bool(runs))
        if not record.address and state.identities.address_of(job.spec.queue):
            # An older build has written it; only the address outlasts the queue's name.
            state.mark_changed(job)
        for task, stored in runs:
            worker = self.registry.boot_of_run(stored)
            key = RunKey(task.key, stored.attempt)
            run = Run(key, task, worker, RunState.RECOVERED, state.now_s)
            run.reported = run.settled_noted = stored.settled
            run.starts_unanswered = 0 if stored.settled else 1
            run.from_former_boot = worker.entry.booted_unix_ms != stored.worker_booted_unix_ms
            state.attach(run)
            if stored.settled:
                state.mark_begun(job, recovered=True)
            if run.from_former_boot:
                self.registry.run_of_former_boot(run)
            if job.state.final or task.done:
                state.request_stop(run)

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job: its runs are stopped and no task of it starts again."""
        job = self._state.jobs.get(job_id)
        if job is None:
            self._state.early_cancels.add(job_id)
            return
        if job.cancelled:
            return
        job.cancelled = True
        if not job.state.final:
            self._state.finish(job, JobState.CANCELLED)

    # Events from backend servers

    def worker_listed(self, entry: WorkerEntry) -> None:
        """Process a new or changed entry of a backend server in the platform's list."""
        self.registry.listed(entry)

    def worker_unlisted(self, worker_id: WorkerId) -> None:
        """Process the removal of a backend server from the platform's list."""
        self.registry.unlisted(worker_id)

    def heartbeat_answered(self, worker: WorkerView, report: StatusReport, sent_s: float) -> None:
        """Process the status report of a backend server.

        Args:
            worker: Boot that the heartbeat was sent to.
            report: Its answer.
            sent_s: When the heartbeat was sent, on the monotonic clock.
        """
        state = self._state
        worker.heartbeat_in_flight = False
        worker.heartbeat_failures = 0
        if worker.ended:
            return
        if report.booted_unix_ms > worker.entry.booted_unix_ms > 0:
            self.registry.later_boot_answered(worker, report.booted_unix_ms)
            return
        worker.answered_s = state.now_s
        worker.lost_runs.clear()
        worker.acknowledgement_confirmed = worker.acknowledgement_in_flight
        worker.update_clock(report.clock_ms, state.now_s)
        if not worker.contacted and sent_s >= worker.contact_required_s:
            worker.contacted = True
            state.changed_pools.add(worker.entry.pool)
        worker.next_heartbeat_s = state.now_s
        self._ends.process_report(worker, report, sent_s)
        self.run_orders.adjust_speed_limits(worker)
        if worker.uncommitted:
            worker.next_heartbeat_s = state.now_s + const.UNCOMMITTED_HEARTBEAT_PAUSE_S
        elif worker.unknown_runs and not worker.runs:
            worker.next_heartbeat_s = state.now_s + const.STOP_RETRY_S
        self._acknowledge(worker)

    def advice_answered(self, key: StepKey, advice: Advice | None) -> None:
        """Process the adviser's answer for a step; None if it did not answer."""
        self._placer.advice_answered(key, advice)

    # Writes to the store and their results

    def commits(self) -> list[Commit]:
        """Return the progress writes to make now."""
        return self._writer.commits()

    def commit_done(self, commit: Commit, revision: int) -> None:
        """Process a progress write that is in the store."""
        self._writer.done(commit, revision)
        for worker in self._state.workers.values():
            if worker.uncommitted:
                self._acknowledge(worker)

    def commit_failed(self, commit: Commit, present: Iterable[Record] | None) -> None:
        """Process a progress write that met a conflict, was not made, or may have been made.

        Args:
            commit: The write.
            present: The expected records as the store has them, if the write met a conflict; None
                if the write was not made or may have been made.
        """
        self._writer.failed(commit, present)

    def commit_rejected(self, commit: Commit) -> None:
        """Process a progress write that the store rejects as invalid."""
        self._writer.rejected(commit)

    @property
    def unwritable_jobs(self) -> int:
        """Number of jobs whose latest record was rejected by the store."""
        return self._writer.unwritable_jobs

    def pending_commit(self) -> Transaction | None:
        """Return the write of the count of waiting jobs; None while the stored count is current."""
        return self._writer.pending_commit()

    def pending_written(self, *, ok: bool) -> None:
        """Process the result of writing the count of waiting jobs."""
        self._writer.pending_written(ok=ok)

    def _acknowledge(self, worker: WorkerView) -> None:
        """Acknowledge the ended runs of a backend server if all their effects are in the store."""
        state = self._state
        worker.uncommitted = [
            (job_id, version)
            for job_id, version in worker.uncommitted
            if state.jobs[job_id].committed_version < version
        ]
        if not worker.uncommitted and worker.ends_committed != worker.ends_processed:
            worker.ends_committed = worker.ends_processed
            worker.next_heartbeat_s = min(worker.next_heartbeat_s, state.now_s)

    # Next orders, finished jobs and load

    def orders(self) -> list[Order]:
        """Place waiting tasks and return the orders to carry out now."""
        self._ends.samples.refresh_if_due()
        self._placer.open_occurrences()
        self.registry.discard_expired()
        self._state.failure_domains.update(self._state.workers)
        self._state.held_room.release_unneeded()
        orders: list[Order] = []
        if self.evacuation.prepare():
            orders = self._placer.place()
            self._copies.plan(self._placer.plan_run)
        self.evacuation.advance()
        self.planned_stops.advance()
        self._state.run_gaps.review()
        self._state.unbegun_runs.review()
        return orders + self.run_orders.due()

    def next_wake_s(self) -> float:
        """Return the time in seconds until `orders` must be called again if no event arrives."""
        until_s = self.run_orders.next_heartbeat_s - self._state.now_s
        return min(max(until_s, WAKE_S_MIN), WAKE_S_MAX)

    def pop_finished(self) -> list[JobProgress]:
        """Return the jobs that have ended since the last call."""
        finished, self._state.finished = self._state.finished, []
        return finished

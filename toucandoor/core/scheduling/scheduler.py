"""The scheduler: decides without I/O which task runs where, and handles the ends of runs.

Callers pass in events through methods named after them; `orders`, `commits`, `pending_commit` and
`removal` return what is to be done next. The start of a run is sent only once its record is in the
store, and the end of a run is acknowledged only once its effects are in the store. A new owner of
the schedule therefore knows every run that may exist, and no attempt number is used twice.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

from toucandoor.core.copies.spare_capacity import SpareCapacityCopies
from toucandoor.core.evacuation.evacuator import Evacuator
from toucandoor.core.jobs.models import JobState
from toucandoor.core.records import Transaction
from toucandoor.core.run_times.learned import LearnedRunTimes
from toucandoor.core.run_times.snapshots import (
    RUN_TIMES_KEY,
    RunTimeSnapshots,
    restore_run_times,
)
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.arrivals import Arrival
from toucandoor.core.scheduling.ceiling_demand import CeilingDemand
from toucandoor.core.scheduling.placement import allowed_workers, room_for_step
from toucandoor.core.scheduling.placer import Placer
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.core.scheduling.progress import JobProgress, StepProgress
from toucandoor.core.scheduling.progress_writer import ProgressWriter
from toucandoor.core.scheduling.queue_order import remaining_chain_s
from toucandoor.core.scheduling.retention import Retention
from toucandoor.core.scheduling.run_ends import RunEnds
from toucandoor.core.scheduling.run_orders import RunOrders
from toucandoor.core.scheduling.state import SchedulerSettings, ScheduleState
from toucandoor.core.scheduling.worker_registry import WorkerRegistry
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import OrderRefusal, RunKey

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.clock import Clock
    from toucandoor.core.copies.models import CopyCounts, CopyPolicy
    from toucandoor.core.evacuation.requests import EvacuationRequests
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.jobs.models import JobSpec, Resources, StepKey
    from toucandoor.core.jobs.records import ProgressRecord
    from toucandoor.core.records import Record
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.activity import Activity
    from toucandoor.core.scheduling.orders import Commit, Order
    from toucandoor.core.scheduling.step_order import TeamFigures
    from toucandoor.core.scheduling.workers import Advice, Boot, StatusReport, WorkerEntry
    from toucandoor.ids import FencingToken, JobId, PoolId, VmId, WorkerId

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

    Attributes:
        evacuation: Empties the servers of evacuated data centres.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        clock: Clock,
        evacuations: EvacuationRequests | None = None,
        run_times: RunTimeModel | None = None,
    ) -> None:
        self._state = ScheduleState(settings, clock, run_times)
        self.evacuation = Evacuator(self._state, evacuations)
        self._state.may_start = self.evacuation.may_start
        self._registry = WorkerRegistry(self._state)
        self._orders = RunOrders(self._state, self._registry)
        self._ends = RunEnds(self._state)
        self._placer = Placer(self._state)
        self._writer = ProgressWriter(self._state)
        self._retention = Retention(self._state, settings.status_retention_s)
        self._arrivals: deque[JobProgress] = deque()
        model = self._state.run_times
        self._snapshots = (
            RunTimeSnapshots(model, clock) if isinstance(model, LearnedRunTimes) else None
        )
        self._copies: CopyPolicy = SpareCapacityCopies(self._state)

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

    def unresponsive_leases_s(self) -> dict[Boot, float]:
        """Return the longest time, in s, until the lease of each unresponsive boot expires."""
        return self._registry.unresponsive_leases_s()

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
        job = JobProgress(spec, arrived_s=state.now_s)
        state.jobs[spec.job_id] = job
        state.open_jobs.add(spec.job_id)
        state.order.on_job_added(job, state.now_s)
        state.mark_changed(job)
        if not spec.timed and not spec.long_running:
            self._arrivals.append(job)
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
        job = JobProgress(spec, arrived_s=state.now_s)
        runs = job.restore(record, revision)
        state.jobs[spec.job_id] = job
        state.order.on_job_added(job, state.now_s)
        if not job.state.final or runs:
            state.open_jobs.add(spec.job_id)
        for task, stored in runs:
            worker = self._registry.boot_of_run(stored.worker_id, stored.worker_booted_unix_ms)
            key = RunKey(task.key, stored.attempt)
            run = Run(key, task, worker, RunState.RECOVERED, state.now_s)
            state.attach(run)
            if job.state.final or task.done:
                state.request_stop(run)

    def add_ended(self, job_id: JobId, finished_unix_ms: int) -> None:
        """Add a job that ended under a former owner, so that its records are removed in time.

        Args:
            job_id: The job.
            finished_unix_ms: When it reached its final state.
        """
        self._retention.add_ended(job_id, finished_unix_ms)

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
        self._registry.listed(entry)

    def worker_unlisted(self, worker_id: WorkerId) -> None:
        """Process the removal of a backend server from the platform's list."""
        self._registry.unlisted(worker_id)

    def workers_by_vm(self) -> dict[VmId, WorkerView]:
        """Return the latest boot of a backend server on each VM."""
        return self._registry.by_vm()

    def vacate(self, worker: WorkerView, *, at_once: bool) -> None:
        """Stop runs on a VM before its planned end, as far as availability promises allow.

        Args:
            worker: The backend server on the VM.
            at_once: Also stop tasks that would lose their work.
        """
        self._registry.vacate(worker, at_once=at_once)

    def require_heartbeat(self, worker: WorkerView) -> None:
        """Assign nothing new to a backend server until it has answered another heartbeat."""
        self._registry.require_heartbeat(worker)

    def boot_ended(self, worker: WorkerView, reason: str) -> None:
        """Mark a boot as ended, as its VM has been stopped; it gets no more orders.

        Args:
            worker: The boot.
            reason: End of the log message; says how the boot ended.
        """
        self._registry.boot_ended(worker, reason)

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
        if report.booted_unix_ms > worker.entry.booted_unix_ms > 0:
            self._registry.boot_ended(worker, "restarted")
            return
        worker.answered_s = state.now_s
        worker.acknowledgement_confirmed = worker.acknowledgement_in_flight
        worker.update_clock(report.clock_ms, state.now_s)
        if not worker.contacted:
            worker.contacted = True
            state.changed_pools.add(worker.entry.pool)
        worker.next_heartbeat_s = state.now_s
        self._ends.process_report(worker, report, sent_s)
        self._orders.adjust_speed_limits(worker)
        if worker.uncommitted:
            worker.next_heartbeat_s = state.now_s + const.UNCOMMITTED_HEARTBEAT_PAUSE_S
        elif worker.unknown_runs and not worker.runs:
            worker.next_heartbeat_s = state.now_s + const.STOP_RETRY_S
        self._acknowledge(worker)

    def heartbeat_failed(self, worker: WorkerView, refusal: OrderRefusal | None) -> None:
        """Process a heartbeat that was refused, or got no answer (None)."""
        self._orders.heartbeat_failed(worker, refusal)

    def start_answered(self, run: Run, clock_ms: int) -> None:
        """Process a backend server's confirmation of a start.

        Args:
            run: The run.
            clock_ms: The server's steady clock; 0 if not given.
        """
        self._orders.start_answered(run, clock_ms)

    def start_refused(self, run: Run, refusal: OrderRefusal) -> None:
        """Process a backend server's refusal of a start."""
        self._orders.start_refused(run, refusal)

    def start_not_sent(self, run: Run) -> None:
        """Process a start that was not sent because the ownership was not valid at that moment."""
        self._orders.start_not_sent(run)

    def start_unanswered(self, run: Run) -> None:
        """Process a start without an answer: the run may exist now or later."""
        self._orders.start_unanswered(run)

    def stop_answered(self, run: Run) -> None:
        """Process a confirmed stop: the server ends the run and refuses it from now on."""
        self._orders.stop_answered(run)

    def stop_failed(self, run: Run, refusal: OrderRefusal | None) -> None:
        """Process a stop that was refused, or got no answer (None)."""
        self._orders.stop_failed(run, refusal)

    def speed_limit_answered(self, run: Run, percent: int) -> None:
        """Process a confirmed speed limit of a run."""
        self._orders.speed_limit_answered(run, percent)

    def advice_answered(self, key: StepKey, advice: Advice | None) -> None:
        """Process the adviser's answer for a step; None if it did not answer."""
        job = self._state.jobs.get(key.job_id)
        if job is None:
            return
        step = job.step(key.occurrence, key.step)
        step.advice_in_flight = False
        if advice is not None:
            step.advice = advice
            step.advice_until_s = self._state.now_s + advice.validity_s
            self._state.mark_step_waiting(job, step)

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

    def pending_commit(self) -> Transaction | None:
        """Return the write of the count of waiting jobs; None while the stored count is current."""
        return self._writer.pending_commit()

    def pending_written(self, *, ok: bool) -> None:
        """Process the result of writing the count of waiting jobs."""
        self._writer.pending_written(ok=ok)

    def run_times_commit(self) -> Transaction | None:
        """Return the write of a snapshot of the learned run times; None while none is due."""
        value = self._snapshots.due() if self._snapshots is not None else None
        if value is None:
            return None
        settings = self._state.settings
        return Transaction({settings.owner_key: settings.owner_revision}, {RUN_TIMES_KEY: value})

    def run_times_written(self, *, ok: bool) -> None:
        """Process the result of writing a snapshot."""
        if self._snapshots is not None:
            self._snapshots.written(ok=ok)

    def restore_run_times(self, value: bytes) -> int:
        """Start from the run times that a former owner has learned; return the number of kinds.

        Raises:
            msgspec.MsgspecError: The record can't be used; the run times start from the prior.
        """
        model = self._state.run_times
        if not isinstance(model, LearnedRunTimes):
            return 0
        return restore_run_times(model, value, self._state.now_s)

    def removal(self) -> Transaction | None:
        """Return the next removal of expired job records; None if there is none."""
        return self._retention.removal()

    def removed(self, *, ok: bool) -> None:
        """Process the result of a removal."""
        self._retention.removed(ok=ok)

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
        self._registry.discard_expired()
        self._state.failure_domains.update(self._state.workers)
        orders: list[Order] = []
        if self.evacuation.prepare():
            orders = self._placer.place()
            self._copies.plan(self._placer.plan_run)
        self.evacuation.advance()
        return orders + self._orders.due()

    def next_wake_s(self) -> float:
        """Return the time in seconds until `orders` must be called again if no event arrives."""
        until_s = self._orders.next_heartbeat_s() - self._state.now_s
        return min(max(until_s, WAKE_S_MIN), WAKE_S_MAX)

    def pop_finished(self) -> list[JobProgress]:
        """Return the jobs that have ended since the last call."""
        finished, self._state.finished = self._state.finished, []
        return finished

    def _room_for_lasting(
        self, job: JobProgress, step: StepProgress, now_s: float, leaving: int
    ) -> int | None:
        """Return how many tasks of a long-running step with a limit per server still fit.

        None for other steps, whose servers become free again, and where more servers might not
        help: the team's ceiling, a label or the adviser may be in the way, or a task may be too
        large for any server.
        """
        state, needs = self._state, step.step.needs
        if not step.step.long_running or not step.step.per_worker_max or step.step.required_label:
            return None
        queue = state.queue_of(job)
        if queue is None or queue.adviser is not None:
            return None
        waiting = sum(task.waiting for task in step.tasks)
        if not waiting + leaving or not state.within_ceiling(job, needs.times(waiting)):
            return None
        workers = [each for each in state.workers.values() if each.entry.pool == queue.pool]
        if not any(step.step.reserved.fits_in(each.entry.capacity) for each in workers):
            return None
        return room_for_step(allowed_workers(workers, step, now_s), step)

    def loads(self, lead_s: float = 0.0) -> dict[PoolId, PoolLoad]:
        """Return the load of each pool.

        Of the waiting tasks and arrivals of a team, only what fits under its ceiling at the end of
        the lead time counts: VMs would not help the others.

        Args:
            lead_s: Lead time of `PoolLoad.later` and `PoolLoad.arriving_later`, in seconds.
        """
        state = self._state
        now_s = state.now_s
        loads: dict[PoolId, PoolLoad] = {}
        runs_later: dict[tuple[JobId, int], bool] = {}
        waiting: list[tuple[JobProgress, StepProgress]] = []
        demand = CeilingDemand(state.ceiling_of, state.used_by)

        def load_of(pool: PoolId) -> PoolLoad:
            return loads.setdefault(pool, PoolLoad(pool))

        leaving: Counter[StepKey] = Counter()
        for worker in state.workers.values():
            if worker.evacuated:
                leaving.update(run.task.key.step_key for run in self.evacuation.leaving(worker))
            if not worker.usable(now_s):
                continue
            load = load_of(worker.entry.pool)
            load.add_worker(worker)
            for run in worker.runs.values():
                if run.is_copy:
                    continue  # uses what others leave; no VM is lent for it
                key = (run.task.key.job_id, run.task.key.occurrence)
                job = state.jobs[key[0]]
                if key not in runs_later:
                    runs_later[key] = remaining_chain_s(job, key[1], state.run_times) > lead_s
                load.add_run(run, later=runs_later[key])
                if not runs_later[key] and not run.task.step.long_running:
                    demand.add_ending(job.spec.team, run.task.step.needs)
        for job_id in state.open_jobs:
            job = state.jobs[job_id]
            if job.state.final:
                continue
            load_of(state.pool_of(job))
            for step in job.steps.values():
                if step.remaining and job.runnable(step):
                    waiting.append((job, step))
                    tasks = sum(task.waiting for task in step.tasks)
                    demand.add_waiting(job.spec.team, step.step.needs.times(tasks))
        ratios = demand.waiting_ratios()
        for job, step in waiting:
            ratio = ratios.get(job.spec.team, 1.0)
            count = leaving[step.key]
            room = self._room_for_lasting(job, step, now_s, count)
            load_of(state.pool_of(job)).add_waiting(step, room=room, ratio=ratio, leaving=count)
        self._add_arrivals(load_of, demand, now_s, lead_s)
        return loads

    def _add_arrivals(
        self,
        load_of: Callable[[PoolId], PoolLoad],
        demand: CeilingDemand,
        now_s: float,
        lead_s: float,
    ) -> None:
        """Add the jobs that have arrived within the window to the loads of their pools."""
        window_s = const.ARRIVAL_WINDOW_S
        while self._arrivals and self._arrivals[0].arrived_s < now_s - window_s:
            self._arrivals.popleft()
        state = self._state
        # Estimated now and not on arrival, so that what has been learned meanwhile counts.
        arrivals: list[tuple[Arrival, Resources]] = []
        for job in self._arrivals:
            pool = state.pool_of(job)
            arrival = Arrival.of_job(job.arrived_s, pool, job.spec, state.run_times)
            later = arrival.needed_after(lead_s).times(1 / window_s)
            arrivals.append((arrival, later))
            demand.add_arriving(arrival.team, arrival.work.times(1 / window_s), later)
        ratios = demand.arriving_ratios()
        for arrival, later in arrivals:
            load = load_of(arrival.pool)
            ratio, ratio_later = ratios.get(arrival.team, (1.0, 1.0))
            load.arriving_cpu_millicores += arrival.work.cpu_millicores * ratio / window_s
            if ratio_later < 1.0:
                later = later.times(ratio_later)
            load.arriving_later = load.arriving_later + later

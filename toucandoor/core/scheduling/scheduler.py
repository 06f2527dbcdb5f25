"""The schedule: decides which task runs where and what follows from every end, without I/O.

Events come in through the methods named after them; `orders` and `commits` return what is to be
done next. A run's start is sent only after the record that names it is in the store, and an end is
acknowledged only after its effect is, so that a new owner of the schedule knows all runs that may
exist and no attempt number is used twice.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import JobState
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.placer import Placer
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.core.scheduling.progress import JobProgress
from toucandoor.core.scheduling.progress_writer import ProgressWriter
from toucandoor.core.scheduling.queue_order import work_core_ms
from toucandoor.core.scheduling.retention import Retention
from toucandoor.core.scheduling.run_ends import RunEnds
from toucandoor.core.scheduling.run_orders import RunOrders
from toucandoor.core.scheduling.state import SchedulerSettings, ScheduleState
from toucandoor.core.scheduling.worker_registry import WorkerRegistry
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import OrderRefusal, RunKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.jobs.models import JobSpec, StepKey
    from toucandoor.core.jobs.records import ProgressRecord
    from toucandoor.core.records import Record, Transaction
    from toucandoor.core.scheduling.orders import Commit, Order
    from toucandoor.core.scheduling.workers import Advice, Boot, Listing, WorkerEntry
    from toucandoor.ids import FencingToken, JobId, PoolId, VmId, WorkerId

WAKE_S_MAX = 0.25
"""Longest time without a look at what waits."""
WAKE_S_MIN = 0.005
"""Shortest; a store's answer takes about as long."""

__all__ = ["Scheduler", "SchedulerSettings"]


class Scheduler:
    """Decides for all pools, for as long as its process owns the schedule."""

    def __init__(self, settings: SchedulerSettings, clock: Clock) -> None:
        self._state = ScheduleState(settings, clock)
        self._registry = WorkerRegistry(self._state)
        self._orders = RunOrders(self._state, self._registry)
        self._ends = RunEnds(self._state)
        self._placer = Placer(self._state)
        self._writer = ProgressWriter(self._state)
        self._retention = Retention(self._state, settings.status_kept_s)
        self._early_cancels: set[JobId] = set()
        self._arrivals: deque[tuple[float, PoolId, float]] = deque()

    @property
    def token(self) -> FencingToken:
        """Fencing token of this owner."""
        return self._state.settings.token

    @property
    def deposed(self) -> bool:
        """Whether another owner has been met."""
        return self._state.deposed

    @property
    def configuration(self) -> JobConfiguration | None:
        """Newest configuration; None before the first."""
        return self._state.configuration

    @property
    def jobs(self) -> dict[JobId, JobProgress]:
        """All jobs."""
        return self._state.jobs

    @property
    def workers(self) -> dict[WorkerId, WorkerView]:
        """Latest boot of each backend server."""
        return self._state.workers

    def silent_workers(self) -> dict[Boot, float]:
        """Return when the leases of servers that do not answer end, in seconds from now."""
        return self._registry.silent()

    # What callers and operators want

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Take a newer configuration."""
        self._state.configuration = configuration
        self._state.stale_pools |= set(configuration.pools)

    def add_job(self, spec: JobSpec) -> None:
        """Take a job that has been accepted."""
        state = self._state
        if spec.job_id in state.jobs:
            return
        job = JobProgress(spec, arrived_s=state.now_s)
        state.jobs[spec.job_id] = job
        state.open_jobs.add(spec.job_id)
        state.touch(job)
        if not spec.timed and not spec.long_running:
            self._arrivals.append((job.arrived_s, state.pool_of(job), work_core_ms(spec)))
        if spec.job_id in self._early_cancels:
            self.cancel_job(spec.job_id)

    def restore_job(self, spec: JobSpec, record: ProgressRecord, revision: int) -> None:
        """Take a job with the progress that a former owner has written."""
        state = self._state
        job = JobProgress(spec, arrived_s=state.now_s)
        runs = job.restore(record, revision)
        state.jobs[spec.job_id] = job
        if not job.state.final or runs:
            state.open_jobs.add(spec.job_id)
        for task, kept in runs:
            worker = self._registry.of_run(kept.worker_id, kept.worker_born_unix_ms)
            key = RunKey(task.key, kept.attempt)
            run = Run(key, task, worker, RunState.RECOVERED, state.now_s)
            state.attach(run)
            if job.state.final or task.done:
                state.want_stop(run)

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job; its runs are stopped and nothing of it starts again."""
        job = self._state.jobs.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
            return
        if job.cancelled:
            return
        job.cancelled = True
        if not job.state.final:
            self._state.finish(job, JobState.CANCELLED)

    # Backend servers

    def worker_listed(self, entry: WorkerEntry) -> None:
        """Note what a backend server says of itself in the platform's list."""
        self._registry.listed(entry)

    def worker_unlisted(self, worker_id: WorkerId) -> None:
        """Note that the platform's list no longer names a backend server."""
        self._registry.unlisted(worker_id)

    def workers_by_vm(self) -> dict[VmId, WorkerView]:
        """Return the latest backend server on each VM."""
        return self._registry.by_vm()

    def vacate(self, worker: WorkerView, *, at_once: bool) -> None:
        """Stop what keeps a VM from a planned end, as far as promises of availability allow."""
        self._registry.vacate(worker, at_once=at_once)

    def recheck(self, worker: WorkerView) -> None:
        """Give a backend server nothing new until it has answered again."""
        self._registry.recheck(worker)

    def hold_answered(self, worker: WorkerView, listing: Listing, sent_s: float) -> None:
        """Take a backend server's own account of its runs.

        Args:
            worker: Which boot was asked.
            listing: What it says.
            sent_s: When it was asked, on the monotonic clock.
        """
        state = self._state
        worker.hold_in_flight = False
        worker.hold_failures = 0
        if listing.born_unix_ms > worker.entry.born_unix_ms > 0:
            self._registry.ended(worker, "restarted")
            return
        worker.answered_s = state.now_s
        worker.acknowledgement_sent = worker.acknowledging
        worker.read_clock(listing.clock_ms, state.now_s)
        if not worker.held:
            worker.held = True
            state.stale_pools.add(worker.entry.pool)
        worker.next_hold_s = state.now_s
        self._ends.take(worker, listing, sent_s)
        self._orders.looked_at(worker)
        if worker.uncommitted:
            worker.next_hold_s = state.now_s + const.HOLD_UNCOMMITTED_S
        self._acknowledge(worker)

    def hold_failed(self, worker: WorkerView, refusal: OrderRefusal | None) -> None:
        """Note that a hold was refused, or got no answer (None)."""
        self._orders.hold_failed(worker, refusal)

    def start_answered(self, run: Run, clock_ms: int) -> None:
        """Note that a backend server has a run."""
        self._orders.start_answered(run, clock_ms)

    def start_refused(self, run: Run, refusal: OrderRefusal) -> None:
        """Note that a backend server did not start a run."""
        self._orders.start_refused(run, refusal)

    def start_not_sent(self, run: Run) -> None:
        """Note that a start was not sent, as the ownership was not valid at that moment."""
        self._orders.start_not_sent(run)

    def start_unanswered(self, run: Run) -> None:
        """Note that a start got no answer: the run may exist, now or later."""
        self._orders.start_unanswered(run)

    def stop_answered(self, run: Run) -> None:
        """Note that a backend server refuses a run from now on, and ends it if it has it."""
        self._orders.stop_answered(run)

    def stop_failed(self, run: Run, refusal: OrderRefusal | None) -> None:
        """Note that a stop was refused, or got no answer (None)."""
        self._orders.stop_failed(run, refusal)

    def pace_answered(self, run: Run, percent: int) -> None:
        """Note the speed at which a run works now."""
        self._orders.pace_answered(run, percent)

    def advice_answered(self, key: StepKey, advice: Advice | None) -> None:
        """Note what an adviser said; None where it did not answer."""
        job = self._state.jobs.get(key.job_id)
        if job is None:
            return
        step = job.step(key.occurrence, key.step)
        step.advice_in_flight = False
        if advice is not None:
            step.advice = advice
            step.advice_until_s = self._state.now_s + advice.validity_s
            self._state.step_waits(job, step)

    # The store

    def commits(self) -> list[Commit]:
        """Return the writes of progress to make now."""
        return self._writer.commits()

    def commit_done(self, commit: Commit, revision: int) -> None:
        """Note that a write is in the store."""
        self._writer.done(commit, revision)
        for worker in self._state.workers.values():
            if worker.uncommitted:
                self._acknowledge(worker)

    def commit_failed(self, commit: Commit, present: Iterable[Record] | None) -> None:
        """Note that a write was not made, or may have been (None), or met a conflict."""
        self._writer.failed(commit, present)

    def pending_commit(self) -> Transaction | None:
        """Return the write of the count of waiting jobs, None while it need not change."""
        return self._writer.pending_commit()

    def pending_written(self, *, ok: bool) -> None:
        """Note whether the count of waiting jobs is in the store."""
        self._writer.pending_written(ok=ok)

    def removal(self) -> Transaction | None:
        """Return the removal of records that nobody may ask for any more, None for none."""
        return self._retention.removal()

    def removed(self, *, ok: bool) -> None:
        """Note whether the removal has been made."""
        self._retention.removed(ok=ok)

    def _acknowledge(self, worker: WorkerView) -> None:
        """Let a backend server forget its ends once all that follows from them is in the store."""
        state = self._state
        worker.uncommitted = [
            (job_id, version)
            for job_id, version in worker.uncommitted
            if state.jobs[job_id].committed_version < version
        ]
        if not worker.uncommitted and worker.ends_acknowledged != worker.ends_seen:
            worker.ends_acknowledged = worker.ends_seen
            worker.next_hold_s = min(worker.next_hold_s, state.now_s)

    # What to do next

    def orders(self) -> list[Order]:
        """Place what waits and return the orders to carry out now."""
        self._placer.open_occurrences()
        self._registry.forget_lapsed()
        orders = self._placer.place()
        return orders + self._orders.due()

    def next_wake_s(self) -> float:
        """Return how long nothing needs to be done unless an event comes, in seconds."""
        until_s = self._orders.next_hold_s() - self._state.now_s
        return min(max(until_s, WAKE_S_MIN), WAKE_S_MAX)

    def take_finished(self) -> list[JobProgress]:
        """Return the jobs that have ended since the last call."""
        finished, self._state.finished = self._state.finished, []
        return finished

    def loads(self) -> dict[PoolId, PoolLoad]:
        """Return the load of each pool."""
        state = self._state
        now_s = state.now_s
        loads: dict[PoolId, PoolLoad] = {}

        def load_of(pool: PoolId) -> PoolLoad:
            return loads.setdefault(pool, PoolLoad(pool))

        for worker in state.workers.values():
            if worker.usable(now_s):
                load_of(worker.entry.pool).add_server(worker)
        for job_id in state.open_jobs:
            job = state.jobs[job_id]
            if job.state.final:
                continue
            load = load_of(state.pool_of(job))
            for step in job.steps.values():
                if step.undone and job.runnable(step):
                    load.add_waiting(step)
        while self._arrivals and self._arrivals[0][0] < now_s - const.ARRIVAL_WINDOW_S:
            self._arrivals.popleft()
        for _, pool, core_ms in self._arrivals:
            load_of(pool).arriving_cpu_millicores += core_ms / const.ARRIVAL_WINDOW_S
        return loads

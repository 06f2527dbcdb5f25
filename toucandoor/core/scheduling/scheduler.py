"""The schedule: decides which task runs where and what follows from every end, without I/O.

Events come in through the methods named after them; `orders` and `commits` return what is to be
done next. A run's start is sent only after the record that names it is in the store, and an end is
acknowledged only after its effect is, so that a new owner of the schedule knows all runs that may
exist and no attempt number is used twice.
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.models import NOTHING, JobState, Resources, StepKey, TaskKey
from toucandoor.core.jobs.records import PENDING_KEY, PendingRecord, encode, progress_key
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.orders import (
    AskAdvice,
    Commit,
    HoldWorker,
    Order,
    StartRun,
    StopRun,
)
from toucandoor.core.scheduling.placement import allowed_workers, choose_worker
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.core.scheduling.progress import JobProgress, StepProgress, Task
from toucandoor.core.scheduling.queue_order import step_rank, work_core_ms
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import (
    EndedRun,
    EndReason,
    Listing,
    OrderRefusal,
    RunKey,
    StartOrder,
    WorkerEntry,
)
from toucandoor.ids import DataCentreId, PoolId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.configuration import JobConfiguration, JobQueue
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.jobs.records import ProgressRecord
    from toucandoor.core.records import Record
    from toucandoor.core.scheduling.workers import Advice
    from toucandoor.ids import FencingToken, JobId, QueueId, TeamId, VmId, WorkerId

_LOGGER = logging.getLogger(__name__)
_MS: Final = 1000
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
        former_lease_s: Longest time for which a former owner's leases may still hold.
    """

    owner_key: str
    owner_revision: int
    token: FencingToken
    lease_s: float
    former_lease_s: float


class Scheduler:
    """Decides for all pools, for as long as its process owns the schedule."""

    def __init__(self, settings: SchedulerSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._began_s = clock.monotonic_s()
        self.configuration: JobConfiguration | None = None
        self.jobs: dict[JobId, JobProgress] = {}
        self.workers: dict[WorkerId, WorkerView] = {}
        self.deposed = False
        self._gone: list[WorkerView] = []
        self._open: set[JobId] = set()
        self._dirty: dict[JobId, None] = {}
        self._planned: dict[JobId, list[Run]] = {}
        self._commits_in_flight = 0
        self._pending_written: dict[QueueId, int] | None = None
        self._pending_revision = 0
        self._pending_next_s = 0.0
        self._pending_in_flight = False
        self._team_used: dict[TeamId, Resources] = {}
        self._early_cancels: set[JobId] = set()
        self._arrivals: deque[tuple[float, PoolId, float]] = deque()

    @property
    def token(self) -> FencingToken:
        """Fencing token of this owner."""
        return self._settings.token

    # What callers and operators want

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Take a newer configuration."""
        self.configuration = configuration

    def add_job(self, spec: JobSpec) -> None:
        """Take a job that has been accepted."""
        if spec.job_id in self.jobs:
            return
        job = JobProgress(spec, arrived_s=self._clock.monotonic_s())
        self.jobs[spec.job_id] = job
        self._open.add(spec.job_id)
        self._touch(job)
        if not spec.timed and not spec.long_running:
            self._arrivals.append((job.arrived_s, self._pool_of(job), work_core_ms(spec)))
        if spec.job_id in self._early_cancels:
            self.cancel_job(spec.job_id)

    def restore_job(self, spec: JobSpec, record: ProgressRecord, revision: int) -> None:
        """Take a job with the progress that a former owner has written."""
        job = JobProgress(spec, arrived_s=self._clock.monotonic_s())
        runs = job.restore(record, revision)
        self.jobs[spec.job_id] = job
        if not job.state.final or runs:
            self._open.add(spec.job_id)
        for task, kept in runs:
            worker = self._worker_of_run(kept.worker_id, kept.worker_born_unix_ms)
            run = Run(
                RunKey(task.key, kept.attempt),
                task,
                worker,
                RunState.RECOVERED,
                self._clock.monotonic_s(),
                stop_wanted=job.state.final,
            )
            self._attach(run)

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job; its runs are stopped and nothing of it starts again."""
        job = self.jobs.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
            return
        if job.cancelled:
            return
        job.cancelled = True
        if not job.state.final:
            self._finish(job, JobState.CANCELLED)

    # Backend servers

    def worker_listed(self, entry: WorkerEntry) -> None:
        """Note what a backend server says of itself in the platform's list."""
        known = self.workers.get(entry.worker_id)
        if known is None:
            self.workers[entry.worker_id] = self._known_boot(entry) or self._new_view(entry)
            return
        if entry.born_unix_ms > known.entry.born_unix_ms > 0:
            self._reborn(known, entry)
            return
        if entry.draining and not known.entry.draining:
            _LOGGER.info("workers: %s drains", entry.worker_id, extra={"pool": entry.pool})
        known.entry = entry
        known.listed = True
        if entry.draining:
            self._evacuate(known)

    def worker_unlisted(self, worker_id: WorkerId) -> None:
        """Note that the platform's list no longer names a backend server."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False
            _LOGGER.info("workers: %s left the list", worker_id, extra={"runs": len(worker.runs)})

    def hold_answered(self, worker: WorkerView, listing: Listing, sent_s: float) -> None:
        """Take a backend server's own account of its runs.

        Args:
            worker: Which boot was asked.
            listing: What it says.
            sent_s: When it was asked, on the monotonic clock.
        """
        now_s = self._clock.monotonic_s()
        worker.hold_in_flight = False
        worker.hold_failures = 0
        if listing.born_unix_ms > worker.entry.born_unix_ms > 0:
            self._lost_all(worker, "restarted")
            worker.next_hold_s = now_s + const.HOLD_RETRY_S
            return
        worker.read_clock(listing.clock_ms, now_s)
        worker.held = True
        worker.next_hold_s = now_s
        for ended in listing.ended:
            if ended.number > worker.ends_seen:
                worker.ends_seen = ended.number
                self._run_ended(worker, ended)
        self._compare(worker, listing, sent_s)
        if worker.uncommitted:
            worker.next_hold_s = now_s + const.HOLD_UNCOMMITTED_S
        self._acknowledge(worker)

    def hold_failed(self, worker: WorkerView, refusal: OrderRefusal | None) -> None:
        """Note that a hold was refused, or got no answer (None)."""
        now_s = self._clock.monotonic_s()
        worker.hold_in_flight = False
        worker.next_hold_s = now_s + const.HOLD_RETRY_S
        worker.hold_failures += 1
        if refusal is OrderRefusal.FENCED:
            self.deposed = True
        elif refusal is OrderRefusal.OTHER_BOOT:
            self._lost_all(worker, "replaced")
            worker.listed = False

    def start_answered(self, run: Run, clock_ms: int) -> None:
        """Note that a backend server has a run."""
        now_s = self._clock.monotonic_s()
        run.order_in_flight = False
        if clock_ms:
            run.worker.read_clock(clock_ms, now_s)
        if run.key not in run.worker.runs:
            return
        run.state = RunState.RUNNING
        if run.confirmed_s is None:
            run.confirmed_s = now_s

    def start_refused(self, run: Run, refusal: OrderRefusal) -> None:
        """Note that a backend server did not start a run."""
        now_s = self._clock.monotonic_s()
        run.order_in_flight = False
        worker = run.worker
        if run.key not in worker.runs:
            return
        if refusal is OrderRefusal.FENCED:
            self.deposed = True
            return
        if refusal is OrderRefusal.OTHER_BOOT:
            self._lost_all(worker, "replaced")
            worker.listed = False
            return
        if refusal is OrderRefusal.DEADLINE_PASSED:
            run.next_order_s = now_s
            worker.next_hold_s = now_s
            return
        if refusal is OrderRefusal.SUPERSEDED and run.starts_sent > 1:
            # An earlier copy of this order was carried out and has ended: the listing will tell.
            run.state = RunState.RUNNING
            run.confirmed_s = run.confirmed_s or now_s
            return
        if refusal is OrderRefusal.NO_ROOM:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.NO_ROOM_PAUSE_S)
        elif refusal is OrderRefusal.UNHEALTHY:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.UNHEALTHY_PAUSE_S)
        elif refusal is OrderRefusal.TICKET_INVALID:
            self._step_of(run.task).advice = None
        _LOGGER.info(
            "runs: start refused",
            extra=_run_fields(run) | {"reason": refusal.value},
        )
        if run.starts_sent > 1:
            # A copy without an answer may still be carried out; a stop rules it out.
            run.stop_wanted = True
            return
        self._drop_run(run)

    def start_unanswered(self, run: Run) -> None:
        """Note that a start got no answer: the run may exist, now or later."""
        run.order_in_flight = False
        run.next_order_s = self._clock.monotonic_s() + const.START_RETRY_S
        if run.starts_sent >= const.START_RETRIES_MAX:
            run.stop_wanted = True

    def stop_answered(self, run: Run) -> None:
        """Note that a backend server refuses a run from now on, and ends it if it has it."""
        now_s = self._clock.monotonic_s()
        run.order_in_flight = False
        run.stop_acknowledged = True
        run.stop_sent_s = now_s
        run.worker.next_hold_s = min(run.worker.next_hold_s, now_s)

    def stop_failed(self, run: Run, refusal: OrderRefusal | None) -> None:
        """Note that a stop was refused, or got no answer (None)."""
        run.order_in_flight = False
        run.next_order_s = self._clock.monotonic_s() + const.STOP_RETRY_S
        if refusal is OrderRefusal.FENCED:
            self.deposed = True
        elif refusal is OrderRefusal.OTHER_BOOT:
            self._lost_all(run.worker, "replaced")
            run.worker.listed = False
        elif refusal is OrderRefusal.REJECTED:
            # The server knows nothing of the run, and has ruled it out no less than by a yes.
            self.stop_answered(run)

    def advice_answered(self, key: StepKey, advice: Advice | None) -> None:
        """Note what an adviser said; None where it did not answer."""
        job = self.jobs.get(key.job_id)
        if job is None:
            return
        step = job.step(key.occurrence, key.step)
        step.advice_in_flight = False
        if advice is not None:
            step.advice = advice
            step.advice_until_s = self._clock.monotonic_s() + advice.validity_s

    # The store

    def commits(self) -> list[Commit]:
        """Return the writes of progress to make now."""
        made: list[Commit] = []
        while self._dirty and self._commits_in_flight < const.COMMITS_IN_FLIGHT_MAX:
            commit = self._next_commit()
            if commit is None:
                break
            made.append(commit)
            self._commits_in_flight += 1
        return made

    def commit_done(self, commit: Commit, revision: int) -> None:
        """Note that a write is in the store."""
        self._commits_in_flight -= 1
        for job, version in commit.jobs:
            job.write_in_flight = False
            job.revision = revision
            job.committed_version = max(job.committed_version, version)
            if job.dirty:
                self._dirty[job.spec.job_id] = None
        for run in commit.planned:
            if run.state is RunState.PLANNED:
                run.state = RunState.STARTING
        for worker in [*self.workers.values(), *self._gone]:
            if worker.uncommitted:
                self._acknowledge(worker)

    def commit_failed(self, commit: Commit, present: Iterable[Record] | None) -> None:
        """Note that a write was not made, or may have been.

        Args:
            commit: The write.
            present: The expected records as the store has them, where it named a conflict.
        """
        self._commits_in_flight -= 1
        found = {record.key: record for record in present} if present is not None else None
        if found is not None:
            owner = found.get(self._settings.owner_key)
            if owner is None or owner.revision != self._settings.owner_revision:
                self.deposed = True
        for job, _ in commit.jobs:
            job.write_in_flight = False
            if found is not None:
                record = found.get(progress_key(job.spec.job_id))
                job.revision = record.revision if record is not None else 0
            self._mark_dirty(job)
        for run in commit.planned:
            if run.state is RunState.PLANNED and run.key in run.worker.runs:
                self._planned.setdefault(run.task.key.job_id, []).append(run)

    def _next_commit(self) -> Commit | None:
        chosen: list[JobProgress] = []
        for job_id in self._dirty:
            job = self.jobs[job_id]
            if not job.write_in_flight:
                chosen.append(job)
                if len(chosen) == const.COMMIT_JOBS_MAX:
                    break
        if not chosen:
            return None
        expected = {self._settings.owner_key: self._settings.owner_revision}
        writes: dict[str, bytes] = {}
        planned: list[Run] = []
        versions: list[tuple[JobProgress, int]] = []
        for job in chosen:
            del self._dirty[job.spec.job_id]
            job.dirty = False
            job.write_in_flight = True
            key = progress_key(job.spec.job_id)
            expected[key] = job.revision
            writes[key] = encode(job.record())
            versions.append((job, job.version))
            planned += self._planned.pop(job.spec.job_id, [])
        return Commit(Transaction(expected, writes), tuple(versions), tuple(planned))

    def pending_commit(self) -> Transaction | None:
        """Return the write of the count of waiting jobs, None while it need not change."""
        now_s = self._clock.monotonic_s()
        if self._pending_in_flight or now_s < self._pending_next_s:
            return None
        counts: dict[QueueId, int] = {}
        for job_id in self._open:
            job = self.jobs[job_id]
            if not job.started and not job.state.final:
                counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
        if counts == self._pending_written:
            return None
        self._pending_in_flight = True
        self._pending_written = counts
        self._pending_next_s = now_s + const.PENDING_EVERY_S
        return Transaction(
            {self._settings.owner_key: self._settings.owner_revision},
            {PENDING_KEY: encode(PendingRecord(counts))},
        )

    def pending_written(self, *, ok: bool) -> None:
        """Note whether the count of waiting jobs is in the store."""
        self._pending_in_flight = False
        if not ok:
            self._pending_written = None

    # What to do next

    def orders(self) -> list[Order]:
        """Place what waits and return the orders to carry out now."""
        now_s = self._clock.monotonic_s()
        self._open_occurrences()
        self._expire_lost_workers(now_s)
        orders: list[Order] = []
        self._place(now_s, orders)
        for worker in [*self.workers.values(), *self._gone]:
            self._worker_orders(worker, now_s, orders)
        return orders

    def next_wake_s(self) -> float:
        """Return how long nothing needs to be done unless an event comes."""
        now_s = self._clock.monotonic_s()
        wake_s = 0.25
        for worker in self.workers.values():
            if (worker.runs or not worker.held) and not worker.hold_in_flight:
                wake_s = min(wake_s, worker.next_hold_s - now_s)
        return max(0.005, wake_s)

    def _worker_orders(self, worker: WorkerView, now_s: float, orders: list[Order]) -> None:
        if not worker.entry.address:
            return
        for run in list(worker.runs.values()):
            if run.order_in_flight or now_s < run.next_order_s:
                continue
            order = self._run_order(run, worker, now_s)
            if order is not None:
                run.order_in_flight = True
                orders.append(order)
        wanted = worker.runs or worker.uncommitted or (worker.listed and not worker.held)
        if wanted and not worker.hold_in_flight and now_s >= worker.next_hold_s:
            orders.append(self._hold(worker, now_s))

    def _run_order(self, run: Run, worker: WorkerView, now_s: float) -> Order | None:
        token = self._settings.token
        if run.stop_wanted and not run.stop_acknowledged:
            if run.state is RunState.PLANNED:
                return None
            return StopRun(run, token)
        if run.state is not RunState.STARTING or run.stop_wanted:
            return None
        until_ms = self._extend_lease(worker, now_s)
        if until_ms is None:
            return None
        run.starts_sent += 1
        step = self._step_of(run.task)
        ticket = ""
        if step.advice is not None:
            ticket = step.advice.tickets.get(worker.entry.worker_id, "")
        order = StartOrder(
            run.key,
            self.jobs[run.task.key.job_id].spec.payload,
            until_ms,
            token,
            run.checkpoint,
            ticket,
        )
        return StartRun(run, order)

    def _hold(self, worker: WorkerView, now_s: float) -> HoldWorker:
        worker.hold_in_flight = True
        until_ms = self._extend_lease(worker, now_s) if worker.runs else None
        settled = worker.held and not worker.uncommitted and worker.hold_failures == 0
        stopping = any(run.stop_acknowledged for run in worker.runs.values())
        recovered = any(run.state is RunState.RECOVERED for run in worker.runs.values())
        wait_s = const.HOLD_WAIT_S if settled and worker.runs and not recovered else 0.0
        if stopping:
            wait_s = min(wait_s, const.LAPSE_MARGIN_S)
        return HoldWorker(worker, self._settings.token, until_ms, worker.ends_acknowledged, wait_s)

    def _extend_lease(self, worker: WorkerView, now_s: float) -> int | None:
        """Return the lease's end to send with an order, None where the clock is not known.

        A server that does not answer gets no longer lease: its runs would never count as ended.
        """
        if worker.hold_failures > 0:
            return worker.lease_until_ms or None
        until_ms = worker.lease_end_ms(self._settings.lease_s, now_s)
        if until_ms is not None:
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    # Ends

    def _run_ended(self, worker: WorkerView, ended: EndedRun) -> None:
        run = worker.runs.get(ended.run)
        job = self.jobs.get(ended.run.task.job_id)
        if run is not None:
            self._detach(run)
        if job is None:
            return
        task = _find_task(job, ended.run.task)
        if task is None:
            return
        _LOGGER.info(
            "runs: ended",
            extra={
                "job": job.spec.job_id,
                "task": _task_text(task.key),
                "attempt": ended.run.attempt,
                "worker": worker.entry.worker_id,
                "reason": ended.reason.value,
                "known": run is not None,
            },
        )
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        if ended.reason is EndReason.DONE and not task.step.long_running:
            self._task_done(job, task)
        elif ended.reason is EndReason.FAILED:
            self._task_failed(job, task, ended.run.attempt, worker)
        self._touch(job)
        worker.uncommitted.append((job.spec.job_id, job.version))

    def _task_done(self, job: JobProgress, task: Task) -> None:
        step = job.step(task.key.occurrence, task.key.step)
        done = step.tasks if task.step.gang else [task]
        for each in done:
            if each.done:
                continue
            each.done = True
            step.undone -= 1
            for run in each.runs:
                run.stop_wanted = not task.step.gang
        if not job.state.final and job.all_done:
            self._finish(job, JobState.COMPLETED)

    def _task_failed(self, job: JobProgress, task: Task, attempt: int, worker: WorkerView) -> None:
        if attempt in task.failed_attempts:
            return  # listed again, after a change of owner
        task.avoid.add(worker.entry.worker_id)
        failed = [task]
        if task.step.gang:
            failed = job.step(task.key.occurrence, task.key.step).tasks
        for each in failed:
            each.failed_attempts.add(attempt)
        self._suspect(worker, job, self._clock.monotonic_s())
        if task.step.long_running or task.done or job.state.final:
            return
        if len(task.failed_attempts) >= self._attempts_max(job):
            self._finish(job, JobState.FAILED)

    def _suspect(self, worker: WorkerView, job: JobProgress, now_s: float) -> None:
        recent = now_s - const.FAILURE_WINDOW_S
        worker.failures = [each for each in worker.failures if each[0] >= recent]
        worker.failures.append((now_s, job.spec.job_id))
        if len({job_id for _, job_id in worker.failures}) >= const.FAILURES_TO_SUSPECT:
            worker.paused_until_s = now_s + const.SUSPECT_PAUSE_S
            _LOGGER.warning(
                "workers: %s is suspected",
                worker.entry.worker_id,
                extra={"failures": len(worker.failures), "pause_s": const.SUSPECT_PAUSE_S},
            )

    def _finish(self, job: JobProgress, state: JobState) -> None:
        job.state = state
        job.finished_unix_ms = int(self._clock.now().timestamp() * _MS)
        for step in job.steps.values():
            for task in step.tasks:
                for run in task.runs:
                    run.stop_wanted = True
        _LOGGER.info(
            "jobs: %s", state.value, extra={"job": job.spec.job_id, "queue": job.spec.queue}
        )
        self._touch(job)

    def _compare(self, worker: WorkerView, listing: Listing, sent_s: float) -> None:
        """Settle runs against a listing: confirm those it has, end those it can't have."""
        now_s = self._clock.monotonic_s()
        active = {each.run: each for each in listing.active}
        for run in list(worker.runs.values()):
            seen = active.pop(run.key, None)
            if seen is not None:
                self._seen_active(run, seen.checkpoint, seen.percent, seen.recent, now_s)
                continue
            # Absence proves something only if nothing sent before could still take effect.
            fenced = run.state is RunState.RECOVERED
            was_there = (
                run.state is RunState.RUNNING
                and run.confirmed_s is not None
                and run.confirmed_s < sent_s
            )
            ruled_out = (
                run.stop_acknowledged
                and run.stop_sent_s is not None
                and run.stop_sent_s < sent_s
                and not run.order_in_flight
            )
            if fenced or was_there or ruled_out:
                self._drop_run(run)
        for key, unknown in active.items():
            self._unknown_active(worker, key, unknown.checkpoint, now_s)

    def _seen_active(
        self, run: Run, checkpoint: str, percent: int, recent: int, now_s: float
    ) -> None:
        if run.state in (RunState.STARTING, RunState.RECOVERED):
            run.state = RunState.RUNNING
        if run.confirmed_s is None:
            run.confirmed_s = now_s
        if checkpoint:
            run.task.checkpoint = checkpoint
        run.percent = percent
        run.recent = recent

    def _unknown_active(
        self, worker: WorkerView, key: RunKey, checkpoint: str, now_s: float
    ) -> None:
        """Stop a run that nobody planned here: an order carried out late."""
        job = self.jobs.get(key.task.job_id)
        task = _find_task(job, key.task) if job is not None else None
        if job is None or task is None:
            return
        run = Run(key, task, worker, RunState.RUNNING, now_s, confirmed_s=now_s, stop_wanted=True)
        run.checkpoint = checkpoint
        task.attempt = max(task.attempt, key.attempt)
        self._attach(run)
        self._touch(job)
        _LOGGER.warning("runs: one carried out late is stopped", extra=_run_fields(run))

    def _lost_all(self, worker: WorkerView, why: str) -> None:
        """End all runs of a boot that has ended."""
        if worker.runs:
            _LOGGER.warning(
                "workers: %s %s", worker.entry.worker_id, why, extra={"runs": len(worker.runs)}
            )
        for run in list(worker.runs.values()):
            self._drop_run(run)

    def _drop_run(self, run: Run) -> None:
        """End a run without a word of how it ended."""
        self._detach(run)
        job = self.jobs.get(run.task.key.job_id)
        if job is not None:
            self._touch(job)

    def _reborn(self, known: WorkerView, entry: WorkerEntry) -> None:
        self._lost_all(known, "restarted")
        self.workers[entry.worker_id] = self._new_view(entry)

    def _expire_lost_workers(self, now_s: float) -> None:
        for worker in [*self.workers.values(), *self._gone]:
            silent = worker.hold_failures > 0 or not worker.held
            if worker.runs and silent and worker.lapsed(now_s):
                self._lost_all(worker, "out of reach until its lease lapsed")
        self._gone = [worker for worker in self._gone if worker.runs or worker.uncommitted]
        for worker_id, worker in list(self.workers.items()):
            if not worker.listed and not worker.runs and not worker.uncommitted:
                del self.workers[worker_id]

    def _evacuate(self, worker: WorkerView) -> None:
        """Stop what can go on elsewhere before a backend server leaves."""
        for run in worker.runs.values():
            if run.task.step.long_running or run.task.step.checkpointing:
                run.stop_wanted = True

    def vacate(self, worker: WorkerView, *, at_once: bool) -> None:
        """Stop what keeps a VM from a planned end, as far as promises of availability allow.

        Args:
            worker: The backend server on the VM.
            at_once: Also stop tasks that would lose their work.
        """
        for run in worker.runs.values():
            if run.stop_wanted:
                continue
            step = run.task.step
            if step.long_running:
                if self._may_be_away(run.task):
                    run.stop_wanted = True
            elif at_once or step.checkpointing:
                run.stop_wanted = True

    def workers_by_vm(self) -> dict[VmId, WorkerView]:
        """Return the latest backend server on each VM."""
        found: dict[VmId, WorkerView] = {}
        for worker in self.workers.values():
            vm_id = worker.entry.vm_id
            if vm_id is None:
                continue
            other = found.get(vm_id)
            if other is None or worker.entry.born_unix_ms > other.entry.born_unix_ms:
                found[vm_id] = worker
        return found

    def recheck(self, worker: WorkerView) -> None:
        """Give a backend server nothing new until it has answered again."""
        worker.held = False
        worker.next_hold_s = self._clock.monotonic_s()

    def _may_be_away(self, task: Task) -> bool:
        """Return whether stopping a task keeps what its step promises about availability."""
        allowed = task.step.unavailable_max
        if allowed is None:
            return True
        others = self._step_of(task).tasks
        away = sum(other is not task and not _at_work(other) for other in others)
        return away + 1 <= allowed

    def _acknowledge(self, worker: WorkerView) -> None:
        waiting = [
            (job_id, version)
            for job_id, version in worker.uncommitted
            if job_id in self.jobs and self.jobs[job_id].committed_version < version
        ]
        worker.uncommitted = waiting
        if not waiting and worker.ends_acknowledged != worker.ends_seen:
            worker.ends_acknowledged = worker.ends_seen
            worker.next_hold_s = min(worker.next_hold_s, self._clock.monotonic_s())

    # Placement

    def loads(self) -> dict[PoolId, PoolLoad]:
        """Return the load of each pool."""
        now_s = self._clock.monotonic_s()
        loads: dict[PoolId, PoolLoad] = {}
        for worker in self.workers.values():
            pool = worker.entry.pool
            if worker.usable(now_s):
                loads.setdefault(pool, PoolLoad(pool)).add_server(worker)
        for job_id in self._open:
            job = self.jobs[job_id]
            if job.state.final:
                continue
            pool = self._pool_of(job)
            load = loads.setdefault(pool, PoolLoad(pool))
            for step in job.steps.values():
                if step.undone and job.runnable(step):
                    count = sum(task.waiting for task in step.tasks)
                    load.waiting = load.waiting + step.step.room.times(count)
                    if step.step.per_worker_max:
                        apart = -(-step.undone // step.step.per_worker_max)
                        load.spread_min = max(load.spread_min, apart)
        while self._arrivals and self._arrivals[0][0] < now_s - const.ARRIVAL_WINDOW_S:
            self._arrivals.popleft()
        for _, pool, core_ms in self._arrivals:
            load = loads.setdefault(pool, PoolLoad(pool))
            load.arriving_cpu_millicores += core_ms / const.ARRIVAL_WINDOW_S
        return loads

    def _open_occurrences(self) -> None:
        now_ms = self._clock.now().timestamp() * _MS
        for job_id in list(self._open):
            job = self.jobs[job_id]
            if job.state.final:
                if not any(task.runs for step in job.steps.values() for task in step.tasks):
                    self._open.discard(job_id)
                continue
            spec = job.spec
            opened = len(job.steps) // len(spec.steps)
            if len(job.steps) % len(spec.steps):
                for occurrence in {key[0] for key in job.steps}:
                    job.open_occurrence(occurrence)
                opened = len(job.steps) // len(spec.steps)
            while opened < spec.occurrences:
                due_ms = spec.first_due_unix_ms + opened * spec.interval_ms
                if spec.timed and now_ms < due_ms + const.EARLY_MARGIN_S * _MS:
                    break
                job.open_occurrence(opened)
                opened += 1

    def _place(self, now_s: float, orders: list[Order]) -> None:
        if self.configuration is None:
            return
        by_pool: dict[PoolId, list[WorkerView]] = {}
        for worker in self.workers.values():
            by_pool.setdefault(worker.entry.pool, []).append(worker)
        now_ms = self._clock.now().timestamp() * _MS
        waiting: list[tuple[tuple[float, ...], JobProgress, StepProgress]] = []
        for job_id in self._open:
            job = self.jobs[job_id]
            if job.state.final:
                continue
            for step in job.steps.values():
                if step.undone and job.runnable(step):
                    waiting.append((step_rank(job, step, now_ms), job, step))
        waiting.sort(key=lambda each: each[0])
        for _, job, step in waiting:
            tasks = [task for task in step.tasks if task.waiting and now_s >= task.not_before_s]
            if tasks:
                pool = self._pool_of(job)
                self._place_step(job, step, tasks, by_pool.get(pool, []), now_s, orders)

    def _place_step(
        self,
        job: JobProgress,
        step: StepProgress,
        tasks: list[Task],
        workers: list[WorkerView],
        now_s: float,
        orders: list[Order],
    ) -> None:
        if not self._advised(job, step, workers, now_s, orders):
            return
        allowed = allowed_workers(workers, step, now_s)
        if not allowed:
            return
        on_worker: dict[WorkerId, int] = {}
        for task in step.tasks:
            for run in task.runs:
                worker_id = run.worker.entry.worker_id
                on_worker[worker_id] = on_worker.get(worker_id, 0) + 1
        if step.step.gang:
            self._place_gang(job, step, tasks, allowed, on_worker, now_s)
            return
        for task in tasks:
            if not self._within_ceiling(job, step.step.needs):
                return
            chosen = choose_worker(allowed, step, task, on_worker)
            if chosen is None:
                return
            self._plan(job, task, chosen, task.attempt + 1, now_s)
            worker_id = chosen.entry.worker_id
            on_worker[worker_id] = on_worker.get(worker_id, 0) + 1

    def _place_gang(
        self,
        job: JobProgress,
        step: StepProgress,
        tasks: list[Task],
        allowed: list[WorkerView],
        on_worker: dict[WorkerId, int],
        now_s: float,
    ) -> None:
        """Place all tasks of a gang, or none."""
        if len(tasks) < len(step.tasks):
            return
        if not self._within_ceiling(job, step.step.needs.times(len(tasks))):
            return
        attempt = max(task.attempt for task in tasks) + 1
        checkpoint = max(task.checkpoint for task in tasks)
        planned: list[Run] = []
        for task in tasks:
            task.checkpoint = checkpoint
            chosen = choose_worker(allowed, step, task, on_worker)
            if chosen is None:
                for run in planned:
                    self._unplan(run)
                return
            planned.append(self._plan(job, task, chosen, attempt, now_s))
            worker_id = chosen.entry.worker_id
            on_worker[worker_id] = on_worker.get(worker_id, 0) + 1

    def _plan(
        self, job: JobProgress, task: Task, worker: WorkerView, attempt: int, now_s: float
    ) -> Run:
        run = Run(RunKey(task.key, attempt), task, worker, RunState.PLANNED, now_s)
        run.checkpoint = task.checkpoint
        task.attempt = attempt
        self._attach(run)
        self._planned.setdefault(job.spec.job_id, []).append(run)
        if not job.started:
            job.started = True
            job.state = JobState.RUNNING
        self._touch(job)
        return run

    def _unplan(self, run: Run) -> None:
        self._planned[run.task.key.job_id].remove(run)
        self._detach(run)

    def _advised(
        self,
        job: JobProgress,
        step: StepProgress,
        workers: list[WorkerView],
        now_s: float,
        orders: list[Order],
    ) -> bool:
        """Return whether a step may be placed; asks the queue's adviser where it has one."""
        queue = self._queue_of(job)
        if queue is None or queue.advice is None:
            return True
        if step.advice is not None and now_s < step.advice_until_s:
            return True
        if not step.advice_in_flight:
            step.advice = None
            asked = tuple(w.entry.worker_id for w in workers if w.usable(now_s))[:30]
            if asked:
                step.advice_in_flight = True
                orders.append(AskAdvice(step.key, asked))
        return False

    def _within_ceiling(self, job: JobProgress, more: Resources) -> bool:
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

    # Bookkeeping

    def _attach(self, run: Run) -> None:
        run.worker.add(run)
        run.task.runs.append(run)
        team = self.jobs[run.task.key.job_id].spec.team
        self._team_used[team] = self._team_used.get(team, NOTHING) + run.task.step.needs

    def _detach(self, run: Run) -> None:
        if run.key not in run.worker.runs:
            return
        run.worker.remove(run)
        run.task.runs.remove(run)
        team = self.jobs[run.task.key.job_id].spec.team
        self._team_used[team] = self._team_used[team] - run.task.step.needs

    def _touch(self, job: JobProgress) -> None:
        job.version += 1
        self._mark_dirty(job)

    def _mark_dirty(self, job: JobProgress) -> None:
        job.dirty = True
        self._dirty[job.spec.job_id] = None

    def _new_view(self, entry: WorkerEntry) -> WorkerView:
        return WorkerView(
            entry, unknown_lease_until_s=self._began_s + self._settings.former_lease_s
        )

    def _known_boot(self, entry: WorkerEntry) -> WorkerView | None:
        """Return what is known of a boot that the list names again, or names first."""
        for gone in self._gone:
            known = gone.entry
            if (known.worker_id, known.born_unix_ms) == (entry.worker_id, entry.born_unix_ms):
                self._gone.remove(gone)
                gone.entry = entry
                gone.listed = True
                return gone
        return None

    def _worker_of_run(self, worker_id: WorkerId, born_unix_ms: int) -> WorkerView:
        """Return the boot that a recovered run is on, made up where the list names none."""
        known = self.workers.get(worker_id)
        if known is not None and known.entry.born_unix_ms == born_unix_ms:
            return known
        for gone in self._gone:
            if (gone.entry.worker_id, gone.entry.born_unix_ms) == (worker_id, born_unix_ms):
                return gone
        missing = self._new_view(unlisted_entry(worker_id, born_unix_ms))
        missing.listed = False
        if known is not None and known.entry.born_unix_ms > born_unix_ms:
            # A later boot of the same server runs nothing of an earlier one.
            missing.unknown_lease_until_s = 0.0
        self._gone.append(missing)
        return missing

    def _step_of(self, task: Task) -> StepProgress:
        return self.jobs[task.key.job_id].step(task.key.occurrence, task.key.step)

    def _queue_of(self, job: JobProgress) -> JobQueue | None:
        if self.configuration is None:
            return None
        return self.configuration.queues.get(job.spec.queue)

    def _pool_of(self, job: JobProgress) -> PoolId:
        queue = self._queue_of(job)
        return job.spec.terms.pool if queue is None else queue.pool

    def _attempts_max(self, job: JobProgress) -> int:
        queue = self._queue_of(job)
        return job.spec.terms.attempts_max if queue is None else queue.attempts_max


def unlisted_entry(worker_id: WorkerId, born_unix_ms: int) -> WorkerEntry:
    """Return an entry for a backend server of which only a run's record is known."""
    return WorkerEntry(worker_id, PoolId(""), "", DataCentreId(""), NOTHING, (), True, born_unix_ms)


def _at_work(task: Task) -> bool:
    """Return whether a long-running task is surely fully at work."""
    return any(
        run.state is RunState.RUNNING
        and run.percent == FULL_SPEED_PERCENT
        and not run.stop_wanted
        and run.worker.held
        and run.worker.hold_failures == 0
        for run in task.runs
    )


def _find_task(job: JobProgress, key: TaskKey) -> Task | None:
    if key.step >= len(job.spec.steps) or key.occurrence >= job.spec.occurrences:
        return None
    if key.number >= job.spec.steps[key.step].count:
        return None
    return job.step(key.occurrence, key.step).tasks[key.number]


def _task_text(key: TaskKey) -> str:
    return f"{key.occurrence}.{key.step}.{key.number}"


def _run_fields(run: Run) -> dict[str, object]:
    return {
        "job": run.task.key.job_id,
        "task": _task_text(run.task.key),
        "attempt": run.key.attempt,
        "worker": run.worker.entry.worker_id,
    }

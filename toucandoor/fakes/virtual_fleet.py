"""Runs schedulers against the virtual platform, in virtual time and with simulated faults."""

from __future__ import annotations

import heapq
import itertools
from datetime import UTC, datetime
from functools import partial
from typing import TYPE_CHECKING

from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    CancelRecord,
    cancel_key,
    decode_job,
    decode_progress,
    encode,
    job_key,
    progress_key,
)
from toucandoor.core.ownership.lease import (
    OWNER_KEY,
    OWNER_TTL_S,
    RENEW_RETRY_S,
    VALIDITY_MARGIN_S,
)
from toucandoor.core.records import (
    DEFAULT_VALUE_BYTES_MAX,
    Transaction,
    TransactionConflictError,
)
from toucandoor.core.scheduling.scheduler import Scheduler, SchedulerSettings
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.fakes.virtual_calls import STORE_CALL_S, OwnerTerm, VirtualCalls
from toucandoor.fakes.virtual_operators import VirtualOperators
from toucandoor.fakes.virtual_platform import (
    Observations,
    TaskBehaviour,
    VirtualRecords,
    VirtualWorker,
)
from toucandoor.ids import DataCentreId, FencingToken, JobId, PoolId, VmId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.evacuation.requests import EvacuationRequests
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.jobs.models import JobSpec, Resources, TaskKey
    from toucandoor.core.records import Record
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.policies import Policies
    from toucandoor.core.scheduling.workers import Boot

LEASE_S = 6.0
WATCH_RETRY_S = 0.1
"""Interval at which an owner tries its watches again while the store refuses them."""


class VirtualFleet:
    """A fleet in virtual time.

    Args:
        behaviour: Returns how a task runs on a backend server.
        make_requests: Returns the knowledge of a new owner's process about evacuations; None if
            they are not supported.

    Attributes:
        clock: The virtual clock.
        observations: Runs and violations that the stand-ins have recorded.
        records: The store.
        workers: Present boots of backend servers.
        owner: Present owner of the schedule; None while there is none.
        calls: Carries out the owners' calls; faults are set there.
        operators: Requests evacuations; faults of reading them are set there.
        run_times: Expected run times that the next owner uses; None for learned ones.
        policies: Creates the next owner's policies; None if none is switched off.
        ends_per_report_max: Most ended runs that the status report of a backend server lists.
        value_bytes_max: Largest value of the store, by the owners' settings.
    """

    def __init__(
        self,
        configuration: JobConfiguration,
        behaviour: Callable[[TaskKey, WorkerId], TaskBehaviour],
        make_requests: Callable[[], EvacuationRequests] | None = None,
    ) -> None:
        self.clock = ManualClock(datetime(2026, 1, 5, 18, 0, tzinfo=UTC))
        self.clock.advance(100.0)
        self.observations = Observations()
        self.records = VirtualRecords()
        self.workers: dict[WorkerId, VirtualWorker] = {}
        self.owner: OwnerTerm | None = None
        self.run_times: RunTimeModel | None = None
        self.policies: Policies | None = None
        self.ends_per_report_max = 500
        self.value_bytes_max = DEFAULT_VALUE_BYTES_MAX
        self.calls = VirtualCalls(
            self.clock, self.records, self.workers, self.schedule, self._schedule_event
        )
        self.operators = VirtualOperators(self.clock, self.schedule, self._schedule_event)
        self.configuration = configuration
        self._make_requests = make_requests
        self._behaviour = behaviour
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.records.on_change = self._on_record_change

    @property
    def scheduler(self) -> Scheduler:
        """Scheduler of the present owner, of which there must be one."""
        assert self.owner is not None
        return self.owner.scheduler

    # Virtual time

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds of virtual time."""
        due_s = self.clock.monotonic_s() + delay_s
        heapq.heappush(self._queue, (due_s, next(self._sequence), action))

    def run(self, for_s: float) -> None:
        """Advance virtual time and run all actions that become due."""
        until_s = self.clock.monotonic_s() + for_s
        while self._queue and self._queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self._queue)
            self.clock.advance_to(due_s)
            action()
        self.clock.advance_to(until_s)

    # Backend servers and jobs

    def boot(
        self,
        worker_id: str,
        pool: str,
        capacity: Resources,
        *,
        labels: tuple[str, ...] = ("a", "r1"),
        clock_rate: float = 1.0,
        vm_id: str | None = None,
        data_centre: str = "dc",
        cold_s: float = 0.0,
        listed_after_s: float = 0.0,
    ) -> VirtualWorker:
        """Start a backend server, or restart it under the same id.

        Args:
            listed_after_s: Time until an owner reads its entry in the platform's list.
        """
        booted_unix_ms = int(self.clock.now().timestamp() * 1000)
        entry = WorkerEntry(
            WorkerId(worker_id),
            PoolId(pool),
            f"{worker_id}:1",
            DataCentreId(data_centre),
            capacity,
            labels,
            False,
            booted_unix_ms,
            vm_id=VmId(vm_id) if vm_id is not None else None,
            cold_s=cold_s,
        )
        worker = VirtualWorker(
            entry,
            self.clock,
            self.observations,
            self._behaviour,
            clock_rate=clock_rate,
            ends_per_report_max=self.ends_per_report_max,
        )
        self.workers[entry.worker_id] = worker
        if self.owner is not None:
            if listed_after_s > 0:
                self.schedule(listed_after_s, lambda: self._list(worker))
            else:
                self.owner.scheduler.worker_listed(entry)
        return worker

    def _list(self, worker: VirtualWorker) -> None:
        if worker.alive and self.owner is not None:
            self.owner.scheduler.worker_listed(worker.entry)

    def crash(self, worker_id: str) -> None:
        """End a backend server at once; the platform's list drops it 4.5 s later."""
        worker = self.workers[WorkerId(worker_id)]
        worker.crash()
        self.schedule(4.5, partial(self._unlist, worker))

    def _unlist(self, worker: VirtualWorker) -> None:
        present = self.workers.get(worker.entry.worker_id)
        if present is worker and self.owner is not None:
            self.owner.scheduler.worker_unlisted(worker.entry.worker_id)

    def submit(self, spec: JobSpec, *, former_build: bool = False) -> None:
        """Write a job to the store, as its submission does.

        Args:
            spec: The job.
            former_build: Whether the accepting node is of a build that looks for the job's
                specification alone.

        Raises:
            TransactionConflictError: The job exists.
        """
        key = job_key(spec.job_id)
        expected = {key: 0}
        if not former_build:
            expected[progress_key(spec.job_id)] = 0
        self.records.write(Transaction(expected, {key: encode(spec)}))

    def cancel(self, job_id: JobId) -> None:
        """Write the cancellation of a job to the store."""
        key = cancel_key(job_id)
        self.records.write(Transaction({}, {key: encode(CancelRecord(0))}))

    def state(self, job_id: JobId) -> JobState:
        """Return a job's state as callers see it."""
        record = self.records.records.get(progress_key(job_id))
        return JobState.QUEUED if record is None else decode_progress(record.value).state

    # Owners of the schedule

    def take_over(self, *, planned: bool = False) -> OwnerTerm:
        """Make another VM the owner of the schedule.

        Args:
            planned: Whether the former owner stops as planned; else its lease has expired.
        """
        handed_over: dict[Boot, float] = {}
        if planned and self.owner is not None and self._may_act(self.owner):
            handed_over = self.owner.scheduler.registry.unresponsive_leases_s()
        if self.owner is not None:
            self.owner.valid_until_s = min(self.owner.valid_until_s, self.clock.monotonic_s())
        self.records.remove(OWNER_KEY)
        token = FencingToken(self.records.write(Transaction({OWNER_KEY: 0}, {OWNER_KEY: b"{}"})))
        settings = SchedulerSettings(
            owner_key=OWNER_KEY,
            owner_revision=token,
            token=token,
            lease_s=LEASE_S,
            handed_over_leases_s=handed_over,
            value_bytes_max=self.value_bytes_max,
        )
        requests = self._make_requests() if self._make_requests is not None else None
        owner = OwnerTerm(Scheduler(settings, self.clock, requests, self.run_times, self.policies))
        if requests is not None:
            self.operators.follow(owner, requests)
        owner.scheduler.set_configuration(self.configuration)
        self.owner = owner
        for worker in self.workers.values():
            if worker.alive:
                owner.scheduler.worker_listed(worker.entry)
        for record in self.records.below(JOB_PREFIX):
            spec = decode_job(record.value)
            progress = self.records.records.get(progress_key(spec.job_id))
            if progress is None:
                owner.scheduler.add_job(spec)
            else:
                owner.scheduler.restore_job(
                    spec, decode_progress(progress.value), progress.revision
                )
        for record in self.records.below(PROGRESS_PREFIX):
            job_id = JobId(record.key.removeprefix(PROGRESS_PREFIX))
            stored = decode_progress(record.value)
            if stored.state.final:
                owner.scheduler.retention.add_ended(
                    job_id, stored.finished_unix_ms, record.revision
                )
        for record in self.records.below(CANCEL_PREFIX):
            owner.scheduler.cancel_job(JobId(record.key.removeprefix(CANCEL_PREFIX)))
        self._tick(owner)
        return owner

    def make_store_unavailable(self, for_s: float) -> None:
        """Refuse all calls to the store for a while; the owner then renews its ownership.

        The store does not let leases expire meanwhile.
        """
        now_s = self.clock.monotonic_s()
        self.calls.store_down_until_s = now_s + for_s
        owner = self.owner
        if owner is None:
            return
        owner.valid_until_s = now_s + OWNER_TTL_S - VALIDITY_MARGIN_S

        def renew() -> None:
            owner.valid_until_s = float("inf")
            self._tick(owner)

        self.schedule(for_s + RENEW_RETRY_S + STORE_CALL_S, renew)

    def _on_record_change(self, key: str, record: Record | None) -> None:
        owner = self.owner
        if owner is None or record is None or key.startswith(PROGRESS_PREFIX):
            return
        watched_s = self.calls.store_down_until_s + WATCH_RETRY_S - self.clock.monotonic_s()
        delay_s = max(STORE_CALL_S, watched_s)
        if key.startswith(JOB_PREFIX):
            spec = decode_job(record.value)
            self._schedule_event(owner, delay_s, lambda: owner.scheduler.add_job(spec))
        elif key.startswith(CANCEL_PREFIX):
            job_id = JobId(key.removeprefix(CANCEL_PREFIX))
            self._schedule_event(owner, delay_s, lambda: owner.scheduler.cancel_job(job_id))

    def _may_act(self, owner: OwnerTerm) -> bool:
        return (
            owner.alive
            and not owner.scheduler.superseded
            and self.clock.monotonic_s() < owner.valid_until_s
        )

    def _tick(self, owner: OwnerTerm) -> None:
        if not self._may_act(owner):
            return
        self._carry_out_decisions(owner)
        self.schedule(owner.scheduler.next_wake_s(), lambda: self._tick(owner))

    def _schedule_event(self, owner: OwnerTerm, delay_s: float, event: Callable[[], None]) -> None:
        def pass_event() -> None:
            wait_s = owner.paused_until_s - self.clock.monotonic_s()
            if wait_s > 0:
                self.schedule(wait_s, pass_event)
                return
            if not owner.alive:
                return
            event()
            if self._may_act(owner):
                self._carry_out_decisions(owner)

        self.schedule(delay_s, pass_event)

    def _carry_out_decisions(self, owner: OwnerTerm) -> None:
        if self.clock.monotonic_s() < owner.paused_until_s:
            return
        for order in owner.scheduler.orders():
            self.calls.send(owner, order)
        for commit in owner.scheduler.commits():
            self.calls.write(owner, commit)
        removal = owner.scheduler.retention.removal()
        if removal is not None:
            try:
                self.records.write(removal)
            except TransactionConflictError as err:
                owner.scheduler.retention.conflicted(err.present)
            else:
                owner.scheduler.retention.removed(ok=True)

"""Stand-ins for the users' platform in virtual time: store, backend servers and VMs.

They follow the platform's protocol as far as the scheduler uses it, and record violations: two
runs of a task at the same time, or a run after the task's end as done was acknowledged. Tasks that
allow copies may have two runs, on different racks, and a run up to a second after that end.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources
from toucandoor.core.records import (
    DEFAULT_VALUE_BYTES_MAX,
    Record,
    Transaction,
    TransactionConflictError,
)
from toucandoor.core.scheduling.workers import (
    ActiveRun,
    EndedRun,
    EndReason,
    OrderRefusal,
    OrderRefusedError,
    StatusReport,
    VmState,
    WorkerEntry,
)
from toucandoor.exceptions import StoreRejectedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.scheduling.workers import RunKey, StartOrder
    from toucandoor.ids import FencingToken, PoolId, VmId, WorkerId

STOP_DURATION_S = 0.1
"""Duration of a stop; the platform allows twice as much."""
LATE_COPY_S = 1.0
"""Time after the end of a task as done in which a copy of it may still start."""
STARTUP_DURATION_S = 0.8
"""Time until a long-running task runs at full speed."""


class VirtualRecords:
    """The store: records with revisions, and transactions with expected revisions.

    Attributes:
        records: Present records.
        revision: Revision of the last change.
        writes: Number of calls of `write`.
        value_bytes_max: Largest value that is accepted.
        on_change: Called with the key and record of each write, and with the key and None of each
            removal.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 1
        self.writes = 0
        self.value_bytes_max = DEFAULT_VALUE_BYTES_MAX
        self.on_change: Callable[[str, Record | None], None] | None = None

    def write(self, transaction: Transaction) -> int:
        """Carry out a transaction in whole; raises the same errors as `RecordStore.write`."""
        self.writes += 1
        if any(len(value) > self.value_bytes_max for value in transaction.writes.values()):
            raise StoreRejectedError("a value is too large", step="write")
        mismatched = [
            key
            for key, revision in transaction.expected.items()
            if (self.records[key].revision if key in self.records else 0) != revision
        ]
        if mismatched:
            present = tuple(
                self.records[key] for key in transaction.expected if key in self.records
            )
            raise TransactionConflictError("another revision", step="write", present=present)
        self.revision += 1
        for key, value in transaction.writes.items():
            created = self.records[key].created_revision if key in self.records else self.revision
            self.records[key] = Record(key, value, self.revision, created)
            if self.on_change is not None:
                self.on_change(key, self.records[key])
        for key in transaction.removals:
            self.remove(key)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a record, as the store does when the record's lease ends."""
        if self.records.pop(key, None) is not None:
            self.revision += 1
            if self.on_change is not None:
                self.on_change(key, None)

    def below(self, prefix: str) -> list[Record]:
        """Return all records below a prefix."""
        return [record for key, record in sorted(self.records.items()) if key.startswith(prefix)]


@dataclass(slots=True)
class _VirtualRun:
    key: RunKey
    needs: Resources
    started_s: float
    ends_at_s: float
    outcome: EndReason
    stopped: bool = False


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """Behaviour of a task on a backend server.

    Attributes:
        needs: Resources that it uses.
        duration_s: Run time in seconds; infinite for a task that never ends.
        outcome: Reason with which it ends.
    """

    needs: Resources
    duration_s: float
    outcome: EndReason = EndReason.DONE


@dataclass(slots=True)
class Observations:
    """Runs and violations, recorded by all backend servers together.

    Attributes:
        violations: Descriptions of violations of the scheduler's guarantees.
        running: Backend servers on which each task is running.
        acknowledged: Tasks whose end as done has been acknowledged.
        acknowledged_s: When that was, on the virtual clock.
        last_start_s: When each task last started.
        copies_allowed: Returns whether a task allows copies.
        copies: Number of runs that have started beside another run of their task.
        failed: Attempt numbers of the acknowledged failed runs of each task.
        starts: Number of runs that have started.
        started: Time and server of each run that has started.
        wasted_core_s: Processor time of runs that did not end as done, in core-seconds.
        boots: All boots of backend servers; all are updated before a run starts, so that runs
            which have ended by then don't count as running.
    """

    violations: list[str] = field(default_factory=list)
    running: dict[TaskKey, set[WorkerId]] = field(default_factory=dict)
    acknowledged: set[TaskKey] = field(default_factory=set)
    acknowledged_s: dict[TaskKey, float] = field(default_factory=dict)
    last_start_s: dict[TaskKey, float] = field(default_factory=dict)
    copies_allowed: Callable[[TaskKey], bool] = lambda task: False
    copies: int = 0
    failed: dict[TaskKey, set[int]] = field(default_factory=dict)
    starts: int = 0
    started: list[tuple[float, WorkerEntry]] = field(default_factory=list)
    wasted_core_s: float = 0.0
    boots: list[VirtualWorker] = field(default_factory=list)


class VirtualWorker:
    """One boot of a backend server.

    Args:
        observations: Record of runs and violations, shared by all backend servers.
        behaviour: Returns how a task runs on a backend server.
        lease_s_max: Longest lease that it accepts, in seconds.
        clock_rate: Rate of its clock, relative to the virtual clock.
        ends_per_report_max: Most ended runs that a status report lists.

    Attributes:
        entry: Its entry in the platform's list.
        alive: Whether it runs.
        reachable: Whether calls reach it.
        runs: Its present runs.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        observations: Observations,
        behaviour: Callable[[TaskKey, WorkerId], TaskBehaviour],
        *,
        lease_s_max: float = 6.0,
        clock_rate: float = 1.0,
        ends_per_report_max: int = 500,
    ) -> None:
        self.entry = entry
        self.alive = True
        self.reachable = True
        self._clock = clock
        self._observations = observations
        self._behaviour = behaviour
        self._lease_s_max = lease_s_max
        self._rate = clock_rate
        self._ends_per_report_max = ends_per_report_max
        self._booted_s = clock.monotonic_s()
        self._lease_until_ms = 0
        self._token = 0
        self.runs: dict[RunKey, _VirtualRun] = {}
        self._highest_attempt: dict[TaskKey, int] = {}
        self._ended: list[EndedRun] = []
        self._last_end_sequence = 0
        self._ended_s: dict[int, float] = {}
        self._lease_lapsed_s = float("-inf")
        observations.boots.append(self)

    # Calls of owners

    def start(self, order: StartOrder) -> int:
        """Start a run."""
        self._end_due_runs()
        now_ms = self.clock_ms()
        self._check_token(order.token)
        if order.run in self.runs:
            self._extend(order.lease_until_ms)
            return now_ms
        if order.run.attempt <= self._highest_attempt.get(order.run.task, 0):
            self._extend(order.lease_until_ms)
            self._refuse(OrderRefusal.SUPERSEDED)
        if order.lease_until_ms <= now_ms:
            self._refuse(OrderRefusal.DEADLINE_PASSED)
        behaviour = self._behaviour(order.run.task, self.entry.worker_id)
        self._extend(order.lease_until_ms)
        if not (self.used() + behaviour.needs).fits_in(self.entry.capacity):
            self._refuse(OrderRefusal.NO_ROOM)
        self._begin(order.run, behaviour)
        return now_ms

    def stop(self, run: RunKey, token: FencingToken) -> int:
        """Stop a run, and refuse to start it from now on."""
        self._end_due_runs()
        self._check_token(token)
        self._highest_attempt[run.task] = max(self._highest_attempt.get(run.task, 0), run.attempt)
        for each in self.runs.values():
            if each.key.task == run.task and each.key.attempt <= run.attempt:
                each.stopped = True
                each.outcome = EndReason.STOPPED
                each.ends_at_s = min(each.ends_at_s, self._clock.monotonic_s() + STOP_DURATION_S)
        return self.clock_ms()

    def heartbeat(
        self, token: FencingToken, lease_until_ms: int | None, acknowledged: int
    ) -> StatusReport:
        """Extend the lease, acknowledge ended runs and return the status report."""
        self._end_due_runs()
        self._check_token(token)
        self._extend(lease_until_ms or 0)
        self._acknowledge(acknowledged)
        now_s = self._clock.monotonic_s()
        active = tuple(
            ActiveRun(run.key, "", 100 if now_s - run.started_s >= STARTUP_DURATION_S else 50, 0)
            for run in self.runs.values()
        )
        ended = tuple(self._ended[: self._ends_per_report_max])
        complete = len(ended) < self._ends_per_report_max
        return StatusReport(self.clock_ms(), self.entry.booted_unix_ms, active, ended, complete)

    @property
    def has_ended_runs(self) -> bool:
        """Whether it has ended runs to report."""
        self._end_due_runs()
        return bool(self._ended)

    def crash(self) -> None:
        """End at once, with all its runs."""
        self._end_due_runs()
        self.alive = False
        for run in list(self.runs.values()):
            self._remove_run(run)
            self._count_as_wasted(run)

    def update(self) -> None:
        """End the runs that are due to end by now."""
        if self.alive:
            self._end_due_runs()

    # State

    def clock_ms(self) -> int:
        """Return its monotonic clock in milliseconds since its boot."""
        return int((self._clock.monotonic_s() - self._booted_s) * self._rate * 1000)

    def used(self) -> Resources:
        """Return the resources that its runs use."""
        total = NO_RESOURCES
        for run in self.runs.values():
            total = total + run.needs
        return total

    def _check_token(self, token: FencingToken) -> None:
        if token < self._token:
            self._refuse(OrderRefusal.FENCED)
        self._token = token

    def _extend(self, until_ms: int) -> None:
        longest_ms = self.clock_ms() + int(self._lease_s_max * 1000)
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, longest_ms))

    def _refuse(self, refusal: OrderRefusal) -> None:
        raise OrderRefusedError(
            refusal, step="worker", peer=self.entry.worker_id, clock_ms=self.clock_ms()
        )

    def _begin(self, key: RunKey, behaviour: TaskBehaviour) -> None:
        now_s = self._clock.monotonic_s()
        for boot in self._observations.boots:
            boot.update()
        others = self._observations.running.setdefault(key.task, set())
        allowed = self._observations.copies_allowed(key.task)
        if allowed:
            self._check_copy(key, others, now_s)
        elif others:
            self._observations.violations.append(
                f"{key} started on {self.entry.worker_id} while it runs on {others}"
            )
        if key.task in self._observations.acknowledged and not allowed:
            self._observations.violations.append(
                f"{key} started after its task's end as done was acknowledged"
            )
        others.add(self.entry.worker_id)
        self._observations.last_start_s[key.task] = now_s
        self._observations.starts += 1
        self._observations.started.append((now_s, self.entry))
        self.runs[key] = _VirtualRun(
            key, behaviour.needs, now_s, now_s + behaviour.duration_s, behaviour.outcome
        )

    def _check_copy(self, key: RunKey, others: set[WorkerId], now_s: float) -> None:
        """Record violations of the rules for a task that allows copies."""
        observations = self._observations
        observations.copies += bool(others)
        racks = {
            boot.entry.rack for boot in observations.boots if boot.alive and _runs(boot, key.task)
        }
        if others and (len(others) > 1 or self.entry.rack in racks):
            observations.violations.append(
                f"{key} started on {self.entry.worker_id} beside {others} on {racks}"
            )
        acknowledged_s = observations.acknowledged_s.get(key.task)
        if acknowledged_s is not None and now_s > acknowledged_s + LATE_COPY_S:
            observations.violations.append(f"{key} started {now_s - acknowledged_s} s after done")

    def _end_due_runs(self) -> None:
        """End the runs that are due to end by now, in the order of their ends.

        If the lease has expired, all runs that were not due to end before then end with it.
        """
        now_s = self._clock.monotonic_s()
        lease_until_s = self._booted_s + self._lease_until_ms / 1000 / self._rate
        for run in sorted(self.runs.values(), key=lambda run: run.ends_at_s):
            if run.ends_at_s <= min(now_s, lease_until_s):
                self._end(run, run.outcome)
        if now_s > lease_until_s:
            self._lease_lapsed_s = lease_until_s
            for run in list(self.runs.values()):
                self._end(run, EndReason.LEASE_EXPIRED)

    def _end(self, run: _VirtualRun, reason: EndReason) -> None:
        self._remove_run(run)
        self._last_end_sequence += 1
        highest = self._highest_attempt.get(run.key.task, 0)
        self._highest_attempt[run.key.task] = max(highest, run.key.attempt)
        self._ended.append(EndedRun(self._last_end_sequence, run.key, reason, ""))
        self._ended_s[self._last_end_sequence] = min(run.ends_at_s, self._clock.monotonic_s())
        if reason is not EndReason.DONE:
            self._count_as_wasted(run)

    def _remove_run(self, run: _VirtualRun) -> None:
        del self.runs[run.key]
        self._observations.running[run.key.task].discard(self.entry.worker_id)

    def _count_as_wasted(self, run: _VirtualRun) -> None:
        ran_s = self._clock.monotonic_s() - run.started_s
        self._observations.wasted_core_s += ran_s * run.needs.cpu_millicores / 1000

    def _acknowledge(self, sequence: int) -> None:
        for ended in self._ended:
            if ended.sequence > sequence:
                continue
            ended_s = self._ended_s.pop(ended.sequence)
            if ended.reason is EndReason.DONE:
                self._check_done(ended.run, ended_s)
                self._observations.acknowledged.add(ended.run.task)
                now_s = self._clock.monotonic_s()
                self._observations.acknowledged_s.setdefault(ended.run.task, now_s)
            elif ended.reason is EndReason.FAILED:
                self._observations.failed.setdefault(ended.run.task, set()).add(ended.run.attempt)
        self._ended = [ended for ended in self._ended if ended.sequence > sequence]

    def _check_done(self, run: RunKey, ended_s: float) -> None:
        """Record a violation if a task started again after an end as done that is acknowledged.

        An end does not count if the lease has expired between it and its acknowledgement.
        """
        observations = self._observations
        if self._lease_lapsed_s > ended_s or observations.copies_allowed(run.task):
            return
        if observations.last_start_s[run.task] > ended_s:
            observations.violations.append(f"{run} was done before a later start of its task")


def _runs(boot: VirtualWorker, task: TaskKey) -> bool:
    return any(run.task == task for run in boot.runs)


@dataclass(slots=True)
class PlatformVm:
    """A VM of the platform and the backend server on it.

    Attributes:
        vm_id: Its id.
        pool: Pool that it belongs to.
        state: Its state by the platform's list.
        worker: Its backend server; None while the VM is off, moving or under maintenance.
        next_boot_s: Time at which its next backend server starts; None while none is due.
        billed_since_s: Time since which it has been in a pool that is paid for; None while it is
            not in one.
        boots_count: Number of backend servers that it has had.
    """

    vm_id: VmId
    pool: PoolId
    state: VmState = VmState.UP
    worker: VirtualWorker | None = None
    next_boot_s: float | None = None
    billed_since_s: float | None = None
    boots_count: int = 0

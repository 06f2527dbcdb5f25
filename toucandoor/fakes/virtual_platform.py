"""Stand-ins for the users' platform in virtual time: store, backend servers and machines.

They keep to the platform's protocol as far as the scheduler can tell, and note what must never
happen: two runs of a task at once, a start after its end was acknowledged, too little room.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES, Resources
from toucandoor.core.records import Record, Transaction, TransactionConflictError
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.models import TaskKey
    from toucandoor.core.scheduling.workers import RunKey, StartOrder
    from toucandoor.ids import FencingToken, PoolId, VmId, WorkerId

KILL_S = 0.1
"""Time that a stop takes; the platform allows twice as much."""
STARTUP_S = 0.8
"""Time until a long-running task is fully at work."""


class VirtualRecords:
    """Records with revisions, conditions and a change counter.

    Attributes:
        records: Present records.
        revision: Counter of changes.
        on_change: Called with each record written, and with each key removed.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 1
        self.writes = 0
        self.on_change: Callable[[str, Record | None], None] | None = None

    def write(self, transaction: Transaction) -> int:
        """Write all or nothing; the same errors as `RecordStore.write`."""
        self.writes += 1
        wrong = [
            key
            for key, revision in transaction.expected.items()
            if (self.records[key].revision if key in self.records else 0) != revision
        ]
        if wrong:
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
        """Remove a record, as the end of its lease does."""
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
    """What a task does on a backend server.

    Attributes:
        room: Room that it takes.
        work_s: Time until it ends; infinite for one that lasts.
        outcome: How it ends.
    """

    room: Resources
    work_s: float
    outcome: EndReason = EndReason.DONE


@dataclass(slots=True)
class Observations:
    """What all stand-ins have seen together.

    Attributes:
        broken: Promises that were broken, in words.
        running: Runs of each task that are under way anywhere.
        acknowledged: Tasks whose end as done has been acknowledged.
        failed: Acknowledged failed runs by task.
        starts: Number of runs that began.
        wasted_core_s: Processor time of runs that did not end as done.
        boots: All boots of backend servers, so that each is brought up to date before a run of
            the same task begins elsewhere.
    """

    broken: list[str] = field(default_factory=list)
    running: dict[TaskKey, set[WorkerId]] = field(default_factory=dict)
    acknowledged: set[TaskKey] = field(default_factory=set)
    failed: dict[TaskKey, set[int]] = field(default_factory=dict)
    starts: int = 0
    wasted_core_s: float = 0.0
    boots: list[VirtualWorker] = field(default_factory=list)


class VirtualWorker:
    """One boot of a backend server."""

    def __init__(
        self,
        entry: WorkerEntry,
        clock: Clock,
        seen: Observations,
        behaviour: Callable[[TaskKey, WorkerId], TaskBehaviour],
        *,
        lease_s_max: float = 6.0,
        clock_rate: float = 1.0,
    ) -> None:
        self.entry = entry
        self.alive = True
        self.reachable = True
        self._clock = clock
        self._seen = seen
        self._behaviour = behaviour
        self._lease_s_max = lease_s_max
        self._rate = clock_rate
        self._booted_s = clock.monotonic_s()
        self._lease_until_ms = 0
        self._token = 0
        self.runs: dict[RunKey, _VirtualRun] = {}
        self._highest: dict[TaskKey, int] = {}
        self._ended: list[EndedRun] = []
        self._ends = 0
        seen.boots.append(self)

    # Orders

    def start(self, order: StartOrder) -> int:
        """Start a run."""
        self._settle()
        now_ms = self.clock_ms()
        self._check_token(order.token)
        if order.run in self.runs:
            self._extend(order.lease_until_ms)
            return now_ms
        if order.run.attempt <= self._highest.get(order.run.task, 0):
            self._extend(order.lease_until_ms)
            self._refuse(OrderRefusal.SUPERSEDED)
        if order.lease_until_ms <= now_ms:
            self._refuse(OrderRefusal.DEADLINE_PASSED)
        behaviour = self._behaviour(order.run.task, self.entry.worker_id)
        self._extend(order.lease_until_ms)
        if not (self.used() + behaviour.room).fits_in(self.entry.capacity):
            self._refuse(OrderRefusal.NO_ROOM)
        self._begin(order.run, behaviour)
        return now_ms

    def stop(self, run: RunKey, token: FencingToken) -> int:
        """Stop a run and refuse it from now on."""
        self._settle()
        self._check_token(token)
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.attempt)
        for each in self.runs.values():
            if each.key.task == run.task and each.key.attempt <= run.attempt:
                each.stopped = True
                each.outcome = EndReason.STOPPED
                each.ends_at_s = min(each.ends_at_s, self._clock.monotonic_s() + KILL_S)
        return self.clock_ms()

    def hold(
        self, token: FencingToken, lease_until_ms: int | None, acknowledged: int
    ) -> StatusReport:
        """Extend the lease, acknowledge ends and list."""
        self._settle()
        self._check_token(token)
        self._extend(lease_until_ms or 0)
        self._acknowledge(acknowledged)
        now_s = self._clock.monotonic_s()
        active = tuple(
            ActiveRun(run.key, "", 100 if now_s - run.started_s >= STARTUP_S else 50, 0)
            for run in self.runs.values()
        )
        return StatusReport(
            self.clock_ms(), self.entry.booted_unix_ms, active, tuple(self._ended[:500])
        )

    @property
    def has_ended(self) -> bool:
        """Whether it has ends to list."""
        self._settle()
        return bool(self._ended)

    def crash(self) -> None:
        """End at once, with all that runs."""
        self._settle()
        self.alive = False
        for run in list(self.runs.values()):
            self._forget(run)
            self._waste(run)

    def settle(self) -> None:
        """Bring its runs up to the present time."""
        if self.alive:
            self._settle()

    # Inside

    def clock_ms(self) -> int:
        """Return its steady clock, which starts anew with each boot."""
        return int((self._clock.monotonic_s() - self._booted_s) * self._rate * 1000)

    def used(self) -> Resources:
        """Return the room that its runs take."""
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
        for boot in self._seen.boots:
            boot.settle()
        others = self._seen.running.setdefault(key.task, set())
        if others:
            self._seen.broken.append(f"twice: {key} on {self.entry.worker_id} and {others}")
        if key.task in self._seen.acknowledged:
            self._seen.broken.append(f"twice: {key} after its end was acknowledged")
        others.add(self.entry.worker_id)
        self._seen.starts += 1
        self.runs[key] = _VirtualRun(
            key, behaviour.room, now_s, now_s + behaviour.work_s, behaviour.outcome
        )

    def _settle(self) -> None:
        """End what has ended by now, in the order in which it did."""
        now_s = self._clock.monotonic_s()
        lapse_s = self._booted_s + self._lease_until_ms / 1000 / self._rate
        for run in sorted(self.runs.values(), key=lambda run: run.ends_at_s):
            if run.ends_at_s <= min(now_s, lapse_s):
                self._end(run, run.outcome)
        if now_s > lapse_s:
            for run in list(self.runs.values()):
                self._end(run, EndReason.LEASE_EXPIRED)

    def _end(self, run: _VirtualRun, reason: EndReason) -> None:
        self._forget(run)
        self._ends += 1
        highest = self._highest.get(run.key.task, 0)
        self._highest[run.key.task] = max(highest, run.key.attempt)
        self._ended.append(EndedRun(self._ends, run.key, reason, ""))
        if reason is not EndReason.DONE:
            self._waste(run)

    def _forget(self, run: _VirtualRun) -> None:
        del self.runs[run.key]
        self._seen.running[run.key.task].discard(self.entry.worker_id)

    def _waste(self, run: _VirtualRun) -> None:
        ran_s = self._clock.monotonic_s() - run.started_s
        self._seen.wasted_core_s += ran_s * run.needs.cpu_millicores / 1000

    def _acknowledge(self, number: int) -> None:
        for ended in self._ended:
            if ended.sequence > number:
                continue
            if ended.reason is EndReason.DONE:
                self._seen.acknowledged.add(ended.run.task)
            elif ended.reason is EndReason.FAILED:
                self._seen.failed.setdefault(ended.run.task, set()).add(ended.run.attempt)
        self._ended = [ended for ended in self._ended if ended.sequence > number]


@dataclass(slots=True)
class VirtualVm:
    """A VM and the backend server on it.

    Attributes:
        vm_id: Its id.
        pool: Pool that it belongs to.
        state: What the platform says of it.
        worker: Its backend server; None while it is off, moves or is maintained.
        back_at_s: When its next backend server comes; None while none is due.
        on_since_s: Since when it has been in a pool that is paid for; None while it is not.
        lives: Backend servers that it has had.
    """

    vm_id: VmId
    pool: PoolId
    state: VmState = VmState.UP
    worker: VirtualWorker | None = None
    back_at_s: float | None = None
    on_since_s: float | None = None
    lives: int = 0

"""Small virtual-time driver of the admission policies on fake workers."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Final

from toucandoor.core.admission.coordinator import AdmissionCoordinator
from toucandoor.core.requests.models import (
    AttemptEnded,
    AttemptOutcome,
    BackendServer,
    PreemptMethod,
    Request,
)
from toucandoor.core.routing.policy import LeastConnections
from toucandoor.core.shares.models import EntryService
from toucandoor.ids import AttemptId, EntryId, IncarnationId, PoolId, TeamId, VmId
from toucandoor.measures._demand import WEIGHTS, Job, Shape

if TYPE_CHECKING:
    from toucandoor.core.admission.lending import LendingPolicy
    from toucandoor.core.admission.policy import QueuePolicy
    from toucandoor.core.admission.reserve import ReservePolicy
    from toucandoor.core.requests.models import Preempt
    from toucandoor.core.shares.ledger import ShareLedger

HEARTBEAT_S: Final = 1.0
CANCEL_WAVE_S: Final = 7.0
"""Time between two waves of cancellations."""

CANCEL_RATIO: Final = 0.3
"""Part of one team's waiting requests that a wave cancels."""

CHECKPOINT_S: Final = 0.3
STOP_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Setup:
    """Policies of one run.

    Attributes:
        heartbeats: Whether entries tell each other their teams' service.
    """

    queue: Callable[[ShareLedger], QueuePolicy]
    reserve: Callable[[], ReservePolicy]
    lending: LendingPolicy
    entries: int = 1
    heartbeats: bool = True


@dataclass(slots=True)
class Outcome:
    """What a run came to.

    Attributes:
        idle_waiting_s: Slot time that stood idle while patient requests waited for it.
        overhead_s: Slot time spent on checkpoints and stops.
        service: Service by interval and team: running time, and completed jobs.
    """

    jobs: list[Job]
    end_s: float = 0.0
    idle_waiting_s: float = 0.0
    overhead_s: float = 0.0
    preemptions: int = 0
    run_s: dict[int, dict[TeamId, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )
    completed: dict[int, dict[TeamId, int]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(int))
    )


@dataclass(slots=True)
class _Entry:
    queues: dict[PoolId, QueuePolicy]
    ledgers: dict[PoolId, ShareLedger]
    coordinator: AdmissionCoordinator


@dataclass(slots=True)
class _Running:
    job: Job
    entry: _Entry
    server: BackendServer
    started_s: float


class VirtualFleet:
    """Runs a list of jobs through the policies; time goes from event to event."""

    def __init__(self, shape: Shape, setup: Setup, jobs: list[Job], seed: int) -> None:
        self._shape = shape
        self._setup = setup
        self._rng = random.Random(seed)
        self._entries = [self._entry() for _ in range(setup.entries)]
        self._router = LeastConnections()
        self._router.update_workers(_servers(shape), 0.0)
        self._jobs = {job.request.request_id: job for job in jobs}
        self._running: dict[AttemptId, _Running] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now_s = 0.0
        self._busy: dict[PoolId, int] = defaultdict(int)
        self._last_s = 0.0
        self.outcome = Outcome(jobs)

    def run(self, end_s: float) -> Outcome:
        """Run until a time and return what came of the jobs."""
        for job in self.outcome.jobs:
            self._at(job.request.arrived_s, partial(self._arrive, job))
        self._at(HEARTBEAT_S, self._heartbeat)
        self._at(CANCEL_WAVE_S, self._cancel_wave)
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self._events)
            self._account(at_s)
            self._now_s = at_s
            action()
            self._start_all()
        self.outcome.end_s = end_s
        return self.outcome

    def _entry(self) -> _Entry:
        pools = self._shape.pool_ids
        coordinator = AdmissionCoordinator(
            self._setup.lending, self._setup.entries, self._shape.meter
        )
        coordinator.set_weights(WEIGHTS)
        for pool in pools:
            coordinator.add_pool(pool, self._setup.reserve())
        coordinator.set_spare_pools(frozenset(pools[-1:]))
        coordinator.update_workers(_servers(self._shape))
        ledgers = {pool: coordinator.share_ledger(pool) for pool in pools}
        queues = {pool: self._setup.queue(ledgers[pool]) for pool in pools}
        return _Entry(queues, ledgers, coordinator)

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _arrive(self, job: Job) -> None:
        entry = self._rng.choice(self._entries)
        job.refused = not entry.queues[job.pool].offer(job.request, self._now_s)

    def _start_all(self) -> None:
        entries = self._rng.sample(self._entries, len(self._entries))
        # One start at a time from each entry: slots are shared, as between processes that race.
        while any([self._start_one(entry, pool) for entry in entries for pool in entry.queues]):
            pass
        for entry in entries:
            for pool, queue in entry.queues.items():
                waiting = queue.urgent_waiting(lambda request: True)
                for decision in entry.coordinator.reclaim(pool, waiting, self._now_s):
                    self._preempt(decision)

    def _start_one(self, entry: _Entry, home: PoolId) -> bool:
        def place(request: Request) -> BackendServer | None:
            for pool in entry.coordinator.pools_for(request, home, self._now_s):
                server = self._router.pick(pool, self._now_s, urgent=False)
                if server is not None:
                    return server
            return None

        queue = entry.queues[home]
        if not len(queue) or not self._room(home):
            return False
        request = queue.pop_next(self._now_s, lambda each: place(each) is not None)
        if request is None:
            return False
        server = place(request)
        assert server is not None
        self._start(entry, home, self._jobs[request.request_id], server)
        return True

    def _room(self, home: PoolId) -> bool:
        """Return whether the pool or the spare has a free slot at all."""
        spare = self._shape.pool_ids[-1]
        return min(self._busy[home], self._busy[spare]) < self._shape.pool_slots

    def _start(self, entry: _Entry, home: PoolId, job: Job, server: BackendServer) -> None:
        attempt_id = AttemptId(f"a{next(self._order)}")
        if job.first_start_s is None:
            job.first_start_s = self._now_s
        self._running[attempt_id] = _Running(job, entry, server, self._now_s)
        self._busy[server.pool] += 1
        self._router.on_attempt_started(attempt_id, server.vm, self._now_s)
        entry.coordinator.on_attempt_started(job.request, home, attempt_id, server, self._now_s)
        end_s = min(self._now_s + job.left_s, max(self._now_s, job.request.deadline_s))
        done = end_s == self._now_s + job.left_s
        outcome = AttemptOutcome.ANSWERED if done else AttemptOutcome.UNKNOWN
        self._at(end_s, lambda: self._end(attempt_id, outcome))

    def _end(self, attempt_id: AttemptId, outcome: AttemptOutcome) -> None:
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        job = running.job
        ran_s = self._now_s - running.started_s
        self._busy[running.server.pool] -= 1
        event = AttemptEnded(attempt_id, outcome, run_s=ran_s)
        self._router.on_attempt_ended(event, self._now_s)
        running.entry.coordinator.on_attempt_ended(event, self._now_s)
        if outcome is AttemptOutcome.ANSWERED:
            job.done_s = self._now_s
            self.outcome.completed[int(self._now_s)][job.team] += 1
        elif outcome is AttemptOutcome.UNKNOWN:
            job.refused = True
        else:
            self._requeue(running, ran_s, outcome)

    def _requeue(self, running: _Running, ran_s: float, outcome: AttemptOutcome) -> None:
        job = running.job
        if outcome is AttemptOutcome.CHECKPOINTED:
            job.left_s = max(0.0, job.left_s - ran_s)
        else:
            job.lost_s += ran_s
            job.left_s = job.run_s
        running.entry.queues[job.pool].requeue(job.request, self._now_s)

    def _preempt(self, decision: Preempt) -> None:
        checkpoint = decision.how is PreemptMethod.CHECKPOINT
        outcome = AttemptOutcome.CHECKPOINTED if checkpoint else AttemptOutcome.STOPPED
        delay_s = CHECKPOINT_S if checkpoint else STOP_S
        self.outcome.preemptions += 1
        self.outcome.overhead_s += delay_s
        self._at(self._now_s + delay_s, lambda: self._end(decision.attempt_id, outcome))

    def _heartbeat(self) -> None:
        self._at(self._now_s + HEARTBEAT_S, self._heartbeat)
        for queue in (queue for entry in self._entries for queue in entry.queues.values()):
            for late in queue.pop_expired(self._now_s):
                self._jobs[late.request_id].refused = True
        if not self._setup.heartbeats:
            return
        for number, entry in enumerate(self._entries):
            for pool, ledger in entry.ledgers.items():
                use = EntryService(
                    EntryId(f"entry-{number}"),
                    IncarnationId(1),
                    int(self._now_s / HEARTBEAT_S),
                    ledger.local_service(self._now_s),
                )
                for other in self._entries:
                    if other is not entry:
                        other.ledgers[pool].merge_peer_service(use)

    def _cancel_wave(self) -> None:
        self._at(self._now_s + CANCEL_WAVE_S, self._cancel_wave)
        team = self._rng.choice(sorted(WEIGHTS))
        for job in self.outcome.jobs:
            if job.team != team or job.request.arrived_s > self._now_s or job.first_start_s:
                continue
            if self._rng.random() < CANCEL_RATIO:
                taken = [e.queues[job.pool].cancel(job.request.request_id) for e in self._entries]
                job.cancelled = job.cancelled or any(taken)

    def _account(self, until_s: float) -> None:
        """Add up running time and idle slots from the last event to this one."""
        span_s = until_s - self._last_s
        interval = int(self._last_s)
        self._last_s = until_s
        for running in self._running.values():
            self.outcome.run_s[interval][running.job.team] += span_s
        for pool in self._shape.pool_ids:
            idle = self._shape.pool_slots - self._busy[pool]
            waiting = sum(len(entry.queues[pool]) for entry in self._entries)
            self.outcome.idle_waiting_s += span_s * min(idle, waiting)


def _servers(shape: Shape) -> list[BackendServer]:
    return [
        BackendServer(
            vm=VmId(f"{pool}-{number}"),
            pool=pool,
            address="127.0.0.1:9",
            slots=shape.slots,
            connections=64,
            data_centre="dc",
            rack=f"rack-{number // 4}",
        )
        for pool in shape.pool_ids
        for number in range(shape.workers)
    ]

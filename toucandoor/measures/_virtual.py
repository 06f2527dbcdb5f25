"""Event-driven simulation of the admission policies on fake backend servers, in virtual time."""

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
from toucandoor.measures._demand import WEIGHTS, Shape, SimulatedRequest

if TYPE_CHECKING:
    from toucandoor.core.admission.lending import LendingPolicy
    from toucandoor.core.admission.policy import QueuePolicy
    from toucandoor.core.admission.reserve import ReservePolicy
    from toucandoor.core.requests.models import Preempt
    from toucandoor.core.shares.ledger import ShareLedger

SERVICE_EXCHANGE_INTERVAL_S: Final = 1.0
CANCEL_INTERVAL_S: Final = 7.0
"""Time between two rounds of cancellations."""

CANCEL_RATIO: Final = 0.3
"""Part of one team's requests not yet started that a round cancels."""

CHECKPOINT_DURATION_S: Final = 0.3
STOP_DURATION_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Setup:
    """Policies and size of one simulation.

    Attributes:
        entries: Number of entries that share the backend servers.
        exchange_service: Whether entries send each other the service that each team received.
    """

    make_queue: Callable[[ShareLedger], QueuePolicy]
    make_reserve: Callable[[], ReservePolicy]
    lending: LendingPolicy
    entries: int = 1
    exchange_service: bool = True


@dataclass(slots=True)
class SimulationResult:
    """Requests of one simulation with their ends, and sums over its slots.

    Attributes:
        jobs: All requests, in the order of arrival.
        idle_waiting_s: Slot time that was idle while as many requests waited in the pool's queues.
        overhead_s: Slot time spent on checkpoints and stops.
        run_s: Run time by team, in intervals of one second.
        completed: Number of completed requests by team, in intervals of one second.
    """

    jobs: list[SimulatedRequest]
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
class _RunningAttempt:
    simulated: SimulatedRequest
    entry: _Entry
    server: BackendServer
    started_s: float


class VirtualFleet:
    """Runs drawn requests through the policies; virtual time advances from event to event."""

    def __init__(
        self, shape: Shape, setup: Setup, requests: list[SimulatedRequest], seed: int
    ) -> None:
        self._shape = shape
        self._setup = setup
        self._rng = random.Random(seed)
        self._entries = [self._new_entry() for _ in range(setup.entries)]
        self._router = LeastConnections()
        self._router.update_workers(_backend_servers(shape), 0.0)
        self._requests = {simulated.request.request_id: simulated for simulated in requests}
        self._running: dict[AttemptId, _RunningAttempt] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self._now_s = 0.0
        self._busy: dict[PoolId, int] = defaultdict(int)
        self._accounted_until_s = 0.0
        self.result = SimulationResult(requests)

    def run(self, end_s: float) -> SimulationResult:
        """Run until a virtual time and return the result."""
        for simulated in self.result.jobs:
            self._schedule(simulated.request.arrived_s, partial(self._arrive, simulated))
        self._schedule(SERVICE_EXCHANGE_INTERVAL_S, self._expire_and_exchange_service)
        self._schedule(CANCEL_INTERVAL_S, self._cancel_waiting)
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self._events)
            self._account(at_s)
            self._now_s = at_s
            action()
            self._start_all()
        self.result.end_s = end_s
        return self.result

    def _new_entry(self) -> _Entry:
        pools = self._shape.pool_ids
        coordinator = AdmissionCoordinator(
            self._setup.lending, self._setup.entries, self._shape.meter
        )
        coordinator.set_weights(WEIGHTS)
        for pool in pools:
            coordinator.add_pool(pool, self._setup.make_reserve())
        coordinator.set_spare_pools(frozenset(pools[-1:]))
        coordinator.update_workers(_backend_servers(self._shape))
        ledgers = {pool: coordinator.share_ledger(pool) for pool in pools}
        queues = {pool: self._setup.make_queue(ledgers[pool]) for pool in pools}
        return _Entry(queues, ledgers, coordinator)

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _arrive(self, simulated: SimulatedRequest) -> None:
        entry = self._rng.choice(self._entries)
        simulated.unanswered = not entry.queues[simulated.pool].offer(
            simulated.request, self._now_s
        )

    def _start_all(self) -> None:
        entries = self._rng.sample(self._entries, len(self._entries))
        # Each entry starts one request in turn, as processes do that compete for the same slots.
        while any([self._start_one(entry, pool) for entry in entries for pool in entry.queues]):
            pass
        for entry in entries:
            for pool, queue in entry.queues.items():
                waiting = queue.urgent_waiting(lambda request: True)
                for decision in entry.coordinator.reclaim(pool, waiting, self._now_s):
                    self._preempt(decision)

    def _start_one(self, entry: _Entry, home: PoolId) -> bool:
        def find_server(request: Request) -> BackendServer | None:
            for pool in entry.coordinator.pools_for(request, home, self._now_s):
                server = self._router.pick(pool, self._now_s, urgent=False)
                if server is not None:
                    return server
            return None

        queue = entry.queues[home]
        if not len(queue) or not self._may_have_free_slot(home):
            return False
        request = queue.pop_next(self._now_s, lambda each: find_server(each) is not None)
        if request is None:
            return False
        server = find_server(request)
        assert server is not None
        self._start_attempt(entry, home, self._requests[request.request_id], server)
        return True

    def _may_have_free_slot(self, home: PoolId) -> bool:
        """Return whether the pool or the spare pool has a free slot, before trying to place any."""
        spare = self._shape.pool_ids[-1]
        return min(self._busy[home], self._busy[spare]) < self._shape.pool_slots

    def _start_attempt(
        self, entry: _Entry, home: PoolId, simulated: SimulatedRequest, server: BackendServer
    ) -> None:
        attempt_id = AttemptId(f"a{next(self._sequence)}")
        if simulated.first_start_s is None:
            simulated.first_start_s = self._now_s
        self._running[attempt_id] = _RunningAttempt(simulated, entry, server, self._now_s)
        self._busy[server.pool] += 1
        self._router.on_attempt_started(attempt_id, server.vm, self._now_s)
        entry.coordinator.on_attempt_started(
            simulated.request, home, attempt_id, server, self._now_s
        )
        end_s = min(
            self._now_s + simulated.remaining_s, max(self._now_s, simulated.request.deadline_s)
        )
        done = end_s == self._now_s + simulated.remaining_s
        outcome = AttemptOutcome.ANSWERED if done else AttemptOutcome.UNKNOWN
        self._schedule(end_s, lambda: self._end_attempt(attempt_id, outcome))

    def _end_attempt(self, attempt_id: AttemptId, outcome: AttemptOutcome) -> None:
        running = self._running.pop(attempt_id, None)
        if running is None:
            return
        simulated = running.simulated
        ran_s = self._now_s - running.started_s
        self._busy[running.server.pool] -= 1
        event = AttemptEnded(attempt_id, outcome, run_s=ran_s)
        self._router.on_attempt_ended(event, self._now_s)
        running.entry.coordinator.on_attempt_ended(event, self._now_s)
        if outcome is AttemptOutcome.ANSWERED:
            simulated.finished_s = self._now_s
            self.result.completed[int(self._now_s)][simulated.team] += 1
        elif outcome is AttemptOutcome.UNKNOWN:
            simulated.unanswered = True
        else:
            self._requeue(running, ran_s, outcome)

    def _requeue(self, running: _RunningAttempt, ran_s: float, outcome: AttemptOutcome) -> None:
        simulated = running.simulated
        if outcome is AttemptOutcome.CHECKPOINTED:
            simulated.remaining_s = max(0.0, simulated.remaining_s - ran_s)
        else:
            simulated.discarded_s += ran_s
            simulated.remaining_s = simulated.run_s
        running.entry.queues[simulated.pool].requeue(simulated.request, self._now_s)

    def _preempt(self, decision: Preempt) -> None:
        checkpoint = decision.how is PreemptMethod.CHECKPOINT
        outcome = AttemptOutcome.CHECKPOINTED if checkpoint else AttemptOutcome.STOPPED
        delay_s = CHECKPOINT_DURATION_S if checkpoint else STOP_DURATION_S
        self.result.preemptions += 1
        self.result.overhead_s += delay_s
        self._schedule(
            self._now_s + delay_s, lambda: self._end_attempt(decision.attempt_id, outcome)
        )

    def _expire_and_exchange_service(self) -> None:
        self._schedule(self._now_s + SERVICE_EXCHANGE_INTERVAL_S, self._expire_and_exchange_service)
        for queue in (queue for entry in self._entries for queue in entry.queues.values()):
            for late in queue.pop_expired(self._now_s):
                self._requests[late.request_id].unanswered = True
        if not self._setup.exchange_service:
            return
        for number, entry in enumerate(self._entries):
            for pool, ledger in entry.ledgers.items():
                service = EntryService(
                    EntryId(f"entry-{number}"),
                    IncarnationId(1),
                    int(self._now_s / SERVICE_EXCHANGE_INTERVAL_S),
                    ledger.local_service(self._now_s),
                )
                for other in self._entries:
                    if other is not entry:
                        other.ledgers[pool].merge_peer_service(service)

    def _cancel_waiting(self) -> None:
        self._schedule(self._now_s + CANCEL_INTERVAL_S, self._cancel_waiting)
        team = self._rng.choice(sorted(WEIGHTS))
        for simulated in self.result.jobs:
            if (
                simulated.team != team
                or simulated.request.arrived_s > self._now_s
                or simulated.first_start_s
            ):
                continue
            if self._rng.random() < CANCEL_RATIO:
                removed = [
                    e.queues[simulated.pool].cancel(simulated.request.request_id)
                    for e in self._entries
                ]
                simulated.cancelled = simulated.cancelled or any(removed)

    def _account(self, until_s: float) -> None:
        """Add the run time and the idle slot time since the last event to the result."""
        span_s = until_s - self._accounted_until_s
        interval = int(self._accounted_until_s)
        self._accounted_until_s = until_s
        for running in self._running.values():
            self.result.run_s[interval][running.simulated.team] += span_s
        for pool in self._shape.pool_ids:
            idle = self._shape.pool_slots - self._busy[pool]
            waiting = sum(len(entry.queues[pool]) for entry in self._entries)
            self.result.idle_waiting_s += span_s * min(idle, waiting)


def _backend_servers(shape: Shape) -> list[BackendServer]:
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

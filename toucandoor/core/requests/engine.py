"""Request engine of one entry: takes events, returns what to do.

It owns the waiting requests and running attempts; policies for queues, routing and permits are
passed in. It does no input or output and never waits.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.admission.slots import OpenAdmission, SlotAdmission
from toucandoor.core.requests.const import ATTEMPTS_MAX, START_WITHIN_S
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    Cancelled,
    Decision,
    Dispatch,
    Event,
    Fate,
    Refuse,
    Request,
    Submitted,
    Tick,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from toucandoor.core.admission.policy import QueuePolicy
    from toucandoor.core.ceilings.policy import PermitPolicy
    from toucandoor.core.configuration.models import Configuration, QueueConfig
    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.core.requests.models import BackendServer, RequestClass
    from toucandoor.core.routing.policy import RoutingPolicy
    from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId, VmId

_NOT_RUN_OUTCOMES = (AttemptOutcome.BUSY, AttemptOutcome.DRAINING, AttemptOutcome.UNREACHABLE)
_PREEMPTED_OUTCOMES = (AttemptOutcome.CHECKPOINTED, AttemptOutcome.STOPPED)


@dataclass(slots=True)
class _Running:
    request: Request
    vm: VmId
    address: str


@dataclass(slots=True)
class _History:
    attempts: int = 0
    avoid: set[VmId] = field(default_factory=set)
    last_detail: str = ""
    resume_token: str | None = None


@dataclass(frozen=True, slots=True)
class _Place:
    """Where a request may start; equal for requests that find room in the same places.

    Attributes:
        only: The request, when it avoids servers it has failed on.
    """

    only: RequestId | None
    request_class: RequestClass
    pools: tuple[PoolId, ...]


class RequestEngine:
    """Decides over all requests of one entry.

    Args:
        make_queue: Makes the queue policy of a queue.
        new_attempt_id: Returns an id no other attempt ever has.
        admission: Policy of the pools' slots.
    """

    def __init__(
        self,
        *,
        make_queue: Callable[[QueueConfig], QueuePolicy],
        routing: RoutingPolicy,
        permits: PermitPolicy,
        lease: ServingLease,
        new_attempt_id: Callable[[], AttemptId],
        admission: SlotAdmission | None = None,
    ) -> None:
        self._make_queue = make_queue
        self._routing = routing
        self._permits = permits
        self._lease = lease
        self._new_attempt_id = new_attempt_id
        self._admission = admission or OpenAdmission()
        self._configuration: Configuration | None = None
        self._queues: dict[QueueId, QueuePolicy] = {}
        self._running: dict[AttemptId, _Running] = {}
        self._history: defaultdict[RequestId, _History] = defaultdict(_History)
        self._held: dict[AttemptId, float] = {}

    def configure(self, configuration: Configuration, now_s: float = 0.0) -> None:
        """Put a configuration in force; waiting requests stay."""
        self._configuration = configuration
        self._admission.configure(configuration, now_s)
        for queue_id, queue in configuration.queues.items():
            if queue_id not in self._queues:
                self._queues[queue_id] = self._make_queue(queue)

    def update_servers(self, servers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers."""
        servers = tuple(servers)
        self._routing.update_servers(servers, now_s)
        self._admission.update_servers(servers)

    def counts(self) -> dict[str, int]:
        """Return how many requests wait and how many attempts run."""
        waiting = sum(len(queue) for queue in self._queues.values())
        return {"waiting": waiting, "running": len(self._running)}

    def handle(self, event: Event, now_s: float) -> list[Decision]:
        """Take one event in and return the decisions that follow, in order."""
        match event:
            case Submitted(request):
                return self._submitted(request, now_s)
            case Cancelled(request_id):
                return self._cancelled(request_id, now_s)
            case AttemptEnded():
                return self._attempt_ended(event, now_s)
            case Tick():
                return self._tick(now_s)

    def _submitted(self, request: Request, now_s: float) -> list[Decision]:
        queue = self._queues.get(request.queue)
        if queue is None or self._configuration is None:
            return [self._refuse(request, 404, "no such queue", "admission.queue")]
        refusal = self._check_team(request, now_s)
        if refusal is not None:
            return [refusal]
        if not queue.offer(request, now_s):
            return [
                self._refuse(
                    request, 503, "the queue is full", "admission.queue", queue.retry_after_s(now_s)
                )
            ]
        return self._start_waiting(request.queue, now_s) + self._reclaim(now_s)

    def _check_team(self, request: Request, now_s: float) -> Refuse | None:
        if request.team is None:
            return None
        if not self._lease.holds(now_s):
            reason = "this data centre is cut off; keyed work is not taken"
            return self._refuse(request, 503, reason, "lease.check", 5.0)
        team = self._configuration.teams.get(request.team) if self._configuration else None
        if team is None:
            return self._refuse(request, 403, "no such team", "admission.team")
        if team.ceiling_running == 0:
            return self._refuse(request, 429, "the team's ceiling is 0", "admission.ceiling")
        return None

    def _start_waiting(self, queue_id: QueueId, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        queue = self._queues[queue_id]
        set_aside: list[Request] = []
        no_room: set[_Place] = set()
        while True:
            request = queue.next(now_s, lambda each: self._may_start(each, now_s, no_room))
            if request is None:
                break
            decision = self._dispatch(request, now_s)
            if decision is None:
                # Others may still find room elsewhere: an urgent one in the spare pool.
                no_room.add(self._place(request, now_s))
                set_aside.append(request)
                continue
            decisions.append(decision)
        for request in reversed(set_aside):
            queue.put_back(request, now_s)
        return decisions

    def _reclaim(self, now_s: float) -> list[Decision]:
        """Ask patient tasks to make room for urgent requests that wait for nothing else."""
        assert self._configuration is not None
        urgent: Counter[PoolId] = Counter()
        for queue_id, queue in self._queues.items():
            waiting = queue.urgent_waiting(lambda each: self._may_run(each, now_s))
            urgent[self._configuration.queues[queue_id].pool] += waiting
        return [
            decision
            for pool, waiting in urgent.items()
            if waiting
            for decision in self._admission.reclaim(pool, waiting, now_s)
        ]

    def _may_start(self, request: Request, now_s: float, no_room: set[_Place]) -> bool:
        if not self._may_run(request, now_s):
            return False
        place = self._place(request, now_s)
        return bool(place.pools) and place not in no_room

    def _place(self, request: Request, now_s: float) -> _Place:
        history = self._history.get(request.request_id)
        only = request.request_id if history and history.avoid else None
        return _Place(only, request.request_class, tuple(self._pools_for(request, now_s)))

    def _pools_for(self, request: Request, now_s: float) -> Iterator[PoolId]:
        assert self._configuration is not None
        home = self._configuration.queues[request.queue].pool
        return self._admission.pools_for(request, home, now_s)

    def _may_run(self, request: Request, now_s: float) -> bool:
        if request.team is None:
            return True
        return self._lease.holds(now_s) and self._permits.may_take(request.team, now_s)

    def _dispatch(self, request: Request, now_s: float) -> Dispatch | None:
        assert self._configuration is not None
        pool = self._configuration.queues[request.queue].pool
        urgent = request.request_class.value == "urgent"
        history = self._history[request.request_id]
        server = None
        for candidate in self._pools_for(request, now_s):
            server = self._routing.pick(candidate, now_s, urgent=urgent, exclude=history.avoid)
            if server is not None:
                break
        if server is None:
            return None
        attempt_id = self._new_attempt_id()
        if request.team is not None and not self._permits.take(request.team, attempt_id, now_s):
            return None
        history.attempts += 1
        self._running[attempt_id] = _Running(request, server.vm, server.address)
        self._routing.started(attempt_id, server.vm, now_s)
        self._admission.started(request, pool, attempt_id, server, now_s)
        return Dispatch(
            request_id=request.request_id,
            attempt_id=attempt_id,
            vm=server.vm,
            address=server.address,
            start_by_s=min(now_s + START_WITHIN_S, request.deadline_s),
            lease_s=self._configuration.policy.task_lease_s,
            resume_token=history.resume_token,
        )

    def _attempt_ended(self, event: AttemptEnded, now_s: float) -> list[Decision]:
        running = self._running.pop(event.attempt_id, None)
        if running is None:
            return []
        self._routing.ended(event, now_s)
        self._admission.ended(event, now_s)
        if event.outcome is AttemptOutcome.UNKNOWN:
            # The task may still run: its permit is free only when its lease has run out.
            assert self._configuration is not None
            self._held[event.attempt_id] = now_s + self._configuration.policy.task_lease_s
        else:
            self._permits.give_back(event.attempt_id, now_s)
        decisions = self._after_attempt(running, event, now_s)
        return decisions + self._start_all_waiting(now_s)

    def _after_attempt(
        self, running: _Running, event: AttemptEnded, now_s: float
    ) -> list[Decision]:
        request = running.request
        if event.outcome is AttemptOutcome.ANSWERED:
            self._history.pop(request.request_id, None)
            return [Answer(request.request_id, event.attempt_id)]
        if event.outcome is AttemptOutcome.FAILED:
            reason = event.detail or "the task failed"
            return [self._give_up(running, 502, reason, Fate.FAILED)]
        if event.outcome in _PREEMPTED_OUTCOMES and now_s < request.deadline_s:
            return self._resume_later(request, event, now_s)
        not_run = event.outcome in _NOT_RUN_OUTCOMES
        if not not_run and not request.idempotent:
            return [self._give_up(running, 502, "no whole answer came", Fate.UNKNOWN)]
        history = self._history[request.request_id]
        if event.outcome is not AttemptOutcome.BUSY:
            history.avoid.add(running.vm)
        if history.attempts >= ATTEMPTS_MAX or now_s >= request.deadline_s:
            fate = Fate.NOT_RUN if not_run else Fate.UNKNOWN
            return [self._give_up(running, 503, f"last attempt: {event.outcome.value}", fate)]
        self._queues[request.queue].put_back(request, now_s)
        return []

    def _resume_later(self, request: Request, event: AttemptEnded, now_s: float) -> list[Decision]:
        """Queue a preempted request again; a preemption is no failed attempt."""
        history = self._history[request.request_id]
        history.attempts -= 1
        if event.outcome is AttemptOutcome.CHECKPOINTED:
            history.resume_token = event.resume_token
        self._queues[request.queue].put_back(request, now_s)
        return []

    def _start_all_waiting(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for queue_id, queue in self._queues.items():
            if len(queue):
                decisions.extend(self._start_waiting(queue_id, now_s))
        return decisions + self._reclaim(now_s) if self._configuration else decisions

    def _cancelled(self, request_id: RequestId, now_s: float) -> list[Decision]:
        for queue in self._queues.values():
            request = queue.cancel(request_id)
            if request is not None:
                return [self._refuse(request, 503, "cancelled by the caller", "admission.cancel")]
        return []

    def _tick(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for attempt_id in [a for a, until_s in self._held.items() if until_s <= now_s]:
            del self._held[attempt_id]
            self._permits.give_back(attempt_id, now_s)
        for queue in self._queues.values():
            for request in queue.expired(now_s):
                reason = "the deadline passed before it could start"
                retry_s = queue.retry_after_s(now_s)
                decisions.append(self._refuse(request, 504, reason, "admission.deadline", retry_s))
        return decisions + self._start_all_waiting(now_s)

    def _refuse(
        self,
        request: Request,
        status: int,
        reason: str,
        step: str,
        retry_after_s: float | None = None,
    ) -> Refuse:
        self._history.pop(request.request_id, None)
        return Refuse(
            request.request_id,
            status,
            reason,
            Fate.NOT_RUN,
            step,
            retry_after_s=retry_after_s,
        )

    def _give_up(self, running: _Running, status: int, reason: str, fate: Fate) -> Refuse:
        request_id = running.request.request_id
        self._history.pop(request_id, None)
        return Refuse(request_id, status, reason, fate, "attempt", running.address, None)

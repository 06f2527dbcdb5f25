"""Request engine of one entry: handles events and returns decisions.

It owns the waiting requests and the attempts in progress; policies for queues, routing and permits
are injected. It performs no I/O and never blocks.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from toucandoor.core.admission.slots import OpenAdmission, SlotAdmission
from toucandoor.core.attempts.budget import RetryBudget
from toucandoor.core.attempts.models import (
    AnswerFetched,
    AttemptDecision,
    RecordOutcome,
    Requeue,
    TaskEnded,
    TaskQueried,
    WorkerUnreachable,
)
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.requests.commands import ProbeWorker, WorkerProbed
from toucandoor.core.requests.const import START_WITHIN_S, STOPPING_RETRY_AFTER_S
from toucandoor.core.requests.keyed_gate import NO_LEASE, KeyedGate, Refusal
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    Cancelled,
    Dispatch,
    ExecutionStatus,
    Refuse,
    Request,
    Submitted,
    Tick,
)
from toucandoor.core.requests.pending import PendingRequest, PlacementKey

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from toucandoor.core.admission.policy import QueuePolicy
    from toucandoor.core.ceilings.policy import PermitPolicy
    from toucandoor.core.configuration.models import Configuration, QueueConfig
    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.core.requests.commands import EngineDecision, EngineEvent
    from toucandoor.core.requests.models import BackendServer
    from toucandoor.core.routing.policy import RoutingPolicy
    from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId


class RequestEngine:
    """Queues, dispatches, retries and refuses the requests of one entry.

    Args:
        make_queue: Returns a new queue policy for a queue.
        routing: Policy that selects backend servers.
        permits: Policy of the permits for keyed requests.
        lease: The entry's serving lease; without it no keyed request starts. Those that wait are
            refused once it has not held for another ``entry_lease_s``.
        new_attempt_id: Returns a globally unique attempt id.
        admission: Policy of the pools' slots; by default all slots of a pool are open to its
            requests.
        tracker: Tracks attempts and decides on retries.
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
        tracker: AttemptTracker | None = None,
    ) -> None:
        self._make_queue = make_queue
        self._routing = routing
        self._permits = permits
        self._gate = KeyedGate(permits, lease)
        self._new_attempt_id = new_attempt_id
        self._admission = admission or OpenAdmission()
        self._configuration: Configuration | None = None
        self._pending_refusals: list[EngineDecision] = []
        self._queues: dict[QueueId, QueuePolicy] = {}
        self._requests: dict[RequestId, PendingRequest] = {}
        self._tracker = tracker or AttemptTracker(RetryBudget(Random(0)), routing.is_healthy)

    def configure(self, configuration: Configuration, now_s: float = 0.0) -> None:
        """Apply a configuration.

        Waiting requests stay queued, except those whose key was withdrawn or whose queue was
        removed: their refusals are returned with the next event.
        """
        self._configuration = configuration
        self._gate.configure(configuration)
        self._admission.configure(configuration, now_s)
        for queue_id, queue in configuration.queues.items():
            if queue_id not in self._queues:
                self._queues[queue_id] = self._make_queue(queue)
        self._refuse_withdrawn_keys()
        for queue_id in self._queues.keys() - configuration.queues.keys():
            self._refuse_queue(queue_id)
            del self._queues[queue_id]

    def update_workers(self, workers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers."""
        workers = tuple(workers)
        self._routing.update_workers(workers, now_s)
        self._admission.update_workers(workers)

    def counts(self) -> dict[str, int]:
        """Return the numbers of waiting requests and of attempts whose answer is awaited."""
        waiting = sum(len(queue) for queue in self._queues.values())
        return {"waiting": waiting, "running": self._tracker.awaited_count()}

    def handle(self, event: EngineEvent, now_s: float) -> list[EngineDecision]:
        """Handle one event and return the resulting decisions in order."""
        decisions = self._decide(event, now_s)
        refusals, self._pending_refusals = self._pending_refusals, []
        return refusals + decisions

    def _decide(self, event: EngineEvent, now_s: float) -> list[EngineDecision]:
        match event:
            case Submitted(request):
                return self._on_submitted(request, now_s)
            case Cancelled(request_id):
                reason, step = "cancelled by the caller", "admission.cancel"
                return self._cancel(request_id, now_s, reason, step)
            case AttemptEnded():
                return self._on_attempt_ended(event, now_s)
            case TaskQueried():
                return self._apply(self._tracker.on_task_queried(event, now_s), now_s)
            case AnswerFetched():
                return self._apply(self._tracker.on_answer_fetched(event, now_s), now_s)
            case WorkerProbed():
                return self._on_worker_probed(event, now_s)
            case Tick():
                return self._tick(now_s)

    def _on_submitted(self, request: Request, now_s: float) -> list[EngineDecision]:
        queue = self._queues.get(request.queue)
        if queue is None or self._configuration is None:
            return [self._refuse(request, 404, "no such queue", "admission.queue")]
        refusal = self._gate.check(request, now_s)
        if refusal is not None:
            return [self._refuse_as(request, refusal)]
        self._requests[request.request_id] = PendingRequest(request)
        if not queue.offer(request, now_s):
            return [
                self._refuse(
                    request, 503, "the queue is full", "admission.queue", queue.retry_after_s(now_s)
                )
            ]
        return self._start_waiting(request.queue, now_s) + self._reclaim(now_s)

    def _start_waiting(self, queue_id: QueueId, now_s: float) -> list[EngineDecision]:
        decisions: list[EngineDecision] = []
        queue = self._queues[queue_id]
        skipped: list[Request] = []
        exhausted: set[PlacementKey] = set()
        while True:
            request = queue.pop_next(now_s, lambda each: self._may_start(each, now_s, exhausted))
            if request is None:
                break
            decision = self._dispatch(request, now_s)
            if decision is None:
                # Requests with another placement key may still find room, for example urgent
                # ones in the spare pool.
                exhausted.add(self._placement_key(request, now_s))
                skipped.append(request)
                continue
            decisions.append(decision)
        for request in reversed(skipped):
            queue.requeue(request, now_s)
        return decisions

    def _reclaim(self, now_s: float) -> list[EngineDecision]:
        """Preempt patient tasks for urgent requests that wait only for a free slot."""
        assert self._configuration is not None
        urgent: Counter[PoolId] = Counter()
        for queue_id, queue in self._queues.items():
            waiting = queue.urgent_waiting(lambda each: self._gate.may_run(each, now_s))
            urgent[self._configuration.queues[queue_id].pool] += waiting
        return [
            decision
            for pool, waiting in urgent.items()
            if waiting
            for decision in self._admission.reclaim(pool, waiting, now_s)
        ]

    def _may_start(self, request: Request, now_s: float, exhausted: set[PlacementKey]) -> bool:
        requeue = self._requests[request.request_id].requeue
        if requeue is not None and now_s < requeue.not_before_s:
            return False
        if not self._gate.may_run(request, now_s):
            return False
        key = self._placement_key(request, now_s)
        return bool(key.pools) and key not in exhausted

    def _placement_key(self, request: Request, now_s: float) -> PlacementKey:
        requeue = self._requests[request.request_id].requeue
        excluding = request.request_id if requeue and requeue.exclude else None
        return PlacementKey(
            excluding, request.request_class, tuple(self._pools_for(request, now_s))
        )

    def _pools_for(self, request: Request, now_s: float) -> Iterator[PoolId]:
        assert self._configuration is not None
        home = self._configuration.queues[request.queue].pool
        return self._admission.pools_for(request, home, now_s)

    def _refuse_withdrawn_keys(self) -> None:
        """Refuse the waiting requests whose key is no longer valid."""
        for request in self._remove_waiting(lambda each: not self._gate.is_key_valid(each)):
            reason = "the key was withdrawn"
            self._pending_refusals.append(self._refuse(request, 401, reason, "admission.key"))

    def _refuse_queue(self, queue_id: QueueId) -> None:
        """Refuse the requests that wait in a queue about to be removed."""
        for request in self._remove_waiting(lambda each: each.queue == queue_id):
            self._pending_refusals.append(self._refuse_without_queue(request))

    def _refuse_after_lapse(self, now_s: float) -> list[EngineDecision]:
        """Refuse the waiting keyed requests when the lease is not renewed."""
        if not self._gate.has_lapsed(now_s):
            return []
        waiting = self._remove_waiting(lambda each: each.team is not None)
        return [self._refuse_as(request, NO_LEASE) for request in waiting]

    def _remove_waiting(self, matches: Callable[[Request], bool]) -> list[Request]:
        """Remove the waiting requests that match from their queues and return them."""
        requests = [each.request for each in self._requests.values() if matches(each.request)]
        return [request for request in requests if self._remove_from_queue(request)]

    def _remove_from_queue(self, request: Request) -> bool:
        """Remove a request from its queue; return False when it does not wait there."""
        queue = self._queues.get(request.queue)
        return queue is not None and queue.cancel(request.request_id) is not None

    def _refuse_as(self, request: Request, cause: Refusal) -> Refuse:
        return self._refuse(request, cause.status, cause.reason, cause.step, cause.retry_after_s)

    def _refuse_without_queue(self, request: Request) -> Refuse:
        return self._refuse(request, 404, "the queue was removed", "admission.queue")

    def _dispatch(self, request: Request, now_s: float) -> Dispatch | None:
        assert self._configuration is not None
        pool = self._configuration.queues[request.queue].pool
        urgent = request.request_class.value == "urgent"
        requeue = self._requests[request.request_id].requeue
        exclude = requeue.exclude if requeue else frozenset()
        worker = None
        for candidate in self._pools_for(request, now_s):
            worker = self._routing.pick(
                candidate, now_s, urgent=urgent, exclude=exclude, trial=request.idempotent
            )
            if worker is not None:
                break
        if worker is None:
            return None
        attempt_id = self._new_attempt_id()
        if request.team is not None and not self._permits.acquire(request.team, attempt_id, now_s):
            return None
        dispatch = Dispatch(
            request_id=request.request_id,
            attempt_id=attempt_id,
            vm=worker.vm,
            address=worker.address,
            start_by_s=min(now_s + START_WITHIN_S, request.deadline_s),
            lease_s=self._configuration.policy.task_lease_s,
            resume_token=requeue.resume_token if requeue else None,
        )
        self._routing.on_attempt_started(attempt_id, worker.vm, now_s)
        self._admission.on_attempt_started(request, pool, attempt_id, worker, now_s)
        self._tracker.on_attempt_started(request, dispatch, now_s)
        return dispatch

    def _on_attempt_ended(self, event: AttemptEnded, now_s: float) -> list[EngineDecision]:
        # After a lost connection the outcome is recorded only once the backend server was queried.
        if event.outcome is not AttemptOutcome.UNKNOWN:
            self._record_attempt_end(event, now_s)
        return self._apply(self._tracker.on_attempt_ended(event, now_s), now_s)

    def _record_attempt_end(self, event: AttemptEnded, now_s: float) -> None:
        """Report an attempt's end to the policies, which ignore repeated reports."""
        self._routing.on_attempt_ended(event, now_s)
        self._admission.on_attempt_ended(event, now_s)

    def _apply(self, decisions: Iterable[AttemptDecision], now_s: float) -> list[EngineDecision]:
        """Apply decisions that concern the policies, then start waiting requests.

        Returns:
            The decisions left to the callers and the worker client, and the new dispatches.
        """
        forwarded: list[EngineDecision] = []
        for decision in decisions:
            match decision:
                case TaskEnded(attempt_id):
                    self._record_attempt_end(
                        AttemptEnded(attempt_id, AttemptOutcome.STOPPED), now_s
                    )
                    self._permits.release(attempt_id, now_s)
                case RecordOutcome(attempt_id, outcome):
                    self._record_attempt_end(AttemptEnded(attempt_id, outcome), now_s)
                case WorkerUnreachable(vm):
                    self._routing.mark_unreachable(vm, now_s)
                case Requeue():
                    self._requeue(decision, now_s)
                case Answer() | Refuse():
                    self._requests.pop(decision.request_id, None)
                    forwarded.append(decision)
                case _:
                    forwarded.append(decision)
        return forwarded + self._start_all_waiting(now_s)

    def _requeue(self, decision: Requeue, now_s: float) -> None:
        pending = self._requests.get(decision.request_id)
        if pending is None:
            return
        pending.requeue = decision
        queue = self._queues.get(pending.request.queue)
        if queue is None:
            self._pending_refusals.append(self._refuse_without_queue(pending.request))
            return
        queue.requeue(pending.request, now_s)

    def _on_worker_probed(self, event: WorkerProbed, now_s: float) -> list[EngineDecision]:
        if not event.reached:
            return []
        self._routing.on_worker_probed(event.vm, draining=event.draining, now_s=now_s)
        return self._start_all_waiting(now_s)

    def _start_all_waiting(self, now_s: float) -> list[EngineDecision]:
        decisions: list[EngineDecision] = []
        for queue_id, queue in self._queues.items():
            if len(queue):
                decisions.extend(self._start_waiting(queue_id, now_s))
        return decisions + self._reclaim(now_s) if self._configuration else decisions

    def refuse_all(self, now_s: float) -> list[EngineDecision]:
        """Refuse every request because this entry is stopping."""
        reason, step = "this entry is stopping", "entry.stop"
        decisions: list[EngineDecision] = []
        # Refuse waiting requests first, so that none starts when a running one is stopped.
        for request in self._remove_waiting(lambda _: True):
            decisions.append(self._refuse(request, 503, reason, step, STOPPING_RETRY_AFTER_S))
        for request_id in list(self._requests):
            decisions += self._cancel(request_id, now_s, reason, step)
        return decisions

    def _cancel(
        self, request_id: RequestId, now_s: float, reason: str, step: str
    ) -> list[EngineDecision]:
        for queue in self._queues.values():
            request = queue.cancel(request_id)
            if request is not None:
                return [self._refuse(request, 503, reason, step)]
        known = self._requests.pop(request_id, None) is not None
        decisions = self._apply(self._tracker.on_request_cancelled(request_id, now_s), now_s)
        if not known:
            return decisions
        # Without a refusal, a caller's thread that is still to send the attempt would wait for its
        # answer.
        return [Refuse(request_id, 503, reason, ExecutionStatus.UNKNOWN, step), *decisions]

    def _tick(self, now_s: float) -> list[EngineDecision]:
        decisions = self._refuse_after_lapse(now_s)
        for worker in self._routing.due_for_probe(now_s):
            decisions.append(ProbeWorker(worker.vm, worker.address))
        for queue in self._queues.values():
            for request in queue.pop_expired(now_s):
                reason = "the deadline passed before it could start"
                retry_s = queue.retry_after_s(now_s)
                decisions.append(self._refuse(request, 504, reason, "admission.deadline", retry_s))
        return decisions + self._apply(self._tracker.tick(now_s), now_s)

    def _refuse(
        self,
        request: Request,
        status: int,
        reason: str,
        step: str,
        retry_after_s: float | None = None,
    ) -> Refuse:
        execution_status = self._tracker.execution_status_of(request.request_id)
        self._tracker.forget_request(request.request_id)
        self._requests.pop(request.request_id, None)
        return Refuse(
            request.request_id,
            status,
            reason,
            execution_status,
            step,
            retry_after_s=retry_after_s if execution_status is ExecutionStatus.NOT_RUN else None,
        )

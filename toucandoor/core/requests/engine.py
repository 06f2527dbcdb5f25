"""Request engine of one entry: takes events, returns what to do.

It owns the waiting requests and running attempts; policies for queues, routing and permits are
passed in. It does no input or output and never waits.
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
    Judged,
    OutOfReach,
    Requeue,
    TaskEnded,
    TaskWord,
)
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.keys import KeyRing
from toucandoor.core.requests.commands import ProbeServer, ServerProbed
from toucandoor.core.requests.const import START_WITHIN_S, STOP_RETRY_S
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    Cancelled,
    Dispatch,
    Fate,
    Refuse,
    Request,
    Submitted,
    Tick,
)
from toucandoor.core.requests.waiting import StartPlace, WaitingRequest

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
    """Decides over all requests of one entry.

    Args:
        make_queue: Makes the queue policy of a queue.
        new_attempt_id: Returns an id no other attempt ever has.
        admission: Policy of the pools' slots.
        tracker: Decides what becomes of each attempt.
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
        self._lease = lease
        self._new_attempt_id = new_attempt_id
        self._admission = admission or OpenAdmission()
        self._configuration: Configuration | None = None
        self._keys: KeyRing | None = None
        self._given_up: list[EngineDecision] = []
        self._queues: dict[QueueId, QueuePolicy] = {}
        self._requests: dict[RequestId, WaitingRequest] = {}
        self._tracker = tracker or AttemptTracker(RetryBudget(Random(0)), routing.is_healthy)

    def configure(self, configuration: Configuration, now_s: float = 0.0) -> None:
        """Put a configuration in force; waiting requests stay."""
        self._configuration = configuration
        self._keys = KeyRing(configuration)
        self._admission.configure(configuration, now_s)
        for queue_id, queue in configuration.queues.items():
            if queue_id not in self._queues:
                self._queues[queue_id] = self._make_queue(queue)
        self._give_up_withdrawn()
        for queue_id in self._queues.keys() - configuration.queues.keys():
            self._give_up_waiting(queue_id)
            del self._queues[queue_id]

    def update_servers(self, servers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers."""
        servers = tuple(servers)
        self._routing.update_servers(servers, now_s)
        self._admission.update_servers(servers)

    def counts(self) -> dict[str, int]:
        """Return how many requests wait and how many attempts run."""
        waiting = sum(len(queue) for queue in self._queues.values())
        return {"waiting": waiting, "running": self._tracker.under_way()}

    def handle(self, event: EngineEvent, now_s: float) -> list[EngineDecision]:
        """Take one event in and return the decisions that follow, in order."""
        decisions = self._decide(event, now_s)
        given_up, self._given_up = self._given_up, []
        return given_up + decisions

    def _decide(self, event: EngineEvent, now_s: float) -> list[EngineDecision]:
        match event:
            case Submitted(request):
                return self._submitted(request, now_s)
            case Cancelled(request_id):
                reason, step = "cancelled by the caller", "admission.cancel"
                return self._give_up(request_id, now_s, reason, step)
            case AttemptEnded():
                return self._attempt_ended(event, now_s)
            case TaskWord():
                return self._follow(self._tracker.word(event, now_s), now_s)
            case AnswerFetched():
                return self._follow(self._tracker.fetched(event, now_s), now_s)
            case ServerProbed():
                return self._probed(event, now_s)
            case Tick():
                return self._tick(now_s)

    def _submitted(self, request: Request, now_s: float) -> list[EngineDecision]:
        queue = self._queues.get(request.queue)
        if queue is None or self._configuration is None:
            return [self._refuse(request, 404, "no such queue", "admission.queue")]
        refusal = self._check_team(request, now_s)
        if refusal is not None:
            return [refusal]
        self._requests[request.request_id] = WaitingRequest(request)
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
        if not self._key_works(request):
            return self._refuse(request, 401, "the key was withdrawn", "admission.key")
        if team.ceiling_running == 0:
            return self._refuse(request, 429, "the team's ceiling is 0", "admission.ceiling")
        return None

    def _start_waiting(self, queue_id: QueueId, now_s: float) -> list[EngineDecision]:
        decisions: list[EngineDecision] = []
        queue = self._queues[queue_id]
        set_aside: list[Request] = []
        no_room: set[StartPlace] = set()
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

    def _reclaim(self, now_s: float) -> list[EngineDecision]:
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

    def _may_start(self, request: Request, now_s: float, no_room: set[StartPlace]) -> bool:
        again = self._requests[request.request_id].again
        if again is not None and now_s < again.not_before_s:
            return False
        if not self._may_run(request, now_s):
            return False
        place = self._place(request, now_s)
        return bool(place.pools) and place not in no_room

    def _place(self, request: Request, now_s: float) -> StartPlace:
        again = self._requests[request.request_id].again
        only = request.request_id if again and again.exclude else None
        return StartPlace(only, request.request_class, tuple(self._pools_for(request, now_s)))

    def _pools_for(self, request: Request, now_s: float) -> Iterator[PoolId]:
        assert self._configuration is not None
        home = self._configuration.queues[request.queue].pool
        return self._admission.pools_for(request, home, now_s)

    def _key_works(self, request: Request) -> bool:
        if request.team is None or request.key_digest is None or self._keys is None:
            return True
        return self._keys.is_valid_for(request.key_digest, request.team)

    def _give_up_withdrawn(self) -> None:
        """Refuse the waiting requests whose key no longer works."""
        for request in [each.request for each in self._requests.values()]:
            if not self._key_works(request) and self._leave_queue(request):
                reason = "the key was withdrawn"
                self._given_up.append(self._refuse(request, 401, reason, "admission.key"))

    def _give_up_waiting(self, queue_id: QueueId) -> None:
        """Refuse the requests that wait in a queue that is being removed."""
        for request in [each.request for each in self._requests.values()]:
            if request.queue == queue_id and self._leave_queue(request):
                self._given_up.append(self._refuse_without_queue(request))

    def _leave_queue(self, request: Request) -> bool:
        """Take a request out of its queue; False when it does not wait there."""
        queue = self._queues.get(request.queue)
        return queue is not None and queue.cancel(request.request_id) is not None

    def _refuse_without_queue(self, request: Request) -> Refuse:
        return self._refuse(request, 404, "the queue was removed", "admission.queue")

    def _may_run(self, request: Request, now_s: float) -> bool:
        if request.team is None:
            return True
        if not self._key_works(request):
            return False
        return self._lease.holds(now_s) and self._permits.may_take(request.team, now_s)

    def _dispatch(self, request: Request, now_s: float) -> Dispatch | None:
        assert self._configuration is not None
        pool = self._configuration.queues[request.queue].pool
        urgent = request.request_class.value == "urgent"
        again = self._requests[request.request_id].again
        exclude = again.exclude if again else frozenset()
        server = None
        for candidate in self._pools_for(request, now_s):
            server = self._routing.pick(
                candidate, now_s, urgent=urgent, exclude=exclude, trial=request.idempotent
            )
            if server is not None:
                break
        if server is None:
            return None
        attempt_id = self._new_attempt_id()
        if request.team is not None and not self._permits.take(request.team, attempt_id, now_s):
            return None
        dispatch = Dispatch(
            request_id=request.request_id,
            attempt_id=attempt_id,
            vm=server.vm,
            address=server.address,
            start_by_s=min(now_s + START_WITHIN_S, request.deadline_s),
            lease_s=self._configuration.policy.task_lease_s,
            resume_token=again.resume_token if again else None,
        )
        self._routing.started(attempt_id, server.vm, now_s)
        self._admission.started(request, pool, attempt_id, server, now_s)
        self._tracker.started(request, dispatch, now_s)
        return dispatch

    def _attempt_ended(self, event: AttemptEnded, now_s: float) -> list[EngineDecision]:
        # What a lost connection says of its server is known once the server was asked.
        if event.outcome is not AttemptOutcome.UNKNOWN:
            self._free_place(event, now_s)
        return self._follow(self._tracker.ended(event, now_s), now_s)

    def _free_place(self, event: AttemptEnded, now_s: float) -> None:
        """Tell the policies how an attempt ended; a second call changes nothing."""
        self._routing.ended(event, now_s)
        self._admission.ended(event, now_s)

    def _follow(self, decisions: Iterable[AttemptDecision], now_s: float) -> list[EngineDecision]:
        """Carry out what concerns the policies, pass on the rest, and start what now may."""
        passed_on: list[EngineDecision] = []
        for decision in decisions:
            match decision:
                case TaskEnded(attempt_id):
                    self._free_place(AttemptEnded(attempt_id, AttemptOutcome.STOPPED), now_s)
                    self._permits.give_back(attempt_id, now_s)
                case Judged(attempt_id, outcome):
                    self._free_place(AttemptEnded(attempt_id, outcome), now_s)
                case OutOfReach(vm):
                    self._routing.out_of_reach(vm, now_s)
                case Requeue():
                    self._put_back(decision, now_s)
                case Answer() | Refuse():
                    self._requests.pop(decision.request_id, None)
                    passed_on.append(decision)
                case _:
                    passed_on.append(decision)
        return passed_on + self._start_all_waiting(now_s)

    def _put_back(self, decision: Requeue, now_s: float) -> None:
        waiting = self._requests.get(decision.request_id)
        if waiting is None:
            return
        waiting.again = decision
        queue = self._queues.get(waiting.request.queue)
        if queue is None:
            self._given_up.append(self._refuse_without_queue(waiting.request))
            return
        queue.put_back(waiting.request, now_s)

    def _probed(self, event: ServerProbed, now_s: float) -> list[EngineDecision]:
        if not event.reached:
            return []
        self._routing.probed(event.vm, draining=event.draining, now_s=now_s)
        return self._start_all_waiting(now_s)

    def _start_all_waiting(self, now_s: float) -> list[EngineDecision]:
        decisions: list[EngineDecision] = []
        for queue_id, queue in self._queues.items():
            if len(queue):
                decisions.extend(self._start_waiting(queue_id, now_s))
        return decisions + self._reclaim(now_s) if self._configuration else decisions

    def give_up_all(self, now_s: float) -> list[EngineDecision]:
        """Give every request its final answer, because this entry stops."""
        reason, step = "this entry is stopping", "entry.stop"
        decisions: list[EngineDecision] = []
        # Those that wait go first, so that none takes the place of one that is stopped.
        for request in [each.request for each in self._requests.values()]:
            if self._leave_queue(request):
                decisions.append(self._refuse(request, 503, reason, step, STOP_RETRY_S))
        for request_id in list(self._requests):
            decisions += self._give_up(request_id, now_s, reason, step)
        return decisions

    def _give_up(
        self, request_id: RequestId, now_s: float, reason: str, step: str
    ) -> list[EngineDecision]:
        for queue in self._queues.values():
            request = queue.cancel(request_id)
            if request is not None:
                return [self._refuse(request, 503, reason, step)]
        known = self._requests.pop(request_id, None) is not None
        decisions = self._follow(self._tracker.cancelled(request_id, now_s), now_s)
        if not known:
            return decisions
        # Its caller's thread may still be about to send the attempt, and waits for an answer then.
        return [Refuse(request_id, 503, reason, Fate.UNKNOWN, step), *decisions]

    def _tick(self, now_s: float) -> list[EngineDecision]:
        decisions: list[EngineDecision] = []
        for server in self._routing.due_for_probe(now_s):
            decisions.append(ProbeServer(server.vm, server.address))
        for queue in self._queues.values():
            for request in queue.expired(now_s):
                reason = "the deadline passed before it could start"
                retry_s = queue.retry_after_s(now_s)
                decisions.append(self._refuse(request, 504, reason, "admission.deadline", retry_s))
        return decisions + self._follow(self._tracker.tick(now_s), now_s)

    def _refuse(
        self,
        request: Request,
        status: int,
        reason: str,
        step: str,
        retry_after_s: float | None = None,
    ) -> Refuse:
        fate = self._tracker.fate_of(request.request_id)
        self._tracker.forget_request(request.request_id)
        self._requests.pop(request.request_id, None)
        return Refuse(
            request.request_id,
            status,
            reason,
            fate,
            step,
            retry_after_s=retry_after_s if fate is Fate.NOT_RUN else None,
        )

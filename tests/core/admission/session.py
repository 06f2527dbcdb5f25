"""Sessions on the request engine with admission, recorded as events and decisions."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import Any

from toucandoor.clock import ManualClock
from toucandoor.core.admission.coordinator import AdmissionCoordinator
from toucandoor.core.admission.lending import LendToUrgent
from toucandoor.core.admission.policy import FirstComeFirstServed
from toucandoor.core.attempts.budget import RetryBudget
from toucandoor.core.attempts.models import QueryTask, TaskQueried, TaskState
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.ceilings.policy import StaticPermits
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.leases.serving import FixedLease
from toucandoor.core.requests.engine import RequestEngine
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    BackendServer,
    Cancelled,
    Decision,
    Dispatch,
    Event,
    Preempt,
    PreemptMethod,
    Refuse,
    Request,
    RequestClass,
    Submitted,
    Tick,
)
from toucandoor.core.routing.policy import LeastConnections
from toucandoor.ids import AttemptId, PoolId, QueueId, RequestId, TeamId, VmId

TEAMS = ("a", "b")
_RECORDED_TYPES = (Dispatch, Answer, Refuse, Preempt)


class Session:
    """Drives one engine on a manual clock and records each event and its decisions as a line.

    Args:
        baseline: Whether to run first come, first served and without a reserve.
    """

    def __init__(
        self, *, slots: int = 4, spare_slots: int = 0, waiting_max: int = 8, baseline: bool = False
    ) -> None:
        self.clock = ManualClock()
        self.lines: list[Any] = []
        self.running: dict[RequestId, Dispatch] = {}
        numbers = count(1)
        admission = AdmissionCoordinator(LendToUrgent())
        self.engine = RequestEngine(
            make_queue=(
                (lambda queue: FirstComeFirstServed(queue.waiting_max))
                if baseline
                else admission.make_queue
            ),
            routing=LeastConnections(),
            permits=StaticPermits({TeamId(team): 1000 for team in TEAMS}),
            lease=FixedLease(float("inf")),
            tracker=AttemptTracker(RetryBudget(Random(1)), lambda _vm, _now_s: True),
            new_attempt_id=lambda: AttemptId(f"attempt-{next(numbers)}"),
            admission=None if baseline else admission,
        )
        self.engine.configure(_configuration(waiting_max))
        workers = [_worker("p", slots), *([_worker("s", spare_slots)] if spare_slots else [])]
        self.engine.update_workers(workers, 0.0)

    def submit(
        self,
        name: str,
        *,
        urgent: bool = False,
        team: str = "a",
        how: PreemptMethod | None = None,
        deadline_s: float = 60.0,
        queue: str = "p",
        idempotent: bool = True,
    ) -> list[Decision]:
        """Submit a request that arrives now."""
        now_s = self.clock.monotonic_s()
        request = Request(
            RequestId(name),
            QueueId(queue),
            TeamId(team),
            RequestClass.URGENT if urgent else RequestClass.PATIENT,
            idempotent=idempotent,
            arrived_s=now_s,
            deadline_s=now_s + deadline_s,
            preempt_how=how,
        )
        return self.handle(Submitted(request))

    def end(
        self, name: str, outcome: AttemptOutcome = AttemptOutcome.ANSWERED, token: str | None = None
    ) -> list[Decision]:
        """End the request's attempt."""
        attempt = self.running.pop(RequestId(name))
        return self.handle(AttemptEnded(attempt.attempt_id, outcome, resume_token=token))

    def cancel(self, name: str) -> list[Decision]:
        """Cancel the request."""
        return self.handle(Cancelled(RequestId(name)))

    def after(self, seconds: float) -> list[Decision]:
        """Advance the clock, then send a tick."""
        self.clock.advance(seconds)
        return self.handle(Tick())

    def handle(self, event: Event) -> list[Decision]:
        """Pass one event to the engine; record and return its decisions."""
        now_s = self.clock.monotonic_s()
        decisions = self.engine.handle(event, now_s)
        # Queries to backend servers about running tasks are covered by sessions of their own.
        recorded = [decision for decision in decisions if isinstance(decision, _RECORDED_TYPES)]
        self.lines.append({"at_s": now_s, "event": event, "decisions": recorded})
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self.running[decision.request_id] = decision
            if isinstance(decision, QueryTask):
                self.engine.handle(TaskQueried(decision.attempt_id, TaskState.RUNNING), now_s)
        return recorded


def _configuration(waiting_max: int) -> Configuration:
    return Configuration.model_validate(
        {
            "pools": {"p": {"unavailable_max": 1}, "s": {"unavailable_max": 1, "spare": True}},
            "queues": {
                "p": {"pool": "p", "waiting_max": waiting_max},
                "s": {"pool": "s", "waiting_max": waiting_max},
            },
            "teams": {team: {"ceiling_running": 1000} for team in TEAMS},
        }
    )


def _worker(pool: str, slots: int) -> BackendServer:
    return BackendServer(
        VmId(f"vm-{pool}"), PoolId(pool), f"10.0.0.{ord(pool)}:8181", slots, 64, "dc-1", "r-1"
    )

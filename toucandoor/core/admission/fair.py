"""Queue policy with classes, ageing and weighted fair queueing over teams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.admission.const import (
    DEFAULT_AGED_EVERY,
    DEFAULT_AGEING_S,
    DEFAULT_LANE_PROBES,
    DEFAULT_URGENT_CREDIT_S,
)
from toucandoor.core.admission.drain import DrainRate
from toucandoor.core.admission.lanes import LaneKey, Lanes, lane_key
from toucandoor.core.admission.policy import QueuePolicy
from toucandoor.core.requests.models import RequestClass

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.core.requests.models import Request
    from toucandoor.core.shares.ledger import ShareLedger
    from toucandoor.ids import RequestId


@dataclass(frozen=True, slots=True)
class FairSettings:
    """Weights of class and age against the teams' shares.

    Attributes:
        urgent_credit: Virtual time by which urgent requests are ordered ahead of patient ones.
            Urgent requests of a team that is further ahead of its share than this wait for the
            patient ones of other teams.
        ageing_s: Waiting time after which a patient request counts as aged.
        aged_every: Every so many starts, one goes to an aged request, if one is waiting.
    """

    urgent_credit: float = DEFAULT_URGENT_CREDIT_S
    ageing_s: float = DEFAULT_AGEING_S
    aged_every: int = DEFAULT_AGED_EVERY


class FairQueue(QueuePolicy):
    """Starts requests of the team with the least weighted service first, urgent before patient.

    Args:
        waiting_max: Most requests that may wait.
        shares: Service of the teams in the queue's pool; queues of one pool share it.
        settings: Weights of class and age against the teams' shares.
    """

    def __init__(
        self, waiting_max: int, shares: ShareLedger, settings: FairSettings | None = None
    ) -> None:
        self._waiting_max = waiting_max
        self._shares = shares
        self._settings = settings or FairSettings()
        self._lanes = Lanes()
        self._drain_rate = DrainRate()
        self._starts_since_aged = 0

    def offer(self, request: Request, now_s: float) -> bool:
        """Add a request; return False when the queue is full or holds it already."""
        if len(self._lanes) >= self._waiting_max or request.request_id in self._lanes:
            return False
        self._add(request, now_s, front=False)
        return True

    def requeue(self, request: Request, now_s: float) -> None:
        """Put a request back to the front of its lane, also when the queue is full."""
        if request.request_id in self._lanes:
            return
        self._add(request, now_s, front=True)
        self._drain_rate.undo_start()
        if self._is_aged(request, now_s):
            self._starts_since_aged = self._settings.aged_every
        else:
            self._starts_since_aged = max(0, self._starts_since_aged - 1)

    def pop_next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the next request that may start, or None."""
        lanes = self._lanes_by_share(now_s)
        request = self._first_startable(self._due_aged_lanes(lanes, now_s), now_s, may_start)
        request = request or self._first_startable(lanes, now_s, may_start)
        if request is None:
            return None
        self._remove(request.request_id)
        self._drain_rate.record_start(now_s)
        self._record_start(request, now_s)
        return request

    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove and return a waiting request, None when it is not in the queue."""
        return self._remove(request_id)

    def pop_expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed, earliest first."""
        late = self._lanes.pop_expired(now_s)
        for request in late:
            self._shares.on_dequeued(lane_key(request).team)
        return late

    def retry_after_s(self, now_s: float) -> float:
        """Return the time until all waiting requests start at the recent rate, in seconds."""
        return self._drain_rate.time_to_drain_s(len(self._lanes), now_s)

    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Return how many urgent requests wait in lanes whose oldest request may run."""
        return self._lanes.count(lambda key: key.urgent and may_run(self._lanes.oldest(key)))

    def __len__(self) -> int:
        """Return how many requests are waiting."""
        return len(self._lanes)

    def _add(self, request: Request, now_s: float, *, front: bool) -> None:
        self._shares.on_enqueued(lane_key(request).team, now_s)
        self._lanes.add(request, front=front)

    def _remove(self, request_id: RequestId) -> Request | None:
        request = self._lanes.remove(request_id)
        if request is not None:
            self._shares.on_dequeued(lane_key(request).team)
        return request

    def _lanes_by_share(self, now_s: float) -> list[LaneKey]:
        """Return the occupied lanes in the order in which to serve them."""
        teams = {key.team for key in self._lanes.occupied()}
        virtual = {team: self._shares.virtual_time(team, now_s) for team in teams}

        def rank(key: LaneKey) -> tuple[float, bool, float]:
            credit = self._settings.urgent_credit if key.urgent else 0.0
            oldest = self._lanes.oldest(key)
            return (virtual[key.team] - credit, not key.urgent, oldest.arrived_s)

        return sorted(self._lanes.occupied(), key=rank)

    def _due_aged_lanes(self, lanes: list[LaneKey], now_s: float) -> list[LaneKey]:
        """Return the lanes whose oldest request is aged, if the next start is due to one."""
        if self._starts_since_aged + 1 < self._settings.aged_every:
            return []
        return [key for key in lanes if self._is_aged(self._lanes.oldest(key), now_s)]

    def _first_startable(
        self, keys: Iterable[LaneKey], now_s: float, may_start: Callable[[Request], bool]
    ) -> Request | None:
        for key in keys:
            for request in self._lanes.front(key, DEFAULT_LANE_PROBES):
                if request.deadline_s > now_s and may_start(request):
                    return request
        return None

    def _is_aged(self, request: Request, now_s: float) -> bool:
        patient = request.request_class is RequestClass.PATIENT
        return patient and now_s - request.arrived_s >= self._settings.ageing_s

    def _record_start(self, request: Request, now_s: float) -> None:
        aged = self._is_aged(request, now_s)
        self._starts_since_aged = 0 if aged else self._starts_since_aged + 1

"""Waiting requests in lanes by class, team and whether they can be preempted."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from toucandoor.core.requests.models import Request, RequestClass
from toucandoor.core.shares.const import ANONYMOUS_TEAM

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from toucandoor.ids import RequestId, TeamId


class LaneKey(NamedTuple):
    """Properties shared by all requests of a lane; the policies tell those apart only by age."""

    urgent: bool
    team: TeamId
    preemptible: bool


def lane_key(request: Request) -> LaneKey:
    """Return the key of the lane in which a request waits."""
    return LaneKey(
        request.request_class is RequestClass.URGENT,
        request.team or ANONYMOUS_TEAM,
        request.preempt_how is not None,
    )


class Lanes:
    """Waiting requests of one queue, in order within each lane.

    Adding and removing a request and reading the oldest one of a lane are O(1) but for the heap of
    deadlines. Entries of removed requests stay in the heap until their deadline or until they
    outnumber the waiting requests, so each costs O(log n) amortized.
    """

    def __init__(self) -> None:
        self._lane_of: dict[RequestId, LaneKey] = {}
        # OrderedDict, because reading the first key of a dict is O(n) after many removals there.
        self._lanes: dict[LaneKey, OrderedDict[RequestId, Request]] = {}
        self._deadlines: list[tuple[float, RequestId]] = []

    def __len__(self) -> int:
        """Return how many requests are waiting."""
        return len(self._lane_of)

    def __contains__(self, request_id: RequestId) -> bool:
        """Return whether the request is waiting here."""
        return request_id in self._lane_of

    def add(self, request: Request, *, front: bool = False) -> None:
        """Add a request at the end or the front of its lane."""
        key = lane_key(request)
        lane = self._lanes.setdefault(key, OrderedDict())
        lane[request.request_id] = request
        if front:
            lane.move_to_end(request.request_id, last=False)
        self._lane_of[request.request_id] = key
        heapq.heappush(self._deadlines, (request.deadline_s, request.request_id))

    def remove(self, request_id: RequestId) -> Request | None:
        """Remove and return a request, None when it is not waiting here."""
        key = self._lane_of.pop(request_id, None)
        if key is None:
            return None
        lane = self._lanes[key]
        request = lane.pop(request_id)
        if not lane:
            del self._lanes[key]
        self._compact()
        return request

    def pop_expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed, earliest first."""
        late: list[Request] = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, request_id = heapq.heappop(self._deadlines)
            request = self.remove(request_id)
            if request is not None:
                late.append(request)
        return late

    def occupied(self) -> Iterable[LaneKey]:
        """Return the keys of the lanes in which requests are waiting."""
        return self._lanes.keys()

    def oldest(self, key: LaneKey) -> Request:
        """Return the request at the front of a lane."""
        return next(iter(self._lanes[key].values()))

    def front(self, key: LaneKey, count: int) -> Iterator[Request]:
        """Return the first `count` requests of a lane."""
        return islice(self._lanes[key].values(), count)

    def count(self, matches: Callable[[LaneKey], bool]) -> int:
        """Return how many requests are waiting in the lanes that match."""
        return sum(len(lane) for key, lane in self._lanes.items() if matches(key))

    def _compact(self) -> None:
        """Rebuild the heap of deadlines once most of its entries are of removed requests."""
        if len(self._deadlines) <= 2 * len(self._lane_of) + 16:
            return
        self._deadlines = [
            (request.deadline_s, request_id)
            for lane in self._lanes.values()
            for request_id, request in lane.items()
        ]
        heapq.heapify(self._deadlines)

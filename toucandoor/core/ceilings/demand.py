"""Count of the requests of each team that wait at this entry."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from toucandoor.core.admission.policy import QueuePolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.requests.models import Request
    from toucandoor.ids import RequestId, TeamId


class CountedQueue(QueuePolicy):
    """Wraps a queue policy and counts the waiting requests of each team.

    Args:
        queue: Policy that all calls are passed on to.
        waiting: Counts to update; queues may share them.
    """

    def __init__(self, queue: QueuePolicy, waiting: Counter[TeamId]) -> None:
        self._queue = queue
        self._waiting = waiting

    def offer(self, request: Request, now_s: float) -> bool:
        """Take a request in; False when the queue is full."""
        taken = self._queue.offer(request, now_s)
        if taken:
            self._count(request, 1)
        return taken

    def put_back(self, request: Request, now_s: float) -> None:
        """Return a request that was picked but did not run."""
        self._queue.put_back(request, now_s)
        self._count(request, 1)

    def next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the next request that may start, or None."""
        return self._removed(self._queue.next(now_s, may_start))

    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove a waiting request; None when it is not here."""
        return self._removed(self._queue.cancel(request_id))

    def expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        expired = self._queue.expired(now_s)
        for request in expired:
            self._count(request, -1)
        return expired

    def retry_after_s(self, now_s: float) -> float:
        """Estimate when a new request would find room."""
        return self._queue.retry_after_s(now_s)

    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Count the waiting urgent requests that would start if there were a slot."""
        return self._queue.urgent_waiting(may_run)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def _removed(self, request: Request | None) -> Request | None:
        if request is not None:
            self._count(request, -1)
        return request

    def _count(self, request: Request, change: int) -> None:
        if request.team is not None:
            self._waiting[request.team] += change

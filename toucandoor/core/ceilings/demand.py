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
        """Add a request; return False when the queue is full."""
        added = self._queue.offer(request, now_s)
        if added:
            self._count(request, 1)
        return added

    def requeue(self, request: Request, now_s: float) -> None:
        """Put back a request that was picked but did not run."""
        self._queue.requeue(request, now_s)
        self._count(request, 1)

    def pop_next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the next request that may start, or None."""
        return self._count_removed(self._queue.pop_next(now_s, may_start))

    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove and return a waiting request, None when it is not in the queue."""
        return self._count_removed(self._queue.cancel(request_id))

    def pop_expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        expired = self._queue.pop_expired(now_s)
        for request in expired:
            self._count(request, -1)
        return expired

    def retry_after_s(self, now_s: float) -> float:
        """Return the estimated time until a new request would find room, in seconds."""
        return self._queue.retry_after_s(now_s)

    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Return how many waiting urgent requests could start if a slot were free."""
        return self._queue.urgent_waiting(may_run)

    def __len__(self) -> int:
        """Return how many requests are waiting."""
        return len(self._queue)

    def _count_removed(self, request: Request | None) -> Request | None:
        if request is not None:
            self._count(request, -1)
        return request

    def _count(self, request: Request, change: int) -> None:
        if request.team is not None:
            self._waiting[request.team] += change

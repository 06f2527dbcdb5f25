"""Queue policies, which decide the waiting request that starts next."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.requests.models import Request
    from toucandoor.ids import RequestId


class QueuePolicy(ABC):
    """Holds the waiting requests of one queue of one entry and picks the next to start."""

    @abstractmethod
    def offer(self, request: Request, now_s: float) -> bool:
        """Add a request; return False when the queue is full."""

    @abstractmethod
    def requeue(self, request: Request, now_s: float) -> None:
        """Put back a request that was picked but did not run; it keeps its place."""

    @abstractmethod
    def pop_next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the next request that may start, or None."""

    @abstractmethod
    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove and return a waiting request, None when it is not in the queue."""

    @abstractmethod
    def pop_expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""

    @abstractmethod
    def retry_after_s(self, now_s: float) -> float:
        """Return the estimated time until a new request would find room, in seconds."""

    @abstractmethod
    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Return how many waiting urgent requests could start if a slot were free.

        Args:
            may_run: Returns whether all but the slot allows a request to run.
        """

    @abstractmethod
    def __len__(self) -> int:
        """Return how many requests wait."""


class FirstComeFirstServed(QueuePolicy):
    """Baseline policy: requests start in the order of arrival, whatever their class and team."""

    def __init__(self, waiting_max: int) -> None:
        self._waiting_max = waiting_max
        self._waiting: deque[Request] = deque()

    def offer(self, request: Request, now_s: float) -> bool:
        """Add a request; return False when the queue is full."""
        if len(self._waiting) >= self._waiting_max:
            return False
        self._waiting.append(request)
        return True

    def requeue(self, request: Request, now_s: float) -> None:
        """Put a request back to the front."""
        self._waiting.appendleft(request)

    def pop_next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the oldest request that may start, or None."""
        for index, request in enumerate(self._waiting):
            if may_start(request):
                del self._waiting[index]
                return request
        return None

    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove and return a waiting request, None when it is not in the queue."""
        for index, request in enumerate(self._waiting):
            if request.request_id == request_id:
                del self._waiting[index]
                return request
        return None

    def pop_expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        late = [request for request in self._waiting if request.deadline_s <= now_s]
        for request in late:
            self._waiting.remove(request)
        return late

    def retry_after_s(self, now_s: float) -> float:
        """Return one second for each waiting request, as the drain rate is unknown."""
        return max(1.0, float(len(self._waiting)))

    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Return 0, because classes are ignored."""
        return 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

"""Queue policies: which waiting request starts next."""

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
        """Take a request in; False when the queue is full."""

    @abstractmethod
    def put_back(self, request: Request, now_s: float) -> None:
        """Return a request that was picked but did not run; it keeps its place."""

    @abstractmethod
    def next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the next request that may start, or None."""

    @abstractmethod
    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove a waiting request; None when it is not here."""

    @abstractmethod
    def expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""

    @abstractmethod
    def retry_after_s(self, now_s: float) -> float:
        """Estimate from the drain rate seen when a new request would find room."""

    @abstractmethod
    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Count the waiting urgent requests that would start if there were a slot."""

    @abstractmethod
    def __len__(self) -> int:
        """Return how many requests wait."""


class FirstComeFirstServed(QueuePolicy):
    """Baseline policy: one list in the order of arrival, classes and teams ignored."""

    def __init__(self, waiting_max: int) -> None:
        self._waiting_max = waiting_max
        self._waiting: deque[Request] = deque()

    def offer(self, request: Request, now_s: float) -> bool:
        """Take a request in; False when the queue is full."""
        if len(self._waiting) >= self._waiting_max:
            return False
        self._waiting.append(request)
        return True

    def put_back(self, request: Request, now_s: float) -> None:
        """Return a request to the front."""
        self._waiting.appendleft(request)

    def next(self, now_s: float, may_start: Callable[[Request], bool]) -> Request | None:
        """Remove and return the oldest request that may start, or None."""
        for index, request in enumerate(self._waiting):
            if may_start(request):
                del self._waiting[index]
                return request
        return None

    def cancel(self, request_id: RequestId) -> Request | None:
        """Remove a waiting request; None when it is not here."""
        for index, request in enumerate(self._waiting):
            if request.request_id == request_id:
                del self._waiting[index]
                return request
        return None

    def expired(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose deadline has passed."""
        late = [request for request in self._waiting if request.deadline_s <= now_s]
        for request in late:
            self._waiting.remove(request)
        return late

    def retry_after_s(self, now_s: float) -> float:
        """Return one second for each request waiting, for want of a measured rate."""
        return max(1.0, float(len(self._waiting)))

    def urgent_waiting(self, may_run: Callable[[Request], bool]) -> int:
        """Return 0: classes are ignored."""
        return 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

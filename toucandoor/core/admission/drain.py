"""Rate at which the requests of a queue start."""

from __future__ import annotations

from collections import deque

from toucandoor.core.admission.const import (
    DEFAULT_DRAIN_WINDOW_S,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
)


class DrainRate:
    """Rate of starts in a sliding window.

    Only starts count, because cancellations do not show how fast the queue is served.
    """

    def __init__(self, window_s: float = DEFAULT_DRAIN_WINDOW_S) -> None:
        self._window_s = window_s
        self._starts_s: deque[float] = deque()
        self._first_s: float | None = None

    def record_start(self, now_s: float) -> None:
        """Record a start."""
        if self._first_s is None:
            self._first_s = now_s
        self._starts_s.append(now_s)
        self._drop_old_starts(now_s)

    def undo_start(self) -> None:
        """Remove the latest start, because its request was requeued without having run."""
        if self._starts_s:
            self._starts_s.pop()

    def per_s(self, now_s: float) -> float:
        """Return the starts per second, 0 before the first start."""
        self._drop_old_starts(now_s)
        if self._first_s is None or not self._starts_s:
            return 0.0
        since_first_s = now_s - self._first_s
        since_latest_s = now_s - self._starts_s[-1]
        if since_latest_s >= self._window_s:
            return 1.0 / since_latest_s
        return len(self._starts_s) / max(1.0, min(self._window_s, since_first_s))

    def time_to_drain_s(self, waiting: int, now_s: float) -> float:
        """Return the time until so many waiting requests have started, in seconds.

        It is kept between `RETRY_AFTER_MIN_S` and `RETRY_AFTER_MAX_S`.
        """
        rate = self.per_s(now_s)
        wait_s = waiting / rate if rate > 0 else RETRY_AFTER_MAX_S if waiting else 0.0
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

    def _drop_old_starts(self, now_s: float) -> None:
        """Drop starts that are older than the window, except the latest one."""
        while len(self._starts_s) > 1 and self._starts_s[0] < now_s - self._window_s:
            self._starts_s.popleft()

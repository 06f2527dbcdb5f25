"""Rate at which a queue's requests start."""

from __future__ import annotations

from collections import deque

from toucandoor.core.admission.const import (
    DEFAULT_DRAIN_WINDOW_S,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
)


class DrainRate:
    """Starts seen in a sliding window.

    Only starts count: a wave of cancellations says nothing of how fast the queue is served.
    """

    def __init__(self, window_s: float = DEFAULT_DRAIN_WINDOW_S) -> None:
        self._window_s = window_s
        self._starts_s: deque[float] = deque()
        self._first_s: float | None = None

    def started(self, now_s: float) -> None:
        """Note a start."""
        if self._first_s is None:
            self._first_s = now_s
        self._starts_s.append(now_s)
        self._forget(now_s)

    def undone(self) -> None:
        """Take back the latest start: its request came back without having run."""
        if self._starts_s:
            self._starts_s.pop()

    def per_s(self, now_s: float) -> float:
        """Return starts in a second; 0 while none has been seen."""
        self._forget(now_s)
        if self._first_s is None or not self._starts_s:
            return 0.0
        since_first_s = now_s - self._first_s
        since_latest_s = now_s - self._starts_s[-1]
        if since_latest_s >= self._window_s:
            return 1.0 / since_latest_s
        return len(self._starts_s) / max(1.0, min(self._window_s, since_first_s))

    def time_to_drain_s(self, waiting: int, now_s: float) -> float:
        """Return when so many waiting requests will have started, within the limits."""
        rate = self.per_s(now_s)
        wait_s = waiting / rate if rate > 0 else RETRY_AFTER_MAX_S if waiting else 0.0
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

    def _forget(self, now_s: float) -> None:
        """Drop starts that left the window, but for the latest."""
        while len(self._starts_s) > 1 and self._starts_s[0] < now_s - self._window_s:
            self._starts_s.popleft()

"""Urgent requests of an entry that started late, counted over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import Final

DEFAULT_WINDOW_S: Final = 30.0


class UrgentStartWindow:
    """Counts urgent starts, and the late ones among them, in a sliding window.

    Args:
        window_s: Length of the window.
    """

    def __init__(self, window_s: float = DEFAULT_WINDOW_S) -> None:
        self._window_s = window_s
        self._starts: deque[tuple[float, bool]] = deque()
        self._late = 0

    def record_start(self, *, late: bool, now_s: float) -> None:
        """Record one urgent start."""
        self._starts.append((now_s, late))
        self._late += late
        self._drop_old(now_s)

    def counts(self, now_s: float) -> tuple[int, int]:
        """Return the number of urgent starts in the window, and of late ones among them."""
        self._drop_old(now_s)
        return len(self._starts), self._late

    def _drop_old(self, now_s: float) -> None:
        while self._starts and self._starts[0][0] < now_s - self._window_s:
            _, late = self._starts.popleft()
            self._late -= late

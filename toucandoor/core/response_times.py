"""Time-out that follows the response times seen, as TCP's retransmission timer does (RFC 6298)."""

from __future__ import annotations

import threading
from typing import Final

MEAN_GAIN: Final = 1 / 8
DEVIATION_GAIN: Final = 1 / 4
DEVIATIONS: Final = 4
BACKOFF_RATIO: Final = 2


class ResponseTimes:
    """Smoothed mean and deviation of response times, and the time-out that follows from them.

    Before the first response the time-out has its upper limit. It doubles with each call that is
    not answered in time, until the next response: otherwise no answer would be waited for any more
    once all take longer. Safe for use by several threads.

    Args:
        timeout_s_min: Lower limit of the time-out.
        timeout_s_max: Upper limit of the time-out.
    """

    def __init__(self, timeout_s_min: float, timeout_s_max: float) -> None:
        self._timeout_s_min = timeout_s_min
        self._timeout_s_max = timeout_s_max
        self._lock = threading.Lock()
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._backed_off_s = 0.0

    @property
    def timeout_s(self) -> float:
        """Time after which a response is unlikely to come."""
        with self._lock:
            return self._timeout_s()

    def record(self, response_s: float) -> None:
        """Record the time of one response."""
        with self._lock:
            self._backed_off_s = 0.0
            if self._mean_s is None:
                self._mean_s = response_s
                self._deviation_s = response_s / 2
                return
            error_s = response_s - self._mean_s
            self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
            self._mean_s += MEAN_GAIN * error_s

    def record_unanswered(self) -> None:
        """Record that no response came within the time-out."""
        with self._lock:
            self._backed_off_s = self._timeout_s() * BACKOFF_RATIO

    def _timeout_s(self) -> float:
        if self._mean_s is None:
            return self._timeout_s_max
        timeout_s = self._mean_s + DEVIATIONS * self._deviation_s
        timeout_s = max(timeout_s, self._timeout_s_min, self._backed_off_s)
        return min(timeout_s, self._timeout_s_max)

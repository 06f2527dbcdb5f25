"""Clock interface, and clocks for production and for tests."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from datetime import UTC, datetime, timedelta


class Clock(ABC):
    """Source of wall-clock and monotonic time."""

    @abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time as a time-zone-aware datetime in UTC."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Return the monotonic time in seconds; only differences between values are meaningful."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time as a time-zone-aware datetime in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the operating system's monotonic time in seconds."""
        return time.monotonic()


class ManualClock(Clock):
    """Clock that moves only when it is advanced, for reproducible tests and simulations."""

    def __init__(self, start: datetime = datetime(2026, 1, 5, 18, 0, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed_s = 0.0

    def now(self) -> datetime:
        """Return the start time plus the time advanced."""
        return self._start + timedelta(seconds=self._elapsed_s)

    def monotonic_s(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed_s

    def advance(self, seconds: float) -> None:
        """Move forward by a duration in seconds."""
        if seconds < 0:
            raise ValueError("cannot advance a clock by a negative duration")
        self._elapsed_s += seconds

    def advance_to(self, monotonic_s: float) -> None:
        """Move forward to a monotonic time in seconds; an earlier time changes nothing."""
        self._elapsed_s = max(self._elapsed_s, monotonic_s)


class BootClock(SystemClock):
    """System clock whose monotonic time also advances while the VM is suspended.

    Leases expire on other VMs meanwhile. With a clock that stops during a suspension, this VM would
    treat its leases as valid after they have expired elsewhere.
    """

    def monotonic_s(self) -> float:
        """Return seconds since the VM's boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

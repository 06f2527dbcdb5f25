"""What the request path asks of the leases."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ServingLease(ABC):
    """Says until when this entry may start keyed work."""

    @abstractmethod
    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start."""

    def holds(self, now_s: float) -> bool:
        """Return whether keyed work may start now."""
        return now_s < self.keyed_until_s()


class FixedLease(ServingLease):
    """Lease with an end that is set from outside."""

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s

    def keyed_until_s(self) -> float:
        """Return the end that was set."""
        return self.until_s

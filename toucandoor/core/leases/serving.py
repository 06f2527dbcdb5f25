"""Interface through which the request path checks its lease."""

from __future__ import annotations

from abc import ABC, abstractmethod


class ServingLease(ABC):
    """Lease for keyed work: work submitted with a team's key, which needs a current configuration.

    Work without a key, in open queues, needs no lease.
    """

    @abstractmethod
    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start."""

    def holds(self, now_s: float) -> bool:
        """Return whether keyed work may start at a monotonic time."""
        return now_s < self.keyed_until_s()


class FixedLease(ServingLease):
    """Lease whose end is set by its owner."""

    def __init__(self, until_s: float) -> None:
        self.until_s = until_s

    def keyed_until_s(self) -> float:
        """Return the end that was set."""
        return self.until_s

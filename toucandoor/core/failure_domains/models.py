"""Interface to the evidence on racks and backend servers, and the baseline without any."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.scheduling.worker_view import WorkerView

USUAL_SPEED = 1.0
"""Slowness of a backend server on which tasks take the expected time."""


class FailureDomains(ABC):
    """Evidence of one owner on racks and backend servers.

    It decides about new starts only. Whether a run may have ended is decided by leases, boots and
    confirmed stops alone.
    """

    @abstractmethod
    def suspects(self, worker: WorkerView) -> bool:
        """Return whether new starts avoid a backend server for now."""

    @abstractmethod
    def slowness(self, worker: WorkerView) -> float:
        """Return the ratio of true to expected run times on a server; 1.0 where it is unknown."""


class NoFailureDomains(FailureDomains):
    """Baseline: nothing is suspected, and all servers have the usual speed."""

    def suspects(self, worker: WorkerView) -> bool:
        """Return False."""
        return False

    def slowness(self, worker: WorkerView) -> float:
        """Return the usual speed."""
        return USUAL_SPEED

"""Interface to the evidence on racks and backend servers, and the baseline without any."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import QueueId, WorkerId

USUAL_SPEED = 1.0
"""Slowness of a backend server on which tasks take the expected time."""
SLOW_RATIO = 2.0
"""Slowness above which a server is chosen last and gets one task at a time."""


class FailureDomains(ABC):
    """Evidence of one owner on racks and backend servers.

    It decides about new starts and about the pace of heartbeats only. Whether a run may have ended
    is decided by leases, boots and confirmed stops alone.

    Attributes:
        held_back: Unresponsive servers on suspected racks that get no heartbeat for now.
        probes: Servers that get a heartbeat now, also without runs.
        silent_workers: Unresponsive servers that have missed an answer, and those of suspected
            racks.
    """

    held_back: frozenset[WorkerId] = frozenset()
    probes: frozenset[WorkerId] = frozenset()
    silent_workers: tuple[WorkerView, ...] = ()

    @abstractmethod
    def suspects(self, worker: WorkerView) -> bool:
        """Return whether new starts avoid a backend server for now."""

    @abstractmethod
    def slowness(self, worker: WorkerView) -> float:
        """Return the ratio of true to expected run times on a server; 1.0 where it is unknown."""

    @abstractmethod
    def on_done(self, run: Run, queue: QueueId, ratio: float) -> None:
        """Process the end of a run as done.

        Args:
            run: The run.
            queue: Queue of its job.
            ratio: Its run time divided by the expected one.
        """

    @abstractmethod
    def rack_suspected(self, worker: WorkerView) -> bool:
        """Return whether the rack of a backend server is suspected."""

    @property
    def own_connection_suspected(self) -> bool:
        """Whether so many racks do not answer that the owner itself is probably cut off."""
        return False

    def poll_wait_s(self, worker: WorkerView, wait_s: float) -> float:
        """Return the wait of a heartbeat, which would be `wait_s` without any evidence."""
        return wait_s

    @abstractmethod
    def on_unanswered(self, worker: WorkerView, due_s: float) -> None:
        """Process a call without an answer, also one whose connection was refused.

        Args:
            worker: Boot that was called.
            due_s: When the answer was due at the latest without a fault, except for the time that
                the network takes: when the call was sent, plus the wait of a long poll.
        """

    @abstractmethod
    def update(self, workers: Mapping[WorkerId, WorkerView]) -> None:
        """Draw conclusions from the calls so far; called before each placement.

        Args:
            workers: Latest boot of each backend server.
        """


class NoFailureDomains(FailureDomains):
    """Baseline: nothing is suspected, and all servers have the usual speed."""

    def suspects(self, worker: WorkerView) -> bool:
        """Return False."""
        return False

    def rack_suspected(self, worker: WorkerView) -> bool:
        """Return False."""
        return False

    def slowness(self, worker: WorkerView) -> float:
        """Return the usual speed."""
        return USUAL_SPEED

    def on_done(self, run: Run, queue: QueueId, ratio: float) -> None:
        """Ignore the run."""

    def on_unanswered(self, worker: WorkerView, due_s: float) -> None:
        """Ignore the call."""

    def update(self, workers: Mapping[WorkerId, WorkerView]) -> None:
        """Do nothing."""

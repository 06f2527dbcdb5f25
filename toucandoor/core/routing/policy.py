"""Routing policies, which select the backend server for an attempt."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from toucandoor.core.requests.models import AttemptEnded, BackendServer
    from toucandoor.ids import AttemptId, PoolId, VmId


class RoutingPolicy(ABC):
    """Selects backend servers and tracks an entry's attempts on them."""

    @abstractmethod
    def update_workers(self, workers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers."""

    @abstractmethod
    def pick(
        self,
        pool: PoolId,
        now_s: float,
        *,
        urgent: bool,
        exclude: Collection[VmId] = (),
        trial: bool = False,
    ) -> BackendServer | None:
        """Return the backend server for the next attempt; None when none can accept it.

        Args:
            pool: Pool that serves the request.
            now_s: Monotonic time.
            urgent: Whether the request is urgent.
            exclude: Servers to avoid while another one can accept the attempt.
            trial: Whether the attempt may be the trial of an ejected backend server.
        """

    @abstractmethod
    def on_attempt_started(self, attempt_id: AttemptId, vm: VmId, now_s: float) -> None:
        """Record that an attempt is being sent to a backend server."""

    @abstractmethod
    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Record the end of an attempt, which frees its slot."""

    def on_worker_probed(self, vm: VmId, *, draining: bool, now_s: float) -> None:  # noqa: B027
        """Record that a backend server answered a probe, and whether it is draining."""

    def mark_unreachable(self, vm: VmId, now_s: float) -> None:  # noqa: B027
        """Record that a backend server did not answer a query on a new connection."""

    def due_for_probe(self, now_s: float) -> list[BackendServer]:
        """Return the backend servers to probe now."""
        return []

    def is_healthy(self, vm: VmId, now_s: float) -> bool:
        """Return whether the backend server is healthy; if so, failures are the requests' fault."""
        return True


class LeastConnections(RoutingPolicy):
    """Baseline policy: selects the backend server with fewest attempts of this entry.

    It ignores failures.
    """

    def __init__(self) -> None:
        self._workers: dict[VmId, BackendServer] = {}
        self._running: Counter[VmId] = Counter()
        self._vm_by_attempt: dict[AttemptId, VmId] = {}

    def update_workers(self, workers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers."""
        self._workers = {worker.vm: worker for worker in workers}

    def pick(
        self,
        pool: PoolId,
        now_s: float,
        *,
        urgent: bool,
        exclude: Collection[VmId] = (),
        trial: bool = False,
    ) -> BackendServer | None:
        """Return the least loaded backend server of the pool that has a free slot."""
        candidates = [
            worker
            for worker in self._workers.values()
            if worker.pool == pool
            and not worker.leaving
            and not worker.cordoned
            and worker.vm not in exclude
            and self._running[worker.vm] < worker.slots
        ]
        return min(candidates, key=lambda worker: self._running[worker.vm], default=None)

    def on_attempt_started(self, attempt_id: AttemptId, vm: VmId, now_s: float) -> None:
        """Count an attempt on its backend server."""
        self._vm_by_attempt[attempt_id] = vm
        self._running[vm] += 1

    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Free the attempt's slot."""
        vm = self._vm_by_attempt.pop(event.attempt_id, None)
        if vm is not None:
            self._running[vm] -= 1

"""Routing policies: which backend server takes the next attempt."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from toucandoor.core.requests.models import AttemptEnded, BackendServer
    from toucandoor.ids import AttemptId, PoolId, VmId


class RoutingPolicy(ABC):
    """Knows an entry's backend servers and what it has running on them."""

    @abstractmethod
    def update_servers(self, servers: Iterable[BackendServer], now_s: float) -> None:
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
        """Return the backend server for the next attempt, or None when none has room.

        Args:
            pool: Pool that serves the request.
            now_s: Monotonic time.
            urgent: Whether the request is urgent.
            exclude: Servers to avoid while another has room.
            trial: Whether the request may show if an ejected server works again.
        """

    @abstractmethod
    def started(self, attempt_id: AttemptId, vm: VmId, now_s: float) -> None:
        """Note that an attempt is being sent to a backend server."""

    @abstractmethod
    def ended(self, event: AttemptEnded, now_s: float) -> None:
        """Note how an attempt ended; its place is free again."""

    def probed(self, vm: VmId, *, draining: bool, now_s: float) -> None:  # noqa: B027
        """Take a server's own status: it can be reached, and it leaves or stays."""

    def out_of_reach(self, vm: VmId, now_s: float) -> None:  # noqa: B027
        """Note that a server left a question on a new connection unanswered."""

    def due_for_probe(self, now_s: float) -> list[BackendServer]:
        """Return the servers whose status is to be asked for now."""
        return []

    def is_healthy(self, vm: VmId, now_s: float) -> bool:
        """Return whether the server's failures may be blamed on the jobs."""
        return True


class LeastConnections(RoutingPolicy):
    """Baseline policy: the server with the fewest attempts of this entry, failures ignored."""

    def __init__(self) -> None:
        self._servers: dict[VmId, BackendServer] = {}
        self._running: Counter[VmId] = Counter()
        self._vm_of: dict[AttemptId, VmId] = {}

    def update_servers(self, servers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers."""
        self._servers = {server.vm: server for server in servers}

    def pick(
        self,
        pool: PoolId,
        now_s: float,
        *,
        urgent: bool,
        exclude: Collection[VmId] = (),
        trial: bool = False,
    ) -> BackendServer | None:
        """Return the least loaded server of the pool that has a free slot."""
        candidates = [
            server
            for server in self._servers.values()
            if server.pool == pool
            and not server.leaving
            and not server.cordoned
            and server.vm not in exclude
            and self._running[server.vm] < server.slots
        ]
        return min(candidates, key=lambda server: self._running[server.vm], default=None)

    def started(self, attempt_id: AttemptId, vm: VmId, now_s: float) -> None:
        """Count an attempt on its server."""
        self._vm_of[attempt_id] = vm
        self._running[vm] += 1

    def ended(self, event: AttemptEnded, now_s: float) -> None:
        """Free the attempt's place."""
        vm = self._vm_of.pop(event.attempt_id, None)
        if vm is not None:
            self._running[vm] -= 1

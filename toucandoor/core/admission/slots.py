"""What the request engine asks about a pool's slots."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from toucandoor.core.configuration.models import Configuration
    from toucandoor.core.requests.models import AttemptEnded, BackendServer, Preempt, Request
    from toucandoor.ids import AttemptId, PoolId


class SlotAdmission(ABC):
    """Says in which pools a request may take a slot, and what must make room for it."""

    @abstractmethod
    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Take a configuration; what runs stays counted."""

    @abstractmethod
    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the list of backend servers."""

    @abstractmethod
    def pools_for(self, request: Request, home: PoolId, now_s: float) -> Iterator[PoolId]:
        """Return the pools in which the request may start, its own pool first."""

    @abstractmethod
    def started(
        self,
        request: Request,
        home: PoolId,
        attempt_id: AttemptId,
        server: BackendServer,
        now_s: float,
    ) -> None:
        """Note that an attempt takes a slot."""

    @abstractmethod
    def ended(self, event: AttemptEnded, now_s: float) -> None:
        """Note that an attempt gave its slot back."""

    @abstractmethod
    def reclaim(self, home: PoolId, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return the preemptions that make room for the urgent requests of a pool's queues.

        Args:
            home: Pool of the queues.
            urgent_waiting: Urgent requests there that wait for nothing but a slot.
            now_s: Monotonic time.
        """


class OpenAdmission(SlotAdmission):
    """Baseline policy: every request may take any slot of its own pool."""

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Ignore the configuration."""

    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Ignore the servers."""

    def pools_for(self, request: Request, home: PoolId, now_s: float) -> Iterator[PoolId]:
        """Return the request's own pool."""
        yield home

    def started(
        self,
        request: Request,
        home: PoolId,
        attempt_id: AttemptId,
        server: BackendServer,
        now_s: float,
    ) -> None:
        """Ignore the attempt."""

    def ended(self, event: AttemptEnded, now_s: float) -> None:
        """Ignore the attempt."""

    def reclaim(self, home: PoolId, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return nothing."""
        return []

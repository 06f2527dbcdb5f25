"""Interface through which the request engine asks for slots of the pools."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from toucandoor.core.configuration.models import Configuration
    from toucandoor.core.requests.models import AttemptEnded, BackendServer, Preempt, Request
    from toucandoor.ids import AttemptId, PoolId


class SlotAdmission(ABC):
    """Decides in which pools a request may take a slot, and which attempts are preempted."""

    @abstractmethod
    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Apply a configuration; running attempts stay counted."""

    @abstractmethod
    def update_workers(self, workers: Iterable[BackendServer]) -> None:
        """Apply a new list of backend servers."""

    @abstractmethod
    def pools_for(self, request: Request, home: PoolId, now_s: float) -> Iterator[PoolId]:
        """Return the pools in which the request may start, its own pool first."""

    @abstractmethod
    def on_attempt_started(
        self,
        request: Request,
        home: PoolId,
        attempt_id: AttemptId,
        worker: BackendServer,
        now_s: float,
    ) -> None:
        """Record that an attempt takes a slot."""

    @abstractmethod
    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Record that an attempt has freed its slot."""

    @abstractmethod
    def reclaim(self, home: PoolId, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return the preemptions that free slots for the urgent requests of a pool's queues.

        Args:
            home: Pool of the queues.
            urgent_waiting: Urgent requests there that wait for nothing but a slot.
            now_s: Monotonic time.
        """


class OpenAdmission(SlotAdmission):
    """Baseline policy: every request may take any slot of its own pool."""

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Ignore the configuration."""

    def update_workers(self, workers: Iterable[BackendServer]) -> None:
        """Ignore the backend servers."""

    def pools_for(self, request: Request, home: PoolId, now_s: float) -> Iterator[PoolId]:
        """Return the request's own pool."""
        yield home

    def on_attempt_started(
        self,
        request: Request,
        home: PoolId,
        attempt_id: AttemptId,
        worker: BackendServer,
        now_s: float,
    ) -> None:
        """Ignore the attempt."""

    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Ignore the attempt."""

    def reclaim(self, home: PoolId, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return no preemptions."""
        return []

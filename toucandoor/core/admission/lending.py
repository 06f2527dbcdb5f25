"""Lending policies, which decide who may use slots of a spare pool."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from toucandoor.core.requests.models import RequestClass

if TYPE_CHECKING:
    from toucandoor.core.requests.models import Request


class LendingPolicy(ABC):
    """Decides which requests of other pools may take a slot of a spare pool."""

    @abstractmethod
    def may_borrow(self, request: Request) -> bool:
        """Return whether a request of another pool may take a slot of a spare pool."""


class NoLending(LendingPolicy):
    """Baseline policy: a pool serves its own queues only."""

    def may_borrow(self, request: Request) -> bool:
        """Return False."""
        return False


class LendToUrgent(LendingPolicy):
    """Lends to urgent requests only."""

    def may_borrow(self, request: Request) -> bool:
        """Return whether the request is urgent."""
        return request.request_class is RequestClass.URGENT


class LendToAll(LendingPolicy):
    """Lends to urgent requests and to preemptible patient ones.

    The latter can be preempted for urgent requests of the spare pool's own queues.
    """

    def may_borrow(self, request: Request) -> bool:
        """Return whether the request is urgent or can be preempted."""
        return request.request_class is RequestClass.URGENT or request.preempt_how is not None

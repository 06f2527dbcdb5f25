"""What the engine keeps of each request that has no final answer yet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.attempts.models import Requeue
    from toucandoor.core.requests.models import Request, RequestClass
    from toucandoor.ids import PoolId, RequestId


@dataclass(slots=True)
class WaitingRequest:
    """A request without a final answer, and what its attempts so far ask for."""

    request: Request
    again: Requeue | None = None


@dataclass(frozen=True, slots=True)
class StartPlace:
    """Where a request may start; equal for requests that find room in the same places.

    Attributes:
        only: The request, when it avoids servers it has failed on.
    """

    only: RequestId | None
    request_class: RequestClass
    pools: tuple[PoolId, ...]

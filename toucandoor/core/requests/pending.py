"""State that the request engine keeps of requests without a final answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.attempts.models import Requeue
    from toucandoor.core.requests.models import Request, RequestClass
    from toucandoor.ids import PoolId, RequestId


@dataclass(slots=True)
class PendingRequest:
    """A request without a final answer.

    Attributes:
        requeue: The decision that last put the request back in its queue; None before that.
    """

    request: Request
    requeue: Requeue | None = None


@dataclass(frozen=True, slots=True)
class PlacementKey:
    """Placement constraints of a request; equal for requests that can use the same backend servers.

    Once one request found no free backend server, others with an equal key are skipped in that
    pass.

    Attributes:
        excluding_request: Id of the request if it avoids backend servers tried before, as then no
            other request shares its key; else None.
        pools: Pools that may serve the request, in order of preference.
    """

    excluding_request: RequestId | None
    request_class: RequestClass
    pools: tuple[PoolId, ...]

"""Backend servers that repeatedly go down and come back: they wait before they get tasks."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from toucandoor.ids import WorkerId

_LOGGER = logging.getLogger(__name__)

FLAP_WINDOW_S: Final = 20.0
"""Time without a return after which earlier ones are forgotten. Longer than the longest pause and
an outage of some seconds, so that a server that goes down in each pause is still recognised."""
PAUSE_S: Final = 1.0
PAUSE_S_MAX: Final = 8.0


@dataclass(slots=True)
class _Returns:
    count: int = 0
    last_s: float = float("-inf")
    paused_until_s: float = float("-inf")


class Flapping:
    """Counts how often each backend server has come back, whatever its boot."""

    def __init__(self) -> None:
        self._returns: dict[WorkerId, _Returns] = {}

    def on_return(self, worker_id: WorkerId, now_s: float) -> None:
        """Process that a server answers again, or has a later boot."""
        self._forget_old(now_s)
        found = self._returns.setdefault(worker_id, _Returns())
        found.count += 1
        found.last_s = now_s
        if found.count < 2:
            return
        pause_s = min(PAUSE_S * 2 ** (found.count - 2), PAUSE_S_MAX)
        found.paused_until_s = now_s + pause_s
        _LOGGER.warning(
            "workers: %s gets no new tasks for a time, as it repeatedly went down",
            worker_id,
            extra={"worker": worker_id, "failures": found.count, "pause_s": pause_s},
        )

    @property
    def empty(self) -> bool:
        """Whether no server has come back recently."""
        return not self._returns

    def paused(self, worker_id: WorkerId, now_s: float) -> bool:
        """Return whether a server waits before it gets tasks."""
        found = self._returns.get(worker_id)
        return found is not None and now_s < found.paused_until_s

    def _forget_old(self, now_s: float) -> None:
        """Drop old entries, so that at most the servers of the window are kept."""
        for worker_id, found in list(self._returns.items()):
            if now_s - found.last_s > FLAP_WINDOW_S:
                del self._returns[worker_id]

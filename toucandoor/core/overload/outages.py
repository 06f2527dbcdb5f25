"""Lengths of the store's outages, as one node has seen them, and how long the present one lasts."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Final

from toucandoor.core.overload.spread import spread_retry_after_s

if TYPE_CHECKING:
    from toucandoor.ids import JobId

FIRST_OUTAGE_S: Final = 3.0
"""Assumed length of an outage before the first has ended."""
OUTAGE_S_MIN: Final = 0.5
"""Shorter times without an answer are lost answers or reconnections, and no outages."""
LENGTHS_MAX: Final = 32
"""Most lengths of former outages that are kept."""
RETRY_AFTER_S_MAX: Final = 5
"""Longest Retry-After during an outage; a caller's tries end after some three seconds."""


class StoreOutages:
    """Predicts the end of the store's present outage from the lengths of former ones."""

    def __init__(self) -> None:
        self._lengths_s: tuple[float, ...] = ()
        self._began_s: float | None = None

    @property
    def unavailable(self) -> bool:
        """Whether the latest call to the store failed."""
        return self._began_s is not None

    def on_failure(self, now_s: float) -> None:
        """Process a call to the store that failed."""
        if self._began_s is None:
            self._began_s = now_s

    def on_answer(self, now_s: float) -> None:
        """Process an answer of the store."""
        if self._began_s is None:
            return
        length_s = now_s - self._began_s
        self._began_s = None
        if length_s >= OUTAGE_S_MIN:
            self._lengths_s = (*self._lengths_s, length_s)[-LENGTHS_MAX:]

    def left_s(self, now_s: float) -> float:
        """Return the predicted rest of the present outage, in seconds.

        An outage in which no call has failed yet is taken to begin now.
        """
        began_s = self._began_s
        age_s = 0.0 if began_s is None else now_s - began_s
        usual_s = statistics.median(self._lengths_s) if self._lengths_s else FIRST_OUTAGE_S
        return max(0.0, usual_s - age_s)

    def retry_after_s(self, now_s: float, job_id: JobId) -> int:
        """Return the Retry-After of a job that can't be stored because of the present outage."""
        return min(RETRY_AFTER_S_MAX, spread_retry_after_s(self.left_s(now_s), job_id))

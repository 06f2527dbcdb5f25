"""Refusal of submissions while no data centre may run them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.admission.submission import Rejection, SubmissionPolicy

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

    from toucandoor.clock import Clock
    from toucandoor.core.evacuation.requests import EvacuationRequests
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.ids import DataCentreId

RETRY_AFTER_S: Final = 5
"""Retry-After of these refusals, by the specification of evacuations."""


class RefuseWhileAllEvacuated(SubmissionPolicy):
    """Refuses every submission while all data centres are evacuated.

    Args:
        requests: Requests in force.
        data_centres: Returns all data centres that exist, as read recently; empty while they are
            not known. It may call the store, so it is asked only where a rejection depends on it.
        clock: The clock.
    """

    def __init__(
        self,
        requests: EvacuationRequests,
        data_centres: Callable[[], AbstractSet[DataCentreId]],
        clock: Clock,
    ) -> None:
        self._requests = requests
        self._data_centres = data_centres
        self._clock = clock

    def rejection(self, spec: JobSpec) -> Rejection | None:
        """Return a rejection if all data centres are evacuated, by fresh knowledge."""
        in_force = self._requests.in_force
        if not in_force or not self._requests.known <= in_force.keys():
            return None
        if not self._requests.known_within(self._clock.monotonic_s(), self._requests.fresh_s):
            return None
        existing = self._data_centres()
        # They stay known, so that a data centre that is cut off later still counts.
        self._requests.add_known(existing)
        if not existing or not existing | self._requests.known <= in_force.keys():
            return None
        reason = "all data centres are evacuated; this call has stored nothing"
        return Rejection(503, reason, RETRY_AFTER_S)

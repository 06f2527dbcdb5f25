"""Detection of data centres without a running planner, by the renewals of planning leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.maintenance.lease import lease_key

if TYPE_CHECKING:
    from toucandoor.core.pools.models import FleetRead
    from toucandoor.ids import DataCentreId


class PlannerLiveness:
    """Tracks when the planning lease of each data centre was last renewed.

    In a data centre whose lease is not renewed, no planner records outages in the map: it is lost
    or separated by a network partition. It counts as unmonitored, also until a first change of its
    lease is seen. Only this controller's clock is used.

    Args:
        unmonitored_after_s: Time without a renewal after which a data centre counts as
            unmonitored.
    """

    def __init__(self, unmonitored_after_s: float) -> None:
        self._unmonitored_after_s = unmonitored_after_s
        self._revisions: dict[DataCentreId, int] = {}
        self._changed_s: dict[DataCentreId, float] = {}

    def on_read(self, read: FleetRead, now_s: float) -> None:
        """Compare the revisions of the leases with those of the last read."""
        for data_centre in read.maps:
            revision = read.revisions.get(lease_key(data_centre), 0)
            known = self._revisions.get(data_centre)
            if known is not None and known != revision:
                self._changed_s[data_centre] = now_s
            self._revisions[data_centre] = revision

    def unmonitored(self, now_s: float) -> frozenset[DataCentreId]:
        """Return the data centres whose outages no planner records now."""
        oldest_s = now_s - self._unmonitored_after_s
        return frozenset(
            data_centre
            for data_centre in self._revisions
            if self._changed_s.get(data_centre, float("-inf")) < oldest_s
        )

"""Which data centres' outages can be seen, judged by their planners' renewals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.maintenance.lease import lease_key

if TYPE_CHECKING:
    from toucandoor.core.pools.models import FleetRead
    from toucandoor.ids import DataCentreId


class Visibility:
    """Follows the revisions of all planning leases on this controller's own clock.

    A data centre whose lease stays as it is has no planner that reports outages into its map, be
    it cut off or lost. Until a first change is seen it counts as unseen.

    Args:
        unseen_after_s: Time without a renewal after which a data centre counts as unseen.
    """

    def __init__(self, unseen_after_s: float) -> None:
        self._unseen_after_s = unseen_after_s
        self._revisions: dict[DataCentreId, int] = {}
        self._changed_s: dict[DataCentreId, float] = {}

    def on_read(self, read: FleetRead, now_s: float) -> None:
        """Take the revisions of the leases as read."""
        for data_centre in read.maps:
            revision = read.revisions.get(lease_key(data_centre), 0)
            known = self._revisions.get(data_centre)
            if known is not None and known != revision:
                self._changed_s[data_centre] = now_s
            self._revisions[data_centre] = revision

    def unseen(self, now_s: float) -> frozenset[DataCentreId]:
        """Return the data centres whose outages nobody reports now."""
        oldest_s = now_s - self._unseen_after_s
        return frozenset(
            data_centre
            for data_centre in self._revisions
            if self._changed_s.get(data_centre, float("-inf")) < oldest_s
        )

"""Entry leases that this node has granted to other entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.ids import IncarnationId

if TYPE_CHECKING:
    from toucandoor.core.leases.models import LeaseTimes
    from toucandoor.ids import ConfigVersion, EntryId


@dataclass(frozen=True, slots=True)
class _Grant:
    incarnation: IncarnationId
    version: ConfigVersion
    until_s: float


class GrantedLeases:
    """Entry leases that this node has granted and that may not have expired yet.

    The grants are kept in memory only. A restarted node does not know what its earlier incarnations
    granted, so until one whole lease after its start any entry may hold a lease from it.
    """

    def __init__(self, times: LeaseTimes, started_s: float) -> None:
        self._times = times
        self._longest_times = times
        self._started_s = started_s
        self._grants: dict[EntryId, _Grant] = {}
        self._ended: dict[EntryId, IncarnationId] = {}

    def set_times(self, times: LeaseTimes, longest: LeaseTimes) -> None:
        """Set the durations to grant and the longest durations that were ever granted."""
        self._times = times
        self._longest_times = longest

    def grant(
        self, entry: EntryId, incarnation: IncarnationId, version: ConfigVersion, now_s: float
    ) -> float:
        """Renew an entry's lease; return its duration in seconds, 0 for an ended incarnation."""
        if incarnation <= self._ended.get(entry, -1):
            return 0.0
        self.record_incarnation(entry, incarnation)
        held = self._grants.get(entry)
        until_s = now_s + self._times.granter_entry_lease_s()
        if held is not None:
            until_s = max(until_s, held.until_s)
        self._grants[entry] = _Grant(incarnation, version, until_s)
        return self._times.entry_lease_s

    def record_incarnation(self, entry: EntryId, incarnation: IncarnationId) -> None:
        """Drop grants of earlier incarnations: a newer one at the same entry proves their end."""
        held = self._grants.get(entry)
        if held is not None and held.incarnation < incarnation:
            del self._grants[entry]
        self._mark_ended(entry, IncarnationId(incarnation - 1))

    def drop_ended(self, entry: EntryId, incarnation: IncarnationId) -> None:
        """Drop the grant of an incarnation that has said goodbye or has certainly ended."""
        held = self._grants.get(entry)
        if held is not None and held.incarnation <= incarnation:
            del self._grants[entry]
        self._mark_ended(entry, incarnation)

    def _mark_ended(self, entry: EntryId, incarnation: IncarnationId) -> None:
        self._ended[entry] = max(self._ended.get(entry, incarnation), incarnation)

    def earlier_grants_expired(self, now_s: float) -> bool:
        """Return whether all grants by earlier incarnations of this node have expired."""
        return now_s >= self._started_s + self._longest_times.granter_entry_lease_s()

    def holders_below(self, version: ConfigVersion, now_s: float) -> tuple[EntryId, ...]:
        """Return the entries that may hold an unexpired grant made for a lower version."""
        self._grants = {e: g for e, g in self._grants.items() if g.until_s > now_s}
        return tuple(sorted(e for e, g in self._grants.items() if g.version < version))

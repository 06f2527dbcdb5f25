"""Granter's side of the entry lease."""

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


class GrantBook:
    """Entry leases this node has granted and that may still be held.

    A node that restarts has lost its book, so it counts as having granted to everybody until one
    whole lease after its start.
    """

    def __init__(self, times: LeaseTimes, started_s: float) -> None:
        self._times = times
        self._longest = times
        self._started_s = started_s
        self._grants: dict[EntryId, _Grant] = {}
        self._dead: dict[EntryId, IncarnationId] = {}

    def set_times(self, times: LeaseTimes, longest: LeaseTimes) -> None:
        """Take over the durations to grant and the longest that were ever granted."""
        self._times = times
        self._longest = longest

    def grant(
        self, entry: EntryId, incarnation: IncarnationId, version: ConfigVersion, now_s: float
    ) -> float:
        """Renew an entry's lease; return its duration in seconds, 0 for a dead incarnation."""
        if incarnation <= self._dead.get(entry, -1):
            return 0.0
        self.note_incarnation(entry, incarnation)
        held = self._grants.get(entry)
        until_s = now_s + self._times.granter_entry_lease_s()
        if held is not None:
            until_s = max(until_s, held.until_s)
        self._grants[entry] = _Grant(incarnation, version, until_s)
        return self._times.entry_lease_s

    def note_incarnation(self, entry: EntryId, incarnation: IncarnationId) -> None:
        """Take a newer incarnation at the same address as proof that the earlier are dead."""
        held = self._grants.get(entry)
        if held is not None and held.incarnation < incarnation:
            del self._grants[entry]
        self._mark_dead(entry, IncarnationId(incarnation - 1))

    def note_dead(self, entry: EntryId, incarnation: IncarnationId) -> None:
        """Drop the grant of an incarnation that said goodbye or is certainly gone."""
        held = self._grants.get(entry)
        if held is not None and held.incarnation <= incarnation:
            del self._grants[entry]
        self._mark_dead(entry, incarnation)

    def _mark_dead(self, entry: EntryId, incarnation: IncarnationId) -> None:
        self._dead[entry] = max(self._dead.get(entry, incarnation), incarnation)

    def settled(self, now_s: float) -> bool:
        """Return whether the grants of earlier incarnations of this node have run out."""
        return now_s >= self._started_s + self._longest.granter_entry_lease_s()

    def lower_than(self, version: ConfigVersion, now_s: float) -> tuple[EntryId, ...]:
        """Return the entries that may hold a grant made below a version."""
        self._grants = {e: g for e, g in self._grants.items() if g.until_s > now_s}
        return tuple(sorted(e for e, g in self._grants.items() if g.version < version))

"""Leases that one node holds, and leases that it grants to other nodes.

A node holds two leases and may start keyed work only while it holds both:

- The entry lease lasts seconds and is granted by a majority of the node's data centre or of the
  fleet.
- The freshness lease lasts minutes, counted from the last moment at which the store or a majority
  of the fleet confirmed that no higher version could have been accepted.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from toucandoor.core.leases.const import CLOCK_DRIFT_RATIO
from toucandoor.core.leases.grants import GrantedLeases
from toucandoor.core.leases.models import EntrySlot, LeaseTimes, Poll, PollAnswer, majority
from toucandoor.core.leases.serving import ServingLease
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


def _nth_largest(values: Iterable[float], count: int) -> float:
    ordered = sorted(values, reverse=True)
    return ordered[count - 1] if 0 < count <= len(ordered) else -math.inf


class LeaseNode(ServingLease):
    """Leases of one entry VM, without I/O.

    Args:
        entry: Own entry; it holds no lease while it is not among the slots.
        times: Durations of the leases.
        started_s: Monotonic time at which this incarnation started.
    """

    def __init__(
        self, entry: EntryId, incarnation: IncarnationId, times: LeaseTimes, started_s: float
    ) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.known = ConfigVersion(0)
        self.in_force = ConfigVersion(0)
        self.grants = GrantedLeases(times, started_s)
        self._times = times
        self._started_s = started_s
        self._fresh_from_s = -math.inf
        self._slots: dict[EntryId, EntrySlot] = {}
        self._grant_until_s: dict[EntryId, float] = {}
        self._confirmed_s: dict[EntryId, float] = {}
        self._fresh_by_version_s: dict[ConfigVersion, float] = {}
        self._sequence = 0

    def set_slots(self, slots: Iterable[EntrySlot]) -> None:
        """Set the slots that count for majorities."""
        self._slots = {slot.entry: slot for slot in slots}

    def set_times(self, times: LeaseTimes, longest: LeaseTimes) -> None:
        """Set the durations of the version in force and the longest of any version."""
        self._times = times
        self.grants.set_times(times, longest)

    def set_known(self, version: ConfigVersion) -> None:
        """Record that this node has the whole content of a version; lower versions are ignored."""
        self.known = max(self.known, version)

    def set_in_force(self, version: ConfigVersion) -> None:
        """Record the version that all processes here have in force; lower versions are ignored."""
        self.in_force = max(self.in_force, min(version, self.known))
        for head in [head for head in self._fresh_by_version_s if head <= self.in_force]:
            self._extend_freshness(self._fresh_by_version_s.pop(head))

    def caught_up(self) -> bool:
        """Return whether this incarnation has confirmed its version since its start."""
        return self._fresh_from_s > self._started_s

    def fresh_age_s(self, now_s: float) -> float | None:
        """Return the time since the last freshness confirmation, None if there was none."""
        if math.isinf(self._fresh_from_s):
            return None
        return now_s - self._fresh_from_s

    def next_poll(self, *, asks_grant: bool = True) -> Poll:
        """Return the next poll; the caller must read the clock before it sends the poll."""
        self._sequence += 1
        return Poll(
            self.entry, self.incarnation, self._sequence, self.known, self.in_force, asks_grant
        )

    def on_poll(self, poll: Poll, now_s: float) -> PollAnswer:
        """Answer a poll and renew the sender's entry lease.

        The lease is refused before this node has caught up, if the sender has a lower version in
        force than this node knows, and to an incarnation that has ended.
        """
        self.grants.record_incarnation(poll.sender, poll.incarnation)
        grant_s = 0.0
        if poll.asks_grant and self.caught_up() and poll.in_force >= self.known:
            grant_s = self.grants.grant(poll.sender, poll.incarnation, poll.in_force, now_s)
        return PollAnswer(
            sender=self.entry,
            incarnation=self.incarnation,
            sequence=poll.sequence,
            known=self.known,
            in_force=self.in_force,
            caught_up=self.caught_up(),
            settled=self.grants.earlier_grants_expired(now_s),
            fresh_age_s=self.fresh_age_s(now_s),
            grant_s=grant_s,
            lower_grants=self.grants.holders_below(poll.known, now_s),
        )

    def on_answer(self, answer: PollAnswer, sent_s: float) -> None:
        """Process an answer; its lease and freshness count from before its poll was sent."""
        held_s = self._grant_until_s.get(answer.sender, -math.inf)
        if answer.grant_s > 0:
            self._grant_until_s[answer.sender] = max(held_s, sent_s + answer.grant_s)
        if answer.fresh_age_s is not None:
            age_s = answer.fresh_age_s * (1 + CLOCK_DRIFT_RATIO)
            self._record_freshness(answer.known, sent_s - age_s)
        if answer.known > self.in_force:
            return
        if answer.caught_up:
            earlier_s = self._confirmed_s.get(answer.sender, -math.inf)
            self._confirmed_s[answer.sender] = max(earlier_s, sent_s)
        self._extend_freshness(self._majority_fresh_s(sent_s))

    def on_store_read(self, head: ConfigVersion, sent_s: float) -> None:
        """Process a read of the head record; its freshness counts from before the read was sent."""
        self._record_freshness(head, sent_s)

    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start.

        A process that has no confirmation newer than its own start holds no lease: an earlier
        incarnation may have acknowledged a higher version since that confirmation.
        """
        if self.entry not in self._slots or self.in_force == 0 or self.in_force < self.known:
            return -math.inf
        if not self.caught_up():
            return -math.inf
        return min(self.entry_lease_until_s(), self.fresh_until_s())

    def connectivity_lease(self) -> ServingLease:
        """Return a lease that holds while this node is connected, whatever version is in force.

        It serves work that may safely use an older version, such as distributing permits under the
        ceilings of the ledger. The lease for keyed work expires briefly at each new version.
        """
        return _ConnectivityLease(self)

    def fresh_until_s(self) -> float:
        """Return the monotonic time at which the freshness lease expires."""
        return self._fresh_from_s + self._times.grace_s

    def entry_lease_until_s(self) -> float:
        """Return the monotonic time at which the entry lease expires."""
        own_slot = self._slots.get(self.entry)
        if own_slot is None:
            return -math.inf
        grant_until_s: Mapping[EntryId, float] = {**self._grant_until_s, self.entry: math.inf}
        return max(
            self._majority_until_s(grant_until_s, self._entries_in(own_slot.data_centre)),
            self._majority_until_s(grant_until_s, list(self._slots)),
        )

    def _majority_until_s(
        self, grant_until_s: Mapping[EntryId, float], group: list[EntryId]
    ) -> float:
        ends_s = (grant_until_s.get(entry, -math.inf) for entry in group)
        return _nth_largest(ends_s, majority(len(group)))

    def _entries_in(self, data_centre: DataCentreId) -> list[EntryId]:
        return [slot.entry for slot in self._slots.values() if slot.data_centre == data_centre]

    def _majority_fresh_s(self, now_s: float) -> float:
        own_counts = self.caught_up() and self.known <= self.in_force
        own_s = now_s if own_counts else -math.inf
        times_s = (
            own_s if entry == self.entry else self._confirmed_s.get(entry, -math.inf)
            for entry in self._slots
        )
        return _nth_largest(times_s, majority(len(self._slots)))

    def _record_freshness(self, version: ConfigVersion, from_s: float) -> None:
        """Record that no version above ``version`` could have been accepted before ``from_s``.

        It extends the freshness lease only once ``version`` is in force here; until then it proves
        nothing about the version that this node serves.
        """
        if version <= self.in_force:
            self._extend_freshness(from_s)
            return
        self._fresh_by_version_s[version] = max(
            self._fresh_by_version_s.get(version, from_s), from_s
        )

    def _extend_freshness(self, from_s: float) -> None:
        self._fresh_from_s = max(self._fresh_from_s, from_s)


class _ConnectivityLease(ServingLease):
    """Entry and freshness leases of a node, whatever version it has in force."""

    def __init__(self, node: LeaseNode) -> None:
        self._node = node

    def keyed_until_s(self) -> float:
        return min(self._node.entry_lease_until_s(), self._node.fresh_until_s())

"""One node's leases: what it may do, and what it may promise to others.

The node holds an entry lease of seconds, granted by a majority of its data centre or of the
fleet, and a freshness lease of minutes, counted from the last moment at which the store or a
majority of the fleet showed that no higher version could have been accepted. It may start keyed
work while it holds both.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from toucandoor.core.leases.const import CLOCK_DRIFT_RATIO
from toucandoor.core.leases.grants import GrantBook
from toucandoor.core.leases.models import LeaseTimes, Poll, PollAnswer, Slot, majority
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
        me: Own entry; it holds no lease while it is not among the slots.
        times: Durations of the leases.
        started_s: Monotonic time at which this incarnation started.
    """

    def __init__(
        self, me: EntryId, incarnation: IncarnationId, times: LeaseTimes, started_s: float
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.known = ConfigVersion(0)
        self.in_force = ConfigVersion(0)
        self.grants = GrantBook(times, started_s)
        self._times = times
        self._started_s = started_s
        self._fresh_from_s = -math.inf
        self._slots: dict[EntryId, Slot] = {}
        self._held_until_s: dict[EntryId, float] = {}
        self._confirmed_s: dict[EntryId, float] = {}
        self._awaiting_s: dict[ConfigVersion, float] = {}
        self._sequence = 0

    def set_slots(self, slots: Iterable[Slot]) -> None:
        """Take over the slots of the version in force."""
        self._slots = {slot.entry: slot for slot in slots}

    def set_times(self, times: LeaseTimes, longest: LeaseTimes) -> None:
        """Take over the durations of the version in force, and the longest of any version."""
        self._times = times
        self.grants.set_times(times, longest)

    def set_known(self, version: ConfigVersion) -> None:
        """Note that the whole content of a version is here; a lower one changes nothing."""
        self.known = max(self.known, version)

    def set_in_force(self, version: ConfigVersion) -> None:
        """Note the version that everything here obeys; a lower one changes nothing."""
        self.in_force = max(self.in_force, min(version, self.known))
        for head in [head for head in self._awaiting_s if head <= self.in_force]:
            self._confirm(self._awaiting_s.pop(head))

    def caught_up(self) -> bool:
        """Return whether this incarnation has confirmed its version since it started."""
        return self._fresh_from_s > self._started_s

    def fresh_age_s(self, now_s: float) -> float | None:
        """Return the time since the last confirmation, None when there was none."""
        if math.isinf(self._fresh_from_s):
            return None
        return now_s - self._fresh_from_s

    def poll(self, *, asks_grant: bool = True) -> Poll:
        """Make the next poll; the caller keeps the time from before it was sent."""
        self._sequence += 1
        return Poll(
            self.me, self.incarnation, self._sequence, self.known, self.in_force, asks_grant
        )

    def on_poll(self, poll: Poll, now_s: float) -> PollAnswer:
        """Answer a poll, and renew the asker's entry lease where nothing speaks against it."""
        self.grants.note_incarnation(poll.sender, poll.incarnation)
        grant_s = 0.0
        if poll.asks_grant and self.caught_up() and poll.in_force >= self.known:
            grant_s = self.grants.grant(poll.sender, poll.incarnation, poll.in_force, now_s)
        return PollAnswer(
            sender=self.me,
            incarnation=self.incarnation,
            sequence=poll.sequence,
            known=self.known,
            in_force=self.in_force,
            caught_up=self.caught_up(),
            settled=self.grants.settled(now_s),
            fresh_age_s=self.fresh_age_s(now_s),
            grant_s=grant_s,
            lower_grants=self.grants.lower_than(poll.known, now_s),
        )

    def on_answer(self, answer: PollAnswer, sent_s: float) -> None:
        """Count an answer from the time before its poll was sent."""
        held_s = self._held_until_s.get(answer.sender, -math.inf)
        if answer.grant_s > 0:
            self._held_until_s[answer.sender] = max(held_s, sent_s + answer.grant_s)
        if answer.fresh_age_s is not None:
            age_s = answer.fresh_age_s * (1 + CLOCK_DRIFT_RATIO)
            self._on_evidence(answer.known, sent_s - age_s)
        if answer.known > self.in_force:
            return
        if answer.caught_up:
            earlier_s = self._confirmed_s.get(answer.sender, -math.inf)
            self._confirmed_s[answer.sender] = max(earlier_s, sent_s)
        self._confirm(self._majority_fresh_s(sent_s))

    def on_store_read(self, head: ConfigVersion, sent_s: float) -> None:
        """Count a read of the head record from the time before it was sent."""
        self._on_evidence(head, sent_s)

    def keyed_until_s(self) -> float:
        """Return the monotonic time after which no keyed work may start.

        A process whose only word is older than itself holds nothing: an earlier incarnation may
        have acknowledged a higher version since.
        """
        if self.me not in self._slots or self.in_force == 0 or self.in_force < self.known:
            return -math.inf
        if not self.caught_up():
            return -math.inf
        return min(self.entry_lease_until_s(), self.fresh_until_s())

    def touch_lease(self) -> ServingLease:
        """Return the lease on being in touch, whatever version is in force here.

        It is for work that a version behind does no harm to, such as handing out permits under the
        ledger's own ceilings; the keyed lease lapses for a moment at each new version.
        """
        return _TouchLease(self)

    def fresh_until_s(self) -> float:
        """Return the end of the freshness lease."""
        return self._fresh_from_s + self._times.grace_s

    def entry_lease_until_s(self) -> float:
        """Return the end of the entry lease."""
        mine = self._slots.get(self.me)
        if mine is None:
            return -math.inf
        held: Mapping[EntryId, float] = {**self._held_until_s, self.me: math.inf}
        return max(
            self._granted_until_s(held, self._slots_of(mine.data_centre)),
            self._granted_until_s(held, list(self._slots)),
        )

    def _granted_until_s(self, held: Mapping[EntryId, float], group: list[EntryId]) -> float:
        ends_s = (held.get(entry, -math.inf) for entry in group)
        return _nth_largest(ends_s, majority(len(group)))

    def _slots_of(self, data_centre: DataCentreId) -> list[EntryId]:
        return [slot.entry for slot in self._slots.values() if slot.data_centre == data_centre]

    def _majority_fresh_s(self, now_s: float) -> float:
        counts = self.caught_up() and self.known <= self.in_force
        own_s = now_s if counts else -math.inf
        times_s = (
            own_s if entry == self.me else self._confirmed_s.get(entry, -math.inf)
            for entry in self._slots
        )
        return _nth_largest(times_s, majority(len(self._slots)))

    def _on_evidence(self, version: ConfigVersion, from_s: float) -> None:
        """Use word that no version above one could be accepted before a time, once it is in force.

        Until then it says nothing about what is in force here.
        """
        if version <= self.in_force:
            self._confirm(from_s)
            return
        self._awaiting_s[version] = max(self._awaiting_s.get(version, from_s), from_s)

    def _confirm(self, from_s: float) -> None:
        self._fresh_from_s = max(self._fresh_from_s, from_s)


class _TouchLease(ServingLease):
    """The entry and freshness leases of a node without its version."""

    def __init__(self, node: LeaseNode) -> None:
        self._node = node

    def keyed_until_s(self) -> float:
        return min(self._node.entry_lease_until_s(), self._node.fresh_until_s())

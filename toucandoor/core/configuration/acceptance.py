"""Decides when a version of the configuration is accepted, that is, in force everywhere.

A version is accepted once both of these hold:

- A majority of the fleet has had the version at the same time, and no majority by the slots before
  the last change of slots was without it.
- As seen after that, each entry either has acknowledged that it has the version in force, or can no
  longer hold a lease for a lower version.

If an entry does neither, the version is accepted once the grace period that starts with this
majority has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.leases.models import EntrySlot, LeaseTimes, PollAnswer, majority

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId


class PendingReason(Enum):
    """Why the acknowledgement of an entry is still awaited."""

    NO_ANSWER = "no answer since the version was written"
    LOWER_VERSION = "answers, but has a lower version in force"
    NO_MAJORITY = "a majority of the fleet does not have the version yet"


@dataclass(frozen=True, slots=True)
class Pending:
    """Entry whose acknowledgement is still awaited.

    Attributes:
        at_most_s: Time until its lease has expired in any case, None while that is not known.
    """

    entry: EntryId
    data_centre: DataCentreId
    reason: PendingReason
    at_most_s: float | None


class Acceptance:
    """Tracks one version from its write until it is in force everywhere.

    Args:
        slots: Slots of the version.
        times: Longest durations set by any version that an entry may still have in force.
        previous_slots: Slots by which an entry with a lower version may still count majorities;
            empty if they do not differ.
    """

    def __init__(
        self,
        version: ConfigVersion,
        slots: Iterable[EntrySlot],
        times: LeaseTimes,
        previous_slots: Iterable[EntrySlot] = (),
    ) -> None:
        self.version = version
        current, previous = tuple(slots), tuple(previous_slots)
        self._current, self._previous = current, previous
        # Nobody counts a majority, and so holds a lease, by a set without slots.
        self._slot_sets = [each for each in (current, previous) if each]
        self._slots = {slot.entry: slot for slot in (*previous, *current)}
        self._times = times
        self._version_holders: dict[EntryId, IncarnationId] = {}
        self._confirmed: set[EntryId] = set()
        self._majority_has_version_s: float | None = None
        self._majority_confirmed_s: float | None = None
        self._acknowledged: set[EntryId] = set()
        self._not_granted_by: dict[EntryId, set[EntryId]] = {}
        self._answering: set[EntryId] = set()

    def on_answer(self, answer: PollAnswer, sent_s: float, now_s: float) -> None:
        """Process the answer to a poll that named this version or a higher one as known."""
        if answer.sender not in self._slots:
            return
        self._answering.add(answer.sender)
        if self._majority_confirmed_s is None:
            self._count_towards_majority(answer, sent_s, now_s)
        if self._majority_has_version_s is None or sent_s < self._majority_has_version_s:
            return
        if answer.in_force >= self.version:
            self._acknowledged.add(answer.sender)
        if answer.caught_up and answer.settled and answer.known >= self.version:
            lower = set(answer.lower_grants)
            not_granted = self._not_granted_by.setdefault(answer.sender, set())
            not_granted.update(entry for entry in self._slots if entry not in lower)

    def has_majority(self) -> bool:
        """Return whether a majority of the fleet has had the version at the same time."""
        return self._majority_confirmed_s is not None

    def accepted(self, now_s: float) -> bool:
        """Return whether no entry can start keyed work under a lower version any longer.

        Without slots that is so from the start: the first content may be written before any entry
        VM has registered, and a slot can be added only to a version that is in force everywhere.
        """
        if not self._slots:
            return True
        if self._majority_confirmed_s is None:
            return False
        if now_s >= self._majority_confirmed_s + self._times.granter_grace_s():
            return True
        return all(self._cannot_serve_lower(entry) for entry in self._slots)

    def pending(self, now_s: float) -> list[Pending]:
        """Return the entries whose acknowledgement is still awaited, each with the reason."""
        if self.accepted(now_s):
            return []
        at_most_s = None
        if self._majority_confirmed_s is not None:
            at_most_s = self._majority_confirmed_s + self._times.granter_grace_s() - now_s
        return [
            Pending(slot.entry, slot.data_centre, self._reason(slot.entry), at_most_s)
            for slot in self._slots.values()
            if not self._cannot_serve_lower(slot.entry)
        ]

    def _count_towards_majority(self, answer: PollAnswer, sent_s: float, now_s: float) -> None:
        sender = answer.sender
        if not answer.caught_up or answer.known < self.version:
            return
        if self._version_holders.get(sender, answer.incarnation) != answer.incarnation:
            self._restart_count()
        self._version_holders[sender] = answer.incarnation
        if self._majority_has_version_s is None:
            if self._is_majority(self._version_holders):
                self._majority_has_version_s = now_s
            return
        if sent_s >= self._majority_has_version_s:
            self._confirmed.add(sender)
        if self._is_majority(self._confirmed):
            self._majority_confirmed_s = now_s

    def _is_majority(self, entries: Container[EntryId]) -> bool:
        """Return whether every majority of the present slots, and of those before, has one of them.

        Of the slots before, a majority itself is not asked for: where that set is even, one lost
        entry VM more would keep the version pending, although a majority of the present slots has
        it. A majority of the present slots always leaves those before without one.
        """
        current = sum(slot.entry in entries for slot in self._current)
        if self._current and current < majority(len(self._current)):
            return False
        others = sum(slot.entry not in entries for slot in self._previous)
        return others < majority(len(self._previous))

    def _restart_count(self) -> None:
        self._version_holders.clear()
        self._confirmed.clear()
        self._acknowledged.clear()
        self._not_granted_by.clear()
        self._majority_has_version_s = None

    def _cannot_serve_lower(self, entry: EntryId) -> bool:
        return entry in self._acknowledged or self._cannot_renew(entry)

    def _cannot_renew(self, entry: EntryId) -> bool:
        non_granters = {
            granter for granter, entries in self._not_granted_by.items() if entry in entries
        }
        non_granters.discard(entry)
        return all(self._cannot_renew_in(slots, entry, non_granters) for slots in self._slot_sets)

    def _cannot_renew_in(
        self, slots: tuple[EntrySlot, ...], entry: EntryId, non_granters: set[EntryId]
    ) -> bool:
        own_slot = next((slot for slot in slots if slot.entry == entry), None)
        if own_slot is None:
            return True
        neighbours = [slot.entry for slot in slots if slot.data_centre == own_slot.data_centre]
        return self._prevent_majority(non_granters, neighbours) and self._prevent_majority(
            non_granters, [slot.entry for slot in slots]
        )

    def _prevent_majority(self, non_granters: set[EntryId], group: list[EntryId]) -> bool:
        possible_granters = sum(1 for entry in group if entry not in non_granters)
        return possible_granters < majority(len(group))

    def _reason(self, entry: EntryId) -> PendingReason:
        if self._majority_confirmed_s is None and entry in self._version_holders:
            return PendingReason.NO_MAJORITY
        if entry not in self._answering:
            return PendingReason.NO_ANSWER
        return PendingReason.LOWER_VERSION

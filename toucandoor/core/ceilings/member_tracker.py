"""Members of one data centre that are joining, and members that have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.ceilings.models import IncarnationExpired, Member
    from toucandoor.ids import EntryId, IncarnationId


class MemberTracker:
    """Tracks members that are joining and listed members that have ended.

    A member is listed when the data centre's line of the ledger names it. It has ended when it
    holds no permits and runs no tasks any more, and never will again.

    Attributes:
        joining: Members that asked to join and are not listed yet.
        ended: Listed members that have ended.
    """

    def __init__(self) -> None:
        self.joining: set[Member] = set()
        self.ended: set[Member] = set()
        self._expiries_s: dict[tuple[EntryId, IncarnationId], float] = {}
        self._ended_generations: dict[tuple[EntryId, IncarnationId], int] = {}

    def active(self, listed: Iterable[Member]) -> list[Member]:
        """Return the listed members that have not ended."""
        return [member for member in listed if member not in self.ended]

    def is_ended(self, member: Member) -> bool:
        """Return whether this generation of the member has ended, listed or not."""
        return member.generation <= self._ended_generations.get(
            (member.entry, member.incarnation), -1
        )

    def on_incarnation_expired(self, event: IncarnationExpired) -> None:
        """Record when an expired incarnation's permits become free."""
        key = (event.entry, event.incarnation)
        self._expiries_s[key] = max(self._expiries_s.get(key, 0.0), event.last_task_end_s)

    def on_leave(self, member: Member) -> None:
        """Mark a member as ended after a planned stop."""
        self._ended_generations[member.entry, member.incarnation] = member.generation
        self.joining.discard(member)

    def expire_earlier_incarnations(self, listed: Iterable[Member], last_task_end_s: float) -> None:
        """Record expiries of incarnations that a newer one proves dead.

        Earlier generations of the newest incarnation end at once.

        Args:
            listed: Members of the ledger.
            last_task_end_s: Monotonic time by which the tasks of a dead process have ended,
                because nobody renews their leases.
        """
        listed = list(listed)
        newest: dict[EntryId, tuple[IncarnationId, int]] = {}
        for member in [*listed, *self.joining]:
            version = (member.incarnation, member.generation)
            newest[member.entry] = max(newest.get(member.entry, version), version)
        for member in listed:
            incarnation, generation = newest[member.entry]
            key = (member.entry, member.incarnation)
            if member.incarnation < incarnation and not self.is_ended(member):
                self._expiries_s.setdefault(key, last_task_end_s)
            if member.incarnation == incarnation and member.generation < generation:
                self._end_generations(key, generation - 1)

    def _end_generations(self, key: tuple[EntryId, IncarnationId], last: int) -> None:
        """Mark generations as ended; their process lost their permits before it joined again."""
        self._ended_generations[key] = max(self._ended_generations.get(key, last), last)

    def end_expired(self, listed: Iterable[Member], now_s: float) -> None:
        """Mark the incarnations whose last task has ended by now as ended."""
        due = [key for key, end_s in self._expiries_s.items() if now_s >= end_s]
        for key in due:
            del self._expiries_s[key]
            known = [m for m in [*listed, *self.joining] if (m.entry, m.incarnation) == key]
            generations = [member.generation for member in known]
            self._ended_generations[key] = max(
                generations, default=self._ended_generations.get(key, 0)
            )
        if due:
            self.joining = {m for m in self.joining if not self.is_ended(m)}

    def pop_newly_ended(self, listed: Iterable[Member]) -> set[Member]:
        """Return the listed members that have ended since the last call."""
        members = set(listed)
        self.ended &= members
        new = {member for member in members if self.is_ended(member)} - self.ended
        self.ended |= new
        return new

    def pop_added(self, listed: Iterable[Member]) -> set[Member]:
        """Return the joining members that are listed by now, and stop tracking them as joining."""
        added = self.joining & set(listed)
        self.joining -= added
        return added

"""Who of a data centre's members is joining, and who is gone for good."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.ceilings.models import EntryGone, Member
    from toucandoor.ids import EntryId, IncarnationId


class Roster:
    """Members that ask to join, and members that were listed and are gone.

    Attributes:
        joining: Members that asked and are not listed yet.
        gone: Listed members that hold and run nothing any more.
    """

    def __init__(self) -> None:
        self.joining: set[Member] = set()
        self.gone: set[Member] = set()
        self._gone_later: dict[tuple[EntryId, IncarnationId], float] = {}
        self._lives_gone: dict[tuple[EntryId, IncarnationId], int] = {}

    def present(self, listed: Iterable[Member]) -> list[Member]:
        """Return the listed members that are not gone."""
        return [member for member in listed if member not in self.gone]

    def is_gone(self, member: Member) -> bool:
        """Return whether this life of the member is over, listed or not."""
        return member.life <= self._lives_gone.get((member.entry, member.incarnation), -1)

    def on_gone(self, event: EntryGone) -> None:
        """Note that an incarnation's permits are free from a time on."""
        key = (event.entry, event.incarnation)
        self._gone_later[key] = max(self._gone_later.get(key, 0.0), event.last_task_end_s)

    def on_left(self, member: Member) -> None:
        """Note a planned stop: nothing is held and nothing runs."""
        self._lives_gone[member.entry, member.incarnation] = member.life
        self.joining.discard(member)

    def succeed(self, listed: Iterable[Member], last_task_end_s: float) -> None:
        """Take a newer incarnation as proof that the earlier ones' processes are dead.

        Args:
            listed: Members of the ledger.
            last_task_end_s: Monotonic time by which tasks of a process that is dead now have
                ended, because nobody renews their leases.
        """
        listed = list(listed)
        newest: dict[EntryId, tuple[IncarnationId, int]] = {}
        for member in [*listed, *self.joining]:
            place = (member.incarnation, member.life)
            newest[member.entry] = max(newest.get(member.entry, place), place)
        for member in listed:
            incarnation, life = newest[member.entry]
            key = (member.entry, member.incarnation)
            if member.incarnation < incarnation and not self.is_gone(member):
                self._gone_later.setdefault(key, last_task_end_s)
            if member.incarnation == incarnation and member.life < life:
                self._end_lives(key, life - 1)

    def _end_lives(self, key: tuple[EntryId, IncarnationId], life: int) -> None:
        """Mark earlier lives of a process: it lost what they held before it asked again."""
        self._lives_gone[key] = max(self._lives_gone.get(key, life), life)

    def expire(self, listed: Iterable[Member], now_s: float) -> None:
        """Mark the incarnations whose last task has ended by now."""
        due = [key for key, end_s in self._gone_later.items() if now_s >= end_s]
        for key in due:
            del self._gone_later[key]
            known = [m for m in [*listed, *self.joining] if (m.entry, m.incarnation) == key]
            lives = [member.life for member in known]
            self._lives_gone[key] = max(lives, default=self._lives_gone.get(key, 0))
        if due:
            self.joining = {m for m in self.joining if not self.is_gone(m)}

    def newly_gone(self, listed: Iterable[Member]) -> set[Member]:
        """Return and note the listed members that are gone and were not noted before."""
        members = set(listed)
        self.gone &= members
        new = {member for member in members if self.is_gone(member)} - self.gone
        self.gone |= new
        return new

    def take_added(self, listed: Iterable[Member]) -> set[Member]:
        """Return the members that joined and are listed by now, and forget them."""
        added = self.joining & set(listed)
        self.joining -= added
        return added

"""Count of all permits of a data centre, which finds those that were lost."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.core.ceilings.models import Epoch, EpochReport, Member
    from toucandoor.ids import TeamId


class EpochCount:
    """Waits for each member's report of one epoch.

    A member reports what it held when it entered the epoch and counts no transfer of an earlier
    epoch afterwards. Once every member has reported or is gone, permits that the data centre
    should hold and nobody reported are held by nobody: lost transfers, parts of members that are
    gone, and the pool of an earlier coordinator.

    Args:
        expected: Permits that the members should hold at the start of the epoch.
    """

    def __init__(
        self, epoch: Epoch, expected: Mapping[TeamId, int], members: Iterable[Member]
    ) -> None:
        self.epoch = epoch
        self.awaited = set(members)
        self._missing = Counter(expected)

    def on_report(self, report: EpochReport) -> None:
        """Count a member's report once."""
        if report.epoch != self.epoch or report.member not in self.awaited:
            return
        self.awaited.discard(report.member)
        self._missing.subtract(report.held)

    def on_gone(self, member: Member) -> None:
        """Stop waiting for a member that holds and runs nothing any more."""
        self.awaited.discard(member)

    def lost(self) -> Counter[TeamId]:
        """Return the permits that nobody holds; only meaningful when nobody is awaited."""
        return +self._missing

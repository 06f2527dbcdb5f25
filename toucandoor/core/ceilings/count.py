"""Count of all permits of a data centre, to find lost permits."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.core.ceilings.models import Epoch, EpochReport, Member
    from toucandoor.ids import TeamId


class EpochCount:
    """Collects each member's report of one epoch.

    A member reports the permits it held when it entered the epoch and accepts no transfer of an
    earlier epoch afterwards. Once every member has reported or ended, expected permits that nobody
    reported are held by nobody: they were in lost transfers, with ended members, or with an earlier
    coordinator.

    Args:
        expected: Permits that the members should hold at the start of the epoch.

    Attributes:
        awaited: Members whose report is missing.
    """

    def __init__(
        self, epoch: Epoch, expected: Mapping[TeamId, int], members: Iterable[Member]
    ) -> None:
        self.epoch = epoch
        self.awaited = set(members)
        self._unreported = Counter(expected)

    def on_report(self, report: EpochReport) -> None:
        """Count a member's report; duplicates and other epochs are ignored."""
        if report.epoch != self.epoch or report.member not in self.awaited:
            return
        self.awaited.discard(report.member)
        self._unreported.subtract(report.held)

    def on_member_ended(self, member: Member) -> None:
        """Stop waiting for the report of a member that has ended."""
        self.awaited.discard(member)

    def lost_permits(self) -> Counter[TeamId]:
        """Return the permits that nobody holds; valid only when no report is awaited."""
        return +self._unreported

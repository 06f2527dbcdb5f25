"""Order in which entry VMs claim a vacant ownership: stronger VMs first, then younger processes.

The owner does the work of the whole schedule. On a VM with less processor or a narrower link, a
takeover takes longer and fewer runs start per second, so a weak VM is the owner only while there
is no stronger one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from toucandoor.ids import DataCentreId, EntryId

STRONGER_RATIO: Final = 1.5
"""Ratio of processor or link from which a VM counts as stronger. Below it, the gain is less than
the cost of a change of owner."""
CLAIM_STEP_S: Final = 0.02
"""Delay of a claim for each VM that claims earlier: about the time that the store takes for two
calls and for a watch to report the claim, so that the next VM learns of it before its own claim."""
CLAIM_DELAY_S_MAX: Final = 0.2
"""Longest delay of a claim so that other VMs can claim first. It adds to the time without an owner
if those have failed too; it is a sixth of the lease of the ownership."""
WEAKER_DELAY_S: Final = 0.4
"""Additional delay of a VM that knows of a stronger one: the longest delay of that one's claim, and
as much again for its calls to a slow store."""
CANDIDATES_READ_INTERVAL_S: Final = 4.0
"""Interval at which an owner reads which other entry VMs there are; as often as they renew their
records."""
YIELD_PAUSE_S: Final = 30.0
"""Time after a release for a stronger VM in which the same VM does not release the ownership again.
It is above the lease of a node's record, so that a VM that cannot claim is no longer listed."""


@dataclass(frozen=True, slots=True)
class VmCapacity:
    """Capacity of an entry VM for the work of an owner; 0 where it is not known.

    Attributes:
        processor_cores: Processor, in cores of standard speed.
        link_mbps: Bandwidth of its network link, in Mbit/s.
    """

    processor_cores: float = 0.0
    link_mbps: float = 0.0

    def stronger_than(self, other: VmCapacity) -> bool:
        """Return whether it has clearly more of one resource and not less of the other."""
        if not self._known or not other._known:
            return False
        processor_ratio = self.processor_cores / other.processor_cores
        link_ratio = self.link_mbps / other.link_mbps
        return min(processor_ratio, link_ratio) >= 1 and (
            max(processor_ratio, link_ratio) >= STRONGER_RATIO
        )

    @property
    def _known(self) -> bool:
        return self.processor_cores > 0 and self.link_mbps > 0


def stronger_exists(own: VmCapacity, others: Iterable[VmCapacity]) -> bool:
    """Return whether one of the other entry VMs is stronger than this one."""
    return any(other.stronger_than(own) for other in others)


def usable_elsewhere(
    own: VmCapacity,
    own_data_centre: DataCentreId,
    others: Iterable[tuple[DataCentreId, VmCapacity]],
    evacuated: Collection[DataCentreId],
) -> bool:
    """Return whether the ownership should move out of the evacuated data centre of this VM.

    Args:
        own: Capacity of this VM.
        own_data_centre: Data centre of this VM.
        others: Data centre and capacity of each other entry VM that is listed.
        evacuated: Data centres that are evacuated.
    """
    return own_data_centre in evacuated and any(
        data_centre not in evacuated and not own.stronger_than(capacity)
        for data_centre, capacity in others
    )


def earlier_claims(
    own: VmCapacity, own_revision: int, others: Iterable[tuple[int, VmCapacity]]
) -> int:
    """Return how many other VMs claim a vacant ownership before this one.

    Among equal VMs the younger process claims first. In a rolling restart, the ownership then goes
    to an entry VM that has been restarted already, and moves less often.

    Args:
        own: Capacity of this VM.
        own_revision: Revision at which this process has registered in the store; 0 if it has not
            yet, and is the youngest.
        others: Such a revision, and the capacity, of each other entry VM that is listed.
    """
    if not own_revision:
        return 0
    return sum(
        revision > own_revision and not own.stronger_than(capacity) for revision, capacity in others
    )


def claim_delay_s(earlier: int, *, weaker: bool) -> float:
    """Return how long to delay a claim of a vacant ownership, in seconds.

    Args:
        earlier: Number of VMs that claim earlier.
        weaker: Whether a stronger VM may claim.
    """
    delay_s = min(earlier * CLAIM_STEP_S, CLAIM_DELAY_S_MAX)
    return delay_s + (WEAKER_DELAY_S if weaker else 0.0)


class YieldPolicy:
    """Decides when an owner releases the ownership so that a stronger VM can claim it.

    The stronger VM must have been listed in two consecutive reads: one that has just started may
    be part of a rolling restart.

    Args:
        own: Capacity of this VM.
    """

    def __init__(self, own: VmCapacity) -> None:
        self._own = own
        self._listed_before: frozenset[EntryId] = frozenset()
        self._not_before_s = 0.0

    def begin_term(self) -> None:
        """Start to count reads anew for a new term."""
        self._listed_before = frozenset()

    def should_yield(self, peers: Mapping[EntryId, VmCapacity], now_s: float) -> bool:
        """Process a read of the other entry VMs; return whether to release the ownership.

        Args:
            peers: Capacity of each other entry VM that is listed.
            now_s: The monotonic time.
        """
        stronger = frozenset(
            entry_id for entry_id, each in peers.items() if each.stronger_than(self._own)
        )
        listed_twice = stronger & self._listed_before
        self._listed_before = stronger
        if not listed_twice or now_s < self._not_before_s:
            return False
        self._not_before_s = now_s + YIELD_PAUSE_S
        return True

    def should_leave(self, now_s: float) -> bool:
        """Return whether to release the ownership as this VM's data centre is evacuated.

        Args:
            now_s: The monotonic time.
        """
        if now_s < self._not_before_s:
            return False
        self._not_before_s = now_s + YIELD_PAUSE_S
        return True

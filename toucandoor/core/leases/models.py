"""Messages and records of the leases."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucandoor.core.leases.const import CLOCK_DRIFT_RATIO
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId


@dataclass(frozen=True, slots=True)
class EntrySlot:
    """One entry VM that takes part in majorities; the process at its address may change.

    Attributes:
        address: ``IP:port`` at which the entry VM's controller accepts peer links.
    """

    entry: EntryId
    data_centre: DataCentreId
    address: str = ""


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lease durations on which holders and granters must agree.

    Attributes:
        entry_lease_s: How long an entry may start keyed work without renewal by its peers.
        grace_s: How long it may do so without a confirmation by the store or by a majority of the
            fleet that its version is the newest.
    """

    entry_lease_s: float
    grace_s: float

    def granter_entry_lease_s(self) -> float:
        """Return how long a granter waits for an entry lease to expire; allows for clock drift."""
        return self.entry_lease_s * (1 + CLOCK_DRIFT_RATIO)

    def granter_grace_s(self) -> float:
        """Return how long others wait for the grace period to end; allows for clock drift."""
        return self.grace_s * (1 + CLOCK_DRIFT_RATIO)


class Poll(msgspec.Struct, frozen=True, array_like=True):
    """Poll from one node to another; asks for a lease and shows that the sender runs.

    Attributes:
        known: Highest version of which the sender has the whole content.
        in_force: Version below which no process at the sender may start keyed work.
        asks_grant: Whether the sender asks for renewal of its entry lease.
    """

    sender: EntryId
    incarnation: IncarnationId
    sequence: int
    known: ConfigVersion
    in_force: ConfigVersion
    asks_grant: bool = True


class PollAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a poll.

    Attributes:
        sequence: Sequence number of the poll.
        caught_up: Whether this incarnation has confirmed its version since it started; only then
            does it count towards a majority or grant leases.
        settled: Whether every grant made by earlier incarnations has expired.
        fresh_age_s: Time since the last moment at which no version above ``known`` could have
            been accepted; None if this was never confirmed.
        grant_s: Duration of the entry lease granted, which the polling node counts from before it
            sent the poll; 0 when refused.
        lower_grants: Entries that may hold a grant of this node made for a version below the
            poll's ``known``.
    """

    sender: EntryId
    incarnation: IncarnationId
    sequence: int
    known: ConfigVersion
    in_force: ConfigVersion
    caught_up: bool
    settled: bool
    fresh_age_s: float | None
    grant_s: float = 0.0
    lower_grants: tuple[EntryId, ...] = ()


def majority(count: int) -> int:
    """Return the smallest number that is a majority of ``count``."""
    return count // 2 + 1

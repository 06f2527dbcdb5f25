"""Messages and records of the leases domain."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from toucandoor.core.leases.const import CLOCK_DRIFT_RATIO
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId


@dataclass(frozen=True, slots=True)
class Slot:
    """Place of one entry VM in the system; the process at its address may change.

    Attributes:
        address: ``IP:port`` at which the entry VM's controller takes peer links.
    """

    entry: EntryId
    data_centre: DataCentreId
    address: str = ""


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations that holders and granters of leases agree on.

    Attributes:
        entry_lease_s: How long an entry serves keyed work without its peers.
        grace_s: How long it does so without word from the store or from a majority of the fleet.
    """

    entry_lease_s: float
    grace_s: float

    def granter_entry_lease_s(self) -> float:
        """Return the entry lease as a granter counts it, longer by the clocks' drift."""
        return self.entry_lease_s * (1 + CLOCK_DRIFT_RATIO)

    def granter_grace_s(self) -> float:
        """Return the grace as whoever waits for its end counts it."""
        return self.grace_s * (1 + CLOCK_DRIFT_RATIO)


class Poll(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat from one node to another.

    Attributes:
        known: Highest version of which the sender has the whole content.
        in_force: Version below which nothing at the sender may start keyed work.
        asks_grant: Whether the sender wants its entry lease renewed.
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
        settled: Whether every grant of earlier incarnations has run out.
        fresh_age_s: Time since no version above ``known`` could have been accepted, None when
            this was never confirmed.
        grant_s: Entry lease granted, counted by the asker from before it sent; 0 when refused.
        lower_grants: Entries that hold a grant of this node made below the poll's ``known``.
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
    """Return how many of a count make a majority."""
    return count // 2 + 1

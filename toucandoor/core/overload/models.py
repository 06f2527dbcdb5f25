"""Report of the schedule's owner on its overloaded pools."""

from __future__ import annotations

from enum import Enum

import msgspec

from toucandoor.ids import PoolId, TeamId


class RateStatus(Enum):
    """Whether a job is within the rate to which its team is entitled."""

    WITHIN = "within"
    BEYOND = "beyond"


class PoolReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Load of one pool.

    Attributes:
        pool: Name of the pool.
        wait_within_s: Time until work of a team within its rate starts, if it is accepted now.
        wait_beyond_s: The same for work beyond a team's rate.
        drain_cores: Cores that become free in a second, for the work that waits.
    """

    pool: PoolId
    wait_within_s: float = 0.0
    wait_beyond_s: float = 0.0
    drain_cores: float = 0.0


class LoadReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Overloaded pools, and the teams that are beyond their rate.

    Attributes:
        token: Fencing token of the owner that wrote it.
        sequence: Grows with each report of that owner, from 1.
        written_unix_ms: When it was written, by the owner's wall clock.
        pools: Overloaded pools; none once all have recovered.
        beyond: Teams that hand in more than the rate to which they are entitled.
        ceiling_wait_s: For each team whose own ceiling delays its work, the time until work that is
            accepted now would start.
    """

    token: int
    sequence: int
    written_unix_ms: int
    pools: tuple[PoolReport, ...] = ()
    beyond: tuple[TeamId, ...] = ()
    ceiling_wait_s: dict[TeamId, float] = {}

"""Settings of a scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.ownership.lease import OWNER_TTL_S
from toucandoor.core.records import DEFAULT_VALUE_BYTES_MAX
from toucandoor.core.scheduling import const

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import FencingToken


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of a scheduler for one term of ownership.

    Attributes:
        owner_key: Key of the ownership record, whose revision every write expects.
        owner_revision: Revision of that record.
        token: Fencing token of this owner.
        lease_s: Length of a backend server's lease, counted from each renewal.
        status_retention_s: Time for which callers may ask for the state of a finished job.
        handed_over_leases_s: Longest time, in seconds, until the leases of a boot have expired, as
            handed over by the former owner; boots that it did not name are missing.
        value_bytes_max: Largest value of the store.
    """

    owner_key: str
    owner_revision: int
    token: FencingToken
    lease_s: float
    status_retention_s: float = 120.0
    handed_over_leases_s: Mapping[Boot, float] = field(default_factory=dict)
    value_bytes_max: int = DEFAULT_VALUE_BYTES_MAX

    @property
    def former_lease_s(self) -> float:
        """Longest time for which leases from a former owner may still be valid.

        The former owner may have renewed them until its ownership ended, possibly just now.
        """
        slowest_lease_s = self.lease_s * (1 + const.WORKER_CLOCK_DRIFT_RATIO)
        return OWNER_TTL_S + slowest_lease_s + const.LEASE_EXPIRY_MARGIN_S

"""Policies compared by the measurements of admission."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from toucandoor.core.admission.fair import FairQueue, FairSettings
from toucandoor.core.admission.lending import LendToAll, LendToUrgent, NoLending
from toucandoor.core.admission.policy import FirstComeFirstServed
from toucandoor.core.admission.reserve import FixedReserve, LentReserve, NoReserve
from toucandoor.core.configuration.const import (
    DEFAULT_URGENT_RESERVE_RATIO,
    DEFAULT_URGENT_START_TARGET_S,
    DEFAULT_WAITING_MAX,
)
from toucandoor.measures._demand import jobs
from toucandoor.measures._virtual import Outcome, Setup, VirtualFleet

if TYPE_CHECKING:
    from toucandoor.core.admission.lending import LendingPolicy
    from toucandoor.core.admission.reserve import ReservePolicy
    from toucandoor.core.shares.ledger import ShareLedger
    from toucandoor.measures._demand import Shape

LOAD_RATIO: Final = 0.4
"""Mean demand: at five times it a queue asks for twice what its pool holds."""

ROUNDS: Final = 3
"""Turns of high demand that each queue takes."""

SETTLE_S: Final = 420.0
"""Time after the last arrival, enough for every deadline to pass."""

BASELINE: Final = Setup(
    lambda shares: FirstComeFirstServed(DEFAULT_WAITING_MAX), NoReserve, NoLending()
)


def _fair(
    reserve: ReservePolicy, lending: LendingPolicy, settings: FairSettings | None = None
) -> Setup:
    def queue(shares: ShareLedger) -> FairQueue:
        return FairQueue(DEFAULT_WAITING_MAX, shares, settings)

    return Setup(queue, lambda: reserve, lending)


PRODUCT: Final = _fair(LentReserve(DEFAULT_URGENT_RESERVE_RATIO), LendToUrgent())

RESERVES: Final = {
    "none": _fair(NoReserve(), NoLending()),
    "fixed_12": _fair(FixedReserve(0.125), NoLending()),
    "fixed_25": _fair(FixedReserve(0.25), NoLending()),
    "fixed_50": _fair(FixedReserve(0.5), NoLending()),
    "lent_12": _fair(LentReserve(0.125), NoLending()),
    "lent_25": _fair(LentReserve(0.25), NoLending()),
    "lent_50": _fair(LentReserve(0.5), NoLending()),
    "spare_urgent": _fair(NoReserve(), LendToUrgent()),
    "fixed_25_spare_urgent": _fair(FixedReserve(0.25), LendToUrgent()),
    "lent_12_spare_urgent": _fair(LentReserve(0.125), LendToUrgent()),
    "lent_25_spare_urgent": _fair(LentReserve(0.25), LendToUrgent()),
    "lent_25_spare_all": _fair(LentReserve(0.25), LendToAll()),
}
"""Reserve policies by name: the number is the reserve in percent of the slots."""


def with_entries(setup: Setup, entries: int, *, heartbeats: bool) -> Setup:
    """Return the setup for several entries that share the workers."""
    return replace(setup, entries=entries, heartbeats=heartbeats)


def run_turns(shape: Shape, setup: Setup, seed: int) -> Outcome:
    """Run demand that takes turns to its end."""
    duration_s = ROUNDS * shape.pools * shape.turn_s
    drawn = jobs(shape, seed, duration_s, LOAD_RATIO, turns=True)
    return VirtualFleet(shape, setup, drawn, seed).run(duration_s + SETTLE_S)


def urgent_waits_s(outcome: Outcome) -> list[float]:
    """Return how long each urgent request waited; infinite when it never started."""
    return sorted(
        job.first_start_s - job.request.arrived_s if job.first_start_s is not None else math.inf
        for job in outcome.jobs
        if job.urgent and not job.cancelled
    )


def percentile(sorted_values: list[float], ratio: float) -> float:
    """Return the value that the given part of the sorted values does not exceed."""
    return sorted_values[min(len(sorted_values) - 1, math.ceil(ratio * len(sorted_values)) - 1)]


def within_ratio(sorted_values: list[float], limit: float) -> float:
    """Return the part of the values within a limit."""
    return round(sum(value <= limit for value in sorted_values) / len(sorted_values), 4)


def finite(value: float) -> float | None:
    """Return a figure rounded for the result; None where it was not reached."""
    return round(value, 3) if math.isfinite(value) else None


def within_target(urgent_start_s: float | int | str | None) -> bool:
    """Return whether a figure of the result keeps the target of urgent starts."""
    return urgent_start_s is not None and float(urgent_start_s) <= DEFAULT_URGENT_START_TARGET_S

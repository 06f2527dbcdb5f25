"""Policies that the measurements of admission compare, and figures of their results."""

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
from toucandoor.measures._demand import draw_requests
from toucandoor.measures._virtual import Setup, SimulationResult, VirtualFleet

if TYPE_CHECKING:
    from toucandoor.core.admission.lending import LendingPolicy
    from toucandoor.core.admission.reserve import ReservePolicy
    from toucandoor.core.shares.ledger import ShareLedger
    from toucandoor.measures._demand import Shape

LOAD_RATIO: Final = 0.4
"""Mean demand as a part of the slots; in its peak a queue demands twice its pool's slots."""

PEAKS_PER_QUEUE: Final = 3
"""Peaks of demand that each queue has in a simulation."""

DRAIN_TIME_S: Final = 420.0
"""Simulated time after the last arrival; every deadline passes within it."""

BASELINE: Final = Setup(
    lambda shares: FirstComeFirstServed(DEFAULT_WAITING_MAX), NoReserve, NoLending()
)


def _fair_queue_setup(
    reserve: ReservePolicy, lending: LendingPolicy, settings: FairSettings | None = None
) -> Setup:
    def queue(shares: ShareLedger) -> FairQueue:
        return FairQueue(DEFAULT_WAITING_MAX, shares, settings)

    return Setup(queue, lambda: reserve, lending)


PRODUCT: Final = _fair_queue_setup(LentReserve(DEFAULT_URGENT_RESERVE_RATIO), LendToUrgent())

RESERVE_SETUPS: Final = {
    "none": _fair_queue_setup(NoReserve(), NoLending()),
    "fixed_12": _fair_queue_setup(FixedReserve(0.125), NoLending()),
    "fixed_25": _fair_queue_setup(FixedReserve(0.25), NoLending()),
    "fixed_50": _fair_queue_setup(FixedReserve(0.5), NoLending()),
    "lent_12": _fair_queue_setup(LentReserve(0.125), NoLending()),
    "lent_25": _fair_queue_setup(LentReserve(0.25), NoLending()),
    "lent_50": _fair_queue_setup(LentReserve(0.5), NoLending()),
    "spare_urgent": _fair_queue_setup(NoReserve(), LendToUrgent()),
    "fixed_25_spare_urgent": _fair_queue_setup(FixedReserve(0.25), LendToUrgent()),
    "lent_12_spare_urgent": _fair_queue_setup(LentReserve(0.125), LendToUrgent()),
    "lent_25_spare_urgent": _fair_queue_setup(LentReserve(0.25), LendToUrgent()),
    "lent_25_spare_all": _fair_queue_setup(LentReserve(0.25), LendToAll()),
}
"""Reserve policies by name; the number in a name is the reserve in percent of the slots."""


def with_entries(setup: Setup, entries: int, *, exchange_service: bool) -> Setup:
    """Return the setup with several entries that share the backend servers."""
    return replace(setup, entries=entries, exchange_service=exchange_service)


def run_rotating_peaks(shape: Shape, setup: Setup, seed: int) -> SimulationResult:
    """Simulate demand that peaks in one queue after another, until all requests have ended."""
    duration_s = PEAKS_PER_QUEUE * shape.pools * shape.peak_s
    drawn = draw_requests(shape, seed, duration_s, LOAD_RATIO, rotating_peaks=True)
    return VirtualFleet(shape, setup, drawn, seed).run(duration_s + DRAIN_TIME_S)


def urgent_waits_s(result: SimulationResult) -> list[float]:
    """Return the waiting times of urgent requests, sorted; infinite where one never started."""
    return sorted(
        (
            simulated.first_start_s - simulated.request.arrived_s
            if simulated.first_start_s is not None
            else math.inf
        )
        for simulated in result.jobs
        if simulated.urgent and not simulated.cancelled
    )


def percentile(sorted_values: list[float], ratio: float) -> float:
    """Return the value that the given part of the sorted values does not exceed."""
    return sorted_values[min(len(sorted_values) - 1, math.ceil(ratio * len(sorted_values)) - 1)]


def ratio_within(sorted_values: list[float], limit: float) -> float:
    """Return the part of the values that do not exceed a limit."""
    return round(sum(value <= limit for value in sorted_values) / len(sorted_values), 4)


def rounded_if_finite(value: float) -> float | None:
    """Return a figure rounded for the result; None if it is infinite."""
    return round(value, 3) if math.isfinite(value) else None


def meets_target(urgent_start_s: float | int | str | None) -> bool:
    """Return whether a figure of the result is within the target for urgent starts."""
    return urgent_start_s is not None and float(urgent_start_s) <= DEFAULT_URGENT_START_TARGET_S

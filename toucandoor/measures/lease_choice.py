"""Keyed work lost and time until a change is accepted, with the product's and simpler leases."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final

from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.configuration.const import DEFAULT_CUT_OFF_GRACE_S, DEFAULT_ENTRY_LEASE_S
from toucandoor.core.leases.models import LeaseTimes
from toucandoor.core.leases.node import LeaseNode
from toucandoor.measures._fleet_drive import FleetDriver
from toucandoor.measures._fleet_model import FleetModel
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.ids import EntryId

LAYOUTS: Final = {
    "whistleline": {"a": 2, "b": 3, "c": 3},
    "oberland": {"a": 2, "b": 2, "c": 2, "d": 2},
    "target": dict.fromkeys("abcdef", 8),
}
FAULT_S: Final = 300.0
ACCEPTED_MAX_S: Final = 12.0
LONG_GRACE: Final = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)
SHORT_GRACE: Final = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_ENTRY_LEASE_S)


class _GraceOnlyAcceptance(Acceptance):
    """Uses no entry leases: waits until the grace period ends for entries that do not answer."""

    def _cannot_renew(self, entry: EntryId) -> bool:
        return False


class _FreshnessOnlyNode(LeaseNode):
    """Needs the freshness lease only; its entry lease never expires."""

    def entry_lease_until_s(self) -> float:
        return math.inf


class _DataCentreOnlyNode(LeaseNode):
    """Gets its entry lease from a majority of its data centre only, never of the fleet."""

    def entry_lease_until_s(self) -> float:
        own_slot = self._slots.get(self.entry)
        if own_slot is None:
            return -math.inf
        grant_until_s = {**self._grant_until_s, self.entry: math.inf}
        return self._majority_until_s(grant_until_s, self._entries_in(own_slot.data_centre))


def run(seed: int) -> MeasureResult:
    """Inject the same faults with four designs of leases at three fleet sizes."""
    product: Figures = {}
    baseline: Figures = {}
    for name, layout in LAYOUTS.items():
        product |= _figures(name, layout, seed, LONG_GRACE, Acceptance, LeaseNode)
        baseline |= _figures(
            f"flat_long_{name}", layout, seed, LONG_GRACE, _GraceOnlyAcceptance, _FreshnessOnlyNode
        )
        baseline |= _figures(
            f"flat_short_{name}",
            layout,
            seed,
            SHORT_GRACE,
            _GraceOnlyAcceptance,
            _FreshnessOnlyNode,
        )
        baseline |= _figures(
            f"near_only_{name}", layout, seed, LONG_GRACE, Acceptance, _DataCentreOnlyNode
        )
    worst_s = [product[f"{name}_crash_accepted_s"] for name in LAYOUTS]
    return MeasureResult(
        measure="lease_choice",
        seed=seed,
        parameters={
            "fault_s": FAULT_S,
            "entry_lease_s": LONG_GRACE.entry_lease_s,
            "cut_off_grace_s": LONG_GRACE.grace_s,
        },
        product=product,
        baseline=baseline,
        bound={"crash_accepted_max_s": ACCEPTED_MAX_S},
        holds=all(isinstance(s, float) and s <= ACCEPTED_MAX_S for s in worst_s),
    )


def _figures(
    name: str,
    layout: dict[str, int],
    seed: int,
    times: LeaseTimes,
    acceptance: Callable[..., Acceptance],
    make_node: Callable[..., LeaseNode],
) -> Figures:
    def new_driver() -> FleetDriver:
        model = FleetModel(layout, times, acceptance=acceptance, make_node=make_node)
        driver = FleetDriver(model, random.Random(seed))
        driver.run(20.0)
        return driver

    return {
        f"{name}_crash_accepted_s": _crash_accepted_s(new_driver()),
        f"{name}_cut_lost_ratio": _partition_lost_ratio(new_driver()),
        f"{name}_outage_and_crash_lost_ratio": _outage_and_crash_lost_ratio(new_driver()),
    }


def _crash_accepted_s(driver: FleetDriver) -> float | None:
    """Return the time until a change is accepted that is written right after an entry crashed.

    It is None if the change is not accepted within ``FAULT_S``.
    """
    driver.crash(next(iter(driver.fleet.nodes)), None)
    driver.write_change()
    until_s = driver.fleet.now_s + FAULT_S
    while driver.changes[0].accepted_s is None and driver.fleet.now_s < until_s:
        driver.step()
    accepted_s = driver.changes[0].accepted_s
    return None if accepted_s is None else round(accepted_s - driver.changes[0].written_s, 2)


def _partition_lost_ratio(driver: FleetDriver) -> float:
    """Return the fraction of keyed time that data centre ``a`` loses while it is partitioned."""
    driver.isolate("a")
    inside = sum(1 for m in driver.fleet.nodes.values() if m.slot.data_centre == "a")
    return _lost_ratio(driver, inside, 0)


def _outage_and_crash_lost_ratio(driver: FleetDriver) -> float:
    """Return the fraction of keyed time lost after a crash while the store is unavailable."""
    driver.fleet.store_up = False
    driver.crash(next(iter(driver.fleet.nodes)), None)
    return _lost_ratio(driver, len(driver.fleet.nodes) - 1, 1)


def _lost_ratio(driver: FleetDriver, affected: int, crashed: int) -> float:
    """Run for ``FAULT_S`` and return the lost fraction of keyed time.

    Args:
        affected: Number of entries whose keyed time the fraction refers to.
        crashed: Number of entries that do not run and do not count as lost time.
    """
    before_s = driver.keyed_time_s
    driver.run(FAULT_S)
    possible_s = FAULT_S * (len(driver.fleet.nodes) - crashed)
    lost_s = possible_s - (driver.keyed_time_s - before_s)
    return round(max(0.0, lost_s) / (affected * FAULT_S), 3)

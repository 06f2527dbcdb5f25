"""Seconds until a change is in force everywhere and is reported as accepted, under faults."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from toucandoor.core.configuration.const import DEFAULT_CUT_OFF_GRACE_S, DEFAULT_ENTRY_LEASE_S
from toucandoor.core.leases.models import LeaseTimes
from toucandoor.measures._fleet_drive import FleetDriver
from toucandoor.measures._fleet_model import FleetModel
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.measures._fleet_drive import Change

IN_FORCE_MAX_S: Final = 12.0
CHANGE_INTERVAL_S: Final = 36.0
RESTART_INTERVAL_S: Final = 308.0  # 280 restarts a day
CHANGES: Final = 80
LAYOUTS: Final = {
    "whistleline": {"a": 3, "b": 3, "c": 2},
    "oberland": {"a": 2, "b": 2, "c": 2, "d": 2},
}
LEASE_TIMES: Final = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)


def run(seed: int) -> MeasureResult:
    """Run both users' fleets with 80 changes, restarts, crashes and a partition of 5 minutes."""
    product: Figures = {}
    baseline: Figures = {}
    holds = True
    for name, layout in LAYOUTS.items():
        figures = _run(layout, seed, accept_on_write=False)
        product |= {f"{name}_{key}": value for key, value in figures.items()}
        baseline_figures = _run(layout, seed, accept_on_write=True)
        baseline |= {f"{name}_{key}": value for key, value in baseline_figures.items()}
        worst_s = figures["accepted_worst_s"]
        holds = holds and figures["false_accepted_steps"] == 0
        holds = holds and isinstance(worst_s, float) and worst_s <= IN_FORCE_MAX_S
    return MeasureResult(
        measure="config_in_force",
        seed=seed,
        parameters={
            "changes": CHANGES,
            "restarts": round(CHANGES * CHANGE_INTERVAL_S / RESTART_INTERVAL_S),
            "crashes": 3,
            "cuts": 1,
            "cut_s": 300,
            "entry_lease_s": LEASE_TIMES.entry_lease_s,
            "cut_off_grace_s": LEASE_TIMES.grace_s,
        },
        product=product,
        baseline=baseline,
        bound={"accepted_worst_max_s": IN_FORCE_MAX_S, "false_accepted_steps_max": 0},
        holds=holds,
    )


def _run(layout: dict[str, int], seed: int, *, accept_on_write: bool) -> Figures:
    rng = random.Random(seed)
    driver = FleetDriver(FleetModel(layout, LEASE_TIMES, accept_on_write=accept_on_write), rng)
    driver.run(30.0)
    names = list(driver.fleet.nodes)
    next_restart_s = driver.fleet.now_s + RESTART_INTERVAL_S * rng.random()
    for number in range(CHANGES):
        driver.write_change()
        if number in (10, 20, 30):
            driver.crash(rng.choice(names), 40.0)
        if number == 50:
            driver.isolate("a")
        until_s = driver.fleet.now_s + CHANGE_INTERVAL_S
        while driver.fleet.now_s < until_s:
            if driver.fleet.now_s >= next_restart_s:
                driver.restart(rng.choice(names))
                next_restart_s += RESTART_INTERVAL_S
            driver.step()
        if number == 58:
            driver.end_partitions()
    driver.run(DEFAULT_CUT_OFF_GRACE_S + 10)
    return _figures(driver)


def _figures(driver: FleetDriver) -> Figures:
    without_partition = [change for change in driver.changes if not change.during_partition]
    with_partition = [change for change in driver.changes if change.during_partition]
    return {
        "changes": len(driver.changes),
        "in_force_worst_s": _longest_s(without_partition, "in_force_s"),
        "accepted_worst_s": _longest_s(without_partition, "accepted_s"),
        "in_force_worst_with_cut_s": _longest_s(with_partition, "in_force_s"),
        "accepted_worst_with_cut_s": _longest_s(with_partition, "accepted_s"),
        "false_accepted_steps": driver.false_accepted_steps,
    }


def _longest_s(changes: list[Change], name: str) -> float | None:
    times_s = [getattr(change, name) for change in changes]
    if None in times_s:
        return None
    durations_s = (at_s - change.written_s for at_s, change in zip(times_s, changes, strict=True))
    return round(max(durations_s, default=0.0), 2)

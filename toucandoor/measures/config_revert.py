"""Reverts of accepted versions under restarts, outages, lost answers and partitions."""

from __future__ import annotations

import random
from typing import Final

from toucandoor.core.leases.models import LeaseTimes
from toucandoor.measures._fleet_drive import FleetDriver
from toucandoor.measures._fleet_model import FleetModel
from toucandoor.measures.result import Figures, MeasureResult

LEASE_TIMES: Final = LeaseTimes(entry_lease_s=6.0, grace_s=60.0)
LAYOUT: Final = {"a": 3, "b": 3, "c": 2}
ROUNDS: Final = 300


def run(seed: int) -> MeasureResult:
    """Run rounds of one change and up to three faults, for the product and the baseline."""
    product = _run(seed, accept_on_write=False)
    return MeasureResult(
        measure="config_revert",
        seed=seed,
        parameters={"rounds": ROUNDS, **{f"{k}": v for k, v in LAYOUT.items()}},
        product=product,
        baseline=_run(seed, accept_on_write=True),
        bound={"reverts_max": 0},
        holds=product["reverts"] == 0,
    )


def _run(seed: int, *, accept_on_write: bool) -> Figures:
    rng = random.Random(seed)
    driver = FleetDriver(FleetModel(LAYOUT, LEASE_TIMES, accept_on_write=accept_on_write), rng)
    driver.run(20.0)
    faults = 0
    for _ in range(ROUNDS):
        for _ in range(rng.randint(0, 3)):
            _inject_fault(driver, rng)
            faults += 1
        if driver.fleet.store_up:
            _write_change(driver, rng)
        driver.run(rng.choice([0.5, 2.0, 8.0, 20.0]))
        if rng.random() < 0.5:
            driver.end_partitions()
            driver.fleet.store_up = True
            for node in driver.fleet.nodes.values():
                node.paused = False
    return {
        "reverts": driver.false_accepted_steps,
        "changes": driver.fleet.head_version - 1,
        "accepted_version": driver.fleet.accepted_version,
        "faults": faults,
    }


def _write_change(driver: FleetDriver, rng: random.Random) -> None:
    fleet = driver.fleet
    writers = [e for e, m in fleet.nodes.items() if fleet.can_reach_store(e) and m.node.in_force]
    if writers:
        writer = rng.choice(writers)
        fleet.read_store(writer)
        fleet.write(writer, answer_lost=rng.random() < 0.2)
        fleet.read_store(writer)
        fleet.track(writer, fleet.head_version)


def _inject_fault(driver: FleetDriver, rng: random.Random) -> None:
    fleet = driver.fleet
    entry = rng.choice(list(fleet.nodes))
    kind = rng.choice(["outage", "restart", "crash", "partition", "pause", "one_way"])
    match kind:
        case "outage":
            fleet.store_up = False
        case "restart":
            driver.restart(entry)
        case "crash":
            driver.crash(entry, rng.choice([1.0, 5.0, 30.0]))
        case "partition":
            driver.isolate(rng.choice(list(LAYOUT)))
        case "pause":
            fleet.nodes[entry].paused = True
        case "one_way":
            fleet.partitions |= {(entry, other) for other in fleet.nodes if other != entry}

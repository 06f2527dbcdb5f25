"""Accepted configurations undone by restarts, outages, lost answers and cuts, which must be 0."""

from __future__ import annotations

import random
from typing import Final

from toucandoor.core.leases.models import LeaseTimes
from toucandoor.measures._fleet_drive import FleetDrive
from toucandoor.measures._fleet_model import FleetModel
from toucandoor.measures.result import Figures, MeasureResult

TIMES: Final = LeaseTimes(entry_lease_s=6.0, grace_s=60.0)
LAYOUT: Final = {"a": 3, "b": 3, "c": 2}
ROUNDS: Final = 300


def run(seed: int) -> MeasureResult:
    """Run rounds of one change and up to three faults at once, for product and baseline."""
    product = _run(seed, early=False)
    return MeasureResult(
        measure="config_revert",
        seed=seed,
        parameters={"rounds": ROUNDS, **{f"{k}": v for k, v in LAYOUT.items()}},
        product=product,
        baseline=_run(seed, early=True),
        bound={"reverts_max": 0},
        holds=product["reverts"] == 0,
    )


def _run(seed: int, *, early: bool) -> Figures:
    rng = random.Random(seed)
    drive = FleetDrive(FleetModel(LAYOUT, TIMES, early=early), rng)
    drive.run(20.0)
    faults = 0
    for _ in range(ROUNDS):
        for _ in range(rng.randint(0, 3)):
            _fault(drive, rng)
            faults += 1
        if drive.fleet.store_up:
            _change(drive, rng)
        drive.run(rng.choice([0.5, 2.0, 8.0, 20.0]))
        if rng.random() < 0.5:
            drive.mend()
            drive.fleet.store_up = True
            for node in drive.fleet.nodes.values():
                node.paused = False
    return {
        "reverts": drive.below_accepted,
        "changes": drive.fleet.head - 1,
        "accepted_version": drive.fleet.accepted,
        "faults": faults,
    }


def _change(drive: FleetDrive, rng: random.Random) -> None:
    fleet = drive.fleet
    able = [e for e, m in fleet.nodes.items() if fleet.sees_store(e) and m.node.in_force]
    if able:
        writer = rng.choice(able)
        fleet.read_store(writer)
        fleet.write(writer, answer_lost=rng.random() < 0.2)
        fleet.read_store(writer)
        fleet.follow(writer, fleet.head)


def _fault(drive: FleetDrive, rng: random.Random) -> None:
    fleet = drive.fleet
    entry = rng.choice(list(fleet.nodes))
    kind = rng.choice(["outage", "restart", "crash", "cut", "pause", "one_way"])
    match kind:
        case "outage":
            fleet.store_up = False
        case "restart":
            drive.restart(entry)
        case "crash":
            drive.crash(entry, rng.choice([1.0, 5.0, 30.0]))
        case "cut":
            drive.cut_off(rng.choice(list(LAYOUT)))
        case "pause":
            fleet.nodes[entry].paused = True
        case "one_way":
            fleet.cuts |= {(entry, other) for other in fleet.nodes if other != entry}

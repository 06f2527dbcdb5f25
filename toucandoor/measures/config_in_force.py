"""Seconds until a change is in force everywhere and is answered as accepted, under faults."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from toucandoor.core.configuration.const import DEFAULT_CUT_OFF_GRACE_S, DEFAULT_ENTRY_LEASE_S
from toucandoor.core.leases.models import LeaseTimes
from toucandoor.measures._fleet_drive import FleetDrive
from toucandoor.measures._fleet_model import FleetModel
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.measures._fleet_drive import Change

IN_FORCE_MAX_S: Final = 12.0
CHANGE_EVERY_S: Final = 36.0
RESTART_EVERY_S: Final = 308.0
CHANGES: Final = 80
LAYOUTS: Final = {
    "whistleline": {"a": 3, "b": 3, "c": 2},
    "oberland": {"a": 2, "b": 2, "c": 2, "d": 2},
}
TIMES: Final = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)


def run(seed: int) -> MeasureResult:
    """Run both users' fleets for 80 changes, 280 restarts a day, crashes and a cut of 5 minutes."""
    product: Figures = {}
    baseline: Figures = {}
    holds = True
    for name, layout in LAYOUTS.items():
        figures = _run(layout, seed, early=False)
        product |= {f"{name}_{key}": value for key, value in figures.items()}
        early = _run(layout, seed, early=True)
        baseline |= {f"{name}_{key}": value for key, value in early.items()}
        worst_s = figures["accepted_worst_s"]
        holds = holds and figures["false_accepted_steps"] == 0
        holds = holds and isinstance(worst_s, float) and worst_s <= IN_FORCE_MAX_S
    return MeasureResult(
        measure="config_in_force",
        seed=seed,
        parameters={
            "changes": CHANGES,
            "restarts": round(CHANGES * CHANGE_EVERY_S / RESTART_EVERY_S),
            "crashes": 3,
            "cuts": 1,
            "cut_s": 300,
            "entry_lease_s": TIMES.entry_lease_s,
            "cut_off_grace_s": TIMES.grace_s,
        },
        product=product,
        baseline=baseline,
        bound={"accepted_worst_max_s": IN_FORCE_MAX_S, "false_accepted_steps_max": 0},
        holds=holds,
    )


def _run(layout: dict[str, int], seed: int, *, early: bool) -> Figures:
    rng = random.Random(seed)
    drive = FleetDrive(FleetModel(layout, TIMES, early=early), rng)
    drive.run(30.0)
    names = list(drive.fleet.nodes)
    next_restart_s = drive.fleet.now_s + RESTART_EVERY_S * rng.random()
    for number in range(CHANGES):
        drive.change()
        if number in (10, 20, 30):
            drive.crash(rng.choice(names), 40.0)
        if number == 50:
            drive.cut_off("a")
        until_s = drive.fleet.now_s + CHANGE_EVERY_S
        while drive.fleet.now_s < until_s:
            if drive.fleet.now_s >= next_restart_s:
                drive.restart(rng.choice(names))
                next_restart_s += RESTART_EVERY_S
            drive.step()
        if number == 58:
            drive.mend()
    drive.run(DEFAULT_CUT_OFF_GRACE_S + 10)
    return _figures(drive)


def _figures(drive: FleetDrive) -> Figures:
    whole = [change for change in drive.changes if not change.cut]
    cut = [change for change in drive.changes if change.cut]
    return {
        "changes": len(drive.changes),
        "in_force_worst_s": _worst(whole, "in_force_s"),
        "accepted_worst_s": _worst(whole, "accepted_s"),
        "in_force_worst_with_cut_s": _worst(cut, "in_force_s"),
        "accepted_worst_with_cut_s": _worst(cut, "accepted_s"),
        "false_accepted_steps": drive.below_accepted,
    }


def _worst(changes: list[Change], name: str) -> float | None:
    taken_s = [getattr(change, name) for change in changes]
    if None in taken_s:
        return None
    spans_s = (at_s - change.written_s for at_s, change in zip(taken_s, changes, strict=True))
    return round(max(spans_s, default=0.0), 2)

"""Breaches of availability budgets by planned stops, in every fault alone and all together."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING

from toucandoor.core.maintenance.wave import WavePlanner
from toucandoor.fakes.fleets import OBERLAND, WHISTLELINE
from toucandoor.measures._fleet_models import RunFigures, RunSettings
from toucandoor.measures._fleet_run import FleetRun
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.ids import PoolId

_END_S = 5_400.0
CASES: dict[str, RunSettings] = {
    "calm": RunSettings(),
    "outages": RunSettings(outages_s=((100, 400), (600, 660))),
    "lost_answers": RunSettings(lost_ratio=0.1),
    "freezes": RunSettings(freeze_ratio=0.02),
    "kills": RunSettings(kill_ratio=0.005),
    "rack_lost": RunSettings(rack_lost_s=300),
    "bad_vms": RunSettings(bad_ratio=0.1),
    "bad_signals": RunSettings(bad_signals_s=(200, 400)),
    "restarts": RunSettings(fails_a_day=200, restarts_a_day=3_000),
    "outage_and_freezes": RunSettings(outages_s=((100, 400),), freeze_ratio=0.02),
    "lost_answers_and_kills": RunSettings(lost_ratio=0.1, kill_ratio=0.005),
    "all": RunSettings(
        outages_s=((200, 500), (900, 960)),
        lost_ratio=0.1,
        freeze_ratio=0.02,
        kill_ratio=0.002,
        rack_lost_s=700,
        bad_ratio=0.05,
        fails_a_day=50,
        restarts_a_day=400,
    ),
}
KEPT = (
    "budget_breaches",
    "over_held",
    "starts_while_away",
    "starts_while_signals_bad",
    "tasks_cut",
    "double_reboots",
    "unplaced_stops",
)


class CheckThenAct(WavePlanner):
    """The baseline: reads how many are out and goes ahead, without taking a place first."""

    def _free_places_here(self, pool: PoolId) -> int:
        return 1


def breaches(figures: RunFigures) -> int:
    """Return the sum of all broken promises of a run."""
    found = asdict(figures)
    return sum(int(found[name]) for name in KEPT)


def run(seed: int) -> MeasureResult:
    """Run every case with places taken first, and with check-then-act on unguarded VMs."""
    product: Figures = {}
    baseline: Figures = {}
    totals = {"planned_starts": 0, "faults": 0}
    for size in (WHISTLELINE, OBERLAND):
        for name, case in CASES.items():
            settings = replace(case, end_s=_END_S)
            label = f"{size.name}_{name}"
            good = FleetRun(size, settings, f"{seed}/{label}").run()
            naive = FleetRun(
                size, settings, f"{seed}/{label}", wave_planner=CheckThenAct, guarded=False
            ).run()
            product[f"{label}_breaches"] = breaches(good)
            product[f"{label}_maintained"] = good.maintained
            product[f"{label}_stuck"] = good.stuck
            baseline[f"{label}_breaches"] = breaches(naive)
            totals["planned_starts"] += good.planned_starts
            totals["faults"] += good.faults
    found = sum(int(v or 0) for name, v in product.items() if name.endswith("_breaches"))
    found_baseline = sum(int(v or 0) for name, v in baseline.items() if name.endswith("_breaches"))
    return MeasureResult(
        measure="budget_breach",
        seed=seed,
        parameters={"cases": len(CASES), "end_s": _END_S, **totals},
        product={"breaches": found, **product},
        baseline={"breaches": found_baseline, **baseline},
        bound={"breaches": 0, "baseline_breaches_min": 1},
        holds=found == 0 and found_baseline > 0,
    )

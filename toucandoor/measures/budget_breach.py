"""Breaches of availability budgets by planned stops, under single and combined faults."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING

from toucandoor.core.maintenance.wave import WavePlanner
from toucandoor.fakes.fleets import OBERLAND, WHISTLELINE
from toucandoor.measures._fleet_models import RunFigures, RunSettings
from toucandoor.measures._fleet_run import FleetSimulation
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.ids import PoolId

_END_S = 5_400.0
CASES: dict[str, RunSettings] = {
    "calm": RunSettings(),
    "outages": RunSettings(store_outages_s=((100, 400), (600, 660))),
    "lost_answers": RunSettings(lost_answer_ratio=0.1),
    "freezes": RunSettings(freeze_ratio=0.02),
    "kills": RunSettings(kill_ratio=0.005),
    "rack_lost": RunSettings(rack_lost_s=300),
    "bad_vms": RunSettings(faulty_vm_ratio=0.1),
    "bad_signals": RunSettings(bad_signals_s=(200, 400)),
    "restarts": RunSettings(failures_per_day=200, restarts_per_day=3_000),
    "outage_and_freezes": RunSettings(store_outages_s=((100, 400),), freeze_ratio=0.02),
    "lost_answers_and_kills": RunSettings(lost_answer_ratio=0.1, kill_ratio=0.005),
    "all": RunSettings(
        store_outages_s=((200, 500), (900, 960)),
        lost_answer_ratio=0.1,
        freeze_ratio=0.02,
        kill_ratio=0.002,
        rack_lost_s=700,
        faulty_vm_ratio=0.05,
        failures_per_day=50,
        restarts_per_day=400,
    ),
}
GUARANTEE_FIGURES = (
    "budget_breaches",
    "over_held",
    "starts_while_away",
    "starts_while_signals_bad",
    "tasks_cut",
    "double_reboots",
    "unplaced_stops",
)


class CheckThenAct(WavePlanner):
    """Baseline: reads how many VMs are out and starts a stop without holding a budget place."""

    def _free_places_here(self, pool: PoolId) -> int:
        return 1


def breaches(figures: RunFigures) -> int:
    """Return the number of violated guarantees in a simulation."""
    counts = asdict(figures)
    return sum(int(counts[name]) for name in GUARANTEE_FIGURES)


def run(seed: int) -> MeasureResult:
    """Simulate every case with the product, and with check-then-act on unguarded VMs."""
    product: Figures = {}
    baseline: Figures = {}
    totals = {"planned_starts": 0, "faults": 0}
    for size in (WHISTLELINE, OBERLAND):
        for name, case in CASES.items():
            settings = replace(case, end_s=_END_S)
            label = f"{size.name}_{name}"
            product_figures = FleetSimulation(size, settings, f"{seed}/{label}").run()
            baseline_figures = FleetSimulation(
                size, settings, f"{seed}/{label}", wave_planner=CheckThenAct, guarded=False
            ).run()
            product[f"{label}_breaches"] = breaches(product_figures)
            product[f"{label}_maintained"] = product_figures.maintained
            product[f"{label}_stuck"] = product_figures.stuck
            baseline[f"{label}_breaches"] = breaches(baseline_figures)
            totals["planned_starts"] += product_figures.planned_starts
            totals["faults"] += product_figures.faults
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

"""VMs in two pools or in none, under concurrent moves, lost answers, freezes and crashes."""

from __future__ import annotations

from dataclasses import asdict
from random import Random

from toucandoor.fakes.fleets import SIZES
from toucandoor.measures._move_races import Race, RaceSettings
from toucandoor.measures.result import MeasureResult

_MOVES = 400


def run(seed: int) -> MeasureResult:
    """Run concurrent moves by the product and by delete-then-insert, with the same settings."""
    settings = RaceSettings(moves=_MOVES)
    sums = {True: dict[str, int](), False: dict[str, int]()}
    for size in SIZES:
        for product, figures in sums.items():
            race = Race(size, settings, Random(f"{seed}/{size.name}"), product=product)
            for name, count in asdict(race.run()).items():
                figures[name] = figures.get(name, 0) + count
    violations = ("double", "without", "redone", "untrue", "over_budget")
    product_sums, baseline_sums = sums[True], sums[False]
    baseline_breaches = baseline_sums["double"] + baseline_sums["without"]
    breaches = sum(product_sums[name] for name in violations)
    return MeasureResult(
        measure="double_owner",
        seed=seed,
        parameters={
            "moves": _MOVES * len(SIZES),
            "sizes": ",".join(size.name for size in SIZES),
            "operators": settings.operators,
            "fault_ratio": settings.fault_ratio,
            "pause_ratio": settings.pause_ratio,
            "crash_ratio": settings.crash_ratio,
        },
        product={"breaches": breaches, **product_sums},
        baseline={"breaches": baseline_breaches, **baseline_sums},
        bound={"breaches": 0, "baseline_double_min": 1},
        holds=breaches == 0 and baseline_sums["double"] > 0,
    )

"""Waiting work, VM time and moves under rotating peaks, beside fixed pools and early returns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.pools.lending import LendingPolicy
from toucandoor.measures._lending_model import LendingModel
from toucandoor.measures.result import MeasureResult

if TYPE_CHECKING:
    from collections.abc import Callable

PEAK_RATIOS: Final = (1.2, 1.6, 2.4)
"""Loads: demand of a pool in its peak, as a multiple of its VMs' cores."""
SEEDS: Final = 5


def run(seed: int) -> MeasureResult:
    """Run each policy at each load, with several seeds.

    With lending, work must wait less than with either baseline, on average over the loads.
    """
    product = _figures("lending", LendingPolicy, seed)
    at_once = _figures("returns_at_once", lambda: LendingPolicy(return_after_s=0.0), seed)
    fixed = _figures("fixed", lambda: None, seed)
    return MeasureResult(
        measure="lending",
        seed=seed,
        parameters={"seeds_count": SEEDS},
        product=dict(product),
        baseline={**at_once, **fixed},
        bound={"waited": "less than each baseline on average"},
        holds=_total_waited(product) < min(_total_waited(at_once), _total_waited(fixed)),
    )


def _total_waited(figures: dict[str, float]) -> float:
    return sum(value for name, value in figures.items() if name.endswith("waited_core_s2"))


def _figures(name: str, policy: Callable[[], LendingPolicy | None], seed: int) -> dict[str, float]:
    figures: dict[str, float] = {}
    for ratio in PEAK_RATIOS:
        models = [LendingModel(policy(), seed + each, ratio) for each in range(SEEDS)]
        for model in models:
            model.run()
        prefix = f"{name}_{ratio}"
        figures |= {
            f"{prefix}_waited_core_s2": round(sum(m.waited_core_s2 for m in models) / SEEDS),
            f"{prefix}_vm_s": round(sum(m.vm_s for m in models) / SEEDS),
            f"{prefix}_moves_count": round(sum(m.moves for m in models) / SEEDS),
        }
    return figures

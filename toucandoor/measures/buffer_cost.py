"""Slot time that the urgent reserve costs, beside the wait of urgent requests, by policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.configuration.const import DEFAULT_URGENT_START_TARGET_S
from toucandoor.measures._demand import SHAPES
from toucandoor.measures._setups import (
    BASELINE,
    LOAD_RATIO,
    PEAKS_PER_QUEUE,
    PRODUCT,
    RESERVE_SETUPS,
    meets_target,
    percentile,
    ratio_within,
    rounded_if_finite,
    run_rotating_peaks,
    urgent_waits_s,
)
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.measures._demand import Shape
    from toucandoor.measures._virtual import Setup


def run(seed: int) -> MeasureResult:
    """Simulate each reserve policy at both deployments' shapes.

    The cost is the slot time that was idle while requests waited, was spent on checkpoints and
    stops, or was discarded by stops, as a part of all slot time.
    """
    parameters: Figures = {"load_ratio": LOAD_RATIO, "rounds_count": PEAKS_PER_QUEUE}
    product: Figures = {}
    baseline: Figures = {}
    for shape in SHAPES:
        product |= _figures(shape, "product", PRODUCT, seed)
        baseline |= _figures(shape, "baseline", BASELINE, seed)
        for name, setup in RESERVE_SETUPS.items():
            baseline |= _figures(shape, name, setup, seed)
    bound: Figures = {"urgent_start_p99_s": DEFAULT_URGENT_START_TARGET_S}
    holds = all(
        meets_target(product[f"{shape.name}_product_urgent_start_p99_s"]) for shape in SHAPES
    )
    return MeasureResult("buffer_cost", seed, parameters, product, baseline, bound, holds)


def _figures(shape: Shape, name: str, setup: Setup, seed: int) -> Figures:
    result = run_rotating_peaks(shape, setup, seed)
    slot_time_s = shape.pools * shape.pool_slots * PEAKS_PER_QUEUE * shape.pools * shape.peak_s
    lost_s = sum(simulated.discarded_s for simulated in result.jobs)
    cost_s = result.idle_waiting_s + result.overhead_s + lost_s
    waits_s = urgent_waits_s(result)
    prefix = f"{shape.name}_{name}"
    return {
        f"{prefix}_buffer_cost_ratio": round(cost_s / slot_time_s, 5),
        f"{prefix}_preemptions_count": result.preemptions,
        f"{prefix}_urgent_start_p99_s": rounded_if_finite(percentile(waits_s, 0.99)),
        f"{prefix}_urgent_within_target_ratio": ratio_within(
            waits_s, DEFAULT_URGENT_START_TARGET_S
        ),
    }

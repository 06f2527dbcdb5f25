"""What the urgent reserve costs in slot time, against lateness, for several policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.configuration.const import DEFAULT_URGENT_START_TARGET_S
from toucandoor.measures._demand import SHAPES
from toucandoor.measures._setups import (
    BASELINE,
    LOAD_RATIO,
    PRODUCT,
    RESERVES,
    ROUNDS,
    finite,
    percentile,
    run_turns,
    urgent_waits_s,
    within_ratio,
    within_target,
)
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.measures._demand import Shape
    from toucandoor.measures._virtual import Setup


def run(seed: int) -> MeasureResult:
    """Run each reserve policy at both deployments' shapes.

    The cost is the slot time that stood idle while requests waited for it, that was spent on
    checkpoints and stops, or whose work a stop threw away, as a part of all slot time.
    """
    parameters: Figures = {"load_ratio": LOAD_RATIO, "rounds_count": ROUNDS}
    product: Figures = {}
    baseline: Figures = {}
    for shape in SHAPES:
        product |= _figures(shape, "product", PRODUCT, seed)
        baseline |= _figures(shape, "baseline", BASELINE, seed)
        for name, setup in RESERVES.items():
            baseline |= _figures(shape, name, setup, seed)
    bound: Figures = {"urgent_start_p99_s": DEFAULT_URGENT_START_TARGET_S}
    holds = all(
        within_target(product[f"{shape.name}_product_urgent_start_p99_s"]) for shape in SHAPES
    )
    return MeasureResult("buffer_cost", seed, parameters, product, baseline, bound, holds)


def _figures(shape: Shape, name: str, setup: Setup, seed: int) -> Figures:
    outcome = run_turns(shape, setup, seed)
    slot_time_s = shape.pools * shape.pool_slots * ROUNDS * shape.pools * shape.turn_s
    lost_s = sum(job.lost_s for job in outcome.jobs)
    cost_s = outcome.idle_waiting_s + outcome.overhead_s + lost_s
    waits_s = urgent_waits_s(outcome)
    prefix = f"{shape.name}_{name}"
    return {
        f"{prefix}_buffer_cost_ratio": round(cost_s / slot_time_s, 5),
        f"{prefix}_preemptions_count": outcome.preemptions,
        f"{prefix}_urgent_start_p99_s": finite(percentile(waits_s, 0.99)),
        f"{prefix}_urgent_within_target_ratio": within_ratio(
            waits_s, DEFAULT_URGENT_START_TARGET_S
        ),
    }

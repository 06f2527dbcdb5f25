"""How soon urgent requests start while queues take turns at five times their mean."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.configuration.const import DEFAULT_URGENT_START_TARGET_S
from toucandoor.measures._demand import ENDLESS_RUN_S, SHAPES
from toucandoor.measures._setups import (
    BASELINE,
    LOAD_RATIO,
    PRODUCT,
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
    from toucandoor.measures._virtual import Outcome


def run(seed: int) -> MeasureResult:
    """Run both deployments' shapes with the product's policies and the baseline's."""
    parameters: Figures = {"load_ratio": LOAD_RATIO, "rounds_count": ROUNDS}
    product: Figures = {}
    baseline: Figures = {}
    for shape in SHAPES:
        outcome = run_turns(shape, PRODUCT, seed)
        parameters[f"{shape.name}_requests_count"] = len(outcome.jobs)
        parameters[f"{shape.name}_cancelled_count"] = sum(job.cancelled for job in outcome.jobs)
        product |= _figures(shape.name, outcome)
        baseline |= _figures(shape.name, run_turns(shape, BASELINE, seed))
    bound: Figures = {"urgent_start_p99_s": DEFAULT_URGENT_START_TARGET_S}
    holds = all(within_target(product[f"{shape.name}_urgent_start_p99_s"]) for shape in SHAPES)
    return MeasureResult("urgent_start", seed, parameters, product, baseline, bound, holds)


def _figures(name: str, outcome: Outcome) -> Figures:
    waits_s = urgent_waits_s(outcome)
    patient = [
        job
        for job in outcome.jobs
        if not job.urgent and not job.cancelled and job.run_s < ENDLESS_RUN_S
    ]
    done_s = sorted(j.done_s - j.request.arrived_s for j in patient if j.done_s is not None)
    return {
        f"{name}_urgent_start_p50_s": finite(percentile(waits_s, 0.5)),
        f"{name}_urgent_start_p99_s": finite(percentile(waits_s, 0.99)),
        f"{name}_urgent_within_target_ratio": within_ratio(waits_s, DEFAULT_URGENT_START_TARGET_S),
        f"{name}_patient_finished_ratio": round(len(done_s) / len(patient), 4),
        f"{name}_patient_finish_p99_s": round(percentile(done_s, 0.99), 3),
    }

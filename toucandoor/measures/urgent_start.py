"""Time to start of urgent requests while one queue after another has five times its mean demand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.configuration.const import DEFAULT_URGENT_START_TARGET_S
from toucandoor.measures._demand import ENDLESS_RUN_S, SHAPES
from toucandoor.measures._setups import (
    BASELINE,
    LOAD_RATIO,
    PEAKS_PER_QUEUE,
    PRODUCT,
    meets_target,
    percentile,
    ratio_within,
    rounded_if_finite,
    run_rotating_peaks,
    urgent_waits_s,
)
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.measures._virtual import SimulationResult


def run(seed: int) -> MeasureResult:
    """Simulate both deployments' shapes with the policies of the product and of the baseline."""
    parameters: Figures = {"load_ratio": LOAD_RATIO, "rounds_count": PEAKS_PER_QUEUE}
    product: Figures = {}
    baseline: Figures = {}
    for shape in SHAPES:
        result = run_rotating_peaks(shape, PRODUCT, seed)
        parameters[f"{shape.name}_requests_count"] = len(result.jobs)
        parameters[f"{shape.name}_cancelled_count"] = sum(
            simulated.cancelled for simulated in result.jobs
        )
        product |= _figures(shape.name, result)
        baseline |= _figures(shape.name, run_rotating_peaks(shape, BASELINE, seed))
    bound: Figures = {"urgent_start_p99_s": DEFAULT_URGENT_START_TARGET_S}
    holds = all(meets_target(product[f"{shape.name}_urgent_start_p99_s"]) for shape in SHAPES)
    return MeasureResult("urgent_start", seed, parameters, product, baseline, bound, holds)


def _figures(name: str, result: SimulationResult) -> Figures:
    waits_s = urgent_waits_s(result)
    patient = [
        simulated
        for simulated in result.jobs
        if not simulated.urgent and not simulated.cancelled and simulated.run_s < ENDLESS_RUN_S
    ]
    done_s = sorted(
        simulated.finished_s - simulated.request.arrived_s
        for simulated in patient
        if simulated.finished_s is not None
    )
    return {
        f"{name}_urgent_start_p50_s": rounded_if_finite(percentile(waits_s, 0.5)),
        f"{name}_urgent_start_p99_s": rounded_if_finite(percentile(waits_s, 0.99)),
        f"{name}_urgent_within_target_ratio": ratio_within(waits_s, DEFAULT_URGENT_START_TARGET_S),
        f"{name}_patient_finished_ratio": round(len(done_s) / len(patient), 4),
        f"{name}_patient_finish_p99_s": round(percentile(done_s, 0.99), 3),
    }

"""Deviation of each team's service from its share while every pool is full."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from toucandoor.core.shares.fairness import misplaced_ratio
from toucandoor.core.shares.models import ServiceMeter
from toucandoor.measures._demand import SHAPES, WEIGHTS, draw_requests
from toucandoor.measures._setups import BASELINE, PRODUCT, with_entries
from toucandoor.measures._virtual import VirtualFleet
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.ids import TeamId
    from toucandoor.measures._demand import Shape
    from toucandoor.measures._virtual import Setup, SimulationResult

LOAD_RATIO: Final = 1.5
DURATION_S: Final = 120.0
WARM_UP_S: Final = 30.0
"""Time until the pools are full; service and demand before it do not count."""

ENTRIES: Final = 3


def run(seed: int) -> MeasureResult:
    """Simulate both shapes under overload, where some teams demand far more than their share."""
    parameters: Figures = {"load_ratio": LOAD_RATIO, "entries_count": ENTRIES}
    product: Figures = {}
    baseline: Figures = {}
    for shape in SHAPES:
        exchanging = with_entries(PRODUCT, ENTRIES, exchange_service=True)
        separate = with_entries(PRODUCT, ENTRIES, exchange_service=False)
        baseline_setup = with_entries(BASELINE, ENTRIES, exchange_service=False)
        product |= _figures(shape, "", exchanging, seed)
        product |= _figures(shape, "_no_heartbeats", separate, seed)
        baseline |= _figures(shape, "", baseline_setup, seed)
    own_meter_figures = {
        "whistleline_share_error_run_time_ratio",
        "oberland_share_error_completed_job_ratio",
    }
    holds = all(
        float(product[name] or 0) <= float(baseline[name] or 0) for name in own_meter_figures
    )
    bound: Figures = {"share_error": "no target is stated; held against the baseline"}
    return MeasureResult("share_error", seed, parameters, product, baseline, bound, holds)


def _figures(shape: Shape, variant: str, setup: Setup, seed: int) -> Figures:
    drawn = draw_requests(shape, seed, DURATION_S, LOAD_RATIO, rotating_peaks=False)
    result = VirtualFleet(shape, setup, drawn, seed).run(DURATION_S)
    run_time, completed = _service_by_team(result)
    figures: Figures = {}
    for meter, service in (
        (ServiceMeter.RUN_TIME, run_time),
        (ServiceMeter.COMPLETED_JOB, completed),
    ):
        name = f"{shape.name}{variant}_share_error_{meter.value}_ratio"
        figures[name] = round(misplaced_ratio(service, _demand_by_team(result, meter), WEIGHTS), 4)
    return figures


def _service_by_team(result: SimulationResult) -> tuple[dict[TeamId, float], dict[TeamId, float]]:
    run_time: Counter[TeamId] = Counter()
    completed: Counter[TeamId] = Counter()
    for interval, by_team in result.run_s.items():
        if interval >= WARM_UP_S:
            run_time.update(by_team)
    for interval, completed_by_team in result.completed.items():
        if interval >= WARM_UP_S:
            completed.update(completed_by_team)
    return dict(run_time), dict(completed)


def _demand_by_team(result: SimulationResult, meter: ServiceMeter) -> dict[TeamId, float]:
    """Return each team's demand after the warm-up, in the meter's unit."""
    demand: dict[TeamId, float] = dict.fromkeys(WEIGHTS, 0.0)
    for simulated in result.jobs:
        arrived_s = simulated.request.arrived_s
        if arrived_s < WARM_UP_S:
            continue
        run_s = min(simulated.run_s, DURATION_S - arrived_s)
        demand[simulated.team] += run_s if meter is ServiceMeter.RUN_TIME else 1.0
    return demand

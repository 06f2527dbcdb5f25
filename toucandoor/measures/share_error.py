"""How near each team comes to its share while every pool is full."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from toucandoor.core.shares.fairness import misplaced_ratio
from toucandoor.core.shares.models import ServiceMeter
from toucandoor.measures._demand import SHAPES, WEIGHTS, jobs
from toucandoor.measures._setups import BASELINE, PRODUCT, with_entries
from toucandoor.measures._virtual import VirtualFleet
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.ids import TeamId
    from toucandoor.measures._demand import Shape
    from toucandoor.measures._virtual import Outcome, Setup

LOAD_RATIO: Final = 1.5
DURATION_S: Final = 120.0
FILLING_S: Final = 30.0
"""Time until the pools are full; nothing is counted before it."""

ENTRIES: Final = 3


def run(seed: int) -> MeasureResult:
    """Run both shapes overloaded: one part of the teams asks for far more than its share."""
    parameters: Figures = {"load_ratio": LOAD_RATIO, "entries_count": ENTRIES}
    product: Figures = {}
    baseline: Figures = {}
    for shape in SHAPES:
        full = with_entries(PRODUCT, ENTRIES, heartbeats=True)
        alone = with_entries(PRODUCT, ENTRIES, heartbeats=False)
        first = with_entries(BASELINE, ENTRIES, heartbeats=False)
        product |= _figures(shape, "", full, seed)
        product |= _figures(shape, "_no_heartbeats", alone, seed)
        baseline |= _figures(shape, "", first, seed)
    names = {
        "whistleline_share_error_run_time_ratio",
        "oberland_share_error_completed_job_ratio",
    }
    holds = all(float(product[name] or 0) <= float(baseline[name] or 0) for name in names)
    bound: Figures = {"share_error": "no target is stated; held against the baseline"}
    return MeasureResult("share_error", seed, parameters, product, baseline, bound, holds)


def _figures(shape: Shape, variant: str, setup: Setup, seed: int) -> Figures:
    drawn = jobs(shape, seed, DURATION_S, LOAD_RATIO, turns=False)
    outcome = VirtualFleet(shape, setup, drawn, seed).run(DURATION_S)
    run_time, completed = _service(outcome)
    figures: Figures = {}
    for meter, service in (
        (ServiceMeter.RUN_TIME, run_time),
        (ServiceMeter.COMPLETED_JOB, completed),
    ):
        name = f"{shape.name}{variant}_share_error_{meter.value}_ratio"
        figures[name] = round(misplaced_ratio(service, _demand(outcome, meter), WEIGHTS), 4)
    return figures


def _service(outcome: Outcome) -> tuple[dict[TeamId, float], dict[TeamId, float]]:
    run_time: Counter[TeamId] = Counter()
    completed: Counter[TeamId] = Counter()
    for interval, by_team in outcome.run_s.items():
        if interval >= FILLING_S:
            run_time.update(by_team)
    for interval, jobs_by_team in outcome.completed.items():
        if interval >= FILLING_S:
            completed.update(jobs_by_team)
    return dict(run_time), dict(completed)


def _demand(outcome: Outcome, meter: ServiceMeter) -> dict[TeamId, float]:
    """Return what each team asked for while it was counted, in the meter's unit."""
    demand: dict[TeamId, float] = dict.fromkeys(WEIGHTS, 0.0)
    for job in outcome.jobs:
        arrived_s = job.request.arrived_s
        if arrived_s < FILLING_S:
            continue
        run_s = min(job.run_s, DURATION_S - arrived_s)
        demand[job.team] += run_s if meter is ServiceMeter.RUN_TIME else 1.0
    return demand

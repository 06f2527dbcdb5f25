"""Processor time of a maintenance planner during planned stops, at growing fleet sizes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from toucandoor.core.pools.models import assignment_key
from toucandoor.fakes.fleets import TARGET, FleetSize, data_centres
from toucandoor.measures._fleet_models import RunSettings
from toucandoor.measures._fleet_run import FleetSimulation, SimulatedController
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.core.maintenance.planner import PlannerDecision, PlannerEvent

_SIZES = (
    FleetSize("vms_250", 35, 250, 6, 4, 3),
    FleetSize("vms_500", 35, 500, 6, 4, 3),
    FleetSize("vms_1000", 35, 1000, 6, 4, 3),
    FleetSize("vms_2000", TARGET.pools, TARGET.vms, 6, 4, 3),
)
_WARM_UP_S = 40.0
_END_S = 100.0
_CORE_MAX_RATIO = 0.017


class _TimedSimulation(FleetSimulation):
    """Sums the processor time that planners need to handle events, after a warm-up."""

    processor_s = 0.0

    def _handle_event(
        self, controller: SimulatedController, event: PlannerEvent
    ) -> list[PlannerDecision]:
        started_s = time.process_time()
        decisions = super()._handle_event(controller, event)
        if self.clock.monotonic_s() > _WARM_UP_S:
            self.processor_s += time.process_time() - started_s
        return decisions


def _figures(size: FleetSize, seed: int) -> Figures:
    settings = RunSettings(controllers=1, end_s=_END_S)
    simulation = _TimedSimulation(size, settings, f"{seed}/{size.name}")
    simulation.run()
    planners_s = (_END_S - _WARM_UP_S) * size.data_centres
    key = assignment_key(data_centres(size)[0])
    return {
        f"{size.name}_core_ratio": round(simulation.processor_s / planners_s, 5),
        f"{size.name}_map_bytes": len(simulation.store.values[key]),
        f"{size.name}_started": simulation.figures.planned_starts,
    }


def run(seed: int) -> MeasureResult:
    """Run planners with a tick each second; the baseline plans nothing and needs no processor."""
    product: Figures = {}
    for size in _SIZES:
        product |= _figures(size, seed)
    largest = float(product["vms_2000_core_ratio"] or 0)
    return MeasureResult(
        measure="planner_cost",
        seed=seed,
        parameters={"tick_s": 1.0, "seen_s": _END_S - _WARM_UP_S, "data_centres": 6, "pools": 35},
        product=product,
        baseline={"core_ratio": 0.0},
        bound={"core_ratio_max": _CORE_MAX_RATIO},
        holds=largest <= _CORE_MAX_RATIO,
    )

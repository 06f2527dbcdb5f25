"""Time to maintain every VM of a fleet once, at the fleet sizes of both users."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from toucandoor.fakes.fleets import SIZES, TARGET
from toucandoor.measures._fleet_models import RunSettings
from toucandoor.measures._fleet_run import FleetSimulation
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.fakes.fleets import FleetSize

_SIX_WEEKS_S = 6 * 7 * 86_400.0
_WITHOUT_FAULTS = RunSettings(end_s=6 * 3_600.0)
_AT_TARGET = RunSettings(
    tick_s=5.0,
    failures_per_day=18,
    restarts_per_day=280,
    faulty_vm_ratio=0.002,
    controllers=1,
    end_s=6 * 3_600.0,
)
_PRINTED_FIGURES = (
    "rollout_s",
    "maintained",
    "budget_breaches",
    "over_held",
    "tasks_cut",
    "store_calls",
)


def _figures(size: FleetSize, seed: int, *, serial: bool) -> Figures:
    settings = _AT_TARGET if size is TARGET else _WITHOUT_FAULTS
    simulated = FleetSimulation(size, settings, f"{seed}/{size.name}", serial=serial).run()
    figures = asdict(simulated)
    return {f"{size.name}_{name}": figures[name] for name in _PRINTED_FIGURES}


def run(seed: int) -> MeasureResult:
    """Maintain all VMs within the whole budgets; the baseline stops one VM at a time per pool."""
    return roll_out("rollout_time", seed, [size for size in SIZES if size is not TARGET])


def roll_out(measure: str, seed: int, sizes: Sequence[FleetSize]) -> MeasureResult:
    """Measure the maintenance of fleets of the given sizes, by the product and by the baseline."""
    product: Figures = {}
    baseline: Figures = {}
    for size in sizes:
        product |= _figures(size, seed, serial=False)
        baseline |= _figures(size, seed, serial=True)
    violations = ("_budget_breaches", "_over_held", "_tasks_cut")
    breaches = sum(int(v or 0) for name, v in product.items() if name.endswith(violations))
    times = [v for name, v in product.items() if name.endswith("_rollout_s")]
    done = all(v is not None and float(v) <= _SIX_WEEKS_S for v in times)
    return MeasureResult(
        measure=measure,
        seed=seed,
        parameters={
            **{f"{size.name}_unavailable_max": size.unavailable_max for size in sizes},
            "reboot_s": 120.0,
            "task_s_max": _WITHOUT_FAULTS.task_max_s,
            "list_lag_s": _WITHOUT_FAULTS.list_lag_s,
            "target_fails_a_day": _AT_TARGET.failures_per_day,
            "target_restarts_a_day": _AT_TARGET.restarts_per_day,
            "target_bad_ratio": _AT_TARGET.faulty_vm_ratio,
        },
        product={"breaches": breaches, **product},
        baseline=baseline,
        bound={"breaches": 0, "rollout_s_max": _SIX_WEEKS_S},
        holds=breaches == 0 and done,
    )

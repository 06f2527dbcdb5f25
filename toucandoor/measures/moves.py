"""Cost and correctness of moves between pools at each fleet size, with and without faults."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from toucandoor.core.pools.models import encode
from toucandoor.core.pools.records import first_map
from toucandoor.fakes.fleets import SIZES, data_centres, fleet_configuration
from toucandoor.measures._move_races import Race, RaceFigures, RaceSettings
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from toucandoor.fakes.fleets import FleetSize

_MOVES = 300
_STORE_CALL_MS = 3.0
_SEQUENTIAL = RaceSettings(
    _MOVES, operators=1, fault_ratio=0, pause_ratio=0, crash_ratio=0, hot_vms=20
)
_RACING = RaceSettings(_MOVES, operators=4, fault_ratio=0, pause_ratio=0, crash_ratio=0, hot_vms=20)
_FAULTY = RaceSettings(_MOVES, operators=4, hot_vms=20)


def _breaches(figures: RaceFigures) -> int:
    return figures.double + figures.without + figures.redone + figures.untrue + figures.over_budget


def _figures(size: FleetSize, seed: int, *, product: bool) -> Figures:
    figures: Figures = {}
    for name, settings in (("calm", _SEQUENTIAL), ("racing", _RACING), ("faulty", _FAULTY)):
        race = Race(size, settings, Random(f"{seed}/{size.name}/{name}"), product=product).run()
        prefix = f"{size.name}_{name}"
        ended = race.moved + race.refused + race.unknown
        figures[f"{prefix}_moved"] = race.moved
        figures[f"{prefix}_refused"] = race.refused
        figures[f"{prefix}_breaches"] = _breaches(race)
        figures[f"{prefix}_calls_per_order"] = round(race.calls / ended, 2)
        figures[f"{prefix}_time_per_order_ms"] = round(race.calls / ended * _STORE_CALL_MS, 1)
        figures[f"{prefix}_bytes_per_moved"] = round(race.bytes_written / race.moved)
    return figures


def _map_sizes(size: FleetSize) -> Figures:
    configuration = fleet_configuration(size)
    sizes = [
        len(encode(first_map(configuration, 1, data_centre))) for data_centre in data_centres(size)
    ]
    return {
        f"{size.name}_data_centre_map_bytes": max(sizes),
        f"{size.name}_fleet_wide_map_bytes": sum(sizes),
    }


def run(seed: int) -> MeasureResult:
    """Run the same moves by one swap each, and by delete-then-insert as the baseline."""
    product: Figures = {}
    baseline: Figures = {}
    for size in SIZES:
        product |= _map_sizes(size) | _figures(size, seed, product=True)
        baseline |= _figures(size, seed, product=False)
    breaches = sum(int(v or 0) for name, v in product.items() if name.endswith("_breaches"))
    return MeasureResult(
        measure="moves",
        seed=seed,
        parameters={
            "orders_per_case": _MOVES,
            "call_ms": _STORE_CALL_MS,
            "hot_vms": _SEQUENTIAL.hot_vms,
        },
        product=product,
        baseline=baseline,
        bound={"breaches": 0, "map_bytes_max": 1_000_000},
        holds=breaches == 0
        and all(int(v or 0) < 1_000_000 for n, v in product.items() if n.endswith("_map_bytes")),
    )

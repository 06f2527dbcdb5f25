"""Processor time, resident memory and network traffic of a controller, at four fleet sizes."""

from __future__ import annotations

import time
from statistics import linear_regression, mean
from typing import Final

import psutil

from toucandoor.measures._control_fleet import ControlFleet
from toucandoor.measures._target_content import content_costs
from toucandoor.measures.result import Figures, MeasureResult

SIZES: Final = (2, 4, 8, 16)
IDLE_S: Final = 20.0
CHANGES: Final = 4
DATA_CENTRE_NODES_AT_TARGET: Final = 8
FLEET_NODES_AT_TARGET: Final = 48
TARGET_CHANGES_PER_S: Final = 2400 / 86400
PROCESSOR_MAX_RATIO: Final = 0.017
MEMORY_MAX_BYTES: Final = 128 * 1024 * 1024
BYTES_MAX_PER_S: Final = 3000.0


def run(seed: int) -> MeasureResult:
    """Measure controllers of one data centre when idle and during changes; the seed is unused.

    The baseline polls all nodes of the fleet instead of those of the own data centre.
    """
    product: Figures = {}
    rows = [_measure(size) for size in SIZES]
    for size, row in zip(SIZES, rows, strict=True):
        product |= {f"nodes_{size}_{name}": round(value, 5) for name, value in row.items()}
    lines = {name: _fit_line(rows, name) for name in rows[0]}
    for name, (slope, base) in lines.items():
        product[f"{name}_slope_per_node"] = round(slope, 6)
        product[f"{name}_base"] = round(base, 5)
    content = content_costs()
    target = _extrapolate(lines, DATA_CENTRE_NODES_AT_TARGET, content)
    baseline = _extrapolate(lines, FLEET_NODES_AT_TARGET, content)
    product |= {f"content_{name}": round(value, 5) for name, value in content.items()}
    product |= {f"target_{name}": round(value, 4) for name, value in target.items()}
    return MeasureResult(
        measure="control_cost",
        seed=seed,
        parameters={
            "sizes": ",".join(map(str, SIZES)),
            "idle_s": IDLE_S,
            "changes": CHANGES,
            "near_at_target": DATA_CENTRE_NODES_AT_TARGET,
            "fleet_at_target": FLEET_NODES_AT_TARGET,
        },
        product=product,
        baseline={f"target_{name}": round(value, 4) for name, value in baseline.items()},
        bound={
            "processor_max_ratio": PROCESSOR_MAX_RATIO,
            "memory_max_bytes": MEMORY_MAX_BYTES,
            "bytes_max_per_s": BYTES_MAX_PER_S,
        },
        holds=target["processor_ratio"] <= PROCESSOR_MAX_RATIO
        and target["memory_bytes"] <= MEMORY_MAX_BYTES
        and target["bytes_per_s"] <= BYTES_MAX_PER_S,
    )


def _measure(size: int) -> dict[str, float]:
    with ControlFleet(["dc-1"] * size, entries=False) as fleet:
        time.sleep(7.0)
        before = _resource_use(fleet, size)
        started_s = time.monotonic()
        time.sleep(IDLE_S)
        after = _resource_use(fleet, size)
        idle_s = time.monotonic() - started_s
        for number in range(CHANGES):
            fleet.apply(number)
        changed = _resource_use(fleet, size)
        changing_s = time.monotonic() - started_s - idle_s
    idle_ratio = (after["processor_s"] - before["processor_s"]) / idle_s
    idle_bytes_per_s = (after["bytes"] - before["bytes"]) / idle_s
    extra_s = changed["processor_s"] - after["processor_s"] - idle_ratio * changing_s
    extra_bytes = changed["bytes"] - after["bytes"] - idle_bytes_per_s * changing_s
    return {
        "idle_processor_ratio": idle_ratio,
        "memory_bytes": changed["memory_bytes"],
        "idle_bytes_per_s": idle_bytes_per_s,
        "processor_s_per_change": max(0.0, extra_s / CHANGES),
        "bytes_per_change": max(0.0, extra_bytes / CHANGES),
    }


def _resource_use(fleet: ControlFleet, size: int) -> dict[str, float]:
    """Return the nodes' mean processor time and network traffic, and their largest memory.

    ``peer_bytes`` counts only the queries that a node sends to its peers, and the answers. It
    answers as many queries of its peers, so the traffic is twice that.
    """
    processes = [
        psutil.Process(process.process.pid)
        for name, process in fleet.deployment.processes.items()
        if name.endswith(".controller")
    ]
    times = [process.cpu_times() for process in processes]
    statuses = [fleet.status(n) for n in range(size)]
    return {
        "processor_s": mean(each.user + each.system for each in times),
        "memory_bytes": max(process.memory_info().rss for process in processes),
        "bytes": 2 * mean(float(each["peer_bytes"]) for each in statuses),
    }


def _fit_line(rows: list[dict[str, float]], name: str) -> tuple[float, float]:
    slope, base = linear_regression(SIZES, [row[name] for row in rows])
    return slope, base


def _extrapolate(
    lines: dict[str, tuple[float, float]], polled_nodes: int, content: dict[str, float]
) -> dict[str, float]:
    """Return the cost of one node at the target fleet size and rate of changes.

    Every change is assumed to replace the largest part of a data centre's VMs.

    Args:
        lines: Slope and base of each figure over the number of nodes.
        polled_nodes: Number of nodes that each node polls.
        content: Costs of one change's content.
    """

    def value(name: str, size: int) -> float:
        slope, base = lines[name]
        return max(0.0, base + slope * size)

    processor_s = value("processor_s_per_change", FLEET_NODES_AT_TARGET)
    change_processor_s = processor_s + content["join_s"] + content["push_s"]
    peer_bytes = value("bytes_per_change", FLEET_NODES_AT_TARGET)
    change_bytes = peer_bytes + content["head_bytes"] + content["vms_part_bytes"]
    idle_bytes_per_s = value("idle_bytes_per_s", polled_nodes)
    idle_processor_ratio = value("idle_processor_ratio", polled_nodes)
    return {
        "processor_ratio": idle_processor_ratio + change_processor_s * TARGET_CHANGES_PER_S,
        "memory_bytes": value("memory_bytes", FLEET_NODES_AT_TARGET) + content["memory_bytes"],
        "idle_bytes_per_s": idle_bytes_per_s,
        "bytes_per_s": idle_bytes_per_s + change_bytes * TARGET_CHANGES_PER_S,
    }

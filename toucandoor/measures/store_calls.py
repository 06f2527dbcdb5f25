"""Calls to the platform's store per node and per change, at two fleet sizes."""

from __future__ import annotations

import time
from collections import Counter
from typing import Final

from toucandoor.core.configuration.const import DEFAULT_ENTRY_LEASE_S
from toucandoor.measures._control_fleet import ControlFleet
from toucandoor.measures.result import Figures, MeasureResult

SIZES: Final = (2, 8)
IDLE_S: Final = 40.0
CHANGES: Final = 6
TARGET_NODES: Final = 48
TARGET_CHANGES_PER_S: Final = 2400 / 86400
WRITES_MAX_PER_S: Final = 300.0
READS_MAX_PER_S: Final = 2000.0
_WRITE_KINDS: Final = ("PUT kv", "DELETE kv", "POST leases", "DELETE leases")


def run(seed: int) -> MeasureResult:
    """Count the calls of controllers when idle and during changes; the seed is unused.

    The baseline is a lease in the store for each node, renewed three times per entry lease.
    """
    rows = {size: _measure(size) for size in SIZES}
    product: Figures = {
        f"nodes_{size}_{name}": round(value, 4)
        for size, row in rows.items()
        for name, value in row.items()
    }
    largest = rows[max(SIZES)]
    idle_per_s = largest["idle_calls_per_node_per_s"] * TARGET_NODES
    reads_per_s = largest["reads_per_change"] / max(SIZES) * TARGET_NODES * TARGET_CHANGES_PER_S
    writes_per_s = largest["writes_per_change"] * TARGET_CHANGES_PER_S
    product |= {
        "target_reads_per_s": round(idle_per_s + reads_per_s, 2),
        "target_writes_per_s": round(writes_per_s, 3),
    }
    return MeasureResult(
        measure="store_calls",
        seed=seed,
        parameters={"idle_s": IDLE_S, "changes": CHANGES, "target_nodes": TARGET_NODES},
        product=product,
        baseline={"target_writes_per_s": round(TARGET_NODES * 3 / DEFAULT_ENTRY_LEASE_S, 1)},
        bound={"reads_max_per_s": READS_MAX_PER_S, "writes_max_per_s": WRITES_MAX_PER_S},
        holds=idle_per_s + reads_per_s <= READS_MAX_PER_S and writes_per_s <= WRITES_MAX_PER_S,
    )


def _measure(size: int) -> dict[str, float]:
    data_centres = [f"dc-{n % 2 + 1}" for n in range(size)]
    with ControlFleet(data_centres, entries=False) as fleet:
        time.sleep(8.0)
        before = Counter(fleet.store_calls())
        time.sleep(IDLE_S)
        idle = _without_vm_list_reads(Counter(fleet.store_calls()) - before)
        started_s = time.monotonic()
        before = Counter(fleet.store_calls())
        for number in range(CHANGES):
            fleet.apply(number)
        taken_s = time.monotonic() - started_s
        changing = _without_vm_list_reads(Counter(fleet.store_calls()) - before)
    idle_per_s = sum(idle.values()) / IDLE_S
    writes = sum(changing[kind] for kind in _WRITE_KINDS)
    reads = sum(changing.values()) - writes - idle_per_s * taken_s
    return {
        "idle_calls_per_node_per_s": idle_per_s / size,
        "reads_per_change": reads / CHANGES,
        "writes_per_change": writes / CHANGES,
        **{f"idle_{kind.replace(' ', '_')}": float(n) for kind, n in sorted(idle.items())},
    }


def _without_vm_list_reads(calls: Counter[str]) -> Counter[str]:
    return Counter({kind: n for kind, n in calls.items() if kind != "GET vms"})

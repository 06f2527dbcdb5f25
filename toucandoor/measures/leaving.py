"""Longest time until a leaving backend server receives no new tasks."""

from __future__ import annotations

import time
from typing import Final

from toucandoor.measures._callers import Callers, make_baseline_sender, make_entry_sender
from toucandoor.measures._deployment import LocalDeployment
from toucandoor.measures._faulty_pool import FaultyPool
from toucandoor.measures._simple_dispatcher import SimpleDispatcher
from toucandoor.measures.result import Figures, MeasureResult

WORKERS: Final = 6
ENTRIES: Final = 2
CALLERS: Final = 24
RUN_S: Final = 0.1
WINDOW_S: Final = 8.0
DEADLINE_S: Final = 30.0
BOUND_S: Final = 5.0


def run(seed: int) -> MeasureResult:
    """Let one server leave by the platform's VM list and one by draining; the seed picks them."""
    listed, draining = seed % WORKERS, (seed + 1) % WORKERS
    with FaultyPool(WORKERS, subnet=5) as pool, pool.make_deployment(ENTRIES) as deployment:
        deployment.run_command("apply", str(pool.folder))
        deployment.wait_ready()
        _set_vm_list(deployment, None)
        with Callers(make_entry_sender(deployment, DEADLINE_S), CALLERS, RUN_S) as callers:
            time.sleep(3.0)
            left_at_unix_s = time.time()
            _set_vm_list(deployment, listed)
            pool.set_draining(draining)
            time.sleep(WINDOW_S)
        product = _figures(pool, left_at_unix_s, listed, draining)
        product["requests"] = len(callers.observed)
        product["not_answered"] = sum(each.status != 200 for each in callers.observed)
    with FaultyPool(WORKERS, subnet=6) as pool:
        send = make_baseline_sender(SimpleDispatcher(pool.middlebox_addresses))
        with Callers(send, CALLERS, RUN_S) as callers:
            time.sleep(3.0)
            left_at_unix_s = time.time()
            pool.set_draining(draining)
            time.sleep(WINDOW_S)
        baseline = _figures(pool, left_at_unix_s, listed, draining)
        baseline["requests"] = len(callers.observed)
        baseline["not_answered"] = sum(each.status != 200 for each in callers.observed)
    worst_s = product["worst_s"]
    return MeasureResult(
        measure="leaving",
        seed=seed,
        parameters={
            "servers": WORKERS,
            "entries": ENTRIES,
            "callers": CALLERS,
            "window_s": WINDOW_S,
            "leaving_servers": 2,
        },
        product=product,
        baseline=baseline,
        bound={"worst_max_s": BOUND_S},
        holds=isinstance(worst_s, float) and worst_s <= BOUND_S,
    )


def _figures(pool: FaultyPool, left_at_unix_s: float, listed: int, draining: int) -> Figures:
    by_list_s = max(0.0, pool.last_received_unix_s(listed) - left_at_unix_s)
    by_drain_s = max(0.0, pool.last_received_unix_s(draining) - left_at_unix_s)
    return {
        "by_platform_list_s": round(by_list_s, 3),
        "by_own_word_s": round(by_drain_s, 3),
        "worst_s": round(max(by_list_s, by_drain_s), 3),
    }


def _set_vm_list(deployment: LocalDeployment, leaving: int | None) -> None:
    states = ["leaving" if number == leaving else "live" for number in range(WORKERS)]
    deployment.set_vm_list(
        [{"id": f"w-{number}", "state": state} for number, state in enumerate(states)]
    )

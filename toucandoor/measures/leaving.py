"""Worst seconds until a leaving backend server is sent nothing new."""

from __future__ import annotations

import time
from typing import Final

from toucandoor.measures._callers import Callers, through_baseline, through_entries
from toucandoor.measures._deployment import LocalDeployment
from toucandoor.measures._faulty_pool import FaultyPool
from toucandoor.measures._simple_dispatcher import SimpleDispatcher
from toucandoor.measures.result import Figures, MeasureResult

SERVERS: Final = 6
ENTRIES: Final = 2
CALLERS: Final = 24
RUN_S: Final = 0.1
WINDOW_S: Final = 8.0
DEADLINE_S: Final = 30.0
BOUND_S: Final = 5.0


def run(seed: int) -> MeasureResult:
    """Let one server leave by the platform's list and one by its own word; the seed picks them."""
    listed, draining = seed % SERVERS, (seed + 1) % SERVERS
    with FaultyPool(SERVERS, subnet=5) as pool, pool.deploy(ENTRIES) as deployment:
        deployment.operate("apply", str(pool.folder))
        deployment.wait_ready()
        _list_vms(deployment, None)
        with Callers(through_entries(deployment, DEADLINE_S), CALLERS, RUN_S) as callers:
            time.sleep(3.0)
            at_s = time.time()
            _list_vms(deployment, listed)
            pool.drain(draining)
            time.sleep(WINDOW_S)
        product = _figures(pool, at_s, listed, draining)
        product["requests"] = len(callers.seen)
        product["not_answered"] = sum(each.status != 200 for each in callers.seen)
    with FaultyPool(SERVERS, subnet=6) as pool:
        send = through_baseline(SimpleDispatcher(pool.addresses))
        with Callers(send, CALLERS, RUN_S) as callers:
            time.sleep(3.0)
            at_s = time.time()
            pool.drain(draining)
            time.sleep(WINDOW_S)
        baseline = _figures(pool, at_s, listed, draining)
        baseline["requests"] = len(callers.seen)
        baseline["not_answered"] = sum(each.status != 200 for each in callers.seen)
    worst_s = product["worst_s"]
    return MeasureResult(
        measure="leaving",
        seed=seed,
        parameters={
            "servers": SERVERS,
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


def _figures(pool: FaultyPool, at_s: float, listed: int, draining: int) -> Figures:
    by_list_s = max(0.0, pool.last_sent_s(listed) - at_s)
    by_word_s = max(0.0, pool.last_sent_s(draining) - at_s)
    return {
        "by_platform_list_s": round(by_list_s, 3),
        "by_own_word_s": round(by_word_s, 3),
        "worst_s": round(max(by_list_s, by_word_s), 3),
    }


def _list_vms(deployment: LocalDeployment, leaving: int | None) -> None:
    states = ["leaving" if number == leaving else "live" for number in range(SERVERS)]
    deployment.set_vm_list(
        [{"id": f"w-{number}", "state": state} for number, state in enumerate(states)]
    )

"""Time to normal service after a backend server or its connections fail."""

from __future__ import annotations

import time
from typing import Final

from toucandoor.measures._callers import (
    Callers,
    SendRequest,
    make_baseline_sender,
    make_entry_sender,
)
from toucandoor.measures._faulty_pool import FaultyPool
from toucandoor.measures._simple_dispatcher import SimpleDispatcher
from toucandoor.measures.result import Figures, MeasureResult

WORKERS: Final = 6
CALLERS: Final = 12
RUN_S: Final = 0.1
SLOW_S: Final = 1.0
"""A request that takes longer than this was not served normally."""
WINDOW_S: Final = 12.0
FAULT_FREE_S: Final = 2.0
DEADLINE_S: Final = 30.0
BOUND_S: Final = 10.0
FAULTS: Final = ("killed", "frozen", "failing", "silent")


def run(seed: int) -> MeasureResult:
    """Inject each fault into one of six backend servers; the seed picks the first one."""
    with FaultyPool(WORKERS, subnet=3) as pool, pool.make_deployment() as deployment:
        deployment.run_command("apply", str(pool.folder))
        deployment.wait_ready()
        product = _measure(pool, make_entry_sender(deployment, DEADLINE_S), seed)
    with FaultyPool(WORKERS, subnet=4) as pool:
        baseline = _measure(
            pool, make_baseline_sender(SimpleDispatcher(pool.middlebox_addresses)), seed
        )
    recoveries_s = [product[f"{fault}_recovery_s"] for fault in FAULTS]
    return MeasureResult(
        measure="recovery",
        seed=seed,
        parameters={
            "servers": WORKERS,
            "callers": CALLERS,
            "run_s": RUN_S,
            "slow_s": SLOW_S,
            "window_s": WINDOW_S,
            "faults": len(FAULTS),
        },
        product=product,
        baseline=baseline,
        bound={"recovery_max_s": BOUND_S},
        holds=all(isinstance(each, float) and each <= BOUND_S for each in recoveries_s),
    )


def _measure(pool: FaultyPool, send: SendRequest, seed: int) -> Figures:
    figures: Figures = {}
    for index, fault in enumerate(FAULTS):
        number = (seed + index) % WORKERS
        with Callers(send, CALLERS, RUN_S) as callers:
            time.sleep(FAULT_FREE_S)
            injected_s = time.monotonic()
            _inject(pool, fault, number)
            time.sleep(WINDOW_S)
            until_s = time.monotonic()
            _repair(pool, fault, number)
        bad = [
            each
            for each in callers.observed
            if each.ended_s > injected_s and each.failed_or_slow(SLOW_S)
        ]
        last_s = max((min(each.ended_s, until_s) for each in bad), default=injected_s)
        figures[f"{fault}_recovery_s"] = (
            round(last_s - injected_s, 3) if last_s < until_s - FAULT_FREE_S else None
        )
        figures[f"{fault}_bad_requests"] = len(bad)
        figures[f"{fault}_requests"] = len(callers.observed)
        time.sleep(FAULT_FREE_S)
    return figures


def _inject(pool: FaultyPool, fault: str, number: int) -> None:
    match fault:
        case "killed":
            pool.kill(number)
        case "frozen":
            pool.freeze(number)
        case "failing":
            pool.set_worker_faults(number, fail_all=True)
        case "silent":
            pool.middleboxes[number].blackhole_connections()


def _repair(pool: FaultyPool, fault: str, number: int) -> None:
    match fault:
        case "killed":
            pool.restart(number)
        case "frozen":
            pool.resume(number)
        case "failing":
            pool.set_worker_faults(number, fail_all=False)

"""Seconds to normal service after a backend server or its connections fail."""

from __future__ import annotations

import time
from typing import Final

from toucandoor.measures._callers import Callers, Send, through_baseline, through_entries
from toucandoor.measures._faulty_pool import FaultyPool
from toucandoor.measures._simple_dispatcher import SimpleDispatcher
from toucandoor.measures.result import Figures, MeasureResult

SERVERS: Final = 6
CALLERS: Final = 12
RUN_S: Final = 0.1
SLOW_S: Final = 1.0
"""A job that takes longer than this was not served normally."""
WINDOW_S: Final = 12.0
QUIET_S: Final = 2.0
DEADLINE_S: Final = 30.0
BOUND_S: Final = 10.0
FAULTS: Final = ("killed", "frozen", "failing", "silent")


def run(seed: int) -> MeasureResult:
    """Provoke each fault on one of six backend servers; the seed chooses which comes first."""
    with FaultyPool(SERVERS, subnet=3) as pool, pool.deploy() as deployment:
        deployment.operate("apply", str(pool.folder))
        deployment.wait_ready()
        product = _measure(pool, through_entries(deployment, DEADLINE_S), seed)
    with FaultyPool(SERVERS, subnet=4) as pool:
        baseline = _measure(pool, through_baseline(SimpleDispatcher(pool.addresses)), seed)
    reached = [product[f"{fault}_recovery_s"] for fault in FAULTS]
    return MeasureResult(
        measure="recovery",
        seed=seed,
        parameters={
            "servers": SERVERS,
            "callers": CALLERS,
            "run_s": RUN_S,
            "slow_s": SLOW_S,
            "window_s": WINDOW_S,
            "faults": len(FAULTS),
        },
        product=product,
        baseline=baseline,
        bound={"recovery_max_s": BOUND_S},
        holds=all(isinstance(each, float) and each <= BOUND_S for each in reached),
    )


def _measure(pool: FaultyPool, send: Send, seed: int) -> Figures:
    figures: Figures = {}
    for index, fault in enumerate(FAULTS):
        number = (seed + index) % SERVERS
        with Callers(send, CALLERS, RUN_S) as callers:
            time.sleep(QUIET_S)
            at_s = time.monotonic()
            _provoke(pool, fault, number)
            time.sleep(WINDOW_S)
            until_s = time.monotonic()
            _mend(pool, fault, number)
        bad = [each for each in callers.seen if each.ended_s > at_s and each.is_bad(SLOW_S)]
        last_s = max((min(each.ended_s, until_s) for each in bad), default=at_s)
        figures[f"{fault}_recovery_s"] = (
            round(last_s - at_s, 3) if last_s < until_s - QUIET_S else None
        )
        figures[f"{fault}_bad_requests"] = len(bad)
        figures[f"{fault}_requests"] = len(callers.seen)
        time.sleep(QUIET_S)
    return figures


def _provoke(pool: FaultyPool, fault: str, number: int) -> None:
    match fault:
        case "killed":
            pool.kill(number)
        case "frozen":
            pool.freeze(number)
        case "failing":
            pool.set_faults(number, fail_all=True)
        case "silent":
            pool.middleboxes[number].blackhole_connections()


def _mend(pool: FaultyPool, fault: str, number: int) -> None:
    match fault:
        case "killed":
            pool.restart(number)
        case "frozen":
            pool.thaw(number)
        case "failing":
            pool.set_faults(number, fail_all=False)

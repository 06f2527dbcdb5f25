"""A version removes a route and adds one with the same prefix: its jobs are said not to exist."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from case import VISIBLE_S, Case, NotRunError, configuration, run_case, worker_entry  # noqa: E402

LASTING = "00000000000000a1"
ENDING = "00000000000000a2"
CONFIG_APPLY_S = 2.0
CANCEL_S = 3.0
KILL_TIMEOUT_S = 0.2


def body(case: Case) -> list[str]:
    """Rename the route of two running jobs, ask for them, and cancel one."""
    case.start([worker_entry() for _ in range(2)], configuration())
    step: dict[str, Any] = {"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": 6000}
    if not case.submit(LASTING, [step | {"long_running": True}], cpu=1000):
        raise NotRunError("acceptance of the job that lasts")
    if not case.submit(ENDING, [step], run_s=6.0, cpu=1000):
        raise NotRunError("acceptance of the job that ends")
    time.sleep(2.0)
    if case.trouble:
        changed = configuration(2)
        changed["routes"][0]["name"] = "club-rosters"
        case.loop.call(case.store.put, "op/config", changed)
        case.log("version 2 is confirmed: one route less, one more with its host and prefix")
    time.sleep(CONFIG_APPLY_S + VISIBLE_S)
    broken = []
    for node in range(2):
        for job_id in (LASTING, ENDING):
            status, _ = case.call("GET", job_id, node=node)
            if status == 410:
                broken.append(f"GET {job_id} at node-{node}: 410")
    status, _ = case.call("DELETE", LASTING)
    cancelled_s = case.now_s()
    time.sleep(CANCEL_S + KILL_TIMEOUT_S + 1.0)
    running = sorted(
        task
        for worker in case.workers
        if worker.now is not None
        for task in worker.now.runs
        if task.startswith(LASTING)
    )
    case.log("after the DELETE", status=status, cancelled_s=cancelled_s, running=running)
    return broken


run_case(FOLDER, body)

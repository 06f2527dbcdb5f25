"""The only worker for a work item crashes three times; the job is shown as failed."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from case import Case, NotRunError, configuration, run_case, worker_entry  # noqa: E402

JOB = "00000000000000a1"
CRASHES = 3
DOWN_S = 1.5
RUN_S = 2.5


def body(case: Case) -> list[str]:
    """Crash the worker 1 s after each start, then let it run in peace."""
    workers = [worker_entry(8000, "gpu", "r1-1")]
    workers += [worker_entry(8000, "plain", f"r1-{2 + number // 2}") for number in range(6)]
    case.start(workers, configuration())
    worker = case.workers[0]
    phases = [
        {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 2500, "constraints": "gpu"}
    ]
    if not case.submit(JOB, phases, run_s=RUN_S, cpu=1000):
        raise NotRunError("acceptance of the job")
    for _ in range(CRASHES if case.trouble else 0):
        case.wait_for(lambda: worker.now is not None and bool(worker.now.runs), 20, "a start")
        time.sleep(1.0)
        case.loop.run(worker.crash())
        time.sleep(DOWN_S)
        case.loop.run(worker.boot())
    until_s = case.now_s() + 20
    states: list[str] = []
    while case.now_s() < until_s and (not states or states[-1] not in ("completed", "failed")):
        time.sleep(0.5)
        states.append(case.state(JOB))
    failed = case.found("run ends", how="failed")
    broken = []
    if states[-1] == "failed" and not failed:
        broken.append("the job is shown as failed, and no run of it has ended failed")
    return broken


run_case(FOLDER, body)

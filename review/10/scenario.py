"""Gangs that have no room yet are not counted as waiting."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from case import Case, NotRunError, configuration, run_case, worker_entry  # noqa: E402

BURST = 8
RUN_S = 9.0


def body(case: Case) -> list[str]:
    """Hand in large gangs at once, or one alone, and ask how many jobs wait."""
    case.start([worker_entry() for _ in range(2)], configuration())
    phases = [{"count": 3, "cpu": 4000, "mem_mb": 64, "estimate_ms": 9000, "gang": True}]
    accepted: dict[str, float] = {}
    for number in range(1, 1 + (BURST if case.trouble else 1)):
        job_id = f"{number:016x}"
        if not case.submit(job_id, phases, run_s=RUN_S, cpu=4000):
            raise NotRunError(f"acceptance of {job_id}")
        accepted[job_id] = case.now_s()
    time.sleep(6.0)
    return case.pending_faults(accepted)


run_case(FOLDER, body)

"""A write of the count of waiting jobs is done late, after newer ones."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from case import Case, NotRunError, configuration, run_case, worker_entry  # noqa: E402

LOST_S = 2.0
LATE_S = 5.0
ONE_OF = 3
CONTACT_S = 3.0
WAITING = 8


def body(case: Case) -> list[str]:
    """Let jobs wait for their tenant's upper bound, and ask how many wait."""
    case.start([worker_entry() for _ in range(2)], configuration(upper_bound={"cpu": 1000}))
    phases = [{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60000}]
    accepted: dict[str, float] = {}

    def submit(number: int) -> None:
        job_id = f"{number:016x}"
        if not case.submit(job_id, phases, run_s=90.0, cpu=1000):
            raise NotRunError(f"acceptance of {job_id}")
        accepted[job_id] = case.now_s()

    submit(1)
    time.sleep(2.0)
    if case.trouble:
        case.loop.call(_lose_answers, case)
    for number in range(2, 2 + WAITING):
        submit(number)
        time.sleep(0.25)
    time.sleep(LOST_S + LATE_S + CONTACT_S + 1.0)
    return case.pending_faults(accepted)


def _lose_answers(case: Case) -> None:
    """For a time, the first of three writes of each kind is done late and not answered."""
    until_s = case.now_s() + LOST_S
    seen: dict[str, int] = {}

    def late(body: dict[str, Any]) -> float | None:
        if case.now_s() >= until_s:
            return None
        kind = body["write"][0]["key"].split("/")[0] if body["write"] else "removal"
        number = seen[kind] = seen.get(kind, 0) + 1
        if number % ONE_OF != 1:
            return None
        case.log("write done late", kind=kind, late_s=LATE_S)
        return LATE_S

    case.store.late = late
    case.store.on_write = lambda key, value: (
        case.log("count written", value=value.decode()) if key == "pending" else None
    )


run_case(FOLDER, body)

"""A job whose progress outgrows a value of the store blocks the progress of other jobs."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import (  # noqa: E402
    CASE_DID_NOT_RUN,
    Node,
    configuration,
    route,
    run_case,
    run_with_nodes,
    submit,
    wait_completed,
)
from platform_standins import Needs, Record, Store, Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LARGE_ITEMS = 20_000
"""As many as the nodes accept."""
LARGE_JOB = f"/large/{'f' * 16}"
SMALL_JOBS = 6
FINISH_S = 14.0
"""Bound `finish_s` of the site file: from the end of the traffic until jobs are asked for."""
MORE_S = 30.0
"""Further time that is left to the jobs if there is a large one."""


def needs(task: str) -> Needs:
    """Return what a work item needs; those of the large job are small."""
    return Needs(2, 4, 3.0) if task.startswith("f") else Needs(3500, 7200, 1.0)


async def case() -> int:
    """Start everything and play the case."""
    record = Record("record.txt")
    store = Store(record)
    await store.start()
    routes = route("small", "roster"), route("large", "archive")
    await store.put("op/config", configuration(*routes))
    for service in ("roster", "archive"):
        for number in range(2):
            worker = Worker(record, store, f"{service}-{number}-dc-a", service, needs)
            await worker.start()
    return await run_with_nodes(record, 2, store.server.address, lambda nodes: play(record, nodes))


async def play(record: Record, nodes: list[Node]) -> int:
    """Hand a large job in, then small ones of another queue, and ask for all of them."""
    small = {"count": 4, "cpu": 3500, "mem_mb": 7200, "estimate_ms": 1000}
    large = {"count": LARGE_ITEMS, "cpu": 2, "mem_mb": 4, "estimate_ms": 3000}
    jobs = [(LARGE_JOB, large)] if TROUBLE else []
    jobs += [(f"/small/{number:016x}", small) for number in range(1, SMALL_JOBS + 1)]
    for path, phase in jobs:
        if not await submit(nodes, record, path, {"spec": "x", "phases": [phase]}):
            record.write("script: a job was not accepted")
            return CASE_DID_NOT_RUN
        await asyncio.sleep(2.0 if path == LARGE_JOB else 0.3)
    paths = [path for path, _ in jobs]
    lost = await wait_completed(nodes, record, paths, FINISH_S + MORE_S * TROUBLE)
    for path in lost:
        record.write(f"LOST: {path} was accepted and is not completed")
    record.write(f"script: {len(paths) - len(lost)} of {len(paths)} jobs are completed")
    return 1 if lost else 0


if __name__ == "__main__":
    run_case(case)

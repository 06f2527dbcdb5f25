"""A worker lists 500 ends at a time; more of them wait after an outage of the store."""

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
    wait_until,
)
from platform_standins import Needs, Record, Run, Store, Worker, find_twice  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 26
ITEMS = 24
"""Work items of a job; 624 in all fit on one worker of 64 cores."""
CPU = 100
MEM_MB = 100
RUN_S = 2.0
SPREAD_S = 1.5
OUTAGE_S = 4.5
"""Length of the entry `platform_down` in the site file."""
FINISH_S = 14.0
"""Bound `finish_s` of the site file."""


def needs(task: str) -> Needs:
    """Return what a work item needs; run times differ by work item."""
    job, _, _, number = task.split(".")
    spread = (int(job, 16) * 7 + int(number)) % 30 / 30
    return Needs(CPU, MEM_MB, RUN_S + SPREAD_S * spread)


async def case() -> int:
    """Start everything and play the case."""
    record = Record("record.txt")
    store = Store(record)
    await store.start()
    await store.put("op/config", configuration(route("q", "p")))
    workers = [Worker(record, store, f"w{number}", "p", needs) for number in range(2)]
    for worker in workers:
        await worker.start()
    return await run_with_nodes(
        record, 2, store.server.address, lambda nodes: play(record, store, workers, nodes)
    )


async def play(record: Record, store: Store, workers: list[Worker], nodes: list[Node]) -> int:
    """Let the store be down while work items end."""
    phase = {"count": ITEMS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": int(RUN_S * 1000)}
    body = {"spec": "x", "phases": [phase]}
    paths = [f"/q/{number:016x}" for number in range(1, JOBS + 1)]
    accepted = await asyncio.gather(*(submit(nodes, record, path, body) for path in paths))
    if not all(accepted):
        record.write("script: a job was not accepted")
        return CASE_DID_NOT_RUN
    if not await wait_until(lambda: len(all_runs(workers)) >= JOBS * ITEMS, 15.0):
        record.write("script: not all work items were started")
        return CASE_DID_NOT_RUN
    ended = sum(run.ended_s is not None for run in all_runs(workers))
    record.write(f"script: all {JOBS * ITEMS} work items were started, {ended} have ended")
    if TROUBLE:
        store.down = True
        record.write("store: down (503)")
        await asyncio.sleep(OUTAGE_S)
        store.down = False
        record.write("store: serves again")
    waiting = await wait_completed(nodes, record, paths, FINISH_S)
    await asyncio.sleep(2.0)
    runs = all_runs(workers)
    most = max(worker.ends_listed_most for worker in workers)
    record.write(
        f"script: {JOBS - len(waiting)} of {JOBS} jobs are completed; {len(runs)} runs of "
        f"{JOBS * ITEMS} work items; at most {most} ends waited at a worker"
    )
    if any(run.how == "lapsed" for run in runs):
        record.write("script: a lease has lapsed")
        return CASE_DID_NOT_RUN
    broken = find_twice(runs)
    for each in broken:
        record.write(f"TWICE: {each}")
    record.write(f"script: {len(broken)} work items ran twice")
    return 1 if broken else 0


def all_runs(workers: list[Worker]) -> list[Run]:
    """Return the runs of all workers."""
    return [run for worker in workers for run in worker.runs]


if __name__ == "__main__":
    run_case(case)

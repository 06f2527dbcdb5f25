"""One entry of another writer in the list of workers stops the schedule of the whole fleet."""

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
WORKERS = 4
JOBS = 6
FINISH_S = 14.0
"""Bound `finish_s` of the site file: from the end of the traffic until jobs are asked for."""
MORE_S = 10.0
HEARTBEAT_S = 1.5
OTHER_KEY = "servers/resolver-1"
OTHER_ENTRY = {
    "service": "resolver",
    "address": "127.0.0.1",
    "port": 5353,
    "zone": "dc-a",
    "version": "9",
    "state": "ready",
    "capacity": {"cpu": 2000, "mem_mb": 4096, "gpu": 0},
    "labels": ["resolver"],
    "sequence": 1,
}
"""An entry of another writer: its service is not named in the configuration, and it keeps the port
in a field of its own."""


def needs(_task: str) -> Needs:
    """Return what a work item needs."""
    return Needs(3500, 7200, 1.0)


async def case() -> int:
    """Start everything and play the case."""
    record = Record("record.txt")
    store = Store(record)
    await store.start()
    await store.put("op/config", configuration(route("q", "p")))
    workers = [Worker(record, store, f"w{number}", "p", needs) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    return await run_with_nodes(
        record, 3, store.server.address, lambda nodes: play(record, store, nodes)
    )


async def write_other_entry(store: Store) -> None:
    """Write the entry of another writer at the interval of heartbeats."""
    sequence = 0
    while True:
        sequence += 1
        await store.put(OTHER_KEY, OTHER_ENTRY | {"sequence": sequence})
        await asyncio.sleep(HEARTBEAT_S)


async def play(record: Record, store: Store, nodes: list[Node]) -> int:
    """Hand jobs in while another writer has an entry beside those of the workers."""
    phase = {"count": 4, "cpu": 3500, "mem_mb": 7200, "estimate_ms": 1000}
    body = {"spec": "x", "phases": [phase]}
    first = f"/q/{0:016x}"
    await submit(nodes, record, first, body)
    if await wait_completed(nodes, record, [first], FINISH_S):
        record.write("script: the first job was not completed")
        return CASE_DID_NOT_RUN
    writer: asyncio.Task[None] | None = None
    if TROUBLE:
        writer = asyncio.create_task(write_other_entry(store))
        record.write(f"store: {OTHER_KEY} is {OTHER_ENTRY}")
        await asyncio.sleep(1.0)
    paths = [f"/q/{number:016x}" for number in range(1, JOBS + 1)]
    for path in paths:
        if not await submit(nodes, record, path, body):
            record.write("script: a job was not accepted")
            return CASE_DID_NOT_RUN
    lost = await wait_completed(nodes, record, paths, FINISH_S + MORE_S)
    if writer is not None:
        writer.cancel()
    for path in lost:
        record.write(f"LOST: {path} was accepted and is not completed, with all workers idle")
    record.write(
        f"script: {JOBS - len(lost)} of {JOBS} jobs are completed; the ownership was claimed "
        f"{store.written('owner')} times"
    )
    return 1 if lost else 0


if __name__ == "__main__":
    run_case(case)

"""Added latency, throughput, processor time and memory of the request path on loopback."""

from __future__ import annotations

import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

import psutil

from toucandoor.core.keys import secret_digest
from toucandoor.measures._deployment import HTTP, LocalDeployment, free_address
from toucandoor.measures.result import Figures, MeasureResult

SECRET: Final = "secret-of-the-path-team"
WORKERS: Final = 6
SEQUENTIAL_REQUESTS: Final = 400
PARALLEL_REQUESTS: Final = 2000
CALLERS: Final = 16
ADDED_P99_MAX_S: Final = 1.3
MEMORY_MAX_BYTES: Final = 128 * 1024 * 1024


def run(seed: int) -> MeasureResult:
    """Measure one entry in front of six backend servers; the seed has no effect."""
    with TemporaryDirectory() as scratch:
        folder = Path(scratch)
        workers = [free_address() for _ in range(WORKERS)]
        (folder / "10-all.toml").write_text(_folder_text(workers))
        with LocalDeployment(folder, ["dc-1"]) as deployment:
            deployment.run_command("apply", str(folder))
            deployment.wait_ready()
            return _measure(deployment, workers, seed)


def _measure(deployment: LocalDeployment, workers: list[str], seed: int) -> MeasureResult:
    direct_s = [_time_direct_request(workers, n) for n in range(SEQUENTIAL_REQUESTS)]
    through_s = [_time_entry_request(deployment) for _ in range(SEQUENTIAL_REQUESTS)]
    entry = psutil.Process(deployment.processes["entry-1.entry"].process.pid)
    cpu_before_s = sum(entry.cpu_times()[:2])
    started_s = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(lambda _: _time_entry_request(deployment), range(PARALLEL_REQUESTS)))
    taken_s = time.monotonic() - started_s
    cpu_s = sum(entry.cpu_times()[:2]) - cpu_before_s
    direct, through = _percentiles_ms(direct_s), _percentiles_ms(through_s)
    added_p99_ms = through["p99_ms"] - direct["p99_ms"]
    memory = _memory_bytes(deployment)
    product: Figures = {
        "added_median_ms": round(through["median_ms"] - direct["median_ms"], 3),
        "added_p99_ms": round(added_p99_ms, 3),
        "requests_per_s": round(PARALLEL_REQUESTS / taken_s, 1),
        "entry_processor_ms_per_request": round(cpu_s / PARALLEL_REQUESTS * 1000, 3),
        **{f"{name}_memory_bytes": size for name, size in memory.items()},
        **{f"through_{name}": round(value, 3) for name, value in through.items()},
    }
    largest_memory_bytes = max(memory["entry"], memory["controller"])
    return MeasureResult(
        measure="path",
        seed=seed,
        parameters={
            "workers": WORKERS,
            "sequential_requests": SEQUENTIAL_REQUESTS,
            "parallel_requests": PARALLEL_REQUESTS,
            "callers": CALLERS,
        },
        product=product,
        baseline={f"direct_{name}": round(value, 3) for name, value in direct.items()},
        bound={
            "added_p99_max_ms": ADDED_P99_MAX_S * 1000,
            "program_memory_max_bytes": MEMORY_MAX_BYTES,
        },
        holds=added_p99_ms <= ADDED_P99_MAX_S * 1000 and largest_memory_bytes <= MEMORY_MAX_BYTES,
    )


def _time_direct_request(workers: list[str], number: int) -> float:
    started_s = time.monotonic()
    headers = {"X-Task-Id": f"direct-{number}", "X-Class": "urgent"}
    address = workers[number % WORKERS]
    answer = HTTP.request("POST", f"http://{address}/v1/tasks", body=b"direct", headers=headers)
    if answer.status != 200:
        raise RuntimeError(f"backend server answered {answer.status}")
    return time.monotonic() - started_s


def _time_entry_request(deployment: LocalDeployment) -> float:
    started_s = time.monotonic()
    answer = deployment.request("q", b"direct", key=SECRET)
    if answer.status != 200:
        raise RuntimeError(f"entry answered {answer.status}: {answer.data!r}")
    return time.monotonic() - started_s


def _percentiles_ms(seconds: list[float]) -> dict[str, float]:
    ranks = statistics.quantiles(seconds, n=100)
    return {"median_ms": ranks[49] * 1000, "p99_ms": ranks[98] * 1000}


def _memory_bytes(deployment: LocalDeployment) -> dict[str, int]:
    return {
        name.rpartition(".")[2]: psutil.Process(each.process.pid).memory_info().rss
        for name, each in deployment.processes.items()
    }


def _folder_text(workers: list[str]) -> str:
    lines = ['[data_centres.dc-1]\nregion = "r"', "[pools.p]\nunavailable_max = 1"]
    lines.append('[queues.q]\npool = "p"')
    lines.append(f'[teams.a]\nceiling_running = 64\nkeys.a-1.sha256 = "{secret_digest(SECRET)}"')
    for number, address in enumerate(workers):
        lines.append(
            f'[vms.w-{number}]\npool = "p"\ndata_centre = "dc-1"\nrack = "r"\n'
            f'address = "{address}"'
        )
    return "\n".join(lines) + "\n"

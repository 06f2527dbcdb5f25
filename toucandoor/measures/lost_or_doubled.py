"""Requests lost or run twice while backend servers, connections and entries fail."""

from __future__ import annotations

import json
import signal
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import Final

import urllib3

from toucandoor.measures._deployment import LocalDeployment
from toucandoor.measures._faulty_pool import SECRET, FaultyPool
from toucandoor.measures._simple_dispatcher import SimpleDispatcher
from toucandoor.measures.result import Figures, MeasureResult

WORKERS: Final = 6
CALLERS: Final = 24
LENGTH_S: Final = 30.0
REQUESTS_MAX: Final = 4000
RUN_MIN_S: Final = 0.02
RUN_MAX_S: Final = 0.3
FAULT_PERIOD_S: Final = 0.5
DEADLINE_S: Final = 15.0
ENTRY_AGE_MIN_S: Final = 1.2
"""Age of an entry from which new idempotency keys are younger than it, despite clock skew."""
ENTRIES: Final = 2
SUBMISSIONS_MAX: Final = 6
FINAL_ANSWER_MIN_SUBMISSIONS: Final = 3
"""Submissions after which a caller accepts "not run" or "unknown" as its final answer."""
FAULTS: Final = (
    "kill",
    "freeze",
    "silent",
    "torn",
    "crossed",
    "failing",
    "entry_killed",
    "entry_frozen",
)


@dataclass(frozen=True, slots=True)
class _CallerResult:
    result: str
    idempotent: bool
    status: int
    execution_status: str
    body: bytes


SendRequest = Callable[[str, bool, bytes], _CallerResult]


def run(seed: int) -> MeasureResult:
    """Send the same mix of requests under the same faults through two entries and the baseline."""
    with FaultyPool(WORKERS, subnet=1) as pool, pool.make_deployment(ENTRIES) as deployment:
        applied = deployment.run_command("apply", str(pool.folder))
        if applied.returncode != 0:
            raise RuntimeError(f"apply failed: {applied.stderr}")
        deployment.wait_ready()
        time.sleep(ENTRY_AGE_MIN_S)
        product = _measure(pool, seed, "product", _make_entry_sender(deployment), deployment)
    with FaultyPool(WORKERS, subnet=2) as pool:
        simple = SimpleDispatcher(pool.middlebox_addresses)

        def send_to_baseline(result: str, idempotent: bool, body: bytes) -> _CallerResult:
            status, data = simple.send_request(body)
            return _CallerResult(
                result, idempotent, status, "" if status == 200 else "not_run", data
            )

        baseline = _measure(pool, seed, "baseline", send_to_baseline, None)
    return MeasureResult(
        measure="lost_or_doubled",
        seed=seed,
        parameters={
            "servers": WORKERS,
            "entries": ENTRIES,
            "callers": CALLERS,
            "length_s": LENGTH_S,
            "fault_period_s": FAULT_PERIOD_S,
            "fault_kinds": ",".join(FAULTS),
        },
        product=product,
        baseline=baseline,
        bound={"lost": 0, "doubled": 0},
        holds=product["lost"] == 0 and product["doubled"] == 0,
    )


def _make_entry_sender(deployment: LocalDeployment) -> SendRequest:
    """Return a function that repeats a request through the other entry until its end is known."""

    def send(result: str, idempotent: bool, body: bytes) -> _CallerResult:
        headers = {
            "Toucandoor-Idempotent": "true" if idempotent else "false",
            "Toucandoor-Deadline-S": str(DEADLINE_S),
            "Idempotency-Key": _new_idempotency_key(),
        }
        execution_statuses: list[str] = []
        for turn in range(SUBMISSIONS_MAX):
            entry = (hash(result) + turn) % ENTRIES
            status, execution_status, data = _submit(deployment, entry, body, headers)
            if status == 200 or execution_status == "failed":
                return _CallerResult(result, idempotent, status, execution_status, data)
            execution_statuses.append(execution_status)
            if (
                execution_status in ("not_run", "unknown")
                and len(execution_statuses) >= FINAL_ANSWER_MIN_SUBMISSIONS
            ):
                break
            time.sleep(0.1)
        return _CallerResult(
            result, idempotent, status, _combined_execution_status(execution_statuses), b""
        )

    return send


def _combined_execution_status(execution_statuses: list[str]) -> str:
    """Return what a caller knows about its request after the last submission.

    "Not run" holds for its own submission only. If an earlier one ended as unknown, the request
    stays unknown; if an earlier one got no answer, it is unsettled.
    """
    sent = [each for each in execution_statuses if each != "not_sent"] or ["none"]
    if "unknown" in sent:
        return "unknown"
    if sent[-1] == "not_run" and "none" in sent:
        return "unsettled"
    return sent[-1]


def _submit(
    deployment: LocalDeployment, entry: int, body: bytes, headers: dict[str, str]
) -> tuple[int, str, bytes]:
    try:
        answer = deployment.request("q", body, key=SECRET, headers=headers, entry=entry)
    except urllib3.exceptions.NewConnectionError:
        # Nothing was submitted; a load balancer would take this entry out of service.
        return 0, "not_sent", b""
    except urllib3.exceptions.HTTPError:
        return 0, "none", b""
    execution_status = "" if answer.status == 200 else json.loads(answer.data)["fate"]
    return answer.status, execution_status, answer.data


def _new_idempotency_key() -> str:
    """Return a version 7 UUID."""
    random = uuid.uuid4().int & ((1 << 62) - 1)
    return str(uuid.UUID(int=(int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | random))


def _measure(
    pool: FaultyPool, seed: int, name: str, send: SendRequest, deployment: LocalDeployment | None
) -> Figures:
    until_s = time.monotonic() + LENGTH_S
    counts: Counter[str] = Counter()
    faults = threading.Thread(target=_inject_faults, args=(pool, seed, until_s, counts, deployment))
    faults.start()

    def call(caller: int) -> list[_CallerResult]:
        return _run_caller(Random(seed * 1000 + caller), f"{name}-{caller}", until_s, send)

    with ThreadPoolExecutor(CALLERS) as callers:
        sent = [each for part in callers.map(call, range(CALLERS)) for each in part]
    faults.join()
    time.sleep(1.0)
    return _count_violations(sent, pool.run_counts()) | {
        "faults": sum(counts.values()),
        **{f"faults_{kind}": counts[kind] for kind in FAULTS},
    }


def _run_caller(
    random: Random, name: str, until_s: float, send: SendRequest
) -> list[_CallerResult]:
    sent: list[_CallerResult] = []
    while time.monotonic() < until_s and len(sent) < REQUESTS_MAX // CALLERS:
        result = f"{name}-{len(sent)}"
        run_s = random.uniform(RUN_MIN_S, RUN_MAX_S)
        body = json.dumps({"run_s": run_s, "result": result}).encode()
        sent.append(send(result, random.random() < 0.5, body))
    return sent


def _inject_faults(
    pool: FaultyPool,
    seed: int,
    until_s: float,
    counts: Counter[str],
    deployment: LocalDeployment | None,
) -> None:
    random = Random(seed)
    kinds: list[str] = []
    while time.monotonic() < until_s - FAULT_PERIOD_S:
        kinds = kinds or random.sample(FAULTS, len(FAULTS))
        kind, number = kinds.pop(), random.randrange(WORKERS)
        if deployment is None and kind.startswith("entry"):
            continue
        counts[kind] += 1
        match kind:
            case "kill":
                pool.kill(number)
                time.sleep(0.5)
                pool.restart(number)
            case "freeze":
                pool.freeze(number)
                time.sleep(3.0)
                pool.resume(number)
            case "entry_killed" if deployment is not None:
                entry = deployment.processes[f"entry-{number % ENTRIES + 1}.entry"]
                entry.send_signal(signal.SIGKILL)
                entry.process.wait()
                entry.start()
                deployment.wait_ready()
            case "entry_frozen" if deployment is not None:
                entry = deployment.processes[f"entry-{number % ENTRIES + 1}.entry"]
                entry.send_signal(signal.SIGSTOP)
                time.sleep(3.0)
                entry.send_signal(signal.SIGCONT)
            case "silent":
                pool.middleboxes[number].blackhole_connections()
            case "torn":
                pool.middleboxes[number].truncate_answers(5)
            case "crossed":
                pool.set_worker_faults(number, cross_answers=True)
                time.sleep(FAULT_PERIOD_S)
                pool.set_worker_faults(number, cross_answers=False)
            case "failing":
                pool.set_worker_faults(number, fail_all=True)
                time.sleep(FAULT_PERIOD_S)
                pool.set_worker_faults(number, fail_all=False)
        time.sleep(FAULT_PERIOD_S)


def _count_violations(sent: list[_CallerResult], runs: Counter[str]) -> Figures:
    """Count lost and doubled requests by comparing answers with the runs log of the servers."""
    wrong = [s for s in sent if s.status == 200 and s.body != _answer_of(s.result)]
    untrue = [s for s in sent if s.execution_status == "not_run" and runs[s.result] > 0]
    unanswered = [s for s in sent if s.execution_status == "none"]
    doubled = [s for s in sent if not s.idempotent and runs[s.result] > 1]
    return {
        "requests": len(sent),
        "lost": len(wrong) + len(untrue) + len(unanswered),
        "doubled": len(doubled),
        "wrong_answers": len(wrong),
        "untrue_not_run": len(untrue),
        "unanswered": len(unanswered),
        "answered": sum(s.status == 200 for s in sent),
        "not_run": sum(s.execution_status == "not_run" for s in sent),
        "unknown": sum(s.execution_status == "unknown" for s in sent),
        "unsettled": sum(s.execution_status == "unsettled" for s in sent),
        "failed": sum(s.execution_status == "failed" for s in sent),
    }


def _answer_of(result: str) -> bytes:
    return json.dumps({"result": result}).encode()

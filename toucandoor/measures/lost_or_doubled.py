"""Requests lost or doubled while backend servers and connections fail."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from typing import Final

import urllib3

from toucandoor.measures._faulty_pool import SECRET, FaultyPool
from toucandoor.measures._simple_dispatcher import SimpleDispatcher
from toucandoor.measures.result import Figures, MeasureResult

SERVERS: Final = 6
CALLERS: Final = 24
LENGTH_S: Final = 25.0
REQUESTS_MAX: Final = 4000
RUN_MIN_S: Final = 0.02
RUN_MAX_S: Final = 0.3
FAULT_PERIOD_S: Final = 0.5
DEADLINE_S: Final = 15.0
FAULTS: Final = ("kill", "freeze", "silent", "torn", "crossed", "failing")


@dataclass(frozen=True, slots=True)
class _Sent:
    result: str
    idempotent: bool
    status: int
    fate: str
    body: bytes


Send = Callable[[str, bool, bytes], _Sent]


def run(seed: int) -> MeasureResult:
    """Run the same mix of requests and faults through an entry and through the baseline."""
    with FaultyPool(SERVERS, subnet=1) as pool, pool.deploy() as deployment:
        applied = deployment.operate("apply", str(pool.folder))
        if applied.returncode != 0:
            raise RuntimeError(f"apply failed: {applied.stderr}")
        deployment.wait_ready()

        def through_entry(result: str, idempotent: bool, body: bytes) -> _Sent:
            headers = {
                "Toucandoor-Idempotent": "true" if idempotent else "false",
                "Toucandoor-Deadline-S": str(DEADLINE_S),
            }
            try:
                answer = deployment.request("q", body, key=SECRET, headers=headers)
            except urllib3.exceptions.HTTPError as err:
                return _Sent(result, idempotent, 0, f"none: {err}", b"")
            fate = "" if answer.status == 200 else json.loads(answer.data)["fate"]
            return _Sent(result, idempotent, answer.status, fate, answer.data)

        product = _measure(pool, seed, "product", through_entry)
    with FaultyPool(SERVERS, subnet=2) as pool:
        simple = SimpleDispatcher(pool.addresses)

        def plainly(result: str, idempotent: bool, body: bytes) -> _Sent:
            status, data = simple.request(body)
            return _Sent(result, idempotent, status, "" if status == 200 else "not_run", data)

        baseline = _measure(pool, seed, "baseline", plainly)
    return MeasureResult(
        measure="lost_or_doubled",
        seed=seed,
        parameters={
            "servers": SERVERS,
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


def _measure(pool: FaultyPool, seed: int, name: str, send: Send) -> Figures:
    until_s = time.monotonic() + LENGTH_S
    counts: Counter[str] = Counter()
    faults = threading.Thread(target=_provoke, args=(pool, seed, until_s, counts))
    faults.start()

    def call(caller: int) -> list[_Sent]:
        return _call(Random(seed * 1000 + caller), f"{name}-{caller}", until_s, send)

    with ThreadPoolExecutor(CALLERS) as callers:
        sent = [each for part in callers.map(call, range(CALLERS)) for each in part]
    faults.join()
    time.sleep(1.0)
    return _judge(sent, pool.runs()) | {
        "faults": sum(counts.values()),
        **{f"faults_{kind}": counts[kind] for kind in FAULTS},
    }


def _call(random: Random, name: str, until_s: float, send: Send) -> list[_Sent]:
    sent: list[_Sent] = []
    while time.monotonic() < until_s and len(sent) < REQUESTS_MAX // CALLERS:
        result = f"{name}-{len(sent)}"
        run_s = random.uniform(RUN_MIN_S, RUN_MAX_S)
        body = json.dumps({"run_s": run_s, "result": result}).encode()
        sent.append(send(result, random.random() < 0.5, body))
    return sent


def _provoke(pool: FaultyPool, seed: int, until_s: float, counts: Counter[str]) -> None:
    random = Random(seed)
    kinds: list[str] = []
    while time.monotonic() < until_s - FAULT_PERIOD_S:
        kinds = kinds or random.sample(FAULTS, len(FAULTS))
        kind, number = kinds.pop(), random.randrange(SERVERS)
        counts[kind] += 1
        match kind:
            case "kill":
                pool.kill(number)
                time.sleep(0.5)
                pool.start(number)
            case "freeze":
                pool.freeze(number)
                time.sleep(3.0)
                pool.thaw(number)
            case "silent":
                pool.middleboxes[number].go_silent()
            case "torn":
                pool.middleboxes[number].tear(5)
            case "crossed":
                pool.set_faults(number, cross_answers=True)
                time.sleep(FAULT_PERIOD_S)
                pool.set_faults(number, cross_answers=False)
            case "failing":
                pool.set_faults(number, fail_all=True)
                time.sleep(FAULT_PERIOD_S)
                pool.set_faults(number, fail_all=False)
        time.sleep(FAULT_PERIOD_S)


def _judge(sent: list[_Sent], runs: Counter[str]) -> Figures:
    """Count broken promises; a run in the log is the truth."""
    wrong = [s for s in sent if s.status == 200 and s.body != _answer_of(s.result)]
    untrue = [s for s in sent if s.fate == "not_run" and runs[s.result] > 0]
    unanswered = [s for s in sent if s.status == 0]
    doubled = [s for s in sent if not s.idempotent and runs[s.result] > 1]
    return {
        "requests": len(sent),
        "lost": len(wrong) + len(untrue) + len(unanswered),
        "doubled": len(doubled),
        "wrong_answers": len(wrong),
        "untrue_not_run": len(untrue),
        "unanswered": len(unanswered),
        "answered": sum(s.status == 200 for s in sent),
        "not_run": sum(s.fate == "not_run" for s in sent),
        "unknown": sum(s.fate == "unknown" for s in sent),
        "failed": sum(s.fate == "failed" for s in sent),
    }


def _answer_of(result: str) -> bytes:
    return json.dumps({"result": result}).encode()

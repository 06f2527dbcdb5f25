"""Requests lost or doubled while backend servers, connections and entries fail."""

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

SERVERS: Final = 6
CALLERS: Final = 24
LENGTH_S: Final = 30.0
REQUESTS_MAX: Final = 4000
RUN_MIN_S: Final = 0.02
RUN_MAX_S: Final = 0.3
FAULT_PERIOD_S: Final = 0.5
DEADLINE_S: Final = 15.0
KEY_SKEW_S: Final = 1.2
"""Time after which new keys are surely younger than the entries."""
ENTRIES: Final = 2
SUBMISSIONS_MAX: Final = 6
SUBMISSIONS_ANSWERED: Final = 3
"""Submissions after which a caller takes an answer for its last."""
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
class _Sent:
    result: str
    idempotent: bool
    status: int
    fate: str
    body: bytes


Send = Callable[[str, bool, bytes], _Sent]


def run(seed: int) -> MeasureResult:
    """Run the same mix of requests and faults through two entries and through the baseline."""
    with FaultyPool(SERVERS, subnet=1) as pool, pool.deploy(ENTRIES) as deployment:
        applied = deployment.operate("apply", str(pool.folder))
        if applied.returncode != 0:
            raise RuntimeError(f"apply failed: {applied.stderr}")
        deployment.wait_ready()
        time.sleep(KEY_SKEW_S)
        product = _measure(pool, seed, "product", _through_entries(deployment), deployment)
    with FaultyPool(SERVERS, subnet=2) as pool:
        simple = SimpleDispatcher(pool.addresses)

        def plainly(result: str, idempotent: bool, body: bytes) -> _Sent:
            status, data = simple.request(body)
            return _Sent(result, idempotent, status, "" if status == 200 else "not_run", data)

        baseline = _measure(pool, seed, "baseline", plainly, None)
    return MeasureResult(
        measure="lost_or_doubled",
        seed=seed,
        parameters={
            "servers": SERVERS,
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


def _through_entries(deployment: LocalDeployment) -> Send:
    """Return a caller that repeats through the other entry what was not answered for good."""

    def send(result: str, idempotent: bool, body: bytes) -> _Sent:
        headers = {
            "Toucandoor-Idempotent": "true" if idempotent else "false",
            "Toucandoor-Deadline-S": str(DEADLINE_S),
            "Idempotency-Key": _new_key(),
        }
        fates: list[str] = []
        for turn in range(SUBMISSIONS_MAX):
            entry = (hash(result) + turn) % ENTRIES
            status, fate, data = _submit(deployment, entry, body, headers)
            if status == 200 or fate == "failed":
                return _Sent(result, idempotent, status, fate, data)
            fates.append(fate)
            if fate in ("not_run", "unknown") and len(fates) >= SUBMISSIONS_ANSWERED:
                break
            time.sleep(0.1)
        return _Sent(result, idempotent, status, _settle(fates), b"")

    return send


def _settle(fates: list[str]) -> str:
    """Return what a caller knows after its last submission.

    A later "not run" speaks of that submission alone: one that ended unknown stays unknown, and
    one that an entry died with is unsettled.
    """
    sent = [fate for fate in fates if fate != "not_sent"] or ["none"]
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
        # Nothing was submitted: the balancer takes such an entry out.
        return 0, "not_sent", b""
    except urllib3.exceptions.HTTPError:
        return 0, "none", b""
    fate = "" if answer.status == 200 else json.loads(answer.data)["fate"]
    return answer.status, fate, answer.data


def _new_key() -> str:
    """Return a version 7 UUID."""
    random = uuid.uuid4().int & ((1 << 62) - 1)
    return str(uuid.UUID(int=(int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | random))


def _measure(
    pool: FaultyPool, seed: int, name: str, send: Send, deployment: LocalDeployment | None
) -> Figures:
    until_s = time.monotonic() + LENGTH_S
    counts: Counter[str] = Counter()
    faults = threading.Thread(target=_provoke, args=(pool, seed, until_s, counts, deployment))
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


def _provoke(
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
        kind, number = kinds.pop(), random.randrange(SERVERS)
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
                pool.thaw(number)
            case "entry_killed" if deployment is not None:
                entry = deployment.processes[f"entry-{number % ENTRIES + 1}.entry"]
                entry.send(signal.SIGKILL)
                entry.process.wait()
                entry.start()
                deployment.wait_ready()
            case "entry_frozen" if deployment is not None:
                entry = deployment.processes[f"entry-{number % ENTRIES + 1}.entry"]
                entry.send(signal.SIGSTOP)
                time.sleep(3.0)
                entry.send(signal.SIGCONT)
            case "silent":
                pool.middleboxes[number].blackhole_connections()
            case "torn":
                pool.middleboxes[number].truncate_answers(5)
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
    unanswered = [s for s in sent if s.fate == "none"]
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
        "unsettled": sum(s.fate == "unsettled" for s in sent),
        "failed": sum(s.fate == "failed" for s in sent),
    }


def _answer_of(result: str) -> bytes:
    return json.dumps({"result": result}).encode()

"""Two backend servers hang for a while; one of them reports draining meanwhile."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from standins3 import call, run  # noqa: E402

KEEPER, JOB = "00000000000000c1", "00000000000000c2"
HANG_S = 4.0
DRAIN_AFTER_S = 0.8
DRAIN_MS = 2000
SERVERS = 22
QUEUE = {"name": "q", "service": "s1", "host": "q.example", "prefix": "/q/", "max_attempts": 3}
TENANTS = [{"name": "team-a", "api_keys": ["key-a"], "weight": 10}]


def case(setting):
    """Play the case; return how the rule was broken, empty if it held."""
    record = setting.record
    # As on whistleline-sched, four servers a rack; the last two have a rack of their own.
    for number in range(SERVERS):
        setting.add_worker(
            f"w{number:02}",
            "s1",
            f"r{number // 4}",
            16000,
            lambda task: 60.0 if task.startswith(KEEPER) else 4.0,
        )
    rack = setting.workers[-2:]
    leaving = rack[:1]
    setting.configure(1, [QUEUE], TENANTS)
    node = setting.add_node()
    node.wait_ready()
    spread = {"count": SERVERS, "cpu": 1000, "mem_mb": 64, "anti_affinity": 1}
    body = {"spec": "x", "phases": [spread | {"estimate_ms": 60000}]}
    assert call(record, node, "POST", f"/q/{KEEPER}", body)[0] == 200
    until_s = time.monotonic() + 6
    while sum(len(each.starts) for each in setting.workers) < SERVERS:
        assert time.monotonic() < until_s, "the first job did not start"
        time.sleep(0.05)
    time.sleep(2.0)
    if setting.trouble:
        for each in rack:
            each.hung = True
        record.add("the servers of the last rack hang")
    hung_s = record.now_s()
    body = {"spec": "y", "phases": [spread | {"estimate_ms": 4000}]}
    assert call(record, node, "POST", f"/q/{JOB}", body)[0] == 200
    time.sleep(DRAIN_AFTER_S)
    confirmed_s = {}
    for each in leaving:
        confirmed_s[each.name] = each.drain(DRAIN_MS)
        record.add("server", each.name, "reports draining; confirmed")
    time.sleep(max(0.0, hung_s + HANG_S - record.now_s()))
    if setting.trouble:
        for each in rack:
            each.hung = False
        record.add("the servers of the last rack answer again")
    time.sleep(2.5)
    for each in leaving:
        each.leave()
    time.sleep(0.3)
    late = [
        f"{task}#{attempt} on {each.name} {at_s - confirmed_s[each.name]:.2f} s after"
        for each in leaving
        for at_s, task, attempt in each.starts
        if at_s - confirmed_s[each.name] > DRAIN_MS / 1000
    ]
    time.sleep(5.0)
    call(record, node, "GET", f"/q/{JOB}")
    if late:
        return "DRAIN: started after the report was confirmed: " + "; ".join(late)
    return ""


run(HERE, case)

"""Gangs come at once and wait for room; the count of waiting jobs leaves them out."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
from standins3 import call, run  # noqa: E402

VISIBLE_S = 3.0
OLD_S = 2.0
WORK_S = 25.0
AT_ONCE = 7
QUEUE = {"name": "q", "service": "s1", "host": "q.example", "prefix": "/q/", "max_attempts": 2}
TENANTS = [{"name": "team-a", "api_keys": ["key-a"], "weight": 10}]


def case(setting):
    """Play the case; return how the rule was broken, empty if it held."""
    record = setting.record
    for number in range(2):
        setting.add_worker(f"w{number}", "s1", f"r{number}", 64000, lambda task: WORK_S)
    setting.configure(1, [QUEUE], TENANTS)
    nodes = [setting.add_node(), setting.add_node()]
    for node in nodes:
        node.wait_ready()
    gang = {"count": 3, "cpu": 30000, "mem_mb": 64, "estimate_ms": 25000, "gang": True}
    jobs = [f"{number:016x}" for number in range(1, 2 + (AT_ONCE if setting.trouble else 0))]
    for each in setting.workers:
        each.needs = {f"{job}.0": 30000 for job in jobs}
    for job in jobs:
        body = {"spec": "x", "phases": [gang]}
        assert call(record, nodes[0], "POST", f"/q/{job}", body)[0] == 200
        time.sleep(0.4)
    time.sleep(VISIBLE_S + OLD_S + 0.5)
    wrong = []
    for node in [*nodes, *nodes]:
        begun = {start[1].split(".")[0] for each in setting.workers for start in each.starts}
        waiting = len(set(jobs) - begun)
        status, answer = call(record, node, "GET", "/q/")
        assert status == 200
        record.add("jobs accepted over 5 s ago that have not begun:", waiting, "answer:", answer)
        if 2 * answer["pending"] < waiting:
            wrong.append(f"{answer['pending']} where {waiting} wait")
        time.sleep(1.0)
    return f"MIXED: pending is {', '.join(wrong)}" if wrong else ""


run(HERE, case)

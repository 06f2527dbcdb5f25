"""Evacuation of a data centre with real nodes, and stand-ins of the store and servers."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING
from uuid import uuid4

import urllib3

from toucandoor.clock import BootClock
from toucandoor.core.jobs.models import Resources, TaskKey
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import DataCentreId, PoolId, WorkerId
from toucandoor.measures._deployment import free_address
from toucandoor.platform.fakes.servers import FakeBackendServers
from toucandoor.platform.fakes.store import FakePlatformStore
from toucandoor.platform.settings import SETTINGS_FILE_VARIABLE

if TYPE_CHECKING:
    from collections.abc import Callable

EVACUATE_S = 5.0
NEEDS = Resources(1000, 100)
SERVERS = 3
"""Backend servers of each data centre; each runs two tasks at once."""
HTTP = urllib3.PoolManager(retries=False, timeout=3.0)
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "q", "service": "p", "prefix": "/q/", "public": True}],
    "services": [{"name": "p"}],
}
JOB = {"spec": "x", "phases": [{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 400}]}


def behave(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of a task that succeeds after 0.4 s."""
    return TaskBehaviour(NEEDS, 0.4)


def is_ready(address: str) -> bool:
    """Return whether a node's readiness check succeeds."""
    try:
        return bool(HTTP.request("GET", f"http://{address}/").status == 200)
    except urllib3.exceptions.HTTPError:
        return False


class EvacuationTest(unittest.TestCase):
    """Two data centres with a node and three backend servers each."""

    def setUp(self) -> None:
        self.clock = BootClock()
        self.store_address = free_address()
        self.store = FakePlatformStore(self.store_address, self.clock)
        self.addCleanup(self.store.stop)
        self.store.put("op/config", CONFIGURATION)
        self.workers = FakeBackendServers(self.clock, behave)
        self.addCleanup(self.workers.stop)
        for centre in ("a", "b"):
            for number in range(SERVERS):
                entry = WorkerEntry(
                    WorkerId(f"{centre}{number}"),
                    PoolId("p"),
                    free_address(),
                    DataCentreId(centre),
                    Resources(2000, 4000),
                    ("kind", f"rack-{centre}"),
                    False,
                    int(time.time() * 1000),
                )
                self.workers.boot(entry, self.store)
        self.scratch = Path(self.enterContext(TemporaryDirectory()))
        self.callers = [self.start_node(centre) for centre in ("a", "b")]
        self.jobs: list[str] = []

    def start_node(self, centre: str) -> str:
        """Start a node and wait until it is ready; return its address for callers."""
        caller, ready, peers, metrics = (free_address() for _ in range(4))
        host = peers.split(":")[0]
        ports = [int(each.split(":")[1]) for each in (peers, metrics)]
        path = self.scratch / f"{centre}.toml"
        path.write_text(
            f'node_name = "node-{centre}"\nzone = "{centre}"\nip = "{host}"\nport_range = {ports}\n'
            f'[bind_addresses]\nfrontend = "{caller}"\nready = "{ready}"\n'
            f"[limits]\nmemory_mb = 300\n[bounds]\nevacuate_ms = {EVACUATE_S * 1000}\n"
            f'[platform]\naddress = "{self.store_address}"\n'
            f'[cloud_api]\naddress = "{self.store_address}"\n'
        )
        log = self.enterContext((self.scratch / f"{centre}.log").open("w"))
        node = subprocess.Popen(
            [sys.executable, "-m", "toucandoor.programs.node"],
            env=os.environ | {SETTINGS_FILE_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
        self.addCleanup(node.wait)
        self.addCleanup(node.kill)
        self.wait_until(lambda: is_ready(ready), f"node {centre} is ready")
        return caller

    def wait_until(self, reached: Callable[[], bool], what: str) -> None:
        """Wait for a condition for at most 20 s."""
        until_s = time.monotonic() + 20
        while not reached():
            self.assertLess(time.monotonic(), until_s, f"not within 20 s: {what}")
            time.sleep(0.1)

    def submit(self, count: int) -> None:
        """Submit jobs to the nodes in turn."""
        for _ in range(count):
            job_id = f"{len(self.jobs):016x}"
            caller = self.callers[len(self.jobs) % 2]
            answer = HTTP.request("POST", f"http://{caller}/q/{job_id}", json=JOB)
            self.assertEqual(answer.status, 200, answer.data)
            self.jobs.append(job_id)

    def is_refused(self) -> bool:
        """Return whether both nodes refuse a job because no data centre may run it."""
        # A job that is stored already is accepted again, so each has a new id.
        urls = [f"http://{caller}/q/{uuid4().hex[:16]}" for caller in self.callers]
        answers = [HTTP.request("POST", url, json=JOB) for url in urls]
        return all(each.status == 503 and b"evacuated" in each.data for each in answers)

    def submit_for(self, seconds: float) -> None:
        """Submit jobs for all servers at once, each second."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self.submit(2 * SERVERS)
            time.sleep(1.0)

    def starts(self, centre: str) -> list[float]:
        """Return the times of all starts on the servers of a data centre."""
        started = list(self.workers.observations.started)
        return [at_s for at_s, entry in started if entry.data_centre == centre]

    def logs(self) -> str:
        """Return the last log lines of both nodes."""
        logs = [(self.scratch / f"{centre}.log").read_text() for centre in ("a", "b")]
        return "\n\n".join(log[-6000:] for log in logs)

    def open_jobs(self) -> list[str]:
        """Return the jobs that are not completed."""
        url = f"http://{self.callers[1]}/q/"
        answers = {each: HTTP.request("GET", url + each).json() for each in self.jobs}
        return [each for each, answer in answers.items() if answer.get("state") != "completed"]

    def test_no_start_after_the_bound_until_the_record_is_removed(self) -> None:
        """Guards against nodes that miss the record, or its removal, in the platform's store.

        The request follows within 4 s of the start of node a, which read its own record alone then
        and refused submissions as if no other data centre existed.
        """
        self.submit(10 * SERVERS)  # so that tasks wait when the request is made
        self.wait_until(lambda: bool(self.starts("a") and self.starts("b")), "both are used")
        self.store.put("op/evacuate/a", {})
        confirmed_s = self.clock.monotonic_s()
        self.submit_for(EVACUATE_S + 2.0)
        last_s = max(self.starts("a")) - confirmed_s
        self.assertLess(last_s, EVACUATE_S)
        elsewhere = [at_s for at_s in self.starts("b") if at_s > confirmed_s + EVACUATE_S]
        self.assertGreater(len(elsewhere), 0, self.logs())
        self.wait_until(lambda: not self.open_jobs(), "all jobs are completed")
        self.assertEqual(max(self.starts("a")), last_s + confirmed_s)
        removed_s = self.clock.monotonic_s()
        self.store.remove("op/evacuate/a")
        self.submit_for(1.0)
        self.wait_until(lambda: max(self.starts("a")) > removed_s, "a is used again")
        self.assertEqual(self.workers.observations.violations, [])
        for centre in ("a", "b"):
            self.store.put(f"op/evacuate/{centre}", {})
        self.wait_until(self.is_refused, "submissions are refused, as both are evacuated")


if __name__ == "__main__":
    unittest.main()

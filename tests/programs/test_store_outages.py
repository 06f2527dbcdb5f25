"""Two processes of the node program while the store refuses, is silent, or resets connections."""

from __future__ import annotations

import json
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from toucandoor.clock import SystemClock
from toucandoor.core.jobs.models import Resources
from toucandoor.core.jobs.records import job_key, progress_key
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import DataCentreId, PoolId, WorkerId
from toucandoor.measures._deployment import HTTP, LocalProcess, free_address, stop_processes
from toucandoor.platform.fakes.servers import FakeBackendServers
from toucandoor.platform.fakes.store import FakePlatformStore, Outage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

CAPACITY = Resources(64_000, 64_000, 0)
NEEDS = Resources(100, 10, 0)
BODY = {"spec": "x", "phases": [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100}]}
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "q", "prefix": "/q/", "service": "p", "public": True, "max_attempts": 3}],
    "services": [{"name": "p"}],
}
SETTINGS = """
node_name = "{name}"
zone = "dc"
ip = "{ip}"
port_range = [{first}, {last}]
[bind_addresses]
frontend = "{callers}"
ready = "{ready}"
[limits]
memory_mb = 300
[platform]
address = "{store}"
"""
OUTAGE_S = 3.0
WITHIN_S = 30.0
"""Time-out of a condition, for a busy machine; the test goes on once it holds."""
NOT_RUN = "the store does not take it; it has not run"


class StoreOutagesTest(unittest.TestCase):
    """Callers submit jobs all the time."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        clock = SystemClock()
        address = free_address()
        self.store = FakePlatformStore(address, clock)
        self.addCleanup(self.store.stop)
        self.store.put("op/config", CONFIGURATION)
        self.workers = FakeBackendServers(clock, lambda *_: TaskBehaviour(NEEDS, 0.1))
        self.addCleanup(self.workers.stop)
        worker_id, data_centre = WorkerId("w"), DataCentreId("dc")
        entry = WorkerEntry(
            worker_id, PoolId("p"), free_address(), data_centre, CAPACITY, ("a", "r"), False, 1
        )
        self.workers.boot(entry, self.store)
        self.numbers = count(1)
        self.callers: list[str] = []
        self.ready: list[str] = []
        processes = [self.node(Path(folder.name), number, address) for number in range(2)]
        self.addCleanup(stop_processes, processes)
        for process in processes:
            process.start()
        for ready in self.ready:
            self.wait_until(lambda ready=ready: self.is_ready(ready), "a node is not ready")

    def node(self, folder: Path, number: int, store: str) -> LocalProcess:
        callers, ready, first, last = (free_address() for _ in range(4))
        self.callers.append(callers)
        self.ready.append(ready)
        ip, first_port = first.split(":")
        text = SETTINGS.format(
            name=f"n{number}",
            ip=ip,
            first=first_port,
            last=last.split(":")[1],
            callers=callers,
            ready=ready,
            store=store,
        )
        path = folder / f"n{number}.toml"
        path.write_text(text)
        command = [sys.executable, "-m", "toucandoor.programs.node"]
        environment = {"TOUCANDOOR_NODE_FILE": str(path)}
        return LocalProcess(f"n{number}", command, environment, folder / f"n{number}.log")

    def wait_until(self, condition: Callable[[], bool], failure: str) -> None:
        until_s = time.monotonic() + WITHIN_S
        while not condition():
            self.assertLess(time.monotonic(), until_s, failure)
            time.sleep(0.05)

    def is_ready(self, address: str) -> bool:
        try:
            return HTTP.request("GET", f"http://{address}/").status == 200
        except HTTPError:
            return False

    def submit(self) -> tuple[str, int, str]:
        """Submit a job to one node; return its id, and the status and reason of the answer."""
        number = next(self.numbers)
        job_id = f"{number:016x}"
        url = f"http://{self.callers[number % 2]}/q/{job_id}"
        answer = HTTP.request("POST", url, body=json.dumps(BODY))
        return job_id, answer.status, json.loads(answer.data).get("error", "")

    def wait_accepted(self) -> str:
        accepted: list[str] = []

        def accept() -> bool:
            job_id, status, _ = self.submit()
            accepted.extend([job_id] * (status == 200))
            return bool(accepted)

        self.wait_until(accept, "no job is accepted")
        return accepted[0]

    def is_completed(self, job_id: str) -> bool:
        answer = HTTP.request("GET", f"http://{self.callers[0]}/q/{job_id}")
        return json.loads(answer.data).get("state") == "completed"

    def wait_completed(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            self.wait_until(lambda job_id=job_id: self.is_completed(job_id), f"{job_id} is lost")

    def test_nothing_accepted_is_lost_and_refusals_are_true(self) -> None:
        # A node that doesn't tell a lost answer from a refusal says that a stored job has not run.
        for outage in (Outage.REFUSES, Outage.SILENT, Outage.RESETS):
            with self.subTest(outage):
                self.endure(outage)
        self.assertEqual(self.workers.observations.violations, [])

    def endure(self, outage: Outage) -> None:
        answers: list[tuple[str, int, str]] = []
        ends_s = time.monotonic() + OUTAGE_S

        def call() -> None:
            while time.monotonic() < ends_s:
                answers.append(self.submit())
                time.sleep(0.02)

        before = self.wait_accepted()
        self.store.outage = outage
        with ThreadPoolExecutor(4) as callers:
            calls = [callers.submit(call) for _ in range(4)]
            time.sleep(OUTAGE_S)
            self.store.outage = Outage.NONE
            after = self.wait_accepted()
            for each in calls:
                each.result()
        accepted = [job_id for job_id, status, _ in answers if status == 200]
        self.wait_completed([before, after, *accepted])
        refused = [job_id for job_id, _, reason in answers if reason == NOT_RUN]
        self.assertTrue(refused)
        for job_id in refused:
            self.assertNotIn(job_key(job_id), self.store.records.records)
            self.assertNotIn(progress_key(job_id), self.store.records.records)


if __name__ == "__main__":
    unittest.main()

"""Ceilings with separate processes: permits move, and survive killed and frozen entries."""

from __future__ import annotations

import json
import signal
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

import urllib3

from toucandoor.core.keys import secret_digest
from toucandoor.measures._deployment import HTTP, LocalDeployment

CEILING = 6
TASK_LEASE_S = 5.0
WORKERS = ("127.44.1.1:8181", "127.44.1.2:8181")
FOLDER = f"""
[policy]
task_lease_s = {TASK_LEASE_S}
[data_centres.dc-1]
region = "r-1"
[data_centres.dc-2]
region = "r-1"
[pools.p]
unavailable_max = 1
[queues.q]
pool = "p"
[teams.a]
ceiling_running = {CEILING}
[teams.a.keys.a-1]
sha256 = "{secret_digest('secret-of-a')}"
[vms.w-1]
pool = "p"
data_centre = "dc-1"
rack = "r"
address = "{WORKERS[0]}"
slots = 24
[vms.w-2]
pool = "p"
data_centre = "dc-2"
rack = "r"
address = "{WORKERS[1]}"
slots = 24
"""


class CeilingsTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        folder = Path(scratch.name)
        (folder / "10-all.toml").write_text(FOLDER)
        self.fleet = self.enterContext(LocalDeployment(folder, ["dc-1", "dc-1", "dc-2"]))
        applied = self.fleet.operate("apply", str(folder), "--json")
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.fleet.wait_ready()
        self.most = 0
        self.stop = threading.Event()
        self.addCleanup(self.stop.set)
        threading.Thread(target=self.watch, daemon=True).start()

    def running(self) -> int:
        """Return what the workers say they run."""
        pages = [json.loads(HTTP.request("GET", f"http://{w}/v1/status").data) for w in WORKERS]
        return sum(len(page["running"]) for page in pages)

    def watch(self) -> None:
        while not self.stop.wait(0.02):
            self.most = max(self.most, self.running())

    def send(self, entry: int, count: int, run_s: float) -> None:
        def ask() -> None:
            try:
                body = json.dumps({"run_s": run_s}).encode()
                self.fleet.request("q", body, key="secret-of-a", entry=entry)
            except urllib3.exceptions.HTTPError:
                return

        for _ in range(count):
            threading.Thread(target=ask, daemon=True).start()

    def wait_until(self, check: Callable[[], bool], within_s: float) -> float:
        began_s = time.monotonic()
        while not check():
            self.assertLess(time.monotonic() - began_s, within_s, self.fleet.operate("status"))
            time.sleep(0.05)
        return time.monotonic() - began_s

    def test_killed_and_frozen_entries(self) -> None:
        self.send(0, 20, 4.0)
        self.wait_until(lambda: self.running() == CEILING, 10)
        killed = self.fleet.processes["entry-1.entry"]
        killed.send(signal.SIGKILL)
        killed.process.wait()
        killed.start()
        self.send(1, 20, 1.0)
        self.send(2, 20, 1.0)
        self.wait_until(lambda: self.running() == 0, 20)
        self.send(2, 20, 1.0)
        self.wait_until(lambda: self.running() == CEILING, 20)
        frozen = self.fleet.processes["entry-3.entry"]
        frozen.send(signal.SIGSTOP)
        self.send(1, 10, 0.5)
        time.sleep(TASK_LEASE_S + 2)
        frozen.send(signal.SIGCONT)
        self.send(1, 20, 3.0)
        self.wait_until(lambda: self.running() == CEILING, 20)
        self.assertEqual(self.most, CEILING)

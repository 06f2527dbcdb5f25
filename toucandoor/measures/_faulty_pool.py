"""Pool of fake backend servers as processes, each behind a middlebox, with injected faults."""

from __future__ import annotations

import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

import urllib3

from toucandoor.core.keys import secret_digest
from toucandoor.fakes.middlebox import Middlebox
from toucandoor.measures._deployment import (
    HTTP,
    LocalDeployment,
    LocalProcess,
    ProcessGroup,
    stop_processes,
)

SECRET = "secret-of-the-pool-team"
SLOTS = 8
PORT_MIN = 20_000
PORTS = 10_000


class FaultyPool(ProcessGroup):
    """Starts backend servers and injects faults into them and their connections.

    Args:
        workers: Number of backend servers.
        subnet: Third byte of the loopback addresses; each measurement has its own.
    """

    def __init__(self, workers: int, subnet: int) -> None:
        self._scratch = tempfile.TemporaryDirectory(prefix="toucandoor-pool-")
        self.folder = Path(self._scratch.name) / "operators"
        self.folder.mkdir()
        # Below the ephemeral ports, and different for processes that share the machine.
        port = PORT_MIN + os.getpid() % PORTS
        self.middlebox_addresses = [f"127.46.{subnet}.{n + 1}:{port}" for n in range(workers)]
        self._worker_addresses = [f"127.47.{subnet}.{n + 1}:{port}" for n in range(workers)]
        self._runs_log = Path(self._scratch.name) / "runs.log"
        self.processes = [self._process(number) for number in range(workers)]
        self.middleboxes: list[Middlebox] = []
        (self.folder / "10-all.toml").write_text(self._folder_text())

    def start(self) -> None:
        """Start the backend servers and a middlebox in front of each."""
        for process in self.processes:
            process.start()
        for address in self._worker_addresses:
            self._wait_until_healthy(address)
        for listen, worker in zip(self.middlebox_addresses, self._worker_addresses, strict=True):
            self.middleboxes.append(Middlebox(listen, worker))

    def stop(self) -> None:
        """Stop the backend servers and their middleboxes."""
        stop_processes(self.processes)
        for middlebox in self.middleboxes:
            middlebox.close()
        self._scratch.cleanup()

    def make_deployment(self, entries: int = 1) -> LocalDeployment:
        """Return a deployment that uses this pool in place of backend servers of its own."""
        deployment = LocalDeployment(self.folder, ["dc-1"] * entries)
        del deployment.processes["workers"]
        return deployment

    def kill(self, number: int) -> None:
        """Kill a backend server."""
        self.processes[number].send_signal(signal.SIGKILL)
        self.processes[number].process.wait()

    def restart(self, number: int) -> None:
        """Start a killed backend server again and wait until it is healthy."""
        self.processes[number].start()
        self._wait_until_healthy(self._worker_addresses[number])

    def freeze(self, number: int) -> None:
        """Suspend a backend server's process with SIGSTOP."""
        self.processes[number].send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resume a frozen backend server."""
        self.processes[number].send_signal(signal.SIGCONT)

    def set_worker_faults(self, number: int, **faults: Any) -> None:
        """Set the faults of a backend server, by name."""
        self._post(number, "/control/faults", faults)

    def set_draining(self, number: int, *, on: bool = True) -> None:
        """Start or end the draining of a backend server."""
        self._post(number, "/v1/drain" if on else "/v1/undrain", {})

    def run_counts(self) -> Counter[str]:
        """Return how many runs produced each result, over all backend servers."""
        return Counter(
            str(json.loads(line["answer"])["result"])
            for line in self._read_runs_log()
            if line["ran"]
        )

    def last_received_unix_s(self, number: int) -> float:
        """Return the Unix time at which a backend server last received a task, run or refused."""
        vm = f"w-{number}"
        return max(
            (line["at_s"] for line in self._read_runs_log() if line["vm"] == vm), default=0.0
        )

    def _read_runs_log(self) -> list[dict[str, Any]]:
        if not self._runs_log.exists():
            return []
        return [json.loads(line) for line in self._runs_log.read_text().splitlines()]

    def _post(self, number: int, path: str, body: dict[str, Any]) -> None:
        with suppress(urllib3.exceptions.HTTPError):
            HTTP.request(
                "POST", f"http://{self._worker_addresses[number]}{path}", json=body, timeout=2.0
            )

    def _process(self, number: int) -> LocalProcess:
        command = [sys.executable, "-m", "toucandoor.programs.fakes", "worker"]
        command += ["--address", self._worker_addresses[number], "--vm", f"w-{number}"]
        command += ["--slots", str(SLOTS), "--runs-log", str(self._runs_log)]
        log = Path(self._scratch.name) / f"w-{number}.log"
        return LocalProcess(f"w-{number}", command, {}, log)

    def _wait_until_healthy(self, address: str, timeout_s: float = 20.0) -> None:
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            with suppress(urllib3.exceptions.HTTPError):
                if HTTP.request("GET", f"http://{address}/v1/health", timeout=1.0).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"backend server at {address} not healthy within {timeout_s} s")

    def _folder_text(self) -> str:
        lines = ['[data_centres.dc-1]\nregion = "r"', "[pools.p]\nunavailable_max = 1"]
        lines.append('[queues.q]\npool = "p"')
        digest = secret_digest(SECRET)
        lines.append(f'[teams.a]\nceiling_running = 256\nkeys.a-1.sha256 = "{digest}"')
        for number, address in enumerate(self.middlebox_addresses):
            lines.append(
                f'[vms.w-{number}]\npool = "p"\ndata_centre = "dc-1"\nrack = "r-{number // 4}"\n'
                f'address = "{address}"\nslots = {SLOTS}'
            )
        return "\n".join(lines) + "\n"

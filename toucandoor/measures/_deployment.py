"""The whole system as local processes on loopback, for measurements, tests and the demo."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import urllib3

PEER_SECRET = "loopback-peer-secret"
OPERATOR_SECRET = "loopback-operator-secret"
_READY_TIMEOUT_S = 20.0
_REPORTED_LOG_LINES = 12
"""Last lines of each log that a failure to become ready reports."""

HTTP = urllib3.PoolManager(maxsize=64, num_pools=64, retries=False, timeout=60.0)


_returned_addresses: set[str] = set()


def free_address() -> str:
    """Return an ``IP:port`` on loopback that nothing listens on and that is not returned again.

    Each process uses a loopback IP of its own, so that no other process here and no outgoing
    connection, whose source address is ``127.0.0.1``, can occupy the address before its
    listener starts.
    """
    host = _own_loopback_ip(os.getpid())
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = f"{host}:{probe.getsockname()[1]}"
        if address not in _returned_addresses:
            _returned_addresses.add(address)
            return address


def _own_loopback_ip(process_id: int) -> str:
    # Process ids have at most 22 bits on Linux; nothing else here uses 127.64.0.0 and above.
    return f"127.{64 + (process_id >> 16)}.{process_id >> 8 & 255}.{process_id & 255}"


@dataclass(slots=True)
class LocalProcess:
    """A child process; signals are sent only to processes that this class started.

    Attributes:
        name: Name in `LocalDeployment.processes` and of the log file.
        command: Program and arguments.
        environment: Variables added to those of this process.
        log: File that receives standard output and standard error.
        process: The process last started; missing before the first start.
    """

    name: str
    command: list[str]
    environment: dict[str, str]
    log: Path
    process: subprocess.Popen[bytes] = field(init=False)

    def start(self) -> None:
        """Start the process, or start it again after it ended."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, env=os.environ | self.environment, stdout=log, stderr=log
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send the process a signal unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def stop(self, timeout_s: float = 15.0) -> int:
        """Send SIGTERM, and SIGKILL after the time-out; return the exit status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


@dataclass(frozen=True, slots=True)
class EntryVm:
    """Addresses of one entry VM's processes."""

    entry_id: str
    data_centre: str
    caller_address: str
    entry_ops_address: str
    link_address: str
    controller_ops_address: str
    claims_address: str


def stop_processes(processes: Iterable[LocalProcess]) -> None:
    """Send SIGTERM to all processes that were started, then wait for each to end."""
    started = [process for process in processes if hasattr(process, "process")]
    for process in started:
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
    for process in started:
        process.stop()


class ProcessGroup(ABC):
    """Context manager that starts processes on loopback, and stops all if one fails to start."""

    @abstractmethod
    def start(self) -> None:
        """Start all processes and wait until they serve."""

    @abstractmethod
    def stop(self) -> None:
        """Stop all processes that were started."""

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()


class LocalDeployment(ProcessGroup):
    """Starts and stops the entry VMs of one fleet, with a fake platform and backend servers.

    Args:
        folder: Configuration folder of the operators; its VMs' addresses must be on loopback.
        data_centres: Data centre of each entry VM, in order.
        settings: Settings by program name, which override those made here.
    """

    def __init__(
        self,
        folder: Path,
        data_centres: list[str],
        settings: dict[str, dict[str, str]] | None = None,
    ) -> None:
        self.folder = folder
        self._extra_settings = settings or {}
        self._scratch = tempfile.TemporaryDirectory(prefix="toucandoor-")
        self.platform_address = free_address()
        self.entry_vms = [
            EntryVm(f"entry-{n + 1}", dc, *(free_address() for _ in range(5)))
            for n, dc in enumerate(data_centres)
        ]
        self.processes: dict[str, LocalProcess] = {}
        self._make_processes()

    def start(self) -> None:
        """Start all processes and wait until the fakes and the entry VMs serve."""
        for process in self.processes.values():
            process.start()
        for name in ("platform", "workers"):
            # Some measures start backend servers of their own instead of the workers.
            if name in self.processes:
                self._wait_for_fake(name)
        for vm in self.entry_vms:
            self.wait_for(vm.controller_ops_address, "/healthz")
            self.wait_for(vm.entry_ops_address, "/healthz")

    def stop(self) -> None:
        """Stop all processes, the fakes last."""
        stop_processes(self.processes.values())
        self._scratch.cleanup()

    def log(self, name: str) -> str:
        """Return the text that a process has logged so far."""
        return self.processes[name].log.read_text()

    def wait_for(self, address: str, path: str, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Wait until a page answers with status 200.

        Raises:
            TimeoutError: It did not within the time-out; the text has the last answer and the
                last log lines of the processes of that address's VM.
        """
        until_s = time.monotonic() + timeout_s
        last = "no try"
        while time.monotonic() < until_s:
            try:
                answer = HTTP.request("GET", f"http://{address}{path}", timeout=1.0)
                if answer.status == 200:
                    return
                last = f"status {answer.status}, {answer.data.decode(errors='replace').strip()}"
            except urllib3.exceptions.HTTPError as err:
                last = f"{type(err).__name__}: {err}"
            time.sleep(0.05)
        raise TimeoutError(
            f"{address}{path} not ready within {timeout_s} s; last: {last}"
            + self._last_logs(address)
        )

    def _last_logs(self, address: str) -> str:
        names = ["platform"]
        for vm in self.entry_vms:
            if address in (vm.entry_ops_address, vm.controller_ops_address):
                names += [f"{vm.entry_id}.controller", f"{vm.entry_id}.entry"]
        if len(names) == 1:
            names.append("workers")
        present = [name for name in names if name in self.processes]
        lines = [f"{name}: {line}" for name in present for line in self._log_tail(name)]
        return "\n".join(["", *lines])

    def _log_tail(self, name: str) -> list[str]:
        process = self.processes[name]
        if not process.log.exists():
            return ["not started"]
        status = process.process.poll()
        state = [] if status is None else [f"ended with status {status}"]
        return self.log(name).splitlines()[-_REPORTED_LOG_LINES:] + state

    def _wait_for_fake(self, name: str) -> None:
        """Wait until a process of fakes has printed that all of its servers listen."""
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while "ready" not in self.log(name).splitlines():
            if time.monotonic() >= until_s or self.processes[name].process.poll() is not None:
                tail = "\n".join(self._log_tail(name))
                raise TimeoutError(f"{name} not ready within {_READY_TIMEOUT_S} s\n{tail}")
            time.sleep(0.05)

    def wait_ready(self) -> None:
        """Wait until every entry has a configuration in force."""
        for vm in self.entry_vms:
            self.wait_for(vm.entry_ops_address, "/readyz")

    def run_command(self, *arguments: str, entry: int = 0) -> subprocess.CompletedProcess[str]:
        """Run an operator's command against one entry VM's controller."""
        environment = os.environ | {
            "TOUCANDOOR_CONTROLLER_ADDRESS": self.entry_vms[entry].link_address,
            "TOUCANDOOR_OPERATOR_SECRET": OPERATOR_SECRET,
        }
        command = [sys.executable, "-m", "toucandoor.programs.cli", *arguments]
        return subprocess.run(
            command, env=environment, capture_output=True, text=True, timeout=180, check=False
        )

    def request(
        self,
        queue: str,
        body: bytes,
        *,
        key: str | None = None,
        entry: int = 0,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a caller's request through one entry."""
        sent = dict(headers or {})
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        address = self.entry_vms[entry].caller_address
        return HTTP.request(
            "POST", f"http://{address}/v1/queues/{queue}/requests", body=body, headers=sent
        )

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the fake platform, by name."""
        HTTP.request("POST", f"http://{self.platform_address}/control/faults", json=faults)

    def set_vm_list(self, vms: list[dict[str, str]]) -> None:
        """Set the platform's list of live and leaving VMs."""
        HTTP.request("POST", f"http://{self.platform_address}/control/vms", json={"vms": vms})

    def _make_processes(self) -> None:
        fakes = "toucandoor.programs.fakes"
        for vm in self.entry_vms:
            self._add_process(
                f"{vm.entry_id}.entry", "toucandoor.programs.entry", self._entry_settings(vm)
            )
            self._add_process(
                f"{vm.entry_id}.controller",
                "toucandoor.programs.controller",
                self._controller_settings(vm),
            )
        self._add_process("workers", fakes, {}, "workers", str(self.folder))
        self._add_process("platform", fakes, {}, "platform", "--address", self.platform_address)

    def _add_process(
        self, name: str, module: str, settings: dict[str, str], *arguments: str
    ) -> None:
        program = module.rpartition(".")[2]
        merged = settings | self._extra_settings.get(program, {})
        environment = {f"TOUCANDOOR_{key.upper()}": value for key, value in merged.items()}
        log = Path(self._scratch.name) / f"{name}.log"
        command = [sys.executable, "-m", module, *arguments]
        self.processes[name] = LocalProcess(name, command, environment, log)

    def _entry_settings(self, vm: EntryVm) -> dict[str, str]:
        return {
            "entry_id": vm.entry_id,
            "data_centre": vm.data_centre,
            "caller_address": vm.caller_address,
            "ops_address": vm.entry_ops_address,
            "controller_address": vm.link_address,
            "peer_secret": PEER_SECRET,
            "entries_total": str(len(self.entry_vms)),
            "claims_address": vm.claims_address,
            **self._claims_settings(vm),
        }

    def _claims_settings(self, vm: EntryVm) -> dict[str, str]:
        others = [f"{o.entry_id}={o.claims_address}" for o in self.entry_vms if o is not vm]
        return {"claims_peers": ",".join(others)} if others else {}

    def _controller_settings(self, vm: EntryVm) -> dict[str, str]:
        return {
            "entry_id": vm.entry_id,
            "data_centre": vm.data_centre,
            "link_address": vm.link_address,
            "ops_address": vm.controller_ops_address,
            "store_address": self.platform_address,
            "vm_list_address": self.platform_address,
            "peer_secret": PEER_SECRET,
            "operator_secret": OPERATOR_SECRET,
            "peer_addresses": ",".join(each.link_address for each in self.entry_vms),
        }

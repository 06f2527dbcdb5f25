"""Starts the project's node programs on loopback addresses, and calls them as requesters do."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any, Final

from platform_standins import Record, free_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT: Final = Path(__file__).resolve().parents[2]

CASE_DID_NOT_RUN: Final = 2
"""Exit code of a script that could not show whether the rule holds."""
ROUTE_TERMS: Final = {
    "public": True,
    "max_attempts": 2,
    "slack_factor": 2.0,
    "target_duration_ms": 600,
}
SETTINGS: Final = """
node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [{first}, {last}]
seed_nodes = [{seeds}]
bootstrap = true
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1500
commands = "invoke"
recommendation = "{adviser}"
[zones]
dc-a = "r"
[bind_addresses]
frontend = "{ip}:{callers}"
ready = "{ip}:{ready}"
control_plane = "{ip}:{control}"
[limits]
cpu_quota = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
kill_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 1
restore_ms = 100
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = false
lease_ms = 3000
impact_ms = 4000
rate_window_ms = 100
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


def route(name: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration, open to all; its prefix is its name."""
    return {"name": name, "prefix": f"/{name}/", "service": service, **ROUTE_TERMS, **more}


def configuration(*routes: dict[str, Any]) -> dict[str, Any]:
    """Return the first configuration, with the routes and the services that they name."""
    services = sorted({each["service"] for each in routes})
    return {
        "version": 1,
        "routes": list(routes),
        "services": [{"name": name, "admission_check": True} for name in services],
        "tenants": [],
        "limits": {"max_body_bytes": 262144},
    }


class Node:
    """One process of the node program."""

    def __init__(self, folder: Path, name: str, ip: str, ports: dict[str, int]) -> None:
        self.name, self.ip, self.ports = name, ip, ports
        self.callers = f"{ip}:{ports['callers']}"
        self.log = folder / f"{name}.log"
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(
        self, store: str, cloud: str, adviser: str, seeds: list[str], zone: str
    ) -> None:
        """Write the settings file of the process."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=zone,
            store=store,
            cloud=cloud,
            adviser=adviser,
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            **self.ports,
        )
        (self._folder / f"{self.name}.toml").write_text(text)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["TOUCANDOOR_NODE_FILE"] = str(self._folder / f"{self.name}.toml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = os.open(self.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "toucandoor.programs.node",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        os.close(log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


def make_nodes(
    folder: Path,
    count: int,
    store: str,
    cloud: str = "",
    adviser: str = "",
    zone: str = "dc-a",
) -> list[Node]:
    """Return nodes on loopback addresses of their own, with the same ports, not started yet."""
    ips = [f"127.0.0.{number + 11}" for number in range(count)]
    names = ("callers", "ready", "control", "first", "last")
    ports = {name: free_port("127.0.0.1") for name in names}
    if ports["first"] > ports["last"]:
        ports["first"], ports["last"] = ports["last"], ports["first"]
    seeds = [f"{ip}:{ports['control']}" for ip in ips[:3]]
    nodes = [Node(folder, f"n{number}", ip, ports) for number, ip in enumerate(ips)]
    for node in nodes:
        node.write_settings(store, cloud, adviser, seeds, zone)
    return nodes


async def call(
    address: str, method: str, path: str, body: Any = None, key: str = "", timeout_s: float = 3.0
) -> tuple[int, Any]:
    """Make one call on a connection of its own; status 0 if there is no whole answer in time."""
    data = json.dumps(body).encode() if body is not None else b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
        f"X-Toucandoor-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
        f"Content-Length: {len(data)}\r\nConnection: close\r\n"
    )
    if key:
        head += f"Authorization: Bearer {key}\r\n"
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode() + b"\r\n" + data)
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, None
    first, _, rest = answer.partition(b"\r\n")
    if not first:
        return 0, None
    text = rest.partition(b"\r\n\r\n")[2]
    try:
        return int(first.split()[1]), json.loads(text or b"null")
    except ValueError:
        return int(first.split()[1]), None


async def wait_until(condition: Callable[[], bool], within_s: float) -> bool:
    """Wait until a condition holds; return whether it does."""
    until_s = time.monotonic() + within_s
    while True:
        if condition():
            return True
        if time.monotonic() >= until_s:
            return False
        await asyncio.sleep(0.01)


async def wait_ready(nodes: list[Node], within_s: float = 30.0) -> bool:
    """Wait until all nodes are ready; return whether they are."""
    until_s = time.monotonic() + within_s
    waiting = list(nodes)
    while waiting:
        address = f"{waiting[0].ip}:{waiting[0].ports['ready']}"
        if (await call(address, "GET", "/-/readyz", timeout_s=1.0))[0] == 200:
            waiting.pop(0)
        elif time.monotonic() > until_s:
            return False
        else:
            await asyncio.sleep(0.1)
    return True


async def run_with_nodes(
    record: Record,
    count: int,
    store: str,
    play: Callable[[list[Node]], Awaitable[int]],
    *,
    cloud: str = "",
    adviser: str = "",
    settle_s: float = 2.0,
) -> int:
    """Start nodes, play a case with them, end them, and return the exit code of the case.

    Args:
        record: The record of the case.
        count: Number of nodes.
        store: Address of the store.
        play: Plays the case once all nodes are ready.
        cloud: Address of the list of machines.
        adviser: Address of the service for advice.
        settle_s: Time from the readiness of the nodes until the case is played.
    """
    with TemporaryDirectory() as folder:
        nodes = make_nodes(Path(folder), count, store, cloud, adviser)
        try:
            for node in nodes:
                await node.start()
            if not await wait_ready(nodes):
                record.write("script: the nodes are not ready")
                return CASE_DID_NOT_RUN
            await asyncio.sleep(settle_s)
            return await play(nodes)
        finally:
            for node in nodes:
                node.signal(signal.SIGCONT)
                await node.end()
            _keep_logs(nodes)


def _keep_logs(nodes: list[Node]) -> None:
    """Copy the nodes' logs into the folder that `KEEP_LOGS` names, if it is set."""
    folder = os.environ.get("KEEP_LOGS")
    if folder:
        for node in nodes:
            (Path(folder) / node.log.name).write_bytes(node.log.read_bytes())


async def submit(nodes: list[Node], record: Record, path: str, body: Any, tries: int = 5) -> bool:
    """Hand a job in as a requester does: again at another node until it is accepted."""
    for number in range(tries):
        node = nodes[number % len(nodes)]
        status, _ = await call(node.callers, "POST", path, body)
        record.write(f"requester: POST {path} at {node.name}: {status or 'no answer'}")
        if status == 200:
            return True
        await asyncio.sleep(0.3)
    return False


async def state_of(nodes: list[Node], record: Record, path: str) -> str:
    """Return the state of a job as some node shows it; a status if none shows it."""
    last = "none"
    for node in nodes:
        status, answer = await call(node.callers, "GET", path)
        last = answer["state"] if status == 200 and answer else str(status)
        record.write(f"requester: GET {path} at {node.name}: {last}")
        if status == 200:
            return last
    return last


async def wait_completed(
    nodes: list[Node], record: Record, paths: list[str], within_s: float
) -> list[str]:
    """Ask for jobs until all are completed; return those that are not in time."""
    until_s = time.monotonic() + within_s
    waiting = list(paths)
    while waiting and time.monotonic() < until_s:
        await asyncio.sleep(2.0)
        waiting = [path for path in waiting if await state_of(nodes, record, path) != "completed"]
    return waiting


def run_case(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case and end the process with its exit code; 2 without the deploy file's build."""
    if not (ROOT / "target" / "deps").is_dir():
        sys.stderr.write("target/deps is missing: run the build of deploy/system.toml first\n")
        sys.exit(CASE_DID_NOT_RUN)

    async def run() -> int:
        return await case()

    sys.exit(asyncio.run(run()))

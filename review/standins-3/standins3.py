"""Stand-ins for the third review: store, VM list, adviser, backend servers, a caller and nodes.

They speak what the platform's pages say, on loopback addresses and the real clock, from one process
with a thread for each connection. The nodes are the project's own program, started as the deploy
file says, each in a process of its own. Only the standard library is used.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 6000
KILL_S = 0.1
HEARTBEAT_S = 1.5
REFUSALS_SHOWN = 12
HOST = "127.0.0.1"


def free_range(length: int) -> int:
    """Return the first of some ports in a row that are free.

    They lie below those that the system gives to other sockets, so that none of these takes one
    before the node does.
    """
    for _ in range(200):
        first = random.randrange(12000, 30000)
        held = []
        try:
            for port in range(first, first + length):
                sock = socket.socket()
                held.append(sock)
                sock.bind((HOST, port))
            return first
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise RuntimeError("no free ports in a row")


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.began_s

    def add(self, *words: object) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} " + " ".join(map(str, words)) + "\n")
            self._file.flush()


class NoAnswer(Exception):
    """The call gets no answer; its connection ends."""


class Silence(Exception):
    """The call gets no answer, and its connection stays open while the server is silent."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        url = urlsplit(self.path)
        try:
            status, answer = self.server.answer(
                self.command, url.path, dict(parse_qsl(url.query)), body, self.headers
            )
        except NoAnswer:
            self.close_connection = True
            return
        data = json.dumps(answer).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        self.wfile.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)

    do_GET = do_POST = do_DELETE = _serve  # noqa: N815  names that the base class calls

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class Server(ThreadingHTTPServer):
    """Serves calls from a thread for each connection."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, answer) -> None:
        super().__init__((HOST, 0), _Handler)
        self.answer = answer
        self.address = f"{HOST}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, *_: object) -> None:
        """Report errors, but none of connections."""
        if not isinstance(sys.exception(), (ConnectionError, OSError)):
            super().handle_error(*_)


class Store:
    """The platform's store: linearizable, loses nothing, keeps its whole history."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, list] = {}
        self._next_lease = 1
        threading.Thread(target=self._expire, daemon=True).start()
        self.server = Server(self._answer)
        self.address = self.server.address

    def put(self, key: str, value: object) -> None:
        """Write as an operator or a backend server does; confirmed when it returns."""
        with self.lock:
            self.revision += 1
            self._set(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
            self.lock.notify_all()

    def delete(self, key: str) -> None:
        """Remove a record."""
        with self.lock:
            self.revision += 1
            self._remove(key)
            self.lock.notify_all()

    def read(self, key: str) -> object | None:
        """Return a decoded value; None if there is none."""
        with self.lock:
            item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _set(self, key: str, value: str, lease_id: int) -> None:
        former = self.items.get(key)
        if former and former["lease_id"]:
            self.leases.get(former["lease_id"], [0, 0, set()])[2].discard(key)
        created = former["created"] if former else self.revision
        item = {"key": key, "value": value, "revision": self.revision}
        item |= {"created": created, "lease_id": lease_id}
        self.items[key] = item
        self.history.append(item)
        if lease_id:
            self.leases[lease_id][2].add(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def _expire(self) -> None:
        while True:
            time.sleep(0.01)
            with self.lock:
                for lease_id, (_, until_s, _) in list(self.leases.items()):
                    if time.monotonic() >= until_s:
                        self._end(lease_id)

    def _end(self, lease_id: int) -> None:
        keys = self.leases.pop(lease_id)[2]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self.lock.notify_all()

    def _answer(self, method, path, query, body, headers):
        name, _, number = path.removeprefix("/-/").partition("/")
        with self.lock:
            if name == "kv-watch":
                return self._watch(query)
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (404, {}) if item is None else (200, item | {"at": self.revision})
            if name == "kv-range":
                return self._range(query)
            if name == "kv-txn":
                return self._write(body)
            if name == "kv-lease":
                lease_id, self._next_lease = self._next_lease, self._next_lease + 1
                self.leases[lease_id] = [body["ttl_ms"], 0.0, set()]
            else:
                lease_id = int(number or 0)
                if lease_id not in self.leases:
                    return 404, {}
                if name == "kv-lease-end":
                    self._end(lease_id)
                    return 200, {}
            lease = self.leases[lease_id]
            lease[1] = time.monotonic() + lease[0] / 1000
            return 200, {"lease_id": lease_id, "ttl_ms": lease[0]}

    def _range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
        keys = [k for k in keys if k > query.get("after", "")]
        items = [self.items[k] for k in keys[:500]]
        return 200, {"items": items, "has_more": len(keys) > 500, "at": self.revision}

    def _write(self, body):
        if any(w.get("lease_id") and w["lease_id"] not in self.leases for w in body["write"]):
            return 404, {}
        present, fits = [], True
        for row in body["expected_revision"]:
            item = self.items.get(row["key"])
            fits = fits and (item["revision"] if item else 0) == row["revision"]
            if item:
                present.append(item)
        if not fits:
            return 412, {"items": present}
        self.revision += 1
        for row in body["write"]:
            self._set(row["key"], row["value"], row.get("lease_id") or 0)
        for key in body["remove"]:
            self._remove(key)
        self.lock.notify_all()
        return 200, {"revision": self.revision}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found[::-1], "at": self.revision}
            self.lock.wait(left_s)


class Worker:
    """A backend server that guards its capacity; it runs each work item for a set time.

    `duration_s` returns a work item's time from its name. `ticket_for` returns the ticket that a
    start of a work item must carry, None where the step needs none.
    """

    def __init__(self, store, record, name, service, rack, cpu, duration_s, ticket_for=None):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.rack, self.cpu, self.duration_s = rack, cpu, duration_s
        self.ticket_for = ticket_for or (lambda _task: None)
        self.lock = threading.Condition(threading.RLock())
        self.born = int(time.time() * 1000)
        self.booted_s = time.monotonic() - 100.0
        self.token = 0
        self.until_ms = 0
        self.active: dict[tuple[str, int], dict] = {}
        self.ended: list[list] = []
        self.all_ends: list[list] = []
        self.ends = 0
        self.refused: dict[str, int] = {}
        self.hung = False
        self.down = False
        self.draining_ms: int | None = None
        self.starts: list[tuple[float, str, int]] = []
        self.refusals = 0
        self.sequence = 0
        self.kind = "a"
        self.held_s = 0.0
        self.server = Server(self._answer)
        self.needs: dict[str, int] = {}
        self.write_entry()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def clock_ms(self) -> int:
        """Return the steady clock."""
        return int((time.monotonic() - self.booted_s) * 1000)

    def write_entry(self) -> None:
        """Write the entry in the list of servers."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready" if self.draining_ms is None else "draining",
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": [self.kind, self.rack],
            "born": self.born,
            "machine": f"m-{self.name}",
        }
        if self.draining_ms is not None:
            entry["remaining_ms"] = self.draining_ms
        self.store.put(f"servers/{self.name}", entry)

    def drain(self, remaining_ms: int) -> float:
        """Report draining; return the time of the store's confirmation."""
        self.draining_ms = remaining_ms
        self.write_entry()
        return self.record.now_s()

    def leave(self) -> None:
        """End, with all that runs on it."""
        with self.lock:
            self.down = True
            lost = [f"{task}#{attempt}" for task, attempt in self.active]
            self.active.clear()
            self.lock.notify_all()
        self.record.add("server", self.name, "leaves; lost with it:", *(lost or ["nothing"]))
        self.server.shutdown()
        self.server.server_close()
        self.store.delete(f"servers/{self.name}")

    def fail(self, task: str, attempt: int) -> None:
        """Let a work item end by its own fault."""
        with self.lock:
            self._end((task, attempt), "failed")

    def crash(self) -> None:
        """End without a word: channels are reset, and the store drops the entry after a while."""
        with self.lock:
            self.down = True
            lost = [f"{task}#{attempt}" for task, attempt in self.active]
            self.active.clear()
            self.lock.notify_all()
        self.record.add("server", self.name, "is down; lost with it:", *(lost or ["nothing"]))
        threading.Thread(target=self._close, daemon=True).start()
        threading.Timer(3 * HEARTBEAT_S, self.store.delete, (f"servers/{self.name}",)).start()

    def go_dark(self) -> None:
        """Be lost for good without a word: channels stay open, and nothing is answered or run."""
        with self.lock:
            self.hung = self.down = True
            lost = [f"{task}#{attempt}" for task, attempt in self.active]
            self.active.clear()
            self.lock.notify_all()
        self.record.add("server", self.name, "is lost for good, silently; with it:", *lost)
        threading.Timer(3 * HEARTBEAT_S, self.store.delete, (f"servers/{self.name}",)).start()

    def _close(self) -> None:
        self.server.shutdown()
        self.server.server_close()

    def _beat(self) -> None:
        while not self.down:
            time.sleep(HEARTBEAT_S)
            if not self.down:
                self.write_entry()

    def _tick(self) -> None:
        while not self.down:
            time.sleep(0.01)
            now_s = time.monotonic()
            with self.lock:
                if self.active and self.clock_ms() >= self.until_ms:
                    for key in list(self.active):
                        self._end(key, "lapsed")
                for key, run in list(self.active.items()):
                    if run["stop_s"] is not None and now_s >= run["stop_s"]:
                        self._end(key, "stopped")
                    elif now_s >= run["end_s"]:
                        self._end(key, "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self.active[key]
        self.ends += 1
        self.ended.append([self.ends, *key, how, ""])
        self.all_ends.append(self.ended[-1])
        self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])
        self.record.add("server", self.name, "ends", f"{key[0]}#{key[1]}", how)
        self.lock.notify_all()

    def used(self) -> int:
        """Return the processor that is in use."""
        return sum(run["cpu"] for run in self.active.values())

    def _answer(self, method, path, query, body, headers):
        try:
            return self._answer_unless_hung(path, body, headers)
        except Silence:
            while self.hung:
                time.sleep(0.02)
            raise NoAnswer from None

    def _answer_unless_hung(self, path, body, headers):
        if self.hung:
            raise Silence
        if headers.get("X-Toucandoor-Expected-Instance") not in (None, self.name):
            return 421, {}
        with self.lock:
            if self.down:
                raise NoAnswer
            if body.get("fencing_token", 0) < self.token:
                return self._refusal("fence")
            self.token = max(self.token, body.get("fencing_token", 0))
            if path == "/-/run-start":
                return self._start(body)
            if path == "/-/run-stop":
                return self._stop(body)
            if path == "/-/hold":
                return self._hold(body)
            if path == "/-/pace":
                return 200, {"clock_ms": self.clock_ms()}
        return 400, {"clock_ms": self.clock_ms()}

    def _refusal(self, reason: str):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _extend(self, deadline_ms: int) -> None:
        self.until_ms = max(self.until_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self.active:
            self._extend(body["deadline_ms"])
            return 200, {"clock_ms": self.clock_ms()}
        if body["deadline_ms"] <= self.clock_ms():
            return self._refuse_start(task, attempt, "late")
        if attempt <= self.refused.get(task, 0):
            self._extend(body["deadline_ms"])
            return self._refuse_start(task, attempt, "old")
        ticket = self.ticket_for(task)
        if ticket is not None and body.get("token") != f"{ticket}@{self.name}":
            return self._refuse_start(task, attempt, "ticket")
        cpu = self.needs.get(task.split(".")[0] + "." + task.split(".")[2], 1000)
        if self.used() + cpu > self.cpu:
            self._extend(body["deadline_ms"])
            return self._refuse_start(task, attempt, "room")
        self._extend(body["deadline_ms"])
        end_s = time.monotonic() + self.duration_s(task)
        self.active[task, attempt] = {"end_s": end_s, "stop_s": None, "cpu": cpu}
        self.starts.append((self.record.now_s(), task, attempt))
        self.record.add("server", self.name, "starts", f"{task}#{attempt}")
        return 200, {"clock_ms": self.clock_ms()}

    def _refuse_start(self, task: str, attempt: int, reason: str):
        self.refusals += 1
        if self.refusals <= REFUSALS_SHOWN:
            self.record.add("server", self.name, "refuses", f"{task}#{attempt}:", reason)
        return self._refusal(reason)

    def _stop(self, body):
        key = (body["task"], body["attempt"])
        self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])
        if key in self.active and self.active[key]["stop_s"] is None:
            self.active[key]["stop_s"] = time.monotonic() + KILL_S
        self.record.add("server", self.name, "is told to stop", f"{key[0]}#{key[1]}")
        return 200, {"clock_ms": self.clock_ms()}

    def _hold(self, body):
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        seen = body["last_seen"]
        self.ended = [row for row in self.ended if row[0] > seen]
        ends = self.ends
        self.held_s = time.monotonic()
        until_s = self.held_s + body.get("wait_ms", 0) / 1000
        while not self.ended and self.ends == ends and not self.down and not self.hung:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self.lock.wait(min(left_s, 0.1))
        if self.hung:
            raise Silence
        if self.down:
            raise NoAnswer
        active = [
            [task, attempt, "", 100, run["cpu"]] for (task, attempt), run in self.active.items()
        ]
        answer = {"clock_ms": self.clock_ms(), "born": self.born}
        return 200, answer | {"active": active, "finished": self.ended[:500]}


class Cloud:
    """The list of VMs; moves and upkeep are refused as busy, since no case needs them."""

    def __init__(self, workers) -> None:
        self._workers = workers
        self.server = Server(self._answer)
        self.address = self.server.address

    def _answer(self, method, path, query, body, headers):
        if path != "/-/machines":
            return 409, {"reason": "busy"}
        machines = [
            {
                "machine": f"m-{each.name}",
                "pool": each.service,
                "state": "down" if each.down else "up",
                "zone": "z1",
                "labels": [each.kind, each.rack],
                "capacity": {"cpu": each.cpu, "mem_mb": 65536, "gpu": 0},
                "id": each.name,
            }
            for each in self._workers
        ]
        return 200, {"machines": machines, "next_token": ""}


class Adviser:
    """The service at `recommendation`; it approves of all workers that a call names."""

    def __init__(self, record, decision_s: float, period_s: float, validity_ms: int) -> None:
        self._times = decision_s, period_s
        self.validity_ms = validity_ms
        self.calls: list[tuple[float, str]] = []
        self._record = record
        self._turn = threading.Lock()
        self.server = Server(self._answer)
        self.address = self.server.address

    def _answer(self, method, path, query, body, headers):
        with self._turn:
            time.sleep(self._times[0] + self._times[1] * len(body["workers"]))
        step, workers = body["phase"], body["workers"]
        self.calls.append((self._record.now_s(), step))
        self._record.add("adviser approves for", step, "of", len(workers), "workers")
        return 200, {
            "approved": [[worker, f"ticket-{step}@{worker}"] for worker in workers],
            "validity_ms": self.validity_ms,
        }


class Node:
    """A process of the project's own program, with the command of the deploy file."""

    def __init__(self, folder: Path, store: Store, cloud: Cloud, number: int, adviser=""):
        self.name = f"edge-z1-{number}"
        first = free_range(18)
        self.caller = first + 16
        self.ready = first + 17
        settings = f"""
node_name = "{self.name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "{HOST}"
zone = "z1"
region = "r"
port_range = [{first},{first + 15}]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1500
commands = "invoke"
recommendation = "{adviser}"
[zones]
z1 = "r"
[bind_addresses]
frontend = "{HOST}:{self.caller}"
ready = "{HOST}:{self.ready}"
[limits]
cpu_quota = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
quota_overage = 0.1
hold_max_ms = {HOLD_MAX_MS}
kill_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
lease_ms = 3000
maintenance_s = 2
migrate_s = 1.5
[platform]
address = "{store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
[cloud_api]
address = "{cloud.address}"
rate_per_s = 64.0
duty_per_s = 64.0
"""
        file = folder / f"{self.name}.toml"
        file.write_text(settings)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TOUCANDOOR_NODE_FILE": str(file),
        }
        self._log = (folder / f"{self.name}.log").open("wb")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until the node is ready for callers."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            try:
                link = http.client.HTTPConnection(HOST, self.ready, timeout=1)
                link.request("GET", "/-/readyz")
                if link.getresponse().status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError("the node did not get ready")

    def end(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(10)


def call(record, node, method, path, body=None, key="key-a", host="q.example", timeout_s=3.0):
    """Make a caller's call; return the status and the decoded body, or None for no answer."""
    link = http.client.HTTPConnection(HOST, node.caller, timeout=timeout_s)
    headers = {"Host": host, "Authorization": f"Bearer {key}"}
    headers["X-Toucandoor-Deadline-Ms"] = str(int(timeout_s * 1000))
    data = None
    if body is not None:
        data = json.dumps(body)
        headers["Content-Type"] = "application/json"
    try:
        link.request(method, path, data, headers)
        response = link.getresponse()
        text = response.read()
        status = response.status
    except OSError as err:
        record.add("caller", method, path, "-> no answer", err)
        return None, None
    finally:
        link.close()
    record.add("caller", method, path, "->", status, text.decode(errors="replace")[:80])
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None


class Setting:
    """Stand-ins and nodes of one case; ends all processes at its end."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="toucandoor-review-"))
        self.record = Record(folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.workers: list[Worker] = []
        self.cloud = Cloud(self.workers)
        self.nodes: list[Node] = []

    def add_worker(self, *args, **kwargs) -> Worker:
        """Start a backend server."""
        worker = Worker(self.store, self.record, *args, **kwargs)
        self.workers.append(worker)
        return worker

    def add_node(self, adviser: str = "") -> Node:
        """Start a node."""
        number = len(self.nodes) + 1
        node = Node(self.folder, self.store, self.cloud, number, adviser)
        self.nodes.append(node)
        return node

    def configure(self, version, routes, tenants, services=("s1",)) -> None:
        """Write a version of the configuration."""
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": [{"name": each, "admission_check": True} for each in services],
                "tenants": tenants,
                "limits": {"max_body_bytes": 262144},
            },
        )
        self.record.add("operator: version", version, "is confirmed")

    def close(self) -> None:
        """End all nodes and remove their files."""
        for node in self.nodes:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for file in self.folder.glob("*.log"):
                shutil.copy(file, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder: Path, case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    setting = Setting(folder)

    def give_up() -> None:
        setting.record.add("result: the case could not run: it took too long")
        setting.close()
        os._exit(2)

    threading.Timer(110.0, give_up).start()
    code = 2
    try:
        broken = case(setting)
        code = 1 if broken else 0
        setting.record.add("result:", f"BROKEN: {broken}" if broken else "held")
    except Exception as err:  # the case could not run
        setting.record.add("result: the case could not run:", type(err).__name__, err)
    finally:
        setting.close()
    os._exit(code)

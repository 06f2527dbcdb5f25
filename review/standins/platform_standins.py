"""Stand-ins of the platform's store and of workers, for the scripts of the review.

They follow the users' protocol page. All of them run in one event loop, on loopback addresses and
by the machine's monotonic clock. Whatever a worker or the store sees is written to the record.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ENDS_LISTED_MAX = 500
"""Most ended runs in one answer to a hold, by the protocol page."""
ITEMS_PER_PAGE = 500
TXN_ENTRIES_MAX = 32
ADVICE_WAITING_MAX = 32
VALUE_BYTES_MAX = 1_048_576
SILENT_S = 60.0
"""Time after which the connection of a call that is not answered is closed."""

Answer = tuple[int, Any]


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class NoAnswerError(Exception):
    """The call gets no answer: its connection is closed."""


class Record:
    """Log of what was sent, answered and run, with seconds since its creation."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the record was begun."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now_s:9.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """Minimal HTTP/1.1 server with JSON bodies and persistent connections."""

    def __init__(
        self,
        host: str,
        port: int,
        answer: Callable[[str, str, dict[str, str], Any, dict[str, str]], Awaitable[Answer]],
    ) -> None:
        self.host, self.port = host, port
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address as IP:port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self.serve_connection, self.host, self.port, backlog=512
        )

    def close(self) -> None:
        """Stop listening and reset the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        self._writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers: dict[str, str] = {}
                while (each := (await reader.readline()).strip()) != b"":
                    name, _, value = each.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length") or 0)
                raw = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                body = json.loads(raw) if raw else {}
                query = dict(parse_qsl(url.query))
                status, answer = await self._answer(method, url.path, query, body, headers)
                data = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except NoAnswerError:
            writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease_id: int = 0


@dataclass
class _Lease:
    ttl_ms: int
    until_s: float


class Store:
    """The platform's store.

    Attributes:
        down: Whether each call gets 503 and is not carried out.
    """

    def __init__(self, record: Record, value_bytes_max: int = VALUE_BYTES_MAX) -> None:
        self.server = HttpServer("127.0.0.1", free_port("127.0.0.1"), self._call)
        self.down = False
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.calls = 0
        self._record = record
        self._value_bytes_max = value_bytes_max
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, _Lease] = {}
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Listen, and end leases in time."""
        await self.server.start()
        self._task = asyncio.create_task(self._tick())

    async def put(self, key: str, value: Any) -> None:
        """Write an item as the operator or a worker does."""
        self.revision += 1
        self._set(key, json.dumps(value).encode(), 0)
        await self._notify()

    async def remove(self, key: str) -> None:
        """Remove an item as the platform does."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            await self._notify()

    def written(self, key: str) -> int:
        """Return how often a key has been written."""
        return sum(row["key"] == key and "value" in row for row in self._history)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            ended = [number for number, lease in self._leases.items() if lease.until_s <= now_s]
            for number in ended:
                self._end_lease(number)
            if ended:
                await self._notify()

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        keys = [key for key, item in self.items.items() if item.lease_id == number]
        if keys:
            self.revision += 1
        for key in keys:
            self._delete(key)

    def _set(self, key: str, value: bytes, lease_id: int) -> None:
        before = self.items.get(key)
        created = before.created if before is not None else self.revision
        self.items[key] = _Item(value, self.revision, created, lease_id)
        self._history.append(self._row(key))

    def _delete(self, key: str) -> None:
        del self.items[key]
        self._history.append({"key": key, "revision": self.revision, "deleted": True})

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease_id": item.lease_id,
        }

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: Any, headers: dict[str, str]
    ) -> Answer:
        self.calls += 1
        if self.down:
            return 503, {}
        name, _, number = path.removeprefix("/-/").partition("/")
        if name == "kv-watch":
            return await self._watch(query)
        answer = self._answer(name, number, query, body)
        await self._notify()
        return answer

    def _answer(self, name: str, number: str, query: dict[str, str], body: Any) -> Answer:
        if name == "kv-key":
            key = query["key"]
            return (200, self._row(key)) if key in self.items else (404, {})
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self._row(key) for key in keys[:ITEMS_PER_PAGE]]
            more = len(keys) > ITEMS_PER_PAGE
            return 200, {"items": page, "has_more": more, "at": self.revision}
        if name == "kv-txn":
            return self._write(body)
        if name == "kv-lease":
            lease_id = self.revision * 1000 + len(self._leases) + 1
            while lease_id in self._leases:
                lease_id += 1
            ttl_ms = max(1000, body["ttl_ms"])
            self._leases[lease_id] = _Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease_id": lease_id, "ttl_ms": ttl_ms}
        lease = self._leases.get(int(number or 0))
        if lease is None:
            return 404, {}
        if name == "kv-keep":
            lease.until_s = time.monotonic() + lease.ttl_ms / 1000
            return 200, {"ttl_ms": lease.ttl_ms}
        if name == "kv-lease-end":
            self._end_lease(int(number))
            return 200, {}
        return 404, {}

    def _write(self, body: Any) -> Answer:
        expected = body.get("expected_revision", [])
        writes, removals = body.get("write", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removals) > TXN_ENTRIES_MAX:
            return 400, {"reason": "too many entries"}
        values = {each["key"]: base64.b64decode(each["value"]) for each in writes}
        largest = max(map(len, values.values()), default=0)
        if largest > self._value_bytes_max:
            self._record.write(f"store: a write of a value of {largest} bytes is rejected (400)")
            return 400, {"reason": "value too large"}
        if any(key.startswith(("op/", "servers/")) for key in [*values, *removals]):
            return 403, {}
        if any(each.get("lease_id", 0) not in (0, *self._leases) for each in writes):
            return 404, {}
        for each in expected:
            item = self.items.get(each["key"])
            if (item.revision if item is not None else 0) != each["revision"]:
                present = [each["key"] for each in expected if each["key"] in self.items]
                return 412, {"items": [self._row(key) for key in present]}
        self.revision += 1
        for each in writes:
            self._set(each["key"], values[each["key"]], each.get("lease_id", 0))
        for key in removals:
            if key in self.items:
                self._delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.down:
                return 503, {}
            found = []
            for row in reversed(self._history):
                if row["revision"] <= after:
                    break
                if row["key"].startswith(prefix):
                    found.append(row)
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found[::-1], "at": self.revision}
            async with self._changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))


@dataclass
class Run:
    """One run of a work item on a worker, as the worker saw it.

    Attributes:
        started_s: When it was started, on the machine's monotonic clock.
        ended_s: When it ended; None while it runs.
        how: How it ended.
        noted_s: When a hold's `last_seen` reached its end; None before that.
    """

    task: str
    attempt: int
    worker: str
    cpu: int
    mem_mb: int
    started_s: float
    ended_s: float | None = None
    how: str = ""
    number: int = 0
    noted_s: float | None = None


@dataclass
class Needs:
    """What a work item needs, and for how long it runs."""

    cpu: int
    mem_mb: int
    run_s: float


class Worker:
    """One boot of a worker.

    Args:
        needs: Returns what a work item needs, from its name.

    Attributes:
        runs: Runs in the order of their starts.
        ends_listed_most: Most ends that waited at once to be taken note of.
        silent: Whether it answers no call and does nothing that a call asks for.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        worker_id: str,
        service: str,
        needs: Callable[[str], Needs],
        *,
        cpu: int = 64_000,
        mem_mb: int = 262_144,
        zone: str = "dc-a",
        hold_max_ms: int = 6000,
        heartbeat_s: float = 1.5,
        machine: str = "",
    ) -> None:
        self.worker_id, self.service = worker_id, service
        self.machine = machine or f"m-{worker_id}"
        self.cpu, self.mem_mb, self.zone = cpu, mem_mb, zone
        self.runs: list[Run] = []
        self.ends_listed_most = 0
        self.silent = False
        self._record, self._store, self._needs = record, store, needs
        self._hold_max_ms, self._heartbeat_s = hold_max_ms, heartbeat_s
        self._began_s = time.monotonic()
        self.born = int(time.time() * 1000)
        self._fence = 0
        self._lease_until_ms = 0
        self._active: dict[tuple[str, int], Run] = {}
        self._refused: dict[str, int] = {}
        self._ended: list[Run] = []
        self._ends = 0
        self._sequence = 0
        self._news = asyncio.Condition()
        self.server = HttpServer("127.0.0.1", free_port("127.0.0.1"), self._call)

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    async def start(self) -> None:
        """Listen, register in the store, and begin to write its entry."""
        await self.server.start()
        self._tasks = [asyncio.create_task(each()) for each in (self._beat, self._watch_lease)]

    async def leave(self) -> None:
        """End with everything that runs, and remove the entry."""
        for task in self._tasks:
            task.cancel()
        self.server.close()
        for run in list(self._active.values()):
            self._end(run, "lost")
        await self._store.remove(f"servers/{self.worker_id}")

    async def successor(self) -> Worker:
        """Start the next worker on the machine, which has another id, and return it."""
        name, _, lives = self.worker_id.partition("+")
        worker = Worker(
            self._record,
            self._store,
            f"{name}+{int(lives or 0) + 1}",
            self.service,
            self._needs,
            cpu=self.cpu,
            mem_mb=self.mem_mb,
            zone=self.zone,
            hold_max_ms=self._hold_max_ms,
            heartbeat_s=self._heartbeat_s,
            machine=self.machine,
        )
        await worker.start()
        return worker

    async def _beat(self) -> None:
        while True:
            if not self._store.down and not self.silent:
                self._sequence += 1
                await self._store.put(
                    f"servers/{self.worker_id}",
                    {
                        "service": self.service,
                        "address": self.server.address,
                        "zone": self.zone,
                        "version": "1",
                        "slots": 8,
                        "state": "ready",
                        "cold_left_ms": 0,
                        "sequence": self._sequence,
                        "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                        "labels": ["a", "r1"],
                        "born": self.born,
                        "machine": self.machine,
                    },
                )
            await asyncio.sleep(self._heartbeat_s)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self._active and self.clock_ms > self._lease_until_ms:
                for run in list(self._active.values()):
                    self._end(run, "lapsed")
                await self._tell()

    async def _tell(self) -> None:
        async with self._news:
            self._news.notify_all()

    def _end(self, run: Run, how: str) -> None:
        if self._active.pop((run.task, run.attempt), None) is None:
            return
        self._ends += 1
        run.ended_s, run.how, run.number = time.monotonic(), how, self._ends
        self._ended.append(run)
        self._refused[run.task] = max(self._refused.get(run.task, 0), run.attempt)
        self._record.write(
            f"{self.worker_id}: end {run.task} run {run.attempt} {how} N={run.number}"
        )

    def _extend(self, body: Any) -> None:
        until_ms = body.get("deadline_ms")
        if until_ms is not None:
            capped = min(until_ms, self.clock_ms + self._hold_max_ms)
            self._lease_until_ms = max(self._lease_until_ms, capped)

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: Any, headers: dict[str, str]
    ) -> Answer:
        if self.silent:
            await asyncio.sleep(SILENT_S)
            raise NoAnswerError
        if headers.get("x-toucandoor-expected-instance", self.worker_id) != self.worker_id:
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self._fence:
            return 409, {"clock_ms": self.clock_ms, "reason": "fence", "born": self.born}
        self._fence = token
        name = path.removeprefix("/-/")
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return await self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return 200, {"clock_ms": self.clock_ms, "born": self.born}

    def _start(self, body: Any) -> Answer:
        task, attempt = body["task"], body["attempt"]
        reply = {"clock_ms": self.clock_ms, "born": self.born}
        if (task, attempt) in self._active:
            self._extend(body)
            return 200, reply
        if body["deadline_ms"] <= self.clock_ms:
            return 409, reply | {"reason": "late"}
        self._extend(body)
        if attempt <= self._refused.get(task, 0):
            return 409, reply | {"reason": "old"}
        needs = self._needs(task)
        used_cpu = sum(run.cpu for run in self._active.values())
        used_mem = sum(run.mem_mb for run in self._active.values())
        if used_cpu + needs.cpu > self.cpu or used_mem + needs.mem_mb > self.mem_mb:
            return 409, reply | {"reason": "room"}
        run = Run(task, attempt, self.worker_id, needs.cpu, needs.mem_mb, time.monotonic())
        self._active[(task, attempt)] = run
        self.runs.append(run)
        self._record.write(f"{self.worker_id}: start {task} run {attempt} token {self._fence}")
        asyncio.get_running_loop().call_later(needs.run_s, self._done, run)
        return 200, reply

    def _done(self, run: Run) -> None:
        if run.ended_s is None:
            self._end(run, "done")
            self._task = asyncio.create_task(self._tell())

    async def _stop(self, body: Any) -> Answer:
        task, attempt = body["task"], body["attempt"]
        self._refused[task] = max(self._refused.get(task, 0), attempt)
        run = self._active.get((task, attempt))
        if run is not None:
            self._end(run, "stopped")
            await self._tell()
        return 200, {"clock_ms": self.clock_ms, "born": self.born}

    async def _hold(self, body: Any) -> Answer:
        self._extend(body)
        seen = body.get("last_seen", 0)
        for run in self._ended:
            if run.number <= seen and run.noted_s is None:
                run.noted_s = time.monotonic()
        self._ended = [run for run in self._ended if run.number > seen]
        until_s = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self._ended and (left_s := until_s - time.monotonic()) > 0:
            async with self._news:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._news.wait(), left_s)
        listed = self._ended[:ENDS_LISTED_MAX]
        self.ends_listed_most = max(self.ends_listed_most, len(self._ended))
        return 200, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "active": [[run.task, run.attempt, "", 100, run.cpu] for run in self._active.values()],
            "finished": [[run.number, run.task, run.attempt, run.how, ""] for run in listed],
        }


class Adviser:
    """The service that says which workers may run a step; it approves all that are named.

    Args:
        decision_ms: Fixed part of the time that a call takes.
        period_ms: Additional time for each worker named.
        validity_ms: Time for which tickets are valid.
    """

    def __init__(self, record: Record, decision_ms: int, period_ms: int, validity_ms: int) -> None:
        self.server = HttpServer("127.0.0.1", free_port("127.0.0.1"), self._call)
        self._record = record
        self._decision_ms, self._period_ms = decision_ms, period_ms
        self._validity_ms = validity_ms
        self._turn = asyncio.Lock()
        self._waiting = 0

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: Any, headers: dict[str, str]
    ) -> Answer:
        if self._waiting >= ADVICE_WAITING_MAX:
            return 429, {}
        self._waiting += 1
        # All calls come from the one node that owns the schedule, and are handled in turn.
        async with self._turn:
            self._waiting -= 1
            took_ms = self._decision_ms + self._period_ms * len(body["workers"])
            await asyncio.sleep(took_ms / 1000)
        self._record.write(
            f"adviser: answers for {body['phase']}, {len(body['workers'])} workers, {took_ms} ms"
        )
        approved = [[worker, f"t-{worker}"] for worker in body["workers"]]
        return 200, {"approved": approved, "validity_ms": self._validity_ms}


def _run_text(run: Run) -> str:
    return f"run {run.attempt} on {run.worker}"


def find_twice(runs: list[Run]) -> list[str]:
    """Return where a work item ran twice, by the rule TWICE for steps without `speculative`.

    Two runs of one work item at the same time, or a start after a run has ended `done`, if that end
    was taken note of. A lapse of the worker's lease between the two is not looked at: in the
    scripts that use this, a lapse counts as an error of the script.
    """
    found: list[str] = []
    by_task: dict[str, list[Run]] = {}
    for run in sorted(runs, key=lambda each: each.started_s):
        by_task.setdefault(run.task, []).append(run)
    for task, each in by_task.items():
        for first, second in zip(each, each[1:], strict=False):
            names = f"{task}: {_run_text(first)}, {_run_text(second)}"
            if first.ended_s is None or second.started_s < first.ended_s:
                found.append(f"{names}: at the same time")
            elif first.how == "done" and first.noted_s is not None:
                found.append(f"{names}: started after the first had ended done")
    return found


class Machines:
    """The platform's list of machines, and orders on them; fences are not checked.

    Attributes:
        orders: Machine, holder and fencing token of each order, in the order of their arrival.
    """

    def __init__(self, record: Record, store: Store, maintenance_s: float = 2.0) -> None:
        self.orders: list[tuple[str, str, int]] = []
        self._record, self._store = record, store
        self._maintenance_s = maintenance_s
        self._workers: dict[str, Worker] = {}
        self._states: dict[str, str] = {}
        self._done: set[tuple[str, int]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # The shortest queue of new channels: while it is full, opening packets are dropped.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._http = HttpServer("127.0.0.1", 0, self._call)
        self._accepting: asyncio.Task[None] | None = None
        self._queued: list[socket.socket] = []

    def add(self, worker: Worker) -> None:
        """Add the machine of a worker."""
        self._workers[worker.machine] = worker
        self._states[worker.machine] = "up"

    async def start(self) -> None:
        """Listen."""
        self._listener.listen(0)
        self._accepting = asyncio.create_task(self._accept())

    async def fall_silent(self) -> None:
        """Drop all connections and accept none; opening packets get no answer."""
        assert self._accepting is not None
        self._accepting.cancel()
        self._http.close()
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._queued.append(filler)
        self._record.write("machines: silent")

    async def serve_again(self) -> None:
        """Accept connections again."""
        for filler in self._queued:
            filler.close()
        self._queued = []
        self._accepting = asyncio.create_task(self._accept())
        self._record.write("machines: serves again")

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._listener)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader, self._http.serve_connection)
            await loop.connect_accepted_socket(lambda each=protocol: each, accepted)

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: Any, headers: dict[str, str]
    ) -> Answer:
        name = path.removeprefix("/-/")
        if name == "machines":
            return 200, {"machines": list(map(self._row, sorted(self._workers)))}
        machine = body["machine"]
        holder = headers.get("x-toucandoor-lease-holder", "")
        token = int(headers.get("x-toucandoor-fencing-token") or 0)
        self.orders.append((machine, holder, token))
        status, answer = self._order(name, machine, body)
        self._record.write(
            f"machines: {name} of {machine} by {holder}, token {token}: {status} {answer}"
        )
        return status, answer

    def _order(self, name: str, machine: str, body: Any) -> Answer:
        if machine not in self._workers or name != "machine-upkeep":
            return 400, {}
        if (machine, body["rollout_wave"]) in self._done:
            return 200, {}
        if self._states[machine] != "up":
            return 409, {"reason": "busy"}
        self._done.add((machine, body["rollout_wave"]))
        task = asyncio.create_task(self._maintain(machine))
        self._tasks.add(task)
        return 200, {}

    async def _maintain(self, machine: str) -> None:
        self._states[machine] = "upkeep"
        worker = self._workers[machine]
        await worker.leave()
        await asyncio.sleep(self._maintenance_s)
        self._workers[machine] = await worker.successor()
        self._states[machine] = "up"

    def _row(self, machine: str) -> dict[str, Any]:
        worker = self._workers[machine]
        return {
            "machine": machine,
            "pool": worker.service,
            "state": self._states[machine],
            "zone": worker.zone,
            "labels": ["a", "r1"],
            "capacity": {"cpu": worker.cpu, "mem_mb": worker.mem_mb, "gpu": 0},
            "id": worker.worker_id,
        }


def find_stale_orders(orders: list[tuple[str, str, int]]) -> list[str]:
    """Return where a machine got an order with a lower fencing token after one with a higher."""
    found: list[str] = []
    highest: dict[str, tuple[int, str]] = {}
    for machine, holder, token in orders:
        before, by = highest.get(machine, (0, ""))
        if token < before:
            found.append(f"{machine}: token {token} of {holder} after token {before} of {by}")
        if token == before and holder != by:
            found.append(f"{machine}: token {token} of {holder} and of {by}")
        highest[machine] = max(highest.get(machine, (0, "")), (token, holder))
    return found

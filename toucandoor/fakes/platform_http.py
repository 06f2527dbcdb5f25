"""Stand-ins of the platform's store and backend servers over HTTP, for tests of real nodes.

They follow the platform's protocol as far as `toucandoor-node` uses it. The stand-ins in virtual
time decide what happens; here they run by the clock of the machine.
"""

from __future__ import annotations

import base64
import threading
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl

import msgspec

from toucandoor.adapters.wsgi import make_server, read_json, respond_json
from toucandoor.clock import BootClock
from toucandoor.core.jobs.models import TaskKey
from toucandoor.core.records import Record, Transaction, TransactionConflictError
from toucandoor.core.scheduling.workers import (
    EndReason,
    OrderRefusal,
    OrderRefusedError,
    RunKey,
    StartOrder,
    StatusReport,
    WorkerEntry,
)
from toucandoor.fakes.virtual_platform import (
    Observations,
    TaskBehaviour,
    VirtualRecords,
    VirtualWorker,
)
from toucandoor.ids import FencingToken, JobId, WorkerId
from toucandoor.platform.operator_records import WORKER_PREFIX
from toucandoor.platform.workers import task_name

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cheroot import wsgi

    from toucandoor.adapters.wsgi import Environ, StartResponse, WsgiApp

STORE_THREADS: Final = 40
"""Calls served at once; each node keeps a handful of watches waiting."""
WORKER_THREADS: Final = 4
POLL_S: Final = 0.01
"""Interval at which a waiting heartbeat looks for ended runs."""

_END_NAMES = {
    EndReason.DONE: "done",
    EndReason.FAILED: "failed",
    EndReason.STOPPED: "stopped",
    EndReason.LEASE_EXPIRED: "lapsed",
}
_REFUSAL_NAMES = {
    OrderRefusal.FENCED: "fence",
    OrderRefusal.SUPERSEDED: "old",
    OrderRefusal.DEADLINE_PASSED: "late",
    OrderRefusal.NO_ROOM: "room",
}


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_s: float
    keys: set[str] = field(default_factory=set)


class HttpServers:
    """HTTP servers that are closed together."""

    def __init__(self) -> None:
        self._servers: list[wsgi.Server] = []

    def serve(self, address: str, app: WsgiApp, threads: int) -> None:
        """Serve an application at an address."""
        server = make_server(address, app, threads)
        server.shutdown_timeout = 0.1
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self._servers.append(server)

    def close(self) -> None:
        """Stop all servers."""
        for server in self._servers:
            server.stop()


class HttpStore:
    """The platform's store, and an empty list of VMs.

    Args:
        clock: The machine's clock.
    """

    def __init__(self, clock: BootClock) -> None:
        self._clock = clock
        self._records = VirtualRecords()
        self._records.on_change = self._on_change
        self._changed = threading.Condition()
        self._history: list[tuple[int, str, Record | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = count(1)

    def put(self, key: str, value: Any) -> None:
        """Write a record as JSON; it is confirmed when this returns."""
        with self._changed:
            self._records.write(Transaction(writes={key: msgspec.json.encode(value)}))
            self._changed.notify_all()

    def remove(self, key: str) -> None:
        """Remove a record."""
        with self._changed:
            self._records.remove(key)
            self._changed.notify_all()

    def app(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one call."""
        query = dict(parse_qsl(environ["QUERY_STRING"]))
        name, _, lease_id = environ["PATH_INFO"].removeprefix("/-/").partition("/")
        body = read_json(environ)
        with self._changed:
            self._drop_expired()
            status, answer = self._answer(name, lease_id, query, body)
            self._changed.notify_all()
        return respond_json(start_response, status, answer)

    def _answer(
        self, name: str, lease_id: str, query: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        match name:
            case "kv-key":
                record = self._records.records.get(query["key"])
                return (404, {}) if record is None else (200, _item(record))
            case "kv-range":
                found = self._records.below(query["prefix"])
                return 200, {"items": list(map(_item, found)), "at": self._records.revision}
            case "kv-watch":
                return 200, self._watch(query)
            case "kv-txn":
                return self._write(body)
            case "kv-lease":
                number = next(self._lease_ids)
                self._leases[number] = _Lease(body["ttl_ms"], 0.0)
                return self._renew(number) or (404, {})
            case "kv-keep":
                return self._renew(int(lease_id)) or (404, {})
            case "kv-lease-end":
                self._leases[int(lease_id)].expires_s = 0.0
                self._drop_expired()
                return 200, {}
            case "machines":
                return 200, {"machines": []}
        return 404, {}

    def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["after"])
        until_s = self._clock.monotonic_s() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                each
                for each in self._history
                if each[0] > after and each[1].startswith(query["prefix"])
            ]
            left_s = until_s - self._clock.monotonic_s()
            if events or left_s <= 0:
                break
            self._changed.wait(left_s)
        items = [
            _item(record) if record is not None else _deletion(revision, key)
            for revision, key, record in events
        ]
        return {"events": items, "at": self._records.revision}

    def _write(self, body: dict[str, Any]) -> tuple[int, Any]:
        lease_ids = {each["lease_id"] for each in body["write"] if "lease_id" in each}
        if not lease_ids <= self._leases.keys():
            return 404, {}
        expected = {each["key"]: each["revision"] for each in body["expected_revision"]}
        writes = {each["key"]: base64.b64decode(each["value"]) for each in body["write"]}
        # Removals get revisions of their own, so that the answer's is that of the written records.
        try:
            revision = self._records.write(Transaction(expected, writes))
        except TransactionConflictError as err:
            return 412, {"items": list(map(_item, err.present))}
        for key in body["remove"]:
            self._records.remove(key)
        for lease_id in lease_ids:
            self._leases[lease_id].keys |= writes.keys()
        return 200, {"revision": revision}

    def _renew(self, number: int) -> tuple[int, Any] | None:
        lease = self._leases.get(number)
        if lease is None:
            return None
        lease.expires_s = self._clock.monotonic_s() + lease.ttl_ms / 1000
        return 200, {"lease_id": number, "ttl_ms": lease.ttl_ms}

    def _drop_expired(self) -> None:
        now_s = self._clock.monotonic_s()
        for number, lease in list(self._leases.items()):
            if lease.expires_s <= now_s:
                del self._leases[number]
                for key in lease.keys:
                    self._records.remove(key)

    def _on_change(self, key: str, record: Record | None) -> None:
        self._history.append((self._records.revision, key, record))


class HttpWorkers:
    """Backend servers, each at an address of its own.

    Args:
        clock: The machine's clock.
        behaviour: Returns how a task runs on a backend server.

    Attributes:
        observations: Runs and violations of all servers.
    """

    def __init__(
        self, clock: BootClock, behaviour: Callable[[TaskKey, WorkerId], TaskBehaviour]
    ) -> None:
        self._clock = clock
        self._behaviour = behaviour
        self._lock = threading.Lock()
        self.observations = Observations()

    def boot(self, servers: HttpServers, store: HttpStore, entry: WorkerEntry) -> None:
        """Start a server at its address and write its entry to the store."""
        worker = VirtualWorker(entry, self._clock, self.observations, self._behaviour)
        servers.serve(
            entry.address,
            lambda environ, start_response: self._answer(worker, environ, start_response),
            WORKER_THREADS,
        )
        capacity = entry.capacity
        store.put(
            f"{WORKER_PREFIX}{entry.worker_id}",
            {
                "service": entry.pool,
                "address": entry.address,
                "zone": entry.data_centre,
                "state": "ready",
                "capacity": {
                    "cpu": capacity.cpu_millicores,
                    "mem_mb": capacity.memory_mb,
                    "gpu": capacity.gpus,
                },
                "labels": entry.labels,
                "sequence": 1,
                "born": entry.booted_unix_ms,
            },
        )

    def _answer(
        self, worker: VirtualWorker, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = read_json(environ)
        try:
            answer = self._order(worker, environ["PATH_INFO"], body)
        except OrderRefusedError as err:
            reason = _REFUSAL_NAMES[err.refusal]
            return respond_json(start_response, 409, {"reason": reason, "clock_ms": err.clock_ms})
        return respond_json(start_response, 200, answer)

    def _order(self, worker: VirtualWorker, path: str, body: dict[str, Any]) -> dict[str, Any]:
        token = FencingToken(body["fencing_token"])
        if path == "/-/hold":
            return self._hold(worker, token, body)
        with self._lock:
            if path == "/-/run-start":
                run, until_ms = _run_key(body), body["deadline_ms"]
                return {
                    "clock_ms": worker.start(StartOrder(run, body["spec"], until_ms, token, ""))
                }
            return {"clock_ms": worker.stop(_run_key(body), token)}

    def _hold(
        self, worker: VirtualWorker, token: FencingToken, body: dict[str, Any]
    ) -> dict[str, Any]:
        until_s = self._clock.monotonic_s() + body.get("wait_ms", 0) / 1000
        while True:
            with self._lock:
                report = worker.heartbeat(token, body.get("deadline_ms"), body["last_seen"])
            if report.ended or self._clock.monotonic_s() >= until_s:
                return _hold_answer(report)
            threading.Event().wait(POLL_S)


def _item(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "revision": record.revision,
        "created": record.created_revision,
        "value": base64.b64encode(record.value).decode(),
    }


def _deletion(revision: int, key: str) -> dict[str, Any]:
    return {"key": key, "revision": revision, "deleted": True}


def _run_key(body: dict[str, Any]) -> RunKey:
    job_id, *numbers = body["task"].split(".")
    return RunKey(TaskKey(JobId(job_id), *map(int, numbers)), body["attempt"])


def _hold_answer(report: StatusReport) -> dict[str, Any]:
    return {
        "clock_ms": report.clock_ms,
        "born": report.booted_unix_ms,
        "active": [
            [task_name(each.run.task), each.run.attempt, each.checkpoint, each.speed_percent]
            for each in report.active
        ],
        "finished": [
            [each.sequence, task_name(each.run.task), each.run.attempt, _END_NAMES[each.reason]]
            for each in report.ended
        ],
    }

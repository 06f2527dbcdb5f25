"""Stand-in for the platform's store and for one backend server, over HTTP, with outages.

It serves the calls of ``toucandoor.platform.store`` and ``toucandoor.platform.workers`` as far as
the node program makes them. An outage affects the store alone.
"""

from __future__ import annotations

import base64
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl, urlsplit

import msgspec

from toucandoor.adapters.settings import split_address
from toucandoor.core.jobs.models import TaskKey
from toucandoor.core.records import Record, Transaction, TransactionConflictError
from toucandoor.core.scheduling.workers import (
    EndReason,
    OrderRefusal,
    OrderRefusedError,
    RunKey,
    StartOrder,
)
from toucandoor.fakes.virtual_platform import VirtualRecords
from toucandoor.ids import FencingToken, JobId
from toucandoor.platform.workers import task_name

if TYPE_CHECKING:
    from toucandoor.fakes.virtual_platform import VirtualWorker

POLL_S: Final = 0.01
"""Interval at which a waiting call looks for a change, the end of a lease, or an outage."""

SILENT_S: Final = 10.0
"""Time after which a call that is not answered ends; longer than the time-outs of all calls, as the
packets of a connection that is cut off are lost."""
HISTORY_MAX: Final = 5000
"""Changes that are kept for watches."""

_REFUSALS = {
    OrderRefusal.FENCED: "fence",
    OrderRefusal.SUPERSEDED: "old",
    OrderRefusal.DEADLINE_PASSED: "late",
    OrderRefusal.NO_ROOM: "room",
}
_END_REASONS = {
    EndReason.DONE: "done",
    EndReason.FAILED: "failed",
    EndReason.STOPPED: "stopped",
    EndReason.LEASE_EXPIRED: "lapsed",
}

Answer = tuple[int, Any]


class Outage(Enum):
    """What the store does with calls."""

    NONE = "none"
    REFUSES = "refuses"
    """Each call is answered with 503 and not carried out."""
    SILENT = "silent"
    """Writes are carried out, but calls are not answered, also when the outage is over."""
    RESETS = "resets"
    """Connections are reset; every second write is carried out before."""


class _NotAnsweredError(Exception):
    """The connection ends without an answer."""


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    until_s: float
    keys: set[str] = field(default_factory=set)


class FakePlatformStore:
    """Serves the store and one backend server from a thread of its own.

    Args:
        address: ``IP:port`` to listen on.
        worker: The backend server; None for none.

    Attributes:
        records: All records.
        outage: Present outage.
    """

    def __init__(self, address: str, worker: VirtualWorker | None = None) -> None:
        self.records = VirtualRecords()
        self.records.on_change = self._on_change
        self.outage = Outage.NONE
        self._worker = worker
        self._lock = threading.RLock()
        self._history: list[tuple[int, str, Record | None]] = []
        self._leases: dict[int, _Lease] = {}
        self._forgotten_revision = 0
        self._lost_writes = 0
        fake = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                body = msgspec.json.decode(self.rfile.read(length)) if length else {}
                url = urlsplit(self.path)
                try:
                    status, answer = fake.call(url.path, dict(parse_qsl(url.query)), body)
                except _NotAnsweredError:
                    reset = struct.pack("ii", 1, 0)
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
                    self.close_connection = True
                    return
                data = msgspec.json.encode(answer)
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815  names that the base class calls

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: object) -> None:
                """Ignore clients that have closed their connections."""

            def shutdown_request(self, request: Any) -> None:
                """Close without a shutdown, so that a connection can be reset."""
                self.close_request(request)

        self._server = Server(split_address(address), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def call(self, path: str, query: dict[str, str], body: dict[str, Any]) -> Answer:
        """Carry out one call; raises `_NotAnsweredError` if it gets no answer."""
        name = path.removeprefix("/-/").split("/")[0]
        if not name.startswith("kv-"):
            return self._call_worker(name, body)
        if self.outage is not Outage.NONE:
            return self._fail(name, path, query, body)
        if name == "kv-watch":
            return self._watch(query)
        with self._lock:
            return self._call_store(name, path, query, body)

    def _fail(self, name: str, path: str, query: dict[str, str], body: dict[str, Any]) -> Answer:
        outage = self.outage
        if outage is Outage.REFUSES:
            return 503, {}
        if name == "kv-txn":
            with self._lock:
                self._lost_writes += 1
                if outage is Outage.SILENT or self._lost_writes % 2:
                    self._call_store(name, path, query, body)
        if outage is Outage.SILENT:
            time.sleep(SILENT_S)
        raise _NotAnsweredError

    def _call_store(
        self, name: str, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> Answer:
        self._end_leases()
        lease_id = int(path.rsplit("/", 1)[1]) if path.count("/") > 2 else 0
        lease = self._leases.get(lease_id)
        match name:
            case "kv-key":
                record = self.records.records.get(query["key"])
                return (404, {}) if record is None else (200, _item(record))
            case "kv-range":
                found = self.records.below(query["prefix"])
                return 200, {"items": [_item(each) for each in found], "at": self.records.revision}
            case "kv-txn":
                return self._write(body)
            case "kv-lease":
                ttl_s = body["ttl_ms"] / 1000
                lease_id = len(self._leases) + 1
                self._leases[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
                return 200, {"lease_id": lease_id, "ttl_ms": body["ttl_ms"]}
            case "kv-keep" if lease is not None and lease.until_s > 0:
                lease.until_s = time.monotonic() + lease.ttl_s
                return 200, {"ttl_ms": int(lease.ttl_s * 1000)}
            case "kv-lease-end" if lease is not None:
                lease.until_s = min(lease.until_s, time.monotonic())
                self._end_leases()
                return 200, {}
        return 404, {}

    def _write(self, body: dict[str, Any]) -> Answer:
        writes = {each["key"]: base64.b64decode(each["value"]) for each in body["write"]}
        expected = {each["key"]: each["revision"] for each in body["expected_revision"]}
        lease_ids = {each["lease_id"] for each in body["write"] if "lease_id" in each}
        if any(self._leases[each].until_s <= 0 for each in lease_ids):
            return 404, {}
        try:
            revision = self.records.write(Transaction(expected, writes, tuple(body["remove"])))
        except TransactionConflictError as err:
            return 412, {"items": [_item(each) for each in err.present]}
        for lease_id, lease in self._leases.items():
            lease.keys -= writes.keys()
            if lease_id in lease_ids:
                lease.keys |= writes.keys()
        return 200, {"revision": revision}

    def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.outage is not Outage.NONE:
                return self._fail("kv-watch", "", query, {})
            with self._lock:
                self._end_leases()
                if after < self._forgotten_revision:
                    return 410, {}
                events = [
                    _item(record) if record is not None else _deletion(key, revision)
                    for revision, key, record in self._history
                    if revision > after and key.startswith(prefix)
                ]
                if events or time.monotonic() >= until_s:
                    return 200, {"events": events, "at": self.records.revision}
            time.sleep(POLL_S)

    def _on_change(self, key: str, record: Record | None) -> None:
        self._history.append((self.records.revision, key, record))
        if len(self._history) > HISTORY_MAX:
            self._forgotten_revision = self._history.pop(0)[0]

    def _end_leases(self) -> None:
        for lease in self._leases.values():
            if 0 < lease.until_s <= time.monotonic():
                lease.until_s = 0.0
                for key in lease.keys:
                    self.records.remove(key)

    def _call_worker(self, name: str, body: dict[str, Any]) -> Answer:
        worker = self._worker
        if worker is None:
            return 421, {}
        token = FencingToken(body["fencing_token"])
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while True:
            with self._lock:
                try:
                    if name == "run-start":
                        run = RunKey(_task(body["task"]), body["attempt"])
                        order = StartOrder(run, body["spec"], body["deadline_ms"], token, "")
                        return 200, {"clock_ms": worker.start(order)}
                    if name == "run-stop":
                        run = RunKey(_task(body["task"]), body["attempt"])
                        return 200, {"clock_ms": worker.stop(run, token)}
                    report = worker.heartbeat(token, body.get("deadline_ms"), body["last_seen"])
                except OrderRefusedError as err:
                    return 409, {"reason": _REFUSALS[err.refusal], "clock_ms": err.clock_ms}
            if report.ended or time.monotonic() >= until_s:
                return 200, {
                    "clock_ms": report.clock_ms,
                    "born": report.booted_unix_ms,
                    "active": [
                        [*_run_row(each.run), "", each.speed_percent] for each in report.active
                    ],
                    "finished": [
                        [each.sequence, *_run_row(each.run), _END_REASONS[each.reason]]
                        for each in report.ended
                    ],
                }
            time.sleep(POLL_S)


def _item(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": base64.b64encode(record.value).decode(),
        "revision": record.revision,
        "created": record.created_revision,
    }


def _deletion(key: str, revision: int) -> dict[str, Any]:
    return {"key": key, "revision": revision, "deleted": True}


def _run_row(run: RunKey) -> list[Any]:
    return [task_name(run.task), run.attempt]


def _task(name: str) -> TaskKey:
    job_id, occurrence, step, number = name.split(".")
    return TaskKey(JobId(job_id), int(occurrence), int(step), int(number))

"""Stand-in of the platform's store over HTTP, with outages, for tests of real nodes.

It follows the platform's protocol as far as `toucandoor-node` uses it. The stand-in in virtual time
decides what happens; here it runs by the clock of the machine.
"""

from __future__ import annotations

import base64
import socket
import struct
import sys
import threading
import time
from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qsl, urlsplit

import msgspec

from toucandoor.adapters.settings import split_address
from toucandoor.core.records import Record, Transaction, TransactionConflictError
from toucandoor.fakes.virtual_platform import VirtualRecords

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock

POLL_S: Final = 0.01
"""Interval at which a waiting call looks for a change, the end of a run, or an outage."""
SILENT_S: Final = 10.0
"""Time after which a call that is not answered ends; longer than the time-outs of all calls, as the
packets of a connection that is cut off are lost."""
HISTORY_MAX: Final = 5000
"""Changes that are kept for watches."""

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


class _Handler(BaseHTTPRequestHandler):
    """Reads the calls of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: HttpServer

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = msgspec.json.decode(self.rfile.read(length)) if length else {}
        url = urlsplit(self.path)
        path = url.path.removeprefix("/-/")
        try:
            status, answer = self.server.answer(path, dict(parse_qsl(url.query)), body)
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


class HttpServer(ThreadingHTTPServer):
    """Serves calls at an address, from a thread for each connection."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(
        self, address: str, answer: Callable[[str, dict[str, str], dict[str, Any]], Answer]
    ) -> None:
        super().__init__(split_address(address), _Handler)
        self.answer = answer
        threading.Thread(target=self.serve_forever, args=(POLL_S,), daemon=True).start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self.shutdown()
        self.server_close()

    def handle_error(self, *where: Any) -> None:
        """Report errors, but not clients that have closed their connections."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(*where)

    def shutdown_request(self, request: Any) -> None:
        """Close without a shutdown, so that a connection can be reset."""
        self.close_request(request)


@dataclass(slots=True)
class _Lease:
    ttl_ms: int
    expires_s: float
    keys: set[str] = field(default_factory=set)


class FakePlatformStore:
    """The platform's store, and an empty list of VMs.

    Args:
        address: ``IP:port`` to listen on.
        clock: The machine's clock.

    Attributes:
        records: All records.
        outage: Present outage.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self.records = VirtualRecords()
        self.records.on_change = self._on_change
        self.outage = Outage.NONE
        self._clock = clock
        self._lock = threading.Lock()
        self._history: list[tuple[int, str, Record | None]] = []
        self._forgotten_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = count(1)
        self._lost_writes = 0
        self._server = HttpServer(address, self._call)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def put(self, key: str, value: Any) -> None:
        """Write a record as JSON; it is confirmed when this returns."""
        with self._lock:
            self.records.write(Transaction(writes={key: msgspec.json.encode(value)}))

    def remove(self, key: str) -> None:
        """Remove a record."""
        with self._lock:
            self.records.remove(key)

    def _call(self, path: str, query: dict[str, str], body: dict[str, Any]) -> Answer:
        if path == "machines":
            return 200, {"machines": []}
        if self.outage is not Outage.NONE:
            return self._fail(path, body)
        if path == "kv-watch":
            return self._watch(query)
        with self._lock:
            return self._answer(path, query, body)

    def _fail(self, path: str, body: dict[str, Any]) -> Answer:
        outage = self.outage
        if outage is Outage.REFUSES:
            return 503, {}
        if path == "kv-txn":
            with self._lock:
                self._lost_writes += 1
                if outage is Outage.SILENT or self._lost_writes % 2:
                    self._answer(path, {}, body)
        if outage is Outage.SILENT:
            time.sleep(SILENT_S)
        raise _NotAnsweredError

    def _answer(self, path: str, query: dict[str, str], body: dict[str, Any]) -> Answer:
        self._end_leases()
        name, _, lease_id = path.partition("/")
        match name:
            case "kv-key":
                record = self.records.records.get(query["key"])
                return (404, {}) if record is None else (200, _item(record))
            case "kv-range":
                found = self.records.below(query["prefix"])
                return 200, {"items": list(map(_item, found)), "at": self.records.revision}
            case "kv-txn":
                return self._write(body)
            case "kv-lease":
                number = next(self._lease_ids)
                self._leases[number] = _Lease(body["ttl_ms"], 0.0)
                return self._renew(number)
            case "kv-keep" if int(lease_id) in self._leases:
                return self._renew(int(lease_id))
            case "kv-lease-end" if int(lease_id) in self._leases:
                self._leases[int(lease_id)].expires_s = 0.0
                self._end_leases()
                return 200, {}
        return 404, {}

    def _write(self, body: dict[str, Any]) -> Answer:
        lease_ids = {each["lease_id"] for each in body["write"] if "lease_id" in each}
        if not lease_ids <= self._leases.keys():
            return 404, {}
        expected = {each["key"]: each["revision"] for each in body["expected_revision"]}
        writes = {each["key"]: base64.b64decode(each["value"]) for each in body["write"]}
        # Removals get revisions of their own, so that the answer's is that of the written records.
        try:
            revision = self.records.write(Transaction(expected, writes))
        except TransactionConflictError as err:
            return 412, {"items": list(map(_item, err.present))}
        for key in body["remove"]:
            self.records.remove(key)
        for lease_id, lease in self._leases.items():
            lease.keys -= writes.keys()
            if lease_id in lease_ids:
                lease.keys |= writes.keys()
        return 200, {"revision": revision}

    def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["prefix"], int(query["after"])
        until_s = self._clock.monotonic_s() + int(query["wait_ms"]) / 1000
        while True:
            if self.outage is not Outage.NONE:
                return self._fail("kv-watch", {})
            with self._lock:
                self._end_leases()
                if after < self._forgotten_revision:
                    return 410, {}
                first = bisect_right(self._history, after, key=lambda change: change[0])
                events = [
                    _item(record) if record is not None else _deletion(key, revision)
                    for revision, key, record in self._history[first:]
                    if key.startswith(prefix)
                ]
                if events or self._clock.monotonic_s() >= until_s:
                    return 200, {"events": events, "at": self.records.revision}
            time.sleep(POLL_S)

    def _renew(self, number: int) -> Answer:
        lease = self._leases[number]
        lease.expires_s = self._clock.monotonic_s() + lease.ttl_ms / 1000
        return 200, {"lease_id": number, "ttl_ms": lease.ttl_ms}

    def _end_leases(self) -> None:
        now_s = self._clock.monotonic_s()
        for number, lease in list(self._leases.items()):
            if lease.expires_s <= now_s:
                del self._leases[number]
                for key in lease.keys:
                    self.records.remove(key)

    def _on_change(self, key: str, record: Record | None) -> None:
        self._history.append((self.records.revision, key, record))
        if len(self._history) > HISTORY_MAX:
            self._forgotten_revision = self._history.pop(0)[0]


def _item(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "revision": record.revision,
        "created": record.created_revision,
        "value": base64.b64encode(record.value).decode(),
    }


def _deletion(key: str, revision: int) -> dict[str, Any]:
    return {"key": key, "revision": revision, "deleted": True}

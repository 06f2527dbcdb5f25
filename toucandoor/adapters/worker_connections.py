"""Connections to backend servers, each used by one attempt at a time."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from toucandoor.adapters.settings import split_address
from toucandoor.ids import AttemptId

IDLE_MAX_S = 4.0
"""Shorter than backend servers keep an idle connection, so that they rarely close it first."""
IDLE_CONNECTIONS_MAX = 7


@dataclass(slots=True)
class _Idle:
    connection: HTTPConnection
    since_s: float


@dataclass(slots=True)
class _Server:
    generation: int = 0
    idle: list[_Idle] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Lease:
    """A connection in use by an attempt."""

    address: str
    connection: HTTPConnection
    generation: int


class WorkerConnections:
    """Keeps connections open between attempts, and closes those that can't be trusted."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._servers: defaultdict[str, _Server] = defaultdict(_Server)
        self._in_use: dict[AttemptId, Lease] = {}

    def open(self, address: str, attempt_id: AttemptId) -> Lease:
        """Return a connected connection for an attempt.

        Raises:
            OSError: The backend server could not be reached.
            urllib3.exceptions.HTTPError: The same, as the library words it.
        """
        with self._lock:
            generation = self._servers[address].generation
            kept = self._take_idle(address)
        connection = kept or self._connect(address)
        lease = Lease(address, connection, generation)
        with self._lock:
            self._in_use[attempt_id] = lease
        return lease

    def give_back(self, lease: Lease, attempt_id: AttemptId, *, reusable: bool) -> None:
        """End an attempt's use of a connection; it is closed unless it may be used again."""
        with self._lock:
            self._in_use.pop(attempt_id, None)
            server = self._servers[lease.address]
            current = lease.generation == server.generation
            if reusable and current and len(server.idle) < IDLE_CONNECTIONS_MAX:
                server.idle.append(_Idle(lease.connection, time.monotonic()))
                return
        lease.connection.close()

    def close_attempt(self, attempt_id: AttemptId) -> None:
        """Wake the thread that waits on an attempt's connection, and close it."""
        with self._lock:
            lease = self._in_use.get(attempt_id)
        if lease is not None:
            _shut_down(lease)

    def close_server(self, address: str) -> None:
        """Close all connections opened to a backend server until now."""
        with self._lock:
            server = self._servers[address]
            server.generation += 1
            idle, server.idle = server.idle, []
            in_use = [lease for lease in self._in_use.values() if lease.address == address]
        for each in idle:
            each.connection.close()
        for lease in in_use:
            _shut_down(lease)

    def _take_idle(self, address: str) -> HTTPConnection | None:
        idle = self._servers[address].idle
        while idle:
            kept = idle.pop()
            sock = kept.connection.sock
            fresh = time.monotonic() - kept.since_s < IDLE_MAX_S
            # Readable before anything was asked: an unread answer, or the other side's end.
            if fresh and sock is not None and not wait_for_read(sock, timeout=0):
                return kept.connection
            kept.connection.close()
        return None

    def _connect(self, address: str) -> HTTPConnection:
        host, port = split_address(address)
        connection = HTTPConnection(host, port, timeout=self._connect_timeout_s)
        connection.connect()
        return connection


def _shut_down(lease: Lease) -> None:
    sock = lease.connection.sock
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

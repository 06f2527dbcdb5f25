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
"""Shorter than the backend servers' idle timeout, so that they rarely close a connection first."""
IDLE_CONNECTIONS_MAX = 7


@dataclass(slots=True)
class _IdleConnection:
    connection: HTTPConnection
    since_s: float


@dataclass(slots=True)
class _AddressConnections:
    """Connections to one backend server.

    Attributes:
        generation: Incremented when all connections opened until then are closed.
    """

    generation: int = 0
    idle: list[_IdleConnection] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ConnectionInUse:
    """A connection that an attempt uses at present."""

    address: str
    connection: HTTPConnection
    generation: int


class WorkerConnections:
    """Connection pool that reuses a connection only after a complete answer to its last request."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._by_address: defaultdict[str, _AddressConnections] = defaultdict(_AddressConnections)
        self._in_use: dict[AttemptId, ConnectionInUse] = {}

    def acquire(self, address: str, attempt_id: AttemptId) -> ConnectionInUse:
        """Return an open connection for an attempt, an idle one if possible.

        Raises:
            OSError: The backend server could not be reached.
            urllib3.exceptions.HTTPError: As above, where urllib3 wraps the error.
        """
        with self._lock:
            generation = self._by_address[address].generation
            idle = self._pop_idle(address)
        connection = idle or self._connect(address)
        in_use = ConnectionInUse(address, connection, generation)
        with self._lock:
            self._in_use[attempt_id] = in_use
        return in_use

    def release(self, in_use: ConnectionInUse, attempt_id: AttemptId, *, reusable: bool) -> None:
        """Return an attempt's connection to the pool, or close it.

        Args:
            reusable: Whether the connection carried nothing, or a complete answer to its request.
        """
        with self._lock:
            self._in_use.pop(attempt_id, None)
            connections = self._by_address[in_use.address]
            current = in_use.generation == connections.generation
            if reusable and current and len(connections.idle) < IDLE_CONNECTIONS_MAX:
                connections.idle.append(_IdleConnection(in_use.connection, time.monotonic()))
                return
        in_use.connection.close()

    def close_attempt(self, attempt_id: AttemptId) -> None:
        """Shut an attempt's connection down, which wakes the thread that waits on it."""
        with self._lock:
            in_use = self._in_use.get(attempt_id)
        if in_use is not None:
            _shut_down(in_use)

    def close_worker(self, address: str) -> None:
        """Close all connections to a backend server that were opened before this call."""
        with self._lock:
            connections = self._by_address[address]
            connections.generation += 1
            idle, connections.idle = connections.idle, []
            in_use = [each for each in self._in_use.values() if each.address == address]
        for each in idle:
            each.connection.close()
        for used in in_use:
            _shut_down(used)

    def _pop_idle(self, address: str) -> HTTPConnection | None:
        idle = self._by_address[address].idle
        while idle:
            latest = idle.pop()
            sock = latest.connection.sock
            fresh = time.monotonic() - latest.since_s < IDLE_MAX_S
            # An idle socket is readable if an unread answer came or the backend server closed it.
            if fresh and sock is not None and not wait_for_read(sock, timeout=0):
                return latest.connection
            latest.connection.close()
        return None

    def _connect(self, address: str) -> HTTPConnection:
        host, port = split_address(address)
        connection = HTTPConnection(host, port, timeout=self._connect_timeout_s)
        connection.connect()
        return connection


def _shut_down(in_use: ConnectionInUse) -> None:
    sock = in_use.connection.sock
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

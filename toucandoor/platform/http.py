"""HTTP client for all services of the platform."""

from __future__ import annotations

import socket
import struct
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar

import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)
from urllib3.util import Timeout

from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

CONNECT_TIMEOUT_S: Final = 1.0
"""Time-out of a connection: several round trips between data centres, and short enough to detect a
network partition before callers give up."""
IDLE_CONNECTIONS_MAX: Final = 8
"""Idle connections kept for one address; orders, heartbeats and reads run at the same time."""

SocketOption = tuple[int, int, int | bytes]

_NO_DELAY = HTTPConnection.default_socket_options
# Closing resets the connection and drops unsent data. Otherwise, an order that timed out during a
# network partition could arrive after it, later than the orders of a new owner.
RESET_ON_CLOSE_OPTIONS: Final[list[SocketOption]] = [
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
]
KEEP_ALIVE_OPTIONS: Final[list[SocketOption]] = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]

_T = TypeVar("_T")


class CallNotSentError(ToucandoorError):
    """No connection was made; the service has not received the call."""


class CallUnansweredError(ToucandoorError):
    """The call was sent, but no complete answer came."""


class AnswerUnreadableError(ToucandoorError):
    """The body of an answer does not match the protocol."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP answer.

    Attributes:
        status: HTTP status.
        body: Its body.
        step: Name of the call in errors and metrics.
        peer: Address of the service.
    """

    status: int
    body: bytes
    step: str
    peer: str

    def decode(self, kind: type[_T]) -> _T:
        """Decode the body.

        Raises:
            AnswerUnreadableError: It is not of this type.
        """
        try:
            return msgspec.json.decode(self.body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as err:
            raise AnswerUnreadableError(str(err), step=self.step, peer=self.peer) from err


class PlatformHttp:
    """Client for HTTP calls with JSON bodies; reuses connections, and never retries a call.

    Args:
        observe: Called after each call with its step, outcome and time in seconds.
        count_bytes: Called with the step of each call and the bytes of its body and its answer.
    """

    def __init__(
        self,
        observe: Callable[[str, str, float], None] | None = None,
        count_bytes: Callable[[str, int, int], None] | None = None,
    ) -> None:
        self._observe = observe
        self._count_bytes = count_bytes
        self._pool = urllib3.PoolManager(
            num_pools=2048,
            maxsize=IDLE_CONNECTIONS_MAX,
            retries=False,
            socket_options=[*_NO_DELAY, *KEEP_ALIVE_OPTIONS, *RESET_ON_CLOSE_OPTIONS],
        )

    def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        step: str,
        timeout_s: float,
        connect_timeout_s: float | None = None,
        body: Any = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Make one call.

        Args:
            method: HTTP method.
            address: ``IP:port`` of the service.
            path: Path of the call.
            step: Name of the call in errors and metrics.
            timeout_s: Longest wait for each read of the answer.
            connect_timeout_s: Longest wait for the connection; None for `timeout_s`. It is at most
                `CONNECT_TIMEOUT_S`.
            body: Sent as JSON; None for no body.
            query: Query of the URL.
            headers: Additional headers.

        Raises:
            CallNotSentError: No connection was made.
            CallUnansweredError: No complete answer came.
        """
        started_s = time.monotonic()
        outcome = "unanswered"
        connect_s = timeout_s if connect_timeout_s is None else connect_timeout_s
        timeout = Timeout(connect=min(connect_s, CONNECT_TIMEOUT_S), read=timeout_s)
        try:
            answer = self._call(
                method, address, path, step, timeout, body, query, dict(headers or {})
            )
            outcome = str(answer.status)
            return answer
        except CallNotSentError:
            outcome = "not_sent"
            raise
        finally:
            if self._observe is not None:
                self._observe(step, outcome, time.monotonic() - started_s)

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        step: str,
        timeout: Timeout,
        body: Any,
        query: Mapping[str, str] | None,
        headers: dict[str, str],
    ) -> Answer:
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            headers["Content-Type"] = "application/json"
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                fields=dict(query) if query and method == "GET" else None,
                body=data,
                headers=headers,
                redirect=False,
                timeout=timeout,
            )
        except (NewConnectionError, ConnectTimeoutError) as err:
            raise CallNotSentError(_reason(err), step=step, peer=address) from err
        except (HTTPError, OSError) as err:
            raise CallUnansweredError(_reason(err), step=step, peer=address) from err
        if self._count_bytes is not None:
            self._count_bytes(step, len(data or b""), len(response.data))
        return Answer(response.status, response.data, step, address)


def _reason(err: Exception) -> str:
    cause = err.reason if isinstance(err, MaxRetryError) and err.reason else err
    return f"{type(cause).__name__}: {cause}"[:200]

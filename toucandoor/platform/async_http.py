"""HTTP client for many calls at once, on an event loop; used for orders to backend servers.

A call costs a tenth of the processor time of one by `PlatformHttp`, and no thread. The owner of the
schedule makes hundreds of calls a second and has a long poll open at each busy backend server.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING, Any, Final

import httptools
import msgspec

from toucandoor.platform.address import parse_address
from toucandoor.platform.http import (
    CONNECT_TIMEOUT_S,
    KEEP_ALIVE_OPTIONS,
    RESET_ON_CLOSE_OPTIONS,
    Answer,
    CallNotSentError,
    CallUnansweredError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

CALLS_PER_ADDRESS_MAX: Final = 8
"""Calls in flight to one address; the others wait. A backend server accepts 64 connections, from
former owners too."""
ANSWER_BYTES_MAX: Final = 4 * 1024 * 1024
"""Longest body of an answer. A status report has at most 500 ended runs, of some hundred bytes."""

HOSTS_MAX_MIN: Final = 256
"""Number of known addresses from which unused ones are forgotten; VMs that are moved get new
ones."""


class CallWithheldError(CallNotSentError):
    """The call was not sent, as the caller withdrew it before a connection was ready."""


class AsyncPlatformHttp:
    """Client for HTTP calls with JSON bodies; reuses connections, and never retries a call.

    All calls must be made on the same event loop.

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
        self._hosts: dict[str, _Host] = {}
        self._hosts_max = HOSTS_MAX_MIN

    async def async_post(
        self,
        address: str,
        path: str,
        *,
        step: str,
        timeout_s: float,
        body: Any,
        headers: Mapping[str, str],
        may_send: Callable[[], bool] | None = None,
    ) -> Answer:
        """Make one call with the method POST.

        Args:
            address: ``IP:port`` of the service.
            path: Path of the call.
            step: Name of the call in errors and metrics.
            timeout_s: Longest time for the whole call.
            body: Sent as JSON.
            headers: Additional headers.
            may_send: Asked right before the call is sent; false withholds it.

        Raises:
            CallWithheldError: `may_send` returned false.
            CallNotSentError: The address or the body is invalid, or no connection was free or could
                be made in time.
            CallUnansweredError: No complete answer came in time.
        """
        started_s = time.monotonic()
        outcome = "unanswered"
        try:
            try:
                host = self._host(address)
                request = _encode_request(address, path, body, headers)
            except (ValueError, OverflowError, TypeError) as err:
                raise CallNotSentError(_reason(err), step=step, peer=address) from err
            answer = await self._async_post(host, request, step, timeout_s, may_send)
            outcome = str(answer.status)
            return answer
        except CallNotSentError:
            outcome = "not_sent"
            raise
        finally:
            if self._observe is not None:
                self._observe(step, outcome, time.monotonic() - started_s)

    def close(self) -> None:
        """Close all connections without a call in flight."""
        for host in self._hosts.values():
            host.close()

    def _host(self, address: str) -> _Host:
        host = self._hosts.get(address)
        if host is None:
            made = _Host(address)
            self._forget_unused_hosts()
            host = self._hosts[address] = made
        return host

    async def _async_post(
        self,
        host: _Host,
        request: bytes,
        step: str,
        timeout_s: float,
        may_send: Callable[[], bool] | None,
    ) -> Answer:
        address = host.address
        connection: _Connection | None = None
        sent = False
        host.calls += 1
        try:
            async with asyncio.timeout(timeout_s), host.free_calls:
                connection = host.pop_idle() or await host.async_connect()
                if may_send is not None and not may_send():
                    raise CallWithheldError("withheld", step=step, peer=address)
                sent = True
                status, body = await connection.async_exchange(request)
        except (OSError, httptools.HttpParserError) as err:
            if sent:
                raise CallUnansweredError(_reason(err), step=step, peer=address) from err
            raise CallNotSentError(_reason(err), step=step, peer=address) from err
        finally:
            host.calls -= 1
            if connection is not None:
                host.release(connection)
        if self._count_bytes is not None:
            self._count_bytes(step, len(request), len(body))
        return Answer(status, body, step, address)

    def _forget_unused_hosts(self) -> None:
        """Forget addresses without open connections, each time their number has doubled."""
        if len(self._hosts) < self._hosts_max:
            return
        self._hosts = {address: host for address, host in self._hosts.items() if not host.unused}
        self._hosts_max = max(HOSTS_MAX_MIN, 2 * len(self._hosts))


class _Host:
    """Connections to one address.

    Args:
        address: ``IP:port`` of the service.

    Raises:
        ValueError: The address is invalid.

    Attributes:
        address: That address.
        free_calls: Limits the calls in flight.
        calls: Calls in flight or waiting.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._host, self._port = parse_address(address)
        self._idle: list[_Connection] = []
        self.free_calls = asyncio.Semaphore(CALLS_PER_ADDRESS_MAX)
        self.calls = 0

    @property
    def unused(self) -> bool:
        """Whether no call and no open connection needs this object."""
        self._idle = [each for each in self._idle if each.open]
        return not self.calls and not self._idle

    def pop_idle(self) -> _Connection | None:
        """Return an open connection without a call; None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            if connection.open:
                return connection
        return None

    def close(self) -> None:
        """Close all connections without a call in flight."""
        while (connection := self.pop_idle()) is not None:
            connection.abort()

    async def async_connect(self) -> _Connection:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(_Connection, self._host, self._port)
        return connection

    def release(self, connection: _Connection) -> None:
        """Keep a connection for the next call; close it if a call has failed on it."""
        if connection.reusable:
            self._idle.append(connection)
        else:
            connection.abort()


class _Connection(asyncio.Protocol):
    """One connection, with at most one call at a time.

    Attributes:
        open: Whether the connection is established.
    """

    def __init__(self) -> None:
        self.open = False
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()
        self._has_length = False
        self._headers_complete = False
        self._keep_alive = True

    @property
    def reusable(self) -> bool:
        """Whether another call may be made."""
        return self.open and self._answer is None and self._keep_alive

    def abort(self) -> None:
        """Reset the connection; what has not been sent yet is dropped."""
        self.open = False
        if self._transport is not None:
            self._transport.abort()

    async def async_exchange(self, request: bytes) -> tuple[int, bytes]:
        """Send a request and return the status and body of its answer.

        Raises:
            OSError: The connection was closed before the answer was complete.
            httptools.HttpParserError: The answer is not valid HTTP.
        """
        if not self.open or self._transport is None:
            raise ConnectionResetError("connection closed")
        self._parser = httptools.HttpResponseParser(self)
        self._answer = asyncio.get_running_loop().create_future()
        self._body = bytearray()
        self._has_length = self._headers_complete = False
        self._transport.write(request)
        answer = await self._answer
        # Stays set after a failure or cancellation, so that the connection is not used again.
        self._answer = None
        return answer

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.open = True
        connected: socket.socket = transport.get_extra_info("socket")
        for level, option, value in [*KEEP_ALIVE_OPTIONS, *RESET_ON_CLOSE_OPTIONS]:
            connected.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._parser is None or self._answer is None or self._answer.done():
            self.abort()  # not an answer to any call
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as err:
            self._fail(err)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call in flight; without a length, the end of the connection ends the body."""
        self.open = False
        if self._headers_complete and not self._has_length and exc is None:
            self.on_message_complete()
        self._fail(exc or ConnectionResetError("connection closed before the answer"))

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the body has a known length."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_length = True

    def on_headers_complete(self) -> None:
        """Note that only the body is missing."""
        self._headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if len(self._body) + len(body) > ANSWER_BYTES_MAX:
            self._fail(OSError("answer too long"))
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the answer to the call."""
        if self._parser is None or self._answer is None or self._answer.done():
            return
        self._keep_alive = self._parser.should_keep_alive()
        self._answer.set_result((self._parser.get_status_code(), bytes(self._body)))

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)


def _reason(err: Exception) -> str:
    return f"{type(err).__name__}: {err}"[:200]


def _encode_request(address: str, path: str, body: Any, headers: Mapping[str, str]) -> bytes:
    data = msgspec.json.encode(body)
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {address}",
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + data

"""A small HTTP/1.1 server on asyncio, for stand-ins that can crash, drop calls or answer late."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}

FILLING_CONNECTIONS = 4
"""Connections that fill the queue of a socket which holds one."""


class NoAnswerError(Exception):
    """The connection is kept open, and nothing more is answered on it."""


class ResetError(Exception):
    """The connection is reset without an answer."""


@dataclass
class Call:
    """One call that has arrived whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any = field(default_factory=dict)


class Loop:
    """An event loop in a thread of its own, on which all stand-ins of a case run."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function on the loop and return its result."""

        async def wrapped() -> Any:
            return function(*arguments)

        return self.run(wrapped())


class LoopServer:
    """Serves calls at one address; `down` resets its connections and closes its port."""

    def __init__(
        self, host: str, port: int, answer: Callable[[Call], Awaitable[tuple[int, Any]]]
    ) -> None:
        self.address = f"{host}:{port}"
        self._host, self._port = host, port
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._full: list[socket.socket] = []

    async def up(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, reuse_address=True, backlog=256
        )

    async def down(self) -> None:
        """Stop listening and reset all connections."""
        self._close()

    def stop_accepting(self) -> None:
        """Close all connections, and let new ones wait: the opening packets are dropped."""
        for writer in self._writers:
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self._close()
        self._full = [socket.socket()]
        self._full[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._full[0].bind((self._host, self._port))
        self._full[0].listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((self._host, self._port))
            self._full.append(filling)

    async def accept_again(self) -> None:
        """Accept connections after `stop_accepting`."""
        for each in self._full:
            each.close()
        await self.up()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                call = await _read_call(reader)
                if call is None:
                    return
                try:
                    status, body = await self._answer(call)
                except NoAnswerError:
                    await asyncio.sleep(60)
                    return
                except ResetError:
                    writer.transport.abort()
                    return
                data = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    raw = await reader.readexactly(length) if length else b""
    parts = urlsplit(target)
    return Call(
        method, parts.path, dict(parse_qsl(parts.query)), headers, json.loads(raw) if raw else {}
    )

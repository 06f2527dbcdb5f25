"""Stand-in for what lies between an entry and a backend server: forwards TCP connections."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from typing import TYPE_CHECKING

from toucandoor.adapters.settings import split_address

if TYPE_CHECKING:
    from collections.abc import Coroutine

_CHUNK_BYTES = 65536


class Middlebox:
    """Forwards connections from one address to another, and loses track of them when told to.

    It runs in a thread of its own.

    Args:
        listen_address: ``IP:port`` to listen on.
        server_address: ``IP:port`` to forward to.
    """

    def __init__(self, listen_address: str, server_address: str) -> None:
        self._listen = split_address(listen_address)
        self._server = split_address(server_address)
        self._loop = asyncio.new_event_loop()
        self._silent: set[int] = set()
        self._open: set[int] = set()
        self._next = 0
        self._tear_next = 0
        self._accepting: asyncio.Server | None = None
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._call(self._async_listen())

    def go_silent(self) -> int:
        """Forward nothing more on the connections open now; return how many there are."""
        self._silent |= self._open
        return len(self._open)

    def tear(self, answers: int) -> None:
        """Cut each of the next answers after its first half."""
        self._tear_next = answers

    def close(self) -> None:
        """Stop listening and forwarding."""
        self._call(self._async_close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)

    def _call(self, what: Coroutine[None, None, None]) -> None:
        asyncio.run_coroutine_threadsafe(what, self._loop).result(5.0)

    async def _async_listen(self) -> None:
        self._accepting = await asyncio.start_server(self._async_accept, *self._listen)

    async def _async_close(self) -> None:
        if self._accepting is not None:
            self._accepting.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._next += 1
        number = self._next
        self._open.add(number)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            back_reader, back_writer = await asyncio.open_connection(*self._server)
            await asyncio.gather(
                self._async_forward(number, reader, back_writer, answers=False),
                self._async_forward(number, back_reader, writer, answers=True),
            )
        self._open.discard(number)
        writer.close()

    async def _async_forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if number in self._silent:
                    continue
                if answers and self._tear_next:
                    self._tear_next -= 1
                    writer.write(chunk[: len(chunk) // 2])
                    break
                writer.write(chunk)
                await writer.drain()
        # The end of a connection that was lost track of reaches nobody either.
        if number not in self._silent:
            writer.close()

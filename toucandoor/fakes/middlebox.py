"""Stand-in for a network middlebox between an entry and a backend server."""

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
    """Forwards TCP connections from one address to another, with network faults on demand.

    It runs in a thread of its own.

    Args:
        listen_address: ``IP:port`` to listen on.
        worker_address: ``IP:port`` of the backend server to forward to.
    """

    def __init__(self, listen_address: str, worker_address: str) -> None:
        self._listen = split_address(listen_address)
        self._worker = split_address(worker_address)
        self._loop = asyncio.new_event_loop()
        self._blackholed: set[int] = set()
        self._open: set[int] = set()
        self._tasks: set[asyncio.Task[None] | None] = set()
        self._next = 0
        self._truncations_left = 0
        self._listener: asyncio.Server | None = None
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run_in_loop(self._async_listen())

    def blackhole_connections(self) -> int:
        """Stop forwarding on all open connections without closing them; return their number.

        A middlebox that has dropped its connection state behaves like this.
        """
        self._blackholed |= self._open
        return len(self._open)

    def truncate_answers(self, count: int) -> None:
        """Close the connection after the first half of each of the next `count` answers."""
        self._truncations_left = count

    def close(self) -> None:
        """Stop listening and forwarding."""
        self._run_in_loop(self._async_close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)

    def _run_in_loop(self, coroutine: Coroutine[None, None, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    async def _async_listen(self) -> None:
        self._listener = await asyncio.start_server(self._async_accept, *self._listen)

    async def _async_close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        # Cancelling one direction of a connection may leave its other tasks one more step to run.
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=0.1)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._next += 1
        number = self._next
        self._open.add(number)
        # The event loop holds only a weak reference to a task whose connection has lost an end.
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            back_reader, back_writer = await asyncio.open_connection(*self._worker)
            await asyncio.gather(
                self._async_forward(number, reader, back_writer, answers=False),
                self._async_forward(number, back_reader, writer, answers=True),
            )
        self._open.discard(number)
        self._tasks.discard(asyncio.current_task())
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
                if number in self._blackholed:
                    continue
                if answers and self._truncations_left:
                    self._truncations_left -= 1
                    writer.write(chunk[: len(chunk) // 2])
                    break
                writer.write(chunk)
                await writer.drain()
        # The end of a connection that is no longer forwarded must not reach the other side either.
        if number not in self._blackholed:
            writer.close()

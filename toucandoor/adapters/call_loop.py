"""Event loop in a thread of its own, for many calls at once."""

from __future__ import annotations

import asyncio
import logging
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

_LOGGER = logging.getLogger(__name__)


class CallLoop:
    """Runs coroutines for other threads; the thread starts with the first of them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def submit(self, calls: Sequence[Callable[[], Awaitable[None]]]) -> None:
        """Start coroutines without waiting for them; they must handle their errors themselves.

        Args:
            calls: Functions that return the coroutines; called on the loop.
        """
        self._started_loop().call_soon_threadsafe(self._start_tasks, calls)

    def _started_loop(self) -> asyncio.AbstractEventLoop:
        with self._lock:
            if self._loop is None:
                self._loop = asyncio.new_event_loop()
                threading.Thread(target=self._loop.run_forever, name="calls", daemon=True).start()
            return self._loop

    def _start_tasks(self, calls: Sequence[Callable[[], Awaitable[None]]]) -> None:
        for call in calls:
            task = asyncio.ensure_future(self._async_run(call))
            # The loop itself keeps weak references only.
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_run(self, call: Callable[[], Awaitable[None]]) -> None:
        try:
            await call()
        except Exception:
            _LOGGER.exception("calls: unhandled error")

"""Blocking calls made from coroutines."""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

_T = TypeVar("_T")


async def async_call(action: Callable[[], _T]) -> _T:
    """Run a blocking call in a new daemon thread and return its result.

    Unlike with the event loop's executor, the process can end while the call still blocks.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[_T] = loop.create_future()

    def finish(result: _T | None, error: BaseException | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)  # type: ignore[arg-type]

    def run() -> None:
        result, error = None, None
        try:
            result = action()
        except BaseException as err:  # raised in the awaiting coroutine
            error = err
        try:
            loop.call_soon_threadsafe(finish, result, error)
        except RuntimeError:
            return  # the loop is closed: the process is ending

    threading.Thread(target=run, daemon=True).start()
    return await future

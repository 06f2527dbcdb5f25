"""Graceful stop on SIGTERM and SIGINT."""

from __future__ import annotations

import asyncio
import signal


class StopSignal:
    """Events set by SIGTERM and SIGINT.

    Attributes:
        requested: Set by the first signal: stop after the grace period.
        at_once: Set by the second signal: stop without waiting any longer.
    """

    def __init__(self) -> None:
        self.requested = asyncio.Event()
        self.at_once = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        if self.requested.is_set():
            self.at_once.set()
        self.requested.set()

    async def async_sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds, or until the second signal."""
        try:
            await asyncio.wait_for(self.at_once.wait(), seconds)
        except TimeoutError:
            return

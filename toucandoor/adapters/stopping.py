"""Graceful stop on SIGTERM and SIGINT."""

from __future__ import annotations

import asyncio
import signal


class StopSignal:
    """Counts the requests to stop; the second one asks to stop at once."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.at_once = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._ask)

    def _ask(self) -> None:
        if self.asked.is_set():
            self.at_once.set()
        self.asked.set()

    async def async_grace(self, seconds: float) -> None:
        """Wait for a duration, or until asked to stop at once."""
        try:
            await asyncio.wait_for(self.at_once.wait(), seconds)
        except TimeoutError:
            return

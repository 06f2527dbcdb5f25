"""Limit on the time a caller may take to send its request.

The HTTP server's own timeout restarts with every byte, so a caller that sends one byte at a time
would occupy a thread without limit.
"""

from __future__ import annotations

import logging
import socket
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.clock import Clock

_LOGGER = logging.getLogger(__name__)
_PREFIX = "slow senders:"
_CHECK_PERIOD_S = 0.25


class SenderWatch:
    """Shuts down reading from connections whose request is not received completely in time.

    Args:
        limit_s: Maximum time from the first byte of a request to the last, in seconds.
    """

    def __init__(self, limit_s: float, clock: Clock) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._lock = threading.Lock()
        self._deadlines_s: dict[socket.socket, float] = {}
        self._timed_out: set[socket.socket] = set()

    def start(self) -> None:
        """Start the thread that checks for expired requests."""
        threading.Thread(target=self._watch, daemon=True).start()

    def start_timer(self, sock: socket.socket) -> None:
        """Start timing a request when its first byte has arrived."""
        with self._lock:
            self._deadlines_s[sock] = self._clock.monotonic_s() + self._limit_s

    def stop_timer(self, sock: socket.socket) -> bool:
        """Stop timing a request that has arrived completely or was abandoned.

        Returns:
            Whether the request had expired, so that reading from its connection was shut down.
        """
        with self._lock:
            self._deadlines_s.pop(sock, None)
            timed_out = sock in self._timed_out
            self._timed_out.discard(sock)
            return timed_out

    def shut_down_expired(self) -> None:
        """Shut down reading from all connections whose request has expired."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            expired = [sock for sock, until_s in self._deadlines_s.items() if until_s <= now_s]
            for sock in expired:
                del self._deadlines_s[sock]
                self._timed_out.add(sock)
                _shut_down_reading(sock)

    def _watch(self) -> None:
        pause = threading.Event()
        while not pause.wait(_CHECK_PERIOD_S):
            self.shut_down_expired()


def _shut_down_reading(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError as err:
        _LOGGER.debug("%s connection of an expired request was already closed: %s", _PREFIX, err)

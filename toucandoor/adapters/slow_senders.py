"""Bound on the time a caller may take to send its request.

The server's own timeout starts anew with every byte, so a caller that sends one byte at a time
would hold a thread for ever.
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
    """Ends the sending side of connections whose request is not whole in time.

    Args:
        limit_s: Time from the first byte of a request to its last one.
    """

    def __init__(self, limit_s: float, clock: Clock) -> None:
        self._limit_s = limit_s
        self._clock = clock
        self._lock = threading.Lock()
        self._until_s: dict[socket.socket, float] = {}
        self._ended: set[socket.socket] = set()

    def start(self) -> None:
        """Start the watching thread."""
        threading.Thread(target=self._watch, daemon=True).start()

    def began(self, sock: socket.socket) -> None:
        """Note that a request's first byte has come."""
        with self._lock:
            self._until_s[sock] = self._clock.monotonic_s() + self._limit_s

    def whole(self, sock: socket.socket) -> bool:
        """Note that a request has come whole, or that its connection is given up.

        Returns:
            Whether it was late: its sending side was ended here.
        """
        with self._lock:
            self._until_s.pop(sock, None)
            late = sock in self._ended
            self._ended.discard(sock)
            return late

    def end_late(self) -> None:
        """End the sending side of all connections that are late."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            late = [sock for sock, until_s in self._until_s.items() if until_s <= now_s]
            for sock in late:
                del self._until_s[sock]
                self._ended.add(sock)
                _end_reading(sock)

    def _watch(self) -> None:
        pause = threading.Event()
        while not pause.wait(_CHECK_PERIOD_S):
            self.end_late()


def _end_reading(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError as err:
        _LOGGER.debug("%s connection was gone: %s", _PREFIX, err)

"""Structured logs to standard output that never block the process and are bounded under load."""

from __future__ import annotations

import json
import logging
import queue
import sys
import threading
import time
from typing import TYPE_CHECKING, Final

from pythonjsonlogger.json import JsonFormatter

from toucandoor.adapters.logs import ErrorFieldsFilter
from toucandoor.core.explain import is_followed

if TYPE_CHECKING:
    from typing import TextIO

LINES_PER_S: Final = 200
"""Most lines of one kind per second. A busy owner logs the ends of about a hundred runs per
second."""
KEPT_LINES_PER_S: Final = 1_000
"""Most lines of one kind per second with those about followed jobs and long-running tasks. The
threads that write them share a processor with the scheduler."""
QUEUE_LINES_MAX: Final = 5_000
"""Most lines that wait for a slow reader, a few megabytes; further ones are dropped."""
LOGGER_LEVELS: Final = {"websockets": logging.WARNING, "urllib3": logging.ERROR}
"""Lowest levels of libraries that log each connection below them."""


class RateLimitFilter(logging.Filter):
    """Limits the lines of each kind per second, and counts those that it drops.

    The kind of a line is its message without the arguments, and its status if it has one. Lines
    about followed jobs and about long-running tasks pass up to a second, higher limit, so that
    these jobs and tasks can be followed from their first line to their last.

    Args:
        lines_per_s: Limit of the other lines.
        kept_lines_per_s: Limit of all lines.
    """

    def __init__(
        self, lines_per_s: int = LINES_PER_S, kept_lines_per_s: int = KEPT_LINES_PER_S
    ) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._kept_lines_per_s = kept_lines_per_s
        self._lock = threading.Lock()
        self._second = 0
        self._passed: dict[str, int] = {}
        self._dropped: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is within its limit.

        The next line that passes has the number of dropped ones of its kind as ``left_out``.
        """
        kind = f"{record.msg} {getattr(record, 'status', '')}"
        with self._lock:
            second = int(time.monotonic())
            if second != self._second:
                self._second = second
                self._passed.clear()
            seen = self._passed.get(kind, 0)
            if seen >= self._lines_per_s and (seen >= self._kept_lines_per_s or not _kept(record)):
                self._dropped[kind] = self._dropped.get(kind, 0) + 1
                return False
            self._passed[kind] = seen + 1
            left_out = self._dropped.pop(kind, 0)
        if left_out:
            record.left_out = left_out
        return True


def _kept(record: logging.LogRecord) -> bool:
    """Return whether a line is about a long-running task or a followed job."""
    if getattr(record, "long_running", False):
        return True
    job = getattr(record, "job", "") or str(getattr(record, "path", "")).rpartition("/")[2]
    return bool(job) and is_followed(job)


class QueuedLineHandler(logging.Handler):
    """Handler that writes in a thread; drops lines while its queue is full instead of blocking."""

    def __init__(self, stream: TextIO, lines_max: int = QUEUE_LINES_MAX) -> None:
        super().__init__()
        self._stream = stream
        self._queue: queue.Queue[str | None] = queue.Queue(lines_max)
        self.dropped = 0
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line; count it as dropped if the queue is full."""
        try:
            self._queue.put_nowait(self.format(record))
        except queue.Full:
            self.dropped += 1

    def flush_and_stop(self, timeout_s: float) -> None:
        """Write the queued lines and end the thread.

        Args:
            timeout_s: Longest wait for a free place in the queue, and again for the thread to end.
        """
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            return  # the queue is full, as the reader does not keep up
        self._thread.join(timeout_s)

    def _write(self) -> None:
        while True:
            line = self._queue.get()
            if line is None:
                return
            left_out, self.dropped = self.dropped, 0
            if left_out:
                fields = {"level": "WARNING", "message": "logs: lines left out"}
                line += "\n" + json.dumps(fields | {"left_out": left_out})
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                self.dropped += 1  # the stream cannot be written


def set_up_bounded_logs(program: str, level: str) -> QueuedLineHandler:
    """Send all logs of this process to standard output as JSON lines.

    Args:
        program: Name of the program, a field of every line.
        level: Lowest level that is written, such as ``INFO``.
    """
    handler = QueuedLineHandler(sys.stdout)
    handler.addFilter(ErrorFieldsFilter())
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"program": program},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name, lowest in LOGGER_LEVELS.items():
        logging.getLogger(name).setLevel(lowest)
    return handler

"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from toucandoor.exceptions import ToucandoorError


class ErrorFieldsFilter(logging.Filter):
    """Adds the step and peer of a logged error as separate fields."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; return true, so that every line is logged."""
        error = record.exc_info[1] if record.exc_info else None
        if isinstance(error, ToucandoorError):
            record.step = error.step
            record.peer = error.peer
        return True


def set_up_logs(program: str, level: str) -> None:
    """Send all logs of this process to standard error as JSON lines.

    Args:
        program: Name of the program, a field of every line.
        level: Lowest level that is written, such as ``INFO``.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(ErrorFieldsFilter())
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
    for name in ("websockets", "urllib3", "asyncio"):
        logging.getLogger(name).setLevel(max(logging.WARNING, root.level))

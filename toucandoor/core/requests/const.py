"""Constants of the request engine."""

from __future__ import annotations

from typing import Final

START_WITHIN_S: Final = 1.0
"""Time a dispatching thread has to send the first byte."""
JOURNAL_REQUESTS_MAX: Final = 5000
JOURNAL_LINES_MAX: Final = 40
STOP_RETRY_S: Final = 1.0
"""When to come back to another entry after this one gave a request up because it stops."""

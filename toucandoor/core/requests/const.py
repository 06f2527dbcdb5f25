"""Constants of the request engine."""

from __future__ import annotations

from typing import Final

START_WITHIN_S: Final = 1.0
"""Time within which a dispatching thread must send the first byte."""
JOURNAL_REQUESTS_MAX: Final = 5000
"""Requests that the journal keeps; the oldest one is dropped first."""
JOURNAL_LINES_MAX: Final = 40
"""Lines that the journal keeps of one request; later lines are dropped."""
STOPPING_RETRY_AFTER_S: Final = 1.0
"""Retry-After of a request that is refused because this entry is stopping."""

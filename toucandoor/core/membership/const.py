"""Constants of the membership domain."""

from __future__ import annotations

from typing import Final

SILENT_AFTER_S: Final = 4.0
"""Time without an answer, or without a poll, after which a peer counts as silent."""

"""Constants of the shares domain."""

from __future__ import annotations

from typing import Final

from toucandoor.ids import TeamId

ANONYMOUS_TEAM: Final = TeamId("")
"""Account of requests that come without a key, on queues open to all."""

DEFAULT_WEIGHT: Final = 1.0
DEFAULT_CORRECTIONS_MAX: Final = 4096
"""Ended attempts remembered until their usage report comes."""

"""Constants of the shares domain."""

from __future__ import annotations

from typing import Final

from toucandoor.ids import TeamId

ANONYMOUS_TEAM: Final = TeamId("")
"""Team that stands for all requests without a key, on queues open to all."""

DEFAULT_WEIGHT: Final = 1.0
DEFAULT_CORRECTABLE_MAX: Final = 4096
"""Most ended attempts whose service is kept for a correction by their task's usage report."""

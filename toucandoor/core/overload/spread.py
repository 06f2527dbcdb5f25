"""Retry-After in whole seconds, spread so that callers do not all return at once."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from toucandoor.ids import JobId

RETRY_AFTER_S_MIN: Final = 1
_HASHES: Final = 2**32


def spread_retry_after_s(wait_s: float, job_id: JobId) -> int:
    """Return a wait and a part of one second by the job's id, in whole seconds, at least 1."""
    return max(RETRY_AFTER_S_MIN, math.ceil(wait_s + zlib.crc32(job_id.encode()) / _HASHES))

"""Constants of the routing domain."""

from __future__ import annotations

from typing import Final

DEFAULT_REPORT_DECAY_S: Final = 1.0
"""Time constant in which the weight of a reported load decays to 1/e."""
DEFAULT_BUSY_BACKOFF_MIN_S: Final = 0.02
"""Base of the backoff from a busy backend server; it doubles with each busy reply in a row."""
DEFAULT_BUSY_BACKOFF_MAX_S: Final = 0.5

DEFAULT_EJECT_AFTER_FAILURES: Final = 3
"""Consecutive failures, of distinct requests, after which a backend server is ejected."""
DEFAULT_EJECT_MIN_S: Final = 1.0
"""Duration of a first ejection; it doubles with each further ejection in a row."""
DEFAULT_EJECT_MAX_S: Final = 30.0
DEFAULT_EJECTED_RATIO_MAX: Final = 0.5
"""Largest share of a pool that may be ejected at once for failed tasks."""
DEFAULT_PROBE_INTERVAL_S: Final = 1.0
"""Interval between probes of an unreachable or leaving backend server."""
DEFAULT_SUCCESS_WINDOW_S: Final = 60.0
"""Time after a successful task for which a backend server counts as healthy."""

DEFAULT_PEER_REPORT_TTL_S: Final = 30.0
"""Time after which a peer's report that a backend server is leaving expires."""

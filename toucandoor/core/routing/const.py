"""Constants of the routing domain."""

from __future__ import annotations

from typing import Final

DEFAULT_REPORT_FADE_S: Final = 1.0
"""Time in which a reported load loses all but a third of its weight."""
DEFAULT_BUSY_HOLD_MIN_S: Final = 0.02
DEFAULT_BUSY_HOLD_MAX_S: Final = 0.5

DEFAULT_EJECT_AFTER_FAILURES: Final = 3
"""Failures in a row, of distinct requests, after which a backend server is ejected."""
DEFAULT_EJECT_MIN_S: Final = 1.0
DEFAULT_EJECT_MAX_S: Final = 30.0
DEFAULT_EJECTED_RATIO_MAX: Final = 0.5
"""Largest part of a pool that may be ejected at once for failing what it runs."""
DEFAULT_PROBE_INTERVAL_S: Final = 1.0
"""Time between probes of a backend server that could not be reached."""
DEFAULT_SUCCESS_WINDOW_S: Final = 60.0
"""Time for which a success counts as proof of health."""

DEFAULT_PEER_WORD_TTL_S: Final = 30.0
"""Time after which a peer's word that a backend server leaves is no longer believed."""

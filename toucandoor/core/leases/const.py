"""Constants of the leases domain."""

from __future__ import annotations

from typing import Final

CLOCK_DRIFT_RATIO: Final = 0.01
"""Bound on how far the rates of two VMs' monotonic clocks differ."""

DEFAULT_POLL_INTERVAL_S: Final = 2.0
"""Between two polls of the same peer in the own data centre."""

DEFAULT_FRESHNESS_INTERVAL_S: Final = 20.0
"""Age of the last confirmation from which a node asks the store, or the fleet, again."""

FRESHNESS_TRIES: Final = 6
"""Tries at a confirmation that fit into the grace, where the grace is short."""

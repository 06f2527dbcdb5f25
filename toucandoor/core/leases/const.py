"""Constants of the leases domain."""

from __future__ import annotations

from typing import Final

CLOCK_DRIFT_RATIO: Final = 0.01
"""Bound on how far the rates of two VMs' monotonic clocks differ."""

DEFAULT_POLL_INTERVAL_S: Final = 2.0
"""Time between two polls of the same peer in the own data centre."""

DEFAULT_FRESHNESS_INTERVAL_S: Final = 20.0
"""Age of the last confirmation of freshness at which a node reads the store or polls the fleet."""

CONFIRMATIONS_PER_GRACE: Final = 6
"""Freshness confirmations attempted per grace period where the grace period is short."""

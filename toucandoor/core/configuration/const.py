"""Constants of the configuration domain."""

from __future__ import annotations

from typing import Final

DEFAULT_SLOTS: Final = 8
DEFAULT_CONNECTIONS: Final = 64
DEFAULT_WAITING_MAX: Final = 512
DEFAULT_SHARE_WEIGHT: Final = 1.0
DEFAULT_URGENT_RESERVE_RATIO: Final = 0.25
DEFAULT_CUT_OFF_GRACE_S: Final = 120.0
DEFAULT_ENTRY_LEASE_S: Final = 4.0
DEFAULT_TASK_LEASE_S: Final = 30.0
DEFAULT_URGENT_START_TARGET_S: Final = 1.3

ID_PATTERN: Final = r"^[a-z0-9][a-z0-9-]{0,62}$"
ADDRESS_PATTERN: Final = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
SHA256_PATTERN: Final = r"^[0-9a-f]{64}$"

RECENT_CHANGES_MAX: Final = 64
"""Changes whose ids the head record keeps, so that operators can look up a lost answer."""

VM_BUCKETS: Final = 8
"""Parts into which the VMs of one data centre are split by the hash of their ids."""

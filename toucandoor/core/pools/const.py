"""Constants of the pools domain."""

from __future__ import annotations

from typing import Final

KEY_ASSIGNMENT_PREFIX: Final = "fleet/assignment/"
KEY_LEDGER: Final = "fleet/budgets"

OPERATIONS_KEPT_MAX: Final = 128
OUTBOX_EVENTS_MAX: Final = 512
VALUE_MAX_BYTES: Final = 1_000_000

DEFAULT_MOVE_TRIES: Final = 16

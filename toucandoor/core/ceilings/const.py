"""Constants of the ceilings domain."""

from __future__ import annotations

from typing import Final

from toucandoor.ids import EntryId

COORDINATOR_ID: Final = EntryId("ceilings-coordinator")
"""Stands for whichever controller coordinates a data centre's permits."""

STORE_PREFIX: Final = "ceilings/"
LEDGER_KEY: Final = "ceilings/ledger"
CONTROLLERS_PREFIX: Final = "ceilings/controllers/"

DEFAULT_START_MARGIN_S: Final = 3.0
"""Time from a process's last check of its lease within which its last task has started."""

DEFAULT_STATUS_INTERVAL_S: Final = 0.2
"""Shortest time between two status messages that ask for permits."""

DEFAULT_STATUS_CALM_INTERVAL_S: Final = 1.0
"""Shortest time between two status messages that ask for nothing."""

DEFAULT_STATUS_REFRESH_S: Final = 5.0
"""Time after which the whole status is sent again, in case messages were lost."""

DEFAULT_RESEND_S: Final = 0.5
DEFAULT_LEDGER_WRITES_PER_MINUTE: Final = 60.0
DEFAULT_LEDGER_WRITE_BURST: Final = 4.0
DEFAULT_FLOOR_RATIO: Final = 0.05
"""Part of a ceiling that is spread over the data centres whatever their demand."""

DEFAULT_TURN_S: Final = 10.0
"""How long a permit that cannot be divided fairly stays before the next one gets it."""

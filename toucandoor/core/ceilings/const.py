"""Constants of the ceilings domain."""

from __future__ import annotations

from typing import Final

from toucandoor.ids import EntryId

COORDINATOR_ID: Final = EntryId("ceilings-coordinator")
"""Entry id that addresses the current coordinator of a data centre, whichever controller it is."""

PEERS_ID: Final = EntryId("ceilings-peers")
"""Entry id that addresses all other entries of the data centre."""

STORE_PREFIX: Final = "ceilings/"
LEDGER_KEY: Final = "ceilings/ledger"
CONTROLLERS_PREFIX: Final = "ceilings/controllers/"

DEFAULT_START_MARGIN_S: Final = 3.0
"""Longest time between a process's last check of its lease and the start of the task it allowed."""

DEFAULT_STATUS_INTERVAL_S: Final = 0.2
"""Shortest time between two status messages when the sender needs more permits than it holds."""

DEFAULT_STATUS_IDLE_INTERVAL_S: Final = 1.0
"""Shortest time between two status messages when the sender needs no more permits."""

DEFAULT_STATUS_REFRESH_S: Final = 5.0
"""Interval of full status messages; they replace changes lost with earlier messages."""

DEFAULT_RESEND_S: Final = 0.5
DEFAULT_LEDGER_WRITES_PER_MINUTE: Final = 60.0
DEFAULT_LEDGER_WRITE_BURST: Final = 4.0
DEFAULT_FLOOR_RATIO: Final = 0.05
"""Part of each ceiling that is spread evenly over the data centres, whatever their demand."""

DEFAULT_ROTATION_PERIOD_S: Final = 10.0
"""Time after which a permit that cannot be divided evenly passes to the next holder."""

LOAN_LEASE_S: Final = 3.0
"""Longest time for which a borrower spends lent permits without a new answer of the lender."""

LOAN_RETRY_S: Final = 1.0
"""Time after which a borrower repeats an unanswered request. An answer grants permits only until
the next request is sent, so this must be longer than a message takes both ways."""

BORROW_AFTER_REQUESTS: Final = 4
"""Join requests without an answer after which an entry borrows. They take 1.5 s; a coordinator that
reaches the store lists a new member within a second."""

LOANS_MAX: Final = 64
"""Most borrowers of one lender; a data centre has fewer entries."""

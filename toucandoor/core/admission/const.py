"""Constants of the admission domain."""

from __future__ import annotations

from typing import Final

DEFAULT_AGEING_S: Final = 30.0
"""Waiting time after which a patient request takes part in the aged turns."""

DEFAULT_AGED_EVERY: Final = 4
"""One start in so many goes to an aged patient request, when one waits."""

DEFAULT_URGENT_CREDIT_S: Final = 300.0
"""Virtual time by which an urgent request goes before the patient ones of a team level with it."""

DEFAULT_LANE_PROBES: Final = 4
"""Requests looked at in one lane before the next lane's turn."""

DEFAULT_DRAIN_WINDOW_S: Final = 10.0
RETRY_AFTER_MIN_S: Final = 1.0
RETRY_AFTER_MAX_S: Final = 120.0

DEFAULT_PREEMPTIONS_MAX: Final = 3
"""Times one request may be preempted before it is left to finish."""

DEFAULT_PREEMPT_TIMEOUT_S: Final = 2.0
"""Time after which a preemption that has freed no slot no longer counts as under way."""

PREEMPTED_REMEMBERED_MAX: Final = 4096
"""Requests whose preemptions are remembered."""

"""Constants of the admission domain."""

from __future__ import annotations

from typing import Final

DEFAULT_AGEING_S: Final = 30.0
"""Waiting time after which a patient request counts as aged and gets its share of the starts."""

DEFAULT_AGED_EVERY: Final = 4
"""Every so many starts, one goes to an aged patient request, if one is waiting."""

DEFAULT_URGENT_CREDIT_S: Final = 300.0
"""Virtual time by which urgent requests are ordered ahead of patient ones."""

DEFAULT_LANE_PROBES: Final = 4
"""Most requests that are checked in one lane before the next lane is tried."""

DEFAULT_DRAIN_WINDOW_S: Final = 10.0
"""Length of the sliding window in which starts are counted."""

RETRY_AFTER_MIN_S: Final = 1.0
RETRY_AFTER_MAX_S: Final = 120.0

DEFAULT_PREEMPTIONS_MAX: Final = 3
"""Most times that one request may be preempted; then it runs to its end."""

DEFAULT_PREEMPT_TIMEOUT_S: Final = 2.0
"""Time after which a preemption that has freed no slot is no longer expected to free one."""

PREEMPTED_REQUESTS_MAX: Final = 4096
"""Most requests whose number of preemptions is kept."""

"""Constants of the maintenance domain."""

from __future__ import annotations

from typing import Final

KEY_LEASE_PREFIX: Final = "fleet/planner/"
KEY_LOG_PREFIX: Final = "fleet/log/"

DEFAULT_LEASE_S: Final = 15.0
DEFAULT_RENEW_EVERY_S: Final = 5.0
DEFAULT_LEASE_MARGIN_S: Final = 2.0

DEFAULT_INTERVAL_S: Final = 6 * 7 * 86_400.0
DEFAULT_CORDON_SETTLE_S: Final = 3.0
DEFAULT_DRAIN_TIMEOUT_S: Final = 1_800.0
DEFAULT_REBOOT_TIMEOUT_S: Final = 600.0
DEFAULT_PROBE_TIMEOUT_S: Final = 120.0
DEFAULT_PROBES_NEEDED: Final = 3
DEFAULT_RETRY_AFTER_S: Final = 3_600.0
DEFAULT_REPORT_AGE_MAX_S: Final = 10.0
DEFAULT_LIST_AGE_MAX_S: Final = 120.0
DEFAULT_SIGNALS_AGE_MAX_S: Final = 60.0
DEFAULT_POLL_STOPPING_EVERY_S: Final = 1.0
DEFAULT_POLL_OUT_EVERY_S: Final = 30.0
DEFAULT_POLL_IN_SERVICE_EVERY_S: Final = 600.0
DEFAULT_COMMAND_RESEND_AFTER_S: Final = 2.0
DEFAULT_FLEET_READ_EVERY_S: Final = 10.0
FLEET_READ_LEASE_RATIO: Final = 2 / 3
"""Longest age of the fleet's records before they are read again, as part of the planning lease;
records that are older than the lease count as those of an unavailable store."""
DEFAULT_UNMONITORED_AFTER_S: Final = 60.0
DEFAULT_REPLAN_AFTER_S: Final = 5.0
DEFAULT_IDLE_RETURN_S: Final = 30.0
DEFAULT_URGENT_LATE_MAX_RATIO: Final = 0.02
DEFAULT_SHARE_ERROR_MAX_RATIO: Final = 0.1
DEFAULT_RESUME_AFTER_S: Final = 60.0
DEFAULT_FAILED_MAX_RATIO: Final = 0.05
DEFAULT_FAILED_MIN: Final = 2

LOG_SEGMENT_MAX_BYTES: Final = 64_000
LOG_SEGMENTS_KEPT: Final = 16
LOG_SUMMARY_DAYS_KEPT: Final = 60

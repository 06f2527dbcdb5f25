"""Constants of the attempts domain."""

from __future__ import annotations

from typing import Final

DEFAULT_RETRY_RATIO: Final = 0.2
"""Retries allowed per first attempt."""
DEFAULT_RETRY_FLOOR_PER_S: Final = 2.0
"""Retries allowed per second regardless of the traffic."""
DEFAULT_RETRY_TOKENS_MAX: Final = 100.0
DEFAULT_BACKOFF_MIN_S: Final = 0.05
DEFAULT_BACKOFF_MAX_S: Final = 2.0

DEFAULT_ATTEMPTS_MAX: Final = 4
"""Unsuccessful attempts (failed, unknown or unreachable) after which a request is refused."""
DEFAULT_FAILED_WORKERS_MAX: Final = 3
"""Number of distinct healthy backend servers whose failures refuse a request for good."""

DEFAULT_PROGRESS_TIMEOUT_S: Final = 2.0
"""Time without an answer on an attempt's connection before its task's state is queried."""
DEFAULT_QUERY_INTERVAL_S: Final = 2.0
DEFAULT_QUERY_TIMEOUT_S: Final = 1.0
DEFAULT_UNANSWERED_QUERIES_MAX: Final = 2
"""Unanswered state queries and incomplete fetches after which the outcome counts as unknown."""
DEFAULT_ANSWER_GRACE_S: Final = 0.5
"""Time to wait for an answer in transit once its backend server reports the task as ended."""
DEFAULT_LEASE_MARGIN_S: Final = 1.0
"""Added to the end of a task lease for clock drift and network delay."""
DEFAULT_UPTIME_MARGIN_S: Final = 0.05
"""Clock drift allowed when a backend server's uptime is compared with an attempt's age."""

DEFAULT_KEY_RETENTION_S: Final = 600.0
"""Time for which an owner keeps the claim of an idempotency key."""
DEFAULT_KEY_SKEW_S: Final = 1.0
"""Largest tolerated difference between the wall clocks of callers and entries."""
DEFAULT_KEYS_MAX: Final = 100_000
"""Claims that one owner keeps at once; further claims are refused as full."""

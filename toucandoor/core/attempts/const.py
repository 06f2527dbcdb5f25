"""Constants of the attempts domain."""

from __future__ import annotations

from typing import Final

DEFAULT_RETRY_RATIO: Final = 0.2
"""Retries allowed for each first attempt."""
DEFAULT_RETRY_FLOOR_PER_S: Final = 2.0
"""Retries a second allowed whatever the traffic."""
DEFAULT_RETRY_TOKENS_MAX: Final = 100.0
DEFAULT_BACKOFF_MIN_S: Final = 0.05
DEFAULT_BACKOFF_MAX_S: Final = 2.0

DEFAULT_ATTEMPTS_MAX: Final = 4
"""Attempts of one request that may fail or end unknown before it is given up on."""
DEFAULT_FAILED_SERVERS_FINAL: Final = 3
"""Distinct healthy backend servers on which a job must fail to be judged unable to run."""

DEFAULT_PROGRESS_TIMEOUT_S: Final = 2.0
"""Quiet time on an attempt's connection before its backend server is asked about the task."""
DEFAULT_ASK_INTERVAL_S: Final = 2.0
DEFAULT_ASK_TIMEOUT_S: Final = 1.0
DEFAULT_UNANSWERED_ASKS_MAX: Final = 2
"""Questions on new connections that may stay unanswered before the fate counts as unknown."""
DEFAULT_ANSWER_GRACE_S: Final = 0.5
"""Time left to an answer that is on its way after the backend server called the task ended."""
DEFAULT_LEASE_MARGIN_S: Final = 1.0
"""Added to a task lease's end for clock drift and the way of the last byte."""
DEFAULT_UP_MARGIN_S: Final = 0.05
"""Drift allowed for when a backend server's uptime is compared with an attempt's age."""

DEFAULT_KEY_RETENTION_S: Final = 600.0
"""How long an owner remembers an idempotency key."""
DEFAULT_KEY_SKEW_S: Final = 1.0
"""Difference between the wall clocks of callers and entries that is allowed for."""
DEFAULT_KEYS_MAX: Final = 100_000

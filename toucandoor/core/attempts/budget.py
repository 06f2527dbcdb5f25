"""Retry budget: limits retries to a share of the traffic and delays them with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.attempts.const import (
    DEFAULT_BACKOFF_MAX_S,
    DEFAULT_BACKOFF_MIN_S,
    DEFAULT_RETRY_FLOOR_PER_S,
    DEFAULT_RETRY_RATIO,
    DEFAULT_RETRY_TOKENS_MAX,
)

if TYPE_CHECKING:
    from random import Random


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Args:
        random: Random source of the jitter.
        ratio: Tokens that each first attempt adds; a retry costs one token.
        floor_per_s: Tokens added per second regardless of the traffic.
        tokens_max: Capacity of the bucket, in tokens; it starts half full.
    """

    def __init__(
        self,
        random: Random,
        *,
        ratio: float = DEFAULT_RETRY_RATIO,
        floor_per_s: float = DEFAULT_RETRY_FLOOR_PER_S,
        tokens_max: float = DEFAULT_RETRY_TOKENS_MAX,
    ) -> None:
        self._random = random
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._tokens_max = tokens_max
        self._tokens = tokens_max / 2
        self._refilled_at_s: float | None = None

    def add_first_attempt(self, now_s: float) -> None:
        """Add the tokens that a request's first attempt contributes."""
        self._refill(now_s)
        self._tokens = min(self._tokens_max, self._tokens + self._ratio)

    def try_spend(self, now_s: float) -> bool:
        """Spend one token on a retry; return False when less than one token is left."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def backoff_s(self, attempts_made: int) -> float:
        """Return a delay with full jitter in seconds; its upper bound doubles per attempt."""
        ceiling_s = min(DEFAULT_BACKOFF_MAX_S, DEFAULT_BACKOFF_MIN_S * 2.0**attempts_made)
        return self._random.uniform(0.0, ceiling_s)

    def refill_s(self) -> float:
        """Return the seconds until the floor rate alone has refilled one token."""
        return max(0.0, 1.0 - self._tokens) / self._floor_per_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = 0.0 if self._refilled_at_s is None else max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._tokens = min(self._tokens_max, self._tokens + elapsed_s * self._floor_per_s)

"""Retry budget: retries are a bounded part of the traffic, spread out by jitter."""

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
    """Token bucket that first attempts fill and retries empty.

    Args:
        random: Source of the jitter.
        ratio: Tokens each first attempt adds; a retry takes one.
        floor_per_s: Tokens added each second whatever the traffic.
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
        self._filled_s: float | None = None

    def first_attempt(self, now_s: float) -> None:
        """Add what a first attempt allows."""
        self._fill(now_s)
        self._tokens = min(self._tokens_max, self._tokens + self._ratio)

    def take(self, now_s: float) -> bool:
        """Spend a token on a retry; False when none is left."""
        self._fill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def backoff_s(self, attempts_made: int) -> float:
        """Return a delay with full jitter that doubles its ceiling with each attempt."""
        ceiling_s = min(DEFAULT_BACKOFF_MAX_S, DEFAULT_BACKOFF_MIN_S * 2.0**attempts_made)
        return self._random.uniform(0.0, ceiling_s)

    def refill_s(self) -> float:
        """Return the seconds until the floor alone has refilled one token."""
        return max(0.0, 1.0 - self._tokens) / self._floor_per_s

    def _fill(self, now_s: float) -> None:
        elapsed_s = 0.0 if self._filled_s is None else max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        self._tokens = min(self._tokens_max, self._tokens + elapsed_s * self._floor_per_s)

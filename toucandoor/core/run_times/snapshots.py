"""Snapshots of learned run times in the store, from which the next owner starts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec
from fastdigest import TDigest

from toucandoor.core.run_times.learned import (
    CENTROIDS_MAX,
    KEYS_MAX,
    OUTLIER_RATIO,
    KeyRatios,
    LearnedRunTimes,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock

RUN_TIMES_KEY: Final = "run-times"
RECORD_VERSION: Final = 1
RECORD_BYTES_MAX: Final = 32 * 1024
SNAPSHOT_INTERVAL_S: Final = 5.0
STORED_CENTROIDS_MAX: Final = 12
"""Centroids of a stored sketch, so that the record holds a hundred keys and more."""
DIGITS: Final = 4
"""Significant digits of stored numbers."""


class _Versioned(msgspec.Struct, frozen=True):
    version: int


class RatioRecord(msgspec.Struct, frozen=True, array_like=True):
    """Samples of a queue and image at the time of the snapshot.

    Attributes:
        queue: Address of the queue, or its name in records of older builds.
        image: The image.
        weight: Total weight of the samples.
        estimated_s: Weighted sum of their estimates.
        actual_s: Weighted sum of their run times, without outliers.
        values: Ratios in the sketch.
        weights: Their weights.
    """

    queue: str
    image: str
    weight: float
    estimated_s: float
    actual_s: float
    values: tuple[float, ...]
    weights: tuple[float, ...]

    @property
    def plausible(self) -> bool:
        """Whether all numbers are positive and finite."""
        numbers = (self.weight, self.estimated_s, self.actual_s, *self.values, *self.weights)
        same_length = len(self.values) == len(self.weights) > 0
        return same_length and all(math.isfinite(each) and each > 0 for each in numbers)


class RunTimesRecord(msgspec.Struct, frozen=True):
    """Learned run times.

    Attributes:
        version: Version of this format.
        ratios: Samples by queue and image, the most recently used first.
    """

    version: int
    ratios: tuple[RatioRecord, ...]


class RunTimeSnapshots:
    """Decides when a snapshot of a model is written.

    Args:
        model: The learned run times.
        clock: Source of monotonic time.
        address_of: Returns the address of a queue.
    """

    def __init__(
        self, model: LearnedRunTimes, clock: Clock, address_of: Callable[[str], str] = str
    ) -> None:
        self._model = model
        self._address_of = address_of
        self._clock = clock
        self._stored_samples = 0
        self._in_flight_samples: int | None = None
        self._next_s = clock.monotonic_s() + SNAPSHOT_INTERVAL_S

    def due(self) -> bytes | None:
        """Return the snapshot to write now; None if nothing is due or a write is in flight."""
        now_s, samples = self._clock.monotonic_s(), self._model.samples
        if now_s < self._next_s or self._in_flight_samples is not None:
            return None
        if samples == self._stored_samples:
            return None
        self._next_s = now_s + SNAPSHOT_INTERVAL_S
        self._in_flight_samples = samples
        return encode_run_times(self._model, now_s, self._address_of)

    def written(self, *, ok: bool) -> None:
        """Process the result of a write; a lost one is repeated after the interval."""
        if ok and self._in_flight_samples is not None:
            self._stored_samples = self._in_flight_samples
        self._in_flight_samples = None


def encode_run_times(
    model: LearnedRunTimes, now_s: float, address_of: Callable[[str], str] = str
) -> bytes:
    """Return a snapshot of a model; the least recently used keys are left out if it is too large.

    Args:
        model: The learned run times.
        now_s: The monotonic time.
        address_of: Returns the address of a queue.
    """
    ratios: list[msgspec.Raw] = []
    bytes_left = RECORD_BYTES_MAX - 64  # for the fields around the list
    for (queue, image), known in reversed(model.keys.items()):
        if not known.weight:
            continue
        growth = known.growth(now_s)
        estimated_s, actual_s = known.limited_work(OUTLIER_RATIO * known.median)
        values, weights = zip(*known.sketch.centroids, strict=True)
        stored = TDigest.from_values(values, weights, STORED_CENTROIDS_MAX).centroids
        record = RatioRecord(
            address_of(queue),
            image,
            _rounded(known.weight / growth),
            _rounded(estimated_s / growth),
            _rounded(actual_s / growth),
            tuple(_rounded(value) for value, _ in stored),
            tuple(_rounded(weight / growth) for _, weight in stored),
        )
        encoded = msgspec.json.encode(record)
        bytes_left -= len(encoded) + 1
        if bytes_left < 0:
            break
        ratios.append(msgspec.Raw(encoded))
    return msgspec.json.encode({"version": RECORD_VERSION, "ratios": ratios})


def restore_run_times(
    model: LearnedRunTimes, value: bytes, now_s: float, queue_at: Callable[[str], str] = str
) -> int:
    """Let a model start from a former owner's snapshot, and return the number of its keys.

    Args:
        model: The model; it has no samples.
        value: The record.
        now_s: The monotonic time. The samples don't decay between the snapshot and this time, as
            the two owners' clocks can't be compared.
        queue_at: Returns the queue with an address, or with the name that an older build stored.

    Raises:
        msgspec.MsgspecError: The record is not such a snapshot, or is of another version.
    """
    if len(value) > RECORD_BYTES_MAX:
        raise msgspec.ValidationError(f"record has {len(value)} bytes")
    version = msgspec.json.decode(value, type=_Versioned).version
    if version != RECORD_VERSION:
        raise msgspec.ValidationError(f"record is of version {version}, not {RECORD_VERSION}")
    ratios = msgspec.json.decode(value, type=RunTimesRecord).ratios[:KEYS_MAX]
    if not all(each.plausible for each in ratios):
        raise msgspec.ValidationError("record contains implausible numbers")
    for each in reversed(ratios):
        sketch = TDigest.from_values(each.values, each.weights, CENTROIDS_MAX)
        mean = each.actual_s / each.estimated_s
        work = TDigest.from_values([mean], each.estimated_s, CENTROIDS_MAX)
        known = KeyRatios(now_s, sketch, each.weight, work)
        model.restore((queue_at(each.queue), each.image), known)
    return len(ratios)


def _rounded(number: float) -> float:
    return float(f"{number:.{DIGITS}g}")

"""Expected run times that are learned from the runs that have ended.

The ratio of actual to estimated run time is kept by queue and image. Samples decay with time: each
is added with a weight that grows with the time since the key's origin, so that older ones weigh
less beside it, and the weights of a key are divided by that growth now and then. The prior is
added when a ratio is computed and does not decay.

The expected ratio is the sum of run times divided by the sum of estimates. Where single estimates
are wrong in both directions, the median and the mean of ratios are far from the ratio of the whole
work, by which pools are sized. The median is kept for logs and for limits on outliers.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from fastdigest import TDigest, merge_all

from toucandoor.core.run_times.models import MS_PER_S, QueueRatio, RunTimeModel
from toucandoor.ids import QueueId

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.models import Step
    from toucandoor.core.run_times.models import OpenRun

HALF_LIFE_S: Final = 30.0
PRIOR_SAMPLES: Final = 8
"""Samples of ratio 1 of which the prior consists."""
KEYS_MAX: Final = 256
CENTROIDS_MAX: Final = 50
RUN_S_MAX: Final = 3600.0
"""Longer run times are implausible for tasks that end."""
LIKENESS: Final = 0.5
"""Assumed correlation between the ratios of a step's tasks. The tasks of a step together weigh as
at most two independent samples, however many they are."""
OUTLIER_RATIO: Final = 3.0
"""Limit on a sample in the sums, as a multiple of the median. With a tail of 3 sevenfold run times
in 100 and right estimates, a limit of 8 gave pools 10 % more VM time for 6 % less waiting, and 3
gave 2 % more for 2 % less."""
TOLERANCE_RATIO: Final = 0.1
"""Deviation from 1 up to which estimates count as right and are used as they are."""
DECAY_INTERVAL_S: Final = 2.0
"""Interval at which ratios without new samples are computed again, as their samples decay."""
REFRESHED_KEYS_MAX: Final = 64
"""Keys whose ratios are computed in one refresh, those that have waited longest; takes 4 ms."""
GROWTH_MAX: Final = 1024.0
"""Growth of new weights after which a key's weights are divided by it."""
WEIGHT_MIN: Final = 0.01
"""Weight of all samples of a key below which the key is dropped."""

RatioKey = tuple[str, str]
"""Queue and image."""


@dataclass(slots=True)
class KeyRatios:
    """Samples of a queue and image, with weights relative to `origin_s`.

    Attributes:
        origin_s: When a new sample of weight 1 had weight 1, on the monotonic clock.
        sketch: Ratios of actual to estimated run time.
        weight: Total weight of the samples.
        work: The same ratios, each with the weight of its sample times its estimate in seconds.
        ratio: Expected ratio at the last refresh.
        median: Median ratio at the last refresh.
        with_prior: Sketch of samples and prior at the last refresh.
        refreshed_s: When the ratios were last computed.
        stale: Whether they must be computed again at the next refresh.
    """

    origin_s: float
    sketch: TDigest = field(default_factory=lambda: TDigest(CENTROIDS_MAX))
    weight: float = 0.0
    work: TDigest = field(default_factory=lambda: TDigest(CENTROIDS_MAX))
    ratio: float = 1.0
    median: float = 1.0
    with_prior: TDigest | None = None
    refreshed_s: float = 0.0
    stale: bool = True

    def growth(self, now_s: float) -> float:
        """Return the weight that a new sample of weight 1 gets."""
        return math.exp2((now_s - self.origin_s) / HALF_LIFE_S)

    def rescale(self, now_s: float) -> None:
        """Make now the origin of the weights."""
        growth = self.growth(now_s)
        self.origin_s = now_s
        self.weight /= growth
        self.sketch = _scaled(self.sketch, 1 / growth)
        self.work = _scaled(self.work, 1 / growth)

    def limited_work(self, limit: float) -> tuple[float, float]:
        """Return the weighted sums of estimates and of run times, each limited to a ratio."""
        estimated_s = actual_s = 0.0
        for ratio, weight in self.work.centroids:
            estimated_s += weight
            actual_s += weight * min(ratio, limit)
        return estimated_s, actual_s

    def refresh(self, now_s: float, open_runs: Sequence[OpenRun]) -> None:
        """Compute the ratios from the samples, the prior and the runs that have not ended.

        Of the runs that have not ended, those count that have already taken longer than expected,
        with their time so far. In the first second of a peak only short tasks have ended, and the
        expectation would follow these alone.
        """
        self.refreshed_s = now_s
        self.stale = False
        growth = self.growth(now_s)
        # As separate centroids: between two centroids a quantile is interpolated.
        prior = TDigest.from_values([1.0] * PRIOR_SAMPLES, growth, CENTROIDS_MAX)
        self.with_prior = prior.merge(self.sketch) if self.weight else prior
        self.median = self.with_prior.median()
        estimated_s, actual_s = self.limited_work(OUTLIER_RATIO * self.median)
        if self.weight:
            mean_estimate_s = estimated_s / self.weight
        else:
            mean_estimate_s = sum(run.estimate_s for run in open_runs) / max(1, len(open_runs))
        prior_s = PRIOR_SAMPLES * growth * mean_estimate_s
        if not prior_s:
            return
        # Once the samples outweigh the prior in the median, the prior's weight moves there, too.
        expected = (actual_s + prior_s * self.median) / (estimated_s + prior_s)
        late = sorted(
            (run for run in open_runs if run.elapsed_ratio > expected),
            key=lambda run: -run.elapsed_ratio,
        )
        if late:
            expected = self._with_late_runs(late, growth, prior_s)
            self.stale = True
        right = abs(math.log(expected)) <= math.log1p(TOLERANCE_RATIO)
        self.ratio = 1.0 if right else expected

    def _with_late_runs(self, late: Sequence[OpenRun], growth: float, prior_s: float) -> float:
        """Return the expected ratio if late runs count with their time so far, the latest first."""
        ratios = [run.elapsed_ratio for run in late]
        weights = [run.weight * growth for run in late]
        so_far = TDigest.from_values(ratios, weights, CENTROIDS_MAX)
        median = so_far.merge(self.with_prior or so_far).median()
        limit = OUTLIER_RATIO * median
        estimated_s, actual_s = self.limited_work(limit)
        estimated_s, actual_s = estimated_s + prior_s, actual_s + prior_s * median
        for run, weight in zip(late, weights, strict=True):
            if run.elapsed_ratio <= actual_s / estimated_s:
                break
            estimated_s += weight * run.estimate_s
            actual_s += weight * run.estimate_s * min(run.elapsed_ratio, limit)
        return actual_s / estimated_s


class LearnedRunTimes(RunTimeModel):
    """Corrects the callers' estimates by the ratio that recent runs of the same kind had.

    Ratios are computed by `refresh`, so that a lookup only multiplies.

    Args:
        clock: Source of monotonic time.

    Attributes:
        samples: Number of run times that were used.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._keys: OrderedDict[RatioKey, KeyRatios] = OrderedDict()
        self.dropped = 0
        self.samples = 0

    @property
    def keys(self) -> OrderedDict[RatioKey, KeyRatios]:
        """Samples by queue and image, the least recently used first."""
        return self._keys

    def expected_s(self, step: Step, queue: QueueId) -> float:
        """Return the caller's estimate times the expected ratio."""
        known = self._keys.get((queue, step.image))
        estimate_s = step.estimate_ms / MS_PER_S
        return estimate_s if known is None else estimate_s * known.ratio

    def quantile_s(self, step: Step, queue: QueueId, ratio: float) -> float:
        """Return the caller's estimate times a quantile of the ratios; the prior counts, too."""
        known = self._keys.get((queue, step.image))
        estimate_s = step.estimate_ms / MS_PER_S
        if known is None or known.with_prior is None:
            return estimate_s
        return estimate_s * known.with_prior.quantile(ratio)

    def record(self, step: Step, queue: QueueId, run_s: float) -> None:
        """Record a run time; an implausible one is counted and dropped."""
        if not 0 < run_s <= RUN_S_MAX:
            self.dropped += 1
            return
        if step.estimate_ms <= 0:
            return
        known = self._use(queue, step.image)
        growth = known.growth(self._clock.monotonic_s())
        if growth > GROWTH_MAX:
            known.rescale(self._clock.monotonic_s())
            growth = 1.0
        estimate_s = step.estimate_ms / MS_PER_S
        weight = task_weight(step) * growth
        known.stale = True
        known.sketch.update(run_s / estimate_s, weight)
        known.work.update(run_s / estimate_s, weight * estimate_s)
        known.weight += weight
        self.samples += 1

    def refresh(self, open_runs: Iterable[OpenRun]) -> None:
        """Compute the ratios anew."""
        self.version += 1
        now_s = self._clock.monotonic_s()
        by_key: dict[RatioKey, list[OpenRun]] = {}
        for run in open_runs:
            by_key.setdefault((run.queue, run.image), []).append(run)
        for key, runs in by_key.items():
            if key not in self._keys and any(run.elapsed_ratio > 1 for run in runs):
                self._use(*key)
        due: list[tuple[float, RatioKey]] = []
        for key, known in list(self._keys.items()):
            runs = by_key.get(key, [])
            late = any(run.elapsed_ratio > known.ratio for run in runs)
            if not runs and known.weight < WEIGHT_MIN * known.growth(now_s):
                del self._keys[key]
            elif known.stale or late or now_s - known.refreshed_s > DECAY_INTERVAL_S:
                due.append((known.refreshed_s, key))
        for _, key in sorted(due)[:REFRESHED_KEYS_MAX]:
            self._keys[key].refresh(now_s, by_key.get(key, []))

    def queue_ratios(self) -> tuple[QueueRatio, ...]:
        """Return the ratios of each queue over all its images, the prior included."""
        by_queue: dict[str, list[KeyRatios]] = {}
        for (queue, _), known in self._keys.items():
            if known.with_prior is not None:
                by_queue.setdefault(queue, []).append(known)
        now_s = self._clock.monotonic_s()
        found: list[QueueRatio] = []
        for queue, all_known in sorted(by_queue.items()):
            weights = [known.weight / known.growth(now_s) for known in all_known]
            largest = max(all_known, key=lambda known: known.work.mass() / known.growth(now_s))
            sketches = [known.with_prior for known in all_known if known.with_prior is not None]
            median = merge_all(sketches).median()
            found.append(QueueRatio(QueueId(queue), largest.ratio, median, sum(weights)))
        return tuple(found)

    def restore(self, key: RatioKey, known: KeyRatios) -> None:
        """Take over the samples that a former owner has learned; more recently used keys last."""
        self._use(*key)
        self._keys[key] = known
        self.version += 1
        known.refresh(self._clock.monotonic_s(), [])

    def _use(self, queue: str, image: str) -> KeyRatios:
        """Return the samples of a key as the most recently used ones; create them if missing."""
        key = (queue, image)
        known = self._keys.get(key)
        if known is None:
            known = self._keys[key] = KeyRatios(self._clock.monotonic_s())
            if len(self._keys) > KEYS_MAX:
                self._keys.popitem(last=False)
                self.version += 1
        else:
            self._keys.move_to_end(key)
        return known


def _scaled(sketch: TDigest, factor: float) -> TDigest:
    """Return a sketch with all weights multiplied by a factor."""
    if not sketch.n_centroids:
        return sketch
    values, weights = zip(*sketch.centroids, strict=True)
    return TDigest.from_values(values, [each * factor for each in weights], CENTROIDS_MAX)


def task_weight(step: Step) -> float:
    """Return the weight of one task of a step; the tasks of one step are alike."""
    return 1 / (1 + (step.count - 1) * LIKENESS)

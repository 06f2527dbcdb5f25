"""How much longer tasks take on a backend server than elsewhere."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

from toucandoor.core.failure_domains.models import USUAL_SPEED

if TYPE_CHECKING:
    from collections.abc import Collection

    from toucandoor.ids import JobId, QueueId, WorkerId

SAMPLES_MAX: Final = 8
"""Latest jobs of a server that count."""
HALF_LIFE_S: Final = 10.0
"""Age at which a job has half its weight."""
UNKNOWN_WEIGHT: Final = 1.0
"""Weight of the usual speed beside that of the jobs. A single job does not make a server slow, and
a server without recent runs counts as usual again."""
QUEUE_SAMPLES_MAX: Final = 32
"""Latest runs of a queue, over all servers, to which a run is compared."""
QUEUE_SAMPLES_MIN: Final = 8
"""Runs of a queue needed for that."""
QUEUES_MAX: Final = 256
"""Most queues that are kept; the one added first is dropped."""


class _Sample(NamedTuple):
    job_id: JobId
    ended_s: float
    ratio: float


class RecentRatios:
    """Latest ratios of a queue, also in sorted order: a median is needed for each run that ends."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._latest)

    def add(self, ratio: float) -> None:
        """Add a ratio; the oldest one is dropped beyond the limit."""
        if len(self._latest) == QUEUE_SAMPLES_MAX:
            del self._sorted[bisect_left(self._sorted, self._latest.popleft())]
        self._latest.append(ratio)
        insort(self._sorted, ratio)

    def median(self) -> float:
        """Return the median; there must be a ratio."""
        middle = len(self._sorted) // 2
        if len(self._sorted) % 2:
            return self._sorted[middle]
        return (self._sorted[middle - 1] + self._sorted[middle]) / 2


class RunSpeed:
    """Median over the latest jobs on each server, relative to the runs of the same queue.

    Expected run times may be wrong for a whole queue, as callers' estimates are. A run is therefore
    compared to what the runs of its queue took relative to expectation on all servers. They may
    also be wrong for a single job, of which a server often runs several tasks: each job counts
    once, by its fastest run.
    """

    def __init__(self) -> None:
        self._queues: dict[QueueId, RecentRatios] = {}
        self._servers: dict[WorkerId, deque[_Sample]] = {}

    def record(
        self, worker_id: WorkerId, job_id: JobId, queue: QueueId, ratio: float, now_s: float
    ) -> None:
        """Record a run.

        Args:
            worker_id: The server.
            job_id: Its job.
            queue: Queue of its job.
            ratio: Its run time divided by the expected one.
            now_s: When it ended.
        """
        found = self._queues.setdefault(queue, RecentRatios())
        if len(self._queues) > QUEUES_MAX:
            del self._queues[next(iter(self._queues))]
        if len(found) >= QUEUE_SAMPLES_MIN:
            self._add(worker_id, _Sample(job_id, now_s, ratio / found.median()))
        found.add(ratio)

    def _add(self, worker_id: WorkerId, sample: _Sample) -> None:
        samples = self._servers.setdefault(worker_id, deque(maxlen=SAMPLES_MAX))
        for place, known in enumerate(samples):
            if known.job_id == sample.job_id:
                samples[place] = sample._replace(ratio=min(known.ratio, sample.ratio))
                return
        samples.append(sample)

    def any_above(self, worker_id: WorkerId, ratio: float) -> bool:
        """Return whether any job of a server had a higher ratio; if not, the median has none."""
        return any(each.ratio > ratio for each in self._servers.get(worker_id, ()))

    def slowness(self, worker_id: WorkerId, now_s: float) -> float:
        """Return the weighted median of a server's jobs; the lower one if two are as good."""
        samples = self._servers.get(worker_id)
        if not samples:
            return USUAL_SPEED
        weighted = [(USUAL_SPEED, UNKNOWN_WEIGHT)]
        weighted += [
            (each.ratio, 0.5 ** ((now_s - each.ended_s) / HALF_LIFE_S)) for each in samples
        ]
        weighted.sort()
        half = sum(weight for _, weight in weighted) / 2
        passed = 0.0
        for ratio, weight in weighted:
            passed += weight
            if passed >= half:
                return ratio
        return USUAL_SPEED

    def keep(self, worker_ids: Collection[WorkerId]) -> None:
        """Forget all other servers."""
        self._servers = {each: found for each, found in self._servers.items() if each in worker_ids}

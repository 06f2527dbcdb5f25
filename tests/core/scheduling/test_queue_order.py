"""Expected work that is kept between passes over the waiting steps."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime

from tests.core.scheduling.common import NEEDS, QUEUE, job
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import Step
from toucandoor.core.run_times.learned import LearnedRunTimes
from toucandoor.core.scheduling.progress import JobProgress
from toucandoor.core.scheduling.queue_order import (
    ExpectedWork,
    ExpectedWorkCache,
    objective_s,
    remaining_chain_s,
    remaining_core_s,
)


class ExpectedWorkCacheTest(unittest.TestCase):
    def test_is_never_outdated(self) -> None:
        """Guards against an order by work that is done, or by run times of before a refresh."""
        model = LearnedRunTimes(ManualClock(datetime(2026, 1, 5, tzinfo=UTC)))
        cache = ExpectedWorkCache(model)
        step = Step(4, NEEDS, estimate_ms=1000)
        progress = JobProgress(job(1, step))
        seen = set()

        def check() -> None:
            current = ExpectedWork(
                objective_s(progress.spec, model),
                remaining_chain_s(progress, 0, model),
                remaining_core_s(progress, 0, model),
            )
            self.assertEqual(cache.of(progress, 0), current)
            seen.add(current)

        check()
        progress.step(0, 0).remaining -= 1
        progress.version += 1
        check()
        for _ in range(100):
            model.record(step, QUEUE, 3.0)
        model.refresh([])
        check()
        self.assertEqual(len(seen), 3)
        cache.forget(progress.spec.job_id)
        self.assertEqual(len(cache), 0)

"""The limit of failed runs of a task, with servers that cannot report them in time."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import NEEDS, always_fails, fleet, job
from toucandoor.core.jobs.models import Step, TaskKey

ATTEMPTS_MAX = 2


class AttemptLimitTest(unittest.TestCase):
    """Tasks that fail half a second after their start."""

    # Guards against a start after the last allowed failure, one of which happened on a server that
    # was cut off and is reported once it answers again.
    def test_a_failure_that_is_reported_after_the_lease_has_expired_counts(self) -> None:
        virtual = fleet(workers=3, behaviour=always_fails, attempts_max=ATTEMPTS_MAX)
        virtual.run(0.5)
        spec = job(1, Step(1, NEEDS))
        virtual.submit(spec)
        virtual.run(0.2)
        task = TaskKey(spec.job_id, 0, 0, 0)
        [place] = virtual.observations.running[task]
        virtual.workers[place].reachable = False
        virtual.run(20.0)
        virtual.workers[place].reachable = True
        virtual.run(5.0)
        self.assertLessEqual(len(virtual.observations.failed[task]), ATTEMPTS_MAX)

"""Long-running tasks and jobs after random series of faults.

``TOUCANDOOR_LONG_RUN=1 script/test tests.core.scheduling.test_calm_after_trouble`` plays many more
seeds.
"""

from __future__ import annotations

import os
import unittest

from tests.core.scheduling.calm_after_trouble import CalmAfterTrouble

SEEDS = 400 if os.environ.get("TOUCANDOOR_LONG_RUN") else 8


class CalmAfterTroubleTest(unittest.TestCase):
    # Guards against a task that stays without a run, or a job that does not end, once all is calm.
    def test_each_long_running_task_has_a_run_and_each_job_ends(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                series = CalmAfterTrouble(seed)
                series.play()
                self.assertEqual(series.failures, [], "\n".join(series.faults))


if __name__ == "__main__":
    unittest.main()

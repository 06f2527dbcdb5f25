"""Learned ratios of run time to estimate: weights, decay, bounds and the bias of a peak."""

from __future__ import annotations

import math
import unittest
from datetime import UTC, datetime

from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import Resources, Step
from toucandoor.core.run_times.learned import KEYS_MAX, REFRESHED_KEYS_MAX, LearnedRunTimes
from toucandoor.core.run_times.models import OpenRun
from toucandoor.ids import QueueId

QUEUE = QueueId("q")
STEP = Step(1, Resources(1000), estimate_ms=2000, image="i")
ESTIMATE_S = 2.0


class LearnedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 5, tzinfo=UTC))
        self.model = LearnedRunTimes(self.clock)

    def learn(self, ratio: float, samples: int, step: Step = STEP) -> None:
        for _ in range(samples):
            self.model.record(step, QUEUE, ratio * ESTIMATE_S)
        self.model.refresh([])

    def ratio(self) -> float:
        return self.model.expected_s(STEP, QUEUE) / ESTIMATE_S

    def test_right_estimates_are_used_as_they_are(self) -> None:
        """Guards against changes of order and sizes by noise, where nothing is to be corrected."""
        for number in range(200):
            self.learn(0.9 + 0.2 * (number % 11) / 10, 1)
        self.assertEqual(self.model.expected_s(STEP, QUEUE), ESTIMATE_S)

    def test_tasks_of_one_job_do_not_outvote_the_prior(self) -> None:
        self.learn(0.2, 30, Step(30, Resources(1000), estimate_ms=2000, image="i"))
        self.assertGreater(self.ratio(), 0.8)
        self.learn(0.2, 30)
        self.assertLess(self.ratio(), 0.4)

    def test_errors_in_both_directions_cancel_out_in_the_work(self) -> None:
        """Jobs of one run time, estimated as a tenth of it to almost twice as much.

        The mean of these ratios is 1.9, and pools would want almost twice the VMs.
        """
        for number in range(190):
            estimate_ms = 100 * (1 + number % 19)
            self.model.record(Step(1, Resources(1000), estimate_ms, image="i"), QUEUE, 1.0)
        self.model.refresh([])
        self.assertAlmostEqual(self.ratio(), 1.0, delta=0.15)

    def test_a_hanging_task_counts_like_the_tail(self) -> None:
        self.learn(1.0, 50)
        self.model.record(STEP, QUEUE, 3000.0)
        self.model.refresh([])
        self.assertEqual(self.ratio(), 1.0)

    def test_older_samples_weigh_less(self) -> None:
        ratios = []
        for pause_s in (0.0, 30.0, 400.0):
            self.setUp()
            self.learn(0.4, 40)
            self.clock.advance(pause_s)
            self.learn(2.0, 40)
            ratios.append(self.ratio())
        self.assertEqual(ratios, sorted(ratios))
        self.assertLess(ratios[0], 1.2)
        self.assertGreater(ratios[2], 1.6)

    def test_without_new_samples_the_prior_returns(self) -> None:
        self.learn(0.2, 40)
        self.clock.advance(600.0)
        self.model.refresh([])
        self.assertEqual(self.ratio(), 1.0)
        self.assertFalse(self.model.keys)

    def test_open_runs_limit_the_bias_of_the_first_second(self) -> None:
        """Guards against pools sized by the short tasks alone, while the others still run."""
        self.learn(0.2, 20)
        biased = self.ratio()
        self.model.refresh([OpenRun(QUEUE, "i", ESTIMATE_S, 0.9, 1.0)] * 60)
        self.assertLess(biased, 0.45)
        self.assertGreater(self.ratio(), 0.65)

    def test_open_runs_alone_show_estimates_that_are_far_too_low(self) -> None:
        self.model.refresh([OpenRun(QUEUE, "i", ESTIMATE_S, 2.5, 1.0)] * 30)
        self.assertGreater(self.ratio(), 1.9)
        self.model.refresh([])
        self.assertEqual(self.ratio(), 1.0)

    def test_quantiles_follow_the_samples(self) -> None:
        self.assertEqual(self.model.quantile_s(STEP, QUEUE, 0.95), ESTIMATE_S)
        self.learn(0.5, 90)
        self.learn(3.5, 10)
        self.assertLess(self.model.quantile_s(STEP, QUEUE, 0.5), 0.6 * ESTIMATE_S)
        self.assertGreater(self.model.quantile_s(STEP, QUEUE, 0.95), 2.0 * ESTIMATE_S)

    def test_implausible_run_times_are_dropped_and_counted(self) -> None:
        for run_s in (0.0, -1.0, 3601.0, math.inf, math.nan):
            self.model.record(STEP, QUEUE, run_s)
        self.assertEqual((self.model.dropped, self.model.samples), (5, 0))
        self.model.record(Step(1, Resources(1000), image="i"), QUEUE, 1.0)
        self.assertEqual((self.model.dropped, self.model.samples), (5, 0))

    def test_keys_are_bounded_and_the_least_recently_used_are_dropped(self) -> None:
        for number in range(KEYS_MAX + 10):
            step = Step(1, Resources(1000), estimate_ms=2000, image=f"{number}")
            self.model.record(step, QUEUE, 1.0)
            self.model.record(STEP, QUEUE, 1.0)
        self.assertEqual(len(self.model.keys), KEYS_MAX)
        self.assertIn((QUEUE, "i"), self.model.keys)
        self.assertNotIn((QUEUE, "0"), self.model.keys)

    def test_a_refresh_is_bounded_and_reaches_all_keys_in_turn(self) -> None:
        """Guards against a long pause of the owner's loop when all keys have new samples."""
        for number in range(3 * REFRESHED_KEYS_MAX):
            for _ in range(40):
                step = Step(1, Resources(1000), estimate_ms=2000, image=f"{number}")
                self.model.record(step, QUEUE, 1.0)
        for refreshes in range(1, 4):
            self.model.refresh([])
            self.clock.advance(0.25)
            learned = sum(known.ratio < 1.0 for known in self.model.keys.values())
            self.assertEqual(learned, refreshes * REFRESHED_KEYS_MAX)

    def test_queues_report_their_ratios(self) -> None:
        self.learn(0.5, 40)
        (found,) = self.model.queue_ratios()
        self.assertEqual(found.queue, QUEUE)
        self.assertAlmostEqual(found.median, 0.5, delta=0.05)
        self.assertAlmostEqual(found.weight, 40.0)

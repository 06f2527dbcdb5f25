"""Tests of the rate status of jobs."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING

from tests.core.fair_order.days import with_weights
from toucandoor.core.fair_order.rates import RateStatusTracker, valid_rates
from toucandoor.core.overload.models import RateStatus
from toucandoor.ids import JobId, TeamId

if TYPE_CHECKING:
    from collections.abc import Mapping

A, B = TeamId("a"), TeamId("b")
START_MS = 1_700_000_000_000.0
WITHIN, BEYOND = RateStatus.WITHIN, RateStatus.BEYOND


def tracker(weights: Mapping[TeamId, float]) -> RateStatusTracker:
    made = RateStatusTracker(START_MS)
    made.set_configuration(with_weights(weights), START_MS)
    return made


class RateStatusTest(unittest.TestCase):
    def hand_in(
        self, rates: RateStatusTracker, count: int, at_s: float, team: TeamId = A
    ) -> list[RateStatus]:
        """Add jobs that are accepted at one time, and return their statuses."""
        at_ms = START_MS + at_s * 1000
        ids = [JobId(f"{team}-{at_s}-{number}") for number in range(count)]
        for job_id in ids:
            rates.add_job(job_id, team, at_ms)
        return [rates.status(each, at_ms) for each in ids]

    def test_a_burst_of_two_seconds_is_within_the_rate(self) -> None:
        rates = tracker({A: 3.0, B: 0.1})
        self.assertEqual(self.hand_in(rates, 8, 0.0), [WITHIN] * 6 + [BEYOND] * 2)
        self.assertEqual(self.hand_in(rates, 3, 0.0, B), [WITHIN] * 2 + [BEYOND])
        self.assertEqual(self.hand_in(rates, 4, 1.0), [WITHIN] * 3 + [BEYOND])

    def test_jobs_beyond_the_rate_take_no_part_of_it(self) -> None:
        """Guards against a team at a multiple of its rate that gets none of its jobs in."""
        rates = tracker({A: 2.0})
        statuses = [self.hand_in(rates, 1, number / 14)[0] for number in range(14 * 20)]
        self.assertAlmostEqual(statuses.count(WITHIN), 2 * 20 + 4, delta=1)

    def test_a_team_is_beyond_only_while_it_hands_in_too_much(self) -> None:
        rates = tracker({A: 2.0, B: 2.0})
        self.hand_in(rates, 4, 0.0, B)
        self.hand_in(rates, 5, 0.0)
        self.assertEqual(rates.teams_beyond(START_MS), (A,))
        self.assertEqual(rates.teams_beyond(START_MS + 600), ())

    def test_status_follows_acceptance_and_not_the_order_of_reading(self) -> None:
        """Guards against a new owner that decides by the order of job ids."""
        rates = tracker({A: 1.0})
        for number, at_ms in ((1, 300), (2, 200), (3, 100)):
            rates.add_job(JobId(str(number)), A, START_MS - 1000 + at_ms)
        with self.assertLogs("toucandoor.core.fair_order", "INFO") as logs:
            statuses = [rates.status(JobId(str(number)), START_MS) for number in (1, 2, 3)]
        self.assertEqual(statuses, [BEYOND, WITHIN, WITHIN])
        self.assertIn("jobs that have ended are not counted", logs.output[0])

    def test_a_status_never_changes(self) -> None:
        rates = tracker({A: 1.0})
        statuses = self.hand_in(rates, 3, 0.0)
        rates.add_job(JobId("a-0.0-2"), A, START_MS + 9000)
        rates.set_configuration(with_weights({A: 50.0}), START_MS)
        self.assertEqual(rates.status(JobId("a-0.0-2"), START_MS + 9000), statuses[2])

    def test_implausible_acceptance_times_do_not_block_the_bucket(self) -> None:
        """Guards against a node's clock an hour ahead that keeps its team beyond for an hour."""
        rates = tracker({A: 1.0})
        rates.add_job(JobId("ahead"), A, START_MS + 3_600_000)
        rates.add_job(JobId("missing"), A, 0)
        rates.teams_beyond(START_MS)
        self.assertEqual(self.hand_in(rates, 2, 2.0), [WITHIN] * 2)
        # The owner's own clock is set back by 10 s.
        self.assertEqual(self.hand_in(rates, 1, -10.0), [BEYOND])
        self.assertEqual(self.hand_in(rates, 1, -9.0), [WITHIN])

    def test_a_removed_team_keeps_its_rate_until_its_jobs_have_ended(self) -> None:
        rates = tracker({A: 1.0, B: 1.0})
        self.hand_in(rates, 3, 0.0)
        rates.set_configuration(with_weights({B: 1.0}), START_MS)
        self.assertEqual(rates.rates(), {A: 1.0, B: 1.0})
        for number in range(3):
            rates.remove_job(JobId(f"a-0.0-{number}"), START_MS)
        self.assertEqual(rates.rates(), {B: 1.0})

    def test_invalid_weights_count_as_none_and_are_logged_once(self) -> None:
        invalid = {"z": 0.0, "m": -1.0, "n": math.nan, "l": 1e9, "i": math.inf}
        weights = {A: 2.0} | {TeamId(name): weight for name, weight in invalid.items()}
        self.assertEqual(valid_rates(with_weights(weights)), {A: 2.0})
        with self.assertLogs("toucandoor.core.fair_order", "WARNING") as logs:
            rates = tracker(weights)
            rates.set_configuration(with_weights(weights), START_MS)
        self.assertEqual((len(logs.output), rates.invalid_weights), (5, 5))
        self.assertEqual(self.hand_in(rates, 50, 0.0, TeamId("z")), [WITHIN] * 50)

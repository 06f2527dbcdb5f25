"""Days on which 20 teams within their rates ask a pool for more than it has."""

from __future__ import annotations

import logging
import unittest

from tests.core.overload.pool_day import PoolDay, Submission
from toucandoor.ids import TeamId

TEAMS = [TeamId(f"t{number:02}") for number in range(20)]
FLOOD = TEAMS[0]


def day(load: float, *, seed: int = 1, admission: bool = True, for_s: float = 20.0) -> PoolDay:
    """Return a day on which all teams ask for the same."""
    loads = dict.fromkeys(TEAMS, load / len(TEAMS))
    return PoolDay(loads, seed, admission=admission, regular=True, for_s=for_s)


def refused_tries(submissions: list[Submission]) -> int:
    """Return the number of tries that were refused."""
    return sum(len(each.refusals) for each in submissions)


class DayTest(unittest.TestCase):
    """Base of the tests; days log thousands of lines."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, load: float, for_s: float = 20.0) -> None:
        """Compare a day with the baseline that accepts all.

        Guards against jobs that are accepted and done too late, against refusals of jobs that the
        baseline would have done, and against capacity that refusals leave unused.
        """
        played, baseline = (day(load, admission=each, for_s=for_s) for each in (True, False))
        for each in (played, baseline):
            each.fleet.run(for_s + 6)
        refused = refused_tries(played.submissions)
        late = sum(each.accepted and played.objectives(each) > 3.0 for each in played.submissions)
        self.assertGreaterEqual(refused / (refused + late), 0.9)
        for objectives in (1.0, 3.0):
            self.assertGreaterEqual(played.done(objectives), baseline.done(objectives))
        self.assertFalse(any(report.beyond for report in played.reports))


class Load12Test(DayTest):
    def test_a_load_of_1_2(self) -> None:
        self.check(1.2)


class Load15Test(DayTest):
    def test_a_load_of_1_5(self) -> None:
        self.check(1.5)


class Load25Test(DayTest):
    def test_a_load_of_2_5(self) -> None:
        self.check(2.5, for_s=12.0)


class FullLoadTest(DayTest):
    def test_nobody_is_refused_up_to_the_capacity(self) -> None:
        """Guards against refusals for a few jobs that chance makes late."""
        for load in (0.9, 1.0):
            for seed in (1, 2):
                played = day(load, seed=seed)
                played.fleet.run(22)
                self.assertEqual(refused_tries(played.submissions), 0)


class FloodTest(DayTest):
    def test_a_team_that_is_alone_in_sending_too_much_is_alone_refused(self) -> None:
        """Guards against refusing the large jobs of all teams for the load of one."""
        loads = dict.fromkeys(TEAMS, 0.04) | {FLOOD: 0.6}
        played = PoolDay(loads, 1, regular=True)
        played.fleet.run(22)
        of_flood = [each for each in played.submissions if each.spec.team == FLOOD]
        others = [each for each in played.submissions if each.spec.team != FLOOD]
        self.assertGreater(refused_tries(of_flood), 100)
        self.assertEqual(refused_tries(others), 0)


class FailureTest(DayTest):
    def test_jobs_are_accepted_without_reports_and_after_a_change_of_owner(self) -> None:
        """Guards against refusals by a report that is no longer renewed."""
        played = day(1.5)
        begin_s = played.now_s
        played.fleet.run(7.0)
        played.report_lost = True
        played.take_over()
        played.fleet.run(5.0)
        played.report_lost = False
        played.fleet.run(8.0)
        times_s = [at_s - begin_s for each in played.submissions for at_s, _ in each.refusals]
        self.assertTrue(any(at_s < 7.0 for at_s in times_s))
        self.assertFalse(any(9.5 < at_s < 12.0 for at_s in times_s))
        self.assertTrue(any(at_s > 12.1 for at_s in times_s))
        self.assertEqual(len({report.token for report in played.reports}), 2)


class SteadyTest(DayTest):
    def test_a_second_accepts_neither_all_nor_nothing(self) -> None:
        """Guards against swings from report to report: each changes what the next one shows."""
        played = day(2.5, for_s=12.0)
        begin_s = played.now_s
        played.fleet.run(12.0)
        for second in range(4, 12):
            first = [
                bool(each.refusals) and each.refusals[0][0] == each.at_s
                for each in played.submissions
                if second <= each.at_s - begin_s < second + 1
            ]
            share = sum(first) / len(first)
            self.assertTrue(0.1 < share < 0.8, f"{share} refused in second {second}")


if __name__ == "__main__":
    unittest.main()

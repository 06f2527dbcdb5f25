"""Calls of 40 nodes to the store when the owner is lost, and when the store returns."""

from __future__ import annotations

import unittest

from tests.adapters.many_nodes import NODES, TimeLine, run_claims, run_watches

VACATED_S = 3.0
OUTAGE_S = (5.0, 10.0)
ACCEPTED_WITHIN_S = 0.3
WINDOW_S = 0.1
CALLS_MAX = 5 * NODES
"""Most calls within the window. A node makes at least six when the store is back and the ownership
vacant; not all nodes may make all of them at once."""


class OwnerLostTest(unittest.TestCase):
    """The lease of the ownership has ended at its former owner."""

    def test_one_node_claims_at_once_and_the_others_learn_of_it(self) -> None:
        # All 40 nodes claimed 0.22 s later, with three calls each, while the new owner read its
        # records.
        line = TimeLine(vacated_s=VACATED_S)
        run_claims(line, range(NODES), seed=1)
        self.assertLess(line.claimed_s - VACATED_S, 0.05)
        self.assertEqual(line.calls_within(VACATED_S, 2.0)["grant_lease"], 1)

    def test_listed_nodes_that_have_failed_delay_it_little(self) -> None:
        line = TimeLine(vacated_s=VACATED_S)
        run_claims(line, range(NODES - 5), seed=1)
        self.assertLess(line.claimed_s - VACATED_S, 0.15)
        self.assertEqual(line.calls_within(VACATED_S, 2.0)["grant_lease"], 1)


class StoreReturnTest(unittest.TestCase):
    """The store refuses all calls for 5 s, and the lease of the ownership ends meanwhile."""

    def test_nodes_accept_jobs_in_time_and_do_not_flood_the_store(self) -> None:
        # All threads of all nodes tried again in the same tenth of a second, with up to 247 calls.
        down_s, up_s = OUTAGE_S
        line = TimeLine(down_s, up_s, vacated_s=up_s, end_s=up_s + 3.0)
        noticed_s = max(run_watches(line, seed) for seed in range(NODES))
        run_claims(line, range(NODES), seed=1)
        self.assertLess(noticed_s - up_s, ACCEPTED_WITHIN_S)
        self.assertLess(line.claimed_s - up_s, ACCEPTED_WITHIN_S)
        self.assertLessEqual(line.busiest(up_s - 1.0, 4.0, WINDOW_S), CALLS_MAX)


if __name__ == "__main__":
    unittest.main()

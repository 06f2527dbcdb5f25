"""Calls of 40 nodes to the store when the owner is lost, and when the store returns."""

from __future__ import annotations

import unittest

from tests.adapters.many_nodes import NODES, TimeLine, run_claims

VACATED_S = 3.0
OUTAGE_S = (5.0, 10.0)
ACCEPTED_WITHIN_S = 0.3
WINDOW_S = 0.1
CALLS_MAX = 3 * NODES
"""Most calls within the window: as many for each node as a claim takes."""


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


if __name__ == "__main__":
    unittest.main()

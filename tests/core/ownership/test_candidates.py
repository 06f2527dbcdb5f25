"""Stronger VMs claim a vacant ownership first; among equal ones, younger processes."""

from __future__ import annotations

import unittest

from toucandoor.core.ownership.candidates import (
    AGE_DELAY_S_MAX,
    VmCapacity,
    claim_delay_s,
    stronger_exists,
)

SMALL = VmCapacity(0.5, 10.0)
LARGE = VmCapacity(2.0, 200.0)
YEAR_S = 365 * 86_400.0


class StrongerTest(unittest.TestCase):
    """Comparison of two VMs."""

    def test_more_of_both_is_stronger(self) -> None:
        self.assertTrue(LARGE.stronger_than(SMALL))
        self.assertFalse(SMALL.stronger_than(LARGE))

    def test_small_differences_do_not_count(self) -> None:
        self.assertFalse(VmCapacity(2.5, 210.0).stronger_than(LARGE))

    def test_more_of_one_and_less_of_the_other_is_not_stronger(self) -> None:
        self.assertFalse(VmCapacity(4.0, 100.0).stronger_than(LARGE))
        self.assertFalse(LARGE.stronger_than(VmCapacity(4.0, 100.0)))

    def test_an_unknown_capacity_is_neither_stronger_nor_weaker(self) -> None:
        self.assertFalse(LARGE.stronger_than(VmCapacity()))
        self.assertFalse(VmCapacity().stronger_than(SMALL))

    def test_one_stronger_vm_among_equals(self) -> None:
        self.assertTrue(stronger_exists(SMALL, [SMALL, LARGE, VmCapacity()]))
        self.assertFalse(stronger_exists(LARGE, [SMALL, LARGE, VmCapacity()]))


class ClaimDelayTest(unittest.TestCase):
    """Delay of a claim."""

    def test_the_youngest_weak_vm_waits_longer_than_the_oldest_strong_one(self) -> None:
        youngest_weak_s = claim_delay_s(0.0, weaker=True)
        self.assertGreaterEqual(youngest_weak_s, 2 * claim_delay_s(YEAR_S, weaker=False))

    def test_among_equals_the_younger_process_waits_less(self) -> None:
        for weaker in (False, True):
            self.assertLess(claim_delay_s(1.0, weaker=weaker), claim_delay_s(60.0, weaker=weaker))

    def test_a_strong_vm_waits_no_longer_than_the_bound(self) -> None:
        self.assertLessEqual(claim_delay_s(YEAR_S, weaker=False), AGE_DELAY_S_MAX)


if __name__ == "__main__":
    unittest.main()

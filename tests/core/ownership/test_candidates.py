"""Stronger VMs claim a vacant ownership first; among equal ones, younger processes."""

from __future__ import annotations

import unittest

from toucandoor.core.ownership.candidates import (
    CLAIM_DELAY_S_MAX,
    YIELD_PAUSE_S,
    VmCapacity,
    YieldPolicy,
    claim_delay_s,
    earlier_claims,
    stronger_exists,
    usable_elsewhere,
)
from toucandoor.ids import DataCentreId, EntryId

SMALL = VmCapacity(0.5, 10.0)
LARGE = VmCapacity(2.0, 200.0)
FLEET = 1000


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
        youngest_weak_s = claim_delay_s(0, weaker=True)
        self.assertGreaterEqual(youngest_weak_s, 2 * claim_delay_s(FLEET, weaker=False))

    def test_among_equals_the_younger_process_claims_first(self) -> None:
        revisions = (3, 5, 8)
        delays_s = [
            claim_delay_s(
                earlier_claims(LARGE, own, [(each, LARGE) for each in revisions if each != own]),
                weaker=False,
            )
            for own in revisions
        ]
        self.assertEqual(sorted(set(delays_s), reverse=True), delays_s)
        self.assertEqual(delays_s[-1], 0.0)

    def test_only_vms_that_are_not_weaker_claim_earlier(self) -> None:
        self.assertEqual(earlier_claims(LARGE, 3, [(5, SMALL), (8, VmCapacity())]), 1)

    def test_a_process_that_has_not_registered_yet_is_the_youngest(self) -> None:
        self.assertEqual(earlier_claims(LARGE, 0, [(5, LARGE)]), 0)

    def test_a_strong_vm_waits_no_longer_than_the_bound(self) -> None:
        self.assertLessEqual(claim_delay_s(FLEET, weaker=False), CLAIM_DELAY_S_MAX)


class EvacuatedOwnerTest(unittest.TestCase):
    """Whether an owner in an evacuated data centre hands over."""

    def test_to_a_vm_elsewhere_that_is_not_weaker(self) -> None:
        here, there, third = (DataCentreId(name) for name in ("here", "there", "third"))
        own, weak = VmCapacity(1.0, 100.0), VmCapacity(0.5, 50.0)
        for others, evacuated, expected in (
            ([(there, own)], {here}, True),
            ([(there, VmCapacity())], {here}, True),
            ([(there, weak), (here, own)], {here}, False),
            ([(there, own)], {there}, False),
            ([(there, own)], {here, there}, False),
            ([(there, own), (third, own)], {here, there}, True),
            ([], {here}, False),
        ):
            with self.subTest(others=others, evacuated=evacuated):
                self.assertIs(usable_elsewhere(own, here, others, evacuated), expected)

    def test_not_again_soon_if_no_other_vm_has_claimed(self) -> None:
        policy = YieldPolicy(VmCapacity(1.0, 100.0))
        self.assertTrue(policy.should_leave(10.0))
        self.assertFalse(policy.should_leave(10.0 + YIELD_PAUSE_S / 2))
        self.assertTrue(policy.should_leave(10.0 + YIELD_PAUSE_S))


class YieldTest(unittest.TestCase):
    """Release of the ownership to a stronger VM."""

    def setUp(self) -> None:
        self.policy = YieldPolicy(SMALL)
        self.large = {EntryId("large"): LARGE, EntryId("small"): SMALL}

    def test_a_stronger_vm_must_be_listed_twice_in_succession(self) -> None:
        self.assertFalse(self.policy.should_yield(self.large, 100.0))
        self.assertFalse(self.policy.should_yield({}, 104.0))
        self.assertFalse(self.policy.should_yield(self.large, 108.0))
        self.assertTrue(self.policy.should_yield(self.large, 112.0))

    def test_two_stronger_vms_that_are_listed_in_turn_do_not_count(self) -> None:
        self.assertFalse(self.policy.should_yield({EntryId("a"): LARGE}, 100.0))
        self.assertFalse(self.policy.should_yield({EntryId("b"): LARGE}, 104.0))

    def test_equal_vms_keep_the_ownership(self) -> None:
        for now_s in (100.0, 104.0, 108.0):
            self.assertFalse(self.policy.should_yield({EntryId("small"): SMALL}, now_s))

    # A stronger VM that is listed but cannot claim would otherwise stop the schedule again and
    # again.
    def test_it_is_not_released_again_soon_if_the_stronger_vm_did_not_claim(self) -> None:
        self.policy.should_yield(self.large, 100.0)
        self.assertTrue(self.policy.should_yield(self.large, 104.0))
        self.policy.begin_term()
        later_s = 104.0
        while later_s + 4.0 < 104.0 + YIELD_PAUSE_S:
            later_s += 4.0
            self.assertFalse(self.policy.should_yield(self.large, later_s))
        self.assertTrue(self.policy.should_yield(self.large, 104.0 + YIELD_PAUSE_S))


if __name__ == "__main__":
    unittest.main()

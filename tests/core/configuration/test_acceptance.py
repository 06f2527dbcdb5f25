"""Tests of the acceptance of a version: when it counts as in force everywhere."""

from __future__ import annotations

import unittest

from toucandoor.core.configuration.acceptance import Acceptance, PendingReason
from toucandoor.core.leases.models import EntrySlot, LeaseTimes, PollAnswer
from toucandoor.core.leases.node import LeaseNode
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId

TIMES = LeaseTimes(entry_lease_s=6.0, grace_s=120.0)
OLD_VERSION = ConfigVersion(4)
VERSION = ConfigVersion(5)
POLL_INTERVAL_S = 0.25


def slots(names: str) -> list[EntrySlot]:
    return [EntrySlot(EntryId(name), DataCentreId(name[0])) for name in names.split()]


def answer(name: str, known: int = 5, in_force: int = 5, lower: str = "") -> PollAnswer:
    return PollAnswer(
        sender=EntryId(name),
        incarnation=IncarnationId(1),
        sequence=1,
        known=ConfigVersion(known),
        in_force=ConfigVersion(in_force),
        caught_up=True,
        settled=True,
        fresh_age_s=0.0,
        lower_grants=tuple(EntryId(each) for each in lower.split()),
    )


def answer_twice(acceptance: Acceptance, names: str, start_s: float, lower: str = "") -> None:
    for turn in range(2):
        for name in names.split():
            at_s = start_s + turn
            acceptance.on_answer(answer(name, lower=lower), at_s, at_s + 0.1)


class AcceptanceTest(unittest.TestCase):
    def test_all_acknowledge(self) -> None:
        acceptance = Acceptance(VERSION, slots("a1 a2 b1"), TIMES)
        answer_twice(acceptance, "a1 a2 b1", 0.0)
        self.assertTrue(acceptance.accepted(1.2))
        self.assertEqual(acceptance.pending(1.2), [])

    def test_a_version_without_slots_is_in_force_everywhere(self) -> None:
        """Guards against a first configuration after which no slot can be added any more."""
        self.assertTrue(Acceptance(VERSION, [], TIMES).accepted(0.0))

    def test_a_removal_of_the_last_slot_is_accepted_by_the_slots_before(self) -> None:
        acceptance = Acceptance(VERSION, [], TIMES, slots("a1"))
        self.assertFalse(acceptance.accepted(0.0))
        answer_twice(acceptance, "a1", 0.0)
        self.assertTrue(acceptance.accepted(1.2))

    def test_a_majority_of_the_present_slots_suffices_when_one_of_two_before_is_lost(self) -> None:
        """Guards against a version that stays pending for good after a slot was added."""
        acceptance = Acceptance(VERSION, slots("a1 a2 b1"), TIMES, slots("a1 b1"))
        answer_twice(acceptance, "a1 a2", 0.0)
        self.assertTrue(acceptance.has_majority())
        self.assertFalse(acceptance.accepted(121.0))
        self.assertTrue(acceptance.accepted(122.4))

    def test_the_slots_before_must_not_keep_a_majority_without_the_version(self) -> None:
        acceptance = Acceptance(VERSION, slots("a1 a2 a3"), TIMES, slots("a1 b1 b2"))
        answer_twice(acceptance, "a1 a2 a3", 0.0)
        self.assertFalse(acceptance.has_majority())
        answer_twice(acceptance, "b1", 2.0)
        answer_twice(acceptance, "a1 a2 a3 b1", 4.0)
        self.assertTrue(acceptance.has_majority())

    def test_a_silent_data_centre_is_named_until_its_grace_ends(self) -> None:
        acceptance = Acceptance(VERSION, slots("a1 a2 b1 b2 c1"), TIMES)
        answer_twice(acceptance, "a1 a2 c1", 0.0)
        pending = acceptance.pending(2.0)
        self.assertEqual(
            [(p.entry, p.reason) for p in pending],
            [("b1", PendingReason.NO_ANSWER), ("b2", PendingReason.NO_ANSWER)],
        )
        self.assertFalse(acceptance.accepted(122.0))
        self.assertTrue(acceptance.accepted(122.4))

    def test_one_that_lags_is_named(self) -> None:
        acceptance = Acceptance(VERSION, slots("a1 a2 a3"), TIMES)
        acceptance.on_answer(answer("a3", known=4, in_force=4), 0.0, 0.1)
        answer_twice(acceptance, "a1 a2", 0.0, lower="a3")
        self.assertEqual(
            [(p.entry, p.reason) for p in acceptance.pending(2.0)],
            [("a3", PendingReason.LOWER_VERSION)],
        )

    def test_a_crashed_entry_is_done_when_no_granter_holds_it_up(self) -> None:
        acceptance = Acceptance(VERSION, slots("a1 a2 a3"), TIMES)
        answer_twice(acceptance, "a1 a2", 0.0, lower="a3")
        self.assertFalse(acceptance.accepted(2.0))
        answer_twice(acceptance, "a1 a2", 7.0)
        self.assertTrue(acceptance.accepted(9.0))

    def test_a_frozen_entry_delays_acceptance_by_its_lease_at_most(self) -> None:
        members = slots("a1 a2 a3")
        nodes = {}
        for slot in members:
            node = LeaseNode(slot.entry, IncarnationId(1), TIMES, -60.0)
            node.set_slots(members)
            node.set_known(OLD_VERSION)
            node.set_in_force(OLD_VERSION)
            node.on_store_read(OLD_VERSION, -1.0)
            nodes[slot.entry] = node
        frozen = nodes.pop(EntryId("a3"))
        granted_s = [node.on_poll(frozen.next_poll(), 0.0).grant_s for node in nodes.values()]
        self.assertEqual(granted_s, [TIMES.entry_lease_s] * 2)
        for node in nodes.values():
            node.set_known(VERSION)
            node.set_in_force(VERSION)
        acceptance = Acceptance(VERSION, members, TIMES)
        now_s = 0.0
        while not acceptance.accepted(now_s):
            self.assertLess(now_s, TIMES.granter_entry_lease_s() + 2 * POLL_INTERVAL_S)
            now_s += POLL_INTERVAL_S
            poller = nodes[EntryId("a1")]
            for node in nodes.values():
                acceptance.on_answer(node.on_poll(poller.next_poll(), now_s), now_s, now_s)
        self.assertGreaterEqual(now_s, TIMES.entry_lease_s)

    def test_one_that_lags_may_reckon_by_the_slots_before(self) -> None:
        current_only = Acceptance(VERSION, slots("a1 a2 a3 a4"), TIMES)
        both = Acceptance(VERSION, slots("a1 a2 a3 a4"), TIMES, slots("a1 a2 a3"))
        for acceptance in (current_only, both):
            for turn in range(2):
                acceptance.on_answer(answer("a4"), turn, turn + 0.1)
                acceptance.on_answer(answer("a2"), turn, turn + 0.1)
                acceptance.on_answer(answer("a3", lower="a1"), turn, turn + 0.1)
        self.assertTrue(current_only.accepted(1.2))
        self.assertFalse(both.accepted(1.2))

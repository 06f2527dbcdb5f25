"""Tests of the head record."""

from __future__ import annotations

import unittest

from toucandoor.core.configuration.head import HeadRecord, join_parts, part_digest, split_parts
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.leases.models import EntrySlot
from toucandoor.exceptions import StoreConflictError
from toucandoor.ids import DataCentreId, EntryId, OperationId

CONFIGURATION = Configuration.model_validate(
    {
        "data_centres": {"a": {"region": "r"}, "b": {"region": "r"}},
        "pools": {"p": {"unavailable_max": 1}},
        "teams": {"t": {"ceiling_running": 1}, "u": {"ceiling_running": 2}},
        "vms": {
            "v": {"pool": "p", "data_centre": "a", "rack": "r", "address": "127.0.0.1:1"},
            "w": {"pool": "p", "data_centre": "b", "rack": "r", "address": "127.0.0.1:2"},
        },
        "withdrawn_keys": {"k-2": {"sha256": "2" * 64}, "k-1": {"sha256": "1" * 64}},
    }
)


def slot(name: str, address: str = "") -> EntrySlot:
    return EntrySlot(EntryId(name), DataCentreId("a"), address)


def first(change: str = "c-1") -> HeadRecord:
    return HeadRecord().with_content(0, CONFIGURATION, OperationId(change))


class HeadTest(unittest.TestCase):
    def test_parts_join_to_the_same_configuration_and_a_change_touches_one(self) -> None:
        parts = split_parts(CONFIGURATION)
        self.assertEqual(join_parts(parts), CONFIGURATION)
        team = CONFIGURATION.teams["t"].model_copy(update={"ceiling_running": 9})
        teams = {**CONFIGURATION.teams, "t": team}
        changed = split_parts(CONFIGURATION.model_copy(update={"teams": teams}))
        self.assertEqual(
            [n for n in parts if part_digest(parts[n]) != part_digest(changed[n])], ["teams/t"]
        )

    def test_racing_operators_conflict_and_a_change_is_found_by_its_id(self) -> None:
        head = first()
        with self.assertRaisesRegex(StoreConflictError, "version 1 is the newest.* based on 0"):
            head.with_content(0, CONFIGURATION, OperationId("c-2"))
        self.assertEqual(head.version_of(OperationId("c-1")), 1)
        self.assertIsNone(head.version_of(OperationId("c-2")))
        self.assertEqual(HeadRecord.from_json(head.to_json()), head)

    def test_slots_come_one_at_a_time_once_there_is_content(self) -> None:
        empty = HeadRecord()
        two = empty.with_slot(slot("e-1"), in_force_everywhere=False)
        assert two is not None
        two = two.with_slot(slot("e-2"), in_force_everywhere=False)
        assert two is not None
        self.assertEqual(two.lease_slots(), ())
        head = two.with_content(0, CONFIGURATION, OperationId("c"))
        self.assertEqual(len(head.lease_slots()), 2)
        self.assertIsNone(head.with_slot(slot("e-3"), in_force_everywhere=False))
        moved = head.with_slot(slot("e-2", "127.0.0.1:9"), in_force_everywhere=False)
        assert moved is not None
        self.assertEqual(len(moved.slots), 2)
        self.assertEqual(moved.content_version, head.content_version)

    def test_the_slots_before_a_change_stay_known_until_the_next(self) -> None:
        head = HeadRecord().with_slot(slot("e-1"), in_force_everywhere=True)
        assert head is not None
        head = head.with_content(0, CONFIGURATION, OperationId("c"))
        self.assertIsNone(head.without_slot(EntryId("e-1"), in_force_everywhere=False))
        less = head.without_slot(EntryId("e-1"), in_force_everywhere=True)
        assert less is not None
        self.assertEqual((less.slots, less.previous_slots), ((), (slot("e-1"),)))
        settled = less.without_previous_slots(less.slots)
        assert settled is not None
        self.assertEqual((settled.version, settled.previous_slots), (less.version + 1, ()))
        self.assertIsNone(less.without_previous_slots((slot("e-9"),)))
        more = less.with_slot(slot("e-2"), in_force_everywhere=True)
        assert more is not None
        self.assertEqual((more.slots, more.previous_slots), ((slot("e-2"),), ()))

    def test_a_move_to_another_data_centre_waits_like_an_addition(self) -> None:
        head = HeadRecord().with_slot(slot("e-1"), in_force_everywhere=True)
        assert head is not None
        head = head.with_content(0, CONFIGURATION, OperationId("c"))
        other = EntrySlot(EntryId("e-1"), DataCentreId("b"))
        self.assertIsNone(head.with_slot(other, in_force_everywhere=False))

    def test_a_shorter_grace_does_not_shorten_what_others_may_still_hold(self) -> None:
        head = first()
        policy = CONFIGURATION.policy.model_copy(update={"cut_off_grace_s": 5.0})
        shorter = CONFIGURATION.model_copy(update={"policy": policy})
        self.assertEqual(head.with_content(1, shorter, OperationId("d")).grace_s, 120.0)

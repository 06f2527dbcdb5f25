"""What is told apart of peers."""

from __future__ import annotations

import unittest

from toucandoor.core.membership.members import Members
from toucandoor.core.membership.models import Reach
from toucandoor.ids import EntryId, IncarnationId

PEER = EntryId("entry-2")


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = Members()

    def _reach(self, now_s: float) -> Reach:
        return self.members.member(PEER, now_s, expects_polls=True).reach

    def test_both_ways_then_one_way_then_silent(self) -> None:
        self.assertEqual(self._reach(0.0), Reach.UNKNOWN)
        self.members.heard_from(PEER, IncarnationId(1), 0.0)
        self.members.answered(PEER, IncarnationId(1), 0.0)
        self.assertEqual(self._reach(1.0), Reach.BOTH_WAYS)
        self.assertTrue(self.members.no_answer(PEER, 2.0))
        self.assertFalse(self.members.no_answer(PEER, 3.0))
        self.assertEqual(self._reach(3.0), Reach.ONLY_HEARD)
        self.assertEqual(self._reach(5.0), Reach.SILENT)
        self.members.answered(PEER, IncarnationId(1), 6.0)
        self.assertEqual(self._reach(6.0), Reach.ONLY_ANSWERS)

    def test_a_restart_is_a_newer_incarnation_and_late_messages_change_nothing(self) -> None:
        self.members.heard_from(PEER, IncarnationId(1), 0.0)
        self.members.said_goodbye(PEER, IncarnationId(1))
        self.assertEqual(self._reach(0.1), Reach.LEFT)
        self.members.heard_from(PEER, IncarnationId(2), 1.0)
        self.members.answered(PEER, IncarnationId(2), 1.0)
        self.members.said_goodbye(PEER, IncarnationId(1))
        member = self.members.member(PEER, 1.0, expects_polls=True)
        self.assertEqual((member.reach, member.restarts), (Reach.BOTH_WAYS, 1))

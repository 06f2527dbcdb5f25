"""Tests of the peer tracker: reachability, planned stops and restarts."""

from __future__ import annotations

import unittest

from toucandoor.core.membership.members import PeerTracker
from toucandoor.core.membership.models import Reachability
from toucandoor.ids import EntryId, IncarnationId

PEER = EntryId("entry-2")


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = PeerTracker()

    def _reachability(self, now_s: float) -> Reachability:
        return self.tracker.status(PEER, now_s, sends_polls=True).reach

    def test_both_ways_then_one_way_then_silent(self) -> None:
        self.assertEqual(self._reachability(0.0), Reachability.UNKNOWN)
        self.tracker.on_poll(PEER, IncarnationId(1), 0.0)
        self.tracker.on_answer(PEER, IncarnationId(1), 0.0)
        self.assertEqual(self._reachability(1.0), Reachability.BOTH_WAYS)
        self.assertTrue(self.tracker.on_no_answer(PEER, 2.0))
        self.assertFalse(self.tracker.on_no_answer(PEER, 3.0))
        self.assertEqual(self._reachability(3.0), Reachability.POLLS_ONLY)
        self.assertEqual(self._reachability(5.0), Reachability.SILENT)
        self.tracker.on_answer(PEER, IncarnationId(1), 6.0)
        self.assertEqual(self._reachability(6.0), Reachability.ANSWERS_ONLY)

    def test_a_restart_is_a_newer_incarnation_and_late_messages_change_nothing(self) -> None:
        self.tracker.on_poll(PEER, IncarnationId(1), 0.0)
        self.tracker.on_goodbye(PEER, IncarnationId(1))
        self.assertEqual(self._reachability(0.1), Reachability.STOPPED_AS_PLANNED)
        self.tracker.on_poll(PEER, IncarnationId(2), 1.0)
        self.tracker.on_answer(PEER, IncarnationId(2), 1.0)
        self.tracker.on_goodbye(PEER, IncarnationId(1))
        status = self.tracker.status(PEER, 1.0, sends_polls=True)
        self.assertEqual((status.reach, status.restarts), (Reachability.BOTH_WAYS, 1))

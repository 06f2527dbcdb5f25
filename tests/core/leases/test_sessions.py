"""Leases that a controller delegates to its entry process."""

from __future__ import annotations

import unittest

from toucandoor.core.leases.models import LeaseTimes
from toucandoor.core.leases.sessions import DelegatedLease, EntrySessions
from toucandoor.ids import ConfigVersion, IncarnationId

TIMES = LeaseTimes(entry_lease_s=6.0, grace_s=120.0)


class EntrySessionsTest(unittest.TestCase):
    def test_a_fresh_controller_vouches_for_nothing_until_the_entry_connects(self) -> None:
        sessions = EntrySessions(TIMES, started_s=0.0)
        self.assertEqual(sessions.in_force(ConfigVersion(3), 1.0), 0)
        self.assertEqual(sessions.in_force(ConfigVersion(3), 6.1), 3)
        early = EntrySessions(TIMES, started_s=0.0)
        early.on_connected(IncarnationId(1))
        self.assertEqual(early.in_force(ConfigVersion(3), 1.0), 0)
        early.on_acknowledged(IncarnationId(1), ConfigVersion(2))
        self.assertEqual(early.in_force(ConfigVersion(3), 1.0), 2)
        self.assertEqual(early.in_force(ConfigVersion(3), 6.1), 3)

    def test_an_entry_that_went_away_is_awaited_until_its_lease_ends(self) -> None:
        sessions = EntrySessions(TIMES, started_s=0.0)
        entry = IncarnationId(1)
        sessions.on_connected(entry)
        sessions.on_acknowledged(entry, ConfigVersion(2))
        self.assertEqual(sessions.delegate(entry, ConfigVersion(2), 100.0, 1.0), 6.0)
        self.assertEqual(sessions.in_force(ConfigVersion(3), 7.0), 2)
        self.assertEqual(sessions.in_force(ConfigVersion(3), 7.1), 3)

    def test_a_newer_entry_process_ends_the_wait(self) -> None:
        sessions = EntrySessions(TIMES, started_s=0.0)
        sessions.on_connected(IncarnationId(1))
        sessions.on_acknowledged(IncarnationId(1), ConfigVersion(2))
        sessions.delegate(IncarnationId(1), ConfigVersion(2), 100.0, 1.0)
        sessions.on_connected(IncarnationId(2))
        self.assertEqual(sessions.in_force(ConfigVersion(3), 1.5), 3)

    def test_nothing_is_handed_on_below_the_version_in_force(self) -> None:
        sessions = EntrySessions(TIMES, started_s=0.0)
        sessions.on_connected(IncarnationId(1))
        self.assertEqual(sessions.delegate(IncarnationId(1), ConfigVersion(2), 100.0, 1.0), 0.0)

    def test_the_entry_counts_from_before_it_asked(self) -> None:
        lease = DelegatedLease()
        lease.renew(sent_s=10.0, left_s=6.0)
        lease.renew(sent_s=9.0, left_s=6.0)
        lease.renew(sent_s=20.0, left_s=0.0)
        self.assertTrue(lease.holds(15.9))
        self.assertFalse(lease.holds(16.0))

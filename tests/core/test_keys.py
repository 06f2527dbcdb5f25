"""Tests of the key ring."""

from __future__ import annotations

import unittest

from toucandoor.core.configuration.models import Configuration, KeyConfig, TeamConfig
from toucandoor.core.keys import KeyRing, secret_digest


class KeyRingTest(unittest.TestCase):
    def test_a_withdrawn_secret_does_not_come_back_under_another_id(self) -> None:
        key = KeyConfig(sha256=secret_digest("s"))
        other = KeyConfig(sha256=secret_digest("t"))
        team = TeamConfig(ceiling_running=1, keys={"new-id": key, "other": other})
        self.assertEqual(KeyRing(Configuration(teams={"a": team})).team_of("s"), "a")
        ring = KeyRing(Configuration(teams={"a": team}, withdrawn_keys={"old-id": key}))
        self.assertIsNone(ring.team_of("s"))
        self.assertEqual(ring.team_of("t"), "a")
        self.assertIsNone(ring.team_of("u"))

"""Tests of the clock."""

from __future__ import annotations

import unittest

from toucandoor.clock import ManualClock


class ManualClockTest(unittest.TestCase):
    def test_moves_only_forward(self) -> None:
        clock = ManualClock()
        start = clock.now()
        clock.advance(1.5)
        clock.advance_to(1.0)
        self.assertEqual(clock.monotonic_s(), 1.5)
        self.assertEqual((clock.now() - start).total_seconds(), 1.5)
        with self.assertRaises(ValueError):
            clock.advance(-1)

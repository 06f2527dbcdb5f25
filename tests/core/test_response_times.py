"""Time-out that follows the response times."""

from __future__ import annotations

import unittest

from toucandoor.core.response_times import ResponseTimes


class ResponseTimesTest(unittest.TestCase):
    """The time-out is short where answers are quick, and grows where they are slow."""

    def setUp(self) -> None:
        self.times = ResponseTimes(0.1, 0.6)

    def test_the_longest_time_out_before_the_first_response(self) -> None:
        self.assertEqual(self.times.timeout_s, 0.6)

    def test_quick_responses_give_the_shortest_time_out(self) -> None:
        for _ in range(50):
            self.times.record(0.004)
        self.assertEqual(self.times.timeout_s, 0.1)

    def test_slow_responses_raise_it_within_a_few(self) -> None:
        for _ in range(50):
            self.times.record(0.004)
        for _ in range(5):
            self.times.record(0.09)
        self.assertGreater(self.times.timeout_s, 0.15)

    def test_it_has_an_upper_limit(self) -> None:
        for _ in range(50):
            self.times.record(3.0)
        self.assertEqual(self.times.timeout_s, 0.6)

    def test_unanswered_calls_double_it_until_the_next_response(self) -> None:
        """A store that becomes sixty times slower would otherwise never be waited for again."""
        for _ in range(50):
            self.times.record(0.004)
        self.times.record_unanswered()
        self.assertAlmostEqual(self.times.timeout_s, 0.2)
        self.times.record_unanswered()
        self.assertAlmostEqual(self.times.timeout_s, 0.4)
        self.times.record(0.004)
        self.assertAlmostEqual(self.times.timeout_s, 0.1)


if __name__ == "__main__":
    unittest.main()

"""Compact form of the numbers of done tasks and occurrences."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.ranges import RANGE_NUMBERS_MIN, from_ranges, to_ranges
from toucandoor.core.jobs.records import DoneRecord, ProgressRecord, decode_progress, encode
from toucandoor.ids import QueueId, TeamId


class RangesTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 300), st.integers(1, 200)), max_size=8))
    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    def test_numbers_are_the_same_after_a_record(self, parts: list[tuple[int, int]]) -> None:
        numbers: list[int] = []
        at = 0
        for gap, count in parts:
            numbers += range(at + gap, at + gap + count)
            at += gap + count
        record = ProgressRecord(
            JobState.RUNNING,
            QueueId("q"),
            TeamId("t"),
            done=(DoneRecord(0, 0, to_ranges(numbers)), DoneRecord((1, 99), 0, ())),
        )
        decoded = decode_progress(encode(record))
        self.assertEqual(decoded, record)
        self.assertEqual(list(from_ranges(decoded.done[0].indexes)), numbers)

    def test_many_consecutive_numbers_are_one_pair(self) -> None:
        self.assertEqual(to_ranges([3, *range(10, 20_000)]), (3, (10, 19_999)))

    # Guards against records of usual jobs that an earlier build beside this one can't read.
    def test_few_consecutive_numbers_are_stored_as_before(self) -> None:
        numbers = tuple(range(RANGE_NUMBERS_MIN - 1))
        self.assertEqual(to_ranges(numbers), numbers)
        former = msgspec.json.decode(
            msgspec.json.encode(DoneRecord(0, 1, to_ranges(numbers))),
            type=tuple[int, int, tuple[int, ...]],
        )
        self.assertEqual(former, (0, 1, numbers))


if __name__ == "__main__":
    unittest.main()

"""Snapshots of learned run times: what the next owner starts from."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime

import msgspec

from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import Resources, Step
from toucandoor.core.run_times.learned import KEYS_MAX, LearnedRunTimes
from toucandoor.core.run_times.snapshots import (
    RECORD_BYTES_MAX,
    SNAPSHOT_INTERVAL_S,
    RunTimeSnapshots,
    encode_run_times,
    restore_run_times,
)
from toucandoor.ids import QueueId

QUEUE = QueueId("q")


def step(image: str) -> Step:
    return Step(1, Resources(1000), estimate_ms=1000, image=image)


class SnapshotTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(datetime(2026, 1, 5, tzinfo=UTC))
        self.model = LearnedRunTimes(self.clock)

    def learn(self, image: str, samples: int = 40) -> None:
        for number in range(samples):
            self.model.record(step(image), QUEUE, 0.3 + 0.01 * number)
        self.model.refresh([])

    def restored(self, value: bytes) -> LearnedRunTimes:
        model = LearnedRunTimes(self.clock)
        restore_run_times(model, value, self.clock.monotonic_s())
        return model

    def test_the_next_owner_expects_the_same(self) -> None:
        self.learn("i")
        self.clock.advance(20.0)
        self.model.record(step("i"), QUEUE, 0.5)
        self.model.refresh([])
        model = self.restored(encode_run_times(self.model, self.clock.monotonic_s()))
        for ratio in (0.5, 0.9):
            expected_s = self.model.quantile_s(step("i"), QUEUE, ratio)
            self.assertAlmostEqual(model.quantile_s(step("i"), QUEUE, ratio), expected_s, delta=0.1)
        expected_s = self.model.expected_s(step("i"), QUEUE)
        self.assertAlmostEqual(model.expected_s(step("i"), QUEUE), expected_s, places=3)

    def test_the_record_is_bounded_and_keeps_the_most_recently_used(self) -> None:
        for number in range(KEYS_MAX):
            self.learn(f"registry.example/images/{number}")
        value = encode_run_times(self.model, self.clock.monotonic_s())
        self.assertLessEqual(len(value), RECORD_BYTES_MAX)
        kept = list(self.restored(value).keys)
        self.assertGreater(len(kept), 100)
        self.assertEqual(kept, list(self.model.keys)[-len(kept) :])

    def test_unusable_records_are_refused_and_change_nothing(self) -> None:
        self.learn("i")
        good = msgspec.json.decode(encode_run_times(self.model, self.clock.monotonic_s()))
        (ratio,) = good["ratios"]
        values = {
            "no JSON": b"\x00",
            "another version": msgspec.json.encode(good | {"version": 2}),
            "another type": msgspec.json.encode(good | {"ratios": "x"}),
            "too large": msgspec.json.encode(good | {"x": "x" * RECORD_BYTES_MAX}),
        }
        for number, bad in ((2, 0), (3, -1.0), (4, 1e400), (5, []), (6, [0.1])):
            changed = [*ratio[:number], bad, *ratio[number + 1 :]]
            values[f"field {number}"] = msgspec.json.encode(good | {"ratios": [ratio, changed]})
        for name, value in values.items():
            with self.subTest(record=name):
                model = LearnedRunTimes(self.clock)
                with self.assertRaises(msgspec.MsgspecError):
                    restore_run_times(model, value, self.clock.monotonic_s())
                self.assertFalse(model.keys)

    def test_snapshots_are_written_at_intervals_when_something_has_changed(self) -> None:
        snapshots = RunTimeSnapshots(self.model, self.clock)
        self.clock.advance(SNAPSHOT_INTERVAL_S)
        self.assertIsNone(snapshots.due())
        self.learn("i")
        self.assertIsNotNone(snapshots.due())
        self.clock.advance(SNAPSHOT_INTERVAL_S)
        self.assertIsNone(snapshots.due(), "a write is in flight")
        snapshots.written(ok=False)
        self.assertIsNotNone(snapshots.due(), "the first write was lost")
        snapshots.written(ok=True)
        self.clock.advance(SNAPSHOT_INTERVAL_S)
        self.assertIsNone(snapshots.due())

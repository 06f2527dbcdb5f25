"""Logs that never block the process."""

from __future__ import annotations

import io
import json
import logging
import threading
import time
import unittest
from collections import Counter
from unittest import mock

from toucandoor.adapters.bounded_logs import (
    KEPT_LINES_PER_S,
    LINES_PER_S,
    QueuedLineHandler,
    RateLimitFilter,
)
from toucandoor.core.explain import is_followed


class BlockedStream(io.StringIO):
    """A stream whose writes block until `resume` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.resume = threading.Event()
        self.lines: list[str] = []

    def write(self, text: str) -> int:
        self.resume.wait(10)
        self.lines += text.splitlines()
        return len(text)


def record(message: str, **fields: object) -> logging.LogRecord:
    made = logging.LogRecord("x", logging.INFO, "", 0, message, None, None)
    vars(made).update(fields)
    return made


class BlockedReaderTest(unittest.TestCase):
    """While the reader of the log stalls, lines are dropped and nothing blocks."""

    def test_lines_are_dropped_and_counted(self) -> None:
        stream = BlockedStream()
        handler = QueuedLineHandler(stream, lines_max=10)
        handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
        started_s = time.monotonic()
        for number in range(1000):
            handler.emit(record(str(number)))
        self.assertLess(time.monotonic() - started_s, 1.0)
        stream.resume.set()
        handler.flush_and_stop(5)
        lines = [json.loads(line) for line in stream.lines]
        written = [line for line in lines if "left_out" not in line]
        left_out = sum(line.get("left_out", 0) for line in lines)
        self.assertLessEqual(len(written), 12)
        self.assertEqual(len(written) + left_out, 1000)


class RateLimitFilterTest(unittest.TestCase):
    """Each kind of line has its own limit."""

    def test_a_frequent_kind_does_not_suppress_a_rare_one(self) -> None:
        limit_filter = RateLimitFilter(lines_per_s=5)
        passed = sum(limit_filter.filter(record("frequent")) for _ in range(100))
        self.assertLessEqual(passed, 10)  # the limit of two seconds, if a second ends meanwhile
        self.assertTrue(limit_filter.filter(record("rare")))

    def test_a_burst_of_ten_times_the_limit_is_cut_to_it_and_counted(self) -> None:
        limit_filter = RateLimitFilter()
        passed = left_out = 0
        with mock.patch("toucandoor.adapters.bounded_logs.time.monotonic") as clock:
            for second in range(4):
                clock.return_value = float(second)
                for _ in range(10 * LINES_PER_S if second < 3 else 1):
                    line = record("runs: planned")
                    passed += limit_filter.filter(line)
                    left_out += getattr(line, "left_out", 0)
        self.assertEqual(passed, 3 * LINES_PER_S + 1)
        self.assertEqual(left_out, 3 * 9 * LINES_PER_S)

    # Guards against a log in which no job can be followed once lines are left out.
    def test_all_lines_of_a_followed_job_pass_and_the_total_stays_bounded(self) -> None:
        jobs = [f"{number:016x}" for number in range(2000)]
        passed: Counter[str] = Counter()
        limit_filter = RateLimitFilter()
        with mock.patch("toucandoor.adapters.bounded_logs.time.monotonic") as clock:
            for second in range(3):
                clock.return_value = float(second)
                for job in jobs:
                    for kind in ("runs: planned", "runs: ended"):
                        passed[job] += limit_filter.filter(record(kind, job=job))
        followed = [job for job in jobs if is_followed(job)]
        self.assertGreater(len(followed), 80)
        self.assertEqual({passed[job] for job in followed}, {6})
        self.assertLess(passed.total(), 6 * (LINES_PER_S + len(followed)))

    # Guards against a long-running task whose stop or start is among the lines left out.
    def test_lines_about_long_running_tasks_pass_up_to_the_second_limit(self) -> None:
        limit_filter = RateLimitFilter()
        with mock.patch("toucandoor.adapters.bounded_logs.time.monotonic", return_value=0.0):
            for _ in range(LINES_PER_S):
                limit_filter.filter(record("runs: ended"))
            lasting = [record("runs: ended", long_running=True) for _ in range(3000)]
            passed = [each for each in lasting if limit_filter.filter(each)]
        self.assertEqual(len(passed), KEPT_LINES_PER_S - LINES_PER_S)

    # Guards against answers 410 that are left out because many calls are refused for the load.
    def test_refusals_with_one_status_leave_out_none_with_another(self) -> None:
        limit_filter = RateLimitFilter()
        with mock.patch("toucandoor.adapters.bounded_logs.time.monotonic", return_value=0.0):
            for number in range(2 * LINES_PER_S):
                limit_filter.filter(record("callers: call refused", status=429, path=f"/{number}"))
            gone = record("callers: call refused", status=410, path="/n/1")
            self.assertTrue(limit_filter.filter(gone))


if __name__ == "__main__":
    unittest.main()

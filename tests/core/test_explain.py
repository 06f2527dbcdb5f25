"""Tests of finding the log lines about a subject."""

from __future__ import annotations

import json
import unittest

from toucandoor.core.explain import explain

JOB = "7ab4fbbd5169893e"


def line(time: str, message: str, **fields: object) -> str:
    return json.dumps({"time": time, "level": "INFO", "logger": "x", "message": message} | fields)


class ExplainTest(unittest.TestCase):
    def test_lines_of_the_job_in_order_of_time(self) -> None:
        lines = [
            "edge-2 " + line("10:00:02", "runs: ended", job=JOB, reason="done"),
            "not a line",
            line("10:00:03", "runs: ended", job="another", reason="done"),
            "  10.6 edge-1 "
            + line("10:00:01", "callers: submission of a job: stored", job=JOB, queue="q"),
            line("10:00:00", f"submissions: outcome of writing record work/job/{JOB} is unknown"),
            line("10:00:04", "callers: call refused", path=f"/a/{JOB}", status=410),
        ]
        found = list(explain(lines, "job", JOB))
        self.assertEqual(len(found), 4)
        self.assertIn("outcome of writing record", found[0])
        self.assertEqual(found[1], "10:00:01 edge-1 callers: submission of a job: stored  queue=q")
        self.assertIn("edge-2 runs: ended  reason=done", found[2])
        self.assertIn("status=410", found[3])

    # Guards against a gap of a task that on-call cannot find by its job.
    def test_lines_about_times_without_a_run_are_found(self) -> None:
        found = list(
            explain(
                [
                    line(
                        "1",
                        "runs: a long-running task has had no run for a while",
                        job=JOB,
                        task="0.0.17",
                        gap_s=2.1,
                        waited_for="room in its pool",
                    ),
                    line("2", "callers: a job is shown as failed", job=JOB),
                ],
                "job",
                JOB,
            )
        )
        self.assertEqual(len(found), 2)
        self.assertIn("task=0.0.17 gap_s=2.1 waited_for=room in its pool", found[0])

    def test_a_machine_is_found_by_its_own_field(self) -> None:
        lines = [
            line("1", "pools: move of VM m-1 has begun", vm="m-1", pool="p"),
            line("2", "x", vm="m-2"),
        ]
        self.assertEqual(len(list(explain(lines, "machine", "m-1"))), 1)


if __name__ == "__main__":
    unittest.main()

"""Valid and invalid bodies of submissions."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import QUEUE, TEAM, configuration
from toucandoor.core.jobs.models import JobState, Resources
from toucandoor.platform.caller_routes import (
    InvalidJobError,
    bearer_key,
    decode_job_body,
    encode_state,
    is_job_id,
)

JOB_QUEUE = configuration().queues[QUEUE]


class JobBodyTest(unittest.TestCase):
    """Decoding of submitted jobs, ids and keys, and encoding of states."""

    def test_job(self) -> None:
        body = (
            b'{"spec":"x","phases":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":900,'
            b'"affinity":"r1-3"},{"count":1,"after":[0],"long_running":true,"miss_allowed":1}],'
            b'"start_at_ms":1000,"interval_ms":50,"repeat_count":3,"tomorrow":1}'
        )
        spec = decode_job_body(body, "00aa", JOB_QUEUE, TEAM, 9)
        self.assertEqual(spec.steps[0].needs, Resources(500, 256, 0))
        self.assertEqual((spec.steps[0].data_rack, spec.steps[1].after), ("r1-3", (0,)))
        self.assertEqual((spec.occurrences, spec.first_due_unix_ms), (3, 1000))
        self.assertEqual(spec.steps[1].unavailable_max, 1)
        self.assertIsNone(spec.steps[0].unavailable_max)

    def test_invalid_bodies(self) -> None:
        for body in (
            b"",
            b"\xff",
            b"[]",
            b'{"spec":"x"}',
            b'{"spec":"x","phases":[]}',
            b'{"spec":5,"phases":[{"count":1}]}',
            b'{"spec":"x","phases":[{"count":0}]}',
            b'{"spec":"x","phases":[{"count":-1}]}',
            b'{"spec":"x","phases":[{"count":1,"cpu":-5}]}',
            b'{"spec":"x","phases":[{"count":1,"after":[0]}]}',
            b'{"spec":"x","phases":[{"count":99999999}]}',
            b'{"spec":"x","phases":[{"count":5001,"gang":true}]}',
            b'{"spec":"x","phases":[{"count":1,"cpu":99999999999999999999}]}',
            b'{"spec":"x","phases":[{"count":1}],"repeat_count":1,"start_at_ms":-1}',
            b'{"spec":"x","phases":[{"count":1}],"interval_ms":99999999999999999999}',
            b'{"spec":"x","phases":[{"count":1}],"repeat_count":-1}',
            b'{"spec":"' + b"x" * 4001 + b'","phases":[{"count":1}]}',
        ):
            with self.subTest(body=body[:40]), self.assertRaises(InvalidJobError):
                decode_job_body(body, "00aa", JOB_QUEUE, TEAM, 9)

    def test_ids_keys_and_states(self) -> None:
        self.assertTrue(is_job_id("5c0e7a21d94b36f8"))
        for text in ("", "5c0e7a21d94b36f", "5c0e7a21d94b36f8/", "zz0e7a21d94b36f8"):
            self.assertFalse(is_job_id(text))
        self.assertEqual(bearer_key("Bearer abc"), "abc")
        self.assertEqual(bearer_key("Basic abc"), "")
        self.assertEqual(encode_state(JobState.RUNNING), b'{"state":"in_progress"}')


if __name__ == "__main__":
    unittest.main()

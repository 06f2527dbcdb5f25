"""Decoding of the records that operators write to the store."""

from __future__ import annotations

import unittest

from toucandoor.core.fair_order.rates import valid_rates
from toucandoor.core.jobs.models import Resources
from toucandoor.ids import PoolId, QueueId, TeamId
from toucandoor.platform.operator_records import (
    decode_configuration,
    decode_evacuation,
    decode_evacuation_end,
    decode_wave,
    encode_wave_status,
    wave_is_completed,
)

CONFIGURATION = b"""{"version":7,"routes":[
{"name":"r1","host":"h.example","prefix":"/a/","kind":"non_idempotent","timeout_ms":3000,
 "target_duration_ms":600,"priority":1,"service":"s1","max_attempts":2,"slack_factor":1.6,
 "public":false},
{"name":"r2","host":"h.example","prefix":"/a/b/","service":"s2","public":true,
 "recommendation":{"decision_ms":20,"period_ms":5,"validity_ms":3000}}],
"services":[{"name":"s1","admission_check":true,"standby":false},{"name":"s2","standby":true}],
"limits":{"max_body_bytes":1000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"weight":25,
 "upper_bound":{"cpu":1000,"mem_mb":2000,"gpu":0}}]}"""


class ConfigurationTest(unittest.TestCase):
    """The operators' configuration."""

    def test_queues_pools_and_teams(self) -> None:
        found = decode_configuration(CONFIGURATION)
        assert found is not None
        queue = found.queues[QueueId("r1")]
        self.assertEqual((queue.attempts_max, queue.target_duration_s), (2, 0.6))
        advice = found.queues[QueueId("r2")].adviser
        assert advice is not None
        self.assertEqual(advice.per_worker_s, 0.005)
        self.assertTrue(found.pools[PoolId("s2")].spare)
        self.assertEqual(found.team_of("k2"), TeamId("t"))
        self.assertEqual(found.teams[TeamId("t")].ceiling, Resources(1000, 2000, 0))

    def test_an_invalid_weight_loses_nothing_else(self) -> None:
        """Guards against one team's bad weight that makes the whole configuration invalid."""
        huge = b"1" + b"0" * 400
        for value, valid in ((b"25", True), (b'"x"', False), (b"null", False), (huge, False)):
            found = decode_configuration(
                CONFIGURATION.replace(b'"weight":25', b'"weight":' + value)
            )
            assert found is not None, value
            self.assertEqual(valid_rates(found), {TeamId("t"): 25.0} if valid else {})

    def test_longest_prefix_wins(self) -> None:
        found = decode_configuration(CONFIGURATION)
        assert found is not None
        for path, name in (("/a/x", "r1"), ("/a/b/x", "r2")):
            queue = found.queue_for("h.example", path)
            assert queue is not None
            self.assertEqual(queue.name, name)
        self.assertIsNone(found.queue_for("other.example", "/a/x"))

    def test_an_invalid_configuration_is_none(self) -> None:
        self.assertIsNone(decode_configuration(b'{"version":"x"}'))


class EvacuationTest(unittest.TestCase):
    """Requests to evacuate a data centre."""

    def test_values(self) -> None:
        for key, value, invalid in (
            ("op/evacuate/z1", b"{}", False),
            ("op/evacuate/z1", b'{"reason":"x"}', False),
            ("op/evacuate/z1", b"", True),
            ("op/evacuate/z1", b"[]", True),
            ("op/evacuate/z1", b"\xff", True),
            ("op/evacuate/", b"{}", True),
        ):
            with self.subTest(key=key, value=value):
                found = decode_evacuation(key, value, 3)
                self.assertEqual((found.invalid, found.revision), (invalid, 3))

    def test_end(self) -> None:
        found = decode_evacuation_end("op/evacuate/z1", 4)
        self.assertEqual((found.data_centre, found.ended), ("z1", True))


class WaveTest(unittest.TestCase):
    """Records of maintenance waves and of their status."""

    def test_wave(self) -> None:
        value = b'{"rollout_wave":1,"machines":["m1","m2"],"deadline_s":20,"upper_bound":1}'
        wave = decode_wave(value, 5.0)
        assert wave is not None
        self.assertEqual((wave.vms, wave.within_s, wave.down_max), (("m1", "m2"), 20, 1))
        self.assertIsNone(decode_wave(b"{}", 5.0))

    def test_status(self) -> None:
        self.assertTrue(wave_is_completed(encode_wave_status(completed=True)))
        self.assertFalse(wave_is_completed(encode_wave_status(completed=False)))
        self.assertFalse(wave_is_completed(b"?"))


if __name__ == "__main__":
    unittest.main()

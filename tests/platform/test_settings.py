"""Settings file of the platform: a valid one is read, and an error names every invalid value."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from toucandoor.core.mechanisms import Mechanism
from toucandoor.exceptions import SettingsError
from toucandoor.platform.settings import SWITCHED_OFF_VARIABLE, load_node_settings

GOOD = """
node_name = "edge-1"
zone = "z1"
ip = "10.1.0.23"
port_range = [7000, 7015]
seed_nodes = ["10.1.0.23:8345"]
heartbeat_ms = 1500
recommendation = "10.200.1.9:8344"
unknown_field = 3
[bind_addresses]
frontend = "10.1.0.23:8340"
ready = "10.1.0.23:8343"
[limits]
cpu_quota = 0.5
cpu_cores = 3
memory_mb = 300
bandwidth_mbps = 200.0
[bounds]
grace_s = 6
hold_max_ms = 6000
early_ms = 250
[platform]
address = "10.200.1.7:8344"
[cloud_api]
address = "10.200.0.82:8344"
duty_per_s = 64.0
"""


class SettingsTest(unittest.TestCase):
    """Valid and invalid files."""

    def load(self, text: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return load_node_settings(path)

    def test_valid_file(self) -> None:
        settings = self.load(GOOD)
        self.assertEqual(settings.lease_s_max, 6.0)  # type: ignore[attr-defined]
        self.assertEqual(settings.peer_port_last, 7015)  # type: ignore[attr-defined]
        self.assertEqual(settings.processor_cores, 1.5)  # type: ignore[attr-defined]
        self.assertEqual(settings.link_mbps, 200.0)  # type: ignore[attr-defined]
        self.assertEqual(settings.store_value_bytes_max, 1048576)  # type: ignore[attr-defined]

    def test_evacuations_are_supported_where_they_have_a_bound(self) -> None:
        self.assertIsNone(self.load(GOOD).evacuate_s)  # type: ignore[attr-defined]
        supported = GOOD.replace("[bounds]", "[bounds]\nevacuate_ms = 5000")
        self.assertEqual(self.load(supported).evacuate_s, 5.0)  # type: ignore[attr-defined]
        with self.assertRaises(SettingsError):
            self.load(GOOD.replace("[bounds]", "[bounds]\nevacuate_ms = 0"))

    def test_every_invalid_value_is_named(self) -> None:
        bad = GOOD.replace('ip = "10.1.0.23"\n', "").replace('"10.1.0.23:8343"', '"nowhere"')
        with self.assertRaises(SettingsError) as raised:
            self.load(bad)
        self.assertIn("ip:", str(raised.exception))
        self.assertIn("bind_addresses.ready:", str(raised.exception))

    def test_mechanisms_are_switched_off_by_their_names(self) -> None:
        self.assertEqual(self.load(GOOD).switched_off, frozenset())  # type: ignore[attr-defined]
        with mock.patch.dict(os.environ, {SWITCHED_OFF_VARIABLE: "copies, lending"}):
            off = self.load(GOOD).switched_off  # type: ignore[attr-defined]
        self.assertEqual(off, {Mechanism.COPIES, Mechanism.LENDING})
        unknown = mock.patch.dict(os.environ, {SWITCHED_OFF_VARIABLE: "telepathy"})
        with unknown, self.assertRaisesRegex(SettingsError, "unknown mechanism telepathy"):
            self.load(GOOD)

    def test_unreadable_file(self) -> None:
        with self.assertRaises(SettingsError):
            self.load("= broken")


if __name__ == "__main__":
    unittest.main()

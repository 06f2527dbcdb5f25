"""Tests of merging and checking an operator's folder."""

from __future__ import annotations

import tempfile
import tomllib
import unittest
from pathlib import Path

from toucandoor.adapters.folder import read_folder
from toucandoor.core.configuration.merge import SourceFile, check_sources

_ROOT = Path(__file__).resolve().parents[3]
_BASE = """
[data_centres.d]
region = "r"
[pools.p]
unavailable_max = 1
[queues.q]
pool = "p"
[teams.t]
ceiling_running = 3
share_weight = 2.0
"""


def _source(name: str, text: str) -> SourceFile:
    return SourceFile(name, tomllib.loads(text))


class MergeTest(unittest.TestCase):
    def test_a_later_file_overrides_one_field(self) -> None:
        late = _source("90-late.toml", "[teams.t]\nceiling_running = 9")
        checked = check_sources([late, _source("10-base.toml", _BASE)])
        assert checked.configuration is not None
        team = checked.configuration.teams["t"]
        self.assertEqual((team.ceiling_running, team.share_weight), (9, 2.0))

    def test_every_fault_is_named_at_once_with_its_file(self) -> None:
        wrong = """
        [pools.p]
        unavailable_max = 0
        colour = "red"
        [queues.q]
        waiting_max = "many"
        [teams.u]
        [teams.u.keys.k]
        sha256 = "a secret pasted by mistake"
        """
        checked = check_sources([_source("10-base.toml", _BASE), _source("20-wrong.toml", wrong)])
        self.assertIsNone(checked.configuration)
        named = {(f.file, f.key) for f in checked.faults}
        expected = {"pools.p.unavailable_max", "pools.p.colour", "queues.q.waiting_max"}
        expected |= {"teams.u.ceiling_running", "teams.u.keys.k.sha256"}
        self.assertEqual(named, {("20-wrong.toml", key) for key in expected})
        self.assertNotIn("pasted", "\n".join(map(str, checked.faults)))

    def test_references_must_exist_and_addresses_differ(self) -> None:
        vm = '[vms.{}]\npool="x"\ndata_centre="y"\nrack="z"\naddress="127.0.0.1:1"\n'
        texts = [vm.format("one"), vm.format("two"), '[queues.lost]\npool="x"']
        sources = [_source(f"2{n}.toml", text) for n, text in enumerate(texts)]
        faults = check_sources([_source("10-base.toml", _BASE), *sources]).faults
        self.assertEqual(
            sorted(f.key for f in faults),
            [
                "queues.lost.pool",
                "vms.one.data_centre",
                "vms.one.pool",
                "vms.two.address",
                "vms.two.data_centre",
                "vms.two.pool",
            ],
        )

    def test_one_secret_cannot_belong_to_two_teams(self) -> None:
        key = f'ceiling_running=1\nkeys.{{}}.sha256="{"a" * 64}"'
        text = f"[teams.a]\n{key.format('k1')}\n[teams.b]\n{key.format('k2')}"
        faults = check_sources([_source("10.toml", text)]).faults
        self.assertEqual([f.key for f in faults], ["teams.b.keys.k2"])

    def test_a_key_id_belongs_to_one_team(self) -> None:
        text = "".join(
            f'[teams.{team}]\nceiling_running=1\nkeys.k.sha256="{team * 64}"\n' for team in "ab"
        )
        faults = check_sources([_source("10.toml", text)]).faults
        self.assertEqual([f.key for f in faults], ["teams.b.keys.k"])

    def test_files_that_cannot_be_read_are_faults_beside_the_others(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "10-torn.toml").write_text("[pools.p\n")
            (folder / "20-binary.toml").write_bytes(b"\xff\xfe")
            (folder / "30-wrong.toml").write_text("[queues.q]\npool = 'none'\n")
            faults = read_folder(folder).faults
        self.assertEqual(
            [f.file for f in faults], ["10-torn.toml", "20-binary.toml", "30-wrong.toml"]
        )
        self.assertEqual(read_folder(Path(name)).faults[0].reason, "no such folder")

    def test_the_examples_have_the_sizes_of_the_two_fleets(self) -> None:
        for name, data_centres, vms in (("whistleline", 3, 30), ("oberland", 4, 40)):
            configuration = read_folder(_ROOT / "examples" / name).configuration
            assert configuration is not None
            self.assertEqual(len(configuration.data_centres), data_centres)
            self.assertEqual((len(configuration.vms), len(configuration.teams)), (vms, 6))

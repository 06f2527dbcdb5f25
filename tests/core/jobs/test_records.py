"""Records of jobs in the store, between versions."""

from __future__ import annotations

import unittest

import msgspec

from toucandoor.core.jobs.records import RunRecord
from toucandoor.ids import VmId, WorkerId


class FormerRunRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run as versions before `RunRecord.vm_id` read and write it."""

    attempt: int
    worker_id: WorkerId
    worker_booted_unix_ms: int


class RunRecordTest(unittest.TestCase):
    """Owners of two versions take turns during an upgrade or a rollback."""

    def test_a_run_of_the_former_version_counts_as_not_settled(self) -> None:
        value = msgspec.json.encode(FormerRunRecord(2, WorkerId("w"), 1000))
        self.assertEqual(
            msgspec.json.decode(value, type=RunRecord), RunRecord(2, WorkerId("w"), 1000)
        )

    def test_the_former_version_reads_the_run(self) -> None:
        value = msgspec.json.encode(RunRecord(2, WorkerId("w"), 1000, VmId("m"), settled=True))
        self.assertEqual(
            msgspec.json.decode(value, type=FormerRunRecord),
            FormerRunRecord(2, WorkerId("w"), 1000),
        )


if __name__ == "__main__":
    unittest.main()

"""Records of jobs in the store, between versions."""

from __future__ import annotations

import unittest

import msgspec

from tests.core.scheduling.common import job
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import (
    PendingRecord,
    ProgressRecord,
    RunRecord,
    decode_job,
    decode_pending,
    decode_progress,
    encode,
)
from toucandoor.ids import QueueAddress, QueueId, TeamId, VmId, WorkerId


class FormerRunRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run as versions before `RunRecord.vm_id` read and write it."""

    attempt: int
    worker_id: WorkerId
    worker_booted_unix_ms: int


class FormerProgressRecord(msgspec.Struct, frozen=True):
    """Progress as versions before `ProgressRecord.address` read it."""

    state: str
    queue: str
    team: str


class FormerPendingRecord(msgspec.Struct, frozen=True):
    """Waiting jobs as versions before `PendingRecord.by_address` write and read them."""

    by_queue: dict[str, int]


class AddressTest(unittest.TestCase):
    """Nodes of two versions serve callers side by side during an upgrade."""

    def test_the_former_version_reads_names(self) -> None:
        progress = ProgressRecord(
            JobState.RUNNING, QueueId("q"), TeamId("t"), address=QueueAddress("h/q/")
        )
        self.assertEqual(
            msgspec.json.decode(encode(progress), type=FormerProgressRecord),
            FormerProgressRecord("running", "q", "t"),
        )
        pending = PendingRecord({QueueId("q"): 2}, {QueueAddress("h/q/"): 2})
        self.assertEqual(
            msgspec.json.decode(encode(pending), type=FormerPendingRecord).by_queue, {"q": 2}
        )

    def test_records_of_the_former_version_have_no_address(self) -> None:
        value = msgspec.json.encode(FormerProgressRecord("running", "q", "t"))
        self.assertEqual(decode_progress(value).address, "")
        value = msgspec.json.encode(FormerPendingRecord({"q": 2}))
        self.assertEqual(decode_pending(value), PendingRecord({QueueId("q"): 2}))
        spec = msgspec.json.decode(encode(job(1)))
        self.assertEqual({"address", "key_digest"} & spec.keys(), set())
        self.assertEqual(decode_job(msgspec.json.encode(spec)), job(1))


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

"""Data centres that a node reads before it refuses submissions because all are evacuated."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec

from tests.core.scheduling.common import job
from toucandoor.adapters.data_centres import READ_INTERVAL_S, DataCentreDirectory
from toucandoor.adapters.peers import NODE_PREFIX, NodeRecord, Peer
from toucandoor.clock import ManualClock
from toucandoor.core.evacuation.requests import EvacuationEvent, EvacuationRequests
from toucandoor.core.evacuation.submissions import RefuseWhileAllEvacuated
from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.records import Record, Snapshot
from toucandoor.core.scheduling.workers import VmEntry, VmRefusal, VmRefusedError, VmState
from toucandoor.exceptions import StoreUnavailableError, ToucandoorError
from toucandoor.ids import DataCentreId, EntryId, PoolId, VmId
from toucandoor.platform.operator_records import WORKER_PREFIX

OWN, OTHER = DataCentreId("a"), DataCentreId("b")
NODE = (f"{NODE_PREFIX}other", msgspec.json.encode(NodeRecord("10.0.0.2:1", OTHER)))
ENTRY = {"service": "p", "address": "10.0.0.3:1", "zone": OTHER, "state": "ready"}
SERVER = (
    f"{WORKER_PREFIX}w",
    msgspec.json.encode(ENTRY | {"capacity": {}, "labels": [], "sequence": 1}),
)
VM = VmEntry(VmId("v"), PoolId("p"), VmState.DOWN, OTHER, (), NO_RESOURCES, None)


class DataCentresTest(unittest.TestCase):
    """A node whose own data centre is evacuated, with no other node's record read so far."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.records: dict[str, bytes] = {}
        self.error: ToucandoorError | None = None
        self.store = mock.Mock()
        self.store.read_prefix.side_effect = self.read_prefix
        self.vms = mock.Mock()
        self.vms.list.return_value = ()
        self.requests = EvacuationRequests(60.0, 1.5)
        node = Peer(EntryId("own"), "10.0.0.1:1", OWN)
        directory = DataCentreDirectory(self.store, self.vms, node, self.clock)
        self.policy = RefuseWhileAllEvacuated(self.requests, directory.data_centres, self.clock)
        self.evacuate(OWN)

    def read_prefix(self, prefix: str) -> Snapshot:
        if self.error is not None:
            raise self.error
        found = [Record(key, value, 1, 1) for key, value in self.records.items()]
        return Snapshot(tuple(each for each in found if each.key.startswith(prefix)), 1)

    def evacuate(self, *data_centres: DataCentreId) -> None:
        found = [EvacuationEvent(each, 1) for each in data_centres]
        self.requests.on_read(found, 1, self.clock.monotonic_s(), self.clock.monotonic_s())

    def refuses(self) -> bool:
        return self.policy.rejection(job(1)) is not None

    def test_another_data_centre_is_seen_by_its_node_server_or_vm(self) -> None:
        # In its first seconds, a node knew its own data centre alone and refused untruly.
        for records, vms in (([NODE], ()), ([SERVER], ()), ([], (VM,))):
            with self.subTest(records=records, vms=vms):
                self.setUp()
                self.records = dict(records)
                self.vms.list.return_value = vms
                self.assertFalse(self.refuses())
                self.evacuate(OWN, OTHER)
                self.assertTrue(self.refuses())
                # Without records, such as of a data centre that is cut off, it still exists.
                self.evacuate(OWN)
                self.records, self.vms.list.return_value = {}, ()
                self.clock.advance(READ_INTERVAL_S)
                self.assertFalse(self.refuses())

    def test_nothing_is_refused_without_a_full_read_and_reads_are_limited(self) -> None:
        # The data centre of a VM is unknown if its list cannot be read.
        self.error = StoreUnavailableError("unavailable", step="store")
        self.assertFalse(self.refuses())
        self.error = None
        self.vms.list.side_effect = VmRefusedError(VmRefusal.UNAVAILABLE, step="list", peer="")
        self.clock.advance(READ_INTERVAL_S)
        self.assertFalse(self.refuses())
        self.vms.list.side_effect = None
        self.clock.advance(READ_INTERVAL_S)
        # Each refusal would read all servers' entries if the reads were not limited.
        self.assertTrue(all(self.refuses() for _ in range(50)))
        self.assertEqual(self.vms.list.call_count, 2)


if __name__ == "__main__":
    unittest.main()

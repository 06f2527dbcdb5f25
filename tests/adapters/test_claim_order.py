"""Which node claims a vacant ownership, and which owner leaves it to another node."""

from __future__ import annotations

import threading
import time
import unittest
from unittest import mock

import msgspec

from tests.adapters.test_owner_task import MemoryStore, dependencies, wait_for
from toucandoor.adapters.owner_task import OwnerTask
from toucandoor.clock import SystemClock
from toucandoor.core.evacuation.requests import EvacuationEvent, EvacuationRequests
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import Transaction
from toucandoor.fakes.virtual_platform import VirtualRecords
from toucandoor.ids import DataCentreId

OLDEST, YOUNGEST = 1, 1000
"""Revisions at which a process has registered before, or after, all others."""


class ClaimOrderTest(unittest.TestCase):
    """Which of the VMs that could claim the ownership claims it first."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        self.store = MemoryStore(self.records, threading.Condition(threading.RLock()))

    def node(
        self, name: str, processor_cores: float, link_mbps: float, data_centre: str = "d"
    ) -> OwnerTask:
        """Return the owner task of a node that has announced itself to the others."""
        record = {
            "address": f"{name}:1",
            "data_centre": data_centre,
            "processor_cores": processor_cores,
            "link_mbps": link_mbps,
        }
        self.records.write(Transaction(writes={f"nodes/{name}": msgspec.json.encode(record)}))
        return OwnerTask(
            dependencies(
                name,
                self.store,
                mock.Mock(),
                SystemClock(),
                processor_cores=processor_cores,
                link_mbps=link_mbps,
            )
        )

    # On whistleline-grown a VM with a twentieth of the link and a quarter of the processor became
    # the owner, as its process was younger, and started a quarter of the runs per second.
    def test_a_weak_vm_leaves_the_claim_to_a_stronger_one(self) -> None:
        strong = self.node("strong", 2.15, 200.0)
        weak = self.node("weak", 0.52, 10.0)
        claim_s = 0.1
        delays_s = [
            node._claim_delay_s(node._read_peers(), own_revision)
            for node, own_revision in ((weak, YOUNGEST), (strong, OLDEST))
        ]
        self.assertGreater(delays_s[0], delays_s[1] + claim_s)
        self.assertTrue(weak._weaker_than_a_peer(weak._read_peers()))
        self.assertFalse(strong._weaker_than_a_peer(strong._read_peers()))

    # The claims of 39 weak VMs, three calls each, came while the new owner read its records.
    def test_a_weak_vm_makes_no_claim_once_a_stronger_one_has_claimed(self) -> None:
        weak = self.node("weak", 0.52, 10.0)
        self.node("strong", 2.15, 200.0)
        self.assertTrue(weak._wait_for_vacancy())
        self.records.write(Transaction({OWNER_KEY: 0}, {OWNER_KEY: b"{}"}))
        self.assertFalse(weak._wait_for_turn())

    def test_a_weak_vm_claims_if_the_stronger_one_does_not(self) -> None:
        weak = self.node("weak", 0.52, 10.0)
        self.node("strong", 2.15, 200.0)
        self.assertTrue(weak._wait_for_vacancy())
        self.assertTrue(weak._wait_for_turn())

    # A weak VM that claimed while the strong ones were down would otherwise stay the owner.
    def test_a_weak_owner_hands_over_to_a_stronger_vm_that_comes_back(self) -> None:
        weak = self.node("weak", 0.52, 10.0)
        self.addCleanup(weak.stop, 2.0)
        reads_at_short_intervals = mock.patch(
            "toucandoor.adapters.owner_task.CANDIDATES_READ_INTERVAL_S", 0.05
        )
        with reads_at_short_intervals:
            weak.start()
            wait_for(self, lambda: weak.is_owner)
            strong = self.node("strong", 2.15, 200.0)
            self.addCleanup(strong.stop, 2.0)
            strong.start()
            wait_for(self, lambda: strong.is_owner)
        self.assertFalse(weak.is_owner)

    def test_an_owner_leaves_an_evacuated_data_centre(self) -> None:
        # The ownership would otherwise stay where the VMs are about to be switched off.
        requests = EvacuationRequests(5.0, 1.5)
        here = self.node("here", 1.0, 100.0)
        there = self.node("there", 1.0, 100.0, "elsewhere")
        for node, centre in ((here, "d"), (there, "elsewhere")):
            self.addCleanup(node.stop, 2.0)
            node._dependencies.configuration.evacuations = requests
            node._dependencies.settings.data_centre = centre  # type: ignore[misc]
        self.assertFalse(here._weaker_than_a_peer(here._read_peers()))
        revision = self.records.write(Transaction(writes={"op/evacuate/d": b"{}"}))
        found = [EvacuationEvent(DataCentreId("d"), revision)]
        requests.on_read(found, revision, time.monotonic(), 0.0)
        self.assertTrue(here._weaker_than_a_peer(here._read_peers()))
        self.assertFalse(there._weaker_than_a_peer(there._read_peers()))
        with mock.patch("toucandoor.adapters.owner_task.CANDIDATES_READ_INTERVAL_S", 0.05):
            here.start()
            wait_for(self, lambda: here.is_owner)
            there.start()
            wait_for(self, lambda: there.is_owner)
        self.assertFalse(here.is_owner)


if __name__ == "__main__":
    unittest.main()

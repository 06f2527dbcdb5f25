"""Moves of VMs between pools: which boots end with them."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from tests.core.scheduling.common import CAPACITY, POOL, fleet
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import VmOrderLog
from toucandoor.core.pools.lending import PoolMove
from toucandoor.core.pools.vm_lender import VmLender
from toucandoor.ids import PoolId, VmId, WorkerId

OTHER = PoolId("other")
VM = VmId("vm-w0")


class MoveBegunTest(unittest.TestCase):
    """A move that has begun has ended all that ran on its VM."""

    def setUp(self) -> None:
        self.fleet = fleet(workers=0)
        booted = self.fleet.boot("w0", POOL, CAPACITY)
        owner = self.fleet.owner
        assert owner is not None
        self.scheduler = owner.scheduler
        self.scheduler.worker_listed(replace(booted.entry, vm_id=VM))
        self.fleet.run(0.2)
        now_s = self.fleet.clock.monotonic_s
        self.lender = VmLender(
            self.scheduler,
            VmList(now_s),
            now_s,
            order_log=VmOrderLog(self.fleet.clock, 3.5),
            move_s=1.5,
        )

    def begin_move(self, move: PoolMove) -> None:
        worker_id = WorkerId("w0")
        with mock.patch.object(self.lender, "_in_flight", {VM: worker_id}):
            self.lender.on_move_begun(move)

    def test_the_boot_on_the_vm_gets_no_more_orders(self) -> None:
        """Its entry stays in the platform's list for seconds, and each heartbeat would fail."""
        self.begin_move(PoolMove(VM, OTHER))
        with mock.patch.object(self.fleet.calls, "send") as send:
            self.fleet.run(5.0)
        send.assert_not_called()

    def test_a_boot_that_is_in_the_target_pool_already_goes_on(self) -> None:
        """The answer is the same if an earlier order, whose answer was lost, has made the move."""
        self.begin_move(PoolMove(VM, POOL))
        self.fleet.run(0.5)
        self.assertTrue(
            self.scheduler.workers[WorkerId("w0")].usable(self.fleet.clock.monotonic_s())
        )

    def test_a_refused_move_leaves_the_boot_usable_after_a_heartbeat(self) -> None:
        with mock.patch.object(self.lender, "_in_flight", {VM: WorkerId("w0")}):
            self.lender.on_move_refused(PoolMove(VM, OTHER), None)
        self.fleet.run(0.5)
        self.assertTrue(
            self.scheduler.workers[WorkerId("w0")].usable(self.fleet.clock.monotonic_s())
        )


if __name__ == "__main__":
    unittest.main()

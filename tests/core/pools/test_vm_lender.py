"""Moves of VMs between pools: which boots end with them."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, fleet, job
from toucandoor.core.evacuation.requests import EvacuationRequests
from toucandoor.core.jobs.configuration import JobPool
from toucandoor.core.jobs.models import Step
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import VmOrderLog
from toucandoor.core.pools.lending import PoolMove
from toucandoor.core.pools.vm_lender import VmLender
from toucandoor.core.scheduling.cordons import MOVE_CORDON
from toucandoor.core.scheduling.workers import VmEntry, VmState
from toucandoor.ids import DataCentreId, PoolId, VmId, WorkerId

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

    # Guards against starts on a server that the move has ended, as the owner met it only while the
    # order was under way.
    def test_a_server_met_while_the_order_was_under_way_gets_no_tasks(self) -> None:
        self.fleet.run(0.5)
        worker = self.scheduler.workers[WorkerId("w0")]
        self.assertTrue(worker.usable(self.fleet.clock.monotonic_s()))
        with mock.patch.object(self.lender, "_in_flight", {VM: None}):
            self.lender.on_move_begun(PoolMove(VM, OTHER))
        self.assertFalse(worker.usable(self.fleet.clock.monotonic_s()))

    def test_a_boot_that_is_in_the_target_pool_already_goes_on(self) -> None:
        """The answer is the same if an earlier order, whose answer was lost, has made the move."""
        self.begin_move(PoolMove(VM, POOL))
        self.fleet.run(0.5)
        self.assertTrue(
            self.scheduler.workers[WorkerId("w0")].usable(self.fleet.clock.monotonic_s())
        )

    def test_a_refused_move_leaves_the_boot_usable_after_a_heartbeat(self) -> None:
        # `due_moves` takes the boot out of use when it orders the move.
        self.scheduler.workers[WorkerId("w0")].cordons.add(MOVE_CORDON)
        with mock.patch.object(self.lender, "_in_flight", {VM: WorkerId("w0")}):
            self.lender.on_move_refused(PoolMove(VM, OTHER), None)
        self.fleet.run(0.5)
        self.assertTrue(
            self.scheduler.workers[WorkerId("w0")].usable(self.fleet.clock.monotonic_s())
        )


class EvacuationTest(unittest.TestCase):
    """Lending while a data centre is evacuated."""

    def test_vms_there_are_neither_lent_nor_counted(self) -> None:
        # A VM that is lent from there would cost a move and then get no task.
        requests = EvacuationRequests(5.0, 1.5)
        virtual = fleet(workers=0)
        with mock.patch.object(virtual, "_make_requests", lambda: requests):
            owner = virtual.take_over()
        spare = PoolId("spare")
        pools = virtual.configuration.pools | {spare: JobPool(spare, True, True)}
        owner.scheduler.set_configuration(replace(virtual.configuration, version=2, pools=pools))
        now_s = virtual.clock.monotonic_s
        vm_list = VmList(now_s)
        lender = VmLender(
            owner.scheduler, vm_list, now_s, order_log=VmOrderLog(virtual.clock, 3.5), move_s=1.5
        )
        vms = [
            VmEntry(VmId(f"{centre}{number}"), spare, VmState.UP, centre, (), CAPACITY, None)
            for centre in (DataCentreId("a"), DataCentreId("b"))
            for number in range(20)
        ]
        vm_list.on_read(vms, now_s())
        virtual.submit(job(1, Step(20, NEEDS, 10_000)))
        virtual.operators.request(DataCentreId("a"))
        virtual.run(1.0)
        moves = lender.due_moves(())
        self.assertGreaterEqual(len(moves), 5)
        self.assertEqual({move.vm_id[0] for move in moves}, {"b"})


if __name__ == "__main__":
    unittest.main()

"""Waves that operators order: within their bound, and never on a server with promises to keep."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, fleet, job, never_ends
from toucandoor.core.jobs.models import Step
from toucandoor.core.maintenance.job_waves import MaintainVm, SaveWave, WaveCoordinator, WaveOrder
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import VmOrderLog
from toucandoor.core.scheduling.workers import VmEntry, VmRefusal, VmState
from toucandoor.ids import DataCentreId, VmId, WorkerId

MAINTENANCE_S = 2.0


class WaveTest(unittest.TestCase):
    """A wave over a small fleet."""

    def setUp(self) -> None:
        self.fleet = fleet(workers=0, behaviour=never_ends)
        for number in range(4):
            self.fleet.boot(f"w{number}", POOL, CAPACITY, vm_id=f"m{number}")
        self.fleet.run(0.5)
        assert self.fleet.owner is not None
        self.scheduler = self.fleet.owner.scheduler
        clock = self.fleet.clock
        self.vm_list = VmList(clock.monotonic_s)
        self.states = {VmId(f"m{number}"): VmState.UP for number in range(4)}
        self.keeper = WaveCoordinator(
            self.scheduler,
            self.vm_list,
            clock.monotonic_s,
            order_log=VmOrderLog(clock, 0.0),
            maintenance_s=MAINTENANCE_S,
        )
        self.read_list()

    def read_list(self) -> None:
        vms = [
            VmEntry(vm, POOL, state, DataCentreId("dc"), (), CAPACITY, WorkerId("w" + vm[1:]))
            for vm, state in self.states.items()
        ]
        now_s = self.fleet.clock.monotonic_s()
        self.vm_list.answered(vms, now_s)
        self.keeper.vms_listed(now_s)

    def order(self, down_max: int = 2) -> None:
        now_s = self.fleet.clock.monotonic_s()
        self.keeper.ordered(WaveOrder(1, tuple(self.states), 20.0, down_max, now_s))

    def maintained(self) -> list[MaintainVm]:
        return [order for order in self.keeper.orders() if isinstance(order, MaintainVm)]

    def test_the_bound_holds_until_a_vm_is_up_again(self) -> None:
        self.order(down_max=2)
        first = self.maintained()
        self.assertEqual(len(first), 2)
        for order in first:
            self.keeper.maintenance_begun(order)
            self.states[order.vm_id] = VmState.MAINTENANCE
        self.read_list()
        self.assertEqual(self.maintained(), [])
        self.fleet.clock.advance(MAINTENANCE_S + 0.1)
        for order in first:
            self.states[order.vm_id] = VmState.UP
        self.read_list()
        self.assertGreaterEqual(len(self.maintained()), 1)

    def test_a_refused_order_is_given_again(self) -> None:
        self.order(down_max=1)
        [first] = self.maintained()
        self.keeper.maintenance_refused(first, VmRefusal.BUSY)
        self.assertNotIn(first, self.maintained())
        self.fleet.clock.advance(1.1)
        for other in self.keeper.busy - {first.vm_id}:
            self.keeper.maintenance_refused(MaintainVm(other, 1), VmRefusal.BUSY)
        self.assertIn(first, self.maintained())

    def test_without_an_answer_the_vm_counts_as_down(self) -> None:
        self.order(down_max=1)
        [first] = self.maintained()
        self.keeper.maintenance_refused(first, None)
        self.fleet.clock.advance(0.6)
        again = self.maintained()
        self.assertEqual([order.vm_id for order in again], [first.vm_id])

    def drive(self, but: set[VmId] = frozenset()) -> list[bool]:  # type: ignore[assignment]
        """Carry out all orders for a while, refusing those for some VMs; return each save."""
        completed: list[bool] = []
        for _ in range(60):
            for order in self.keeper.orders():
                if isinstance(order, SaveWave):
                    completed.append(order.completed)
                    self.keeper.saved(order, ok=True)
                elif order.vm_id in but:
                    self.keeper.maintenance_refused(order, VmRefusal.BUSY)
                else:
                    self.keeper.maintenance_begun(order)
            self.fleet.clock.advance(0.5)
            self.read_list()
        return completed

    def test_completed_only_when_all_have_begun(self) -> None:
        self.order(down_max=4)
        self.assertNotIn(True, self.drive(but={VmId("m3")}))
        self.assertIn(True, self.drive())

    def test_a_vm_that_has_gone_holds_nothing_up(self) -> None:
        self.order(down_max=4)
        self.drive(but={VmId("m3")})
        del self.states[VmId("m3")]
        self.read_list()
        self.assertIn(True, self.drive())

    def test_promises_of_availability_are_kept(self) -> None:
        """Two tasks of one step: the second is stopped only once the first is at work again."""
        step = Step(2, NEEDS, long_running=True, per_worker_max=1, unavailable_max=1)
        self.fleet.submit(job(1, step))
        self.fleet.run(2.5)
        self.order(down_max=4)
        for _ in range(100):
            for order in self.maintained():
                self.keeper.maintenance_refused(order, VmRefusal.UNAVAILABLE)
            self.fleet.run(0.1)
            running = sum(len(where) for where in self.fleet.seen.running.values())
            self.assertGreaterEqual(running, 1)


if __name__ == "__main__":
    unittest.main()

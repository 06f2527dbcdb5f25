"""Tests of maintenance waves: the bound on VMs down at once, retries, availability of tasks."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, fleet, job, never_ends
from toucandoor.core.jobs.configuration import JobPool
from toucandoor.core.jobs.models import Step
from toucandoor.core.maintenance.job_wave_models import (
    MaintainVm,
    SaveWaveProgress,
    VmWaveOrder,
    decode_wave_record,
    encode_wave_record,
)
from toucandoor.core.maintenance.job_waves import WaveCoordinator
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import VmOrderLog
from toucandoor.core.scheduling.cordons import Cordon, CordonSource
from toucandoor.core.scheduling.workers import VmEntry, VmRefusal, VmState
from toucandoor.ids import ConfigVersion, DataCentreId, PoolId, VmId, WorkerId

MAINTENANCE_S = 2.0


class WaveTest(unittest.TestCase):
    """A wave over four VMs, each with one backend server."""

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
        self.coordinator = WaveCoordinator(
            self.scheduler,
            self.vm_list,
            clock,
            order_log=VmOrderLog(clock, 0.0),
            maintenance_s=MAINTENANCE_S,
        )
        self.pools = dict.fromkeys(self.states, POOL)
        self.read_list()

    def read_list(self) -> None:
        vms = [
            VmEntry(
                vm, self.pools[vm], state, DataCentreId("dc"), (), CAPACITY, WorkerId("w" + vm[1:])
            )
            for vm, state in self.states.items()
        ]
        now_s = self.fleet.clock.monotonic_s()
        self.vm_list.on_read(vms, now_s)
        self.coordinator.on_vm_list(now_s)

    def order(self, down_max: int = 2) -> None:
        now_s = self.fleet.clock.monotonic_s()
        self.coordinator.on_order(VmWaveOrder(1, tuple(self.states), 20.0, down_max, now_s))

    def due_maintenance(self) -> list[MaintainVm]:
        return [order for order in self.coordinator.due_actions() if isinstance(order, MaintainVm)]

    def test_the_bound_holds_until_a_vm_is_up_again(self) -> None:
        self.order(down_max=2)
        first = self.due_maintenance()
        self.assertEqual(len(first), 2)
        for order in first:
            self.coordinator.on_maintenance_begun(order)
            self.states[order.vm_id] = VmState.MAINTENANCE
        self.read_list()
        self.assertEqual(self.due_maintenance(), [])
        self.fleet.clock.advance(MAINTENANCE_S + 0.1)
        for order in first:
            self.states[order.vm_id] = VmState.UP
        self.read_list()
        self.assertGreaterEqual(len(self.due_maintenance()), 1)

    def test_a_refused_order_is_given_again(self) -> None:
        self.order(down_max=1)
        [first] = self.due_maintenance()
        self.coordinator.on_maintenance_refused(first, VmRefusal.BUSY)
        self.assertNotIn(first, self.due_maintenance())
        self.fleet.clock.advance(1.1)
        for other in self.coordinator.vms_in_progress - {first.vm_id}:
            self.coordinator.on_maintenance_refused(MaintainVm(other, 1), VmRefusal.BUSY)
        self.assertIn(first, self.due_maintenance())

    def test_without_an_answer_the_vm_counts_as_down(self) -> None:
        self.order(down_max=1)
        [first] = self.due_maintenance()
        self.coordinator.on_maintenance_refused(first, None)
        self.fleet.clock.advance(0.6)
        again = self.due_maintenance()
        self.assertEqual([order.vm_id for order in again], [first.vm_id])

    # Guards against starts on a server that the maintenance has ended, as its VM had none yet when
    # the maintenance was ordered.
    def test_a_server_met_while_the_order_was_under_way_gets_no_tasks(self) -> None:
        arriving = VmId("m4")
        self.states[arriving], self.pools[arriving] = VmState.UP, POOL
        self.read_list()
        ordered_s = self.fleet.clock.monotonic_s()
        self.coordinator.on_order(VmWaveOrder(1, (arriving,), 20.0, 1, ordered_s))
        [order] = self.due_maintenance()
        self.fleet.boot("w4", POOL, CAPACITY, vm_id=arriving)
        self.fleet.run(0.3)
        worker = self.scheduler.workers[WorkerId("w4")]
        self.assertTrue(worker.contacted)
        self.coordinator.on_maintenance_begun(order)
        self.due_maintenance()
        self.assertFalse(worker.usable(self.fleet.clock.monotonic_s()))

    def run_orders(self, refused: set[VmId] = frozenset()) -> list[bool]:  # type: ignore[assignment]
        """Carry out all orders for 30 s of virtual time.

        Args:
            refused: VMs whose orders are refused.

        Returns:
            For each write of progress, whether it said that the wave is completed.
        """
        completed: list[bool] = []
        for _ in range(60):
            for order in self.coordinator.due_actions():
                if isinstance(order, SaveWaveProgress):
                    completed.append(order.completed)
                    self.coordinator.on_progress_saved(order, ok=True)
                elif order.vm_id in refused:
                    self.coordinator.on_maintenance_refused(order, VmRefusal.BUSY)
                else:
                    self.coordinator.on_maintenance_begun(order)
            self.fleet.clock.advance(0.5)
            self.read_list()
        return completed

    def test_a_new_owner_keeps_the_time_of_the_order(self) -> None:
        """A process that starts during a wave sees its order late, but it is due as before."""
        self.order(down_max=4)
        [saved] = [
            each for each in self.coordinator.due_actions() if isinstance(each, SaveWaveProgress)
        ]
        self.fleet.clock.advance(13.0)
        now_s = self.fleet.clock.monotonic_s()
        orders = VmOrderLog(self.fleet.clock, 0.0)
        successor = WaveCoordinator(
            self.scheduler,
            self.vm_list,
            self.fleet.clock,
            order_log=orders,
            maintenance_s=MAINTENANCE_S,
        )
        successor.restore(1, decode_wave_record(encode_wave_record(saved.record)), completed=False)
        successor.on_order(VmWaveOrder(1, tuple(self.states), 20.0, 4, now_s))
        # Within 20 s, two VMs at once would be enough; there are 3 s left, without the margin.
        begun = [each for each in successor.due_actions() if isinstance(each, MaintainVm)]
        self.assertEqual(len(begun), 4)

    def test_a_record_of_an_older_build_has_no_due_time(self) -> None:
        self.coordinator.restore(1, decode_wave_record(b'{"begun":[]}'), completed=False)
        self.order(down_max=4)
        self.assertEqual(len(self.due_maintenance()), 2)

    def test_spare_vms_are_maintained_while_they_are_off(self) -> None:
        """Their maintenance disturbs nobody; half of them stay available for lending."""
        spare = PoolId("spare")
        self.states = {VmId(f"m{number}"): VmState.UP for number in range(10)}
        self.pools = dict.fromkeys(self.states, spare)
        pools = {POOL: JobPool(POOL, True, False), spare: JobPool(spare, True, True)}
        known = self.scheduler.configuration
        assert known is not None
        newer = replace(known, pools=pools, version=ConfigVersion(2))
        self.scheduler.set_configuration(newer)
        self.read_list()
        self.order(down_max=8)
        self.assertEqual(len(self.due_maintenance()), 5)

    def test_completed_only_when_all_have_begun(self) -> None:
        self.order(down_max=4)
        self.assertNotIn(True, self.run_orders(refused={VmId("m3")}))
        self.assertIn(True, self.run_orders())

    def test_a_vm_that_has_gone_holds_nothing_up(self) -> None:
        self.order(down_max=4)
        self.run_orders(refused={VmId("m3")})
        del self.states[VmId("m3")]
        self.read_list()
        self.assertIn(True, self.run_orders())

    def order_vms(self, *vms: str, number: int = 1, down_max: int = 2) -> None:
        now_s = self.fleet.clock.monotonic_s()
        order = VmWaveOrder(number, tuple(map(VmId, vms)), 20.0, down_max, now_s)
        self.coordinator.on_order(order)

    def test_a_wave_without_vms_is_completed_at_once(self) -> None:
        self.order_vms()
        self.assertEqual(self.run_orders(), [True])

    def test_vms_that_do_not_exist_are_told_and_hold_nothing_up(self) -> None:
        self.order_vms("m0", "gone", "m0")
        with self.assertLogs("toucandoor.core.maintenance.job_waves", "WARNING") as logs:
            self.assertIn(True, self.run_orders())
        [record] = logs.records
        self.assertEqual((vars(record)["vms"], vars(record)["vm"]), (1, "gone"))

    def test_a_wave_that_lets_no_vm_be_down_takes_none_out_of_use(self) -> None:
        with self.assertLogs("toucandoor.core.maintenance.job_waves", "ERROR"):
            self.order_vms("m0", down_max=0)
        self.assertEqual(self.due_maintenance(), [])
        self.assertFalse(any(worker.cordons for worker in self.scheduler.workers.values()))

    def test_a_wave_that_ends_leaves_the_servers_of_another_out_of_use(self) -> None:
        self.order_vms("m0", number=1, down_max=1)
        self.order_vms("m1", number=2, down_max=1)
        first, second = self.due_maintenance()
        self.coordinator.on_maintenance_begun(first)
        self.coordinator.on_maintenance_refused(second, VmRefusal.BUSY)
        self.coordinator.due_actions()
        cordons = {
            str(worker.entry.vm_id): worker.cordons for worker in self.scheduler.workers.values()
        }
        self.assertEqual(cordons["m0"], set())
        self.assertEqual(cordons["m1"], {Cordon(CordonSource.WAVE, 2)})

    def test_promises_of_availability_are_kept(self) -> None:
        """Guards against a wave that stops both tasks of a step with ``unavailable_max=1``.

        The second task may be stopped only when the first one runs again elsewhere.
        """
        step = Step(2, NEEDS, long_running=True, per_worker_max=1, unavailable_max=1)
        self.fleet.submit(job(1, step))
        self.fleet.run(2.5)
        self.order(down_max=4)
        for _ in range(100):
            for order in self.due_maintenance():
                self.coordinator.on_maintenance_refused(order, VmRefusal.UNAVAILABLE)
            self.fleet.run(0.1)
            running = sum(len(where) for where in self.fleet.observations.running.values())
            self.assertGreaterEqual(running, 1)


if __name__ == "__main__":
    unittest.main()

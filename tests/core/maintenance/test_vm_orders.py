"""Tests of recent VM orders: a new owner waits only with VMs that the former owner has ordered.

Guards against two owners that order the same VM shortly after each other, and against runs on
servers that an order of a former owner ends.
"""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import CAPACITY, POOL, configuration, job, never_ends
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import Step
from toucandoor.core.maintenance.vm_orders import (
    CLOCK_SKEW_S,
    VmOrderLog,
    decode_vm_orders,
    encode_vm_orders,
)
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

GAP_S = 3.5
A, B = VmId("a"), VmId("b")


class VmOrderLogTest(unittest.TestCase):
    """The record of a former owner, restored by the next one."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.former = VmOrderLog(self.clock, GAP_S)

    def new_owner(self, value: bytes) -> VmOrderLog:
        log = VmOrderLog(self.clock, GAP_S)
        log.restore(decode_vm_orders(value))
        return log

    def test_a_vm_ordered_lately_waits_and_others_do_not(self) -> None:
        value = encode_vm_orders(self.former.record_orders([A]))
        self.clock.advance(1.0)
        log = self.new_owner(value)
        self.assertFalse(log.may_order(A))
        self.assertTrue(log.may_order(B))
        self.clock.advance(GAP_S)
        self.assertTrue(log.may_order(A))

    def test_an_old_order_holds_nobody_up(self) -> None:
        value = encode_vm_orders(self.former.record_orders([A]))
        self.clock.advance(GAP_S + CLOCK_SKEW_S + 0.1)
        self.assertTrue(self.new_owner(value).may_order(A))

    def test_a_third_owner_still_knows_of_the_first(self) -> None:
        value = encode_vm_orders(self.former.record_orders([A]))
        second = self.new_owner(value)
        third = self.new_owner(encode_vm_orders(second.record_orders([B])))
        self.assertFalse(third.may_order(A))
        self.assertFalse(third.may_order(B))


class FormerOrdersTest(unittest.TestCase):
    """A wave over an idle server's VM, whose order the former owner sends just before its end."""

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), never_ends)
        self.fleet.take_over()
        self.waves = VirtualWaves(self.fleet)
        self.waves.handover_gap_s = GAP_S
        for number in range(2):
            self.fleet.boot(f"w{number}", POOL, CAPACITY, vm_id=f"m{number}")
        self.fleet.run(1.0)

    def order_and_take_over(self, *, carried_out_after_s: float, after_s: float) -> None:
        self.waves.choose_order_delay_s = lambda: carried_out_after_s
        self.waves.order([VmId("m0")], within_s=40.0, down_max=1)
        self.fleet.run(after_s)
        self.fleet.take_over(planned=True)

    # Guards against a run that a new owner starts on a server that the former owner's maintenance
    # order ends a moment later.
    def test_a_server_whose_vm_a_former_owner_has_ordered_gets_no_run(self) -> None:
        for carried_out_after_s in (0.1, 0.4, 1.2):
            with self.subTest(carried_out_after_s):
                self.setUp()
                self.order_and_take_over(carried_out_after_s=carried_out_after_s, after_s=0.05)
                self.fleet.submit(job(1, Step(1, CAPACITY, long_running=True)))
                self.fleet.run(2.0)
                places = [entry.worker_id for _, entry in self.fleet.observations.started]
                self.assertEqual(places, ["w1"])
                self.assertIn(VmId("m0"), self.waves.begun_s[1])

    # Guards against the same on a server that the new owner meets after it has read the orders.
    def test_a_server_that_is_met_after_the_orders_were_read_gets_no_run(self) -> None:
        self.fleet.boot("w2", POOL, CAPACITY, vm_id="m2", listed_after_s=0.5)
        registry, now_s = self.fleet.scheduler.registry, self.fleet.clock.monotonic_s()
        ordered_unix_ms = int(self.fleet.scheduler.state.now_unix_ms)
        registry.await_former_orders({VmId("m2"): ordered_unix_ms}, now_s + 2.0)
        self.fleet.run(1.0)
        worker = self.fleet.scheduler.workers[WorkerId("w2")]
        self.assertTrue(worker.contacted)
        self.assertFalse(worker.usable(self.fleet.clock.monotonic_s()))
        self.fleet.run(1.1)
        self.assertTrue(worker.usable(self.fleet.clock.monotonic_s()))

    # Guards against a new owner that leaves idle the server that has started because of the order.
    def test_the_server_that_has_started_after_the_order_gets_runs_at_once(self) -> None:
        self.order_and_take_over(carried_out_after_s=0.1, after_s=2.2)
        self.fleet.run(0.3)
        server = self.waves.worker(VmId("m0"))
        assert server is not None
        worker = self.fleet.scheduler.workers[server.entry.worker_id]
        self.assertNotEqual(worker.entry.worker_id, WorkerId("w0"))
        self.assertTrue(worker.usable(self.fleet.clock.monotonic_s()))


if __name__ == "__main__":
    unittest.main()

"""Tests of recent VM orders: a new owner waits only with VMs that the former owner has ordered.

Guards against two owners that order the same VM shortly after each other.
"""

from __future__ import annotations

import unittest

from toucandoor.clock import ManualClock
from toucandoor.core.maintenance.vm_orders import (
    CLOCK_SKEW_S,
    VmOrderLog,
    decode_vm_orders,
    encode_vm_orders,
)
from toucandoor.ids import VmId

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


if __name__ == "__main__":
    unittest.main()

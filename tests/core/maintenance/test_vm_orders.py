"""Two owners never take turns on a VM, and others need not wait."""

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
    """A former owner's record in a new owner's hands."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.former = VmOrderLog(self.clock, GAP_S)

    def new_owner(self, value: bytes) -> VmOrderLog:
        log = VmOrderLog(self.clock, GAP_S)
        log.restore(decode_vm_orders(value))
        return log

    def test_a_vm_ordered_lately_waits_and_others_do_not(self) -> None:
        value = encode_vm_orders(self.former.ordering([A]))
        self.clock.advance(1.0)
        log = self.new_owner(value)
        self.assertFalse(log.free(A))
        self.assertTrue(log.free(B))
        self.clock.advance(GAP_S)
        self.assertTrue(log.free(A))

    def test_an_old_order_holds_nobody_up(self) -> None:
        value = encode_vm_orders(self.former.ordering([A]))
        self.clock.advance(GAP_S + CLOCK_SKEW_S + 0.1)
        self.assertTrue(self.new_owner(value).free(A))

    def test_a_third_owner_still_knows_of_the_first(self) -> None:
        value = encode_vm_orders(self.former.ordering([A]))
        second = self.new_owner(value)
        third = self.new_owner(encode_vm_orders(second.ordering([B])))
        self.assertFalse(third.free(A))
        self.assertFalse(third.free(B))


if __name__ == "__main__":
    unittest.main()

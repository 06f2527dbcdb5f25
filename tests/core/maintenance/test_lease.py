"""Tests of the planning lease."""

from __future__ import annotations

import unittest

from toucandoor.core.maintenance.lease import (
    LeaseRead,
    LeaseRecord,
    PlanningLease,
    ReadLease,
    decode_lease,
)
from toucandoor.core.maintenance.models import MaintenanceSettings
from toucandoor.core.pools.models import StoreUnavailable, Swap, SwapDone, SwapUnconfirmed
from toucandoor.ids import DataCentreId

_SETTINGS = MaintenanceSettings()


def _lease(controller_id: str = "a") -> PlanningLease:
    return PlanningLease(controller_id, DataCentreId("dc1"), _SETTINGS)


def _acquire(lease: PlanningLease, now_s: float) -> None:
    lease.tick(now_s)
    lease.on_read(LeaseRead(None, 0), now_s)
    assert isinstance(lease.tick(now_s), Swap)
    lease.on_answer(SwapDone(lease.key, 1), now_s)


class LeaseTest(unittest.TestCase):
    def test_counts_from_before_the_renewal_was_sent(self) -> None:
        lease = _lease()
        _acquire(lease, 0.0)
        renewal = lease.tick(5.0)
        assert isinstance(renewal, Swap)
        lease.on_answer(SwapDone(lease.key, 2), 12.0)
        self.assertTrue(lease.held(5.0 + _SETTINGS.lease_s - 0.1))
        self.assertFalse(lease.held(5.0 + _SETTINGS.lease_s))

    def test_lost_renewal_is_read_back(self) -> None:
        lease = _lease()
        _acquire(lease, 0.0)
        renewal = lease.tick(5.0)
        assert isinstance(renewal, Swap)
        self.assertIsInstance(lease.on_answer(SwapUnconfirmed(lease.key), 8.0), ReadLease)
        lease.on_read(LeaseRead(decode_lease(renewal.value), 2), 9.0)
        self.assertTrue(lease.held(19.0))
        self.assertFalse(lease.held(20.0))

    def test_challenger_waits_a_whole_lease_with_the_store_up(self) -> None:
        lease, record = _lease("b"), LeaseRecord("a", 1, 3)
        now_s = 0.0
        decisions = []
        while now_s < 60 and not any(isinstance(each, Swap) for each in decisions):
            decision = lease.tick(now_s)
            decisions.append(decision)
            if isinstance(decision, ReadLease):
                if 5 <= now_s < 30:
                    lease.on_answer(StoreUnavailable(lease.key), now_s)
                else:
                    lease.on_read(LeaseRead(record, 7), now_s)
            now_s += 1.0
        self.assertGreaterEqual(now_s - 1, 30 + _SETTINGS.lease_s + _SETTINGS.lease_margin_s)
        taken = next(each for each in decisions if isinstance(each, Swap))
        self.assertEqual(decode_lease(taken.value).fence, 2)

    def test_paused_holder_does_not_act_before_it_has_asked(self) -> None:
        lease = _lease()
        _acquire(lease, 0.0)
        self.assertFalse(lease.may_finish(1_000.0))
        lease.tick(1_000.0)
        lease.on_answer(StoreUnavailable(lease.key), 1_000.0)
        self.assertTrue(lease.may_finish(1_001.0))
        self.assertFalse(lease.held(1_001.0))

    def test_successor_ends_the_old_holder(self) -> None:
        lease = _lease()
        _acquire(lease, 0.0)
        lease.on_read(LeaseRead(LeaseRecord("b", 2, 0), 9), 1.0)
        self.assertFalse(lease.held(1.0))
        self.assertFalse(lease.may_finish(1.0))

    def test_released_lease_is_taken_at_once(self) -> None:
        lease = _lease()
        _acquire(lease, 0.0)
        swap = lease.release(1.0)
        assert swap is not None
        self.assertFalse(lease.held(1.0))
        other = _lease("b")
        other.tick(1.0)
        other.on_read(LeaseRead(decode_lease(swap.value), 2), 1.0)
        taken = other.tick(1.0)
        assert isinstance(taken, Swap)
        self.assertEqual(decode_lease(taken.value).fence, 2)

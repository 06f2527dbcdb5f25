"""Tests of the lending policy, under load that peaks in one pool after another."""

from __future__ import annotations

import unittest

from toucandoor.core.pools.lending import POOL_VMS_MIN, LendableVm, LendingPolicy, PoolMove
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.ids import PoolId, VmId
from toucandoor.measures._lending_model import (
    POOLS,
    SPARE,
    VM_RESOURCES,
    VMS_PER_POOL,
    LendingModel,
)


class RotatingPeaksTest(unittest.TestCase):
    """Load that peaks in one pool after another, compared with fixed pools."""

    def test_lending_serves_the_turns_with_fewer_vms_than_fixed_pools(self) -> None:
        fixed, lent = LendingModel(None), LendingModel(LendingPolicy())
        fixed.run()
        lent.run()
        self.assertLess(lent.waited_core_s2, fixed.waited_core_s2)
        self.assertLess(lent.vm_s, fixed.vm_s)
        self.assertGreater(lent.moves, 0)

    def test_vms_kept_for_the_next_turn_start_its_work_sooner_and_move_less(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                at_once, kept = (
                    LendingModel(LendingPolicy(return_after_s=0.0), seed),
                    LendingModel(LendingPolicy(), seed),
                )
                at_once.run()
                kept.run()
                self.assertLess(kept.waited_core_s2, at_once.waited_core_s2)
                self.assertLess(kept.moves, at_once.moves)

    def test_no_vm_is_lost_or_doubled(self) -> None:
        lent = LendingModel(LendingPolicy())
        lent.run()
        self.assertEqual(len(lent.pool_of_vm), (len(POOLS) + 1) * VMS_PER_POOL)


class PlanTest(unittest.TestCase):
    """Single planning runs."""

    def plan(
        self, sizes: dict[PoolId, int], load: PoolLoad | None, *, empty: bool
    ) -> list[PoolMove]:
        vms = [
            LendableVm(VmId(f"{pool}-{number}"), pool, empty or pool == SPARE, False, VM_RESOURCES)
            for pool, size in sizes.items()
            for number in range(size)
        ]
        loads = {load.pool: load} if load is not None else {}
        return LendingPolicy().plan(loads, vms, POOLS[:2], frozenset({SPARE}), 0.0)

    def test_a_pool_that_lost_all_its_vms_gets_some(self) -> None:
        moves = self.plan({POOLS[0]: POOL_VMS_MIN, SPARE: 4}, None, empty=True)
        self.assertEqual([move.pool for move in moves], [POOLS[1]] * POOL_VMS_MIN)

    def test_without_queues_nothing_moves(self) -> None:
        vm = LendableVm(VmId("m"), SPARE, True, False, VM_RESOURCES)
        self.assertEqual(LendingPolicy().plan({}, [vm], [], frozenset({SPARE}), 0.0), [])

    def test_busy_vms_are_never_taken(self) -> None:
        load = PoolLoad(POOLS[0], waiting=VM_RESOURCES.times(8))
        self.assertEqual(self.plan({POOLS[0]: 2, POOLS[1]: 6}, load, empty=False), [])

    def test_tasks_that_must_run_apart_keep_their_vms(self) -> None:
        load = PoolLoad(POOLS[0], spread_workers_min=5)
        moves = self.plan({POOLS[0]: 3, POOLS[1]: POOL_VMS_MIN, SPARE: 4}, load, empty=True)
        self.assertEqual([move.pool for move in moves], [POOLS[0]] * 2)

    def test_what_another_pool_has_too_many_of_is_borrowed_before_spare_vms(self) -> None:
        load = PoolLoad(POOLS[0], waiting=VM_RESOURCES.times(3))
        moves = self.plan({POOLS[0]: 0, POOLS[1]: POOL_VMS_MIN + 2, SPARE: 4}, load, empty=True)
        self.assertEqual([move.pool for move in moves], [POOLS[0]] * 4)
        self.assertEqual([move.vm_id.partition("-")[0] for move in moves[:2]], [POOLS[1]] * 2)

    # Guards against long-running tasks without a run for as long as a peak lasts in another pool.
    def test_a_peak_elsewhere_does_not_delay_vms_for_long_running_tasks(self) -> None:
        peak = PoolLoad(POOLS[0], waiting=VM_RESOURCES.times(40))
        stopped = PoolLoad(
            POOLS[1], waiting=VM_RESOURCES.times(1.5), long_running_waiting=VM_RESOURCES.times(1.5)
        )
        spare = [LendableVm(VmId(f"s{n}"), SPARE, True, False, VM_RESOURCES) for n in range(3)]
        loads = {peak.pool: peak, stopped.pool: stopped}
        moves = LendingPolicy().plan(loads, spare, POOLS[:2], frozenset({SPARE}), 0.0)
        self.assertEqual([move.pool for move in moves], [POOLS[1], POOLS[1], POOLS[0]])

    # Guards against the same where only the pool with the peak has an empty VM.
    def test_long_running_tasks_get_an_empty_vm_of_a_pool_that_lacks_vms_itself(self) -> None:
        peak = PoolLoad(POOLS[0], waiting=VM_RESOURCES.times(40))
        stopped = PoolLoad(POOLS[1], long_running_spread_min=3, spread_workers_min=3)
        vms = [LendableVm(VmId(f"a{n}"), POOLS[0], n == 0, False, VM_RESOURCES) for n in range(6)]
        vms += [LendableVm(VmId(f"b{n}"), POOLS[1], False, False, VM_RESOURCES) for n in range(2)]
        loads = {peak.pool: peak, stopped.pool: stopped}
        moves = LendingPolicy().plan(loads, vms, POOLS[:2], frozenset({SPARE}), 0.0)
        self.assertEqual(moves, [PoolMove(VmId("a0"), POOLS[1])])

    def test_slow_vms_are_returned_first_and_lent_last(self) -> None:
        """Otherwise a pool keeps its slow VMs, or borrows those of another pool."""
        vms = [
            LendableVm(VmId(f"m{number}"), POOLS[1], True, False, VM_RESOURCES, number == 1)
            for number in range(POOL_VMS_MIN + 1)
        ]
        pools = [POOLS[1]]
        policy = LendingPolicy(return_after_s=0.0)
        [returned] = policy.plan({}, vms, pools, frozenset({SPARE}), 0.0)
        self.assertEqual(returned, PoolMove(VmId("m1"), SPARE))
        load = PoolLoad(POOLS[0], waiting=VM_RESOURCES.times(0.5))
        lent = policy.plan({POOLS[0]: load}, vms, [*pools, POOLS[0]], frozenset(), 0.0)
        self.assertEqual(lent, [PoolMove(VmId("m2"), POOLS[0])])


if __name__ == "__main__":
    unittest.main()

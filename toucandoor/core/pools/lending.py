"""Lending policy: decides which VMs move to another pool.

It is made for load that peaks in one pool after another: for some seconds, one pool needs several
times its capacity while the others are nearly idle. VMs in a spare pool are off and cost nothing.
A pool's need is that at the time when a VM that is moved now gets tasks: tasks of jobs that have
ended by then don't count, and jobs that arrive meanwhile do.
A pool whose capacity is too small for its waiting tasks borrows empty VMs from pools with a
surplus, then from the spare pools. Pools with too few VMs for their long-running tasks come first:
such a task must not be without a run for long, however many VMs a peak elsewhere could use.
A pool with a surplus returns empty VMs to a spare pool, but only after a while: the next peak often
starts as the last one ends, and a move by way of the spare pool takes twice as long as a direct
one.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.models import NO_RESOURCES

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from toucandoor.core.jobs.models import Resources
    from toucandoor.core.scheduling.pool_load import PoolLoad
    from toucandoor.ids import PoolId, VmId

FILL_RATIO: Final = 0.9
"""Fraction of a VM's capacity that tasks can fill; the rest is lost to fragmentation."""
POOL_VMS_MIN: Final = 2
"""VMs that an idle pool retains: they run the first seconds of a peak until borrowed VMs arrive,
and one of them may fail."""
RETURN_AFTER_S: Final = 1.0
"""Time for which a pool must have a surplus before it returns VMs. Half the cost of a move to the
spare pool and back, which equals 2 s of a VM; the next peak starts within that time."""


@dataclass(frozen=True, slots=True)
class LendableVm:
    """The lending policy's view of a VM.

    Attributes:
        vm_id: Id of the VM.
        pool: Pool that the VM is in or moves to.
        empty: Whether the VM could be moved now without ending a task.
        arriving: Whether a move into the pool is under way.
        capacity: Resources of the VM.
        slow: Whether its backend server takes so long that it gets one task at a time.
    """

    vm_id: VmId
    pool: PoolId
    empty: bool
    arriving: bool
    capacity: Resources
    slow: bool = False


@dataclass(frozen=True, slots=True)
class PoolMove:
    """Decision: move a VM to another pool."""

    vm_id: VmId
    pool: PoolId


@dataclass(slots=True)
class _PlannedPools:
    """State of the pools after the moves planned so far.

    Attributes:
        size: Number of VMs of each pool, including those that move there.
        empty: VMs of each pool that could be moved now, the slow ones first.
        wanted: Number of VMs that each pool with queues should have.
        needed: Part of `wanted` that its long-running tasks need.
    """

    size: dict[PoolId, int]
    empty: dict[PoolId, list[LendableVm]]
    wanted: dict[PoolId, int]
    needed: dict[PoolId, int]

    def surplus(self, pool: PoolId) -> int:
        """Return the number of VMs of a pool beyond those wanted; negative if it has too few."""
        return self.size[pool] - self.wanted[pool]

    def can_lend(self, pool: PoolId) -> bool:
        """Return whether a pool has a surplus and an empty VM."""
        return bool(self.empty.get(pool)) and self.surplus(pool) > 0

    def missing(self, pool: PoolId) -> int:
        """Return how many VMs the long-running tasks of a pool lack; 0 or less for none."""
        return self.needed[pool] - self.size[pool]

    def can_spare(self, pool: PoolId) -> bool:
        """Return whether a pool has an empty VM that none of its long-running tasks needs."""
        return bool(self.empty.get(pool)) and self.missing(pool) < 0

    def move(self, source: PoolId, target: PoolId, *, slow_first: bool = False) -> PoolMove:
        """Plan the move of an empty VM and update the state.

        Args:
            source: Pool that the VM leaves.
            target: Pool that gets it.
            slow_first: Whether a slow VM is preferred, as nothing is to run on it.
        """
        empty = self.empty[source]
        vm = empty.pop(0 if slow_first and empty[0].slow else -1)
        self.size[source] -= 1
        self.size[target] += 1
        return PoolMove(vm.vm_id, target)


class VmLendingPolicy(ABC):
    """Decides which VMs move to another pool now."""

    @abstractmethod
    def plan(
        self,
        loads: Mapping[PoolId, PoolLoad],
        vms: Sequence[LendableVm],
        pools: Sequence[PoolId],
        spare_pools: frozenset[PoolId],
        now_s: float,
    ) -> list[PoolMove]:
        """Return the moves to order now.

        Args:
            loads: Load of each pool that has backend servers or waiting tasks.
            vms: VMs to consider, including those that are being moved.
            pools: Pools that serve queues, also those without VMs.
            spare_pools: Pools whose VMs are off.
            now_s: The monotonic time.
        """


class NoLending(VmLendingPolicy):
    """Baseline: every VM stays in its pool."""

    def plan(
        self,
        loads: Mapping[PoolId, PoolLoad],
        vms: Sequence[LendableVm],
        pools: Sequence[PoolId],
        spare_pools: frozenset[PoolId],
        now_s: float,
    ) -> list[PoolMove]:
        """Return nothing."""
        return []


class LendingPolicy(VmLendingPolicy):
    """Plans moves between pools; tracks since when each pool has had a surplus.

    Args:
        return_after_s: Time for which a pool must have a surplus before it returns VMs.
    """

    def __init__(self, return_after_s: float = RETURN_AFTER_S) -> None:
        self._return_after_s = return_after_s
        self._surplus_since_s: dict[PoolId, float] = {}

    def plan(
        self,
        loads: Mapping[PoolId, PoolLoad],
        vms: Sequence[LendableVm],
        pools: Sequence[PoolId],
        spare_pools: frozenset[PoolId],
        now_s: float,
    ) -> list[PoolMove]:
        """Return the moves to order now."""
        per_vm = _mean_capacity(vms)
        wanted = {pool: max(wanted_vms(loads.get(pool), per_vm), POOL_VMS_MIN) for pool in pools}
        needed = {pool: long_running_vms(loads.get(pool), per_vm) for pool in pools}
        planned = _PlannedPools(dict.fromkeys([*pools, *spare_pools], 0), {}, wanted, needed)
        for vm in vms:
            planned.size[vm.pool] = planned.size.get(vm.pool, 0) + 1
            if vm.empty:
                planned.empty.setdefault(vm.pool, []).append(vm)
        for empty in planned.empty.values():
            empty.sort(key=lambda vm: not vm.slow)
        spare = sorted(spare_pools)
        moves = self._plan_for_long_running(planned, spare) + self._plan_borrowing(planned, spare)
        return moves + self._plan_returns(planned, spare, now_s)

    def _plan_for_long_running(
        self, planned: _PlannedPools, spare_pools: Sequence[PoolId]
    ) -> list[PoolMove]:
        """Plan moves to pools that lack VMs for long-running tasks, if need be from short pools."""
        moves: list[PoolMove] = []
        for pool in planned.wanted:
            while planned.missing(pool) > 0:
                lenders = sorted(
                    filter(planned.can_spare, planned.wanted), key=planned.surplus, reverse=True
                )
                spare = [each for each in spare_pools if planned.empty.get(each)]
                if not lenders or planned.surplus(lenders[0]) <= 0:
                    lenders = spare + lenders
                if not lenders:
                    return moves
                moves.append(planned.move(lenders[0], pool))
        return moves

    def _plan_borrowing(
        self, planned: _PlannedPools, spare_pools: Sequence[PoolId]
    ) -> list[PoolMove]:
        moves: list[PoolMove] = []
        while True:
            short = [pool for pool in planned.wanted if planned.surplus(pool) < 0]
            lenders = sorted(
                filter(planned.can_lend, planned.wanted), key=planned.surplus, reverse=True
            )
            lenders += [pool for pool in spare_pools if planned.empty.get(pool)]
            if not short or not lenders:
                return moves
            moves.append(planned.move(lenders[0], min(short, key=planned.surplus)))

    def _plan_returns(
        self, planned: _PlannedPools, spare_pools: Sequence[PoolId], now_s: float
    ) -> list[PoolMove]:
        moves: list[PoolMove] = []
        for pool in planned.wanted:
            if not planned.can_lend(pool):
                self._surplus_since_s.pop(pool, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool, now_s)
            if not spare_pools or now_s - since_s < self._return_after_s:
                continue
            while planned.can_lend(pool):
                moves.append(planned.move(pool, spare_pools[0], slow_first=True))
        return moves


def wanted_vms(load: PoolLoad | None, per_vm: Resources) -> int:
    """Return the number of VMs that a pool needs once a VM that is moved now gets tasks.

    Args:
        load: Load of the pool, with the time that a move takes as lead time; None when it has none.
        per_vm: Mean resources of a VM.
    """
    if load is None:
        return 0
    needed = load.long_running + load.later + load.arriving_later + load.waiting
    if needed != NO_RESOURCES:
        # The VMs of slow servers count as the pool's own, so others must make up for them.
        needed = needed + load.unusable.times(FILL_RATIO)
    wanted = max(_vms_for(needed, per_vm), load.spread_workers_min)
    return max(wanted, _vms_with_room(load, per_vm))


def long_running_vms(load: PoolLoad | None, per_vm: Resources) -> int:
    """Return the number of VMs that the long-running tasks of a pool need."""
    if load is None:
        return 0
    needed = load.long_running + load.long_running_waiting
    wanted = max(_vms_for(needed, per_vm), load.long_running_spread_min)
    return max(wanted, _vms_with_room(load, per_vm))


def _vms_with_room(load: PoolLoad, per_vm: Resources) -> int:
    """Return the number of VMs at which all tasks that must leave their servers have room."""
    if load.without_room == NO_RESOURCES:
        return 0
    return load.workers + _vms_for(load.without_room, per_vm)


def _vms_for(needed: Resources, per_vm: Resources) -> int:
    """Return the number of VMs for an amount of resources."""
    shares = [
        used / (room * FILL_RATIO)
        for used, room in (
            (needed.cpu_millicores, per_vm.cpu_millicores),
            (needed.memory_mb, per_vm.memory_mb),
            (needed.gpus, per_vm.gpus),
        )
        if room
    ]
    return math.ceil(max(shares, default=0.0))


def _mean_capacity(vms: Sequence[LendableVm]) -> Resources:
    total = vms[0].capacity if vms else None
    if total is None:
        raise ValueError("cannot compute the mean capacity of VMs: none given")
    for vm in vms[1:]:
        total = total + vm.capacity
    return type(total)(
        total.cpu_millicores // len(vms), total.memory_mb // len(vms), total.gpus // len(vms)
    )

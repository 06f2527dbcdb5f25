"""Policy: which VMs change their pool.

Answers queues whose demand goes round in turns: one pool asks several times its room for some
seconds while the others stand nearly empty, and a spare pool costs nothing while its VMs are off.
A pool that cannot hold what waits borrows empty VMs of pools that have too many, then spare ones;
a pool that stands empty gives VMs back to the spare pool. As one turn ends while the next begins,
VMs wait a little for the next borrower: a move to the spare pool and on would take twice as long.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from toucandoor.core.jobs.models import Resources
    from toucandoor.core.scheduling.pool_load import PoolLoad
    from toucandoor.ids import PoolId, VmId

FILL_RATIO: Final = 0.9
"""Part of a VM's room that tasks fill in practice; the rest is lost between their sizes."""
KEEP_MIN: Final = 2
"""VMs that a pool keeps while it stands empty: what a turn's first seconds run on, until borrowed
VMs have come, and one of them may fail."""
RETURN_AFTER_S: Final = 1.0
"""How long a pool must have had too many VMs before it gives one back: half the price of a move
there and back, which is that of two seconds of a VM; turns follow each other within that time."""


@dataclass(frozen=True, slots=True)
class LendableVm:
    """A VM as the policy sees it.

    Attributes:
        vm_id: Its id.
        pool: Pool that it is in, or moves to.
        empty: Whether it could leave now without ending a task.
        arriving: Whether it is on its way into the pool.
        capacity: Its room.
    """

    vm_id: VmId
    pool: PoolId
    empty: bool
    arriving: bool
    capacity: Resources


@dataclass(frozen=True, slots=True)
class Move:
    """Move a VM to another pool."""

    vm_id: VmId
    pool: PoolId


class Lending:
    """Plans moves; remembers since when each pool has had too many VMs.

    Args:
        return_after_s: How long a pool must have had too many VMs before it gives one back.
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
    ) -> list[Move]:
        """Return the moves to order now.

        Args:
            loads: Load of each pool that has servers or waiting tasks.
            vms: All VMs that could be moved or are on their way.
            pools: Pools that serve queues, also those that have lost all their VMs.
            spare_pools: Pools whose VMs are off.
            now_s: The monotonic clock.
        """
        size: dict[PoolId, int] = dict.fromkeys(pools, 0)
        empty: dict[PoolId, list[LendableVm]] = {}
        for vm in vms:
            size[vm.pool] = size.get(vm.pool, 0) + 1
            if vm.empty:
                empty.setdefault(vm.pool, []).append(vm)
        per_vm = _mean_capacity(vms)
        wanted = {pool: max(wanted_vms(loads.get(pool), per_vm), KEEP_MIN) for pool in pools}
        moves = self._borrow(pools, size, empty, wanted, spare_pools)
        moves += self._give_back(pools, size, empty, wanted, spare_pools, now_s)
        return moves

    def _borrow(
        self,
        pools: Sequence[PoolId],
        size: dict[PoolId, int],
        empty: dict[PoolId, list[LendableVm]],
        wanted: Mapping[PoolId, int],
        spare_pools: frozenset[PoolId],
    ) -> list[Move]:
        moves: list[Move] = []
        while True:
            short = [pool for pool in pools if wanted[pool] > size[pool]]
            if not short:
                return moves
            needy = max(short, key=lambda pool: wanted[pool] - size[pool])
            lenders = sorted(
                (pool for pool in pools if empty.get(pool) and size[pool] > wanted[pool]),
                key=lambda pool: wanted[pool] - size[pool],
            )
            lenders += [pool for pool in spare_pools if empty.get(pool)]
            if not lenders:
                return moves
            vm = empty[lenders[0]].pop()
            size[vm.pool] -= 1
            size[needy] += 1
            moves.append(Move(vm.vm_id, needy))

    def _give_back(
        self,
        pools: Sequence[PoolId],
        size: dict[PoolId, int],
        empty: dict[PoolId, list[LendableVm]],
        wanted: Mapping[PoolId, int],
        spare_pools: frozenset[PoolId],
        now_s: float,
    ) -> list[Move]:
        moves: list[Move] = []
        for pool in pools:
            if size[pool] <= wanted[pool] or not empty.get(pool):
                self._surplus_since_s.pop(pool, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool, now_s)
            if not spare_pools or now_s - since_s < self._return_after_s:
                continue
            while empty[pool] and size[pool] > wanted[pool]:
                vm = empty[pool].pop()
                size[pool] -= 1
                moves.append(Move(vm.vm_id, min(spare_pools)))
        return moves


def wanted_vms(load: PoolLoad | None, per_vm: Resources) -> int:
    """Return how many VMs hold all that a pool runs and what waits for it."""
    if load is None:
        return 0
    asked = load.lasting + load.ending + load.waiting
    arriving = load.lasting.cpu_millicores + load.arriving_cpu_millicores
    shares = [arriving / (per_vm.cpu_millicores * FILL_RATIO) if per_vm.cpu_millicores else 0.0] + [
        used / (room * FILL_RATIO)
        for used, room in (
            (asked.cpu_millicores, per_vm.cpu_millicores),
            (asked.memory_mb, per_vm.memory_mb),
            (asked.gpus, per_vm.gpus),
        )
        if room
    ]
    return max(math.ceil(max(shares, default=0.0)), load.spread_min)


def _mean_capacity(vms: Sequence[LendableVm]) -> Resources:
    total = vms[0].capacity if vms else None
    if total is None:
        raise ValueError("no VMs")
    for vm in vms[1:]:
        total = total + vm.capacity
    return type(total)(
        total.cpu_millicores // len(vms), total.memory_mb // len(vms), total.gpus // len(vms)
    )

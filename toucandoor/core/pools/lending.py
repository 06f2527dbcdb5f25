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


@dataclass(slots=True)
class _Draft:
    """VMs of each pool as they will be after the moves planned so far.

    Attributes:
        size: VMs of each pool, those on their way included.
        empty: Those of them that could leave now.
        wanted: How many each pool that serves queues should have.
    """

    size: dict[PoolId, int]
    empty: dict[PoolId, list[LendableVm]]
    wanted: dict[PoolId, int]

    def surplus(self, pool: PoolId) -> int:
        """Return how many VMs a pool has too many; negative where it is short."""
        return self.size[pool] - self.wanted[pool]

    def can_lend(self, pool: PoolId) -> bool:
        """Return whether a pool has too many VMs, and one that is empty."""
        return bool(self.empty.get(pool)) and self.surplus(pool) > 0

    def move(self, source: PoolId, target: PoolId) -> Move:
        """Move an empty VM."""
        vm = self.empty[source].pop()
        self.size[source] -= 1
        self.size[target] += 1
        return Move(vm.vm_id, target)


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
        per_vm = _mean_capacity(vms)
        wanted = {pool: max(wanted_vms(loads.get(pool), per_vm), KEEP_MIN) for pool in pools}
        draft = _Draft(dict.fromkeys([*pools, *spare_pools], 0), {}, wanted)
        for vm in vms:
            draft.size[vm.pool] = draft.size.get(vm.pool, 0) + 1
            if vm.empty:
                draft.empty.setdefault(vm.pool, []).append(vm)
        spare = sorted(spare_pools)
        return self._borrow(draft, spare) + self._give_back(draft, spare, now_s)

    def _borrow(self, draft: _Draft, spare_pools: Sequence[PoolId]) -> list[Move]:
        moves: list[Move] = []
        while True:
            short = [pool for pool in draft.wanted if draft.surplus(pool) < 0]
            lenders = sorted(filter(draft.can_lend, draft.wanted), key=draft.surplus, reverse=True)
            lenders += [pool for pool in spare_pools if draft.empty.get(pool)]
            if not short or not lenders:
                return moves
            moves.append(draft.move(lenders[0], min(short, key=draft.surplus)))

    def _give_back(self, draft: _Draft, spare_pools: Sequence[PoolId], now_s: float) -> list[Move]:
        moves: list[Move] = []
        for pool in draft.wanted:
            if not draft.can_lend(pool):
                self._surplus_since_s.pop(pool, None)
                continue
            since_s = self._surplus_since_s.setdefault(pool, now_s)
            if not spare_pools or now_s - since_s < self._return_after_s:
                continue
            while draft.can_lend(pool):
                moves.append(draft.move(pool, spare_pools[0]))
        return moves


def wanted_vms(load: PoolLoad | None, per_vm: Resources) -> int:
    """Return how many VMs hold all that a pool runs and what waits for it."""
    if load is None:
        return 0
    asked = load.long_running + load.finite + load.waiting
    arriving = load.long_running.cpu_millicores + load.arriving_cpu_millicores
    shares = [arriving / (per_vm.cpu_millicores * FILL_RATIO) if per_vm.cpu_millicores else 0.0] + [
        used / (room * FILL_RATIO)
        for used, room in (
            (asked.cpu_millicores, per_vm.cpu_millicores),
            (asked.memory_mb, per_vm.memory_mb),
            (asked.gpus, per_vm.gpus),
        )
        if room
    ]
    return max(math.ceil(max(shares, default=0.0)), load.spread_workers_min)


def _mean_capacity(vms: Sequence[LendableVm]) -> Resources:
    total = vms[0].capacity if vms else None
    if total is None:
        raise ValueError("no VMs")
    for vm in vms[1:]:
        total = total + vm.capacity
    return type(total)(
        total.cpu_millicores // len(vms), total.memory_mb // len(vms), total.gpus // len(vms)
    )

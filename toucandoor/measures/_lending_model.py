"""Fluid model of lending VMs between pools whose demand peaks one after another."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.models import Resources
from toucandoor.core.pools.lending import LendableVm
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.ids import PoolId, VmId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.pools.lending import LendingPolicy

VM_RESOURCES: Final = Resources(64_000, 262_144, 0)
POOLS: Final = [PoolId(f"p{number}") for number in range(4)]
SPARE: Final = PoolId("spare")
VMS_PER_POOL: Final = 6
TICK_S: Final = 0.2
PEAK_S: Final = 4.5
MOVE_S: Final = 1.5
"""Duration of a VM's move between pools on the users' deployments."""
PEAK_RATIO: Final = 1.6
"""Demand of a pool in its peak, as a multiple of its six VMs' cores."""
OFF_PEAK_RATIO: Final = 0.05
"""Demand of a pool outside its peak, as a multiple of its six VMs' cores."""
JITTER_RATIO: Final = 0.3
"""Largest random deviation of a tick's demand from its mean, as a part of it."""


@dataclass
class LendingModel:
    """Pools as queues of work in core-seconds, which a VM works off with all its cores.

    Attributes:
        policy: Plans the moves; None keeps every VM in its pool.
        seed: Seed of the random deviation of demand.
        peak_ratio: Demand of a pool in its peak, as a multiple of its VMs' cores.
        pool_of_vm: Pool of each VM.
        move_ends_s: Time at which the last move of each moved VM ends.
        backlog: Work that waits or runs, in core-seconds, by pool.
        waited_core_s2: Work that waited, in core-seconds, times the seconds that it waited.
        vm_s: Total time of VMs in pools that are paid for: all but the spare pool.
        moves: Number of moves.
    """

    policy: LendingPolicy | None
    seed: int = 1
    peak_ratio: float = PEAK_RATIO
    pool_of_vm: dict[VmId, PoolId] = field(default_factory=dict)
    move_ends_s: dict[VmId, float] = field(default_factory=dict)
    backlog: dict[PoolId, float] = field(default_factory=dict)
    waited_core_s2: float = 0.0
    vm_s: float = 0.0
    moves: int = 0

    def run(self, duration_s: float = 36.0) -> None:
        """Run the model for some seconds from its initial state."""
        self._random = random.Random(self.seed)
        for number in range((len(POOLS) + 1) * VMS_PER_POOL):
            self.pool_of_vm[VmId(f"m{number}")] = [*POOLS, SPARE][number // VMS_PER_POOL]
        self.backlog = dict.fromkeys(POOLS, 0.0)
        for tick in range(int(duration_s / TICK_S)):
            self._step(tick * TICK_S)

    def _step(self, now_s: float) -> None:
        peak_index = int(now_s / PEAK_S) % len(POOLS)
        arriving: dict[PoolId, float] = {}
        cores = VMS_PER_POOL * VM_RESOURCES.cpu_millicores / 1000
        for number, pool in enumerate(POOLS):
            mean = cores * (self.peak_ratio if number == peak_index else OFF_PEAK_RATIO)
            arriving[pool] = mean * self._random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
            self.backlog[pool] += arriving[pool] * TICK_S
            vms_here = sum(now_s >= self.move_ends_s.get(vm, 0.0) for vm in self._vms_in_pool(pool))
            done = min(self.backlog[pool], vms_here * VM_RESOURCES.cpu_millicores / 1000 * TICK_S)
            self.backlog[pool] -= done
            self.waited_core_s2 += self.backlog[pool] * TICK_S
        self.vm_s += sum(len(self._vms_in_pool(pool)) for pool in POOLS) * TICK_S
        if self.policy is not None:
            self._apply_policy(self.policy, arriving, now_s)

    def _apply_policy(
        self, policy: LendingPolicy, arriving: dict[PoolId, float], now_s: float
    ) -> None:
        loads: dict[PoolId, PoolLoad] = {}
        vms: list[LendableVm] = []
        for pool in [*POOLS, SPARE]:
            busy_vms = 0
            if pool != SPARE:
                load = loads[pool] = PoolLoad(pool)
                load.waiting = Resources(int(self.backlog[pool] * 1000), 0, 0)
                load.arriving_later = Resources(int(arriving[pool] * 1000), 0, 0)
                needed_millicores = int((self.backlog[pool] + arriving[pool]) * 1000)
                busy_vms = -(-needed_millicores // VM_RESOURCES.cpu_millicores)
            for number, vm in enumerate(self._vms_in_pool(pool)):
                moving = now_s < self.move_ends_s.get(vm, 0.0)
                vms.append(
                    LendableVm(vm, pool, not moving and number >= busy_vms, moving, VM_RESOURCES)
                )
        for move in policy.plan(loads, vms, POOLS, frozenset({SPARE}), now_s):
            self.pool_of_vm[move.vm_id] = move.pool
            self.move_ends_s[move.vm_id] = now_s + MOVE_S
            self.moves += 1

    def _vms_in_pool(self, pool: PoolId) -> Sequence[VmId]:
        return [vm for vm, current in self.pool_of_vm.items() if current == pool]

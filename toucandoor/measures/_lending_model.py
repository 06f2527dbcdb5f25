"""Pools under demand in turns, for lending policies: fluid work, VMs that take time to move."""

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

VM: Final = Resources(64_000, 262_144, 0)
POOLS: Final = [PoolId(f"p{number}") for number in range(4)]
SPARE: Final = PoolId("spare")
PER_POOL: Final = 6
TICK_S: Final = 0.2
TURN_S: Final = 4.5
MOVE_S: Final = 1.5
"""Time of a move on the users' deployments."""
PEAK_RATIO: Final = 1.6
"""What a pool asks in its turn, as a multiple of its six VMs."""
IDLE_RATIO: Final = 0.05
UNEVEN_RATIO: Final = 0.3
"""How far a tick's demand is off its mean, either way."""


@dataclass
class LendingModel:
    """Pools as queues of work in core-seconds; a VM works off its cores' time.

    Attributes:
        policy: Moves the VMs; None leaves them where they are.
        seed: Of the unevenness of demand.
        peak_ratio: What a pool asks in its turn, as a multiple of its VMs.
        where: Pool of each VM.
        arriving_until_s: VMs on their way.
        backlog: Work that waits or runs, by pool.
        waited_core_s2: Work that waited, times the seconds that it did.
        vm_s: Time of VMs in pools that are paid for.
        moves: Number of moves.
    """

    policy: LendingPolicy | None
    seed: int = 1
    peak_ratio: float = PEAK_RATIO
    where: dict[VmId, PoolId] = field(default_factory=dict)
    arriving_until_s: dict[VmId, float] = field(default_factory=dict)
    backlog: dict[PoolId, float] = field(default_factory=dict)
    waited_core_s2: float = 0.0
    vm_s: float = 0.0
    moves: int = 0

    def play(self, for_s: float = 36.0) -> None:
        """Play some seconds from the start."""
        self._random = random.Random(self.seed)
        for number in range((len(POOLS) + 1) * PER_POOL):
            self.where[VmId(f"m{number}")] = [*POOLS, SPARE][number // PER_POOL]
        self.backlog = dict.fromkeys(POOLS, 0.0)
        for tick in range(int(for_s / TICK_S)):
            self._step(tick * TICK_S)

    def _step(self, now_s: float) -> None:
        turn = int(now_s / TURN_S) % len(POOLS)
        arriving: dict[PoolId, float] = {}
        cores = PER_POOL * VM.cpu_millicores / 1000
        for number, pool in enumerate(POOLS):
            mean = cores * (self.peak_ratio if number == turn else IDLE_RATIO)
            arriving[pool] = mean * self._random.uniform(1 - UNEVEN_RATIO, 1 + UNEVEN_RATIO)
            self.backlog[pool] += arriving[pool] * TICK_S
            here = sum(now_s >= self.arriving_until_s.get(vm, 0.0) for vm in self._in_pool(pool))
            done = min(self.backlog[pool], here * VM.cpu_millicores / 1000 * TICK_S)
            self.backlog[pool] -= done
            self.waited_core_s2 += self.backlog[pool] * TICK_S
        self.vm_s += sum(len(self._in_pool(pool)) for pool in POOLS) * TICK_S
        if self.policy is not None:
            self._move(self.policy, arriving, now_s)

    def _move(self, policy: LendingPolicy, arriving: dict[PoolId, float], now_s: float) -> None:
        loads: dict[PoolId, PoolLoad] = {}
        vms: list[LendableVm] = []
        for pool in [*POOLS, SPARE]:
            busy_vms = 0
            if pool != SPARE:
                load = loads[pool] = PoolLoad(pool)
                load.waiting = Resources(int(self.backlog[pool] * 1000), 0, 0)
                load.arriving_cpu_millicores = arriving[pool] * 1000
                asked_millicores = int((self.backlog[pool] + arriving[pool]) * 1000)
                busy_vms = -(-asked_millicores // VM.cpu_millicores)
            for number, vm in enumerate(self._in_pool(pool)):
                coming = now_s < self.arriving_until_s.get(vm, 0.0)
                vms.append(LendableVm(vm, pool, not coming and number >= busy_vms, coming, VM))
        for move in policy.plan(loads, vms, POOLS, frozenset({SPARE}), now_s):
            self.where[move.vm_id] = move.pool
            self.arriving_until_s[move.vm_id] = now_s + MOVE_S
            self.moves += 1

    def _in_pool(self, pool: PoolId) -> Sequence[VmId]:
        return [vm for vm, where in self.where.items() if where == pool]

"""Execution of the lending policy's moves while this process owns the schedule."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.failure_domains.models import SLOW_RATIO
from toucandoor.core.pools.lending import LendableVm, PoolMove
from toucandoor.core.scheduling.cordons import MOVE_CORDON
from toucandoor.core.scheduling.start_log import VmOrder
from toucandoor.core.scheduling.workers import VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from toucandoor.core.maintenance.vm_list import VmList
    from toucandoor.core.maintenance.vm_orders import VmOrderLog
    from toucandoor.core.scheduling.scheduler import Scheduler
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.core.scheduling.workers import VmEntry, VmRefusal
    from toucandoor.ids import PoolId, VmId, WorkerId

_LOGGER = logging.getLogger(__name__)

PLAN_EVERY_S: Final = 0.2
"""Time between planning runs; a load peak lasts some seconds, a move takes 1.5 s."""
RETRY_S: Final = 1.0
"""Delay before a VM whose move was refused or not answered is moved again."""
READY_S: Final = 0.5
"""Time from the end of a move until the new backend server is listed and has answered."""
SETTLE_S: Final = 2.0
"""Time beyond a move's duration for which its VM counts as arriving without being usable."""


class VmLender:
    """Orders the moves of VMs between pools that the lending policy plans.

    Args:
        scheduler: Scheduler of the backend servers on the VMs.
        vm_list: The platform's VM list.
        now_s: The monotonic clock.
        order_log: Recent orders on VMs, also by former owners.
        move_s: Duration of a move.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        vm_list: VmList,
        now_s: Callable[[], float],
        *,
        order_log: VmOrderLog,
        move_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._vm_list = vm_list
        self._now_s = now_s
        self._order_log = order_log
        self._move_s = move_s
        self._lead_s = move_s + READY_S
        self._policy = scheduler.state.policies.lending()
        self._next_plan_s = 0.0
        self._in_flight: dict[VmId, WorkerId | None] = {}
        self._arriving_until_s: dict[VmId, float] = {}
        self._retry_at_s: dict[VmId, float] = {}

    @property
    def active(self) -> bool:
        """Whether moves are under way."""
        return bool(self._in_flight or self._arriving_until_s)

    def on_move_begun(self, move: PoolMove) -> None:
        """Handle the answer that a move has begun, or was done before."""
        now_s = self._now_s()
        worker = self._end_order(move)
        if worker is not None and worker.entry.pool != move.pool:
            # A boot in the target pool is not the one that the move has ended.
            self._scheduler.registry.boot_ended(worker, "was moved to another pool with its VM")
        self._arriving_until_s[move.vm_id] = now_s + self._move_s + SETTLE_S
        self._vm_list.on_move_begun(move.vm_id, move.pool)
        _LOGGER.info(
            "pools: move of VM %s has begun",
            move.vm_id,
            extra={"vm": move.vm_id, "pool": move.pool},
        )

    def on_move_refused(self, move: PoolMove, refusal: VmRefusal | None) -> None:
        """Handle a move that the platform refused, or did not answer (None)."""
        worker = self._end_order(move)
        if worker is not None and refusal is None:
            worker.record_vm_order(VmOrder.MOVE_UNANSWERED, self._now_s())
        self._retry_at_s[move.vm_id] = self._now_s() + RETRY_S
        self._vm_list.schedule_read()
        _LOGGER.info(
            "pools: move of VM %s was refused or not answered",
            move.vm_id,
            extra={"vm": move.vm_id, "reason": refusal.value if refusal else "no answer"},
        )

    def _end_order(self, move: PoolMove) -> WorkerView | None:
        """Forget an order that was answered or given up; return the boot that was on its VM."""
        worker_id = self._in_flight.pop(move.vm_id, None)
        worker = self._scheduler.workers.get(worker_id) if worker_id is not None else None
        if worker is not None:
            worker.cordons.discard(MOVE_CORDON)
        registry = self._scheduler.registry
        for boot in registry.boots_on((move.vm_id,)):
            # It has ended, unless the move was not made. It may have become known only while the
            # order was under way.
            registry.require_heartbeat(boot)
        return worker

    def due_moves(self, busy: Collection[VmId]) -> list[PoolMove]:
        """Return the moves to order now.

        Args:
            busy: VMs that are vacated or down for maintenance.
        """
        now_s = self._now_s()
        configuration = self._scheduler.configuration
        if configuration is None or now_s < self._next_plan_s or self._vm_list.read_at_s is None:
            return []
        self._next_plan_s = now_s + PLAN_EVERY_S
        workers = self._scheduler.registry.by_vm()
        self._forget_arrived(workers, now_s)
        spare = frozenset(pool.name for pool in configuration.pools.values() if pool.spare)
        serving = {queue.pool for queue in configuration.queues.values()} - spare
        vms = [
            lendable
            for vm in self._vm_list.vms.values()
            if vm.vm_id not in busy
            and (lendable := self._lendable(vm, workers.get(vm.vm_id), spare, now_s)) is not None
        ]
        if not vms:
            return []
        loads = self._scheduler.pool_loads.current(self._lead_s)
        moves = self._policy.plan(loads, vms, sorted(serving), spare, now_s)
        for move in moves:
            worker = workers.get(move.vm_id)
            self._in_flight[move.vm_id] = worker.entry.worker_id if worker is not None else None
            if worker is not None:
                worker.cordons.add(MOVE_CORDON)
        return moves

    def _lendable(
        self, vm: VmEntry, worker: WorkerView | None, spare: frozenset[PoolId], now_s: float
    ) -> LendableVm | None:
        """Return the policy's view of a VM; None for a VM that it must not consider now."""
        if vm.vm_id in self._in_flight or self._scheduler.evacuation.evacuated(vm.data_centre):
            return None
        if vm.vm_id in self._arriving_until_s or vm.state is VmState.MOVING:
            return LendableVm(vm.vm_id, vm.pool, False, True, vm.capacity)
        if not self._order_log.may_order(vm.vm_id):
            return LendableVm(vm.vm_id, vm.pool, False, False, vm.capacity)
        if vm.state is not VmState.UP or now_s < self._retry_at_s.get(vm.vm_id, 0.0):
            return None
        if vm.pool in spare:
            return LendableVm(vm.vm_id, vm.pool, True, False, vm.capacity)
        if worker is None or not worker.usable(now_s):
            return None
        slow = self._scheduler.state.failure_domains.slowness(worker) > SLOW_RATIO
        return LendableVm(vm.vm_id, vm.pool, worker.empty, False, vm.capacity, slow)

    def _forget_arrived(self, workers: dict[VmId, WorkerView], now_s: float) -> None:
        for vm_id, until_s in list(self._arriving_until_s.items()):
            vm = self._vm_list.vms.get(vm_id)
            worker = workers.get(vm_id)
            here = (
                vm is not None
                and worker is not None
                and worker.entry.pool == vm.pool
                and worker.usable(now_s)
            )
            if here or vm is None or now_s > until_s:
                del self._arriving_until_s[vm_id]

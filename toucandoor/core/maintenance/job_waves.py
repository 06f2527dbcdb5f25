"""Maintenance waves over VMs that operators list, carried out by the owner of the schedule.

All VMs of a wave are due within a given time, while the load peaks in one queue after another. VMs
with the fewest runs are vacated first, and no more at once than the remaining time requires.
"""

from __future__ import annotations

import logging
import math
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from toucandoor.core.maintenance.job_wave_models import (
    MaintainVm,
    SaveWaveProgress,
    VmWaveOrder,
    WaveAction,
    WaveRecord,
    WaveState,
)
from toucandoor.core.maintenance.vacated_servers import (
    blocked_servers,
    has_kind,
    may_be_vacated,
    servers_to_give_back,
)
from toucandoor.core.scheduling.cordons import Cordon, CordonSource
from toucandoor.core.scheduling.start_log import VmOrder
from toucandoor.core.scheduling.workers import VmRefusal, VmState
from toucandoor.ids import VmId

if TYPE_CHECKING:
    from toucandoor.clock import Clock
    from toucandoor.core.maintenance.vm_list import VmList
    from toucandoor.core.maintenance.vm_orders import VmOrderLog
    from toucandoor.core.scheduling.scheduler import Scheduler
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.ids import PoolId

_LOGGER = logging.getLogger(__name__)

VM_CYCLE_S: Final = 5.0
"""Time for one VM: the end of its tasks, maintenance of 2 s, the first answer after it."""
END_MARGIN_S: Final = 4.0
"""Reserve in a wave's time for a change of owner during the wave."""
STOP_TASKS_AFTER_S: Final = 4.0
"""Time after which tasks on a VM to be maintained are stopped; nearly all tasks are shorter."""
SPARE_KEPT_RATIO: Final = 0.5
"""Part of a spare pool's VMs that stays available for lending while others are maintained."""
RETRY_S: Final = 0.5
"""Delay after the platform refused an order or did not answer."""


class WaveCoordinator:
    """Carries out waves while this process owns the schedule."""

    def __init__(
        self,
        scheduler: Scheduler,
        vm_list: VmList,
        clock: Clock,
        *,
        order_log: VmOrderLog,
        maintenance_s: float,
    ) -> None:
        """Initialize.

        Args:
            scheduler: Scheduler of the backend servers on the VMs.
            vm_list: The platform's VM list.
            clock: Source of monotonic and wall-clock time.
            order_log: Recent orders on VMs, also by former owners.
            maintenance_s: Duration of a VM's maintenance.
        """
        self._scheduler = scheduler
        self._clock = clock
        self._now_s = clock.monotonic_s
        self._order_log = order_log
        self._maintenance_s = maintenance_s
        self._waves: dict[int, WaveState] = {}
        self._vm_list = vm_list

    @property
    def active(self) -> bool:
        """Whether any wave is not finished."""
        return any(not self._is_finished(wave) for wave in self._waves.values())

    def restore(self, number: int, record: WaveRecord, *, completed: bool) -> None:
        """Take over the progress of a wave that a former owner has written."""
        now_s = self._now_s()
        order = VmWaveOrder(number, (), 0.0, 0, now_s)
        # This process may have seen the order late, after its own start.
        left_s = record.due_unix_ms / 1000 - self._clock.now().timestamp()
        due_s = now_s + left_s if record.due_unix_ms else math.inf
        wave = self._waves.setdefault(number, WaveState(order, due_s, ordered=False))
        wave.begun |= set(record.begun)
        wave.saved = (len(wave.begun), completed)

    def on_order(self, order: VmWaveOrder) -> None:
        """Handle an operators' order; one that is known already changes nothing."""
        wave = self._waves.get(order.number)
        if wave is not None and wave.ordered:
            return
        order = replace(order, vms=tuple(dict.fromkeys(order.vms)))
        due_s = order.seen_at_s + order.within_s
        if wave is None:
            wave = self._waves[order.number] = WaveState(order, due_s)
        else:
            wave.order, wave.ordered = order, True
            wave.due_s = min(wave.due_s, due_s)
        others = [each for each in self._waves.values() if each is not wave]
        shared = {vm_id for each in others for vm_id in each.order.vms} & set(order.vms)
        _LOGGER.info(
            "maintenance: wave %s is ordered",
            order.number,
            extra={
                "vms": len(order.vms),
                "within_s": order.within_s,
                "down_max": order.down_max,
                "begun": len(wave.begun),
                "shared": len(shared),
            },
        )
        if order.down_max < 1:
            _LOGGER.error(
                "maintenance: wave %s lets no VM be down, so it can't be carried out",
                order.number,
                extra={"wave": order.number, "down_max": order.down_max},
            )

    @property
    def vms_in_progress(self) -> set[VmId]:
        """VMs that are vacated or down for a wave."""
        down = {vm_id for wave in self._waves.values() for vm_id in wave.down_since_s}
        return self.vms_vacated | down

    @property
    def vms_vacated(self) -> set[VmId]:
        """VMs whose servers get no new runs until their maintenance has begun."""
        return {vm_id for wave in self._waves.values() for vm_id in wave.vacating_since_s}

    def on_vm_list(self, asked_at_s: float) -> None:
        """Handle a read of the VM list.

        Args:
            asked_at_s: When the read was sent, on the monotonic clock.
        """
        for wave in self._waves.values():
            self._check_vms(wave)
            for vm_id in wave.order.vms:
                self._update_down(wave, vm_id, asked_at_s)

    def _check_vms(self, wave: WaveState) -> None:
        """Warn once about VMs that don't exist; nothing is done for them."""
        if wave.vms_checked or not wave.ordered:
            return
        wave.vms_checked = True
        unknown = [vm_id for vm_id in wave.order.vms if not self._is_listed(vm_id)]
        if unknown:
            _LOGGER.warning(
                "maintenance: wave %s names VMs that the platform does not list",
                wave.order.number,
                extra={"wave": wave.order.number, "vms": len(unknown), "vm": unknown[0]},
            )

    def _update_down(self, wave: WaveState, vm_id: VmId, asked_at_s: float) -> None:
        vm = self._vm_list.vms.get(vm_id)
        down_since_s = wave.down_since_s.get(vm_id)
        if vm is not None and vm.state is VmState.MAINTENANCE:
            wave.down_since_s.setdefault(vm_id, asked_at_s)
        elif (
            down_since_s is not None
            and vm_id not in wave.in_flight
            and asked_at_s > down_since_s + self._maintenance_s
        ):
            del wave.down_since_s[vm_id]

    def on_maintenance_begun(self, order: MaintainVm) -> None:
        """Handle the answer that a VM's maintenance has begun, now or before."""
        wave = self._waves[order.wave]
        wave.in_flight.discard(order.vm_id)
        wave.begun.add(order.vm_id)
        wave.down_since_s[order.vm_id] = self._now_s()
        wave.vacating_since_s.pop(order.vm_id, None)
        for worker in self._scheduler.registry.boots_on((order.vm_id,)):
            # It has ended, unless the maintenance had been done before and it was started after it.
            # It may have become known only while the order was under way.
            self._scheduler.registry.require_heartbeat(worker)
            worker.record_vm_order(VmOrder.MAINTENANCE, self._now_s())
        _LOGGER.info(
            "maintenance: maintenance of the VM has begun",
            extra={"vm": order.vm_id, "wave": order.wave, "begun": len(wave.begun)},
        )

    def on_maintenance_refused(self, order: MaintainVm, refusal: VmRefusal | None) -> None:
        """Handle an order that the platform refused, or did not answer (None)."""
        wave = self._waves[order.wave]
        now_s = self._now_s()
        wave.in_flight.discard(order.vm_id)
        wave.retry_at_s[order.vm_id] = now_s + RETRY_S
        if refusal is None:
            wave.down_since_s[order.vm_id] = now_s  # it may have begun
            for worker in self._scheduler.registry.boots_on((order.vm_id,)):
                worker.record_vm_order(VmOrder.MAINTENANCE_UNANSWERED, now_s)
        else:
            wave.down_since_s.pop(order.vm_id, None)
        if refusal in (VmRefusal.NOT_IN_WAVE, VmRefusal.REJECTED, VmRefusal.BUSY):
            self._vm_list.schedule_read()
            wave.retry_at_s[order.vm_id] = now_s + 2 * RETRY_S
        _LOGGER.info(
            "maintenance: order for the VM was refused or not answered",
            extra={
                "vm": order.vm_id,
                "wave": order.wave,
                "reason": refusal.value if refusal else "no answer",
            },
        )

    def on_progress_saved(self, order: SaveWaveProgress, *, ok: bool) -> None:
        """Handle the end of a write of a wave's progress."""
        wave = self._waves[order.wave]
        wave.save_in_flight = False
        if ok:
            wave.saved = (len(order.record.begun), order.completed)
        else:
            wave.save_after_s = self._now_s() + RETRY_S

    def due_actions(self) -> list[WaveAction]:
        """Return the orders and writes that are due, and vacate the next VMs."""
        now_s = self._now_s()
        orders: list[WaveAction] = []
        for wave in self._waves.values():
            if not wave.ordered:
                continue
            if self._vm_list.read_at_s is not None:
                self._advance(wave, now_s, orders)
            self._save(wave, now_s, orders)
        return orders

    def _advance(self, wave: WaveState, now_s: float, orders: list[WaveAction]) -> None:
        remaining = [
            vm_id for vm_id in wave.order.vms if self._is_listed(vm_id) and vm_id not in wave.begun
        ]
        workers = self._scheduler.registry.by_vm()
        self._forget_returned(wave, workers)
        for vm_id in list(wave.vacating_since_s):
            if vm_id not in remaining:
                del wave.vacating_since_s[vm_id]
        blocked = self._give_back(wave, workers)
        for vm_id in self._next_to_vacate(wave, remaining, workers, now_s, blocked):
            wave.vacating_since_s[vm_id] = now_s
        self._update_cordons(wave, workers)
        for vm_id, since_s in list(wave.vacating_since_s.items()):
            worker = workers.get(vm_id)
            if worker is not None:
                overdue = now_s - since_s > STOP_TASKS_AFTER_S
                self._scheduler.registry.vacate(worker, at_once=overdue)
            if (worker is None or not worker.runs) and self._may_begin(wave, vm_id, now_s):
                wave.in_flight.add(vm_id)
                wave.down_since_s[vm_id] = now_s
                orders.append(MaintainVm(vm_id, wave.order.number))

    def _give_back(self, wave: WaveState, workers: dict[VmId, WorkerView]) -> set[VmId]:
        """Put servers back into use that alone may have room for tasks; return the VMs blocked.

        The tasks have no run, or are on servers that are vacated at the same time.
        """
        stops = self._scheduler.planned_stops
        vacated = {vm_id: workers[vm_id] for vm_id in self.vms_vacated & workers.keys()}
        blocked = blocked_servers(vacated, stops.without_room)
        given_back = servers_to_give_back(vacated, blocked)
        given_back |= {vm_id for vm_id, worker in vacated.items() if worker in stops.needed}
        for vm_id in (given_back - wave.down_since_s.keys()) & wave.vacating_since_s.keys():
            del wave.vacating_since_s[vm_id]
            _LOGGER.info(
                "maintenance: VM is given back, as it alone may have room for some tasks",
                extra={"vm": vm_id, "wave": wave.order.number},
            )
        return set().union(*blocked.values()) - given_back

    def _update_cordons(self, wave: WaveState, workers: dict[VmId, WorkerView]) -> None:
        """Keep the servers out of use whose VMs this wave vacates, and no others."""
        cordon = Cordon(CordonSource.WAVE, wave.order.number)
        vacated = {workers[vm_id] for vm_id in wave.vacating_since_s if vm_id in workers}
        for worker in wave.cordoned - vacated:
            worker.cordons.discard(cordon)
        for worker in vacated - wave.cordoned:
            worker.cordons.add(cordon)
        wave.cordoned = vacated

    def _next_to_vacate(
        self,
        wave: WaveState,
        remaining: list[VmId],
        workers: dict[VmId, WorkerView],
        now_s: float,
        blocked: set[VmId],
    ) -> list[VmId]:
        """Return the VMs to vacate next, those with the fewest VMs of their pool in progress first.

        Among these, VMs with the fewest runs come first. A VM without runs, in a pool with no other
        VM in progress, is vacated at once, and so is a part of the VMs of a spare pool, which are
        off; others only as many as the remaining time requires.
        At most one VM more than ``down_max`` is in progress, besides those that are blocked, as
        their tasks have no room; `_may_begin` bounds those down.
        """
        idle = [
            vm_id
            for vm_id in remaining
            if vm_id not in wave.vacating_since_s
            and ((worker := workers.get(vm_id)) is None or may_be_vacated(worker))
            and worker not in self._scheduler.planned_stops.needed
        ]
        time_left_s = wave.due_s - END_MARGIN_S - now_s
        required = math.ceil(len(remaining) * VM_CYCLE_S / max(time_left_s, VM_CYCLE_S))
        busy = set(wave.vacating_since_s) - blocked | set(wave.down_since_s)
        disturbed: dict[str, int] = {}
        for vm_id in busy:
            vm = self._vm_list.vms.get(vm_id)
            if vm is not None:
                disturbed[vm.pool] = disturbed.get(vm.pool, 0) + 1

        dispensable = self._dispensable_spare_vms()

        def burden(vm_id: VmId) -> tuple[int, int]:
            worker = workers.get(vm_id)
            runs = len(worker.runs) if worker is not None else 0
            pool = self._vm_list.vms[vm_id].pool
            in_progress = disturbed.get(pool, 0)
            return (in_progress if in_progress >= dispensable.get(pool, 1) else 0, runs)

        kinds = set(self._scheduler.planned_stops.without_room.values())
        chosen: list[VmId] = []
        while idle and wave.order.down_max > 0 and len(busy) + len(chosen) <= wave.order.down_max:
            vm_id = min(idle, key=burden)
            vacant = burden(vm_id) == (0, 0)
            if not vacant and len(busy) + len(chosen) >= required:
                break
            idle.remove(vm_id)
            if has_kind(self._scheduler.state, workers.get(vm_id), kinds):
                continue
            chosen.append(vm_id)
            pool = self._vm_list.vms[vm_id].pool
            disturbed[pool] = disturbed.get(pool, 0) + 1
        return chosen

    def _dispensable_spare_vms(self) -> dict[PoolId, int]:
        """Return how many VMs of each spare pool may be maintained at once without need."""
        configuration = self._scheduler.configuration
        pools = configuration.pools.values() if configuration is not None else ()
        sizes = {pool.name: 0 for pool in pools if pool.spare}
        for vm in self._vm_list.vms.values():
            if vm.pool in sizes:
                sizes[vm.pool] += 1
        return {pool: int(size * (1 - SPARE_KEPT_RATIO)) for pool, size in sizes.items()}

    def _may_begin(self, wave: WaveState, vm_id: VmId, now_s: float) -> bool:
        vm = self._vm_list.vms.get(vm_id)
        return (
            vm is not None
            and vm.state is VmState.UP
            and vm_id not in wave.in_flight
            and self._order_log.may_order(vm_id)
            and now_s >= wave.retry_at_s.get(vm_id, 0.0)
            and len(set(wave.down_since_s) - {vm_id}) < wave.order.down_max
        )

    def _forget_returned(self, wave: WaveState, workers: dict[VmId, WorkerView]) -> None:
        """Remove VMs from those down once their new backend server is in the schedule."""
        now_s = self._now_s()
        for vm_id, since_s in list(wave.down_since_s.items()):
            worker = workers.get(vm_id)
            vm = self._vm_list.vms.get(vm_id)
            if vm_id in wave.in_flight or worker is None or vm is None:
                continue
            renewed = worker.entry.worker_id != vm.worker_id or vm_id in wave.begun
            over = now_s - since_s > self._maintenance_s
            if renewed and over and worker.listed and worker.contacted:
                del wave.down_since_s[vm_id]

    def _is_listed(self, vm_id: VmId) -> bool:
        return vm_id in self._vm_list.vms

    def _is_finished(self, wave: WaveState) -> bool:
        if wave.saved is not None and wave.saved[1]:
            return True
        if self._vm_list.read_at_s is None or not wave.ordered:
            return False
        return all(vm_id in wave.begun or not self._is_listed(vm_id) for vm_id in wave.order.vms)

    def _save(self, wave: WaveState, now_s: float, orders: list[WaveAction]) -> None:
        state = (len(wave.begun), self._is_finished(wave))
        if wave.saved == state or wave.save_in_flight or now_s < wave.save_after_s:
            return
        wave.save_in_flight = True
        due_unix_s = self._clock.now().timestamp() + wave.due_s - now_s
        record = WaveRecord(tuple(sorted(wave.begun)), int(due_unix_s * 1000))
        orders.append(SaveWaveProgress(wave.order.number, record, state[1]))

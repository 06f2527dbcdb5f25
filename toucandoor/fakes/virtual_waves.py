"""VMs of a virtual fleet: their list, and maintenance waves, carried out by each owner in turn."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from toucandoor.core.maintenance.job_wave_models import (
    MaintainVm,
    SaveWaveProgress,
    VmWaveOrder,
    decode_wave_record,
    encode_wave_record,
)
from toucandoor.core.maintenance.job_waves import WaveCoordinator
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import VmOrderLog, VmOrdersRecord
from toucandoor.core.scheduling.workers import VmEntry, VmState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.fakes.virtual_calls import OwnerTerm
    from toucandoor.fakes.virtual_fleet import VirtualFleet
    from toucandoor.fakes.virtual_platform import VirtualWorker
    from toucandoor.ids import VmId

ADVANCE_INTERVAL_S = 0.01
LIST_INTERVAL_S = 0.5
CALL_S = 0.01
"""Duration of an order on a VM and of a write of a wave's progress."""
TIMEOUT_S = 1.5
"""Time after which an order on a VM counts as not answered."""
MAINTENANCE_S = 2.0


class VirtualWaves:
    """Operators' waves, and the platform that lists and maintains VMs, in virtual time.

    Each VM has one backend server at a time; after its maintenance it starts another one.

    Args:
        fleet: The fleet; its servers name their VMs.

    Attributes:
        due_s: When the maintenance of all VMs of a wave must have begun, by wave.
        begun_s: When the maintenance of a VM began, by wave and VM.
        choose_list_delay_s: Returns the delay of an answer of the VM list, in seconds.
        choose_order_delay_s: Returns the time until an order on a VM is carried out, in seconds.
        handover_gap_s: Time for which a VM that a former owner has ordered gets no order.
        violations: Servers that could get tasks while a wave vacated their VMs.
        completed_s: When an owner reported a wave as completed, by wave.
    """

    def __init__(self, fleet: VirtualFleet) -> None:
        self._fleet = fleet
        self._orders: list[VmWaveOrder] = []
        self.due_s: dict[int, float] = {}
        self.begun_s: dict[int, dict[VmId, float]] = {}
        self.completed_s: dict[int, float] = {}
        self.choose_list_delay_s: Callable[[], float] = lambda: CALL_S
        self.choose_order_delay_s: Callable[[], float] = lambda: CALL_S
        self.handover_gap_s = 0.0
        self.violations: list[str] = []
        self._records: dict[int, tuple[bytes, bool]] = {}
        self._down_until_s: dict[VmId, float] = {}
        self._boots = 0
        self._term: OwnerTerm | None = None
        self._next_list_s = 0.0
        self._vm_list = VmList(fleet.clock.monotonic_s)
        self._coordinator: WaveCoordinator | None = None
        self._order_log = VmOrderLog(fleet.clock, 0.0)
        self._order_record = VmOrdersRecord({})
        self._advance()

    def order(self, vms: Iterable[VmId], *, within_s: float, down_max: int) -> int:
        """Order a wave and return its number."""
        now_s = self._fleet.clock.monotonic_s()
        order = VmWaveOrder(len(self._orders) + 1, tuple(vms), within_s, down_max, now_s)
        self._orders.append(order)
        self.due_s[order.number] = now_s + within_s
        self.begun_s[order.number] = {}
        return order.number

    def worker(self, vm_id: VmId) -> VirtualWorker | None:
        """Return the running backend server on a VM."""
        for worker in self._fleet.workers.values():
            if worker.entry.vm_id == vm_id and worker.alive:
                return worker
        return None

    def is_off(self, vm_id: VmId) -> bool:
        """Return whether a VM has no backend server, and gets none by the end of a maintenance."""
        return self.worker(vm_id) is None and vm_id not in self._down_until_s

    def _advance(self) -> None:
        """Let the present owner carry out the waves, and come back later."""
        self._fleet.schedule(ADVANCE_INTERVAL_S, self._advance)
        owner, now_s = self._fleet.owner, self._fleet.clock.monotonic_s()
        if owner is None or not owner.alive or now_s < owner.paused_until_s:
            return
        if owner is not self._term:
            self._begin_term(owner)
        coordinator = self._coordinator
        assert coordinator is not None
        if now_s >= self._next_list_s:
            self._next_list_s = now_s + LIST_INTERVAL_S
            answer = partial(self._on_list, owner, coordinator, self._list_vms(), now_s)
            self._fleet.schedule(self.choose_list_delay_s(), answer)
        if not self._orders:
            return
        for order in self._orders:
            coordinator.on_order(order)
        for action in coordinator.due_actions():
            if isinstance(action, MaintainVm):
                self._send_order(coordinator, action)
            else:
                self._fleet.schedule(CALL_S, partial(self._save, coordinator, action))
        servers = owner.scheduler.registry.by_vm()
        for vm_id in coordinator.vms_vacated & servers.keys():
            if servers[vm_id].usable(now_s):
                self.violations.append(f"{vm_id} is vacated, and its server may get tasks")

    def _on_list(
        self,
        owner: OwnerTerm,
        coordinator: WaveCoordinator,
        vms: list[VmEntry],
        asked_at_s: float,
    ) -> None:
        """Pass an answer of the VM list to the owner that has asked for it."""
        if owner is not self._term or not owner.alive:
            return
        self._vm_list.on_read(vms, asked_at_s)
        coordinator.on_vm_list(asked_at_s)
        scheduler = owner.scheduler
        scheduler.state.policies.down_vms(scheduler.registry).on_vm_list(vms, asked_at_s)

    def _begin_term(self, owner: OwnerTerm) -> None:
        clock = self._fleet.clock
        self._term = owner
        self._next_list_s = 0.0
        self._vm_list = VmList(clock.monotonic_s)
        self._order_log = log = VmOrderLog(clock, self.handover_gap_s)
        log.restore(self._order_record)
        owner.scheduler.registry.await_former_orders(log.former_unix_ms, log.former_until_s)
        self._coordinator = WaveCoordinator(
            owner.scheduler,
            self._vm_list,
            clock,
            order_log=log,
            maintenance_s=MAINTENANCE_S,
        )
        for number, (record, completed) in self._records.items():
            self._coordinator.restore(number, decode_wave_record(record), completed=completed)

    def _list_vms(self) -> list[VmEntry]:
        listed: dict[VmId, VmEntry] = {}
        for worker in self._fleet.workers.values():
            entry = worker.entry
            if entry.vm_id is not None:
                state = VmState.DOWN if self.worker(entry.vm_id) is None else VmState.UP
                if entry.vm_id in self._down_until_s:
                    state = VmState.MAINTENANCE
                listed[entry.vm_id] = VmEntry(
                    entry.vm_id,
                    entry.pool,
                    state,
                    entry.data_centre,
                    entry.labels,
                    entry.capacity,
                    entry.worker_id,
                )
        return list(listed.values())

    def _send_order(self, coordinator: WaveCoordinator, order: MaintainVm) -> None:
        self._order_record = self._order_log.record_orders([order.vm_id])
        delay_s = self.choose_order_delay_s()
        if delay_s < TIMEOUT_S:
            self._fleet.schedule(delay_s, partial(self._maintain, coordinator, order))
            return
        self._fleet.schedule(delay_s, partial(self._maintain_unanswered, order))
        unanswered = partial(coordinator.on_maintenance_refused, order, None)
        self._fleet.schedule(TIMEOUT_S, unanswered)

    def _maintain_unanswered(self, order: MaintainVm) -> None:
        if order.vm_id not in self.begun_s[order.wave] and order.vm_id not in self._down_until_s:
            self._begin_maintenance(order)

    def _maintain(self, coordinator: WaveCoordinator, order: MaintainVm) -> None:
        begun = self.begun_s[order.wave]
        if order.vm_id not in begun:
            if order.vm_id in self._down_until_s:
                coordinator.on_maintenance_refused(order, None)
                return
            self._begin_maintenance(order)
        coordinator.on_maintenance_begun(order)

    def _begin_maintenance(self, order: MaintainVm) -> None:
        now_s = self._fleet.clock.monotonic_s()
        self.begun_s[order.wave][order.vm_id] = now_s
        self._down_until_s[order.vm_id] = now_s + MAINTENANCE_S
        worker = self.worker(order.vm_id)
        if worker is not None:
            self._fleet.crash(worker.entry.worker_id)
        self._fleet.schedule(MAINTENANCE_S, partial(self._end_maintenance, order.vm_id))

    def _end_maintenance(self, vm_id: VmId) -> None:
        del self._down_until_s[vm_id]
        if self.worker(vm_id) is not None:
            return
        self._boots += 1
        entries = [each.entry for each in self._fleet.workers.values()]
        entry = next(each for each in entries if each.vm_id == vm_id)
        self._fleet.boot(
            f"{vm_id}-{self._boots}",
            entry.pool,
            entry.capacity,
            labels=entry.labels,
            vm_id=vm_id,
            data_centre=entry.data_centre,
        )

    def _save(self, coordinator: WaveCoordinator, save: SaveWaveProgress) -> None:
        self._records[save.wave] = (encode_wave_record(save.record), save.completed)
        if save.completed:
            self.completed_s.setdefault(save.wave, self._fleet.clock.monotonic_s())
        coordinator.on_progress_saved(save, ok=True)

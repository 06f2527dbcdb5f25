"""Sends orders for VM maintenance and VM moves on behalf of the owner of the schedule."""

from __future__ import annotations

import logging
import threading
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.maintenance.job_wave_models import (
    WAVE_PROGRESS_PREFIX,
    MaintainVm,
    SaveWaveProgress,
    decode_wave_record,
    encode_wave_record,
)
from toucandoor.core.maintenance.job_waves import WaveCoordinator
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import (
    VM_ORDERS_KEY,
    VmOrderLog,
    VmOrdersRecord,
    decode_vm_orders,
    encode_vm_orders,
)
from toucandoor.core.pools.vm_lender import VmLender
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling.workers import OrderUnansweredError, VmRefusal, VmRefusedError
from toucandoor.exceptions import StoreAnswerLostError, ToucandoorError
from toucandoor.platform.operator_records import (
    WAVE_STATUS_PREFIX,
    encode_wave_status,
    wave_is_completed,
)

if TYPE_CHECKING:
    from toucandoor.adapters.owner_records import OwnerRecords
    from toucandoor.adapters.term_context import TermContext
    from toucandoor.core.jobs.models import Resources
    from toucandoor.core.pools.lending import PoolMove
    from toucandoor.core.records import Record, Snapshot
    from toucandoor.core.scheduling.workers import VmEntry

_LOGGER = logging.getLogger(__name__)

ORDER_RECORD_TRIES: Final = 4
"""Writes of a record of orders before the orders are given up; some answers may be lost."""
HOLDER_MARGIN_S: Final = 0.5
"""Added to `holder_lease_s`, the time within which two owners must not order the same VM in turn.
For the sum of both, a new owner sends no orders for a VM that a former one has just ordered."""


class OrderRecordWriter:
    """Writes the records of orders on VMs one after the other, from several threads.

    Args:
        records: Writes the records of the owner.
    """

    def __init__(self, records: OwnerRecords) -> None:
        self._records = records
        self._numbers = 0
        self._stored_number = 0
        self._lock = threading.Lock()

    def next_number(self) -> int:
        """Return the number of the next record; a record contains the orders of earlier ones."""
        self._numbers += 1
        return self._numbers

    def write(self, record: VmOrdersRecord, number: int) -> None:
        """Write a record unless a later one has been written; repeat the write if need be.

        Raises:
            ToucandoorError: The record was not stored, or may not have been.
        """
        transaction = Transaction(writes={VM_ORDERS_KEY: encode_vm_orders(record)})
        with self._lock:
            for tries_left in reversed(range(ORDER_RECORD_TRIES)):
                if number <= self._stored_number:
                    return
                try:
                    self._records.write(transaction)
                except StoreAnswerLostError:
                    if not tries_left:
                        raise
                else:
                    self._stored_number = number


class TermVms:
    """Runs the maintenance waves and VM lending of a term; sends its orders in a thread pool."""

    def __init__(self, term: TermContext) -> None:
        self._term = term
        settings, clock = term.dependencies.settings, term.dependencies.clock
        now_s = clock.monotonic_s
        self._vm_orders = VmOrderLog(clock, settings.holder_lease_s + HOLDER_MARGIN_S)
        self._order_records = OrderRecordWriter(term.records)
        self._vm_list = VmList(now_s)
        self._waves = WaveCoordinator(
            term.scheduler,
            self._vm_list,
            clock,
            order_log=self._vm_orders,
            maintenance_s=settings.vm_maintenance_s,
        )
        self._down_vms = term.scheduler.state.policies.down_vms(term.scheduler.registry)
        self._lender = VmLender(
            term.scheduler,
            self._vm_list,
            now_s,
            order_log=self._vm_orders,
            move_s=settings.vm_move_s,
        )

    def fleet_capacity(self) -> Resources:
        """Return the capacity of all VMs; nothing before the first read of the VM list."""
        return sum((vm.capacity for vm in self._vm_list.vms.values()), NO_RESOURCES)

    def restore(self, waves: Snapshot, statuses: Snapshot, vm_orders: Snapshot) -> None:
        """Restore the state that the former owner stored."""
        for snapshot in (waves, statuses, vm_orders):
            self._term.records.loaded(snapshot.records)
        completed = {
            record.key.removeprefix(WAVE_STATUS_PREFIX): wave_is_completed(record.value)
            for record in statuses.records
        }
        for record in vm_orders.records:
            self._restore_orders(record)
        for record in waves.records:
            number = record.key.removeprefix(WAVE_PROGRESS_PREFIX)
            self._restore_wave(int(number), record, completed=completed.get(number, False))

    def _restore_orders(self, record: Record) -> None:
        try:
            self._vm_orders.restore(decode_vm_orders(record.value))
        except msgspec.MsgspecError as err:
            _LOGGER.error("maintenance: record %s cannot be decoded: %s", record.key, err)
            return
        orders = self._vm_orders
        self._term.scheduler.registry.await_former_orders(
            orders.former_unix_ms, orders.former_until_s
        )

    def _restore_wave(self, number: int, record: Record, *, completed: bool) -> None:
        try:
            restored = decode_wave_record(record.value)
        except msgspec.MsgspecError as err:
            _LOGGER.error("maintenance: record %s cannot be decoded: %s", record.key, err)
            return
        self._waves.restore(number, restored, completed=completed)

    def submit_due_actions(self) -> None:
        """Submit the reads, writes and orders that waves and lending have due."""
        for wave in list(self._term.dependencies.configuration.waves.values()):
            self._waves.on_order(wave)
        # The list also tells whether the VM of a silent or unlisted server is down.
        state = self._term.scheduler.state
        silent = bool(state.failure_domains.silent_workers or state.former_boots)
        active = self._waves.active or self._lender.active or silent
        if self._vm_list.begin_read_if_due(active=active):
            self._term.submit(self._list_vms)
        vm_orders: list[MaintainVm | PoolMove] = []
        for order in self._waves.due_actions():
            if isinstance(order, MaintainVm):
                vm_orders.append(order)
            else:
                self._term.submit(partial(self._save_wave, order))
        vm_orders += self._lender.due_moves(self._waves.vms_in_progress)
        if vm_orders:
            record = self._vm_orders.record_orders(order.vm_id for order in vm_orders)
            number = self._order_records.next_number()
            self._term.submit(partial(self._send_orders, vm_orders, record, number))

    def _send_orders(
        self, orders: list[MaintainVm | PoolMove], record: VmOrdersRecord, number: int
    ) -> None:
        """Store which VMs are ordered, then submit the orders."""
        try:
            self._order_records.write(record, number)
        except ToucandoorError as err:
            _LOGGER.info(
                "vms: orders on VMs not sent, as storing them failed: %s",
                err,
                extra={"orders": len(orders)},
            )
            for order in orders:
                self._report_order_failure(order, VmRefusal.UNAVAILABLE)
            return
        for order in orders:
            if isinstance(order, MaintainVm):
                self._term.submit(partial(self._start_maintenance, order))
            else:
                self._term.submit(partial(self._move, order))

    def _report_order_failure(
        self, order: MaintainVm | PoolMove, refusal: VmRefusal | None
    ) -> None:
        if isinstance(order, MaintainVm):
            self._term.post(lambda: self._waves.on_maintenance_refused(order, refusal))
        else:
            self._term.post(lambda: self._lender.on_move_refused(order, refusal))

    def _move(self, move: PoolMove) -> None:
        vm = self._vm_list.vms.get(move.vm_id)
        evacuation = self._term.scheduler.evacuation
        if not self._term.may_act() or (vm and evacuation.evacuated(vm.data_centre)):
            self._report_order_failure(move, VmRefusal.UNAVAILABLE)
            return
        holder, token = self._term.dependencies.entry_id, self._term.scheduler.token
        try:
            self._term.dependencies.vms.move(move.vm_id, move.pool, holder, token)
        except VmRefusedError as err:
            self._report_order_failure(move, err.refusal)
        except OrderUnansweredError as err:
            _LOGGER.info(
                "pools: order to move a VM was not answered: %s", err, extra={"vm": move.vm_id}
            )
            self._report_order_failure(move, None)
        else:
            self._term.post(lambda: self._lender.on_move_begun(move))

    def _start_maintenance(self, order: MaintainVm) -> None:
        if not self._term.may_act():
            self._report_order_failure(order, VmRefusal.UNAVAILABLE)
            return
        holder, token = self._term.dependencies.entry_id, self._term.scheduler.token
        try:
            self._term.dependencies.vms.start_maintenance(order.vm_id, order.wave, holder, token)
        except VmRefusedError as err:
            self._report_order_failure(order, err.refusal)
        except OrderUnansweredError as err:
            _LOGGER.info(
                "maintenance: order to start maintenance was not answered: %s",
                err,
                extra={"vm": order.vm_id},
            )
            self._report_order_failure(order, None)
        else:
            self._term.post(lambda: self._waves.on_maintenance_begun(order))

    def _list_vms(self) -> None:
        requested_at_s = self._term.dependencies.clock.monotonic_s()

        def on_answer(vms: tuple[VmEntry, ...] | None) -> None:
            self._vm_list.on_read(vms, requested_at_s)
            if vms is not None:
                self._term.scheduler.evacuation.add_known(vm.data_centre for vm in vms)
                self._waves.on_vm_list(requested_at_s)
                self._down_vms.on_vm_list(vms, requested_at_s)

        try:
            vms = self._term.dependencies.vms.list()
        except (VmRefusedError, OrderUnansweredError) as err:
            _LOGGER.info("maintenance: reading the VM list failed: %s", err)
            self._term.post(lambda: on_answer(None))
        else:
            self._term.post(lambda: on_answer(vms))

    def _save_wave(self, order: SaveWaveProgress) -> None:
        writes = {
            f"{WAVE_PROGRESS_PREFIX}{order.wave}": encode_wave_record(order.record),
            f"{WAVE_STATUS_PREFIX}{order.wave}": encode_wave_status(completed=order.completed),
        }
        try:
            self._term.records.write(Transaction(writes=writes))
        except ToucandoorError as err:
            _LOGGER.info(
                "maintenance: storing the progress of a wave failed: %s",
                err,
                extra={"wave": order.wave},
            )
            self._term.post(lambda: self._waves.on_progress_saved(order, ok=False))
        else:
            self._term.post(lambda: self._waves.on_progress_saved(order, ok=True))

"""One term of ownership: feeds the scheduler with events and carries out what it decides."""

from __future__ import annotations

import logging
import queue
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.jobs.records import (
    CANCEL_PREFIX,
    INTAKE_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    decode_job,
    decode_progress,
)
from toucandoor.core.maintenance.job_waves import (
    WAVE_PROGRESS_PREFIX,
    MaintainVm,
    SaveWave,
    WaveKeeper,
    decode_wave_record,
    encode_wave_record,
)
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import (
    VM_ORDERS_KEY,
    VmOrderLog,
    VmOrdersRecord,
    decode_vm_orders,
    encode_vm_orders,
)
from toucandoor.core.ownership.lease import (
    OWNER_KEY,
    OWNER_TTL_S,
    RENEW_EVERY_S,
    RENEW_TIMEOUT_S,
)
from toucandoor.core.pools.vm_lender import VmLender
from toucandoor.core.records import (
    HistoryLostError,
    LeaseEndedError,
    Transaction,
    TransactionConflictError,
)
from toucandoor.core.scheduling.const import LAPSE_MARGIN_S, WORKER_CLOCK_DRIFT_RATIO
from toucandoor.core.scheduling.orders import AskAdvice, HoldWorker, PaceRun, StartRun, StopRun
from toucandoor.core.scheduling.scheduler import Scheduler, SchedulerSettings
from toucandoor.core.scheduling.workers import (
    OrderRefusedError,
    OrderUnansweredError,
    VmRefusal,
    VmRefusedError,
)
from toucandoor.exceptions import ToucandoorError
from toucandoor.ids import JobId
from toucandoor.platform.operator_records import (
    WAVE_STATUS_PREFIX,
    WORKER_PREFIX,
    encode_wave_status,
    wave_is_completed,
)
from toucandoor.platform.workers import decode_worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.configuration_watch import ConfigurationWatch
    from toucandoor.adapters.node_metrics import NodeMetrics
    from toucandoor.clock import Clock
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.ownership.lease import OwnershipLease
    from toucandoor.core.pools.lending import Move
    from toucandoor.core.records import Changes, Record, RecordStore, StoreLease
    from toucandoor.core.scheduling.orders import Commit, Order
    from toucandoor.core.scheduling.workers import AdvicePort, VmEntry, VmPort, WorkerPort
    from toucandoor.ids import EntryId, FencingToken
    from toucandoor.platform.settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

ORDER_THREADS: Final = 24
"""Orders and writes under way at once; each takes milliseconds, or a second without an answer."""
HOLD_THREADS: Final = 256
"""Long polls under way at once, one for each busy backend server."""
WATCH_WAIT_S: Final = 1.0
"""How long a watch waits; bounds how long a silent connection hides what callers want."""
HOLDER_MARGIN_S: Final = 0.5
"""Added to the time in which two holders must not order the same VM by turns."""
LOAD_LOG_EVERY_S: Final = 2.0
"""Time between two log lines of a pool's load; a queue's turn lasts several seconds."""
WORKER_GATHER_S: Final = 0.25
"""Pause between two watches of the backend servers' entries; well within the time in which a
draining server must get nothing new."""
RETRY_PAUSE_S: Final = 0.1
"""Pause after a failed watch."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What an owner works with."""

    entry_id: EntryId
    settings: NodeSettings
    clock: Clock
    store: RecordStore
    workers: WorkerPort
    vms: VmPort
    advice: AdvicePort
    configuration: ConfigurationWatch
    metrics: NodeMetrics


class OwnerTerm:
    """Runs a scheduler until the ownership has ended; stands still while it is not valid."""

    def __init__(
        self,
        around: Surroundings,
        token: FencingToken,
        lease: StoreLease,
        validity: OwnershipLease,
    ) -> None:
        self._around = around
        self._lease = lease
        self._validity = validity
        self._events: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._ended = threading.Event()
        settings = SchedulerSettings(
            owner_key=OWNER_KEY,
            owner_revision=token,
            token=token,
            lease_s=around.settings.lease_s_max,
            former_lease_s=OWNER_TTL_S
            + around.settings.lease_s_max * (1 + WORKER_CLOCK_DRIFT_RATIO)
            + LAPSE_MARGIN_S,
            status_kept_s=around.settings.status_kept_s,
        )
        self._scheduler = Scheduler(settings, around.clock)
        self._next_load_log_s = 0.0
        now_s = around.clock.monotonic_s
        self._vm_orders = VmOrderLog(around.clock, around.settings.holder_lease_s + HOLDER_MARGIN_S)
        self._vm_list = VmList(now_s)
        self._waves = WaveKeeper(
            self._scheduler,
            self._vm_list,
            now_s,
            order_log=self._vm_orders,
            maintenance_s=around.settings.vm_maintenance_s,
        )
        self._lender = VmLender(
            self._scheduler,
            self._vm_list,
            now_s,
            order_log=self._vm_orders,
            move_s=around.settings.vm_move_s,
        )
        self._order_pool = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self._hold_pool = ThreadPoolExecutor(HOLD_THREADS, "holds")

    def stop(self) -> None:
        """End the term after what it is doing now."""
        self._ended.set()
        self._post(lambda: None)

    def serve(self) -> None:
        """Run until the ownership is lost or given up."""
        around = self._around
        self._thread(self._renew, "renewals")
        around.configuration.listen(self._configured)
        try:
            revisions = self._load()
            self._thread(lambda: self._follow(WORKER_PREFIX, revisions[0]), "workers")
            self._thread(lambda: self._follow(INTAKE_PREFIX, revisions[1]), "intake")
            self._loop()
        finally:
            self._ended.set()
            around.configuration.unlisten(self._configured)
            self._order_pool.shutdown(wait=False, cancel_futures=True)
            self._hold_pool.shutdown(wait=False, cancel_futures=True)
            _LOGGER.info("owner: the term has ended", extra={"deposed": self._scheduler.deposed})

    # The loop

    def _loop(self) -> None:
        scheduler = self._scheduler
        while not self._ended.is_set() and not scheduler.deposed:
            try:
                event = self._events.get(timeout=scheduler.next_wake_s())
                event()
                while True:
                    self._events.get_nowait()()
            except queue.Empty:
                pass  # nothing more has happened
            if not self._may_act():
                # The store may be away: a renewal that it still takes makes the ownership valid
                # again, and nobody else has had it meanwhile.
                continue
            for order in scheduler.orders():
                self._carry_out(order)
            for commit in scheduler.commits():
                self._submit(self._commit, commit)
            self._look_after_vms()
            self._tell_load()
            pending = scheduler.pending_commit()
            if pending is not None:
                self._submit(self._write_pending, pending)
            removal = scheduler.removal()
            if removal is not None:
                self._submit(self._remove, removal)

    def _may_act(self) -> bool:
        return not self._ended.is_set() and self._validity.valid and not self._scheduler.deposed

    def _post(self, event: Callable[[], None]) -> None:
        self._events.put(event)

    def _thread(self, target: Callable[[], None], name: str) -> None:
        threading.Thread(target=target, name=name, daemon=True).start()

    def _submit(self, action: Callable[..., None], argument: object) -> None:
        self._order_pool.submit(_logged, action, argument)

    def _configured(self, configuration: JobConfiguration) -> None:
        self._post(lambda: self._scheduler.set_configuration(configuration))

    # Orders

    def _carry_out(self, order: Order) -> None:
        if isinstance(order, HoldWorker):
            self._hold_pool.submit(_logged, self._hold, order)
        elif isinstance(order, StartRun):
            self._submit(self._start, order)
        elif isinstance(order, StopRun):
            self._submit(self._stop_run, order)
        elif isinstance(order, AskAdvice):
            self._submit(self._ask_advice, order)
        elif isinstance(order, PaceRun):
            self._submit(self._pace, order)

    def _hold(self, order: HoldWorker) -> None:
        scheduler, worker = self._scheduler, order.worker
        sent_s = self._around.clock.monotonic_s()
        try:
            listing = self._around.workers.hold(
                worker.target,
                order.token,
                lease_until_ms=order.lease_until_ms,
                acknowledged=order.acknowledged,
                wait_s=order.wait_s,
            )
        except OrderRefusedError as err:
            refusal = err.refusal
            _LOGGER.info("workers: hold refused: %s", err)
            self._post(lambda: scheduler.hold_failed(worker, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("workers: hold unanswered: %s", err)
            self._post(lambda: scheduler.hold_failed(worker, None))
        else:
            self._post(lambda: scheduler.hold_answered(worker, listing, sent_s))

    def _start(self, order: StartRun) -> None:
        scheduler, run = self._scheduler, order.run
        if not self._may_act():
            return
        try:
            clock_ms = self._around.workers.start(run.worker.target, order.order)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._post(lambda: scheduler.start_refused(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("runs: start unanswered: %s", err, extra={"job": run.task.key.job_id})
            self._post(lambda: scheduler.start_unanswered(run))
        else:
            self._post(lambda: scheduler.start_answered(run, clock_ms))

    def _stop_run(self, order: StopRun) -> None:
        scheduler, run = self._scheduler, order.run
        try:
            self._around.workers.stop(run.worker.target, run.key, order.token)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._post(lambda: scheduler.stop_failed(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("runs: stop unanswered: %s", err, extra={"job": run.task.key.job_id})
            self._post(lambda: scheduler.stop_failed(run, None))
        else:
            self._post(lambda: scheduler.stop_answered(run))

    def _pace(self, order: PaceRun) -> None:
        run = order.run
        try:
            self._around.workers.pace(run.worker.target, run.key, order.percent, order.token)
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info("runs: pace failed: %s", err, extra={"job": run.task.key.job_id})
        else:
            self._post(lambda: self._scheduler.pace_answered(run, order.percent))

    def _ask_advice(self, order: AskAdvice) -> None:
        scheduler = self._scheduler
        try:
            advice = self._around.advice.advise(order.step, order.workers)
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info("advice: none: %s", err, extra={"job": order.step.job_id})
            self._post(lambda: scheduler.advice_answered(order.step, None))
        else:
            self._post(lambda: scheduler.advice_answered(order.step, advice))

    def _tell_load(self) -> None:
        for job in self._scheduler.take_finished():
            spec = job.spec
            job_class = "patient" if spec.long_running else "urgent"
            age_s = self._around.clock.monotonic_s() - job.arrived_s
            metrics = self._around.metrics
            metrics.job_ended(spec.queue, spec.team, job_class, job.state.value, age_s)
        now_s = self._around.clock.monotonic_s()
        if now_s < self._next_load_log_s:
            return
        self._next_load_log_s = now_s + LOAD_LOG_EVERY_S
        for load in self._scheduler.loads().values():
            self._around.metrics.pool(load)
            _LOGGER.info("schedule: load", extra=load.log_fields())

    # VMs

    def _look_after_vms(self) -> None:
        for wave in list(self._around.configuration.waves.values()):
            self._waves.ordered(wave)
        if self._vm_list.due(active=self._waves.active or self._lender.active):
            self._order_pool.submit(_logged, lambda _: self._list_vms(), None)
        vm_orders: list[MaintainVm | Move] = []
        for order in self._waves.orders():
            if isinstance(order, MaintainVm):
                vm_orders.append(order)
            else:
                self._submit(self._save_wave, order)
        vm_orders += self._lender.orders(self._waves.busy)
        if vm_orders:
            record = self._vm_orders.ordering(order.vm_id for order in vm_orders)
            self._submit(lambda orders: self._order_vms(orders, record), vm_orders)

    def _order_vms(self, orders: list[MaintainVm | Move], record: VmOrdersRecord) -> None:
        """Write down which VMs are ordered, then order them."""
        owner = {OWNER_KEY: int(self._scheduler.token)}
        try:
            self._around.store.write(Transaction(owner, {VM_ORDERS_KEY: encode_vm_orders(record)}))
        except ToucandoorError as err:
            _LOGGER.info("machines: orders not written: %s", err, extra={"orders": len(orders)})
            for order in orders:
                self._vm_order_refused(order, VmRefusal.UNAVAILABLE)
            return
        for order in orders:
            if isinstance(order, MaintainVm):
                self._submit(self._maintain, order)
            else:
                self._submit(self._move, order)

    def _vm_order_refused(self, order: MaintainVm | Move, refusal: VmRefusal | None) -> None:
        if isinstance(order, MaintainVm):
            self._post(lambda: self._waves.maintenance_refused(order, refusal))
        else:
            self._post(lambda: self._lender.refused(order, refusal))

    def _move(self, move: Move) -> None:
        if not self._may_act():
            self._vm_order_refused(move, VmRefusal.UNAVAILABLE)
            return
        holder, token = self._around.entry_id, self._scheduler.token
        try:
            self._around.vms.move(move.vm_id, move.pool, holder, token)
        except VmRefusedError as err:
            self._vm_order_refused(move, err.refusal)
        except OrderUnansweredError as err:
            _LOGGER.info("pools: no answer: %s", err, extra={"vm": move.vm_id})
            self._vm_order_refused(move, None)
        else:
            self._post(lambda: self._lender.done(move))

    def _maintain(self, order: MaintainVm) -> None:
        if not self._may_act():
            self._vm_order_refused(order, VmRefusal.UNAVAILABLE)
            return
        holder, token = self._around.entry_id, self._scheduler.token
        try:
            self._around.vms.maintain(order.vm_id, order.wave, holder, token)
        except VmRefusedError as err:
            self._vm_order_refused(order, err.refusal)
        except OrderUnansweredError as err:
            _LOGGER.info("maintenance: no answer: %s", err, extra={"vm": order.vm_id})
            self._vm_order_refused(order, None)
        else:
            self._post(lambda: self._waves.maintenance_begun(order))

    def _list_vms(self) -> None:
        asked_at_s = self._around.clock.monotonic_s()

        def listed(vms: tuple[VmEntry, ...] | None) -> None:
            self._vm_list.answered(vms, asked_at_s)
            if vms is not None:
                self._waves.vms_listed(asked_at_s)

        try:
            vms = self._around.vms.list()
        except (VmRefusedError, OrderUnansweredError) as err:
            _LOGGER.info("maintenance: the list of VMs cannot be read: %s", err)
            self._post(lambda: listed(None))
        else:
            self._post(lambda: listed(vms))

    def _save_wave(self, order: SaveWave) -> None:
        owner = {OWNER_KEY: int(self._scheduler.token)}
        writes = {
            f"{WAVE_PROGRESS_PREFIX}{order.wave}": encode_wave_record(order.record),
            f"{WAVE_STATUS_PREFIX}{order.wave}": encode_wave_status(completed=order.completed),
        }
        try:
            self._around.store.write(Transaction(owner, writes))
        except ToucandoorError as err:
            _LOGGER.info("maintenance: progress not written: %s", err, extra={"wave": order.wave})
            self._post(lambda: self._waves.saved(order, ok=False))
        else:
            self._post(lambda: self._waves.saved(order, ok=True))

    # The store

    def _commit(self, commit: Commit) -> None:
        scheduler = self._scheduler
        try:
            revision = self._around.store.write(commit.transaction)
        except TransactionConflictError as err:
            present = err.present
            _LOGGER.info("progress: conflict", extra={"jobs": len(commit.jobs)})
            self._post(lambda: scheduler.commit_failed(commit, present))
        except ToucandoorError as err:
            _LOGGER.info("progress: not written: %s", err, extra={"jobs": len(commit.jobs)})
            self._post(lambda: scheduler.commit_failed(commit, None))
        else:
            self._post(lambda: scheduler.commit_done(commit, revision))

    def _write_pending(self, transaction: Transaction) -> None:
        scheduler = self._scheduler
        try:
            self._around.store.write(transaction)
        except ToucandoorError as err:
            _LOGGER.info("progress: the count of waiting jobs is not written: %s", err)
            self._post(lambda: scheduler.pending_written(ok=False))
        else:
            self._post(lambda: scheduler.pending_written(ok=True))

    def _remove(self, transaction: Transaction) -> None:
        scheduler = self._scheduler
        try:
            self._around.store.write(transaction)
        except ToucandoorError as err:
            _LOGGER.info("jobs: records not removed: %s", err)
            self._post(lambda: scheduler.removed(ok=False))
        else:
            self._post(lambda: scheduler.removed(ok=True))

    def _renew(self) -> None:
        """Renew the ownership until it is lost."""
        around = self._around
        while not self._ended.wait(RENEW_EVERY_S):
            sent_s = around.clock.monotonic_s()
            try:
                around.store.renew_lease(self._lease.lease_id, RENEW_TIMEOUT_S)
            except LeaseEndedError:
                _LOGGER.warning("owner: the store has ended the ownership")
                self.stop()
                return
            except ToucandoorError as err:
                _LOGGER.info(
                    "owner: renewal failed: %s", err, extra={"valid": self._validity.valid}
                )
            else:
                if not self._validity.valid:
                    _LOGGER.info("owner: the ownership is valid again")
                self._validity.renewed(sent_s)

    def _load(self) -> tuple[int, int]:
        """Read all that the scheduler must know; return where the two watches begin."""
        scheduler = self._scheduler
        # Read at the same time: a slow store is slow for each call, and the fleet waits.
        prefixes = (
            WORKER_PREFIX,
            INTAKE_PREFIX,
            PROGRESS_PREFIX,
            WAVE_STATUS_PREFIX,
            WAVE_PROGRESS_PREFIX,
            VM_ORDERS_KEY,
        )
        snapshots = list(self._order_pool.map(self._around.store.read_prefix, prefixes))
        workers, intake, kept_progress, wave_statuses, waves, vm_orders = snapshots
        for record in workers.records:
            self._worker_written(record)
        progress = {
            record.key.removeprefix(PROGRESS_PREFIX): record for record in kept_progress.records
        }
        for record in intake.records:
            if record.key.startswith(JOB_PREFIX):
                job_id = record.key.removeprefix(JOB_PREFIX)
                self._load_job(record, progress.get(job_id))
        for record in intake.records:
            if record.key.startswith(CANCEL_PREFIX):
                scheduler.cancel_job(JobId(record.key.removeprefix(CANCEL_PREFIX)))
        statuses = {
            record.key.removeprefix(WAVE_STATUS_PREFIX): wave_is_completed(record.value)
            for record in wave_statuses.records
        }
        for record in vm_orders.records:
            self._load_vm_orders(record)
        for record in waves.records:
            number = record.key.removeprefix(WAVE_PROGRESS_PREFIX)
            self._load_wave(int(number), record, completed=statuses.get(number, False))
        _LOGGER.info(
            "owner: loaded",
            extra={"jobs": len(scheduler.jobs), "workers": len(scheduler.workers)},
        )
        return workers.revision, intake.revision

    def _load_job(self, job: Record, progress: Record | None) -> None:
        try:
            spec = decode_job(job.value)
            if progress is None:
                self._scheduler.add_job(spec)
                return
            kept = decode_progress(progress.value)
        except msgspec.MsgspecError as err:
            _LOGGER.error("jobs: record %s cannot be read: %s", job.key, err)
            return
        self._scheduler.restore_job(spec, kept, progress.revision)

    def _load_vm_orders(self, record: Record) -> None:
        try:
            self._vm_orders.restore(decode_vm_orders(record.value))
        except msgspec.MsgspecError as err:
            _LOGGER.error("maintenance: record %s cannot be read: %s", record.key, err)

    def _load_wave(self, number: int, record: Record, *, completed: bool) -> None:
        try:
            kept = decode_wave_record(record.value)
        except msgspec.MsgspecError as err:
            _LOGGER.error("maintenance: record %s cannot be read: %s", record.key, err)
            return
        self._waves.restore(number, kept, completed=completed)

    def _follow(self, prefix: str, revision: int) -> None:
        """Post every change below a prefix as an event, reading all of it anew where it must."""
        store = self._around.store
        known: int | None = revision
        while not self._ended.is_set():
            try:
                if known is None:
                    known = self._read_anew(prefix)
                changes = store.watch(prefix, known, WATCH_WAIT_S)
                known = changes.revision
                if changes.written or changes.deleted:
                    self._post(lambda seen=changes: self._changed(prefix, seen))  # type: ignore[misc]
                if prefix == WORKER_PREFIX:
                    # Entries change all the time; a pause gathers several in one call.
                    self._ended.wait(WORKER_GATHER_S)
            except HistoryLostError:
                known = None
            except ToucandoorError as err:
                _LOGGER.info("owner: watch of %s failed: %s", prefix, err)
                self._ended.wait(RETRY_PAUSE_S)

    def _read_anew(self, prefix: str) -> int:
        snapshot = self._around.store.read_prefix(prefix)

        def apply() -> None:
            for record in snapshot.records:
                self._written(prefix, record)
            if prefix == WORKER_PREFIX:
                present = {record.key.removeprefix(prefix) for record in snapshot.records}
                for worker_id in [each for each in self._scheduler.workers if each not in present]:
                    self._scheduler.worker_unlisted(worker_id)

        self._post(apply)
        return snapshot.revision

    def _changed(self, prefix: str, changes: Changes) -> None:
        for record in changes.written:
            self._written(prefix, record)
        if prefix == WORKER_PREFIX:
            for key in changes.deleted:
                self._worker_deleted(key)

    def _written(self, prefix: str, record: Record) -> None:
        if prefix == WORKER_PREFIX:
            self._worker_written(record)
        elif record.key.startswith(CANCEL_PREFIX):
            self._scheduler.cancel_job(JobId(record.key.removeprefix(CANCEL_PREFIX)))
        elif record.key.startswith(JOB_PREFIX):
            try:
                self._scheduler.add_job(decode_job(record.value))
            except msgspec.MsgspecError as err:
                _LOGGER.error("jobs: record %s cannot be read: %s", record.key, err)

    def _worker_written(self, record: Record) -> None:
        entry = decode_worker(record.key.removeprefix(WORKER_PREFIX), record.value)
        if entry is not None:
            self._scheduler.worker_listed(entry)

    def _worker_deleted(self, key: str) -> None:
        for worker_id in [each for each in self._scheduler.workers if WORKER_PREFIX + each == key]:
            self._scheduler.worker_unlisted(worker_id)


def _logged(action: Callable[..., None], argument: object) -> None:
    """Run an action of a thread pool, whose errors nobody else would see."""
    try:
        action(argument)
    except Exception:
        _LOGGER.exception("owner: an order broke")

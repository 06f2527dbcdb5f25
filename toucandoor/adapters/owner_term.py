"""One term of ownership: feeds the scheduler with events and carries out what it decides."""

from __future__ import annotations

import logging
import queue
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.term_context import Surroundings, TermContext
from toucandoor.adapters.term_intake import TermIntake
from toucandoor.adapters.term_orders import TermOrders
from toucandoor.adapters.term_vms import TermVms
from toucandoor.core.jobs.records import INTAKE_PREFIX
from toucandoor.core.ownership.handover import HANDOVER_KEY, encode_handover
from toucandoor.core.ownership.lease import (
    OWNER_KEY,
    RENEW_INTERVAL_S,
    RENEW_TIMEOUT_S,
)
from toucandoor.core.records import LeaseEndedError, Transaction, TransactionConflictError
from toucandoor.core.scheduling.scheduler import Scheduler, SchedulerSettings
from toucandoor.exceptions import ToucandoorError
from toucandoor.platform.operator_records import WORKER_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.ownership.lease import OwnershipLease
    from toucandoor.core.records import StoreLease
    from toucandoor.core.scheduling.orders import Commit
    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import FencingToken

_LOGGER = logging.getLogger(__name__)

ORDER_THREADS: Final = 24
"""Orders and writes under way at once; each takes milliseconds, or a second without an answer."""
HOLD_THREADS: Final = 256
"""Long polls under way at once, one for each busy backend server."""
LOAD_LOG_EVERY_S: Final = 2.0
"""Time between two log lines of a pool's load; a queue's turn lasts several seconds."""


class OwnerTerm:
    """Runs a scheduler until the ownership has ended; stands still while it is not valid."""

    def __init__(
        self,
        around: Surroundings,
        token: FencingToken,
        lease: StoreLease,
        validity: OwnershipLease,
        handed_over: Mapping[Boot, float],
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
            status_retention_s=around.settings.status_kept_s,
            handed_over_leases_s=handed_over,
        )
        self._scheduler = Scheduler(settings, around.clock)
        self._next_load_log_s = 0.0
        self._order_pool = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self._hold_pool = ThreadPoolExecutor(HOLD_THREADS, "holds")
        context = TermContext(
            around,
            self._scheduler,
            self._post,
            self._submit,
            lambda action: self._run_in(self._hold_pool, action),
            self._may_act,
        )
        self._orders = TermOrders(context)
        self._vms = TermVms(context)
        self._intake = TermIntake(context, self._vms, self._ended)

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
            revisions = self._intake.load()
            self._thread(lambda: self._intake.follow(WORKER_PREFIX, revisions[0]), "workers")
            self._thread(lambda: self._intake.follow(INTAKE_PREFIX, revisions[1]), "intake")
            self._loop()
            self._hand_over()
        finally:
            self._ended.set()
            around.configuration.unlisten(self._configured)
            self._order_pool.shutdown(wait=False, cancel_futures=True)
            self._hold_pool.shutdown(wait=False, cancel_futures=True)
            _LOGGER.info("owner: the term has ended", extra={"deposed": self._scheduler.superseded})

    def _hand_over(self) -> None:
        """Tell the next owner when the leases of silent backend servers end."""
        silent = self._scheduler.unresponsive_leases_s()
        if not silent or not self._validity.valid or self._scheduler.superseded:
            return
        owner = {OWNER_KEY: int(self._scheduler.token)}
        try:
            self._around.store.write(Transaction(owner, {HANDOVER_KEY: encode_handover(silent)}))
        except ToucandoorError as err:
            _LOGGER.info("owner: nothing handed over: %s", err, extra={"silent": len(silent)})
        else:
            _LOGGER.info("owner: handed over", extra={"silent": len(silent)})

    # The loop

    def _loop(self) -> None:
        scheduler = self._scheduler
        while not self._ended.is_set() and not scheduler.superseded:
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
                self._orders.carry_out(order)
            for commit in scheduler.commits():
                self._submit(partial(self._commit, commit))
            self._vms.look_after_vms()
            self._tell_load()
            pending = scheduler.pending_commit()
            if pending is not None:
                self._submit(partial(self._write_pending, pending))
            removal = scheduler.removal()
            if removal is not None:
                self._submit(partial(self._remove, removal))

    def _may_act(self) -> bool:
        return not self._ended.is_set() and self._validity.valid and not self._scheduler.superseded

    def _post(self, event: Callable[[], None]) -> None:
        self._events.put(event)

    def _thread(self, target: Callable[[], None], name: str) -> None:
        guarded = partial(self._guarded, target)
        threading.Thread(target=guarded, name=name, daemon=True).start()

    def _submit(self, action: Callable[[], None]) -> None:
        self._run_in(self._order_pool, action)

    def _run_in(self, pool: ThreadPoolExecutor, action: Callable[[], None]) -> None:
        try:
            pool.submit(self._guarded, action)
        except RuntimeError:
            _LOGGER.info("owner: an order came after the term's end")

    def _guarded(self, action: Callable[[], None]) -> None:
        """Run an action of a thread; an error that it does not handle ends the term.

        The scheduler would wait for the action's outcome for ever; the next owner starts from
        what the store and the backend servers say.
        """
        try:
            action()
        except Exception:
            _LOGGER.exception("owner: a thread broke, the term ends")
            self.stop()

    def _configured(self, configuration: JobConfiguration) -> None:
        self._post(lambda: self._scheduler.set_configuration(configuration))

    def _tell_load(self) -> None:
        for job in self._scheduler.pop_finished():
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
        while not self._ended.wait(RENEW_INTERVAL_S):
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
                self._validity.record_renewal(sent_s)

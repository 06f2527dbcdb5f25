"""One term of ownership: runs the scheduler's event loop and carries out its orders."""

from __future__ import annotations

import logging
import queue
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.owner_records import OwnerRecords
from toucandoor.adapters.term_context import OwnerDependencies, TermContext
from toucandoor.adapters.term_intake import TermIntake
from toucandoor.adapters.term_load import TermLoad
from toucandoor.adapters.term_orders import TermOrders
from toucandoor.adapters.term_report import TermReport
from toucandoor.adapters.term_vms import TermVms
from toucandoor.core.jobs.records import INTAKE_PREFIX
from toucandoor.core.overload.rates import TrackedRates
from toucandoor.core.ownership.handover import HANDOVER_KEY, encode_handover
from toucandoor.core.ownership.lease import (
    OWNER_KEY,
    RENEW_INTERVAL_S,
    RENEW_RETRY_S,
    RENEW_TIMEOUT_S,
)
from toucandoor.core.records import LeaseEndedError, Transaction, TransactionConflictError
from toucandoor.core.run_times.models import CALLER_ESTIMATES
from toucandoor.core.scheduling.policies import Policies
from toucandoor.core.scheduling.scheduler import Scheduler, SchedulerSettings
from toucandoor.exceptions import StoreRejectedError, ToucandoorError
from toucandoor.platform.operator_records import WORKER_PREFIX

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping, Sequence

    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.ownership.lease import OwnershipLease
    from toucandoor.core.records import StoreLease
    from toucandoor.core.scheduling.orders import Commit
    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import FencingToken

_LOGGER = logging.getLogger(__name__)

CALL_THREADS: Final = 24
"""Calls to the store, the VM list and the adviser in flight at once. Each takes milliseconds, or up
to a second if no answer comes."""

STEP_INTERVAL_S: Final = 0.005
"""Shortest time between two steps; the events meanwhile are handled in one step, whose cost grows
with the fleet. About as long as the store takes to answer."""


class OwnerTerm:
    """Runs the scheduler until the ownership ends; pauses while the ownership is not valid.

    One thread runs the event loop and is the only one to change the scheduler. Orders to backend
    servers are coroutines on another event loop, and other calls block in a pool of threads. Both
    post their results as events to the term's loop.

    Args:
        dependencies: Clients and settings of the process.
        token: Fencing token of this term: the store's revision of the ownership record.
        lease: Lease of the ownership record in the store.
        ownership: Validity of the ownership by the clock of this process.
        handed_over_leases_s: Longest time, in seconds, until the leases of each boot that did not
            answer the former owner have expired.
    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        token: FencingToken,
        lease: StoreLease,
        ownership: OwnershipLease,
        handed_over_leases_s: Mapping[Boot, float],
    ) -> None:
        self._dependencies = dependencies
        self._lease = lease
        self._ownership = ownership
        self._events: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._ended = threading.Event()
        self._last_step_s = 0.0
        settings = SchedulerSettings(
            owner_key=OWNER_KEY,
            owner_revision=token,
            token=token,
            lease_s=dependencies.settings.lease_s_max,
            status_retention_s=dependencies.settings.status_retention_s,
            handed_over_leases_s=handed_over_leases_s,
            value_bytes_max=dependencies.settings.store_value_bytes_max,
        )
        # Learned run times are not in force: in a trial on a deployment with long tasks, fewer jobs
        # were served with them than with the callers' estimates.
        self._scheduler = Scheduler(
            settings,
            dependencies.clock,
            dependencies.configuration.evacuations,
            CALLER_ESTIMATES,
            Policies(dependencies.settings.switched_off),
        )
        self._report = TermReport(self._scheduler, dependencies)
        self._call_pool = ThreadPoolExecutor(CALL_THREADS, "calls")
        self._records = OwnerRecords(dependencies.store, token)
        context = TermContext(
            dependencies,
            self._records,
            self._scheduler,
            self._post,
            self._submit,
            self._submit_calls,
            self._may_act,
        )
        self._orders = TermOrders(context)
        self._vms = TermVms(context)
        rates = TrackedRates(self._scheduler.state.rates, dependencies.clock)
        self._load = TermLoad(context, self._vms.fleet_capacity, rates)
        self._intake = TermIntake(context, self._vms, self._ended)

    def stop(self) -> None:
        """End the term after the event that it is handling."""
        self._ended.set()
        self._post(lambda: None)

    def serve(self) -> None:
        """Load the records and run until the ownership is lost or released."""
        dependencies = self._dependencies
        self._start_thread(self._renew, "renewals")
        configuration = dependencies.configuration.current
        if configuration is not None:
            # It identifies the queues and teams of the records that are loaded.
            self._scheduler.set_configuration(configuration)
        dependencies.configuration.add_listener(self._on_configuration)
        try:
            revisions = self._intake.load()
            self._start_thread(lambda: self._intake.follow(WORKER_PREFIX, revisions[0]), "workers")
            self._start_thread(lambda: self._intake.follow(INTAKE_PREFIX, revisions[1]), "intake")
            self._start_thread(self._intake.read_ended_jobs, "ended jobs")
            self._run_loop()
            self._hand_over()
        finally:
            self._ended.set()
            dependencies.configuration.remove_listener(self._on_configuration)
            self._call_pool.shutdown(wait=False, cancel_futures=True)
            _LOGGER.info("owner: the term has ended", extra={"deposed": self._scheduler.superseded})

    def _hand_over(self) -> None:
        """Store for the next owner when the leases of unresponsive backend servers expire."""
        leases_s = self._scheduler.registry.unresponsive_leases_s()
        if not leases_s or not self._ownership.valid or self._scheduler.superseded:
            return
        try:
            self._records.write(Transaction(writes={HANDOVER_KEY: encode_handover(leases_s)}))
        except ToucandoorError as err:
            _LOGGER.info(
                "owner: handing over the leases of unresponsive backend servers failed: %s",
                err,
                extra={"silent": len(leases_s)},
            )
        else:
            _LOGGER.info(
                "owner: handed over the leases of unresponsive backend servers",
                extra={"silent": len(leases_s)},
            )

    # Event loop and threads

    def _run_loop(self) -> None:
        scheduler, clock = self._scheduler, self._dependencies.clock
        while not self._ended.is_set() and not scheduler.superseded:
            first = self._wait_for_event(scheduler.next_wake_s())
            began_s = clock.monotonic_s()
            self._handle_events(first)
            if not self._may_act():
                # The store may be unreachable. If a later renewal succeeds, the ownership is valid
                # again, and no other entry VM has held it in between.
                continue
            self._orders.carry_out(scheduler.orders())
            for commit in scheduler.commits():
                self._submit(partial(self._commit, commit))
            self._vms.submit_due_actions()
            self._load.submit_due()
            self._report.on_step(clock.monotonic_s() - began_s)
            pending = scheduler.pending_commit()
            if pending is not None:
                self._submit(partial(self._write_pending, pending))
            run_times = scheduler.run_time_records.commit()
            if run_times is not None:
                self._submit(partial(self._write_run_times, run_times))
            removal = scheduler.retention.removal()
            if removal is not None:
                self._submit(partial(self._remove_records, removal))

    def _wait_for_event(self, timeout_s: float) -> Callable[[], None] | None:
        """Return the next event; None if there is none in time, or a step is due anyway."""
        clock = self._dependencies.clock
        try:
            event = self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None
        finally:
            left_s = self._last_step_s + STEP_INTERVAL_S - clock.monotonic_s()
            if left_s > 0:
                time.sleep(left_s)
            self._last_step_s = clock.monotonic_s()
        return event

    def _handle_events(self, first: Callable[[], None] | None) -> None:
        """Handle an event and all others that are queued."""
        if first is not None:
            first()
        try:
            while True:
                self._events.get_nowait()()
        except queue.Empty:
            return

    def _may_act(self) -> bool:
        return not self._ended.is_set() and self._ownership.valid and not self._scheduler.superseded

    def _post(self, event: Callable[[], None]) -> None:
        self._events.put(event)

    def _start_thread(self, target: Callable[[], None], name: str) -> None:
        guarded = partial(self._run_guarded, target)
        threading.Thread(target=guarded, name=name, daemon=True).start()

    def _submit(self, action: Callable[[], None]) -> None:
        try:
            self._call_pool.submit(self._run_guarded, action)
        except RuntimeError:
            _LOGGER.info("owner: an order or write was dropped, as the term has ended")

    def _submit_calls(self, calls: Sequence[Callable[[], Awaitable[None]]]) -> None:
        guarded = [partial(self._async_run_guarded, call) for call in calls]
        self._dependencies.call_loop.submit(guarded)

    async def _async_run_guarded(self, call: Callable[[], Awaitable[None]]) -> None:
        """Run a call; an unhandled error ends the term, as in `_run_guarded`."""
        try:
            await call()
        except Exception:
            _LOGGER.exception("owner: unhandled error in a call; ending the term")
            self.stop()

    def _run_guarded(self, action: Callable[[], None]) -> None:
        """Run an action in a thread; an unhandled error ends the term.

        Otherwise the scheduler would wait for the action's result for ever. The next owner starts
        from the records in the store and the status reports of the backend servers.
        """
        try:
            action()
        except Exception:
            _LOGGER.exception("owner: unhandled error in a thread; ending the term")
            self.stop()

    def _on_configuration(self, configuration: JobConfiguration) -> None:
        self._post(lambda: self._scheduler.set_configuration(configuration))

    # Writes to the store and renewal of the ownership

    def _commit(self, commit: Commit) -> None:
        scheduler = self._scheduler
        try:
            revision = self._dependencies.store.write(commit.transaction)
        except TransactionConflictError as err:
            present = err.present
            _LOGGER.info(
                "progress: not written, as a record has another revision",
                extra={"jobs": len(commit.jobs)},
            )
            self._post(lambda: scheduler.commit_failed(commit, present))
        except StoreRejectedError as err:
            _LOGGER.warning(
                "progress: the store rejects a write of the progress of jobs: %s",
                err,
                extra={"jobs": len(commit.jobs)},
            )
            self._post(lambda: scheduler.commit_rejected(commit))
        except ToucandoorError as err:
            _LOGGER.info(
                "progress: writing the progress of jobs failed: %s",
                err,
                extra={"jobs": len(commit.jobs)},
            )
            self._post(lambda: scheduler.commit_failed(commit, None))
        else:
            self._post(lambda: scheduler.commit_done(commit, revision))

    def _write_pending(self, transaction: Transaction) -> None:
        scheduler = self._scheduler
        try:
            self._records.write(transaction)
        except ToucandoorError as err:
            _LOGGER.info("progress: writing the count of waiting jobs failed: %s", err)
            self._post(lambda: scheduler.pending_written(ok=False))
        else:
            self._post(lambda: scheduler.pending_written(ok=True))

    def _write_run_times(self, transaction: Transaction) -> None:
        scheduler = self._scheduler
        try:
            self._records.write(transaction)
        except ToucandoorError as err:
            _LOGGER.info("progress: writing the learned run times failed: %s", err)
            self._post(lambda: scheduler.run_time_records.written(ok=False))
        else:
            self._post(lambda: scheduler.run_time_records.written(ok=True))

    def _remove_records(self, transaction: Transaction) -> None:
        scheduler = self._scheduler
        try:
            self._dependencies.store.write(transaction)
        except TransactionConflictError as err:
            present = err.present
            _LOGGER.info("jobs: records of ended jobs not removed, as one has another revision")
            self._post(lambda: scheduler.retention.conflicted(present))
        except ToucandoorError as err:
            _LOGGER.info("jobs: removing records of ended jobs failed: %s", err)
            self._post(lambda: scheduler.retention.removed(ok=False))
        else:
            self._post(lambda: scheduler.retention.removed(ok=True))

    def _renew(self) -> None:
        """Renew the lease of the ownership until it is lost or the term ends."""
        dependencies = self._dependencies
        pause_s = RENEW_INTERVAL_S
        while not self._ended.wait(pause_s):
            pause_s = RENEW_RETRY_S
            sent_s = dependencies.clock.monotonic_s()
            try:
                dependencies.store.renew_lease(self._lease.lease_id, RENEW_TIMEOUT_S)
            except LeaseEndedError:
                _LOGGER.warning("owner: ownership lost: its lease in the store has ended")
                self.stop()
                return
            except ToucandoorError as err:
                _LOGGER.info(
                    "owner: renewing the ownership failed: %s",
                    err,
                    extra={"valid": self._ownership.valid},
                )
            else:
                if not self._ownership.valid:
                    _LOGGER.info("owner: the ownership is valid again after a renewal")
                self._ownership.record_renewal(sent_s)
                pause_s = RENEW_INTERVAL_S

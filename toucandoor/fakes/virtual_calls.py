"""Calls of the schedule's owners to the virtual store and backend servers, with faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from toucandoor.core.records import TransactionConflictError
from toucandoor.core.scheduling.orders import (
    Commit,
    LimitSpeed,
    RequestAdvice,
    SendHeartbeat,
    StartRun,
    StopRun,
)
from toucandoor.core.scheduling.workers import Advice, OrderRefusal, OrderRefusedError
from toucandoor.exceptions import StoreRejectedError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from toucandoor.clock import Clock
    from toucandoor.core.records import Transaction
    from toucandoor.core.scheduling.orders import Order
    from toucandoor.core.scheduling.scheduler import Scheduler
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.fakes.virtual_platform import VirtualRecords, VirtualWorker
    from toucandoor.ids import WorkerId

CALL_S = 0.002
"""Duration of a call to a backend server."""
STORE_CALL_S = 0.006
"""Duration of a call to the store."""


class CallOutcome(Enum):
    """Outcome of a call, as the virtual network decides it."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer_lost"
    LATE = "late"
    """Not answered, but carried out seconds later."""
    NOT_SENT = "not_sent"


@dataclass(slots=True)
class OwnerTerm:
    """A term in which one process owns the schedule.

    Attributes:
        scheduler: Its scheduler.
        alive: Whether its process runs.
        paused_until_s: Time until which its process is paused.
        valid_until_s: Time until which its process assumes that it owns the schedule.
    """

    scheduler: Scheduler
    alive: bool = True
    paused_until_s: float = 0.0
    valid_until_s: float = float("inf")


class VirtualAdviser:
    """Adviser of queues, which handles one call after the other.

    Attributes:
        decision_s: Fixed part of the time that a call takes.
        per_worker_s: Additional time for each backend server.
        validity_s: Time for which tickets are valid.
        approves: Returns whether a backend server may run a step.
        asked: Number of backend servers in each call.
        unanswered: Number of calls whose time-out passed before their answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.decision_s = 0.6
        self.per_worker_s = 0.04
        self.validity_s = 10.0
        self.approves: Callable[[WorkerId], bool] = lambda worker: True
        self.asked: list[int] = []
        self.unanswered = 0
        self._clock = clock
        self._busy_until_s = 0.0

    def ask(self, workers: tuple[WorkerId, ...]) -> tuple[float, Advice]:
        """Return the time until the answer, in seconds, and the answer."""
        now_s = self._clock.monotonic_s()
        took_s = self.decision_s + self.per_worker_s * len(workers)
        self._busy_until_s = max(self._busy_until_s, now_s) + took_s
        self.asked.append(len(workers))
        tickets = {worker: f"t-{worker}" for worker in workers if self.approves(worker)}
        return self._busy_until_s - now_s, Advice(tickets, self.validity_s)


class VirtualCalls:
    """Carries out the owners' calls in virtual time.

    Args:
        clock: The virtual clock.
        records: The store.
        workers: Present boots of backend servers.
        schedule: Runs an action after a delay in seconds of virtual time.
        schedule_event: Passes an event to an owner after a delay in seconds of virtual time.

    Attributes:
        choose_outcome: Returns the outcome of a call of the given kind: ``start``, ``stop``,
            ``hold`` (a heartbeat), ``advise`` or ``write``.
        choose_delay_s: Returns the delay of a late call, in seconds.
        choose_send_delay_s: Returns the time for which a start waits for a connection, in seconds.
        choose_answer_delay_s: Returns the delay of the answer to a heartbeat, in seconds.
        late_orders_survive_restarts: Whether a later boot under the same id takes a late order;
            otherwise it is lost with the boot that it was sent to.
        address_taken: Servers that have ended and whose addresses other servers have now, which
            refuse their orders.
        refuses_connections: Whether no connection is made to a server that is gone or cut off;
            otherwise its orders are sent and get no answer.
        store_down_until_s: Time until which the store refuses all calls.
        adviser: The queues' adviser.
    """

    def __init__(
        self,
        clock: Clock,
        records: VirtualRecords,
        workers: Mapping[WorkerId, VirtualWorker],
        schedule: Callable[[float, Callable[[], None]], None],
        schedule_event: Callable[[OwnerTerm, float, Callable[[], None]], None],
    ) -> None:
        self.choose_outcome: Callable[[str], CallOutcome] = lambda kind: CallOutcome.ANSWERED
        self.choose_delay_s: Callable[[], float] = lambda: 4.0
        self.choose_send_delay_s: Callable[[], float] = lambda: 0.0
        self.choose_answer_delay_s: Callable[[], float] = lambda: 0.0
        self.late_orders_survive_restarts = False
        self.address_taken: set[WorkerId] = set()
        self.refuses_connections = False
        self.store_down_until_s = 0.0
        self.adviser = VirtualAdviser(clock)
        self._clock = clock
        self._records = records
        self._workers = workers
        self._schedule = schedule
        self._schedule_event = schedule_event

    def write(self, owner: OwnerTerm, commit: Commit) -> None:
        """Carry out a write to the store and pass the result to the owner."""
        scheduler = owner.scheduler
        outcome = self.choose_outcome("write")
        if outcome is CallOutcome.NOT_SENT:
            self._schedule_event(owner, 0.1, lambda: scheduler.commit_failed(commit, None))
            return
        if outcome is CallOutcome.LATE:
            self._schedule(self.choose_delay_s(), partial(self._write_late, commit.transaction))
            self._schedule_event(owner, 0.9, lambda: scheduler.commit_failed(commit, None))
            return

        def arrive() -> None:
            if self._clock.monotonic_s() < self.store_down_until_s:
                self._schedule_event(
                    owner, STORE_CALL_S / 2, lambda: scheduler.commit_failed(commit, None)
                )
                return
            try:
                revision = self._records.write(commit.transaction)
            except TransactionConflictError as err:
                present = err.present
                self._schedule_event(
                    owner, STORE_CALL_S / 2, lambda: scheduler.commit_failed(commit, present)
                )
                return
            except StoreRejectedError:
                self._schedule_event(
                    owner, STORE_CALL_S / 2, lambda: scheduler.commit_rejected(commit)
                )
                return
            if outcome is CallOutcome.ANSWER_LOST:
                self._schedule_event(owner, 0.9, lambda: scheduler.commit_failed(commit, None))
            else:
                self._schedule_event(
                    owner, STORE_CALL_S / 2, lambda: scheduler.commit_done(commit, revision)
                )

        self._schedule(STORE_CALL_S / 2, arrive)

    def _write_late(self, transaction: Transaction) -> None:
        try:
            self._records.write(transaction)
        except TransactionConflictError:
            return  # its expected revisions are outdated

    def send(self, owner: OwnerTerm, order: Order) -> None:
        """Carry out an order to a backend server and pass the result to the owner."""
        if isinstance(order, SendHeartbeat):
            sent_s = self._clock.monotonic_s()
            outcome = self.choose_outcome("hold")
            self._schedule(
                CALL_S / 2, lambda: self._heartbeat_arrives(owner, order, sent_s, outcome, sent_s)
            )
        elif isinstance(order, StartRun):
            delay_s = self.choose_send_delay_s()
            if delay_s > 0:
                self._schedule_event(owner, delay_s, lambda: self._send_start(owner, order))
            else:
                self._send_start(owner, order)
        elif isinstance(order, StopRun):
            self._send_order(
                owner,
                "stop",
                order.run.worker,
                lambda worker: worker.stop(order.run.key, order.token),
                lambda _: owner.scheduler.run_orders.stop_answered(order.run),
                lambda err: owner.scheduler.run_orders.stop_failed(order.run, err.refusal),
                lambda: owner.scheduler.run_orders.stop_failed(order.run, None),
            )
        elif isinstance(order, RequestAdvice):
            self._request_advice(owner, order)
        elif isinstance(order, LimitSpeed):
            raise NotImplementedError(type(order).__name__)

    def _request_advice(self, owner: OwnerTerm, order: RequestAdvice) -> None:
        advice: Advice | None
        after_s, advice = self.adviser.ask(order.workers)
        if self.choose_outcome("advise") is not CallOutcome.ANSWERED or after_s > order.timeout_s:
            after_s, advice = order.timeout_s, None
            self.adviser.unanswered += 1
        self._schedule_event(
            owner, after_s, lambda: owner.scheduler.advice_answered(order.step, advice)
        )

    def _send_start(self, owner: OwnerTerm, order: StartRun) -> None:
        scheduler = owner.scheduler
        valid = self._clock.monotonic_s() < owner.valid_until_s
        if not valid or not scheduler.may_send_start(order.run):
            scheduler.run_orders.start_not_sent(order.run)
            return
        self._send_order(
            owner,
            "start",
            order.run.worker,
            lambda worker: worker.start(order.order),
            lambda clock_ms: scheduler.run_orders.start_answered(order.run, clock_ms),
            lambda err: scheduler.run_orders.start_refused(order.run, err.refusal),
            lambda: scheduler.run_orders.start_unanswered(order.run),
            lambda: scheduler.run_orders.start_undeliverable(order.run),
        )

    def _reachable_boot(self, view: WorkerView) -> VirtualWorker | None:
        worker = self._workers.get(view.entry.worker_id)
        if view.entry.worker_id in self.address_taken and (worker is None or not worker.alive):
            raise OrderRefusedError(
                OrderRefusal.OTHER_BOOT, step="worker", peer=view.entry.worker_id, clock_ms=None
            )
        return worker if worker is not None and worker.alive and worker.reachable else None

    def _send_order(
        self,
        owner: OwnerTerm,
        kind: str,
        view: WorkerView,
        execute: Callable[[VirtualWorker], int],
        answered: Callable[[int], None],
        refused: Callable[[OrderRefusedError], None],
        unanswered: Callable[[], None],
        not_sent: Callable[[], None] | None = None,
    ) -> None:
        outcome = self.choose_outcome(kind)

        def arrive() -> None:
            if outcome is CallOutcome.NOT_SENT:
                self._schedule_event(owner, 0.5, not_sent or unanswered)
                return
            try:
                worker = self._reachable_boot(view)
            except OrderRefusedError as err:
                refusal = err
                self._schedule_event(owner, CALL_S / 2, lambda: refused(refusal))
                return
            if worker is None:
                no_answer = not_sent if self.refuses_connections and not_sent else unanswered
                self._schedule_event(owner, 0.5, no_answer)
                return
            if outcome is CallOutcome.LATE:
                self._schedule(self.choose_delay_s(), partial(self._execute_late, worker, execute))
                self._schedule_event(owner, 1.0, unanswered)
                return
            try:
                clock_ms = execute(worker)
            except OrderRefusedError as err:
                refusal = err
                self._schedule_event(owner, CALL_S / 2, lambda: refused(refusal))
                return
            if outcome is CallOutcome.ANSWER_LOST:
                self._schedule_event(owner, 1.0, unanswered)
            else:
                self._schedule_event(owner, CALL_S / 2, lambda: answered(clock_ms))

        self._schedule(CALL_S / 2, arrive)

    def _execute_late(self, worker: VirtualWorker, execute: Callable[[VirtualWorker], int]) -> None:
        """Carry out an order that reached a boot late."""
        if self.late_orders_survive_restarts:
            worker = self._workers.get(worker.entry.worker_id, worker)
        if not worker.alive:
            return
        try:
            execute(worker)
        except OrderRefusedError:
            return  # a newer order has made it obsolete

    def _heartbeat_arrives(
        self,
        owner: OwnerTerm,
        order: SendHeartbeat,
        sent_s: float,
        outcome: CallOutcome,
        arrived_s: float,
        waits_at: VirtualWorker | None = None,
    ) -> None:
        """Carry out a heartbeat; it answers once a run has ended, or when its wait is over.

        Args:
            waits_at: Boot at which it waits; the call is lost with it.
        """
        scheduler = owner.scheduler
        try:
            worker = self._reachable_boot(order.worker)
        except OrderRefusedError as err:
            refused = err.refusal
            self._schedule_event(
                owner,
                CALL_S / 2,
                lambda: scheduler.run_orders.heartbeat_failed(order.worker, refused),
            )
            return
        if waits_at is not None and worker is not waits_at:
            worker = None
        if worker is None or outcome is not CallOutcome.ANSWERED:
            if worker is not None and outcome is CallOutcome.LATE:
                late = partial(
                    self._execute_late,
                    worker,
                    lambda each: each.heartbeat(
                        order.token, order.lease_until_ms, order.acknowledged
                    ).clock_ms,
                )
                self._schedule(self.choose_delay_s(), late)
            self._schedule_event(
                owner, 1.0, lambda: scheduler.run_orders.heartbeat_failed(order.worker, None)
            )
            return
        try:
            report = worker.heartbeat(order.token, order.lease_until_ms, order.acknowledged)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._schedule_event(
                owner,
                CALL_S / 2,
                lambda: scheduler.run_orders.heartbeat_failed(order.worker, refusal),
            )
            return
        waited_s = self._clock.monotonic_s() - arrived_s
        if report.ended or waited_s >= order.wait_s:
            self._schedule_event(
                owner,
                CALL_S / 2 + self.choose_answer_delay_s(),
                lambda: scheduler.heartbeat_answered(order.worker, report, sent_s),
            )
            return
        self._schedule(
            0.02, lambda: self._heartbeat_arrives(owner, order, sent_s, outcome, arrived_s, worker)
        )

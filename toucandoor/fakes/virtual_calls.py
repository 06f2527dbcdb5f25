"""Calls of owners to the virtual store and backend servers, with faults at will."""

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
from toucandoor.core.scheduling.workers import OrderRefusedError

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
"""Time of a call to a backend server."""
STORE_CALL_S = 0.006
"""Time of a call to the store."""


class CallFate(Enum):
    """What happens to a call."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer_lost"
    LATE = "late"
    """Not answered, and carried out seconds later."""
    NOT_SENT = "not_sent"


@dataclass(slots=True)
class Owner:
    """One term of ownership.

    Attributes:
        scheduler: Its scheduler.
        alive: Whether its process runs.
        paused_until_s: It stands still until then.
        valid_until_s: Until when it believes to own the schedule.
    """

    scheduler: Scheduler
    alive: bool = True
    paused_until_s: float = 0.0
    valid_until_s: float = float("inf")


class VirtualCalls:
    """Carries calls out in virtual time.

    Args:
        clock: The virtual clock.
        records: The store.
        workers: Present boots of backend servers.
        after: Does something after some seconds of virtual time.
        post: Lets something happen at an owner after some seconds of virtual time.

    Attributes:
        fate: Chooses what happens to each call, by kind: ``start``, ``stop``, ``hold``, ``write``.
        late_s: Chooses how much later a late call is carried out.
    """

    def __init__(
        self,
        clock: Clock,
        records: VirtualRecords,
        workers: Mapping[WorkerId, VirtualWorker],
        after: Callable[[float, Callable[[], None]], None],
        post: Callable[[Owner, float, Callable[[], None]], None],
    ) -> None:
        self.fate: Callable[[str], CallFate] = lambda kind: CallFate.ANSWERED
        self.late_s: Callable[[], float] = lambda: 4.0
        self._clock = clock
        self._records = records
        self._workers = workers
        self._after = after
        self._post = post

    def write(self, owner: Owner, commit: Commit) -> None:
        """Carry a write to the store out, and post what its answer means."""
        scheduler = owner.scheduler
        fate = self.fate("write")
        if fate is CallFate.NOT_SENT:
            self._post(owner, 0.1, lambda: scheduler.commit_failed(commit, None))
            return
        if fate is CallFate.LATE:
            self._after(self.late_s(), partial(self._try_write, commit.transaction))
            self._post(owner, 0.9, lambda: scheduler.commit_failed(commit, None))
            return

        def arrive() -> None:
            try:
                revision = self._records.write(commit.transaction)
            except TransactionConflictError as err:
                present = err.present
                self._post(
                    owner, STORE_CALL_S / 2, lambda: scheduler.commit_failed(commit, present)
                )
                return
            if fate is CallFate.ANSWER_LOST:
                self._post(owner, 0.9, lambda: scheduler.commit_failed(commit, None))
            else:
                self._post(owner, STORE_CALL_S / 2, lambda: scheduler.commit_done(commit, revision))

        self._after(STORE_CALL_S / 2, arrive)

    def _try_write(self, transaction: Transaction) -> None:
        try:
            self._records.write(transaction)
        except TransactionConflictError:
            return  # its condition no longer holds

    def send(self, owner: Owner, order: Order) -> None:
        """Carry an order to a backend server out, and post what its answer means."""
        if isinstance(order, SendHeartbeat):
            sent_s = self._clock.monotonic_s()
            fate = self.fate("hold")
            self._after(CALL_S / 2, lambda: self._hold_arrives(owner, order, sent_s, fate, sent_s))
        elif isinstance(order, StartRun):
            self._order_out(
                owner,
                "start",
                order.run.worker,
                lambda worker: worker.start(order.order),
                lambda clock_ms: owner.scheduler.start_answered(order.run, clock_ms),
                lambda err: owner.scheduler.start_refused(order.run, err.refusal),
                lambda: owner.scheduler.start_unanswered(order.run),
            )
        elif isinstance(order, StopRun):
            self._order_out(
                owner,
                "stop",
                order.run.worker,
                lambda worker: worker.stop(order.run.key, order.token),
                lambda _: owner.scheduler.stop_answered(order.run),
                lambda err: owner.scheduler.stop_failed(order.run, err.refusal),
                lambda: owner.scheduler.stop_failed(order.run, None),
            )
        elif isinstance(order, RequestAdvice | LimitSpeed):
            raise NotImplementedError(type(order).__name__)

    def _boot_of(self, view: WorkerView) -> VirtualWorker | None:
        worker = self._workers.get(view.entry.worker_id)
        return worker if worker is not None and worker.alive and worker.reachable else None

    def _order_out(
        self,
        owner: Owner,
        kind: str,
        view: WorkerView,
        act: Callable[[VirtualWorker], int],
        answered: Callable[[int], None],
        refused: Callable[[OrderRefusedError], None],
        unanswered: Callable[[], None],
    ) -> None:
        fate = self.fate(kind)

        def arrive() -> None:
            worker = self._boot_of(view)
            if worker is None or fate is CallFate.NOT_SENT:
                self._post(owner, 0.5, unanswered)
                return
            if fate is CallFate.LATE:
                self._after(self.late_s(), partial(self._act_late, worker, act))
                self._post(owner, 1.0, unanswered)
                return
            try:
                clock_ms = act(worker)
            except OrderRefusedError as err:
                refusal = err
                self._post(owner, CALL_S / 2, lambda: refused(refusal))
                return
            if fate is CallFate.ANSWER_LOST:
                self._post(owner, 1.0, unanswered)
            else:
                self._post(owner, CALL_S / 2, lambda: answered(clock_ms))

        self._after(CALL_S / 2, arrive)

    def _act_late(self, worker: VirtualWorker, act: Callable[[VirtualWorker], int]) -> None:
        """Carry out what a boot has received and put off; a later boot knows nothing of it."""
        if not worker.alive:
            return
        try:
            act(worker)
        except OrderRefusedError:
            return  # a newer order has ruled it out

    def _hold_arrives(
        self, owner: Owner, order: SendHeartbeat, sent_s: float, fate: CallFate, arrived_s: float
    ) -> None:
        """Carry a long poll out: it answers at the first end, or when its waiting time is over."""
        scheduler = owner.scheduler
        worker = self._boot_of(order.worker)
        if worker is None or fate is not CallFate.ANSWERED:
            if worker is not None and fate is CallFate.LATE:
                late = partial(
                    self._act_late,
                    worker,
                    lambda each: each.hold(
                        order.token, order.lease_until_ms, order.acknowledged
                    ).clock_ms,
                )
                self._after(self.late_s(), late)
            self._post(owner, 1.0, lambda: scheduler.heartbeat_failed(order.worker, None))
            return
        try:
            listing = worker.hold(order.token, order.lease_until_ms, order.acknowledged)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._post(owner, CALL_S / 2, lambda: scheduler.heartbeat_failed(order.worker, refusal))
            return
        waited_s = self._clock.monotonic_s() - arrived_s
        if listing.ended or waited_s >= order.wait_s:
            self._post(
                owner,
                CALL_S / 2,
                lambda: scheduler.heartbeat_answered(order.worker, listing, sent_s),
            )
            return
        self._after(0.02, lambda: self._hold_arrives(owner, order, sent_s, fate, arrived_s))

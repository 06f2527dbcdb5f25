"""Starts, stops and holds: when each is sent, and what its answer means."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.orders import HoldWorker, Order, PaceRun, StartRun, StopRun
from toucandoor.core.scheduling.pacing import needs_close_look, plan_paces
from toucandoor.core.scheduling.state import run_fields
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import OrderRefusal, StartOrder

if TYPE_CHECKING:
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_registry import WorkerRegistry

_LOGGER = logging.getLogger(__name__)


class RunOrders:
    """Decides on orders to backend servers and takes their answers."""

    def __init__(self, state: ScheduleState, registry: WorkerRegistry) -> None:
        self._state = state
        self._registry = registry
        self._paces: list[Order] = []

    def due(self) -> list[Order]:
        """Return the orders to send now."""
        state = self._state
        now_s = state.now_s
        orders = self._paces
        self._paces = []
        for run in list(state.runs_awaiting_orders):
            if run.key not in run.worker.runs:
                del state.runs_awaiting_orders[run]
            elif not run.order_in_flight and now_s >= run.next_order_s and run.worker.entry.address:
                order = self._run_order(run, now_s)
                if order is not None:
                    run.order_in_flight = True
                    run.order_sent_s = now_s
                    orders.append(order)
        for worker in state.workers.values():
            free = not worker.hold_in_flight and now_s >= worker.next_hold_s
            if worker.wants_hold and free and worker.entry.address:
                orders.append(self._hold(worker, now_s))
        return orders

    def next_hold_s(self) -> float:
        """Return when the next hold is due, on the monotonic clock; infinite for none."""
        return min(
            (
                worker.next_hold_s
                for worker in self._state.workers.values()
                if worker.wants_hold and not worker.hold_in_flight
            ),
            default=float("inf"),
        )

    def _run_order(self, run: Run, now_s: float) -> Order | None:
        token = self._state.settings.token
        if run.stop_wanted:
            if run.state is RunState.PLANNED or run.stop_acknowledged:
                return None
            return StopRun(run, token)
        if run.state is not RunState.STARTING:
            del self._state.runs_awaiting_orders[run]
            return None
        until_ms = self._extend_lease(run.worker, now_s)
        if until_ms is None:
            return None
        run.starts_sent += 1
        step = self._state.step_of(run.task)
        ticket = ""
        if step.advice is not None:
            ticket = step.advice.tickets.get(run.worker.entry.worker_id, "")
        payload = self._state.jobs[run.task.key.job_id].spec.payload
        return StartRun(run, StartOrder(run.key, payload, until_ms, token, run.checkpoint, ticket))

    def _hold(self, worker: WorkerView, now_s: float) -> HoldWorker:
        worker.hold_in_flight = True
        worker.hold_sent_s = now_s
        worker.acknowledging = worker.ends_acknowledged
        until_ms = self._extend_lease(worker, now_s) if worker.runs else None
        settled = not worker.silent and not worker.uncommitted
        if needs_close_look(worker):
            return self._short_hold(worker, until_ms)
        recovered = any(run.state is RunState.RECOVERED for run in worker.runs.values())
        wait_s = const.HOLD_WAIT_S if settled and worker.runs and not recovered else 0.0
        if any(run.stop_acknowledged for run in worker.runs.values()):
            wait_s = min(wait_s, const.LAPSE_MARGIN_S)
        token = self._state.settings.token
        return HoldWorker(worker, token, until_ms, worker.ends_acknowledged, wait_s)

    def _short_hold(self, worker: WorkerView, until_ms: int | None) -> HoldWorker:
        token = self._state.settings.token
        wait_s = 0.0 if worker.uncommitted else const.CLOSE_LOOK_S
        return HoldWorker(worker, token, until_ms, worker.ends_acknowledged, wait_s)

    def _extend_lease(self, worker: WorkerView, now_s: float) -> int | None:
        """Return the lease's end to send with an order, None where the clock is not known.

        A server that does not answer gets no longer lease: its runs would never count as ended.
        """
        if worker.hold_failures > 0:
            return worker.lease_until_ms or None
        until_ms = worker.lease_end_ms(self._state.settings.lease_s, now_s)
        if until_ms is not None:
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        return until_ms

    # Answers to holds

    def looked_at(self, worker: WorkerView) -> None:
        """Change speeds after a listing, where what fills disturbs what serves."""
        now_s = self._state.now_s
        for run, percent in plan_paces(worker, now_s).items():
            worker.paced_s = now_s
            self._paces.append(PaceRun(run, percent, self._state.settings.token))
            _LOGGER.info(
                "runs: paced",
                extra=run_fields(run) | {"percent": percent, "before": run.pace_percent},
            )

    def pace_answered(self, run: Run, percent: int) -> None:
        """Note the speed at which a run works now."""
        run.pace_percent = percent

    def hold_failed(self, worker: WorkerView, refusal: OrderRefusal | None) -> None:
        """Note that a hold was refused, or got no answer (None)."""
        worker.hold_in_flight = False
        if self._common_refusal(worker, refusal):
            return
        if worker.answered_s > worker.hold_sent_s:
            # It lives: only this call was lost, and its runs are not out of reach.
            worker.next_hold_s = self._state.now_s
            return
        worker.next_hold_s = self._state.now_s + const.HOLD_RETRY_S
        worker.hold_failures += 1

    def _common_refusal(self, worker: WorkerView, refusal: OrderRefusal | None) -> bool:
        """Take the refusals that mean the same for every order; return whether it was one."""
        if refusal is OrderRefusal.FENCED:
            self._state.deposed = True
            return True
        if refusal is OrderRefusal.OTHER_BOOT:
            self._registry.ended(worker, "was replaced at its address")
            return True
        return False

    # Answers to starts

    def start_answered(self, run: Run, clock_ms: int) -> None:
        """Note that a backend server has a run."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.worker.answered_s = now_s
        if clock_ms:
            run.worker.read_clock(clock_ms, now_s)
        if run.key not in run.worker.runs:
            return
        run.state = RunState.RUNNING
        if run.confirmed_s is None:
            run.confirmed_s = now_s

    def start_refused(self, run: Run, refusal: OrderRefusal) -> None:
        """Note that a backend server did not start a run."""
        now_s = self._state.now_s
        run.order_in_flight = False
        worker = run.worker
        worker.answered_s = now_s
        if run.key not in worker.runs or self._common_refusal(worker, refusal):
            return
        if refusal is OrderRefusal.DEADLINE_PASSED:
            run.next_order_s = now_s + const.START_RETRY_S
            worker.next_hold_s = now_s
            return
        if refusal is OrderRefusal.SUPERSEDED and run.starts_sent > 1:
            # An earlier copy of this order was carried out and has ended: the listing will tell.
            run.state = RunState.RUNNING
            run.confirmed_s = run.confirmed_s or now_s
            return
        if refusal is OrderRefusal.NO_ROOM:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.NO_ROOM_PAUSE_S)
        elif refusal is OrderRefusal.UNHEALTHY:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.UNHEALTHY_PAUSE_S)
        elif refusal is OrderRefusal.TICKET_INVALID:
            self._state.step_of(run.task).advice = None
        _LOGGER.info("runs: start refused", extra=run_fields(run) | {"reason": refusal.value})
        if run.starts_sent > 1:
            # A copy without an answer may still be carried out; a stop rules it out.
            self._state.want_stop(run)
        else:
            self._state.drop(run)

    def start_not_sent(self, run: Run) -> None:
        """Note that a start was not sent, as the ownership was not valid at that moment."""
        run.order_in_flight = False
        run.starts_sent -= 1
        run.next_order_s = self._state.now_s

    def start_unanswered(self, run: Run) -> None:
        """Note that a start got no answer: the run may exist, now or later."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.next_order_s = now_s + const.START_RETRY_S
        worker = run.worker
        if worker.answered_s < run.order_sent_s:
            worker.paused_until_s = max(worker.paused_until_s, now_s + const.UNANSWERED_PAUSE_S)
        if run.starts_sent >= const.START_RETRIES_MAX:
            self._state.want_stop(run)

    # Answers to stops

    def stop_answered(self, run: Run) -> None:
        """Note that a backend server refuses a run from now on, and ends it if it has it."""
        now_s = self._state.now_s
        run.order_in_flight = False
        run.stop_acknowledged = True
        run.worker.answered_s = now_s
        run.stop_sent_s = now_s
        self._state.runs_awaiting_orders.pop(run, None)
        run.worker.next_hold_s = min(run.worker.next_hold_s, now_s)

    def stop_failed(self, run: Run, refusal: OrderRefusal | None) -> None:
        """Note that a stop was refused, or got no answer (None)."""
        run.order_in_flight = False
        run.next_order_s = self._state.now_s + const.STOP_RETRY_S
        if self._common_refusal(run.worker, refusal):
            return
        if refusal is OrderRefusal.REJECTED:
            # The server knows nothing of the run, and has ruled it out no less than by a yes.
            self.stop_answered(run)

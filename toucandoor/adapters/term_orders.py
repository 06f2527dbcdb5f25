"""Carries out the scheduler's orders to backend servers and to the queues' adviser."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from toucandoor.core.scheduling.orders import (
    LimitSpeed,
    RequestAdvice,
    SendHeartbeat,
    StartRun,
    StopRun,
)
from toucandoor.core.scheduling.workers import OrderRefusedError, OrderUnansweredError

if TYPE_CHECKING:
    from toucandoor.adapters.term_context import TermContext
    from toucandoor.core.scheduling.orders import Order

_LOGGER = logging.getLogger(__name__)


class TermOrders:
    """Sends orders, each in a thread of a pool."""

    def __init__(self, term: TermContext) -> None:
        self._term = term

    def carry_out(self, order: Order) -> None:
        """Have a thread send an order and post what its answer means."""
        if isinstance(order, SendHeartbeat):
            self._term.submit_hold(partial(self._hold, order))
        elif isinstance(order, StartRun):
            self._term.submit(partial(self._start, order))
        elif isinstance(order, StopRun):
            self._term.submit(partial(self._stop_run, order))
        elif isinstance(order, RequestAdvice):
            self._term.submit(partial(self._ask_advice, order))
        elif isinstance(order, LimitSpeed):
            self._term.submit(partial(self._pace, order))

    def _hold(self, order: SendHeartbeat) -> None:
        scheduler, worker = self._term.scheduler, order.worker
        sent_s = self._term.around.clock.monotonic_s()
        try:
            listing = self._term.around.workers.heartbeat(
                worker.target,
                order.token,
                lease_until_ms=order.lease_until_ms,
                acknowledged=order.acknowledged,
                wait_s=order.wait_s,
            )
        except OrderRefusedError as err:
            refusal = err.refusal
            _LOGGER.info("workers: hold refused: %s", err)
            self._term.post(lambda: scheduler.heartbeat_failed(worker, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("workers: hold unanswered: %s", err)
            self._term.post(lambda: scheduler.heartbeat_failed(worker, None))
        else:
            self._term.post(lambda: scheduler.heartbeat_answered(worker, listing, sent_s))

    def _start(self, order: StartRun) -> None:
        scheduler, run = self._term.scheduler, order.run
        if not self._term.may_act():
            # The ownership may become valid again, and the start must then be sent after all.
            self._term.post(lambda: scheduler.start_not_sent(run))
            return
        try:
            clock_ms = self._term.around.workers.start(run.worker.target, order.order)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._term.post(lambda: scheduler.start_refused(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("runs: start unanswered: %s", err, extra={"job": run.task.key.job_id})
            self._term.post(lambda: scheduler.start_unanswered(run))
        else:
            self._term.post(lambda: scheduler.start_answered(run, clock_ms))

    def _stop_run(self, order: StopRun) -> None:
        scheduler, run = self._term.scheduler, order.run
        try:
            self._term.around.workers.stop(run.worker.target, run.key, order.token)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._term.post(lambda: scheduler.stop_failed(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("runs: stop unanswered: %s", err, extra={"job": run.task.key.job_id})
            self._term.post(lambda: scheduler.stop_failed(run, None))
        else:
            self._term.post(lambda: scheduler.stop_answered(run))

    def _pace(self, order: LimitSpeed) -> None:
        run = order.run
        try:
            self._term.around.workers.limit_speed(
                run.worker.target, run.key, order.percent, order.token
            )
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info("runs: pace failed: %s", err, extra={"job": run.task.key.job_id})
        else:
            self._term.post(lambda: self._term.scheduler.speed_limit_answered(run, order.percent))

    def _ask_advice(self, order: RequestAdvice) -> None:
        scheduler = self._term.scheduler
        try:
            advice = self._term.around.advice.advise(order.step, order.workers)
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info("advice: none: %s", err, extra={"job": order.step.job_id})
            self._term.post(lambda: scheduler.advice_answered(order.step, None))
        else:
            self._term.post(lambda: scheduler.advice_answered(order.step, advice))

"""Sends the scheduler's orders to backend servers and its requests to the adviser of queues."""

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
    """Sends each order in a thread of a pool, and posts its result to the term's event loop."""

    def __init__(self, term: TermContext) -> None:
        self._term = term

    def carry_out(self, order: Order) -> None:
        """Submit an order to the thread pool for its kind."""
        if isinstance(order, SendHeartbeat):
            self._term.submit_heartbeat(partial(self._send_heartbeat, order))
        elif isinstance(order, StartRun):
            self._term.submit(partial(self._start_run, order))
        elif isinstance(order, StopRun):
            self._term.submit(partial(self._stop_run, order))
        elif isinstance(order, RequestAdvice):
            self._term.submit(partial(self._request_advice, order))
        elif isinstance(order, LimitSpeed):
            self._term.submit(partial(self._limit_speed, order))

    def _send_heartbeat(self, order: SendHeartbeat) -> None:
        scheduler, worker = self._term.scheduler, order.worker
        sent_s = self._term.dependencies.clock.monotonic_s()
        try:
            report = self._term.dependencies.workers.heartbeat(
                worker.target,
                order.token,
                lease_until_ms=order.lease_until_ms,
                acknowledged=order.acknowledged,
                wait_s=order.wait_s,
            )
        except OrderRefusedError as err:
            refusal = err.refusal
            _LOGGER.info("workers: heartbeat refused: %s", err)
            self._term.post(lambda: scheduler.heartbeat_failed(worker, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("workers: heartbeat not answered: %s", err)
            self._term.post(lambda: scheduler.heartbeat_failed(worker, None))
        else:
            self._term.post(lambda: scheduler.heartbeat_answered(worker, report, sent_s))

    def _start_run(self, order: StartRun) -> None:
        scheduler, run = self._term.scheduler, order.run
        if not self._term.may_act():
            # The ownership may become valid again; the scheduler then sends the start again.
            self._term.post(lambda: scheduler.start_not_sent(run))
            return
        try:
            clock_ms = self._term.dependencies.workers.start(run.worker.target, order.order)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._term.post(lambda: scheduler.start_refused(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info(
                "runs: start order not answered: %s", err, extra={"job": run.task.key.job_id}
            )
            self._term.post(lambda: scheduler.start_unanswered(run))
        else:
            self._term.post(lambda: scheduler.start_answered(run, clock_ms))

    def _stop_run(self, order: StopRun) -> None:
        scheduler, run = self._term.scheduler, order.run
        try:
            self._term.dependencies.workers.stop(run.worker.target, run.key, order.token)
        except OrderRefusedError as err:
            refusal = err.refusal
            self._term.post(lambda: scheduler.stop_failed(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info(
                "runs: stop order not answered: %s", err, extra={"job": run.task.key.job_id}
            )
            self._term.post(lambda: scheduler.stop_failed(run, None))
        else:
            self._term.post(lambda: scheduler.stop_answered(run))

    def _limit_speed(self, order: LimitSpeed) -> None:
        run = order.run
        try:
            self._term.dependencies.workers.limit_speed(
                run.worker.target, run.key, order.percent, order.token
            )
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info(
                "runs: changing the speed limit failed: %s", err, extra={"job": run.task.key.job_id}
            )
        else:
            self._term.post(lambda: self._term.scheduler.speed_limit_answered(run, order.percent))

    def _request_advice(self, order: RequestAdvice) -> None:
        scheduler = self._term.scheduler
        try:
            advice = self._term.dependencies.advice.advise(order.step, order.workers)
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info(
                "advice: request to the adviser failed: %s", err, extra={"job": order.step.job_id}
            )
            self._term.post(lambda: scheduler.advice_answered(order.step, None))
        else:
            self._term.post(lambda: scheduler.advice_answered(order.step, advice))

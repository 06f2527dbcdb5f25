"""Sends the scheduler's orders to backend servers and its requests to the adviser of queues.

An unexpected error in an order counts as an order without an answer, so that a bad entry or answer
of one server does not end the term, in which all the others are scheduled.
"""

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
from toucandoor.core.scheduling.workers import (
    OrderNotSentError,
    OrderRefusedError,
    OrderUnansweredError,
    OrderWithheldError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from toucandoor.adapters.term_context import TermContext
    from toucandoor.core.scheduling.orders import Order

_LOGGER = logging.getLogger(__name__)


class TermOrders:
    """Sends orders on the event loop for calls, and posts their results to the term's loop."""

    def __init__(self, term: TermContext) -> None:
        self._term = term

    def carry_out(self, orders: Iterable[Order]) -> None:
        """Send orders without waiting for their results."""
        calls: list[Callable[[], Awaitable[None]]] = []
        for order in orders:
            if isinstance(order, SendHeartbeat):
                calls.append(partial(self._async_send_heartbeat, order))
            elif isinstance(order, StartRun):
                calls.append(partial(self._async_start_run, order))
            elif isinstance(order, StopRun):
                calls.append(partial(self._async_stop_run, order))
            elif isinstance(order, LimitSpeed):
                calls.append(partial(self._async_limit_speed, order))
            elif isinstance(order, RequestAdvice):
                self._term.submit(partial(self._request_advice, order))
        if calls:
            self._term.submit_calls(calls)

    async def _async_send_heartbeat(self, order: SendHeartbeat) -> None:
        scheduler, worker = self._term.scheduler, order.worker
        sent_s = self._term.dependencies.clock.monotonic_s()
        try:
            report = await self._term.dependencies.workers.async_heartbeat(
                worker.target,
                order.token,
                lease_until_ms=order.lease_until_ms,
                acknowledged=order.acknowledged,
                wait_s=order.wait_s,
                runs=len(worker.runs),
            )
        except OrderRefusedError as err:
            refusal = err.refusal
            _LOGGER.info("workers: heartbeat refused: %s", err)
            self._term.post(lambda: scheduler.run_orders.heartbeat_failed(worker, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info("workers: heartbeat not answered: %s", err)
            self._term.post(lambda: scheduler.run_orders.heartbeat_failed(worker, None))
        except Exception:
            self._record_error("heartbeat", worker.entry.worker_id)
            self._term.post(lambda: scheduler.run_orders.heartbeat_failed(worker, None))
        else:
            self._term.post(lambda: scheduler.heartbeat_answered(worker, report, sent_s))

    async def _async_start_run(self, order: StartRun) -> None:
        scheduler, run = self._term.scheduler, order.run

        def may_send() -> bool:
            return self._term.may_act() and scheduler.may_send_start(run)

        try:
            clock_ms = await self._term.dependencies.workers.async_start(
                run.worker.target, order.order, may_send
            )
        except OrderWithheldError:
            # The ownership may become valid again; the scheduler then sends the start again, unless
            # it may not be sent any more.
            self._term.post(lambda: scheduler.run_orders.start_not_sent(run))
        except OrderRefusedError as err:
            refusal = err.refusal
            self._term.post(lambda: scheduler.run_orders.start_refused(run, refusal))
        except OrderNotSentError as err:
            _LOGGER.info("runs: start order not sent: %s", err, extra={"job": run.task.key.job_id})
            self._term.post(lambda: scheduler.run_orders.start_undeliverable(run))
        except OrderUnansweredError as err:
            _LOGGER.info(
                "runs: start order not answered: %s", err, extra={"job": run.task.key.job_id}
            )
            self._term.post(lambda: scheduler.run_orders.start_unanswered(run))
        except Exception:
            self._record_error("start", run.worker.entry.worker_id)
            self._term.post(lambda: scheduler.run_orders.start_unanswered(run))
        else:
            self._term.post(lambda: scheduler.run_orders.start_answered(run, clock_ms))

    async def _async_stop_run(self, order: StopRun) -> None:
        scheduler, run = self._term.scheduler, order.run
        try:
            await self._term.dependencies.workers.async_stop(
                run.worker.target, run.key, order.token
            )
        except OrderRefusedError as err:
            refusal = err.refusal
            self._term.post(lambda: scheduler.run_orders.stop_failed(run, refusal))
        except OrderUnansweredError as err:
            _LOGGER.info(
                "runs: stop order not answered: %s", err, extra={"job": run.task.key.job_id}
            )
            self._term.post(lambda: scheduler.run_orders.stop_failed(run, None))
        except Exception:
            self._record_error("stop", run.worker.entry.worker_id)
            self._term.post(lambda: scheduler.run_orders.stop_failed(run, None))
        else:
            self._term.post(lambda: scheduler.run_orders.stop_answered(run))

    async def _async_limit_speed(self, order: LimitSpeed) -> None:
        run = order.run
        try:
            await self._term.dependencies.workers.async_limit_speed(
                run.worker.target, run.key, order.percent, order.token
            )
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info(
                "runs: changing the speed limit failed: %s", err, extra={"job": run.task.key.job_id}
            )
        except Exception:
            self._record_error("speed_limit", run.worker.entry.worker_id)
        else:
            self._term.post(
                lambda: self._term.scheduler.run_orders.speed_limit_answered(run, order.percent)
            )

    def _request_advice(self, order: RequestAdvice) -> None:
        scheduler = self._term.scheduler
        try:
            advice = self._term.dependencies.advice.advise(
                order.step, order.workers, order.timeout_s
            )
        except (OrderRefusedError, OrderUnansweredError) as err:
            _LOGGER.info(
                "advice: request to the adviser failed: %s", err, extra={"job": order.step.job_id}
            )
            self._term.post(lambda: scheduler.advice_answered(order.step, None))
        except Exception:
            self._record_error("advice", order.step.job_id)
            self._term.post(lambda: scheduler.advice_answered(order.step, None))
        else:
            self._term.post(lambda: scheduler.advice_answered(order.step, advice))

    def _record_error(self, order: str, receiver: str) -> None:
        """Log and count an unexpected error in an order, while it is being handled."""
        self._term.dependencies.metrics.add_unexpected_error(order)
        _LOGGER.exception(
            "owner: unexpected error in an order; it counts as not answered",
            extra={"order": order, "receiver": receiver},
        )

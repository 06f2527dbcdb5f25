"""Start orders that must not be sent: without a valid ownership, or to an evacuated server."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Sequence
from unittest import mock

from tests.core.scheduling.common import NEEDS, fleet, job
from toucandoor.adapters.term_context import TermContext
from toucandoor.adapters.term_orders import TermOrders
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.scheduling.orders import SendHeartbeat, StartRun
from toucandoor.fakes.virtual_calls import OwnerTerm
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.platform.async_http import CallNotSentError, CallWithheldError
from toucandoor.platform.workers import PlatformWorkers


class ValidityTest(unittest.TestCase):
    """A start order issued while the ownership is not valid is sent once it is valid again."""

    def test_a_start_is_sent_when_the_ownership_is_valid_again(self) -> None:
        virtual = fleet()
        owner = virtual.owner
        assert owner is not None
        self.invalidate_ownership(virtual, owner)
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.2)
        self.assertEqual(virtual.observations.starts, 0)
        del virtual.calls.send  # type: ignore[attr-defined]
        virtual.run(2.0)
        self.assertEqual(virtual.state(job(1).job_id), JobState.COMPLETED)

    def test_no_start_is_sent_to_a_data_centre_that_is_evacuated_meanwhile(self) -> None:
        # A start may wait for a connection; the ownership alone would permit it.
        virtual = fleet()
        owner = virtual.owner
        assert owner is not None
        self.invalidate_ownership(virtual, owner, valid=True)
        may_start = mock.patch.object(owner.scheduler.evacuation, "may_start", return_value=False)
        with may_start as asked:
            virtual.submit(job(1, Step(1, NEEDS)))
            virtual.run(0.2)
        self.assertEqual(virtual.observations.starts, 0)
        asked.assert_called()

    # Guards against a run that holds its task for a whole lease though its start was not sent.
    def test_a_start_without_a_connection_counts_as_not_sent(self) -> None:
        virtual = fleet(workers=1)
        owner = virtual.owner
        assert owner is not None
        self.invalidate_ownership(virtual, owner, valid=True, send=_async_refuse_connection)
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.05)
        [run] = [run for worker in owner.scheduler.workers.values() for run in worker.runs.values()]
        self.assertEqual(run.starts_undeliverable, 1)
        self.assertTrue(run.never_sent)

    def invalidate_ownership(
        self,
        virtual: VirtualFleet,
        owner: OwnerTerm,
        *,
        valid: bool = False,
        send: Callable[..., Awaitable[None]] | None = None,
    ) -> None:
        """Handle start orders as in a term with this validity; send all other orders."""
        send_order = virtual.calls.send

        def post(event: Callable[[], None]) -> None:
            virtual.schedule(0.0, event)

        def submit_calls(calls: Sequence[Callable[[], Awaitable[None]]]) -> None:
            for call in calls:
                asyncio.run(_async_run(call))

        http = mock.Mock()
        http.async_post.side_effect = send or _async_withhold
        dependencies = mock.Mock(clock=ManualClock())
        dependencies.workers = PlatformWorkers(http, dependencies.clock)
        term = TermContext(
            dependencies,
            mock.Mock(),
            owner.scheduler,
            post,
            lambda action: action(),
            submit_calls,
            lambda: valid,
        )
        orders = TermOrders(term)

        def carry_out(sender: OwnerTerm, order: object) -> None:
            if isinstance(order, StartRun):
                orders.carry_out([order])
            else:
                send_order(sender, order)  # type: ignore[arg-type]

        virtual.calls.send = carry_out  # type: ignore[method-assign]


class UnexpectedErrorTest(unittest.TestCase):
    """An unexpected error in an order affects the server of that order alone."""

    # Guards against one server that ends the term of each owner, and stops the whole schedule.
    def test_errors_in_the_orders_to_one_server_leave_the_others_at_work(self) -> None:
        virtual = fleet(workers=2)
        owner = virtual.owner
        assert owner is not None
        send, metrics = virtual.calls.send, mock.Mock()
        workers = mock.Mock()
        for name in ("async_heartbeat", "async_start", "async_stop", "async_limit_speed"):
            getattr(workers, name).side_effect = RuntimeError("cannot be encoded")
        term = TermContext(
            mock.Mock(clock=ManualClock(), workers=workers, metrics=metrics),
            mock.Mock(),
            owner.scheduler,
            lambda event: virtual.schedule(0.0, event),
            lambda action: action(),
            lambda calls: [asyncio.run(_async_run(call)) for call in calls] and None,
            lambda: True,
        )
        orders = TermOrders(term)

        def carry_out(sender: OwnerTerm, order: object) -> None:
            worker = order.worker if isinstance(order, SendHeartbeat) else order.run.worker  # type: ignore[attr-defined]
            # A server that does not answer heartbeats gets no starts.
            answered = isinstance(order, SendHeartbeat) and not metrics.add_unexpected_error.called
            if worker.entry.worker_id == "w0" and not answered:
                orders.carry_out([order])  # type: ignore[list-item]
            else:
                send(sender, order)  # type: ignore[arg-type]

        virtual.run(1.0)
        virtual.calls.send = carry_out  # type: ignore[method-assign]
        with self.assertLogs("toucandoor.adapters.term_orders", "ERROR") as logs:
            for number in range(1, 5):
                virtual.submit(job(number, Step(2, NEEDS)))
            virtual.run(30.0)
        self.assertIn("cannot be encoded", logs.output[0])
        for order in ("start", "heartbeat"):
            metrics.add_unexpected_error.assert_any_call(order)
        self.assertEqual(virtual.observations.violations, [])
        for number in range(1, 5):
            self.assertEqual(virtual.state(job(number).job_id), JobState.COMPLETED)


async def _async_run(call: Callable[[], Awaitable[None]]) -> None:
    await call()


async def _async_withhold(*_: object, may_send: Callable[[], bool], **__: object) -> None:
    """Ask for the permission as the client does before it sends a call."""
    if not may_send():
        raise CallWithheldError("withheld", step="start")
    raise AssertionError("sent although the ownership is not valid")


async def _async_refuse_connection(*_: object, **__: object) -> None:
    raise CallNotSentError("connection refused", step="start")


if __name__ == "__main__":
    unittest.main()

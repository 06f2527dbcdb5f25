"""Orders at the edge of the ownership's validity."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest import mock

from tests.core.scheduling.common import NEEDS, fleet, job
from toucandoor.adapters.term_context import TermContext
from toucandoor.adapters.term_orders import TermOrders
from toucandoor.core.jobs.models import JobState, Step
from toucandoor.core.scheduling.orders import StartRun
from toucandoor.fakes.virtual_calls import OwnerTerm
from toucandoor.fakes.virtual_fleet import VirtualFleet


class ValidityTest(unittest.TestCase):
    """A start that falls into a gap of validity is sent once the ownership is valid again."""

    def test_a_start_in_the_gap_is_not_lost(self) -> None:
        virtual = fleet()
        owner = virtual.owner
        assert owner is not None
        self.drop_starts(virtual, owner)
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.2)
        self.assertEqual(virtual.observations.starts, 0)
        del virtual.calls.send  # type: ignore[attr-defined]
        virtual.run(2.0)
        self.assertEqual(virtual.state(job(1).job_id), JobState.COMPLETED)

    def drop_starts(self, virtual: VirtualFleet, owner: OwnerTerm) -> None:
        """Carry starts out as a term does whose ownership is not valid at that moment."""
        send = virtual.calls.send

        def post(event: Callable[[], None]) -> None:
            virtual.schedule(0.0, event)

        term = TermContext(
            mock.Mock(),
            owner.scheduler,
            post,
            lambda action: action(),
            lambda action: action(),
            lambda: False,
        )
        orders = TermOrders(term)

        def carry_out(sender: OwnerTerm, order: object) -> None:
            if isinstance(order, StartRun):
                orders.carry_out(order)
            else:
                send(sender, order)  # type: ignore[arg-type]

        virtual.calls.send = carry_out  # type: ignore[method-assign]


if __name__ == "__main__":
    unittest.main()

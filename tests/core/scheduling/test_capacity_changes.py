"""Backend servers whose capacity shrinks and grows, and that do not check it themselves."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from tests.core.scheduling.common import CAPACITY, NEEDS, fleet, job, never_ends
from toucandoor.core.jobs.models import Resources, Step
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.ids import WorkerId

if TYPE_CHECKING:
    from toucandoor.fakes.virtual_fleet import VirtualFleet

SHRUNK = Resources(6000, 16000, 0)
NOTICE_S = 5.0
"""More than the time after which a smaller capacity counts, by the platform's rules."""


def set_capacity(virtual: VirtualFleet, capacity: Resources) -> None:
    """Change the capacity that the server w0 states; the stand-in itself goes on to accept more."""
    worker = virtual.workers[WorkerId("w0")]
    virtual.scheduler.worker_listed(replace(worker.entry, capacity=capacity))


class CapacityChangesTest(unittest.TestCase):
    # Guards against a start that was planned before the server's capacity shrank and is sent after.
    def test_a_run_that_was_planned_for_more_capacity_is_not_started(self) -> None:
        virtual = fleet(workers=1, behaviour=never_ends)
        virtual.submit(job(1, Step(3, NEEDS, long_running=True)))
        virtual.run(1.0)
        virtual.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "write" else CallOutcome.ANSWERED
        )
        virtual.submit(job(2, Step(1, NEEDS, long_running=True)))
        virtual.run(0.5)
        set_capacity(virtual, SHRUNK)
        virtual.run(NOTICE_S)
        virtual.calls.choose_outcome = lambda _kind: CallOutcome.ANSWERED
        virtual.run(3.0)
        used = virtual.workers[WorkerId("w0")].used()
        self.assertTrue(used.fits_in(SHRUNK), used)
        set_capacity(virtual, CAPACITY)
        virtual.run(3.0)
        self.assertEqual(virtual.workers[WorkerId("w0")].used(), NEEDS.times(4))


if __name__ == "__main__":
    unittest.main()

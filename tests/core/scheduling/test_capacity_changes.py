"""Backend servers that do not check their capacity themselves."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

from tests.core.scheduling.common import (
    CAPACITY,
    NEEDS,
    fleet,
    job,
    never_ends,
    start_run_of_unknown_job,
)
from toucandoor.core.jobs.models import Resources, Step
from toucandoor.core.scheduling.workers import OrderRefusedError
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_platform import VirtualWorker
from toucandoor.ids import WorkerId

if TYPE_CHECKING:
    from toucandoor.core.scheduling.workers import StartOrder
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

    # Guards against tasks beside runs that are being stopped and whose jobs the owner doesn't know.
    def test_runs_of_ended_jobs_use_capacity_until_they_have_ended(self) -> None:
        virtual = fleet(workers=1, behaviour=never_ends)
        worker = start_run_of_unknown_job(virtual)
        refused: list[OrderRefusedError] = []
        start = worker.start

        def observed_start(order: StartOrder) -> int:
            try:
                return start(order)
            except OrderRefusedError as err:
                refused.append(err)
                raise

        virtual.submit(job(1, Step(4, NEEDS, long_running=True)))
        with mock.patch.object(VirtualWorker, "start", lambda _self, order: observed_start(order)):
            virtual.take_over()
            virtual.run(3.0)
        self.assertEqual(refused, [])
        self.assertEqual(worker.used(), NEEDS.times(4))


if __name__ == "__main__":
    unittest.main()

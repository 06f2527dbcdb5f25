"""Room held for long-running tasks on servers that become unfit, and servers given back to them."""

from __future__ import annotations

import unittest
from unittest import mock

from tests.core.scheduling import test_planned_stops as planned
from tests.core.scheduling.common import (
    CAPACITY,
    NEEDS,
    configuration,
    job,
)
from tests.core.scheduling.test_planned_stops import LONG_JOB, MOVE_S, behave
from toucandoor.core.jobs.models import NO_RESOURCES, Resources, Step, TaskKey
from toucandoor.core.scheduling.worker_view import WorkerView
from toucandoor.fakes import virtual_calls
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import VmId, WorkerId

SIX_S_JOB = 500
"""First of the jobs whose tasks take 6 s."""


def behave_six(task: TaskKey, worker: WorkerId) -> TaskBehaviour:
    number = int(task.job_id, 16)
    return TaskBehaviour(NEEDS, 6.0) if SIX_S_JOB <= number < LONG_JOB else behave(task, worker)


class FullPool(unittest.TestCase):
    """A pool whose servers, one on each VM, are started by the tests."""

    boot = planned.PlannedStopsTest.boot
    submit_lasting = planned.PlannedStopsTest.submit_lasting
    longest_gap_s = planned.PlannedStopsTest.longest_gap_s
    place_of = planned.PlannedStopsTest.place_of
    drain = planned.PlannedStopsTest.drain

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), behave_six)
        self.fleet.take_over()
        self.waves = VirtualWaves(self.fleet)
        self.tasks: list[TaskKey] = []


class HeldRoomTest(FullPool):
    """A task of a server that a wave vacates waits for room on a server that is full so far."""

    def hold_later_room(self, *, draining: bool = False) -> WorkerView:
        """Hold room on w1, which runs a task of 20 s and one of 6 s, for the task on w0.

        Args:
            draining: Whether w0 drains; otherwise a wave vacates it.
        """
        self.boot(0)
        self.submit_lasting(1, CAPACITY.cpu_millicores // 2)
        needs = Resources(CAPACITY.cpu_millicores * 3 // 8, NEEDS.memory_mb, 0)
        self.fleet.submit(job(LONG_JOB, Step(1, needs, 20_000)))  # beside it on w0
        self.fleet.run(0.3)
        self.boot(1)
        self.fleet.submit(job(LONG_JOB + 1, Step(1, needs, 20_000)))
        self.fleet.submit(job(SIX_S_JOB, Step(1, needs, 6_000)))
        self.fleet.run(0.5)
        if draining:
            self.drain(0, remaining_ms=60_000)
        else:
            self.waves.order([VmId("m0")], within_s=6.0, down_max=1)
        self.fleet.run(2.0)
        held = self.fleet.scheduler.state.held_room
        [run] = held.runs()
        target = held.target(run)
        assert target is not None
        self.assertEqual(target.entry.worker_id, "w1")
        return target

    # Guards against a wave that never ends: the task moves once the held room is free.
    def test_the_task_moves_to_the_held_room(self) -> None:
        self.hold_later_room()
        self.assertLess(self.longest_gap_s(12.0), MOVE_S)
        self.assertEqual(self.place_of(self.tasks[0]), "w1")

    # Guards against capacity that nobody gets, as the server with the task stays after all.
    def test_held_room_is_released_where_the_server_does_not_leave(self) -> None:
        target = self.hold_later_room(draining=True)
        self.assertNotEqual(target.held, NO_RESOURCES)
        self.fleet.scheduler.worker_listed(self.fleet.workers[WorkerId("w0")].entry)
        self.fleet.run(1.0)
        self.assertEqual(target.held, NO_RESOURCES)

    # Guards against a stop for room on a server that gets one task at a time.
    def test_no_stop_for_room_on_a_server_that_has_become_slow(self) -> None:
        target = self.hold_later_room()
        domains = self.fleet.scheduler.state.failure_domains
        slowness = domains.slowness
        domains.slowness = lambda worker: 3.0 if worker is target else slowness(worker)  # type: ignore[method-assign]
        self.assertEqual(self.longest_gap_s(12.0), 0.0)

    # Guards against a stop for room on a server that gets no starts, as its rack is suspected.
    def test_no_stop_for_room_on_a_server_that_is_suspected(self) -> None:
        target = self.hold_later_room()
        domains = self.fleet.scheduler.state.failure_domains
        domains.suspects = lambda worker: worker is target  # type: ignore[method-assign]
        self.assertEqual(self.longest_gap_s(12.0), 0.0)

    # Guards against a wave that waits for room on a server that is gone for good.
    def test_room_held_on_a_server_that_is_gone_is_given_up(self) -> None:
        target = self.hold_later_room()
        self.fleet.crash(target.entry.worker_id)
        self.fleet.run(25.0)
        state = self.fleet.scheduler.state
        self.assertNotIn(target, state.workers.values())
        self.assertEqual(
            [r for r in state.held_room.runs() if state.held_room.target(r) is target], []
        )

    # Guards against a pool that does not ask for a further VM in its place.
    def test_a_task_whose_held_target_is_gone_counts_as_without_room(self) -> None:
        target = self.hold_later_room()
        self.fleet.crash(target.entry.worker_id)
        self.fleet.run(25.0)
        self.assertNotEqual(self.fleet.scheduler.planned_stops.without_room, {})


class GiveBackTest(FullPool):
    """The only server of a task is lost while a wave vacates all others."""

    def lose_a_task(self, down_max: int) -> tuple[float, str]:
        """Crash the server of the only task while the other two are vacated and not empty."""
        self.boot(0)
        self.submit_lasting(1, CAPACITY.cpu_millicores // 2)
        self.boot(1, 2)
        place = self.place_of(self.tasks[0])
        others = [f"w{each}" for each in range(3) if f"w{each}" != place]
        needs = Resources(CAPACITY.cpu_millicores * 3 // 8, NEEDS.memory_mb, 0)
        self.fleet.submit(job(LONG_JOB, Step(3, needs, 20_000)))
        self.fleet.run(1.0)
        self.waves.order([VmId("m" + each[1:]) for each in others], within_s=8.0, down_max=down_max)
        self.fleet.run(1.0)
        self.fleet.crash(place)
        return self.longest_gap_s(12.0), place

    # Guards against a lost task that waits while a vacated server alone has room for it.
    def test_a_lost_task_gets_a_vacated_server(self) -> None:
        for down_max in (1, 2):
            with self.subTest(down_max=down_max):
                self.setUp()
                gap_s, _ = self.lose_a_task(down_max)
                self.assertLess(gap_s, 2.0)
                self.assertEqual(self.fleet.observations.violations, [])

    # Guards against a wave that vacates the server again before the task has started there.
    def test_a_lost_task_gets_a_vacated_server_while_the_store_is_slow(self) -> None:
        with mock.patch.object(virtual_calls, "STORE_CALL_S", 0.5):
            gap_s, _ = self.lose_a_task(2)
        self.assertLess(gap_s, 3.0)


if __name__ == "__main__":
    unittest.main()

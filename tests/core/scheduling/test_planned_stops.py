"""Long-running tasks on servers that a wave empties or that drain: no stop before there is room."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job, never_ends
from toucandoor.core.jobs.configuration import JobPool
from toucandoor.core.jobs.models import NO_RESOURCES, Resources, Step, TaskKey
from toucandoor.core.maintenance.vm_list import VmList
from toucandoor.core.maintenance.vm_orders import VmOrderLog
from toucandoor.core.pools.lending import PoolMove, wanted_vms
from toucandoor.core.pools.vm_lender import VmLender
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.cordons import Cordon, CordonSource
from toucandoor.core.scheduling.workers import VmEntry, VmState
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.fakes.virtual_waves import VirtualWaves
from toucandoor.ids import DataCentreId, JobId, PoolId, VmId, WorkerId

LASTING_JOB = 1
LONG_JOB = 1000
"""First of the jobs whose tasks take 20 s."""
STEP_S = 0.02
MOVE_S = 0.5
"""Longest time that a task is without a run while it moves to room that was held for it."""
SPARE = PoolId("spare")


def behave(task: TaskKey, worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of tasks: those of the first job last, others take a second."""
    if task.job_id == job(LASTING_JOB).job_id:
        return never_ends(task, worker)
    return TaskBehaviour(NEEDS, 20.0 if int(task.job_id, 16) >= LONG_JOB else 1.0)


def tasks_of(number: int, count: int) -> list[TaskKey]:
    """Return the keys of the first tasks of a job."""
    return [TaskKey(JobId(f"{number:016x}"), 0, 0, index) for index in range(count)]


class PlannedStopsTest(unittest.TestCase):
    """A pool whose servers, one on each VM, are started by the tests."""

    def setUp(self) -> None:
        self.fleet = VirtualFleet(configuration(), behave)
        self.fleet.take_over()
        self.waves = VirtualWaves(self.fleet)
        self.tasks: list[TaskKey] = []

    def boot(self, *numbers: int) -> None:
        for number in numbers:
            self.fleet.boot(f"w{number}", POOL, CAPACITY, vm_id=f"m{number}")
        self.fleet.run(0.3)

    def submit_lasting(
        self,
        count: int,
        cpu_millicores: int = CAPACITY.cpu_millicores,
        *,
        unavailable_max: int | None = None,
    ) -> None:
        """Submit a job of long-running tasks, which fill a server each unless stated."""
        needs = Resources(cpu_millicores, NEEDS.memory_mb, 0)
        step = Step(count, needs, long_running=True, unavailable_max=unavailable_max)
        self.fleet.submit(job(LASTING_JOB, step))
        self.tasks = tasks_of(LASTING_JOB, count)
        self.fleet.run(2.0)

    def longest_gap_s(self, for_s: float) -> float:
        """Run on and return the longest time for which a long-running task had no run."""
        longest_s, without_s = 0.0, dict.fromkeys(self.tasks, 0.0)
        for _ in range(round(for_s / STEP_S)):
            self.fleet.run(STEP_S)
            for boot in self.fleet.observations.boots:
                boot.update()
            for task in self.tasks:
                runs = self.fleet.observations.running.get(task)
                without_s[task] = 0.0 if runs else without_s[task] + STEP_S
                longest_s = max(longest_s, without_s[task])
        return longest_s

    def drain(self, number: int, remaining_ms: int | None) -> None:
        entry = self.fleet.workers[WorkerId(f"w{number}")].entry
        self.fleet.scheduler.worker_listed(replace(entry, draining=True, remaining_ms=remaining_ms))

    def place_of(self, task: TaskKey) -> WorkerId:
        [worker] = self.fleet.observations.running[task]
        return worker

    # Maintenance waves

    # Guards against a wave that stops a task while every other server of its pool is full.
    def test_a_wave_waits_until_another_server_has_room(self) -> None:
        self.boot(0, 1)
        self.submit_lasting(2)
        wave = self.waves.order([VmId("m0")], within_s=6.0, down_max=1)
        self.assertEqual(self.longest_gap_s(10.0), 0.0)
        self.assertEqual(self.waves.begun_s[wave], {})
        self.boot(2)
        self.assertLess(self.longest_gap_s(6.0), MOVE_S)
        self.assertIn(wave, self.waves.completed_s)

    # Guards against two stops of one pass that count on the same room.
    def test_room_for_one_task_lets_one_task_leave(self) -> None:
        self.boot(0)
        self.submit_lasting(4, NEEDS.cpu_millicores)
        self.fleet.boot("w1", POOL, NEEDS.times(2), vm_id="m1")
        self.fleet.run(0.3)
        self.waves.order([VmId("m0")], within_s=6.0, down_max=1)
        self.assertLess(self.longest_gap_s(8.0), MOVE_S)
        here = [task for task in self.tasks if self.place_of(task) == WorkerId("w0")]
        self.assertEqual(len(here), 2)

    # Guards against waves that cordon all servers of a pool and then wait for each other.
    def test_waves_over_a_whole_pool_end_while_its_tasks_run(self) -> None:
        self.boot(0, 1, 2, 3)
        self.submit_lasting(4, CAPACITY.cpu_millicores // 2)
        vms = [VmId(f"m{number}") for number in range(4)]
        first = self.waves.order(vms[:2], within_s=10.0, down_max=2)
        second = self.waves.order(vms[2:], within_s=10.0, down_max=2)
        self.assertLess(self.longest_gap_s(40.0), MOVE_S)
        self.assertLessEqual({first, second}, self.waves.completed_s.keys())

    # Guards against a wave that never gets room, as other waiting tasks take what becomes free.
    def test_a_task_gets_room_in_a_pool_in_which_others_always_wait(self) -> None:
        self.boot(0, 1)
        self.submit_lasting(1, CAPACITY.cpu_millicores // 2)
        for number in range(2, 80):
            self.fleet.submit(job(number, Step(3, NEEDS, 1000)))
        self.fleet.run(2.0)
        vm_id = VmId("m" + self.place_of(self.tasks[0])[1:])
        wave = self.waves.order([vm_id], within_s=8.0, down_max=1)
        self.assertLess(self.longest_gap_s(8.0), MOVE_S)
        self.assertIn(vm_id, self.waves.begun_s[wave])
        self.fleet.run(60.0)
        for worker in self.fleet.scheduler.workers.values():
            self.assertEqual(worker.held.cpu_millicores, 0)

    # Guards against a task without a run while the only server with room is vacated for seconds.
    def test_a_vacated_server_is_given_back_to_a_task_without_a_run(self) -> None:
        self.boot(0)
        self.fleet.submit(job(LONG_JOB, Step(1, NEEDS, 20_000)))
        self.fleet.run(1.0)
        wave = self.waves.order([VmId("m0")], within_s=20.0, down_max=1)
        self.boot(1)
        self.submit_lasting(2, CAPACITY.cpu_millicores - NEEDS.cpu_millicores)
        running = self.fleet.observations.running
        places = sorted(worker for task in self.tasks for worker in running.get(task, ()))
        self.assertEqual(places, ["w0", "w1"])
        self.boot(2)
        self.assertLess(self.longest_gap_s(10.0), MOVE_S)
        self.assertIn(wave, self.waves.completed_s)

    # Guards against kinds of room that are never searched for, as others have none for long.
    def test_kinds_of_room_are_searched_for_in_turn(self) -> None:
        self.boot(0)
        for number in range(4):
            needs = Resources(NEEDS.cpu_millicores, NEEDS.memory_mb + number, 0)
            self.fleet.submit(job(LONG_JOB + number, Step(1, needs, 1000, long_running=True)))
        self.fleet.run(2.0)
        self.waves.order([VmId("m0")], within_s=20.0, down_max=1)
        self.fleet.run(3.0)
        self.assertEqual(len(self.fleet.scheduler.planned_stops.without_room), 4)

    # Guards against a job that is given up, as its task was moved before it had proved harmless
    # after the loss of its server and the next server was lost as well.
    def test_a_task_under_suspicion_stays_until_it_has_proved_harmless(self) -> None:
        self.boot(0)
        self.submit_lasting(1)
        [worker] = self.fleet.scheduler.workers.values()
        [run] = worker.runs.values()
        run.harmless_before = run.reported = False
        self.fleet.scheduler.registry.crashes.on_lost(worker, [run], ended=True)
        self.fleet.scheduler.registry.boot_ended(worker, "was lost in this test")
        self.fleet.crash("w0")
        self.boot(1)
        self.fleet.run(1.0)
        [start] = [at_s for at_s, entry in self.fleet.observations.started if entry.vm_id == "m1"]
        self.boot(2)
        wave = self.waves.order([VmId("m1")], within_s=6.0, down_max=1)
        self.longest_gap_s(start + const.HARMLESS_AFTER_S - self.fleet.clock.monotonic_s())
        self.assertEqual(self.place_of(self.tasks[0]), "w1")
        self.assertLess(self.longest_gap_s(4.0), MOVE_S)
        self.assertIn(wave, self.waves.completed_s)
        self.assertEqual(self.place_of(self.tasks[0]), "w2")

    # Servers that drain

    # Guards against a task that is stopped while its server has seconds left and no other has room.
    def test_a_draining_server_keeps_its_tasks_until_there_is_room(self) -> None:
        self.boot(0, 1)
        self.submit_lasting(2)
        self.drain(0, remaining_ms=6000)
        self.assertEqual(self.longest_gap_s(3.0), 0.0)
        self.boot(2)
        self.assertLess(self.longest_gap_s(3.0), MOVE_S)

    # Guards against a server that leaves with a run on it, which would be known as lost only later.
    def test_tasks_are_stopped_before_a_draining_server_leaves(self) -> None:
        for remaining_ms in (3000, None):
            with self.subTest(remaining_ms=remaining_ms):
                self.setUp()
                self.boot(0, 1)
                self.submit_lasting(2)
                self.drain(0, remaining_ms=remaining_ms)
                self.fleet.run((remaining_ms or 1000) / 1000)
                self.assertFalse(self.fleet.workers[WorkerId("w0")].runs)

    # Lending

    def lender(self, vms: int) -> VmLender:
        """Return the lender of a fleet with a spare pool, whose VMs are all in the other pool."""
        scheduler = self.fleet.scheduler
        pools = self.fleet.configuration.pools | {SPARE: JobPool(SPARE, True, True)}
        scheduler.set_configuration(replace(self.fleet.configuration, version=2, pools=pools))
        now_s = self.fleet.clock.monotonic_s
        vm_list = VmList(now_s)
        lender = VmLender(
            scheduler, vm_list, now_s, order_log=VmOrderLog(self.fleet.clock, 3.5), move_s=1.5
        )
        centre = DataCentreId("dc")
        listed = [
            VmEntry(VmId(f"m{each}"), POOL, VmState.UP, centre, (), CAPACITY, WorkerId(f"w{each}"))
            for each in range(vms)
        ]
        vm_list.on_read(listed, now_s())
        return lender

    def moves_within(self, lender: VmLender, busy: set[VmId], for_s: float) -> list[PoolMove]:
        moves: list[PoolMove] = []
        for _ in range(round(for_s / 0.1)):
            moves += lender.due_moves(busy)
            self.fleet.run(0.1)
        return moves

    def cordon(self, *numbers: int) -> set[VmId]:
        for number in numbers:
            worker = self.fleet.scheduler.workers[WorkerId(f"w{number}")]
            worker.cordons.add(Cordon(CordonSource.WAVE, 1))
        return {VmId(f"m{number}") for number in numbers}

    # Guards against empty VMs that are lent away just before tasks of vacated servers need them.
    def test_vms_that_vacated_servers_need_are_not_lent(self) -> None:
        self.boot(0, 1, 2)
        self.submit_lasting(3, unavailable_max=0)
        self.boot(3, 4, 5)
        busy = self.cordon(0, 1, 2)
        self.assertEqual(self.moves_within(self.lender(6), busy, 3.0), [])
        needs = Resources(CAPACITY.cpu_millicores, NEEDS.memory_mb, 0)
        load = self.fleet.scheduler.pool_loads.current()[POOL]
        self.assertEqual(load.waiting, needs.times(3))

    # Guards against the same while servers drain.
    def test_tasks_of_draining_servers_count_as_demand(self) -> None:
        self.boot(0, 1)
        self.submit_lasting(2)
        self.drain(0, remaining_ms=6000)
        needs = Resources(CAPACITY.cpu_millicores, NEEDS.memory_mb, 0)
        for _ in range(3):
            load = self.fleet.scheduler.pool_loads.current()[POOL]
            self.assertEqual(load.waiting, needs)
            self.fleet.run(0.5)

    # Guards against a wave that waits for ever, as enough is free in all but on no single server.
    def test_a_further_vm_is_wanted_for_a_task_without_room(self) -> None:
        self.boot(0, 1, 2, 3)
        self.submit_lasting(4, CAPACITY.cpu_millicores // 2 + 100)
        self.waves.order([VmId("m0")], within_s=6.0, down_max=1)
        self.fleet.run(1.0)
        load = self.fleet.scheduler.pool_loads.current()[POOL]
        self.assertEqual((load.workers, wanted_vms(load, CAPACITY)), (3, 4))
        self.boot(4)
        self.assertLess(self.longest_gap_s(3.0), MOVE_S)
        load = self.fleet.scheduler.pool_loads.current()[POOL]
        self.assertEqual(load.without_room, NO_RESOURCES)

    # Guards against an empty VM that is lent or vacated while its room is held for a task.
    def test_a_vm_with_held_room_is_not_empty(self) -> None:
        self.boot(0, 1, 2)
        self.submit_lasting(1)
        lender = self.lender(3)
        for worker in self.fleet.scheduler.workers.values():
            if not worker.runs:
                worker.hold(NEEDS)
        self.assertEqual(self.moves_within(lender, set(), 3.0), [])
        held = [
            worker.entry.vm_id
            for worker in self.fleet.scheduler.workers.values()
            if worker.held == NEEDS and worker.entry.vm_id is not None
        ]
        wave = self.waves.order(held, within_s=20.0, down_max=2)
        self.fleet.run(2.0)
        self.assertEqual((len(held), self.waves.begun_s[wave]), (2, {}))


if __name__ == "__main__":
    unittest.main()

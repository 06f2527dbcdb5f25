"""Sessions of the scheduler on a virtual fleet: without faults, and with one fault at a time."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from unittest import mock

from tests.core.scheduling.common import (
    CAPACITY,
    NEEDS,
    POOL,
    always_fails,
    fleet,
    job,
    never_ends,
    start_run_of_unknown_job,
    succeeds_after_1s,
)
from toucandoor.core.jobs.configuration import JobPool
from toucandoor.core.jobs.models import JobState, Resources, Step
from toucandoor.core.jobs.records import JOB_PREFIX, job_key, progress_key
from toucandoor.core.records import Transaction, TransactionConflictError
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.cordons import MOVE_CORDON
from toucandoor.core.scheduling.orders import SendHeartbeat
from toucandoor.core.scheduling.worker_view import DiscardReason, WorkerView
from toucandoor.core.scheduling.workers import EndReason, StatusReport
from toucandoor.fakes.virtual_calls import CallOutcome, OwnerTerm
from toucandoor.fakes.virtual_platform import TaskBehaviour, VirtualWorker
from toucandoor.ids import ConfigVersion, PoolId, WorkerId

if TYPE_CHECKING:
    from toucandoor.core.scheduling.orders import Order
    from toucandoor.fakes.virtual_fleet import VirtualFleet


def fleet_with_unreachable_run() -> tuple[VirtualFleet, VirtualWorker]:
    """Return a fleet with one run of 20 s, and its server, which has just become unreachable."""
    virtual = fleet(behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, 20.0))
    virtual.submit(job(1, Step(1, NEEDS)))
    virtual.run(0.5)
    place = next(iter(next(iter(virtual.observations.running.values()))))
    virtual.workers[place].reachable = False
    return virtual, virtual.workers[place]


class ListedServersTest(unittest.TestCase):
    """Which entries in the list of backend servers are called."""

    # Guards against calls to servers of other kinds that are in the platform's list.
    def test_a_server_of_a_pool_that_no_configuration_names_is_not_called(self) -> None:
        virtual = fleet(workers=1)
        called: set[str] = set()
        send = virtual.calls.send

        def count(owner: OwnerTerm, order: Order) -> None:
            if isinstance(order, SendHeartbeat):
                called.add(order.worker.entry.worker_id)
            send(owner, order)

        virtual.calls.send = count  # type: ignore[method-assign]
        virtual.boot("w1", POOL, CAPACITY)
        virtual.boot("other", "resolver", CAPACITY)
        virtual.boot("on-vm", "resolver", CAPACITY, vm_id="m1")
        virtual.run(3.0)
        self.assertEqual(called, {"w1", "on-vm"})
        pool = JobPool(PoolId("resolver"), True, False)
        known = virtual.configuration
        virtual.scheduler.set_configuration(
            replace(known, version=ConfigVersion(2), pools=known.pools | {pool.name: pool})
        )
        virtual.run(1.0)
        self.assertEqual(called, {"w1", "on-vm", "other"})


class OrdersInFlightTest(unittest.TestCase):
    """How many orders are sent to one server at once."""

    # Guards against orders whose time-outs pass while they wait in line, so that all are repeated.
    def test_starts_beyond_what_a_server_takes_at_once_wait_for_answers(self) -> None:
        small = Resources(10, 10, 0)
        virtual = fleet(workers=1, behaviour=lambda _task, _worker: TaskBehaviour(small, 1.0))
        most, in_flight = 0, 0
        send_order = virtual.calls._send_order

        def count(*arguments: Any) -> None:
            nonlocal most, in_flight
            in_flight += 1
            most = max(most, in_flight)
            answered = arguments[4]

            def count_answer(clock_ms: int) -> None:
                nonlocal in_flight
                in_flight -= 1
                answered(clock_ms)

            send_order(*arguments[:4], count_answer, *arguments[5:])

        virtual.calls._send_order = count  # type: ignore[method-assign]
        spec = job(1, Step(200, small))
        virtual.submit(spec)
        virtual.run(5.0)
        self.assertIs(virtual.state(spec.job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.starts, 200)
        self.assertEqual(most, const.RUN_ORDERS_IN_FLIGHT_MAX)


class NoFaultTest(unittest.TestCase):
    """Course of jobs on a fleet without faults."""

    def test_job_completes_step_after_step(self) -> None:
        virtual = fleet()
        spec = job(1, Step(2, NEEDS), Step(2, NEEDS, after=(0,)))
        virtual.submit(spec)
        virtual.run(1.5)
        self.assertEqual(virtual.state(spec.job_id), JobState.RUNNING)
        self.assertEqual(virtual.observations.starts, 4)
        virtual.run(1.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.violations, [])

    def test_capacity_of_servers_is_never_exceeded(self) -> None:
        virtual = fleet(workers=1)
        for number in range(6):
            virtual.submit(job(number + 1))
        for _ in range(60):
            virtual.run(0.1)
            used = virtual.workers[next(iter(virtual.workers))].used()
            self.assertTrue(used.fits_in(CAPACITY))
        virtual.run(4.0)
        self.assertEqual(virtual.observations.starts, 18)

    def test_job_fails_after_exactly_its_attempts(self) -> None:
        virtual = fleet(behaviour=always_fails, attempts_max=2)
        spec = job(1, Step(1, NEEDS))
        virtual.submit(spec)
        virtual.run(5.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.FAILED)
        self.assertEqual(virtual.observations.starts, 2)

    def test_cancelled_job_stops(self) -> None:
        virtual = fleet(behaviour=never_ends)
        spec = job(1, Step(3, NEEDS, long_running=True))
        virtual.submit(spec)
        virtual.run(2.0)
        virtual.cancel(spec.job_id)
        virtual.run(1.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.CANCELLED)
        self.assertFalse(any(virtual.observations.running.values()))

    def test_records_of_finished_jobs_are_removed_after_the_retention_period(self) -> None:
        virtual = fleet()
        done, running = job(1), job(2, Step(1, NEEDS, long_running=True))
        virtual.submit(done)
        virtual.submit(running)
        virtual.run(125.0)
        self.assertEqual(virtual.state(done.job_id), JobState.COMPLETED)
        virtual.run(90.0)
        left = {key.split("/")[-1] for key in virtual.records.records if "/" in key}
        self.assertEqual(left, {running.job_id})
        virtual.take_over()
        virtual.run(1.0)
        self.assertEqual(virtual.state(running.job_id), JobState.RUNNING)

    def test_records_of_jobs_that_ended_under_a_former_owner_are_removed_in_time(self) -> None:
        virtual = fleet(behaviour=never_ends)
        spec = job(1)
        virtual.submit(spec)
        virtual.run(1.0)
        virtual.cancel(spec.job_id)
        virtual.run(5.0)
        virtual.take_over()
        virtual.run(120.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.CANCELLED)
        virtual.run(90.0)
        self.assertEqual([key for key in virtual.records.records if "/" in key], [])

    # A new owner reads the specifications of all jobs; with those of ended ones, the time until it
    # schedules grew with the jobs of the last minutes.
    def test_the_specification_of_a_job_is_removed_when_it_ends(self) -> None:
        virtual = fleet()
        done, running = job(1), job(2, Step(1, NEEDS, long_running=True))
        virtual.submit(done)
        virtual.submit(running)
        virtual.run(5.0)
        specs = [record.key for record in virtual.records.below(JOB_PREFIX)]
        self.assertEqual(specs, [job_key(running.job_id)])
        self.assertEqual(virtual.state(done.job_id), JobState.COMPLETED)
        with self.assertRaises(TransactionConflictError):
            virtual.submit(done)

    # The next owner needs the specification to stop the runs.
    def test_the_specification_of_a_cancelled_job_stays_while_runs_may_exist(self) -> None:
        virtual = fleet(workers=1, behaviour=never_ends)
        spec = job(1)
        virtual.submit(spec)
        virtual.run(1.0)
        virtual.workers[WorkerId("w0")].reachable = False
        virtual.cancel(spec.job_id)
        virtual.run(2.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.CANCELLED)
        self.assertIn(job_key(spec.job_id), virtual.records.records)
        virtual.take_over()
        virtual.workers[WorkerId("w0")].reachable = True
        virtual.run(3.0)
        self.assertFalse(any(virtual.observations.running.values()))
        self.assertNotIn(job_key(spec.job_id), virtual.records.records)

    # A node of a former build does not look for the progress of a job and accepts a repeated
    # submission after the specification was removed.
    def test_a_job_accepted_again_by_a_former_build_does_not_run_again(self) -> None:
        for owner_changes in (False, True):
            with self.subTest(owner_changes=owner_changes):
                virtual = fleet()
                spec = job(1)
                virtual.submit(spec)
                virtual.run(5.0)
                starts = virtual.observations.starts
                if owner_changes:
                    virtual.take_over()
                    virtual.run(1.0)
                virtual.submit(spec, former_build=True)
                virtual.run(10.0)
                self.assertEqual(virtual.observations.starts, starts)
                self.assertEqual(virtual.state(spec.job_id), JobState.COMPLETED)
                self.assertNotIn(job_key(spec.job_id), virtual.records.records)
                self.assertEqual(virtual.observations.violations, [])

    # An error in the event loop would end the term of each owner in turn.
    def test_progress_that_cannot_be_decoded_does_not_stop_the_schedule(self) -> None:
        virtual = fleet()
        broken, sound = job(1), job(2)
        virtual.records.write(Transaction({}, {progress_key(broken.job_id): b"?"}))
        virtual.submit(broken, former_build=True)
        virtual.submit(sound)
        with self.assertLogs("toucandoor.core.scheduling.progress_writer", "ERROR"):
            virtual.run(5.0)
        self.assertEqual(virtual.state(sound.job_id), JobState.COMPLETED)

    def test_a_run_of_a_job_that_ended_under_a_former_owner_is_stopped(self) -> None:
        virtual = fleet(workers=1, behaviour=never_ends)
        start_run_of_unknown_job(virtual)
        virtual.take_over()
        virtual.run(1.0)
        self.assertFalse(any(virtual.observations.running.values()))

    def test_a_write_has_no_more_entries_than_the_store_accepts(self) -> None:
        virtual = fleet(workers=20)
        sizes: list[int] = []
        write = virtual.records.write

        def count_entries(transaction: Transaction) -> int:
            sizes.append(
                len(transaction.expected) + len(transaction.writes) + len(transaction.removals)
            )
            return write(transaction)

        for number in range(60):
            virtual.submit(job(number + 1, Step(1, NEEDS)))
        with mock.patch.object(virtual.records, "write", count_entries):
            virtual.run(5.0)
        self.assertGreater(max(sizes), 20)
        self.assertLessEqual(max(sizes), 32)

    def test_long_running_task_is_restarted(self) -> None:
        virtual = fleet(behaviour=always_fails)
        spec = job(1, Step(1, NEEDS, long_running=True))
        virtual.submit(spec)
        virtual.run(4.0)
        self.assertEqual(virtual.state(spec.job_id), JobState.RUNNING)
        self.assertGreater(virtual.observations.starts, 3)

    def test_occurrences_start_on_time(self) -> None:
        virtual = fleet(behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, 0.2))
        due_ms = int(virtual.clock.now().timestamp() * 1000) + 2000
        spec = job(1, Step(1, NEEDS), occurrences=3, first_due_unix_ms=due_ms)
        virtual.submit(spec)
        virtual.run(1.99)
        self.assertEqual(virtual.observations.starts, 0)
        virtual.run(0.4)
        self.assertEqual(virtual.observations.starts, 1)
        virtual.run(2.5)
        self.assertEqual(virtual.state(spec.job_id), JobState.COMPLETED)

    def test_ceiling_of_a_team_holds(self) -> None:
        virtual = fleet(ceiling=Resources(4000, 0, 0))
        virtual.submit(job(1, Step(8, NEEDS)))
        for _ in range(30):
            virtual.run(0.1)
            running = sum(len(where) for where in virtual.observations.running.values())
            self.assertLessEqual(running, 2)

    def test_gang_runs_whole_or_not_at_all(self) -> None:
        virtual = fleet(workers=1)
        virtual.submit(job(1, Step(5, NEEDS, gang=True)))
        virtual.run(2.0)
        self.assertEqual(virtual.observations.starts, 0)
        virtual.boot("late", POOL, CAPACITY)
        virtual.run(0.5)
        self.assertEqual(virtual.observations.starts, 5)

    def test_tasks_per_server_are_bounded(self) -> None:
        virtual = fleet(behaviour=never_ends)
        virtual.submit(job(1, Step(3, NEEDS, per_worker_max=1)))
        virtual.run(1.0)
        self.assertEqual([len(worker.runs) for worker in virtual.workers.values()], [1, 1, 1])


class FaultTest(unittest.TestCase):
    """Course of jobs with one fault at a time."""

    def test_start_without_answer_is_not_doubled(self) -> None:
        virtual = fleet()
        fates = iter(
            [CallOutcome.ANSWER_LOST, CallOutcome.LATE, CallOutcome.LATE, CallOutcome.LATE]
        )
        virtual.calls.choose_outcome = lambda kind: (
            next(fates, CallOutcome.ANSWERED) if kind == "start" else CallOutcome.ANSWERED
        )
        virtual.submit(job(1))
        virtual.run(12.0)
        self.assertEqual(virtual.state(job(1).job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.violations, [])

    def test_a_run_that_is_stopped_before_its_start_was_sent_ends_at_once(self) -> None:
        """Guards against a stop order and a status report for a run that no server knows of."""
        made = fleet(behaviour=never_ends)
        made.submit(job(1, Step(1, NEEDS, long_running=True)))
        made.run(0.007)
        [worker] = [each for each in made.scheduler.workers.values() if each.runs]
        [run] = worker.runs.values()
        self.assertTrue(run.never_sent)
        made.scheduler.registry.vacate(worker, at_once=True)
        self.assertFalse(worker.runs)
        worker.cordons.add(MOVE_CORDON)
        made.run(0.1)
        [running] = made.observations.running.values()
        self.assertEqual(len(running), 1)
        self.assertNotIn(worker.entry.worker_id, running)

    def test_a_task_that_is_planned_again_and_again_without_a_start_is_told(self) -> None:
        made = fleet(workers=1, behaviour=never_ends)
        made.submit(job(1, Step(1, NEEDS, long_running=True)))
        made.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "write" else CallOutcome.ANSWERED
        )
        made.run(0.01)
        [worker] = made.scheduler.workers.values()
        with self.assertLogs("toucandoor.core.scheduling.state", "INFO") as logs:
            for _ in range(4):
                made.scheduler.registry.vacate(worker, at_once=True)
                made.scheduler.orders()
        levels = [(record.levelname, vars(record)["plans"]) for record in logs.records]
        self.assertEqual(levels, [("INFO", 1), ("INFO", 2), ("WARNING", 3), ("WARNING", 4)])
        discarded = made.scheduler.activity.plans_discarded
        self.assertEqual(discarded, {DiscardReason.STOPPED_UNSENT: 4})
        made.calls.choose_outcome = lambda kind: CallOutcome.ANSWERED
        made.run(0.5)
        [run] = worker.runs.values()
        self.assertEqual(run.task.plans_discarded, 0)

    def test_a_lost_answer_alone_keeps_no_work_from_a_server(self) -> None:
        """A lost answer does not pause a server that has answered another order since."""
        virtual = fleet(workers=1)
        fates = iter([CallOutcome.LATE])
        virtual.calls.choose_outcome = lambda kind: (
            next(fates, CallOutcome.ANSWERED) if kind == "start" else CallOutcome.ANSWERED
        )
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.5)
        virtual.submit(job(2, Step(1, NEEDS)))
        virtual.run(0.55)  # the unanswered first start has timed out by now
        virtual.submit(job(3, Step(1, NEEDS)))
        virtual.run(0.1)
        running = {task.job_id for task, where in virtual.observations.running.items() if where}
        self.assertIn(job(3).job_id, running)

    def test_lost_answer_of_the_store_is_read_back(self) -> None:
        virtual = fleet()
        fates = iter([CallOutcome.ANSWER_LOST, CallOutcome.LATE, CallOutcome.ANSWER_LOST])
        virtual.calls.choose_outcome = lambda kind: (
            next(fates, CallOutcome.ANSWERED) if kind == "write" else CallOutcome.ANSWERED
        )
        virtual.submit(job(1))
        virtual.run(12.0)
        self.assertEqual(virtual.state(job(1).job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.violations, [])
        self.assertEqual(virtual.observations.starts, 3)

    def test_nothing_starts_before_its_record_is_in_the_store(self) -> None:
        virtual = fleet()
        virtual.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "write" else CallOutcome.ANSWERED
        )
        virtual.submit(job(1))
        virtual.run(3.0)
        self.assertEqual(virtual.observations.starts, 0)

    def test_no_end_is_acknowledged_before_it_is_in_the_store(self) -> None:
        virtual = fleet()
        virtual.submit(job(1))
        virtual.run(0.5)
        virtual.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "write" else CallOutcome.ANSWERED
        )
        virtual.run(4.0)
        self.assertEqual(virtual.observations.acknowledged, set())
        virtual.calls.choose_outcome = lambda _kind: CallOutcome.ANSWERED
        virtual.run(3.0)
        self.assertEqual(len(virtual.observations.acknowledged), 3)

    def test_new_owner_takes_over_what_runs(self) -> None:
        virtual = fleet()
        virtual.submit(job(1))
        virtual.run(0.5)
        assert virtual.owner is not None
        virtual.owner.alive = False
        virtual.run(2.0)
        virtual.take_over()
        virtual.run(1.0)
        self.assertEqual(virtual.state(job(1).job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.starts, 3)

    def test_unreachable_run_blocks_its_task_until_its_lease_expires(self) -> None:
        virtual, unreachable = fleet_with_unreachable_run()
        virtual.run(5.0)
        self.assertEqual(virtual.observations.starts, 1)
        virtual.run(5.0)
        self.assertEqual(virtual.observations.starts, 2)
        unreachable.update()
        self.assertEqual(virtual.observations.violations, [])

    def test_a_late_start_of_the_former_owner_is_fenced(self) -> None:
        virtual = fleet(workers=2, behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, 20.0))
        virtual.calls.choose_outcome = lambda kind: (
            CallOutcome.LATE if kind == "start" else CallOutcome.ANSWERED
        )
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.1)
        assert virtual.owner is not None
        scheduler = virtual.owner.scheduler
        place = next(name for name, view in scheduler.workers.items() if view.runs)
        virtual.calls.choose_outcome = lambda _kind: CallOutcome.ANSWERED
        scheduler = virtual.take_over().scheduler
        scheduler.worker_listed(replace(virtual.workers[place].entry, draining=True))
        virtual.run(10.0)
        self.assertEqual(virtual.observations.violations, [])
        self.assertEqual(virtual.observations.starts, 1)

    def test_an_ended_boot_gets_no_tasks_and_no_heartbeats(self) -> None:
        entry = fleet(workers=1).workers[WorkerId("w0")].entry
        view = WorkerView(entry, contacted=True, ends_committed=2)
        self.assertTrue(view.usable(0.0) and view.needs_heartbeat)
        view.ended = True
        self.assertFalse(view.usable(0.0) or view.needs_heartbeat)

    def test_a_boot_that_was_replaced_under_its_id_gets_no_more_orders(self) -> None:
        """A heartbeat for it would acknowledge ends of the new boot, which counts from 1 again."""
        virtual = fleet(workers=1)
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(1.5)
        virtual.submit(job(2, Step(1, NEEDS)))
        virtual.run(0.5)
        virtual.calls.choose_outcome = lambda kind: (
            CallOutcome.NOT_SENT if kind == "write" else CallOutcome.ANSWERED
        )
        virtual.run(1.0)
        virtual.crash("w0")
        virtual.run(0.2)
        new = virtual.boot("w0", POOL, CAPACITY)
        sent_to_former_boots: list[Order] = []
        send = virtual.calls.send

        def watch(owner: OwnerTerm, order: Order) -> None:
            if isinstance(order, SendHeartbeat) and order.worker.entry != new.entry:
                sent_to_former_boots.append(order)
            send(owner, order)

        with mock.patch.object(virtual.calls, "send", watch):
            virtual.run(0.5)
            virtual.calls.choose_outcome = lambda _kind: CallOutcome.ANSWERED
            virtual.submit(job(3, Step(1, NEEDS)))
            virtual.run(3.0)
        self.assertEqual(sent_to_former_boots, [])
        self.assertEqual(virtual.state(job(3).job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.violations, [])

    def test_a_boot_that_the_list_does_not_name_yet_gets_no_tasks_of_the_one_before(self) -> None:
        """An outdated entry does not make an ended boot usable: orders would reach the new one."""
        virtual = fleet(workers=1)
        virtual.submit(job(1, Step(1, NEEDS)))
        virtual.run(0.5)
        assert virtual.owner is not None
        scheduler = virtual.owner.scheduler
        old = virtual.workers[WorkerId("w0")].entry
        virtual.crash("w0")
        with mock.patch.object(scheduler, "worker_listed"):
            new = virtual.boot("w0", POOL, CAPACITY)
        heartbeat_answered = scheduler.heartbeat_answered

        def answer_then_outdated_entry(
            worker: WorkerView, report: StatusReport, sent_s: float
        ) -> None:
            heartbeat_answered(worker, report, sent_s)
            scheduler.worker_listed(old)

        with mock.patch.object(scheduler, "heartbeat_answered", answer_then_outdated_entry):
            virtual.run(2.0)
            scheduler.worker_listed(old)
            virtual.submit(job(2, Step(1, NEEDS)))
            virtual.run(2.0)
        self.assertEqual(new.runs, {})
        self.assertEqual(virtual.observations.starts, 1)
        scheduler.worker_listed(new.entry)
        virtual.run(3.0)
        self.assertEqual(virtual.state(job(2).job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.violations, [])

    def test_heartbeats_to_a_listed_server_that_does_not_answer_become_rare(self) -> None:
        """The entry of a VM that is being moved stays in the list for some seconds."""
        virtual = fleet(workers=1)
        virtual.run(0.5)
        worker = virtual.workers[WorkerId("w0")]
        worker.reachable = False
        virtual.submit(job(1, Step(1, NEEDS)))
        assert virtual.owner is not None
        scheduler = virtual.owner.scheduler
        scheduler.registry.require_heartbeat(scheduler.workers[WorkerId("w0")])
        with mock.patch.object(virtual.calls, "send", wraps=virtual.calls.send) as send:
            virtual.run(20.0)
            self.assertLessEqual(send.call_count, 8)
            worker.reachable = True
            virtual.run(0.01)
            send.reset_mock()
            # A server that lives writes its entry again at an interval.
            scheduler.worker_listed(replace(worker.entry))
            virtual.run(1.5)
            send.assert_called()
        self.assertEqual(virtual.observations.starts, 1)

    def test_heartbeats_to_an_unresponsive_server_with_runs_stay_frequent(self) -> None:
        virtual, _ = fleet_with_unreachable_run()
        with mock.patch.object(virtual.calls, "send", wraps=virtual.calls.send) as send:
            virtual.run(5.0)
        self.assertGreaterEqual(send.call_count, 3)

    def test_planned_changes_of_owner_do_not_prolong_the_wait_for_lease_expiry(self) -> None:
        # The terms of 0.1 s are too short for any owner to notice that the server is unreachable.
        for changes, term_s in ((3, 2.0), (60, 0.1)):
            with self.subTest(changes=changes):
                virtual, unreachable = fleet_with_unreachable_run()
                virtual.run(3.0)
                for _ in range(changes):
                    virtual.take_over(planned=True)
                    virtual.run(term_s)
                self.assertEqual(virtual.observations.starts, 2)
                unreachable.update()
                self.assertEqual(virtual.observations.violations, [])

    def test_new_owner_waits_for_leases_that_it_does_not_know(self) -> None:
        virtual, unreachable = fleet_with_unreachable_run()
        virtual.take_over()
        virtual.run(5.0)
        self.assertEqual(virtual.observations.starts, 1)
        virtual.run(6.0)
        self.assertEqual(virtual.observations.starts, 2)
        unreachable.update()
        self.assertEqual(virtual.observations.violations, [])

    def test_restart_in_place_is_detected_by_its_later_boot_time(self) -> None:
        virtual = fleet(workers=1)
        virtual.submit(job(1))
        virtual.run(0.5)
        virtual.workers[next(iter(virtual.workers))].crash()
        virtual.boot("w0", POOL, CAPACITY)
        virtual.run(2.5)
        self.assertEqual(virtual.state(job(1).job_id), JobState.COMPLETED)
        self.assertEqual(virtual.observations.starts, 6)

    def test_server_that_fails_everything_costs_no_job(self) -> None:
        def behaviour(_task: object, worker: str) -> TaskBehaviour:
            bad = worker == "w0"
            return TaskBehaviour(NEEDS, 0.2, EndReason.FAILED if bad else EndReason.DONE)

        virtual = fleet(behaviour=behaviour, attempts_max=2)
        for number in range(8):
            virtual.submit(job(number + 1, Step(2, NEEDS)))
        virtual.run(6.0)
        states = {virtual.state(job(number + 1).job_id) for number in range(8)}
        self.assertEqual(states, {JobState.COMPLETED})

    def test_writes_over_the_bound_of_a_store_are_never_made(self) -> None:
        virtual = fleet(workers=12, behaviour=succeeds_after_1s)
        sizes: list[int] = []
        write = virtual.records.write

        def counted(transaction):  # type: ignore[no-untyped-def]
            sizes.append(len(transaction.expected) + len(transaction.writes))
            return write(transaction)

        virtual.records.write = counted  # type: ignore[method-assign]
        for number in range(60):
            virtual.submit(job(number + 1, Step(1, Resources(10, 10, 0))))
        virtual.run(3.0)
        self.assertLessEqual(max(sizes), 32)

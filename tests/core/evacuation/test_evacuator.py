"""Evacuation of a data centre by an undisturbed owner: what is started, what leaves, what stays."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING
from unittest import mock

from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.admission.submission import AcceptAll, FirstRejection
from toucandoor.core.evacuation import evacuator
from toucandoor.core.evacuation.departures import LeaveWithoutLoss, StopAllAtOnce
from toucandoor.core.evacuation.requests import (
    KNOWN_MAX,
    UNKNOWN_MAX,
    EvacuationEvent,
    EvacuationRequests,
)
from toucandoor.core.evacuation.submissions import RETRY_AFTER_S, RefuseWhileAllEvacuated
from toucandoor.core.jobs.models import JobState, Step, TaskKey
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import DataCentreId, JobId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.evacuation.departures import DeparturePolicy

BOUND_S = 5.0
MOVE_S = 1.5
A, B, C = (DataCentreId(name) for name in "abc")


def make_fleet(
    durations_s: dict[JobId, float] | None = None, *, per_centre: int = 2, centres: str = "abc"
) -> VirtualFleet:
    """Return a fleet with servers in several data centres; tasks last 1 s unless given."""

    def behave(task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
        return TaskBehaviour(NEEDS, (durations_s or {}).get(task.job_id, 1.0))

    made = VirtualFleet(configuration(), behave, lambda: EvacuationRequests(BOUND_S, MOVE_S))
    for centre in centres:
        for number in range(per_centre):
            made.boot(f"{centre}{number}", POOL, CAPACITY, data_centre=centre)
    made.take_over()
    made.run(0.5)
    return made


def fill_servers(fleet: VirtualFleet) -> None:
    """Submit jobs of three tasks that need more than all servers, and run on."""
    for number in range(1, 12):
        fleet.submit(job(number))
    fleet.run(3.0)


def used_centres(fleet: VirtualFleet) -> set[DataCentreId]:
    """Return the data centres in which runs have started."""
    return {entry.data_centre for _, entry in fleet.observations.started}


def evacuate(fleet: VirtualFleet, for_s: float) -> None:
    """Request the evacuation of the first data centre, and run on."""
    fleet.operators.request(A)
    fleet.run(for_s)


def runs_in(fleet: VirtualFleet, centre: DataCentreId) -> int:
    """Return the number of runs that the servers of a data centre have."""
    workers = [each for each in fleet.workers.values() if each.entry.data_centre == centre]
    for worker in workers:
        worker.update()
    return sum(len(worker.runs) for worker in workers)


class StartsTest(unittest.TestCase):
    """Starts in an evacuated data centre."""

    def test_the_last_start_is_within_a_second(self) -> None:
        # The target with a healthy store, while tasks wait all the time.
        fleet = make_fleet()
        for number in range(1, 40):
            fleet.submit(job(number, Step(3, NEEDS, 1000)))
        fleet.run(1.0)
        confirmed_s = fleet.clock.monotonic_s()
        fleet.operators.request(A)
        fleet.run(8.0)
        starts = [at for at, entry in fleet.observations.started if entry.data_centre == A]
        self.assertLess(max(starts), confirmed_s + 1.0)
        self.assertGreater(fleet.observations.started[-1][0], confirmed_s + 4.0)

    def test_recorded_runs_without_a_sent_start_are_discarded(self) -> None:
        # They would be started after the request, or keep their tasks waiting until its end.
        fleet = make_fleet(centres="a")
        fleet.submit(job(1))
        with mock.patch.object(fleet.calls, "write"):
            fleet.run(0.2)
        self.assertTrue(fleet.scheduler.jobs[job(1).job_id].has_runs)
        fleet.operators.request(A)
        fleet.run(0.5)
        self.assertFalse(fleet.scheduler.jobs[job(1).job_id].has_runs)

    def test_all_evacuated(self) -> None:
        fleet = make_fleet()
        for centre in (A, B, C):
            fleet.operators.request(centre)
        fleet.run(1.0)
        fleet.submit(job(1))
        fleet.run(3.0)
        self.assertEqual(fleet.observations.starts, 0)
        fleet.operators.withdraw(B)
        fleet.run(3.0)
        self.assertIs(fleet.state(job(1).job_id), JobState.COMPLETED)
        self.assertEqual(used_centres(fleet), {B})

    def test_several_requests_are_independent(self) -> None:
        fleet = make_fleet()
        fleet.operators.request(A)
        fleet.operators.request(B)
        fleet.run(0.5)
        fleet.operators.withdraw(A)
        fill_servers(fleet)
        self.assertEqual(used_centres(fleet), {A, C})

    def test_no_start_after_a_request_among_thousands_of_wrong_ones(self) -> None:
        fleet = make_fleet()
        for number in range(2000):
            fleet.operators.request(DataCentreId(f"x{number}"))
        evacuate(fleet, 2.0)
        fill_servers(fleet)
        self.assertEqual(used_centres(fleet), {B, C})
        self.assertLessEqual(len(list(fleet.scheduler.evacuation.statuses)), UNKNOWN_MAX + 1)

    def test_without_the_switch_nothing_is_withheld(self) -> None:
        fleet = make_fleet()
        with mock.patch.object(fleet, "_make_requests", None):
            fleet.take_over()
        fleet.operators.request(A)
        fill_servers(fleet)
        self.assertIn(A, used_centres(fleet))


class LeavingTest(unittest.TestCase):
    """Running tasks of an evacuated data centre."""

    def start_on_a(self, fleet: VirtualFleet, number: int, step: Step) -> None:
        """Start a job while only the servers of the first data centre are usable."""
        for centre in (B, C):
            fleet.operators.request(centre)
        fleet.run(0.2)
        fleet.submit(job(number, step))
        fleet.run(1.5)
        for centre in (B, C):
            fleet.operators.withdraw(centre)
        fleet.run(0.2)

    def test_long_running_tasks_leave_within_their_promise_and_do_not_return(self) -> None:
        first = job(1).job_id
        fleet = make_fleet({first: float("inf")})
        step = Step(3, NEEDS, long_running=True, unavailable_max=1)
        self.start_on_a(fleet, 1, step)
        self.assertEqual(runs_in(fleet, A), 3)
        fleet.operators.request(A)
        least = 3
        until_s = fleet.clock.monotonic_s() + BOUND_S
        while fleet.clock.monotonic_s() < until_s:
            fleet.run(0.02)
            least = min(least, sum(map(bool, fleet.observations.running.values())))
        self.assertEqual((runs_in(fleet, A), least), (0, 2))
        fleet.operators.withdraw(A)
        starts = fleet.observations.starts
        fleet.run(10.0)
        self.assertEqual(fleet.observations.starts, starts)

    def test_long_running_tasks_stay_without_room_elsewhere(self) -> None:
        # Stopping them first would make them unavailable for as long as the request is in force.
        first = job(1).job_id
        fleet = make_fleet({first: float("inf")}, centres="a")
        fleet.submit(job(1, Step(2, NEEDS, long_running=True, unavailable_max=1)))
        fleet.run(2.0)
        with self.assertLogs("toucandoor.core.evacuation", "INFO") as logs:
            fleet.operators.request(A)
            fleet.run(10.0)
        self.assertEqual((runs_in(fleet, A), fleet.observations.starts), (2, 2))
        self.assertIn("no room elsewhere: 2", str(vars(logs.records[-1])["reason"]))
        [load] = fleet.scheduler.pool_loads.current().values()
        self.assertEqual(load.waiting, NEEDS.times(2))

    def test_checkpointing_tasks_leave_and_others_end(self) -> None:
        long, other, short = (job(number).job_id for number in (1, 2, 3))
        fleet = make_fleet({long: 20.0, other: 8.0, short: 3.0})
        self.start_on_a(fleet, 1, Step(2, NEEDS, 20_000, checkpointing=True))
        self.start_on_a(fleet, 2, Step(2, NEEDS, 8_000))
        self.start_on_a(fleet, 3, Step(1, NEEDS, 3_000, checkpointing=True))
        self.assertEqual(runs_in(fleet, A), 5)
        evacuate(fleet, 1.0)
        self.assertEqual(runs_in(fleet, A), 3)
        fleet.run(7.0)
        self.assertEqual(runs_in(fleet, A), 0)
        for job_id in (other, short):
            self.assertIs(fleet.state(job_id), JobState.COMPLETED)
        self.assertEqual(fleet.observations.starts, 7)

    def test_checkpointing_tasks_stay_where_capacity_elsewhere_is_taken_for_longer(self) -> None:
        mine, others = job(1).job_id, job(2).job_id
        fleet = make_fleet({mine: 6.0, others: 30.0})
        self.start_on_a(fleet, 1, Step(8, NEEDS, 6_000, checkpointing=True))
        fleet.submit(job(2, Step(16, NEEDS, 30_000)))
        fleet.run(0.5)
        evacuate(fleet, 6.0)
        self.assertIs(fleet.state(mine), JobState.COMPLETED)
        self.assertEqual(fleet.observations.starts, 24)

    def test_checkpointing_tasks_leave_for_capacity_that_becomes_free_sooner(self) -> None:
        mine, others = job(1).job_id, job(2).job_id
        fleet = make_fleet({mine: 20.0, others: 2.0}, centres="abc")
        self.start_on_a(fleet, 1, Step(2, NEEDS, 20_000, checkpointing=True))
        fleet.submit(job(2, Step(22, NEEDS, 2_000)))
        fleet.run(0.5)
        evacuate(fleet, 3.0)
        self.assertEqual(runs_in(fleet, A), 0)

    def test_a_gang_leaves_as_a_whole(self) -> None:
        gang = job(1).job_id
        fleet = make_fleet({gang: 20.0})
        self.start_on_a(fleet, 1, Step(3, NEEDS, 20_000, checkpointing=True, gang=True))
        evacuate(fleet, 2.0)
        self.assertEqual(runs_in(fleet, A), 0)
        self.assertEqual(sum(map(bool, fleet.observations.running.values())), 3)
        self.assertEqual(fleet.observations.starts, 6)

    def test_requests_are_logged_from_their_start_to_their_end(self) -> None:
        fleet = make_fleet({job(1).job_id: 3.0})
        self.start_on_a(fleet, 1, Step(1, NEEDS, 3_000))
        with self.assertLogs("toucandoor.core.evacuation", "INFO") as logs:
            fleet.operators.request(A)
            fleet.operators.request(DataCentreId("nowhere"))
            fleet.run(6.0)
            fleet.operators.withdraw(A)
            fleet.run(0.5)
        seen = [record.getMessage().removeprefix("evacuation: ") for record in logs.records]
        self.assertEqual(
            seen,
            [
                "a is evacuated",
                "nowhere is evacuated",
                "a is not empty",
                "a is empty",
                "nowhere is not a known data centre",
                "the request for a has ended",
            ],
        )
        self.assertEqual(fleet.scheduler.evacuation.ignored_records, 1)


class ReturnTest(unittest.TestCase):
    """Servers after the end of a request."""

    def test_cold_servers_are_chosen_last_until_they_are_warm(self) -> None:
        fleet = make_fleet(centres="b", per_centre=1)
        fleet.boot("a0", POOL, CAPACITY, data_centre="a", cold_s=6.0)
        fleet.operators.request(A)
        fleet.run(0.5)
        fleet.operators.withdraw(A)
        fleet.run(0.5)
        fleet.submit(job(1, Step(6, NEEDS, 1000)))
        fleet.run(2.0)
        placed = [entry.data_centre for _, entry in fleet.observations.started]
        self.assertEqual(placed, [B] * 4 + [A] * 2)
        fleet.crash("b0")
        fleet.run(6.0)
        cold = fleet.boot("b0", POOL, CAPACITY, data_centre="b", cold_s=6.0)
        fleet.run(0.5)
        fleet.submit(job(2, Step(1, NEEDS, 1000)))
        fleet.run(2.0)
        self.assertEqual(fleet.observations.started[-1][1].data_centre, A)
        self.assertNotEqual(cold.entry.data_centre, A)

    def test_capacity_is_released_after_a_move(self) -> None:
        fleet = make_fleet({job(1).job_id: 20.0})
        fleet.submit(job(1, Step(4, NEEDS, 20_000, checkpointing=True)))
        fleet.run(1.0)
        [busy] = used_centres(fleet)
        fleet.operators.request(busy)
        fleet.run(0.15)
        fleet.operators.withdraw(busy)
        fleet.run(2.0)
        for worker in fleet.scheduler.workers.values():
            self.assertEqual(worker.held.cpu_millicores, 0)


@dataclass(frozen=True)
class Outcome:
    """Outcome of a day: time until the data centre is empty, waste, and jobs in time."""

    empty_s: float
    wasted_core_s: float
    in_time: int


def play_day(policy: Callable[[float], DeparturePolicy] | None, centres: str) -> Outcome:
    """Play a day of steady load with evacuations, or without any if there is no policy.

    The load needs three quarters of the capacity that the evacuations leave.
    """
    lengths = {job(number).job_id: (1.0, 3.0, 9.0)[number % 3] for number in range(2, 200)}
    lengths[job(1).job_id] = float("inf")
    with mock.patch.object(evacuator, "LeaveWithoutLoss", policy or LeaveWithoutLoss):
        fleet = make_fleet(lengths, per_centre=12 // (3 - len(centres)))
    fleet.submit(job(1, Step(4, NEEDS, long_running=True, unavailable_max=1)))
    specs = []
    empty_s = float("inf")

    def submit(number: int) -> None:
        estimate_ms = int(lengths[job(number).job_id] * 1000)
        spec = job(number, Step(2, NEEDS, estimate_ms, checkpointing=number % 2 == 0))
        specs.append((spec, fleet.clock.monotonic_s()))
        fleet.submit(spec)

    for number in range(2, 122):
        submit(number)
        fleet.run(0.25)
        if number == 40:
            began_s = fleet.clock.monotonic_s()
            for centre in centres if policy is not None else "":
                fleet.operators.request(DataCentreId(centre))
        if number > 44 and not any(runs_in(fleet, DataCentreId(each)) for each in centres):
            empty_s = min(empty_s, fleet.clock.monotonic_s() - began_s)
    fleet.run(25.0)
    ended_s = {
        each.spec.job_id: each.finished_unix_ms / 1000 for each in fleet.scheduler.jobs.values()
    }
    offset_s = fleet.clock.now().timestamp() - fleet.clock.monotonic_s()
    in_time = sum(
        0 < ended_s[spec.job_id] - offset_s - begin_s <= 1.6 * lengths[spec.job_id] + 0.6
        for spec, begin_s in specs
    )
    return Outcome(empty_s, fleet.observations.wasted_core_s, in_time)


class BaselineTest(unittest.TestCase):
    """A day of steady load, with the rule that is built, the baseline and no evacuation at all."""

    def test_jobs_are_in_time_where_capacity_is_sufficient(self) -> None:
        # At most a tenth fewer jobs in time is the target; stopping all at once loses their work.
        for centres in ("a", "ab"):
            with self.subTest(centres=centres):
                undisturbed = play_day(None, centres)
                built = play_day(LeaveWithoutLoss, centres)
                baseline = play_day(lambda _move_s: StopAllAtOnce(), centres)
                self.assertGreaterEqual(built.in_time, 0.9 * undisturbed.in_time)
                self.assertGreaterEqual(built.in_time, baseline.in_time)
                self.assertLess(built.wasted_core_s, baseline.wasted_core_s)
                self.assertLess(baseline.empty_s, built.empty_s)
                self.assertLess(built.empty_s, 9.0 + 1.0)


class SubmissionsTest(unittest.TestCase):
    """Submissions while data centres are evacuated."""

    def setUp(self) -> None:
        self.fleet = make_fleet()
        self.requests = EvacuationRequests(BOUND_S, MOVE_S)
        self.existing = frozenset({A, B})
        policy = RefuseWhileAllEvacuated(self.requests, lambda: self.existing, self.fleet.clock)
        self.policy = FirstRejection([AcceptAll(), policy])

    def evacuate(self, *centres: DataCentreId) -> None:
        now_s = self.fleet.clock.monotonic_s()
        found = [EvacuationEvent(centre, 1) for centre in centres]
        self.requests.on_read(found, 1, now_s, now_s)

    def test_refused_only_while_all_are_surely_evacuated(self) -> None:
        self.evacuate(A)
        self.assertIsNone(self.policy.rejection(job(1)))
        self.evacuate(A, B)
        found = self.policy.rejection(job(1))
        assert found is not None
        self.assertEqual((found.status, found.retry_after_s), (503, RETRY_AFTER_S))
        self.fleet.clock.advance(BOUND_S)
        self.assertIsNone(self.policy.rejection(job(1)))

    def test_accepted_while_the_data_centres_are_not_known(self) -> None:
        self.existing = frozenset()
        self.evacuate(A)
        self.assertIsNone(self.policy.rejection(job(1)))


class RequestsTest(unittest.TestCase):
    """Knowledge of the requests."""

    def setUp(self) -> None:
        self.requests = EvacuationRequests(BOUND_S, MOVE_S)

    def test_an_invalid_record_neither_begins_nor_ends_a_request(self) -> None:
        self.requests.on_read([EvacuationEvent(A, 1)], 1, 0.0, 0.0)
        invalid = [EvacuationEvent(A, 2, invalid=True), EvacuationEvent(B, 3, invalid=True)]
        self.requests.on_changes(invalid, 3, 1.0, 1.0)
        self.assertEqual(set(self.requests.in_force), {A})
        self.requests.on_read(invalid, 4, 2.0, 2.0)
        self.assertEqual(set(self.requests.in_force), {A})
        self.assertEqual(self.requests.ignored, 4)

    def test_a_request_that_is_written_again_keeps_its_age(self) -> None:
        self.requests.on_read([EvacuationEvent(A, 1)], 1, 0.0, 0.0)
        self.requests.on_changes([EvacuationEvent(A, 2)], 2, 3.0, 3.0)
        self.assertEqual(self.requests.in_force[A].seen_s, 0.0)
        self.assertTrue(self.requests.known_within(4.0, 1.0))
        self.assertFalse(self.requests.known_within(4.1, 1.0))

    def test_a_failed_read_changes_nothing(self) -> None:
        # A read that is answered after a later one tells nothing new.
        self.requests.on_read([EvacuationEvent(A, 5)], 5, 1.0, 1.0)
        self.requests.on_read([], 4, 2.0, 2.0)
        self.assertEqual(set(self.requests.in_force), {A})

    def test_a_flood_of_requests_is_bounded_and_hides_none_of_a_known_data_centre(self) -> None:
        """Thousands of wrong records cost the owner's time; a true one may be after them."""
        flood = [EvacuationEvent(DataCentreId(f"x{each}"), each + 2) for each in range(5000)]
        true = [EvacuationEvent(A, 1), EvacuationEvent(B, 5002)]
        for name in ("read", "watch"):
            with self.subTest(name):
                requests = EvacuationRequests(BOUND_S, MOVE_S)
                requests.on_read(true[:1], 1, 0.0, 0.0)
                requests.add_known([B])
                if name == "read":
                    requests.on_read([*flood, *true], 5002, 0.0, 0.0)
                else:
                    requests.on_changes([*flood, true[1]], 5002, 0.0, 0.0)
                self.assertLessEqual({A, B}, set(requests.in_force))
                self.assertEqual(len(requests.in_force), UNKNOWN_MAX + 1)
                # A data centre that was unknown until now, whose request was dropped.
                late = flood[-1].data_centre
                requests.add_known([B, late])
                self.assertTrue(requests.needs_read)
                self.assertFalse(requests.may_start(late, 0.0))
                requests.on_read([*flood, *true], 5002, 0.0, 0.0)
                self.assertFalse(requests.needs_read)
                self.assertIn(late, requests.in_force)
                requests.on_read(true, 5003, 0.0, 0.0)
                self.assertEqual(set(requests.in_force), {A, B})
                self.assertTrue(requests.may_start(late, 0.0))

    def test_a_flood_of_known_data_centres_is_bounded(self) -> None:
        self.requests.add_known(DataCentreId(f"x{each}") for each in range(5000))
        self.assertEqual(len(self.requests.known), KNOWN_MAX)

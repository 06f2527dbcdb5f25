"""Builders of jobs, configurations and fleets for tests of the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from toucandoor.core.jobs.configuration import JobConfiguration, JobPool, JobQueue, JobTeam
from toucandoor.core.jobs.models import NO_RESOURCES, JobSpec, Resources, Step, TaskKey
from toucandoor.core.scheduling.workers import EndReason, RunKey, StartOrder
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import ConfigVersion, JobId, PoolId, QueueId, TeamId, WorkerId

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.fakes.virtual_platform import VirtualWorker

QUEUE = QueueId("north")
POOL = PoolId("pool")
TEAM = TeamId("team")
NEEDS = Resources(2000, 1000, 0)
CAPACITY = Resources(8000, 16000, 0)


def configuration(
    *, attempts_max: int = 2, ceiling: Resources = NO_RESOURCES, version: int = 1
) -> JobConfiguration:
    """Return a configuration with one queue, one pool and one team."""
    queue = JobQueue(QUEUE, "north.example", "/n/", POOL, False, 0, attempts_max, 1.6, 0.6)
    return JobConfiguration(
        ConfigVersion(version),
        {QUEUE: queue},
        {POOL: JobPool(POOL, True, False)},
        {TEAM: JobTeam(TEAM, frozenset({"key"}), 10.0, ceiling)},
    )


def job(number: int, *steps: Step, occurrences: int = 1, first_due_unix_ms: int = 0) -> JobSpec:
    """Return a job of the queue; it has one step of three tasks unless steps are given."""
    terms = configuration().queues[QUEUE].terms
    return JobSpec(
        JobId(f"{number:016x}"),
        QUEUE,
        TEAM,
        "payload",
        steps or (Step(3, NEEDS, estimate_ms=1000),),
        terms,
        first_due_unix_ms,
        1000,
        occurrences,
        number,
    )


def fleet(
    workers: int = 3,
    behaviour: Callable[[TaskKey, WorkerId], TaskBehaviour] | None = None,
    **options: Any,
) -> VirtualFleet:
    """Return a fleet with one pool and an owner of the schedule.

    Args:
        workers: Number of backend servers.
        behaviour: How tasks run; by default they succeed after a second.
        **options: Arguments of `configuration`.
    """
    made = VirtualFleet(configuration(**options), behaviour or succeeds_after_1s)
    for number in range(workers):
        made.boot(f"w{number}", POOL, CAPACITY)
    made.take_over()
    return made


def start_run_of_unknown_job(virtual: VirtualFleet) -> VirtualWorker:
    """Start a run, as a former owner did, of a job that is not in the store any more.

    Returns:
        Its backend server.
    """
    owner = virtual.take_over()
    virtual.run(0.5)
    worker = virtual.workers[WorkerId("w0")]
    key = RunKey(TaskKey(JobId("f" * 16), 0, 0, 0), 1)
    until_ms = worker.clock_ms() + 5000
    worker.start(StartOrder(key, "payload", until_ms, owner.scheduler.token, "", ""))
    return worker


def succeeds_after_1s(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of a task that succeeds after a second."""
    return TaskBehaviour(NEEDS, 1.0)


def never_ends(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of a task that never ends by itself."""
    return TaskBehaviour(NEEDS, float("inf"))


def always_fails(_task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
    """Return the behaviour of a task that fails after half a second."""
    return TaskBehaviour(NEEDS, 0.5, EndReason.FAILED)

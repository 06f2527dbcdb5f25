"""Shortest time that a job waits behind others, by expected run times and the schedule's order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from toucandoor.core.overload.const import BUSY_S_MIN, LATE_OBJECTIVES_MAX
from toucandoor.core.overload.models import RateStatus
from toucandoor.ids import JobId, TeamId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from toucandoor.core.jobs.models import Resources


class Work(msgspec.Struct, frozen=True):
    """An amount of resources times seconds; unlike `Resources` it isn't rounded."""

    cpu: float = 0.0
    memory: float = 0.0
    gpus: float = 0.0

    @classmethod
    def of(cls, needs: Resources, seconds: float) -> Work:
        """Return the work of a task with the given needs and run time."""
        return cls(needs.cpu_millicores * seconds, needs.memory_mb * seconds, needs.gpus * seconds)

    def __add__(self, other: Work) -> Work:
        return Work(self.cpu + other.cpu, self.memory + other.memory, self.gpus + other.gpus)


class WaitingWork(msgspec.Struct, frozen=True):
    """What an occurrence of a job still waits for.

    Attributes:
        job_id: The job.
        team: Its team.
        status: Whether it was within its team's rate.
        priority: Priority of its queue; 0 is the highest.
        work: Resources times seconds of its tasks that have no run.
        core_s: Processor time that it still needs, with its running tasks; its rank in the order.
        age_s: Time since its acceptance, or since its due time.
        chain_s: Expected run time of its longest chain of unfinished steps.
        objective_s: Time from its acceptance within which it should be done.
        begun: Whether any of its tasks has ever started.
        gang: Whether tasks of it can only be placed together.
    """

    job_id: JobId
    team: TeamId
    status: RateStatus
    priority: int
    work: Work
    core_s: float
    age_s: float
    chain_s: float
    objective_s: float
    begun: bool
    gang: bool = False

    def done_within(self, objectives: float, wait_s: float) -> bool:
        """Return whether it is done within some objectives if it starts after a wait."""
        return self.age_s + wait_s + self.chain_s <= objectives * self.objective_s


def late_wait_s(before: Sequence[WaitingWork], running: Work, capacity: Resources) -> float:
    """Return the time until a job that is accepted now, and becomes late, starts at the earliest.

    The capacity is assumed to be used without a gap. Steps that wait for others leave gaps that a
    later job may use; the longest chain of the jobs before it is therefore taken off.

    Args:
        before: What has its turn before the job once that can't meet its objective any more.
        running: Work that is left to the runs that use the capacity now.
        capacity: Most resources that all this work may use at once; 0 in a field for no limit.
    """
    seconds = _seconds_by_scarcest(before, capacity)
    # Work that can't be done in time behind the rest still counts, though the order gives it up in
    # the end: a job that is accepted now would have to wait until then. This holds only while the
    # rest uses the capacity.
    useful = [each for each in before if each.done_within(LATE_OBJECTIVES_MAX, 0.0)]
    wait_s = seconds(running) + sum(seconds(each.work) for each in useful)
    busy_s = seconds(running)
    for each in sorted(useful, key=lambda item: -item.age_s):
        if each.done_within(LATE_OBJECTIVES_MAX, busy_s):
            busy_s += seconds(each.work)
    chain_s = max((each.chain_s for each in useful), default=0.0)
    return max(0.0, (wait_s if busy_s >= BUSY_S_MIN else busy_s) - chain_s)


def _seconds_by_scarcest(
    items: Iterable[WaitingWork], capacity: Resources
) -> Callable[[Work], float]:
    """Return the function that converts work to seconds of the resource that it needs longest."""
    total = sum((each.work for each in items), Work())
    found: list[tuple[float, Callable[[Work], float]]] = []
    if capacity.cpu_millicores > 0:
        found.append((total.cpu / capacity.cpu_millicores, _cpu_s(capacity.cpu_millicores)))
    if capacity.memory_mb > 0:
        found.append((total.memory / capacity.memory_mb, _memory_s(capacity.memory_mb)))
    if capacity.gpus > 0:
        found.append((total.gpus / capacity.gpus, _gpus_s(capacity.gpus)))
    if not found:
        return lambda _work: 0.0
    return max(found, key=lambda pair: pair[0])[1]


def _cpu_s(limit: int) -> Callable[[Work], float]:
    return lambda work: work.cpu / limit


def _memory_s(limit: int) -> Callable[[Work], float]:
    return lambda work: work.memory / limit


def _gpus_s(limit: int) -> Callable[[Work], float]:
    return lambda work: work.gpus / limit

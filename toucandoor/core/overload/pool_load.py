"""Load of a pool by jobs within their teams' rates: how long a new one waits, by its size.

The fair order starts jobs that can still meet their objective by the least work, and jobs that
can't after all of these, in the order of their arrival. A new job is therefore overtaken by all
smaller ones that arrive while it waits.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from toucandoor.core.overload.const import (
    ARRIVALS_MAX,
    ARRIVALS_WINDOW_S,
    DEADLINE_SHARE,
    LATE_OBJECTIVES_MAX,
    NUMBER_MAX,
    REPORT_INTERVAL_S,
    SHARE_WINDOW_S,
    SHARED_PART,
    SIZES_MAX,
    UNCLAIMED_SHARE_MIN,
)
from toucandoor.core.overload.models import QueueWait, SizeWait

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from toucandoor.core.jobs.configuration import JobQueue
    from toucandoor.core.overload.backlog import WaitingWork
    from toucandoor.ids import TeamId

MS_PER_S = 1000.0


class Arrival(NamedTuple):
    """A job within its team's rate that was accepted lately.

    Attributes:
        at_s: When it was accepted, on the owner's monotonic clock.
        team: Its team.
        priority: Priority of its queue.
        core_s: Processor time that it needs.
    """

    at_s: float
    team: TeamId
    priority: int
    core_s: float


@dataclass(slots=True)
class PoolArrivals:
    """Jobs of a pool that were accepted lately.

    Attributes:
        since_s: Time since which all are recorded.
        overloaded: Whether jobs within their teams' rates may be refused.
        jobs: The jobs; the oldest ones are dropped above a number.
    """

    since_s: float
    overloaded: bool = False
    jobs: deque[Arrival] = field(default_factory=lambda: deque(maxlen=ARRIVALS_MAX))

    def within(self, now_s: float, window_s: float) -> tuple[list[Arrival], float]:
        """Return the jobs of the latest time, and how long that was."""
        begin_s = max(self.since_s, now_s - window_s)
        if len(self.jobs) == ARRIVALS_MAX:
            begin_s = max(begin_s, self.jobs[0].at_s)
        found = [each for each in self.jobs if each.at_s >= begin_s]
        return found, max(REPORT_INTERVAL_S, now_s - begin_s)

    def drop_old(self, now_s: float) -> None:
        """Drop the jobs that no report needs any more."""
        while self.jobs and self.jobs[0].at_s < now_s - SHARE_WINDOW_S:
            self.jobs.popleft()


def lost_s(
    items: Sequence[WaitingWork], arrivals: Sequence[Arrival], window_s: float, cores: float
) -> tuple[float, float]:
    """Return the time of the pool that accepted work needs which can't be done to any use.

    These are jobs that have not begun, and that are late by three objectives or will be before what
    goes before them is done. The second value contains those only that have become so within the
    window. Gangs are left out: when several servers have room for one at once, cores do not show.

    Args:
        items: Waiting jobs within their teams' rates.
        arrivals: Jobs that were accepted lately; as many are expected to follow.
        window_s: Time that these took.
        cores: Cores that the pool may use for them.
    """
    in_time = [each for each in items if each.done_within(1.0, 0.0)]
    before_s = sum(each.work.cpu for each in in_time) / MS_PER_S / cores
    inflow = sum(each.core_s for each in arrivals) / window_s / cores
    # Standard deviation of the inflow in the window, if jobs arrive independently of each other.
    noise = math.sqrt(sum(each.core_s**2 for each in arrivals)) / window_s / cores
    left_share = min(1.0, max(UNCLAIMED_SHARE_MIN, 1.0 - inflow + 2 * noise))
    all_s = recent_s = 0.0
    for each in sorted(items, key=lambda item: -item.age_s):
        if each.begun or each.gang or each.done_within(1.0, 0.0):
            continue
        own_s = each.work.cpu / MS_PER_S / cores
        if each.done_within(LATE_OBJECTIVES_MAX, before_s / left_share):
            before_s += own_s
            continue
        all_s += own_s
        if each.done_within(LATE_OBJECTIVES_MAX, -ARRIVALS_WINDOW_S):
            recent_s += own_s
    return all_s, recent_s


def share_left_core_s(
    items: Iterable[WaitingWork],
    arrivals: Iterable[Arrival],
    weights: Mapping[TeamId, float],
    core_s: float,
) -> dict[TeamId, float]:
    """Return what each team may still be given of its weighted share of the pool.

    What a team leaves of its share is divided among the others, so that a single team that asks for
    much more than the rest has to yield first.

    Args:
        items: Waiting jobs.
        arrivals: Jobs that were accepted lately.
        weights: Weights of teams; 1 for others.
        core_s: Core-seconds that the pool had meanwhile.
    """
    given: dict[TeamId, float] = {each.team: 0.0 for each in items}
    for arrival in arrivals:
        given[arrival.team] = given.get(arrival.team, 0.0) + arrival.core_s
    weight = {team: weights.get(team, 1.0) for team in given}
    # While jobs are refused, no more is given than there is; the teams with the most of it count as
    # above their share all the same.
    left_core_s = SHARED_PART * min(core_s, sum(given.values()))
    left_weight = sum(weight.values())
    least = SHARED_PART * core_s / left_weight if given else 0.0
    level = 0.0
    for team in sorted(given, key=lambda name: given[name] / weight[name]):
        level = left_core_s / left_weight
        if given[team] >= level * weight[team]:
            break
        left_core_s -= given[team]
        left_weight -= weight[team]
    level = max(level, least)
    return {team: round(max(0.0, level * weight[team] - given[team]), 3) for team in given}


def queue_waits(
    items: Sequence[WaitingWork],
    arrivals: Sequence[Arrival],
    window_s: float,
    cores: float,
    queues: Iterable[JobQueue],
) -> list[QueueWait]:
    """Return how long a job that is accepted now waits in each queue, by its size.

    Args:
        items: Waiting jobs within their teams' rates.
        arrivals: Jobs that were accepted lately; as many are expected to follow.
        window_s: Time that these took.
        cores: Cores that the pool may use for them.
        queues: Queues of the pool.
    """
    in_time = [each for each in items if each.done_within(1.0, 0.0)]
    late = [
        each
        for each in items
        if not each.done_within(1.0, 0.0) and each.done_within(LATE_OBJECTIVES_MAX, 0.0)
    ]
    waiting_sums = _RankSums(
        ((each.priority, each.core_s), each.work.cpu / MS_PER_S) for each in in_time
    )
    arrival_sums = _RankSums(((each.priority, each.core_s), each.core_s) for each in arrivals)
    in_time_core_s = waiting_sums.total
    inflow_cores = arrival_sums.total / window_s
    late_drain = max(UNCLAIMED_SHARE_MIN * cores, cores - inflow_cores)
    found: list[QueueWait] = []
    for queue in queues:
        priority = queue.priority
        sizes = _sizes(
            {each.core_s for each in in_time if each.priority == priority}
            | {each.core_s for each in arrivals if each.priority == priority}
        )
        waits: list[SizeWait] = []
        for size in sizes:
            overtaking = arrival_sums.below((priority, size))
            drain = max(DEADLINE_SHARE * cores, cores - overtaking / window_s)
            wait_s = waiting_sums.up_to((priority, size)) / drain
            waits.append(SizeWait(round(size, 3), _plausible(wait_s), round(drain, 3)))
        late_core_s = sum(each.work.cpu for each in late if each.priority <= priority) / MS_PER_S
        late_s = (in_time_core_s + late_core_s) / late_drain
        found.append(QueueWait(queue.name, _plausible(late_s), round(late_drain, 3), tuple(waits)))
    return found


class _RankSums:
    """Sums of values by the rank of what they belong to.

    Args:
        values: Pairs of rank and value.
    """

    def __init__(self, values: Iterable[tuple[tuple[int, float], float]]) -> None:
        ordered = sorted(values)
        self._ranks = [rank for rank, _ in ordered]
        self._sums = [0.0, *itertools.accumulate(value for _, value in ordered)]

    @property
    def total(self) -> float:
        """Sum of all values."""
        return self._sums[-1]

    def below(self, rank: tuple[int, float]) -> float:
        """Return the sum of the values with a lower rank."""
        return self._sums[bisect.bisect_left(self._ranks, rank)]

    def up_to(self, rank: tuple[int, float]) -> float:
        """Return the sum of the values with this rank or a lower one."""
        return self._sums[bisect.bisect_right(self._ranks, rank)]


def _sizes(sizes: set[float]) -> list[float]:
    """Return some of the sizes, evenly distributed."""
    ordered = sorted(sizes)
    step = max(1.0, len(ordered) / SIZES_MAX)
    return [ordered[int(number * step)] for number in range(min(len(ordered), SIZES_MAX))]


def _plausible(seconds: float) -> float:
    return round(min(seconds, NUMBER_MAX), 3)

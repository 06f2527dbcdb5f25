"""Random requests, drawn from a seed, for deployments of two shapes."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.core.requests.models import PreemptMethod, Request, RequestClass
from toucandoor.core.shares.models import ServiceMeter
from toucandoor.ids import PoolId, QueueId, RequestId, TeamId

if TYPE_CHECKING:
    from collections.abc import Iterator

PEAK_RATIO: Final = 5.0
"""Demand of a queue in its peak, as a multiple of its mean."""

OFF_PEAK_RATIO: Final = 0.05
"""Demand of a queue outside its peak, as a multiple of its mean."""

URGENT_DEADLINE_S: Final = 20.0
PATIENT_DEADLINE_S: Final = 400.0
ENDLESS_RATIO: Final = 0.005
ENDLESS_RUN_S: Final = 1e6
RUN_TIME_LOG_SIGMA: Final = 0.8
"""Standard deviation of the natural logarithm of run times."""

PREEMPT_METHODS: Final = (PreemptMethod.CHECKPOINT,) * 6 + (PreemptMethod.STOP,) * 2 + (None,) * 2
"""Patient requests: six of ten can be checkpointed, two can be stopped, two neither."""

TEAM_DEMANDS: Final = (8.0, 6.0, 2.0, 2.0, 1.0, 1.0)
TEAM_WEIGHTS: Final = (3.0, 2.0, 1.0, 1.0, 1.0, 1.0)
TEAMS: Final = tuple(TeamId(f"team-{number}") for number in range(len(TEAM_DEMANDS)))
WEIGHTS: Final = dict(zip(TEAMS, TEAM_WEIGHTS, strict=True))


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a deployment and kind of its requests.

    Attributes:
        workers: Backend servers in each pool.
        urgent_ratio: Part of the requests that are urgent.
        peak_s: Length of each queue's peak of demand; the queues have theirs one after another.
        meter: How the deployment counts the service of a team.
    """

    name: str
    pools: int
    workers: int
    slots: int
    urgent_ratio: float
    urgent_run_s: float
    patient_run_s: float
    peak_s: float
    meter: ServiceMeter

    @property
    def pool_slots(self) -> int:
        """Return the slots of one pool."""
        return self.workers * self.slots

    @property
    def pool_ids(self) -> list[PoolId]:
        """Return the pools; the last is the spare."""
        return [PoolId(f"pool-{number}") for number in range(self.pools)]


WHISTLELINE: Final = Shape("whistleline", 5, 6, 8, 0.6, 0.8, 15.0, 15.0, ServiceMeter.RUN_TIME)
OBERLAND: Final = Shape("oberland", 5, 8, 8, 0.4, 1.5, 30.0, 30.0, ServiceMeter.COMPLETED_JOB)
SHAPES: Final = (WHISTLELINE, OBERLAND)


@dataclass(slots=True)
class SimulatedRequest:
    """A request, the run time that it needs, and its state in the simulation.

    Attributes:
        remaining_s: Run time that it still needs.
        unanswered: Whether it was refused, or its deadline passed first.
        discarded_s: Run time discarded when attempts were stopped.
    """

    request: Request
    pool: PoolId
    team: TeamId
    run_s: float
    remaining_s: float = field(default=0.0)
    first_start_s: float | None = None
    finished_s: float | None = None
    cancelled: bool = False
    unanswered: bool = False
    discarded_s: float = 0.0

    @property
    def urgent(self) -> bool:
        """Return whether the request is urgent."""
        return self.request.request_class is RequestClass.URGENT


def draw_requests(
    shape: Shape, seed: int, duration_s: float, load_ratio: float, *, rotating_peaks: bool
) -> list[SimulatedRequest]:
    """Draw the requests of a simulation, in the order of arrival.

    Args:
        shape: The deployment.
        seed: Seed of all random choices.
        duration_s: Time over which requests arrive.
        load_ratio: Mean demand for run time, as a part of the slot time.
        rotating_peaks: Whether the queues have peaks of demand one after another, or all have
            their mean demand all the time.
    """
    rng = random.Random(seed)
    mean_run_s = (
        shape.urgent_ratio * shape.urgent_run_s + (1 - shape.urgent_ratio) * shape.patient_run_s
    )
    mean_rate = load_ratio * shape.pool_slots / mean_run_s
    drawn: list[SimulatedRequest] = []
    for index, pool in enumerate(shape.pool_ids):
        for arrived_s in _arrivals(rng, index, shape, mean_rate, duration_s, rotating_peaks):
            drawn.append(_draw_request(rng, shape, pool, arrived_s, len(drawn)))
    return sorted(drawn, key=lambda simulated: simulated.request.arrived_s)


def _arrivals(
    rng: random.Random,
    index: int,
    shape: Shape,
    mean_rate: float,
    duration_s: float,
    rotating_peaks: bool,
) -> Iterator[float]:
    """Yield the arrival times of a queue: a Poisson process thinned to the rate at each time."""
    rate_max = mean_rate * (PEAK_RATIO if rotating_peaks else 1.0)
    now_s = rng.expovariate(rate_max)
    while now_s < duration_s:
        in_peak = not rotating_peaks or int(now_s / shape.peak_s) % shape.pools == index
        if in_peak or rng.random() < OFF_PEAK_RATIO / PEAK_RATIO:
            yield now_s
        now_s += rng.expovariate(rate_max)


def _draw_request(
    rng: random.Random, shape: Shape, pool: PoolId, arrived_s: float, number: int
) -> SimulatedRequest:
    urgent = rng.random() < shape.urgent_ratio
    team = rng.choices(TEAMS, TEAM_DEMANDS)[0]
    mean_s = shape.urgent_run_s if urgent else shape.patient_run_s
    run_s = mean_s * math.exp(rng.gauss(-(RUN_TIME_LOG_SIGMA**2) / 2, RUN_TIME_LOG_SIGMA))
    declared_s = run_s * 10 ** rng.uniform(-1, 1)
    if not urgent and rng.random() < ENDLESS_RATIO:
        run_s = ENDLESS_RUN_S
    request = Request(
        RequestId(f"r{number}"),
        QueueId(pool),
        team,
        RequestClass.URGENT if urgent else RequestClass.PATIENT,
        idempotent=True,
        arrived_s=arrived_s,
        deadline_s=arrived_s + (URGENT_DEADLINE_S if urgent else PATIENT_DEADLINE_S),
        declared_run_s=declared_s,
        preempt_how=None if urgent else rng.choice(PREEMPT_METHODS),
    )
    return SimulatedRequest(request, pool, team, run_s, remaining_s=run_s)

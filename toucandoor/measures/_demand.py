"""Seeded demand at the deployments' shapes."""

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

HIGH_RATIO: Final = 5.0
LOW_RATIO: Final = 0.05
URGENT_DEADLINE_S: Final = 20.0
PATIENT_DEADLINE_S: Final = 400.0
ENDLESS_RATIO: Final = 0.005
ENDLESS_RUN_S: Final = 1e6
RUN_SIGMA: Final = 0.8
"""Spread of the run times' logarithm."""

PREEMPT_KINDS: Final = (PreemptMethod.CHECKPOINT,) * 6 + (PreemptMethod.STOP,) * 2 + (None,) * 2
"""Patient requests: six tenths can be checkpointed, two stopped, two neither."""

TEAM_DEMAND: Final = (8.0, 6.0, 2.0, 2.0, 1.0, 1.0)
TEAM_WEIGHT: Final = (3.0, 2.0, 1.0, 1.0, 1.0, 1.0)
TEAMS: Final = tuple(TeamId(f"team-{number}") for number in range(len(TEAM_DEMAND)))
WEIGHTS: Final = dict(zip(TEAMS, TEAM_WEIGHT, strict=True))


@dataclass(frozen=True, slots=True)
class Shape:
    """A deployment's size and kind of work.

    Attributes:
        workers: Backend servers in each pool.
        urgent_ratio: Part of the requests that are urgent.
        turn_s: How long each queue's turn of high demand lasts.
        meter: How the deployment counts service.
    """

    name: str
    pools: int
    workers: int
    slots: int
    urgent_ratio: float
    urgent_run_s: float
    patient_run_s: float
    turn_s: float
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
class Job:
    """A request, what it really needs, and what became of it.

    Attributes:
        left_s: Running time still needed.
        lost_s: Running time that stopping it threw away.
    """

    request: Request
    pool: PoolId
    team: TeamId
    run_s: float
    left_s: float = field(default=0.0)
    first_start_s: float | None = None
    done_s: float | None = None
    cancelled: bool = False
    refused: bool = False
    lost_s: float = 0.0

    @property
    def urgent(self) -> bool:
        """Return whether the request is urgent."""
        return self.request.request_class is RequestClass.URGENT


def jobs(
    shape: Shape, seed: int, duration_s: float, load_ratio: float, *, turns: bool
) -> list[Job]:
    """Draw the requests of a run, in the order of arrival.

    Args:
        shape: The deployment.
        seed: Seed of everything random.
        duration_s: How long requests arrive.
        load_ratio: Mean demand for running time, as a part of the slots.
        turns: Whether the queues take turns at high demand, or all ask for their mean.
    """
    rng = random.Random(seed)
    mean_run_s = (
        shape.urgent_ratio * shape.urgent_run_s + (1 - shape.urgent_ratio) * shape.patient_run_s
    )
    mean_rate = load_ratio * shape.pool_slots / mean_run_s
    drawn: list[Job] = []
    for index, pool in enumerate(shape.pool_ids):
        for arrived_s in _arrivals(rng, index, shape, mean_rate, duration_s, turns):
            drawn.append(_job(rng, shape, pool, arrived_s, len(drawn)))
    return sorted(drawn, key=lambda job: job.request.arrived_s)


def _arrivals(
    rng: random.Random, index: int, shape: Shape, mean_rate: float, duration_s: float, turns: bool
) -> Iterator[float]:
    """Thin a Poisson process at the highest rate down to the rate of each moment."""
    highest = mean_rate * (HIGH_RATIO if turns else 1.0)
    now_s = rng.expovariate(highest)
    while now_s < duration_s:
        high = not turns or int(now_s / shape.turn_s) % shape.pools == index
        if high or rng.random() < LOW_RATIO / HIGH_RATIO:
            yield now_s
        now_s += rng.expovariate(highest)


def _job(rng: random.Random, shape: Shape, pool: PoolId, arrived_s: float, number: int) -> Job:
    urgent = rng.random() < shape.urgent_ratio
    team = rng.choices(TEAMS, TEAM_DEMAND)[0]
    mean_s = shape.urgent_run_s if urgent else shape.patient_run_s
    run_s = mean_s * math.exp(rng.gauss(-(RUN_SIGMA**2) / 2, RUN_SIGMA))
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
        preempt_how=None if urgent else rng.choice(PREEMPT_KINDS),
    )
    return Job(request, pool, team, run_s, left_s=run_s)

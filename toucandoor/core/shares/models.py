"""Messages and states of the shares domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import AttemptId, EntryId, IncarnationId, TeamId


class ServiceMeter(Enum):
    """What a team's service is counted in."""

    RUN_TIME = "run_time"
    """Seconds of running time, completed or not."""

    COMPLETED_JOB = "completed_job"
    """One for each completed job; a running job counts as one until it ends."""


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What a backend server says a task has used; it comes with a lag.

    Attributes:
        run_s: Running time of the task so far, in seconds.
        ended: Whether the figure is final.
    """

    attempt_id: AttemptId
    run_s: float
    ended: bool


@dataclass(frozen=True, slots=True)
class EntryUse:
    """Service given by one entry since it started, as its heartbeat carries it.

    Attributes:
        sequence: Grows with each heartbeat of the incarnation.
        service: Service by team, cumulative, in the unit of the ledger's meter.
    """

    entry: EntryId
    incarnation: IncarnationId
    sequence: int
    service: Mapping[TeamId, float]

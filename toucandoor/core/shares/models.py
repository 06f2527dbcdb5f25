"""Meters and usage reports of the shares domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.ids import AttemptId, EntryId, IncarnationId, TeamId


class ServiceMeter(Enum):
    """Unit of a team's service."""

    RUN_TIME = "run_time"
    """Running time of all attempts in seconds, completed or not."""

    COMPLETED_JOB = "completed_job"
    """Number of completed attempts; a running attempt counts as one until it ends."""


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Running time of a task as its backend server reports it, with a delay.

    Attributes:
        run_s: Running time of the task so far, in seconds.
        final: Whether the task has ended, so that the figure no longer changes.
    """

    attempt_id: AttemptId
    run_s: float
    final: bool


@dataclass(frozen=True, slots=True)
class EntryService:
    """Report of the service given by one entry since it started.

    Attributes:
        sequence: Raised with each report of the incarnation.
        service: Cumulative service by team, in the unit of the ledger's meter.
    """

    entry: EntryId
    incarnation: IncarnationId
    sequence: int
    service: Mapping[TeamId, float]

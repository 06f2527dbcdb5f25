"""Interface to the decision which tasks get a second run, and the baseline without any."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import Step
    from toucandoor.core.scheduling.progress import JobProgress, Task
    from toucandoor.core.scheduling.worker_view import Run, WorkerView

    PlanRun = Callable[[JobProgress, Task, WorkerView, int, float], Run]


class CopyReason(Enum):
    """Reason for a copy."""

    SILENT = "silent"
    """The first run is on an unresponsive server or a suspected rack."""
    OVERDUE = "overdue"
    """The first run takes unusually long, and all other tasks of the step are done."""


@dataclass(slots=True)
class CopyCounts:
    """Counts since the start of a term.

    Attributes:
        started: Copies planned.
        won: Copies that ended as done before the first run.
        lost: Copies that ended in another way.
        over_budget: Runs that got no copy when they needed it because copies had their share.
        no_room: Runs that got no copy when they needed it because no suitable server had room.
        core_s: Processor time reserved by copies that have ended, in core-seconds.
    """

    started: int = 0
    won: int = 0
    lost: int = 0
    over_budget: int = 0
    no_room: int = 0
    core_s: float = 0.0

    def counts(self) -> dict[str, int]:
        """Return all counts by their name in logs."""
        return {
            "copies_started": self.started,
            "copies_won": self.won,
            "copies_lost": self.lost,
            "copies_over_budget": self.over_budget,
            "copies_no_room": self.no_room,
            "copies_core_s": round(self.core_s),
        }


class CopyPolicy(ABC):
    """Decides which tasks of steps that allow copies get a second run, and where.

    Attributes:
        counts: What this owner's copies came to.
    """

    def __init__(self) -> None:
        self.counts = CopyCounts()

    @abstractmethod
    def plan(self, plan_run: PlanRun) -> None:
        """Plan the copies that are needed now; called after each placement.

        Args:
            plan_run: Plans a run of a task on a server under an attempt number, at a time.
        """


class NoCopies(CopyPolicy):
    """Baseline: every task has one run."""

    def plan(self, plan_run: PlanRun) -> None:
        """Do nothing."""


def may_be_copied(step: Step) -> bool:
    """Return whether tasks of a step may have a second run.

    Tasks of a gang end together, so a copy of one of them is of no use. A long-running task has no
    end that could come first, and best-effort tasks reserve no processor that could be counted.
    """
    return (
        step.copies_allowed and not step.gang and not step.long_running and not step.uses_leftovers
    )

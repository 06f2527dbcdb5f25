"""Spread of a long-running step over racks, so that one rack takes no more than its promise."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import StepProgress, Task


class RackSpread(ABC):
    """Decides which racks a task of a long-running step should avoid."""

    @abstractmethod
    def beyond(self, step: StepProgress, task: Task) -> dict[str, int]:
        """Return the racks to avoid for a task of a step; those with the lowest number come first.

        Racks that need not be avoided are missing.
        """


class NoRackSpread(RackSpread):
    """Baseline: no rack is avoided."""

    def beyond(self, step: StepProgress, task: Task) -> dict[str, int]:
        """Return nothing."""
        return {}


class SpreadByPromise(RackSpread):
    """Avoids racks that hold as many tasks of a step as its promise lets be unavailable."""

    def beyond(self, step: StepProgress, task: Task) -> dict[str, int]:
        """Return how far a task on each rack would exceed the promise."""
        return tasks_beyond_promise(step, task)


def tasks_beyond_promise(step: StepProgress, task: Task) -> dict[str, int]:
    """Return for each rack how far a task placed there would exceed its step's promise.

    Racks that would keep to the promise are missing; beyond it, tasks are spread evenly. A step of
    which none may be unavailable is spread like one of which one may. Steps that end, or have no
    promise, are not spread.

    Args:
        step: The step.
        task: The task to place; it does not count.
    """
    allowed = step.step.unavailable_max
    if not step.step.long_running or allowed is None:
        return {}
    on_rack = Counter(
        run.worker.entry.rack
        for other in step.tasks
        if other is not task
        for run in other.runs
        if run.worker.entry.rack
    )
    limit = max(1, allowed)
    return {rack: count + 1 - limit for rack, count in on_rack.items() if count >= limit}

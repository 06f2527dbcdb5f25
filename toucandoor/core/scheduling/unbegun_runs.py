"""Reports of planned runs that do not begin, and of what ends them."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Final, NamedTuple

from toucandoor.core.scheduling.lookups import run_fields
from toucandoor.core.scheduling.start_log import start_fields
from toucandoor.core.scheduling.worker_view import DiscardReason, RunState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run

_LOGGER = logging.getLogger(__name__)

REVIEW_INTERVAL_S: Final = 0.5
"""Interval between reviews; a warning comes up to this much late."""
WARN_AFTER_S: Final = 3.0
"""Time after its planning from which a run that has not begun is logged: the longest time that a
task with room may be without a run."""
LINES_PER_REVIEW_MAX: Final = 25
"""Most warnings of a review; the others follow in the next ones."""
ENDED_MAX: Final = 10_000
"""Most ended runs that wait for the next report."""

BEGUN: Final = "begun after all"
REMOVED: Final = "removed with its plan, or its end was reported"


class EndedUnbegun(NamedTuple):
    """A planned run that has ended without having begun.

    Attributes:
        held_s: Time for which it held its task, since it was planned.
        ended_by: What ended it, as the label of a metric.
    """

    held_s: float
    ended_by: str


class UnbegunRuns:
    """Finds planned runs that have held their tasks for long without having begun."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._warned: dict[Run, None] = {}
        self._ended: deque[EndedUnbegun] = deque(maxlen=ENDED_MAX)
        self._next_review_s = 0.0

    def on_discarded(self, run: Run, reason: DiscardReason, ended_by: str) -> None:
        """Process that a run that was planned in this term is about to be discarded.

        Args:
            run: The run; one that has begun is ignored.
            reason: Why it is discarded.
            ended_by: The same in more detail, for the log.
        """
        if run.begun:
            return
        label = reason.name.lower()
        if reason is DiscardReason.SERVER_LOST and _lease_expired(run, self._state.now_s):
            label = "lease_expired"
        self._ended.append(EndedUnbegun(self._state.now_s - run.created_s, label))
        if run in self._warned:
            self._log_end(run, ended_by)

    def pop_ended(self) -> list[EndedUnbegun]:
        """Return the runs that have ended since the last call."""
        ended = list(self._ended)
        self._ended.clear()
        return ended

    def review(self) -> None:
        """Log the runs that have not begun for long, and the ends of those logged before."""
        now_s = self._state.now_s
        if now_s < self._next_review_s:
            return
        self._next_review_s = now_s + REVIEW_INTERVAL_S
        for run in list(self._warned):
            if run.begun or run.key not in run.worker.runs:
                self._log_end(run, BEGUN if run.begun else REMOVED)
        lines = 0
        for run in self._not_begun_since(now_s - WARN_AFTER_S):
            if run in self._warned:
                continue
            self._warned[run] = None
            _LOGGER.warning(
                "runs: a run holds its task without having begun",
                extra=run_fields(run) | start_fields(run, now_s) | {"run_state": run.state.value},
            )
            lines += 1
            if lines == LINES_PER_REVIEW_MAX:
                return

    def _not_begun_since(self, planned_until_s: float) -> Iterator[Run]:
        """Yield the runs planned until then that have not begun.

        Those whose record is just being written are not found; they are once that has ended.
        """
        for runs in self._state.planned.values():
            yield from (run for run in runs if run.created_s <= planned_until_s)
        for run in self._state.runs_awaiting_orders:
            starting = run.created_s <= planned_until_s and run.state is RunState.STARTING
            if starting and not run.begun:
                yield run

    def _log_end(self, run: Run, ended_by: str) -> None:
        del self._warned[run]
        _LOGGER.warning(
            "runs: a run that held its task without having begun does so no longer",
            extra=run_fields(run) | start_fields(run, self._state.now_s) | {"ended_by": ended_by},
        )


def _lease_expired(run: Run, now_s: float) -> bool:
    return run.worker.unresponsive and run.worker.lease_expired(now_s)

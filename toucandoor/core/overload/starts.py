"""Runs that were started lately for teams whose work waits, and how late their turn was.

New jobs have their turn before larger ones of their team, and before jobs that can no longer meet
their objective. Whether a new job starts in time thus depends on the jobs that arrive after it.
What has been started lately shows it: where room was left for larger or late jobs, a smaller new
one would have got it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.overload.const import LATER_SHARE_MAX, STARTS_MAX, STARTS_WINDOW_S
from toucandoor.core.scheduling.queue_order import (
    objective_s,
    remaining_chain_s,
    remaining_core_s,
)

if TYPE_CHECKING:
    from toucandoor.core.jobs.configuration import JobQueue
    from toucandoor.core.scheduling.progress import JobProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.ids import JobId, PoolId, TeamId

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class _Start:
    """Start of a run.

    Attributes:
        run: The run.
        started_s: When it was planned, on the monotonic clock.
        work_core_s: Processor time that it needs.
        priority: Priority of its queue.
        late: Whether its job could no longer meet its objective.
        job_core_s: Processor time that its job still needed.
    """

    run: Run
    started_s: float
    work_core_s: float
    priority: int
    late: bool
    job_core_s: float

    @property
    def cancelled(self) -> bool:
        """Whether it has ended without having begun."""
        return self.run.confirmed_s is None and self.run.key not in self.run.worker.runs


@dataclass(slots=True)
class _Observed:
    """Starts of a team in a pool.

    Attributes:
        since_s: Time since which all starts are recorded.
        needed_s: Latest report that needed them.
        starts: The starts within the window.
    """

    since_s: float
    needed_s: float
    starts: deque[_Start] = field(default_factory=lambda: deque(maxlen=STARTS_MAX))


class RecentStarts:
    """Records the starts of teams in pools in which their work waits too long.

    Starts of other teams aren't recorded, so that they cost nothing.

    Args:
        state: The schedule, of which it becomes a listener.
    """

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._observed: dict[tuple[TeamId, PoolId], _Observed] = {}
        self._latest: tuple[JobId, int, float, bool, float] | None = None
        state.attach_listeners.append(self._on_attached)

    def begin_report(self, now_s: float) -> None:
        """Stop to record the starts that no report has needed within the window."""
        for key, observed in list(self._observed.items()):
            if observed.needed_s < now_s - STARTS_WINDOW_S:
                del self._observed[key]

    def largest_in_time_core_s(
        self, team: TeamId, queue: JobQueue, now_s: float, least_core_s: float
    ) -> float | None:
        """Return the size up to which new jobs of a team have lately been started in time.

        None if it isn't known, or if jobs have been started whose turn is after that of any new
        one.

        Args:
            team: The team.
            queue: The queue.
            now_s: The monotonic time.
            least_core_s: Work that must have been started; less shows nothing.
        """
        key = (team, queue.pool)
        observed = self._observed.setdefault(key, _Observed(now_s, now_s))
        observed.needed_s = now_s
        starts = observed.starts
        while starts and starts[0].started_s < now_s - STARTS_WINDOW_S:
            starts.popleft()
        if now_s - observed.since_s < STARTS_WINDOW_S:
            return None
        made = [start for start in starts if not start.cancelled]
        made_core_s = sum(start.work_core_s for start in made)
        if made_core_s < least_core_s:
            return None
        left_core_s = LATER_SHARE_MAX * made_core_s
        by_turn = sorted(
            (
                (start.late or start.priority > queue.priority, start.job_core_s, start.work_core_s)
                for start in made
                if start.priority >= queue.priority
            ),
            reverse=True,
        )
        for after_any, job_core_s, work_core_s in by_turn:
            left_core_s -= work_core_s
            if left_core_s < 0:
                return None if after_any else job_core_s
        return 0.0

    def _on_attached(self, job: JobProgress, run: Run) -> None:
        spec = job.spec
        observed = self._observed.get((spec.team, run.worker.entry.pool))
        if observed is None or run.task.step.long_running:
            return
        state = self._state
        now_s = state.now_s
        late, job_core_s = self._turn(job, run.task.key.occurrence, now_s)
        run_s = state.run_times.expected_s(run.task.step, spec.queue)
        work_core_s = run.task.step.needs.cpu_millicores / MS_PER_S * run_s
        observed.starts.append(
            _Start(run, now_s, work_core_s, spec.terms.priority, late, job_core_s)
        )

    def _turn(self, job: JobProgress, occurrence: int, now_s: float) -> tuple[bool, float]:
        """Return whether an occurrence is late, and its size; tasks of a step start together."""
        spec = job.spec
        latest = self._latest
        if latest is not None and latest[:3] == (spec.job_id, occurrence, now_s):
            return latest[3:]
        state = self._state
        due_unix_ms = spec.first_due_unix_ms + occurrence * spec.interval_ms
        begin_unix_ms = due_unix_ms if spec.timed else spec.accepted_unix_ms
        age_s = (state.now_unix_ms - begin_unix_ms) / MS_PER_S
        chain_s = remaining_chain_s(job, occurrence, state.run_times)
        late = age_s + chain_s > objective_s(spec, state.run_times)
        core_s = remaining_core_s(job, occurrence, state.run_times)
        self._latest = (spec.job_id, occurrence, now_s, late, core_s)
        return late, core_s

"""Copies on capacity that no waiting task needs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.copies.models import CopyPolicy, CopyReason
from toucandoor.core.scheduling.lookups import run_fields
from toucandoor.core.scheduling.placement import allowed_workers, choose_worker, tasks_by_worker
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView

if TYPE_CHECKING:
    from toucandoor.core.copies.models import PlanRun
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.ids import PoolId, WorkerId

_LOGGER = logging.getLogger(__name__)

REVIEW_INTERVAL_S: Final = 0.05
"""Time between two reviews of runs on silent servers; short beside the seconds that a copy may
save."""
OVERDUE_INTERVAL_S: Final = 0.25
"""Time between two reviews of all runs, of which there may be thousands."""
REFUSED_PAUSE_S: Final = 0.5
"""Time after which a run that could get no copy is reviewed again."""
TRIES_MAX: Final = 8
"""Most runs for which a server is looked for in one review; each look goes through a pool."""
POOL_CORES_RATIO: Final = 0.1
"""Most of a pool's cores that copies may reserve."""
OVERDUE_QUANTILE: Final = 0.95
OVERDUE_RATIO: Final = 1.5
"""A run is overdue after this many times the run time that this share of tasks does not exceed."""
MILLICORES: Final = 1000


class SpareCapacityCopies(CopyPolicy):
    """Copies runs on silent servers and overdue runs, at most one copy of each.

    Args:
        state: The schedule.
    """

    def __init__(self, state: ScheduleState) -> None:
        super().__init__()
        self._state = state
        self._reviewed_s = float("-inf")
        self._overdue_reviewed_s = float("-inf")
        self._copies: dict[Run, None] = {}
        self._refused: dict[Run, float] = {}

    def plan(self, plan_run: PlanRun) -> None:
        """Plan the copies that are needed now."""
        state = self._state
        now_s = state.now_s
        runs = state.runs_to_copy
        if (not runs and not self._copies) or now_s - self._reviewed_s < REVIEW_INTERVAL_S:
            return
        self._reviewed_s = now_s
        self._refused = {run: at_s for run, at_s in self._refused.items() if run in runs}
        self._count_ended(now_s)
        needed: dict[PoolId, list[tuple[Run, CopyReason]]] = {}
        for run in self._to_review(now_s):
            if now_s - self._refused.get(run, float("-inf")) < REFUSED_PAUSE_S:
                continue
            reason = self._reason(run, now_s)
            if reason is not None:
                pool = state.pool_of(state.jobs[run.task.key.job_id])
                needed.setdefault(pool, []).append((run, reason))
        for pool, each in needed.items():
            self._plan_in_pool(pool, each, plan_run, now_s)

    # Which runs need a copy

    def _to_review(self, now_s: float) -> list[Run]:
        """Return all runs, or only those on silent servers between two reviews of all."""
        state = self._state
        if now_s - self._overdue_reviewed_s < OVERDUE_INTERVAL_S:
            silent = state.failure_domains.silent_workers
            return [
                run for each in silent for run in each.runs.values() if run in state.runs_to_copy
            ]
        self._overdue_reviewed_s = now_s
        for run in state.runs_to_copy:
            if run.is_copy and run not in self._copies and not run.stop_requested:
                self._copies[run] = None  # planned by a former owner
        return list(state.runs_to_copy)

    def _reason(self, run: Run, now_s: float) -> CopyReason | None:
        """Return why a run needs a copy now; None if it needs none or may have none."""
        task = run.task
        if len(task.runs) != 1 or task.done or task.suspect or run.stop_requested:
            return None
        if run.state is RunState.PLANNED or not run.worker.entry.rack:
            return None
        job = self._state.jobs[task.key.job_id]
        # Each of the runs may fail, and no more runs may fail than the job allows.
        failures_max = len(task.failed_attempts) + len(task.runs) + 1
        if job.state.final or failures_max > self._state.attempts_max(job):
            return None
        if self._is_silent(run.worker):
            return CopyReason.SILENT
        if run.confirmed_s is None or self._state.step_of(task).remaining != 1:
            return None
        usual_s = self._state.run_times.quantile_s(task.step, job.spec.queue, OVERDUE_QUANTILE)
        overdue = usual_s > 0 and now_s - run.confirmed_s > usual_s * OVERDUE_RATIO
        return CopyReason.OVERDUE if overdue else None

    def _is_silent(self, worker: WorkerView) -> bool:
        domains = self._state.failure_domains
        if domains.own_connection_suspected:
            return False
        return worker.heartbeat_failures > 0 or domains.rack_suspected(worker)

    # Where copies run

    def _plan_in_pool(
        self,
        pool: PoolId,
        needed: list[tuple[Run, CopyReason]],
        plan_run: PlanRun,
        now_s: float,
    ) -> None:
        state = self._state
        workers = [
            worker
            for worker in state.workers.values()
            if worker.entry.pool == pool and worker.usable(now_s)
        ]
        budget = sum(worker.entry.capacity.cpu_millicores for worker in workers) * POOL_CORES_RATIO
        budget -= self._reserved_millicores(pool)
        wanted = self._wanted_by_waiting_tasks(pool, workers, now_s)
        spare = [
            worker
            for worker in workers
            if worker.entry.worker_id not in wanted
            and worker.entry.rack
            and not state.failure_domains.suspects(worker)
        ]
        # Silent servers first, then the steps that the fewest tasks keep from being done.
        needed.sort(
            key=lambda each: (
                each[1] is not CopyReason.SILENT,
                state.step_of(each[0].task).remaining,
            )
        )
        for run, reason in needed[:TRIES_MAX]:
            cost = run.task.step.needs.cpu_millicores
            if cost > budget:
                self._refuse(run, now_s, over_budget=True)
                continue
            chosen = self._choose(run, spare, now_s)
            if chosen is None:
                self._refuse(run, now_s, over_budget=False)
                continue
            budget -= cost
            self._start(run, chosen, reason, plan_run, now_s)

    def _reserved_millicores(self, pool: PoolId) -> int:
        """Return the processor that copies in a pool reserve."""
        return sum(
            run.task.step.needs.cpu_millicores
            for run in self._state.runs_to_copy
            if run.is_copy and run.worker.entry.pool == pool
        )

    def _wanted_by_waiting_tasks(
        self, pool: PoolId, workers: list[WorkerView], now_s: float
    ) -> set[WorkerId]:
        """Return the servers that tasks which wait for capacity may use."""
        wanted: set[WorkerId] = set()
        for key, step in self._state.waiting_steps.items():
            job = self._state.jobs[key.job_id]
            if self._state.pool_of(job) != pool or not self._waits_for_capacity(job, step):
                continue
            wanted |= {each.entry.worker_id for each in allowed_workers(workers, step, now_s)}
            if len(wanted) == len(workers):
                break
        return wanted

    def _waits_for_capacity(self, job: JobProgress, step: StepProgress) -> bool:
        """Return whether tasks of a step wait, and not for their team's ceiling alone."""
        waiting = any(task.waiting for task in step.tasks)
        return waiting and job.runnable(step) and self._state.within_ceiling(job, step.step.needs)

    def _choose(self, run: Run, spare: list[WorkerView], now_s: float) -> WorkerView | None:
        """Return a server for a copy, on another rack than the run's."""
        state = self._state
        step = state.step_of(run.task)
        job = state.jobs[run.task.key.job_id]
        queue = state.queue_of(job)
        advised = queue is not None and queue.adviser is not None
        step.forget_expired_tickets(now_s)
        if advised and step.advice is None:
            return None
        if not state.within_ceiling(job, step.step.needs):
            return None
        first = run.worker.entry
        elsewhere = [
            worker
            for worker in allowed_workers(spare, step, now_s)
            if worker.entry.worker_id != first.worker_id and worker.entry.rack != first.rack
        ]
        on_worker = tasks_by_worker(step)
        return choose_worker(elsewhere, step, run.task, on_worker, now_s, state.rack_spread)

    def _start(
        self, run: Run, worker: WorkerView, reason: CopyReason, plan_run: PlanRun, now_s: float
    ) -> None:
        task = run.task
        copy = plan_run(self._state.jobs[task.key.job_id], task, worker, task.attempt + 1, now_s)
        self._copies[copy] = None
        self.counts.started += 1
        _LOGGER.info(
            "copies: planned",
            extra=run_fields(copy)
            | {
                "reason": reason.value,
                "copied_worker": run.worker.entry.worker_id,
                "rack": run.worker.entry.rack,
                "age_s": round(now_s - run.created_s, 3),
            },
        )

    # What came of them

    def _refuse(self, run: Run, now_s: float, *, over_budget: bool) -> None:
        counted = run in self._refused
        self._refused[run] = now_s
        if counted:
            return
        if over_budget:
            self.counts.over_budget += 1
        else:
            self.counts.no_room += 1
        _LOGGER.info(
            "copies: refused",
            extra=run_fields(run) | {"reason": "over budget" if over_budget else "no room"},
        )

    def _count_ended(self, now_s: float) -> None:
        """Count the copies that no longer exist, and what they cost."""
        for copy in [each for each in self._copies if each.key not in each.worker.runs]:
            del self._copies[copy]
            won = copy.task.done_attempt == copy.key.attempt
            self.counts.won += won
            self.counts.lost += not won
            ran_s = now_s - copy.confirmed_s if copy.confirmed_s is not None else 0.0
            core_s = ran_s * copy.task.step.needs.cpu_millicores / MILLICORES
            self.counts.core_s += core_s
            _LOGGER.info(
                "copies: ended",
                extra=run_fields(copy) | {"won": won, "core_s": round(core_s, 3)},
            )

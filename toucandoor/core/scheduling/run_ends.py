"""What follows from the listings of backend servers: runs confirmed, ended and settled."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import JobState
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.state import find_task, run_fields, task_text
from toucandoor.core.scheduling.worker_view import Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import EndReason

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress, Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.workers import ActiveRun, EndedRun, Listing

_LOGGER = logging.getLogger(__name__)


class RunEnds:
    """Takes the ends of runs and brings the schedule in line with listings."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state

    def take(self, worker: WorkerView, listing: Listing, sent_s: float) -> None:
        """Take a backend server's own account of its runs.

        Args:
            worker: Which boot was asked.
            listing: What it says.
            sent_s: When it was asked, on the monotonic clock.
        """
        for ended in listing.ended:
            if ended.number > worker.ends_seen:
                worker.ends_seen = ended.number
                self._ended(worker, ended)
        self._compare(worker, listing, sent_s)

    def _ended(self, worker: WorkerView, ended: EndedRun) -> None:
        state = self._state
        run = worker.runs.get(ended.run)
        job = state.jobs.get(ended.run.task.job_id)
        task = find_task(job, ended.run.task) if job is not None else None
        if job is None or task is None:
            return
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        if ended.reason is EndReason.DONE and not task.step.long_running:
            self._task_done(job, task)
        elif ended.reason is EndReason.FAILED:
            self._task_failed(job, task, ended.run.attempt, worker)
        if run is not None:
            state.detach(run)
        _LOGGER.info(
            "runs: ended",
            extra={
                "job": job.spec.job_id,
                "task": task_text(task.key),
                "attempt": ended.run.attempt,
                "worker": worker.entry.worker_id,
                "reason": ended.reason.value,
                "known": run is not None,
            },
        )
        state.touch(job)
        worker.uncommitted.append((job.spec.job_id, job.version))

    def _task_done(self, job: JobProgress, task: Task) -> None:
        state = self._state
        step = job.step(task.key.occurrence, task.key.step)
        for each in step.tasks if task.step.gang else [task]:
            if each.done:
                continue
            each.done = True
            step.undone -= 1
            for run in each.runs:
                # The others of a gang end by themselves; another run of the same task must not.
                if not task.step.gang:
                    state.want_stop(run)
        state.stale_pools.add(state.pool_of(job))
        if not job.state.final and job.all_done:
            state.finish(job, JobState.COMPLETED)

    def _task_failed(self, job: JobProgress, task: Task, attempt: int, worker: WorkerView) -> None:
        if attempt in task.failed_attempts:
            return  # listed again, after a change of owner
        task.avoid.add(worker.entry.worker_id)
        failed = [task]
        if task.step.gang:
            failed = job.step(task.key.occurrence, task.key.step).tasks
        for each in failed:
            each.failed_attempts.add(attempt)
        self._suspect(worker, job)
        if task.step.long_running or task.done or job.state.final:
            return
        if len(task.failed_attempts) >= self._state.attempts_max(job):
            self._state.finish(job, JobState.FAILED)

    def _suspect(self, worker: WorkerView, job: JobProgress) -> None:
        """Pause a backend server on which tasks of several jobs failed in a short time."""
        now_s = self._state.now_s
        recent = now_s - const.FAILURE_WINDOW_S
        worker.failures = [each for each in worker.failures if each[0] >= recent]
        worker.failures.append((now_s, job.spec.job_id))
        if len({job_id for _, job_id in worker.failures}) >= const.FAILURES_TO_SUSPECT:
            worker.paused_until_s = now_s + const.SUSPECT_PAUSE_S
            _LOGGER.warning(
                "workers: %s is suspected",
                worker.entry.worker_id,
                extra={
                    "worker": worker.entry.worker_id,
                    "failures": len(worker.failures),
                    "pause_s": const.SUSPECT_PAUSE_S,
                },
            )

    def _compare(self, worker: WorkerView, listing: Listing, sent_s: float) -> None:
        """Settle runs against a listing: confirm those it has, end those it can't have."""
        now_s = self._state.now_s
        active = {each.run: each for each in listing.active}
        for run in list(worker.runs.values()):
            seen = active.pop(run.key, None)
            if seen is not None:
                self._seen_active(run, seen, now_s)
            elif _cannot_exist(run, sent_s):
                self._state.drop(run)
        for unknown in active.values():
            self._unknown_active(worker, unknown, now_s)

    def _seen_active(self, run: Run, seen: ActiveRun, now_s: float) -> None:
        if run.state in (RunState.STARTING, RunState.RECOVERED):
            run.state = RunState.RUNNING
        if run.confirmed_s is None:
            run.confirmed_s = now_s
        if seen.checkpoint:
            run.task.checkpoint = seen.checkpoint
        run.percent = seen.percent
        run.recent = seen.recent

    def _unknown_active(self, worker: WorkerView, seen: ActiveRun, now_s: float) -> None:
        """Stop a run that nobody planned here: an order carried out late."""
        state = self._state
        job = state.jobs.get(seen.run.task.job_id)
        task = find_task(job, seen.run.task) if job is not None else None
        if job is None or task is None:
            return
        run = Run(seen.run, task, worker, RunState.RUNNING, now_s, confirmed_s=now_s)
        run.checkpoint = seen.checkpoint
        task.attempt = max(task.attempt, seen.run.attempt)
        state.attach(run)
        state.want_stop(run)
        state.touch(job)
        _LOGGER.warning("runs: one carried out late is stopped", extra=run_fields(run))


def _cannot_exist(run: Run, sent_s: float) -> bool:
    """Return whether a run's absence from a listing proves that it is not there, now or later."""
    # A listing under our token: the orders of the former owner are refused from then on.
    fenced = run.state is RunState.RECOVERED
    was_there = (
        run.state is RunState.RUNNING and run.confirmed_s is not None and run.confirmed_s < sent_s
    )
    ruled_out = (
        run.stop_acknowledged
        and run.stop_sent_s is not None
        and run.stop_sent_s < sent_s
        and not run.order_in_flight
    )
    return fenced or was_there or ruled_out

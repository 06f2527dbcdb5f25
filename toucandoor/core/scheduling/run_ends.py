"""Processes status reports of backend servers: confirms runs, and handles those that have ended."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import JobState
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.lookups import find_task, run_fields, task_text
from toucandoor.core.scheduling.run_samples import RunSamples
from toucandoor.core.scheduling.worker_view import DiscardReason, Run, RunState, WorkerView
from toucandoor.core.scheduling.workers import EndReason

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import JobProgress, Task
    from toucandoor.core.scheduling.server_crashes import ServerCrashes
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.workers import ActiveRun, EndedRun, StatusReport

_LOGGER = logging.getLogger(__name__)


class RunEnds:
    """Applies the ends of runs to their jobs, and reconciles runs with status reports.

    Attributes:
        samples: Measures the run times of the runs that end.
    """

    def __init__(self, state: ScheduleState, crashes: ServerCrashes) -> None:
        self._state = state
        self._crashes = crashes
        self.samples = RunSamples(state)

    def process_report(self, worker: WorkerView, report: StatusReport, sent_s: float) -> None:
        """Process the status report of a backend server.

        Args:
            worker: Boot that the heartbeat was sent to.
            report: Its answer.
            sent_s: When the heartbeat was sent, on the monotonic clock.
        """
        for ended in report.ended:
            if ended.sequence > worker.ends_processed:
                worker.ends_processed = ended.sequence
                self._process_end(worker, ended, sent_s)
        worker.reported_s, worker.report_sent_s = self._state.now_s, sent_s
        if not report.complete:
            _LOGGER.info(
                "workers: the status report of %s lists only its first ended runs",
                worker.entry.worker_id,
                extra={"worker": worker.entry.worker_id, "ends": len(report.ended)},
            )
        self._reconcile(worker, report, sent_s)

    def _process_end(self, worker: WorkerView, ended: EndedRun, sent_s: float) -> None:
        state = self._state
        run = worker.runs.get(ended.run)
        job = state.jobs.get(ended.run.task.job_id)
        task = find_task(job, ended.run.task) if job is not None else None
        if job is None or task is None:
            return
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        state.mark_begun(job)
        if ended.reason is EndReason.DONE and not task.step.long_running:
            if run is not None:
                self.samples.on_done(run, worker, sent_s)
                self._record_speed(job, run)
            self._task_done(job, task, ended.run.attempt)
        elif ended.reason is EndReason.FAILED:
            self._task_failed(job, task, ended.run.attempt, worker)
        if run is not None:
            state.detach(run)
        state.activity.runs_ended += 1
        _LOGGER.info(
            "runs: ended",
            extra={
                "job": job.spec.job_id,
                "task": task_text(task.key),
                "attempt": ended.run.attempt,
                "worker": worker.entry.worker_id,
                "reason": ended.reason.value,
                "known": run is not None,
            }
            | ({"long_running": True} if task.step.long_running else {}),
        )
        state.mark_changed(job)
        job.ends_version = job.version
        worker.uncommitted.append((job.spec.job_id, job.version))

    def _record_speed(self, job: JobProgress, run: Run) -> None:
        """Record how long a task took, unless something other than its server may have delayed it.

        A run of a gang waits for the others, and a recovered run began at an unknown time.
        """
        step, state = run.task.step, self._state
        elsewhere = step.gang or step.one_rack_preferred or step.data_rack
        if run.confirmed_s is None or not run.starts_sent or run.checkpoint or elsewhere:
            return
        expected_s = state.run_times.expected_s(step, job.spec.queue)
        if expected_s > 0 and not step.uses_leftovers:
            ratio = (state.now_s - run.confirmed_s) / expected_s
            state.failure_domains.on_done(run, job.spec.queue, ratio)

    def _task_done(self, job: JobProgress, task: Task, attempt: int) -> None:
        state = self._state
        step = job.step(task.key.occurrence, task.key.step)
        for each in step.tasks if task.step.gang else [task]:
            if each.done:
                continue
            each.done = True
            each.done_attempt = attempt
            step.remaining -= 1
            for run in list(each.runs):
                # The tasks of a gang end together by themselves; a second run of a task does not.
                if not task.step.gang:
                    state.request_stop(run)
        state.changed_pools.add(state.pool_of(job))
        if not job.state.final and job.all_done:
            state.finish(job, JobState.COMPLETED)

    def _task_failed(self, job: JobProgress, task: Task, attempt: int, worker: WorkerView) -> None:
        if attempt in task.failed_attempts:
            return  # already counted: reported again after a change of owner
        task.failed_on.add(worker.entry.worker_id)
        failed = [task]
        if task.step.gang:
            failed = job.step(task.key.occurrence, task.key.step).tasks
        for each in failed:
            each.failed_attempts.add(attempt)
        self._count_failure(worker, job)
        if task.step.long_running or task.done or job.state.final:
            return
        if len(task.failed_attempts) >= self._state.attempts_max(job):
            self._state.finish(job, JobState.FAILED)

    def _count_failure(self, worker: WorkerView, job: JobProgress) -> None:
        """Count a failed run; pause the server if runs of several jobs have failed on it."""
        now_s = self._state.now_s
        recent = now_s - const.FAILURE_WINDOW_S
        worker.failures = [each for each in worker.failures if each[0] >= recent]
        worker.failures.append((now_s, job.spec.job_id))
        if len({job_id for _, job_id in worker.failures}) >= const.FAILING_JOBS_TO_SUSPECT:
            worker.paused_until_s = now_s + const.SUSPECT_PAUSE_S
            _LOGGER.warning(
                "workers: %s gets no new tasks, as runs of several jobs failed on it",
                worker.entry.worker_id,
                extra={
                    "worker": worker.entry.worker_id,
                    "failures": len(worker.failures),
                    "pause_s": const.SUSPECT_PAUSE_S,
                },
            )

    def _reconcile(self, worker: WorkerView, report: StatusReport, sent_s: float) -> None:
        """Confirm the runs in a status report, and discard runs that can't exist any more.

        A report that doesn't list all ended runs shows which runs exist, but not which don't.
        """
        now_s = self._state.now_s
        active = {each.run: each for each in report.active}
        worker.unknown_runs = {
            run: next_s for run, next_s in worker.unknown_runs.items() if run in active
        }
        for run in list(worker.runs.values()):
            seen = active.pop(run.key, None)
            if seen is not None:
                self._confirm_run(run, seen, now_s)
            elif report.complete and _cannot_exist(run, sent_s):
                self._state.discard_run(run, DiscardReason.NOT_REPORTED)
        if sent_s < worker.contact_required_s:
            return  # the server may have ended since, and runs that were discarded with it
        for unknown in active.values():
            self._stop_unplanned_run(worker, unknown, now_s)

    def _confirm_run(self, run: Run, seen: ActiveRun, now_s: float) -> None:
        self._state.confirm(run)
        if run.state in (RunState.STARTING, RunState.RECOVERED):
            run.state = RunState.RUNNING
        if run.from_former_boot and not run.reported:
            run.confirmed_s = now_s
            run.loss_counted = False
        run.reported = True
        if run.starts_unanswered and not run.order_in_flight:
            sent_s = max(run.order_sent_s, self._state.started_s)
            if now_s >= sent_s + const.UNANSWERED_START_S_MAX:
                run.starts_unanswered = 0
        if run.settled and not run.settled_noted:
            run.settled_noted = True
            self._state.settled_jobs.setdefault(run.task.key.job_id, now_s)
        if seen.checkpoint:
            run.task.checkpoint = seen.checkpoint
        run.speed_percent = seen.speed_percent
        run.recent_metric = seen.recent_metric
        self._crashes.on_reported(run)

    def _stop_unplanned_run(self, worker: WorkerView, seen: ActiveRun, now_s: float) -> None:
        """Stop a reported run that this owner has not planned; its start was carried out late."""
        state = self._state
        job = state.jobs.get(seen.run.task.job_id)
        if job is None:
            # Every job that may run is in the schedule, so this one has ended.
            worker.unknown_runs.setdefault(seen.run, now_s)
            return
        task = find_task(job, seen.run.task)
        if task is None:
            return
        run = Run(seen.run, task, worker, RunState.RUNNING, now_s, confirmed_s=now_s, reported=True)
        run.starts_unanswered = 1  # its start may have been repeated
        run.checkpoint = seen.checkpoint
        task.attempt = max(task.attempt, seen.run.attempt)
        state.attach(run)
        state.mark_begun(job)
        state.request_stop(run)
        state.mark_changed(job)
        _LOGGER.warning("runs: stopping an unplanned run, started late", extra=run_fields(run))


def _cannot_exist(run: Run, sent_s: float) -> bool:
    """Return whether a run that is missing in a complete report cannot exist now or later."""
    # The server reported under this owner's fencing token, so it refuses the former owner's orders.
    fenced = run.state is RunState.RECOVERED
    was_there = (
        run.state is RunState.RUNNING and run.confirmed_s is not None and run.confirmed_s < sent_s
    )
    ruled_out = (
        run.stop_acknowledged
        and run.stop_answered_s is not None
        and run.stop_answered_s < sent_s
        and not run.order_in_flight
    )
    # No further start is sent once a stop is requested.
    too_late = (
        run.stop_requested
        and run.start_log.first_s is not None
        and sent_s >= run.start_log.last_s + const.UNANSWERED_START_S_MAX
    )
    return fenced or was_there or ruled_out or too_late

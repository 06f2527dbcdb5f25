"""Reports of a term: metrics of jobs and pools, and log lines of load, activity and traffic."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from toucandoor.adapters.term_context import OwnerDependencies
    from toucandoor.core.scheduling.scheduler import Scheduler
    from toucandoor.ids import DataCentreId

_LOGGER = logging.getLogger(__name__)

REPORT_INTERVAL_S: Final = 2.0
"""Interval between two reports. The load of a queue changes over several seconds, so the log shows
each change."""


class TermReport:
    """Reports what a term has done since its last report.

    Args:
        scheduler: Scheduler of the term.
        dependencies: Clients and settings of the process.
    """

    def __init__(self, scheduler: Scheduler, dependencies: OwnerDependencies) -> None:
        self._scheduler = scheduler
        self._dependencies = dependencies
        self._next_s = 0.0
        self._reported_s = dependencies.clock.monotonic_s()
        self._counts = scheduler.activity.counts() | scheduler.copies.counts()
        self._bytes = dependencies.metrics.platform_bytes()
        self._dropped = 0
        self._busy_s = 0.0
        self._longest_step_s = 0.0
        self._evacuated: set[DataCentreId] = set()

    def on_step(self, step_s: float) -> None:
        """Handle the end of a step of the event loop.

        Args:
            step_s: Time that the step took, in seconds, without the wait for its first event.
        """
        self._busy_s += step_s
        self._longest_step_s = max(self._longest_step_s, step_s)
        self._record_finished_jobs()
        now_s = self._dependencies.clock.monotonic_s()
        if now_s < self._next_s:
            return
        self._next_s = now_s + REPORT_INTERVAL_S
        self._log_load()
        self._record_evacuations(now_s)
        self._record_teams()
        self._set_failure_domains()
        self._dependencies.metrics.set_unwritable_jobs(self._scheduler.unwritable_jobs)
        self._dependencies.metrics.set_discarded_plans(self._scheduler.activity.plans_discarded)
        self._record_run_gaps()
        self._log_activity(now_s)
        self._log_traffic()

    def _record_finished_jobs(self) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        for job in self._scheduler.pop_finished():
            identities = self._scheduler.state.identities
            queue = identities.queue_name(job.spec.queue)
            team = identities.team_name(job.spec.team)
            job_class = "patient" if job.spec.long_running else "urgent"
            self._dependencies.metrics.record_job(
                queue, team, job_class, job.state.value, now_s - job.arrived_s
            )

    def _log_load(self) -> None:
        for load in self._scheduler.pool_loads.current().values():
            self._dependencies.metrics.set_pool_load(load)
            _LOGGER.info("schedule: load", extra=load.log_fields())
        run_times = self._scheduler.run_times
        identities = self._scheduler.state.identities
        for ratio in run_times.queue_ratios():
            ratio = ratio._replace(queue=identities.queue_name(ratio.queue))
            self._dependencies.metrics.set_run_time_ratio(ratio)
            _LOGGER.info(
                "schedule: run times",
                extra={
                    "queue": ratio.queue,
                    "ratio": round(ratio.expected, 3),
                    "median_ratio": round(ratio.median, 3),
                    "samples": round(ratio.weight, 1),
                },
            )
        if run_times.dropped > self._dropped:
            _LOGGER.warning(
                "schedule: implausible run times were dropped",
                extra={"dropped": run_times.dropped - self._dropped},
            )
            self._dependencies.metrics.add_dropped_run_times(run_times.dropped - self._dropped)
            self._dropped = run_times.dropped

    def _record_evacuations(self, now_s: float) -> None:
        evacuation, metrics = self._scheduler.evacuation, self._dependencies.metrics
        present = {each.data_centre: each for each in evacuation.statuses if each.known}
        for data_centre in self._evacuated - present.keys():
            metrics.set_evacuation(data_centre, 0, 0.0)
        for data_centre, status in present.items():
            metrics.set_evacuation(data_centre, status.runs, now_s - status.since_s)
        self._evacuated = set(present)
        metrics.set_evacuations_ignored(evacuation.ignored_records)

    def _record_teams(self) -> None:
        metrics = self._dependencies.metrics
        identities = self._scheduler.state.identities
        for figures in self._scheduler.team_figures():
            metrics.set_team(replace(figures, team=identities.team_name(figures.team)))
        metrics.set_invalid_weights(self._scheduler.invalid_weights)

    def _set_failure_domains(self) -> None:
        scheduler = self._scheduler
        self._dependencies.metrics.set_failure_domains(
            scheduler.copies, scheduler.suspected_servers()
        )

    def _record_run_gaps(self) -> None:
        gaps, metrics = self._scheduler.run_gaps, self._dependencies.metrics
        metrics.set_jobs_ended(self._scheduler.activity.jobs_by_end())
        metrics.set_tasks_without_run(gaps.open_by_cause())
        for ended in gaps.pop_ended():
            metrics.record_run_gap(ended)
        for unbegun in self._scheduler.unbegun_runs.pop_ended():
            metrics.record_unbegun_run(unbegun)

    def _log_activity(self, now_s: float) -> None:
        counts = self._scheduler.activity.counts() | self._scheduler.copies.counts()
        workers = self._scheduler.workers.values()
        _LOGGER.info(
            "schedule: activity",
            extra={name: count - self._counts[name] for name, count in counts.items()}
            | {
                "interval_s": round(now_s - self._reported_s, 3),
                "busy_s": round(self._busy_s, 3),
                "longest_step_s": round(self._longest_step_s, 3),
                "workers": len(workers),
                "answering": sum(not worker.unresponsive for worker in workers),
                "without_run": self._scheduler.run_gaps.open_by_cause().total(),
                "longest_gap_s": round(self._scheduler.run_gaps.pop_longest_s(), 3),
            },
        )
        self._counts = counts
        self._reported_s = now_s
        self._busy_s = self._longest_step_s = 0.0

    def _log_traffic(self) -> None:
        totals = self._dependencies.metrics.platform_bytes()
        for step, (sent, received) in totals.items():
            before = self._bytes.get(step, (0, 0))
            if (sent, received) != before:
                _LOGGER.info(
                    "platform: bytes of bodies",
                    extra={
                        "step": step,
                        "sent": sent - before[0],
                        "received": received - before[1],
                    },
                )
        self._bytes = totals

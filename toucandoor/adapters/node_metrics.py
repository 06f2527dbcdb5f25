"""Metrics of the node program, for Prometheus."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Final

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

from toucandoor.adapters.wsgi import respond
from toucandoor.core.scheduling.run_gap_models import WaitCause

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.adapters.wsgi import Environ, StartResponse
    from toucandoor.core.copies.models import CopyCounts
    from toucandoor.core.run_times.models import QueueRatio
    from toucandoor.core.scheduling.pool_load import PoolLoad
    from toucandoor.core.scheduling.run_gap_models import EndedGap
    from toucandoor.core.scheduling.step_order import TeamFigures
    from toucandoor.core.scheduling.unbegun_runs import EndedUnbegun
    from toucandoor.core.scheduling.worker_view import DiscardReason
    from toucandoor.ids import DataCentreId

_CALL_BUCKETS_S: Final = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0]
_JOB_BUCKETS_S: Final = [0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 15.0, 60.0]
_GAP_BUCKETS_S: Final = [0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0]
_UNBEGUN_BUCKETS_S: Final = [0.1, 0.5, 1.0, 3.0, 6.0, 10.0, 12.0, 20.0]


class NodeMetrics:
    """Histograms and gauges of one process.

    The values of the labels are bounded by the configuration, such as its queues and teams.
    """

    def __init__(self) -> None:
        self._callers_s = Histogram(
            "toucandoor_caller_seconds",
            "Time of a caller's call by queue, team, method and status",
            buckets=_CALL_BUCKETS_S,
        )
        self._platform_s = Histogram(
            "toucandoor_platform_call_seconds",
            "Time of a call to the platform by step and outcome",
            buckets=_CALL_BUCKETS_S,
        )
        self._jobs_s = Histogram(
            "toucandoor_job_seconds",
            "Time from a job's arrival at the owner to its end by queue, team, class and state",
            buckets=_JOB_BUCKETS_S,
        )
        self._owner = Gauge("toucandoor_owner", "1 while this process owns the schedule")
        self._version = Gauge("toucandoor_configuration_version", "Configuration in force")
        self._pool_cpu = Gauge("toucandoor_pool_cpu_millicores", "Processor of a pool by use")
        self._platform_bytes = Counter(
            "toucandoor_platform_body_bytes",
            "Bytes of bodies sent to and received from the platform by step",
        )
        self._evacuation_runs = Gauge(
            "toucandoor_evacuation_runs", "Runs left in an evacuated data centre"
        )
        self._evacuation_s = Gauge(
            "toucandoor_evacuation_seconds", "Time since the request to evacuate a data centre"
        )
        self._evacuations_ignored = Gauge(
            "toucandoor_evacuations_ignored",
            "Requests that are invalid or name an unknown data centre",
        )
        self._run_times = Gauge(
            "toucandoor_run_time_ratio",
            "Ratio of actual to estimated run times of a queue: its median, and the one in use",
        )
        self._dropped_run_times = Counter(
            "toucandoor_run_times_dropped", "Run times that were implausible and not used"
        )
        self._lock = threading.Lock()
        self._bytes_by_step: dict[str, tuple[int, int]] = {}
        self._team_server_time_s = Gauge(
            "toucandoor_team_server_time_s",
            "Time of whole servers reserved for a team in this owner's term",
        )
        self._team_waiting = Gauge(
            "toucandoor_team_waiting_steps", "Steps of a team left without room for all their tasks"
        )
        self._team_jobs = Gauge(
            "toucandoor_team_jobs", "Jobs of a team in this owner's term by rate status"
        )
        self._invalid_weights = Gauge(
            "toucandoor_invalid_weights", "Teams whose weight is missing or invalid and is ignored"
        )
        self._refusals = Counter(
            "toucandoor_submissions_refused",
            "Submissions refused before anything was stored, by queue, team, status and reason",
        )
        self._report_age = Gauge(
            "toucandoor_load_report_age_seconds",
            "Age of the overload report at the latest submission; 0 without a valid one",
        )
        self._reports_ignored = Gauge(
            "toucandoor_load_reports_ignored", "Overload reports that were invalid or out of order"
        )
        self._workers = Gauge("toucandoor_pool_servers", "Backend servers that may get tasks")
        self._copies = Gauge("toucandoor_copies", "Copies of the owner's term by result")
        self._copies_core_s = Gauge("toucandoor_copies_core_seconds", "Cost of the ended copies")
        self._plans_discarded = Gauge(
            "toucandoor_plans_discarded",
            "Runs of the owner's term that were discarded before they had begun, by reason",
        )
        self._caller_outcomes = Counter(
            "toucandoor_caller_outcomes",
            "Calls by kind and by what the caller got: a state, a status, or no answer",
        )
        self._jobs_ended = Gauge(
            "toucandoor_jobs_ended", "Jobs that have ended in the owner's term by how they ended"
        )
        self._run_gaps_s = Histogram(
            "toucandoor_run_gap_seconds",
            "Ended time without a run of a long-running task, by its begin and its main cause",
            buckets=_GAP_BUCKETS_S,
        )
        self._unbegun_runs_s = Histogram(
            "toucandoor_unbegun_run_seconds",
            "Time for which runs that never began held their tasks, by what ended them",
            buckets=_UNBEGUN_BUCKETS_S,
        )
        self._without_run = Gauge(
            "toucandoor_tasks_without_run", "Long-running tasks without a run by what they wait for"
        )
        self._suspected = Gauge("toucandoor_suspected_servers", "Servers that starts avoid")
        self._invalid_entries = Gauge(
            "toucandoor_invalid_server_entries",
            "Entries in the list of backend servers that name no server to use",
        )
        self._unwritable_jobs = Gauge(
            "toucandoor_unwritable_jobs", "Jobs whose latest record was rejected by the store"
        )
        self._unexpected_errors = Counter(
            "toucandoor_unexpected_errors",
            "Unexpected errors that were confined to one order or record, by what it was",
        )

    def record_caller_call(
        self, queue: str, team: str, method: str, status: int, seconds: float
    ) -> None:
        """Record the duration and status of a caller's call."""
        labels = {"queue": queue, "team": team, "method": method, "status": str(status)}
        self._callers_s.observe(labels, seconds)

    def add_caller_outcome(self, call: str, outcome: str, count: int = 1) -> None:
        """Count what the callers of a kind of call got."""
        with self._lock:
            self._caller_outcomes.add({"call": call, "outcome": outcome}, count)

    def set_jobs_ended(self, counts: Mapping[str, int]) -> None:
        """Set how many jobs have ended in the owner's term, by how they ended."""
        for ended_as, count in counts.items():
            self._jobs_ended.set({"ended_as": ended_as}, count)

    def record_platform_call(self, step: str, outcome: str, seconds: float) -> None:
        """Record the duration and outcome of a call to the platform."""
        self._platform_s.observe({"step": step, "outcome": outcome}, seconds)

    def record_platform_bytes(self, step: str, sent: int, received: int) -> None:
        """Record the sizes of the body of a call to the platform and of its answer."""
        with self._lock:
            before = self._bytes_by_step.get(step, (0, 0))
            self._bytes_by_step[step] = (before[0] + sent, before[1] + received)
            self._platform_bytes.add({"step": step, "direction": "sent"}, sent)
            self._platform_bytes.add({"step": step, "direction": "received"}, received)

    def platform_bytes(self) -> dict[str, tuple[int, int]]:
        """Return the bytes of bodies sent to and received from the platform so far, by step."""
        with self._lock:
            return dict(self._bytes_by_step)

    def record_job(self, queue: str, team: str, job_class: str, state: str, seconds: float) -> None:
        """Record the time from a job's arrival to its end."""
        labels = {"queue": queue, "team": team, "class": job_class, "state": state}
        self._jobs_s.observe(labels, seconds)

    def record_refusal(self, queue: str, team: str, status: int, reason: str) -> None:
        """Record a submission that was refused before anything was stored."""
        labels = {"queue": queue, "team": team, "status": str(status), "reason": reason}
        self._refusals.inc(labels)

    def set_load_report_age(self, age_s: float | None) -> None:
        """Set the age of the overload report; None without a valid one."""
        self._report_age.set({}, age_s or 0.0)

    def set_ignored_load_reports(self, count: int) -> None:
        """Set how many overload reports were invalid or out of order."""
        self._reports_ignored.set({}, count)

    def set_owner(self, owner: bool) -> None:
        """Set whether this process owns the schedule."""
        self._owner.set({}, int(owner))

    def set_configuration_version(self, version: int) -> None:
        """Set the version of the configuration in force."""
        self._version.set({}, version)

    def set_evacuation(self, data_centre: DataCentreId, runs: int, seconds: float) -> None:
        """Set the runs left in a data centre and the time since its request; 0 after its end."""
        self._evacuation_runs.set({"data_centre": data_centre}, runs)
        self._evacuation_s.set({"data_centre": data_centre}, seconds)

    def set_evacuations_ignored(self, count: int) -> None:
        """Set the number of requests to evacuate a data centre that were ignored."""
        self._evacuations_ignored.set({}, count)

    def set_failure_domains(self, copies: CopyCounts, suspected_servers: int) -> None:
        """Set what the copies of the owner's term came to, and how many servers get no starts."""
        for result, count in (
            ("started", copies.started),
            ("won", copies.won),
            ("lost", copies.lost),
            ("over_budget", copies.over_budget),
            ("no_room", copies.no_room),
        ):
            self._copies.set({"result": result}, count)
        self._copies_core_s.set({}, copies.core_s)
        self._suspected.set({}, suspected_servers)

    def set_discarded_plans(self, counts: Mapping[DiscardReason, int]) -> None:
        """Set how many runs of the owner's term were discarded before they had begun."""
        for reason, count in counts.items():
            self._plans_discarded.set({"reason": reason.name.lower()}, count)

    def record_run_gap(self, gap: EndedGap) -> None:
        """Record a time without a run of a long-running task, which has ended."""
        labels = {
            "ended_as": gap.last_end.name.lower(),
            "waited_for": gap.waited_for.name.lower(),
        }
        self._run_gaps_s.observe(labels, gap.gap_s)

    def record_unbegun_run(self, ended: EndedUnbegun) -> None:
        """Record a planned run that has ended without having begun."""
        self._unbegun_runs_s.observe({"ended_by": ended.ended_by}, ended.held_s)

    def set_tasks_without_run(self, counts: Mapping[WaitCause, int]) -> None:
        """Set how many long-running tasks have no run now, by what they wait for."""
        for cause in WaitCause:
            self._without_run.set({"waited_for": cause.name.lower()}, counts.get(cause, 0))

    def set_pool_load(self, load: PoolLoad) -> None:
        """Set the load of a pool."""
        for use, amount in (
            ("capacity", load.capacity),
            ("lasting", load.long_running),
            ("ending", load.finite),
            ("waiting", load.waiting),
        ):
            self._pool_cpu.set({"pool": load.pool, "use": use}, amount.cpu_millicores)
        self._workers.set({"pool": load.pool}, load.workers)

    def set_run_time_ratio(self, ratio: QueueRatio) -> None:
        """Set the ratios of actual to estimated run times of a queue."""
        for kind, value in (("median", ratio.median), ("expected", ratio.expected)):
            self._run_times.set({"queue": ratio.queue, "kind": kind}, value)

    def add_dropped_run_times(self, count: int) -> None:
        """Count run times that were not used."""
        self._dropped_run_times.add({}, count)

    def set_team(self, figures: TeamFigures) -> None:
        """Set the figures of a team."""
        self._team_server_time_s.set({"team": figures.team}, figures.service_s)
        self._team_waiting.set({"team": figures.team}, figures.waiting_steps)
        for status, count in (("within", figures.jobs_within), ("beyond", figures.jobs_beyond)):
            self._team_jobs.set({"team": figures.team, "rate_status": status}, count)

    def set_invalid_weights(self, count: int) -> None:
        """Set the number of teams whose weight is ignored."""
        self._invalid_weights.set({}, count)

    def set_invalid_entries(self, count: int) -> None:
        """Set the number of entries in the list of backend servers that are ignored."""
        self._invalid_entries.set({}, count)

    def set_unwritable_jobs(self, count: int) -> None:
        """Set the number of jobs whose latest record was rejected by the store."""
        self._unwritable_jobs.set({}, count)

    def add_unexpected_error(self, part: str) -> None:
        """Count an unexpected error that was confined to one order or record.

        Args:
            part: Kind of order or record.
        """
        self._unexpected_errors.add({"part": part}, 1)


def metrics_app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    """WSGI application that serves the metrics at any path."""
    content, headers = render(REGISTRY, [environ.get("HTTP_ACCEPT", "text/plain")])
    content_type = headers.get("Content-Type", "text/plain")
    return respond(start_response, 200, content, content_type)

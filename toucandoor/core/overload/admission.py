"""Refusal of jobs that can't be done in time, by the owner's report."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Final

from toucandoor.core.admission.submission import Rejection, SubmissionPolicy
from toucandoor.core.overload.const import LATE_OBJECTIVES_MAX
from toucandoor.core.overload.models import WaitCause
from toucandoor.core.overload.spread import spread_retry_after_s
from toucandoor.core.overload.within_admission import WithinAdmission
from toucandoor.core.run_times.models import CALLER_ESTIMATES
from toucandoor.core.scheduling.queue_order import job_core_ms, longest_chain_s, objective_s
from toucandoor.ids import ConfigVersion

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.overload.followed_report import FollowedReport
    from toucandoor.core.overload.models import LoadReport, TeamWait
    from toucandoor.core.run_times.models import RunTimeModel

_LOGGER = logging.getLogger(__name__)

MS_PER_S: Final = 1000
STATUS: Final = 429
REASON: Final = "overloaded; it has not run"


class AdmissionByLoad(SubmissionPolicy):
    """Refuses jobs that are certain to be done later than three times their objective.

    A job of a team within its rate is only refused because of the team's own ceiling. Long-running
    and timed jobs are never refused.

    Args:
        followed: The newest report of the owner.
        run_times: Expected run times of tasks.
        record_age: Records the age of the report by which a job is judged, in seconds; None
            without a valid one.
        names_since: Returns the newest version of the configuration that gave a name to another
            queue or team. A report that was written under an earlier one is not used.
    """

    def __init__(
        self,
        followed: FollowedReport,
        run_times: RunTimeModel = CALLER_ESTIMATES,
        record_age: Callable[[float | None], None] = lambda _age_s: None,
        names_since: Callable[[], ConfigVersion] = lambda: ConfigVersion(0),
    ) -> None:
        self._names_since = names_since
        self._names_known_since = names_since()
        self._record_age = record_age
        self._followed = followed
        self._run_times = run_times
        self._within = WithinAdmission(run_times)
        self._lock = threading.Lock()

    def rejection(self, spec: JobSpec) -> Rejection | None:
        """Return why a job must be rejected now; None to accept it."""
        current = self._current_report()
        self._record_age(None if current is None else current[1])
        if spec.timed or spec.long_running:
            return None
        core_s = job_core_ms(spec, self._run_times) / MS_PER_S
        if current is None:
            with self._lock:
                self._within.on_accepted(spec, core_s, self._followed.now_s())
            return None
        report, age_s = current
        # The schedule's order and the caller may count the objective by different run times.
        objective = max(objective_s(spec), objective_s(spec, self._run_times))
        chain_s = longest_chain_s(spec, self._run_times)
        excess_s = 0.0
        for wait in _applicable(report, spec):
            late_s = max(0.0, wait.late_s - age_s)
            too_late_by_s = late_s + chain_s - LATE_OBJECTIVES_MAX * objective
            if core_s <= wait.started_core_s or too_late_by_s <= 0:
                continue
            excess_s = max(excess_s, too_late_by_s)
            _LOGGER.info(
                "overload: a job would be too late",
                extra={
                    "job": spec.job_id,
                    "team": spec.team,
                    "queue": spec.queue,
                    "cause": wait.cause.value,
                    "wait_s": round(late_s, 3),
                    "objective_s": round(objective, 3),
                    "core_s": round(core_s, 3),
                    "started_core_s": wait.started_core_s,
                    "report_age_s": round(age_s, 3),
                },
            )
        with self._lock:
            now_s = self._followed.now_s()
            excess_s = max(
                excess_s,
                self._within.excess_s(report, age_s, spec, core_s, chain_s, objective, now_s),
            )
            if not excess_s:
                self._within.on_accepted(spec, core_s, now_s)
                return None
        return Rejection(STATUS, REASON, spread_retry_after_s(excess_s, spec.job_id))

    def _current_report(self) -> tuple[LoadReport, float] | None:
        """Return the newest report and its age, unless its names have another meaning now."""
        names_since = self._names_since()
        if names_since != self._names_known_since:
            with self._lock:
                self._names_known_since = names_since
                self._within = WithinAdmission(self._run_times)
        current = self._followed.current()
        # Older builds do not say under which version they wrote a report.
        if current is not None and 0 < current[0].configuration < names_since:
            return None
        return current


def _applicable(report: LoadReport, spec: JobSpec) -> list[TeamWait]:
    beyond = spec.team in report.beyond
    return [
        wait
        for wait in report.waits
        if wait.team == spec.team
        and wait.queue == spec.queue
        and (beyond or wait.cause is WaitCause.CEILING)
    ]

"""Decision of a node on jobs within their teams' rates, for the load of a pool."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.overload.accepted_work import AcceptedWork
from toucandoor.core.overload.const import LATE_OBJECTIVES_MAX

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.overload.models import LoadReport, QueueWait, WithinWait
    from toucandoor.core.run_times.models import RunTimeModel

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000.0


class WithinAdmission:
    """Refuses jobs that can be started neither in time nor after the jobs that are in time.

    It isn't thread-safe.

    Args:
        run_times: Expected run times of tasks.
    """

    def __init__(self, run_times: RunTimeModel) -> None:
        self._run_times = run_times
        self._accepted = AcceptedWork()

    def on_accepted(self, spec: JobSpec, core_s: float, now_s: float) -> None:
        """Count a job that was accepted."""
        self._accepted.add(spec.queue, spec.terms.priority, core_s, now_s)

    def excess_s(
        self,
        report: LoadReport,
        age_s: float,
        spec: JobSpec,
        core_s: float,
        chain_s: float,
        objective_s: float,
        now_s: float,
    ) -> float:
        """Return the time after which a job would be accepted by the same figures; 0 for now.

        Args:
            report: The newest report.
            age_s: Its age.
            spec: The job.
            core_s: Processor time that it needs.
            chain_s: Expected run time of its longest chain of steps.
            objective_s: Time within which it should be done.
            now_s: The monotonic time.
        """
        written_s = now_s - age_s
        for pool in report.within:
            names = {wait.queue for wait in pool.queues}
            self._accepted.on_report(
                (report.token, report.sequence), pool.pool, names, pool.accepted_per_s, written_s
            )
        found = _wait_of(report, spec, core_s)
        if found is None:
            return 0.0
        pool, queue = found
        names = {wait.queue for wait in pool.queues}
        nodes = self._accepted.nodes(pool.pool)
        priority = spec.terms.priority

        def since(size: float) -> float:
            return nodes * self._accepted.since(written_s, names, priority, size)

        # Its last task starts after all others.
        more_core_s = core_s - _one_task_each_core_s(spec, self._run_times)
        first_s = 0.0
        for size in queue.sizes:
            if size.core_s <= core_s * 1.001:
                first_s = size.wait_s + (since(core_s) + more_core_s) / size.drain_cores - age_s
        late_s = queue.late_s + since(float("inf")) / queue.drain_cores - age_s
        late_s = max(late_s, first_s)
        excess_s = min(
            first_s + chain_s - objective_s, late_s + chain_s - LATE_OBJECTIVES_MAX * objective_s
        )
        if excess_s <= 0:
            return 0.0
        _LOGGER.info(
            "overload: a job within its team's rate would be too late",
            extra={
                "job": spec.job_id,
                "team": spec.team,
                "queue": spec.queue,
                "wait_s": round(first_s, 3),
                "late_s": round(late_s, 3),
                "objective_s": round(objective_s, 3),
                "core_s": round(core_s, 3),
                "nodes": round(nodes, 1),
                "report_age_s": round(age_s, 3),
            },
        )
        return excess_s


def _wait_of(
    report: LoadReport, spec: JobSpec, core_s: float
) -> tuple[WithinWait, QueueWait] | None:
    for pool in report.within:
        if core_s <= pool.share_left_core_s.get(spec.team, float("inf")):
            continue
        for queue in pool.queues:
            if queue.queue == spec.queue:
                return pool, queue
    return None


def _one_task_each_core_s(spec: JobSpec, run_times: RunTimeModel) -> float:
    """Return the processor time of one task of each step."""
    millicore_s = sum(
        step.needs.cpu_millicores * run_times.expected_s(step, spec.queue) for step in spec.steps
    )
    return millicore_s / MS_PER_S

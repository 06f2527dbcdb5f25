"""Order in which waiting steps get capacity.

Demand moves from queue to queue, and each asks for several times the capacity of its pool for some
seconds. Some jobs must then be late, and this order decides which.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from toucandoor.core.run_times.models import CALLER_ESTIMATES

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.run_times.models import RunTimeModel
    from toucandoor.core.scheduling.progress import JobProgress, StepProgress
    from toucandoor.ids import JobId

_MS = 1000.0


def longest_chain_s(spec: JobSpec, run_times: RunTimeModel = CALLER_ESTIMATES) -> float:
    """Return the expected run time of the longest chain of dependent steps, in seconds."""
    ends: list[float] = []
    for step in spec.steps:
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + run_times.expected_s(step, spec.queue))
    return max(ends, default=0.0)


def objective_s(spec: JobSpec, run_times: RunTimeModel = CALLER_ESTIMATES) -> float:
    """Return the time after its arrival, or due time, within which a job should be done."""
    terms = spec.terms
    return terms.slack_ratio * longest_chain_s(spec, run_times) + terms.target_duration_ms / _MS


def remaining_chain_s(
    job: JobProgress, occurrence: int, run_times: RunTimeModel = CALLER_ESTIMATES
) -> float:
    """Return the expected run time of the longest chain of unfinished steps of an occurrence."""
    ends: list[float] = []
    for number, step in enumerate(job.spec.steps):
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        done = job.step(occurrence, number).done
        left = 0.0 if done else run_times.expected_s(step, job.spec.queue)
        ends.append(begin + left)
    return max(ends, default=0.0)


def remaining_core_s(
    job: JobProgress, occurrence: int, run_times: RunTimeModel = CALLER_ESTIMATES
) -> float:
    """Return the expected processor time that an occurrence still needs, in core-seconds."""
    total = 0.0
    for number, step in enumerate(job.spec.steps):
        undone = job.step(occurrence, number).remaining
        run_s = run_times.expected_s(step, job.spec.queue)
        total += undone * step.needs.cpu_millicores / _MS * run_s
    return total


class ExpectedWork(NamedTuple):
    """What is expected of an occurrence of a job.

    Attributes:
        objective_s: Time within which it should be done, as by `objective_s`.
        chain_s: Remaining chain, as by `remaining_chain_s`.
        core_s: Remaining work, as by `remaining_core_s`.
    """

    objective_s: float
    chain_s: float
    core_s: float


class ExpectedWorkCache:
    """Keeps the expected work until a job's progress or the expected run times change.

    A pass ranks all waiting steps of a pool, of which an event changes one or two.

    Args:
        run_times: Expected run times of tasks.
    """

    def __init__(self, run_times: RunTimeModel) -> None:
        self._run_times = run_times
        # By job: the versions of its progress and of the run times, and the work by occurrence.
        self._known: dict[JobId, tuple[int, int, dict[int, ExpectedWork]]] = {}

    def __len__(self) -> int:
        """Return the number of jobs that are kept."""
        return len(self._known)

    def of(self, job: JobProgress, occurrence: int) -> ExpectedWork:
        """Return the expected work of an occurrence of a job."""
        run_times, job_id = self._run_times, job.spec.job_id
        known = self._known.get(job_id)
        if known is None or known[0] != job.version or known[1] != run_times.version:
            known = self._known[job_id] = (job.version, run_times.version, {})
        work = known[2].get(occurrence)
        if work is None:
            work = known[2][occurrence] = ExpectedWork(
                objective_s(job.spec, run_times),
                remaining_chain_s(job, occurrence, run_times),
                remaining_core_s(job, occurrence, run_times),
            )
        return work

    def forget(self, job_id: JobId) -> None:
        """Drop a job that has ended."""
        self._known.pop(job_id, None)


def job_core_ms(spec: JobSpec, run_times: RunTimeModel = CALLER_ESTIMATES) -> float:
    """Return the expected processor time of a job, in thousandths of a core-second."""
    return sum(
        step.count * step.needs.cpu_millicores * run_times.expected_s(step, spec.queue)
        for step in spec.steps
    )


def job_memory_mb_s(spec: JobSpec, run_times: RunTimeModel = CALLER_ESTIMATES) -> float:
    """Return the expected memory of a job's tasks times their run times, in megabyte-seconds."""
    return sum(
        step.count * step.needs.memory_mb * run_times.expected_s(step, spec.queue)
        for step in spec.steps
    )


def step_rank(
    job: JobProgress,
    step: StepProgress,
    now_unix_ms: float,
    run_times: RunTimeModel = CALLER_ESTIMATES,
) -> tuple[float, ...]:
    """Return the sort key of a waiting step; lower comes first.

    Long-running tasks come first, since every second of unavailability costs their callers. Then
    come jobs that can still meet their objective, by the queue's priority and then by the least
    remaining work. Jobs that can't meet it come last, by priority and then in the order of arrival.
    """
    spec = job.spec
    if step.step.long_running:
        return (0.0, float(spec.terms.priority), float(spec.accepted_unix_ms))
    occurrence = step.key.occurrence
    due_ms = spec.first_due_unix_ms + occurrence * spec.interval_ms if spec.timed else 0
    begin_ms = due_ms or spec.accepted_unix_ms
    objective_ms = begin_ms + objective_s(spec, run_times) * _MS
    left_ms = remaining_chain_s(job, occurrence, run_times) * _MS
    if now_unix_ms + left_ms > objective_ms:
        return (2.0, float(spec.terms.priority), float(begin_ms))
    return (1.0, float(spec.terms.priority), remaining_core_s(job, occurrence, run_times))

"""Progress of a job in the memory of the schedule's owner, and its conversion to a record."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import JobState, StepKey, TaskKey
from toucandoor.core.jobs.ranges import RANGE_NUMBERS_MIN, NumberRanges, from_ranges, to_ranges
from toucandoor.core.jobs.records import (
    DoneRecord,
    LossRecord,
    ProgressRecord,
    RunRecord,
    TaskRecord,
)
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.workers import Advice

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec, Step
    from toucandoor.core.scheduling.run_gap_models import WaitCause
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import WorkerId


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes:
        key: Identity of the task.
        step: Specification of its step.
        attempt: Highest attempt number used.
        failed_attempts: Numbers of the failed attempts; for a gang, of any of its tasks.
        done: Whether a run has completed it.
        done_attempt: Attempt number of that run; 0 before that, and after a change of owner.
        checkpoint: Latest saved progress.
        runs: Runs that may exist; at most one unless the step allows copies.
        failed_on: Backend servers on which it has failed.
        crashes: Backend servers that crashed with a run of it, since one last ran it for a while.
        unexplained_losses: Further runs of it that were lost in that time; their servers may only
            have been unreachable, or may have crashed before they got the start.
        plans_discarded: Runs of it, one after the other, that were discarded before they had begun.
        lost_s: When the latest of these runs was lost, on the monotonic clock.
        not_before_s: Earliest time of its next start.
    """

    key: TaskKey
    step: Step
    attempt: int = 0
    failed_attempts: set[int] = field(default_factory=set)
    done: bool = False
    done_attempt: int = 0
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    failed_on: set[WorkerId] = field(default_factory=set)
    crashes: int = 0
    unexplained_losses: int = 0
    plans_discarded: int = 0
    lost_s: float = 0.0
    not_before_s: float = 0.0

    @property
    def waiting(self) -> bool:
        """Whether it needs a run."""
        return not self.done and not self.runs

    @property
    def suspect(self) -> bool:
        """Whether it may crash the backend servers that start it."""
        return self.crashes + self.unexplained_losses > 0

    @property
    def isolated(self) -> bool:
        """Whether it has to run apart from others that may crash a server.

        The tasks of a gang can only be placed together.
        """
        losses = self.crashes + self.unexplained_losses
        return losses >= const.LOSSES_TO_ISOLATE and not self.step.gang


@dataclass(slots=True, eq=False)
class StepProgress:
    """One step of one occurrence.

    Attributes:
        key: Identity of the step.
        step: Specification of the step.
        tasks: Its tasks.
        remaining: Number of tasks that are not done.
        advice: Answers of the queue's adviser, taken together; None without a valid ticket.
        tickets_until_s: Time until which the ticket of each server in them is valid.
        not_asked_until_s: Time until which the adviser is not asked for some boots of backend
            servers; infinite for those that may not run the step.
        advice_requested: Boots in the latest request to the adviser.
        advice_in_flight: Whether that request awaits its answer.
        advice_failures: Requests without an answer, one after the other.
        next_advice_s: Earliest time of the next request.
        unblocked: Whether all steps that it depends on are known to be done; a done step stays so.
        wait: What its waiting tasks waited for at the last placement; None if all were placed.
    """

    key: StepKey
    step: Step
    tasks: list[Task]
    remaining: int
    advice: Advice | None = None
    tickets_until_s: dict[WorkerId, float] = field(default_factory=dict)
    not_asked_until_s: dict[Boot, float] = field(default_factory=dict)
    advice_requested: tuple[Boot, ...] = ()
    advice_in_flight: bool = False
    advice_failures: int = 0
    next_advice_s: float = 0.0
    unblocked: bool = False
    wait: WaitCause | None = None

    @property
    def done(self) -> bool:
        """Whether all its tasks are done."""
        return self.remaining == 0

    def add_advice(self, advice: Advice, now_s: float) -> None:
        """Add an answer of the adviser; what it says of a server's boot does not change."""
        for boot in self.advice_requested:
            if boot.worker_id in advice.tickets:
                self.tickets_until_s[boot.worker_id] = now_s + advice.validity_s
            else:
                self.not_asked_until_s[boot] = float("inf")
        known = self.advice.tickets if self.advice is not None else {}
        self._set_tickets(known | advice.tickets)

    def forget_expired_tickets(self, now_s: float) -> None:
        """Forget the tickets that are not valid any more."""
        if self.advice is not None and now_s >= min(self.tickets_until_s.values()):
            self._set_tickets(
                {
                    worker_id: ticket
                    for worker_id, ticket in self.advice.tickets.items()
                    if now_s < self.tickets_until_s[worker_id]
                }
            )

    def withdraw_ticket(self, boot: Boot, now_s: float) -> None:
        """Forget a ticket that its backend server does not accept; others are used meanwhile."""
        self.not_asked_until_s[boot] = now_s + const.REFUSED_TICKET_PAUSE_S
        if self.advice is not None:
            tickets = dict(self.advice.tickets)
            tickets.pop(boot.worker_id, None)
            self._set_tickets(tickets)

    def _set_tickets(self, tickets: dict[WorkerId, str]) -> None:
        self.tickets_until_s = {each: self.tickets_until_s[each] for each in tickets}
        self.advice = Advice(tickets) if tickets else None


@dataclass(slots=True, eq=False)
class JobProgress:
    """A job and its progress.

    Attributes:
        spec: The job.
        state: State that callers see.
        started: Whether a run of any task is known to have begun.
        cancelled: Whether its caller has cancelled it.
        steps: Steps of the due occurrences, by occurrence and step number.
        opened: Number of occurrences that have become due and whose tasks may run.
        leading_done: Number of occurrences from the first on that are known to be done.
        version: Version of the progress in memory; differs after each change of what is left.
        committed_version: Latest version that is known to be in the store.
        ends_version: Version that first contained the latest reported end of one of its runs.
        revision: Revision of its record in the store; 0 before it exists.
        write_in_flight: Whether a write of its record awaits its answer.
        dirty: Whether its record in the store is outdated.
        finished_unix_ms: When it reached a final state; 0 before that.
        spec_stored: Whether the store may still have the record of its specification.
        arrived_s: When this owner first saw it, on the monotonic clock.
        record_bytes: Size of its latest record, and of the runs planned since then.
        rejected_writes: Writes of its record alone that the store has rejected as invalid, one
            after the other.
        written_alone: Whether its record is written without others, as the store has rejected a
            write with it.
        next_write_s: Earliest time of its next write, on the monotonic clock.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    started: bool = False
    cancelled: bool = False
    steps: dict[tuple[int, int], StepProgress] = field(default_factory=dict)
    opened: int = 0
    leading_done: int = 0
    version: int = 0
    committed_version: int = 0
    ends_version: int = 0
    revision: int = 0
    write_in_flight: bool = False
    dirty: bool = False
    finished_unix_ms: int = 0
    spec_stored: bool = True
    arrived_s: float = 0.0
    record_bytes: int = 0
    rejected_writes: int = 0
    written_alone: bool = False
    next_write_s: float = 0.0

    @property
    def has_runs(self) -> bool:
        """Whether runs of it exist or may exist."""
        return any(task.runs for step in self.steps.values() for task in step.tasks)

    @property
    def spec_needed(self) -> bool:
        """Whether the next owner needs its specification: tasks may start or runs may exist."""
        return not self.state.final or self.has_runs

    def step(self, occurrence: int, number: int) -> StepProgress:
        """Return a step of an occurrence; create it on first use."""
        found = self.steps.get((occurrence, number))
        if found is not None:
            return found
        step = self.spec.steps[number]
        key = StepKey(self.spec.job_id, occurrence, number)
        tasks = [Task(TaskKey(*key, index), step) for index in range(step.count)]
        made = StepProgress(key, step, tasks, step.count)
        self.steps[(occurrence, number)] = made
        return made

    def may_open(self) -> bool:
        """Return whether another occurrence may be opened, beside those that are not done."""
        while self.leading_done < self.opened and self._is_done(self.leading_done):
            self.leading_done += 1
        return self.opened - self.leading_done < const.OPEN_OCCURRENCES_MAX

    def _is_done(self, occurrence: int) -> bool:
        return all(self.step(occurrence, number).done for number in range(len(self.spec.steps)))

    def open_occurrence(self, occurrence: int) -> list[StepProgress]:
        """Return all steps of an occurrence that has become due."""
        return [self.step(occurrence, number) for number in range(len(self.spec.steps))]

    def runnable(self, step: StepProgress) -> bool:
        """Return whether all steps that a step depends on are done."""
        if not step.unblocked:
            occurrence = step.key.occurrence
            for earlier in step.step.after:
                if not self.step(occurrence, earlier).done:
                    return False
            step.unblocked = True
        return True

    @property
    def all_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        return len(self.steps) == self.spec.occurrences * len(self.spec.steps) and all(
            step.done for step in self.steps.values()
        )

    def record(self) -> ProgressRecord:
        """Return the record of this progress for the store."""
        done: list[DoneRecord] = []
        tasks: list[TaskRecord] = []
        if not self.state.final:
            done = self._done_records()
        for step in self.steps.values():
            for task in step.tasks:
                if task.runs or (task.attempt and not task.done and not self.state.final):
                    tasks.append(_task_record(task))
        losses = tuple(
            LossRecord(*task.key[1:], task.crashes, task.unexplained_losses)
            for step in self.steps.values()
            for task in step.tasks
            if task.suspect and not task.done and not self.state.final
        )
        return ProgressRecord(
            state=self.state,
            queue=self.spec.queue,
            team=self.spec.team,
            started=self.started,
            version=self.version,
            done=tuple(done),
            tasks=tuple(tasks),
            finished_unix_ms=self.finished_unix_ms,
            losses=losses,
            address=self.spec.address,
        )

    def _done_records(self) -> list[DoneRecord]:
        whole = [each for each in to_ranges(self._done_occurrences()) if not isinstance(each, int)]
        made = [DoneRecord(each, 0, ()) for each in whole]
        left_out = set(from_ranges(tuple(whole)))
        for step in self.steps.values():
            if step.key.occurrence not in left_out:
                finished = to_ranges(task.key.number for task in step.tasks if task.done)
                if finished:
                    made.append(DoneRecord(step.key.occurrence, step.key.step, finished))
        return made

    def _done_occurrences(self) -> list[int]:
        """Return the numbers of the occurrences of which all tasks are done."""
        if self.opened < RANGE_NUMBERS_MIN:
            return []
        done = Counter(step.key.occurrence for step in self.steps.values() if step.done)
        return sorted(each for each, steps in done.items() if steps == len(self.spec.steps))

    def _restore_done(self, done: DoneRecord) -> None:
        if isinstance(done.occurrence, int):
            steps: dict[StepProgress, NumberRanges] = {
                self.step(done.occurrence, done.step): done.indexes
            }
        else:
            occurrences = range(done.occurrence[0], done.occurrence[1] + 1)
            steps = {
                step: tuple(range(len(step.tasks)))
                for occurrence in occurrences
                for step in self.open_occurrence(occurrence)
            }
        for step, indexes in steps.items():
            for index in from_ranges(indexes):
                step.tasks[index].done = True
            step.remaining = sum(not task.done for task in step.tasks)

    def restore(self, record: ProgressRecord, revision: int) -> list[tuple[Task, RunRecord]]:
        """Apply a record from the store, and return the runs that may exist.

        Args:
            record: Recorded progress.
            revision: Revision of the record in the store.
        """
        self.state = record.state
        self.started = record.started
        self.version = self.committed_version = record.version
        self.revision = revision
        self.finished_unix_ms = record.finished_unix_ms
        for done in record.done:
            self._restore_done(done)
        for lost in record.losses:
            task = self.step(lost.occurrence, lost.step).tasks[lost.index]
            task.crashes, task.unexplained_losses = lost.crashes, lost.unexplained
        runs: list[tuple[Task, RunRecord]] = []
        for stored in record.tasks:
            task = self.step(stored.occurrence, stored.step).tasks[stored.index]
            task.attempt = stored.attempt
            task.failed_attempts = set(stored.failed_attempts)
            task.checkpoint = stored.checkpoint
            runs += [(task, run) for run in stored.runs]
        return runs


def _task_record(task: Task) -> TaskRecord:
    return TaskRecord(
        occurrence=task.key.occurrence,
        step=task.key.step,
        index=task.key.number,
        attempt=task.attempt,
        failed_attempts=tuple(sorted(task.failed_attempts)),
        checkpoint=task.checkpoint,
        runs=tuple(_run_record(run) for run in task.runs),
    )


def _run_record(run: Run) -> RunRecord:
    entry = run.worker.entry
    return RunRecord(run.key.attempt, *entry.boot, entry.vm_id, run.settled)

"""Chooses the progress to write to the store, and processes the results of the writes."""

from __future__ import annotations

import logging
from collections import Counter
from itertools import chain, islice, takewhile
from typing import TYPE_CHECKING

import msgspec

from toucandoor.core.jobs.records import (
    PENDING_KEY,
    PendingRecord,
    decode_progress,
    encode,
    job_key,
    progress_key,
)
from toucandoor.core.records import Transaction
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.orders import Commit
from toucandoor.core.scheduling.record_budget import budget_bytes
from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.records import Record
    from toucandoor.core.scheduling.progress import JobProgress
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.ids import JobId, QueueAddress, QueueId

_LOGGER = logging.getLogger(__name__)


class ProgressWriter:
    """Writes progress in batches; each job has at most one write in flight."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._in_flight = 0
        self._pending_written: PendingRecord | None = None
        self._pending_next_s = 0.0
        self._pending_in_flight = False
        self._delayed_next_s = 0.0

    def commits(self) -> list[Commit]:
        """Return the progress writes to make now."""
        made: list[Commit] = []
        self._fill_up_with_delayed()
        while self._state.dirty and self._in_flight < const.COMMITS_IN_FLIGHT_MAX:
            commit = self._next_commit()
            if commit is None:
                break
            made.append(commit)
            self._in_flight += 1
        return made

    def _fill_up_with_delayed(self) -> None:
        """Add jobs whose record does not say yet that they have begun or that runs are settled.

        Only if a write has room: most of their records are written for another reason before they
        are due.
        """
        state = self._state
        now_s = state.now_s
        room = const.DELAYED_JOBS_PER_WRITE - len(state.dirty)
        if room <= 0 or now_s < self._delayed_next_s:
            return
        due = _due_jobs(state.begun_jobs, now_s - const.BEGUN_WRITE_DELAY_S, room)
        due += _due_jobs(state.settled_jobs, now_s - const.SETTLED_WRITE_DELAY_S, room - len(due))
        for job_id in due:
            self._forget_delayed(job_id)
            job = state.jobs.get(job_id)
            if job is not None and not job.state.final:
                state.mark_dirty(job)
        if due:
            self._delayed_next_s = now_s + const.DELAYED_WRITE_INTERVAL_S

    def _forget_delayed(self, job_id: JobId) -> None:
        self._state.begun_jobs.pop(job_id, None)
        self._state.settled_jobs.pop(job_id, None)

    def done(self, commit: Commit, revision: int) -> None:
        """Process a write that is in the store; the runs that it plans may start."""
        state = self._state
        self._in_flight -= 1
        removed = set(commit.transaction.removals)
        for job, version in commit.jobs:
            job.write_in_flight = False
            job.spec_stored = job.spec_stored and job_key(job.spec.job_id) not in removed
            job.revision = revision
            job.committed_version = max(job.committed_version, version)
            job.rejected_writes = 0
            job.written_alone = False
            if job.dirty:
                state.dirty[job.spec.job_id] = None
        for run in commit.planned:
            if run.state is RunState.PLANNED and run.key in run.worker.runs:
                run.state = RunState.STARTING
                state.runs_awaiting_orders[run] = None

    def failed(self, commit: Commit, present: Iterable[Record] | None) -> None:
        """Process a failed write; its jobs are written again.

        Args:
            commit: The write.
            present: The expected records as the store has them, if the write met a conflict; None
                if the write was not made or may have been made.
        """
        found = {record.key: record for record in present} if present is not None else None
        if found is not None:
            owner = found.get(self._state.settings.owner_key)
            if owner is None or owner.revision != self._state.settings.owner_revision:
                self._state.superseded = True
            for job, _ in commit.jobs:
                self._adopt_present(job, found.get(progress_key(job.spec.job_id)))
        self._write_again(commit)

    def rejected(self, commit: Commit) -> None:
        """Process a write that the store rejects as invalid, and would reject again.

        The jobs of the write are written one by one. A job whose record alone is rejected gives up
        its planned runs, so that its record gets smaller, and is written again after a delay.

        Args:
            commit: The write.
        """
        self._write_again(commit)
        if len(commit.jobs) > 1:
            for job, _ in commit.jobs:
                job.written_alone = True
            return
        ((job, _),) = commit.jobs
        job.rejected_writes = min(job.rejected_writes + 1, const.REJECTED_WRITES_MAX)
        delay_s = const.REJECTED_WRITE_PAUSE_S * 2 ** (job.rejected_writes - 1)
        job.next_write_s = self._state.now_s + delay_s
        _LOGGER.error(
            "progress: the store rejects the record of %s; trying it again without planned runs",
            job.spec.job_id,
            extra={
                "job": job.spec.job_id,
                "queue": job.spec.queue,
                "bytes": job.record_bytes,
                "retry_s": delay_s,
            },
        )
        self._state.drop_planned(job)

    @property
    def unwritable_jobs(self) -> int:
        """Number of jobs whose latest record was rejected by the store."""
        return sum(self._state.jobs[each].rejected_writes > 0 for each in self._state.dirty)

    def _write_again(self, commit: Commit) -> None:
        state = self._state
        self._in_flight -= 1
        for job, _ in commit.jobs:
            job.write_in_flight = False
            state.mark_dirty(job)
        for run in commit.planned:
            if run.state is RunState.PLANNED and run.key in run.worker.runs:
                state.planned.setdefault(run.task.key.job_id, []).append(run)

    def _adopt_present(self, job: JobProgress, present: Record | None) -> None:
        """Process the progress that the store has for a job, after a conflict.

        A job without progress in memory may have ended under a former owner, if its submission was
        repeated at a node of a build that only looks for the specification. It must not run again;
        none of its planned runs has been started, as their record is not in the store.
        """
        was_new = job.revision == 0
        job.revision = present.revision if present is not None else 0
        if present is None or not was_new or job.state.final:
            return
        try:
            stored = decode_progress(present.value)
        except msgspec.MsgspecError as err:
            _LOGGER.error("jobs: the progress of %s cannot be decoded: %s", job.spec.job_id, err)
            return
        if not stored.state.final:
            return
        _LOGGER.warning(
            "jobs: %s has ended before and is not run again",
            job.spec.job_id,
            extra={"job": job.spec.job_id, "queue": job.spec.queue},
        )
        self._state.drop_planned(job)
        job.version = max(job.version, stored.version)
        self._state.finish(job, stored.state)
        job.finished_unix_ms = stored.finished_unix_ms

    def _next_commit(self) -> Commit | None:
        state = self._state
        chosen = self._choose_jobs()
        if not chosen:
            return None
        expected = {state.settings.owner_key: state.settings.owner_revision}
        writes: dict[str, bytes] = {}
        removals: list[str] = []
        planned: list[Run] = []
        versions: list[tuple[JobProgress, int]] = []
        size_bytes = 0
        for job in chosen:
            value = encode(state.identities.stored(job.record()))
            size_bytes += len(value)
            if writes and size_bytes > state.settings.value_bytes_max:
                break
            if job.record_bytes >= budget_bytes(job, state.settings.value_bytes_max):
                # Its record may have room again.
                state.changed_pools.add(state.pool_of(job))
            job.record_bytes = len(value)
            if len(value) > const.LARGE_RECORD_BYTES:
                job.next_write_s = state.now_s + len(value) / const.LARGE_RECORD_BYTES_PER_S
            del state.dirty[job.spec.job_id]
            self._forget_delayed(job.spec.job_id)
            job.dirty = False
            job.write_in_flight = True
            key = progress_key(job.spec.job_id)
            expected[key] = job.revision
            writes[key] = value
            if _spec_removable(job):
                removals.append(job_key(job.spec.job_id))
            versions.append((job, job.version))
            planned += state.planned.pop(job.spec.job_id, [])
        transaction = Transaction(expected, writes, tuple(removals))
        return Commit(transaction, tuple(versions), tuple(planned))

    def _is_delayed(self, job: JobProgress) -> bool:
        """Return whether a job is to be written later; its end waits after a rejection only."""
        if job.state.final and not job.rejected_writes:
            return False
        return self._state.now_s < job.next_write_s

    def _choose_jobs(self) -> list[JobProgress]:
        """Return changed jobs for one write, as many as the store accepts in a transaction.

        Ends go before starts: callers wait for the ends of whole jobs, and backend servers report
        the other ends again until they are stored. The job that has waited longest is part of
        every write, so that a job whose start is to be stored waits for no more writes than jobs
        had changed before it.
        """
        oldest: list[JobProgress] = []
        jobs_ended: list[JobProgress] = []
        runs_ended: list[JobProgress] = []
        others: list[JobProgress] = []
        for job_id in self._state.dirty:
            job = self._state.jobs[job_id]
            if job.write_in_flight or self._is_delayed(job):
                continue
            if job.written_alone:
                if not oldest:
                    return [job]
                continue
            if not oldest:
                oldest.append(job)
            elif job.finished_unix_ms:
                jobs_ended.append(job)
            elif job.ends_version > job.committed_version:
                runs_ended.append(job)
            else:
                others.append(job)
        chosen: list[JobProgress] = []
        entries_left = const.TRANSACTION_ENTRIES_MAX - 1  # the owner's expected revision
        for job in chain(oldest, jobs_ended, runs_ended, others):
            # An expected revision and a value, and for some jobs a removal.
            entries_left -= 3 if _spec_removable(job) else 2
            if entries_left < 0:
                break
            chosen.append(job)
        return chosen

    def pending_commit(self) -> Transaction | None:
        """Return the write of the count of waiting jobs; None while the stored count is current."""
        state = self._state
        now_s = state.now_s
        if self._pending_in_flight or now_s < self._pending_next_s:
            return None
        counts = self._count_pending()
        if counts == self._pending_written:
            return None
        self._pending_in_flight = True
        self._pending_written = counts
        self._pending_next_s = now_s + const.PENDING_WRITE_INTERVAL_S
        return Transaction(
            {state.settings.owner_key: state.settings.owner_revision},
            {PENDING_KEY: encode(counts)},
        )

    def _count_pending(self) -> PendingRecord:
        state = self._state
        waiting: Counter[tuple[QueueId, QueueAddress]] = Counter()
        for job_id in state.open_jobs:
            job = state.jobs[job_id]
            if not job.started and not job.state.final:
                waiting[job.spec.queue, job.spec.address] += 1
        by_name: Counter[QueueId] = Counter()
        by_address: Counter[QueueAddress] = Counter()
        for (queue, accepted_at), count in waiting.items():
            by_name[state.identities.queue_name(queue)] += count
            address = state.identities.address_of_job(queue, accepted_at)
            if address is not None:
                by_address[address] += count
        return PendingRecord(dict(by_name), dict(by_address))

    def pending_written(self, *, ok: bool) -> None:
        """Process the result of writing the count of waiting jobs."""
        self._pending_in_flight = False
        if not ok:
            self._pending_written = None


def _due_jobs(since_s: dict[JobId, float], until_s: float, count_max: int) -> list[JobId]:
    """Return the first jobs whose time is not later; the jobs are in the order of their times."""
    due = takewhile(lambda each: each[1] <= until_s, since_s.items())
    return [job_id for job_id, _ in islice(due, count_max)]


def _spec_removable(job: JobProgress) -> bool:
    """Return whether the write of a job's progress removes the record of its specification.

    The next owner then reads only the records of jobs that have not ended.
    """
    return job.spec_stored and not job.spec_needed

"""Feeds the scheduler from the store: all records at the start of a term, then every change."""

from __future__ import annotations

import logging
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.core.jobs.records import (
    CANCEL_PREFIX,
    INTAKE_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    decode_job,
    decode_progress,
)
from toucandoor.core.maintenance.job_waves import WAVE_PROGRESS_PREFIX
from toucandoor.core.maintenance.vm_orders import VM_ORDERS_KEY
from toucandoor.core.records import HistoryLostError
from toucandoor.exceptions import ToucandoorError
from toucandoor.ids import JobId, WorkerId
from toucandoor.platform.operator_records import WAVE_STATUS_PREFIX, WORKER_PREFIX
from toucandoor.platform.workers import decode_worker

if TYPE_CHECKING:
    import threading

    from toucandoor.adapters.term_context import TermContext
    from toucandoor.adapters.term_vms import TermVms
    from toucandoor.core.records import Changes, Record

_LOGGER = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 1.0
"""How long a watch waits; bounds how long a silent connection hides what callers want."""
WORKER_GATHER_S: Final = 0.25
"""Pause between two watches of the backend servers' entries; well within the time in which a
draining server must get nothing new."""
RETRY_PAUSE_S: Final = 0.1
"""Pause after a failed watch."""


class TermIntake:
    """Reads and follows the store.

    Args:
        term: The term.
        vms: Takes the records about VMs.
        ended: Set at the term's end.
    """

    def __init__(self, term: TermContext, vms: TermVms, ended: threading.Event) -> None:
        self._term = term
        self._vms = vms
        self._term_ended = ended

    def load(self) -> tuple[int, int]:
        """Read all that the scheduler must know; return where the two watches begin."""
        scheduler = self._term.scheduler
        # Read at the same time: a slow store is slow for each call, and the fleet waits.
        prefixes = (
            WORKER_PREFIX,
            INTAKE_PREFIX,
            PROGRESS_PREFIX,
            WAVE_STATUS_PREFIX,
            WAVE_PROGRESS_PREFIX,
            VM_ORDERS_KEY,
        )
        with ThreadPoolExecutor(len(prefixes), "load") as readers:
            snapshots = list(readers.map(self._term.around.store.read_prefix, prefixes))
        workers, intake, kept_progress, wave_statuses, waves, vm_orders = snapshots
        for record in workers.records:
            self._worker_written(record)
        progress = {
            record.key.removeprefix(PROGRESS_PREFIX): record for record in kept_progress.records
        }
        for record in intake.records:
            if record.key.startswith(JOB_PREFIX):
                job_id = record.key.removeprefix(JOB_PREFIX)
                self._load_job(record, progress.get(job_id))
        for record in intake.records:
            if record.key.startswith(CANCEL_PREFIX):
                scheduler.cancel_job(JobId(record.key.removeprefix(CANCEL_PREFIX)))
        self._vms.restore(waves, wave_statuses, vm_orders)
        _LOGGER.info(
            "owner: loaded",
            extra={"jobs": len(scheduler.jobs), "workers": len(scheduler.workers)},
        )
        return workers.revision, intake.revision

    def _load_job(self, job: Record, progress: Record | None) -> None:
        try:
            spec = decode_job(job.value)
            if progress is None:
                self._term.scheduler.add_job(spec)
                return
            kept = decode_progress(progress.value)
        except msgspec.MsgspecError as err:
            _LOGGER.error("jobs: record %s cannot be read: %s", job.key, err)
            return
        self._term.scheduler.restore_job(spec, kept, progress.revision)

    def follow(self, prefix: str, revision: int) -> None:
        """Post every change below a prefix as an event, reading all of it anew where it must."""
        store = self._term.around.store
        known: int | None = revision
        while not self._term_ended.is_set():
            try:
                if known is None:
                    known = self._read_anew(prefix)
                changes = store.watch(prefix, known, WATCH_WAIT_S)
                known = changes.revision
                if changes.written or changes.deleted:
                    self._term.post(lambda seen=changes: self._changed(prefix, seen))  # type: ignore[misc]
                if prefix == WORKER_PREFIX:
                    # Entries change all the time; a pause gathers several in one call.
                    self._term_ended.wait(WORKER_GATHER_S)
            except HistoryLostError:
                known = None
            except ToucandoorError as err:
                _LOGGER.info("owner: watch of %s failed: %s", prefix, err)
                self._term_ended.wait(RETRY_PAUSE_S)

    def _read_anew(self, prefix: str) -> int:
        snapshot = self._term.around.store.read_prefix(prefix)

        def apply() -> None:
            for record in snapshot.records:
                self._written(prefix, record)
            if prefix == WORKER_PREFIX:
                present = {record.key.removeprefix(prefix) for record in snapshot.records}
                for worker_id in self._term.scheduler.workers.keys() - present:
                    self._term.scheduler.worker_unlisted(WorkerId(worker_id))

        self._term.post(apply)
        return snapshot.revision

    def _changed(self, prefix: str, changes: Changes) -> None:
        for record in changes.written:
            self._written(prefix, record)
        if prefix == WORKER_PREFIX:
            for key in changes.deleted:
                self._term.scheduler.worker_unlisted(WorkerId(key.removeprefix(prefix)))

    def _written(self, prefix: str, record: Record) -> None:
        if prefix == WORKER_PREFIX:
            self._worker_written(record)
        elif record.key.startswith(CANCEL_PREFIX):
            self._term.scheduler.cancel_job(JobId(record.key.removeprefix(CANCEL_PREFIX)))
        elif record.key.startswith(JOB_PREFIX):
            try:
                self._term.scheduler.add_job(decode_job(record.value))
            except msgspec.MsgspecError as err:
                _LOGGER.error("jobs: record %s cannot be read: %s", record.key, err)

    def _worker_written(self, record: Record) -> None:
        entry = decode_worker(record.key.removeprefix(WORKER_PREFIX), record.value)
        if entry is not None:
            self._term.scheduler.worker_listed(entry)

"""Which backend servers there are, by the platform's list and by their own answers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NOTHING
from toucandoor.core.scheduling.state import at_work
from toucandoor.core.scheduling.worker_view import WorkerView
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.ids import DataCentreId, PoolId

if TYPE_CHECKING:
    from toucandoor.core.scheduling.progress import Task
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import VmId, WorkerId

_LOGGER = logging.getLogger(__name__)


class WorkerRegistry:
    """Keeps the backend servers of a schedule."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state

    def listed(self, entry: WorkerEntry) -> None:
        """Note what a backend server says of itself in the platform's list."""
        state = self._state
        known = state.workers.get(entry.worker_id)
        if known is None:
            state.workers[entry.worker_id] = self._known_boot(entry) or self._new_view(entry)
            return
        if entry.born_unix_ms > known.entry.born_unix_ms > 0:
            self.ended(known, "restarted")
            state.workers[entry.worker_id] = self._new_view(entry)
            return
        if known.ended:
            return  # the list is behind
        if entry.draining and not known.entry.draining:
            _LOGGER.info(
                "workers: %s drains",
                entry.worker_id,
                extra={"worker": entry.worker_id, "pool": entry.pool},
            )
        known.entry = entry
        known.listed = True
        if entry.draining:
            self._evacuate(known)

    def unlisted(self, worker_id: WorkerId) -> None:
        """Note that the platform's list no longer names a backend server."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            _LOGGER.info(
                "workers: %s left the list",
                worker_id,
                extra={"worker": worker_id, "runs": len(worker.runs)},
            )

    def of_run(self, worker_id: WorkerId, born_unix_ms: int) -> WorkerView:
        """Return the boot that a recovered run is on, made up where the list names none."""
        state = self._state
        known = state.workers.get(worker_id)
        entry = _unlisted_entry(worker_id, born_unix_ms)
        for view in [*([known] if known is not None else []), *state.former_boots]:
            if view.entry.boot == entry.boot:
                return view
        missing = self._new_view(entry)
        missing.listed = False
        if known is not None and known.entry.born_unix_ms > born_unix_ms:
            # A later boot of the same server runs nothing of an earlier one.
            missing.unknown_lease_until_s = 0.0
        state.former_boots.append(missing)
        return missing

    def ended(self, worker: WorkerView, why: str) -> None:
        """Note that a boot has ended, by the list or by another one's answer at its address.

        Nothing waits for its acknowledgements any more.
        """
        self._state.lose_all(worker, why)
        worker.listed = False
        worker.ended = True
        worker.uncommitted.clear()

    def forget_lapsed(self) -> None:
        """End the runs of silent backend servers whose leases have surely ended."""
        state = self._state
        now_s = state.now_s
        for worker in [*state.workers.values(), *state.former_boots]:
            if worker.runs and worker.silent and worker.lapsed(now_s):
                state.lose_all(worker, "was out of reach until its lease lapsed")
        state.former_boots = [worker for worker in state.former_boots if worker.runs]
        for worker_id, worker in list(state.workers.items()):
            if not worker.listed and not worker.runs and not worker.uncommitted:
                del state.workers[worker_id]

    def silent(self) -> dict[Boot, float]:
        """Return when the leases of boots end that do not answer, in seconds from now."""
        now_s = self._state.now_s
        lapses_in_s: dict[Boot, float] = {}
        for worker in [*self._state.workers.values(), *self._state.former_boots]:
            left_s = worker.lapses_in_s(now_s)
            if worker.runs and worker.silent and left_s is not None:
                lapses_in_s[worker.entry.boot] = max(0.0, left_s)
        return lapses_in_s

    def recheck(self, worker: WorkerView) -> None:
        """Give a backend server nothing new until it has answered again."""
        worker.held = False
        worker.next_hold_s = self._state.now_s

    def by_vm(self) -> dict[VmId, WorkerView]:
        """Return the latest backend server on each VM."""
        found: dict[VmId, WorkerView] = {}
        for worker in self._state.workers.values():
            vm_id = worker.entry.vm_id
            if vm_id is None:
                continue
            other = found.get(vm_id)
            if other is None or worker.entry.born_unix_ms > other.entry.born_unix_ms:
                found[vm_id] = worker
        return found

    # Planned ends

    def vacate(self, worker: WorkerView, *, at_once: bool) -> None:
        """Stop what keeps a VM from a planned end, as far as promises of availability allow.

        Args:
            worker: The backend server on the VM.
            at_once: Also stop tasks that would lose their work.
        """
        for run in worker.runs.values():
            if run.stop_wanted:
                continue
            step = run.task.step
            if step.long_running:
                if self._may_be_away(run.task):
                    self._state.want_stop(run)
            elif at_once or step.checkpointing:
                self._state.want_stop(run)

    def _may_be_away(self, task: Task) -> bool:
        """Return whether stopping a task keeps what its step promises about availability."""
        allowed = task.step.unavailable_max
        if allowed is None:
            return True
        others = self._state.step_of(task).tasks
        away = sum(other is not task and not at_work(other) for other in others)
        return away + 1 <= allowed

    def _evacuate(self, worker: WorkerView) -> None:
        """Stop what can go on elsewhere before a backend server leaves."""
        for run in worker.runs.values():
            step = run.task.step
            if not run.stop_wanted and (step.long_running or step.checkpointing):
                self._state.want_stop(run)

    # Boots

    def _new_view(self, entry: WorkerEntry) -> WorkerView:
        state = self._state
        lease_s = state.settings.handed_over.get(entry.boot, state.settings.former_lease_s)
        return WorkerView(entry, unknown_lease_until_s=state.began_s + lease_s)

    def _known_boot(self, entry: WorkerEntry) -> WorkerView | None:
        """Return what is known of a boot that the list names again, or names first."""
        for gone in self._state.former_boots:
            if gone.entry.boot == entry.boot:
                self._state.former_boots.remove(gone)
                gone.entry = entry
                gone.listed = True
                return gone
        return None


def _unlisted_entry(worker_id: WorkerId, born_unix_ms: int) -> WorkerEntry:
    """Return an entry for a backend server of which only a run's record is known."""
    return WorkerEntry(worker_id, PoolId(""), "", DataCentreId(""), NOTHING, (), True, born_unix_ms)

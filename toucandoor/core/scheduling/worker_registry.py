"""Backend servers that exist, by the platform's list and by their own answers."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.scheduling import const
from toucandoor.core.scheduling.server_crashes import ServerCrashes
from toucandoor.core.scheduling.state import MS_PER_S
from toucandoor.core.scheduling.worker_view import WorkerView
from toucandoor.core.scheduling.workers import WorkerEntry
from toucandoor.ids import DataCentreId, PoolId

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from toucandoor.core.jobs.records import RunRecord
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.core.scheduling.workers import Boot
    from toucandoor.ids import VmId, WorkerId

_LOGGER = logging.getLogger(__name__)


class WorkerRegistry:
    """Adds, updates and removes the backend servers of a schedule.

    Attributes:
        crashes: Counts the runs that were lost with their servers.
    """

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        self._latest_on_vm: dict[VmId, WorkerView] = {}
        self._former_orders_unix_ms: Mapping[VmId, int] = {}
        self._former_orders_until_s = 0.0
        self.crashes = ServerCrashes(state)

    def listed(self, entry: WorkerEntry) -> None:
        """Process a new or changed entry of a backend server in the platform's list."""
        state = self._state
        known = state.workers.get(entry.worker_id)
        if known is None:
            if state.configuration is not None and entry.pool not in state.configuration.pools:
                _LOGGER.info(
                    "workers: %s is listed with a pool that the configuration does not name",
                    entry.worker_id,
                    extra={"worker": entry.worker_id, "pool": entry.pool},
                )
            self._set_latest(self._known_boot(entry) or self._new_view(entry))
            return
        if entry.booted_unix_ms > known.entry.booted_unix_ms > 0:
            self._replace_by_later_boot(known, entry)
            return
        if known.ended or 0 < entry.booted_unix_ms < known.entry.booted_unix_ms:
            return  # the entry is outdated: this boot has already ended
        if entry.draining and not known.entry.draining:
            _LOGGER.info(
                "workers: %s is draining",
                entry.worker_id,
                extra={"worker": entry.worker_id, "pool": entry.pool},
            )
        known.update_entry(entry, state.now_s)
        self._set_latest(known)
        known.cold_until_s = state.now_s + entry.cold_s
        known.listed = True
        if known.heartbeat_failures > 0:
            # It has just written its entry, so it may answer again.
            known.next_heartbeat_s = min(known.next_heartbeat_s, state.now_s)
        if entry.draining:
            self.vacate(known, at_once=False)

    def unlisted(self, worker_id: WorkerId) -> None:
        """Process the removal of a backend server from the platform's list."""
        worker = self._state.workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            _LOGGER.info(
                "workers: %s is no longer in the platform's list",
                worker_id,
                extra={"worker": worker_id, "runs": len(worker.runs)},
            )

    def boot_of_run(self, run: RunRecord) -> WorkerView:
        """Return the boot that a recovered run may be on; add one if the list doesn't contain it.

        A later boot under the same id may have taken the run's start.
        """
        state = self._state
        known = state.workers.get(run.worker_id)
        entry = _unlisted_entry(run)
        for view in [*([known] if known is not None else []), *state.former_boots]:
            if view.entry.boot == entry.boot:
                return view
        if known is not None and known.entry.booted_unix_ms > run.worker_booted_unix_ms:
            return known
        missing = self._new_view(entry)
        missing.listed = False
        state.former_boots.append(missing)
        return missing

    def run_of_former_boot(self, run: Run) -> None:
        """Process a recovered run whose boot a later one under the same id has replaced."""
        ended = run.settled
        if ended:
            self._state.discard_runs(run.worker, "restarted", [run])
        self.crashes.on_lost(run.worker, [run], ended=ended)
        run.reported = False

    def later_boot_answered(self, worker: WorkerView, booted_unix_ms: int) -> None:
        """Process an answer of a later boot under the same id, which is not listed yet.

        Args:
            worker: The boot that the order was meant for.
            booted_unix_ms: Start of the boot that answered.
        """
        if self._state.workers.get(worker.entry.worker_id) is not worker:
            # It had left the list, and the later boot may have been listed since.
            self.boot_ended(worker, "restarted")
            return
        entry = replace(worker.entry, booted_unix_ms=booted_unix_ms)
        self._replace_by_later_boot(worker, entry).listed = False

    def _replace_by_later_boot(self, worker: WorkerView, entry: WorkerEntry) -> WorkerView:
        """End a boot, and move the runs to the later one that it may have taken."""
        state = self._state
        later = self._new_view(entry)
        # Orders for the earlier boot may have given the later one a lease.
        slowest_lease_s = state.settings.lease_s * (1 + const.WORKER_CLOCK_DRIFT_RATIO)
        until_s = state.now_s + slowest_lease_s + const.LEASE_EXPIRY_MARGIN_S
        later.former_lease_until_s = max(later.former_lease_until_s, until_s)
        self._set_latest(later)
        moved = [run for run in worker.runs.values() if run.may_be_on_later_boot]
        for run in moved:
            state.move_to_later_boot(run, later)
        # Counted now, as the next owner finds them recorded on the later boot.
        self.crashes.on_lost(worker, moved, ended=False)
        self.boot_ended(worker, "restarted")
        return later

    def boot_ended(self, worker: WorkerView, reason: str) -> None:
        """Mark a boot as ended and discard its runs; it gets no acknowledgements any more.

        The platform's list has a later boot, or another boot has answered at its address.

        Args:
            worker: The boot.
            reason: End of the log message; says how the boot ended.
        """
        lost = [*worker.lost_runs, *worker.runs.values()]
        worker.lost_runs.clear()
        self._state.discard_runs(worker, reason)
        self.crashes.on_lost(worker, lost, ended=True)
        worker.listed = False
        worker.ended = True
        worker.uncommitted.clear()

    def vm_down(self, worker: WorkerView, asked_at_s: float, *, by_order: bool) -> None:
        """Process that the platform lists the VM of a boot as down, or as taken away by an order.

        All its answers came before the list was asked for, so that whatever it has answered for
        has ended with the VM. Runs with an unanswered start stay until their leases have expired: a
        later boot under the same id may still take it.

        Args:
            worker: The boot.
            asked_at_s: When the list was asked for. A boot that has become known or has answered
                since then may have started after the VM was down.
            by_order: Whether a move or a maintenance has ended it, so that none of its runs has.
        """
        if worker.ended or max(worker.known_since_s, worker.answered_s) >= asked_at_s:
            return
        self.require_heartbeat(worker)
        ended = [run for run in worker.runs.values() if run.starts_unanswered == 0]
        reason = (
            "is on a VM that an order has taken away" if by_order else "is on a VM that is down"
        )
        self._state.discard_runs(worker, reason, ended)
        self.crashes.on_lost(worker, ended, ended=not by_order)

    def discard_expired(self) -> None:
        """Discard the runs of unresponsive backend servers whose leases have expired."""
        state = self._state
        now_s = state.now_s
        gone: list[WorkerId] = []
        for worker_id, worker in state.workers.items():
            if worker.runs:
                self._discard_if_expired(worker, now_s)
            elif not worker.listed and not worker.uncommitted:
                gone.append(worker_id)
            if worker.lost_runs and not worker.listed:
                self._count_lost_runs(worker)
        for worker in state.former_boots:
            self._discard_if_expired(worker, now_s)
            self._count_lost_runs(worker)
        state.former_boots = [worker for worker in state.former_boots if worker.runs]
        for worker_id in gone:
            del state.workers[worker_id]

    def _discard_if_expired(self, worker: WorkerView, now_s: float) -> None:
        if not worker.runs or not worker.unresponsive:
            return
        if worker.lease_expired(now_s):
            worker.lost_runs += worker.runs.values()
            self._state.discard_runs(worker, "was unreachable until its lease expired")
        elif self._replaced_on_vm(worker):
            # A later boot under the same id may still take a start without an answer.
            other = self._other_server_on_vm(worker)
            ended = [run for run in worker.runs.values() if other or run.settled]
            self._state.discard_runs(worker, "was replaced on its VM", ended)
            # A move or a maintenance of the VM may have ended it, not one of the runs.
            self.crashes.on_lost(worker, ended, ended=False)

    def _count_lost_runs(self, worker: WorkerView) -> None:
        """Count the lost runs of a boot that is treated as gone."""
        lost, worker.lost_runs = worker.lost_runs, []
        self.crashes.on_lost(worker, lost, ended=False)

    def unresponsive_leases_s(self) -> dict[Boot, float]:
        """Return the longest time, in s, until the lease of each unresponsive boot expires."""
        now_s = self._state.now_s
        leases_s: dict[Boot, float] = {}
        for worker in [*self._state.workers.values(), *self._state.former_boots]:
            left_s = worker.lease_expires_in_s(now_s)
            if worker.runs and worker.unresponsive and left_s is not None:
                leases_s[worker.entry.boot] = max(0.0, left_s)
        return leases_s

    def require_heartbeat(self, worker: WorkerView) -> None:
        """Assign nothing new to a backend server until it has answered another heartbeat."""
        worker.require_heartbeat(self._state.now_s)

    def await_former_orders(self, ordered_unix_ms: Mapping[VmId, int], until_s: float) -> None:
        """Give no new tasks to servers that an order of a former owner for their VM may still end.

        Args:
            ordered_unix_ms: When a former owner has ordered a maintenance or a move of a VM.
            until_s: Time by which these orders have been carried out, on the monotonic clock.
        """
        self._former_orders_unix_ms, self._former_orders_until_s = ordered_unix_ms, until_s
        for worker in self._state.workers.values():
            self._await_former_order(worker)

    def _await_former_order(self, worker: WorkerView) -> None:
        entry = worker.entry
        ordered_ms = self._former_orders_unix_ms.get(entry.vm_id) if entry.vm_id else None
        # A later boot is on the VM because the order has been carried out.
        if ordered_ms is not None and entry.booted_unix_ms <= ordered_ms:
            worker.paused_until_s = max(worker.paused_until_s, self._former_orders_until_s)

    def boots_on(self, vm_ids: Collection[VmId]) -> list[WorkerView]:
        """Return all boots on some VMs that runs may be on, and the latest of each server."""
        state = self._state
        boots = [*state.workers.values(), *state.former_boots]
        return [worker for worker in boots if worker.entry.vm_id in vm_ids]

    def by_vm(self) -> dict[VmId, WorkerView]:
        """Return the latest boot of a backend server on each VM."""
        found: dict[VmId, WorkerView] = {}
        for worker in self._state.workers.values():
            vm_id = worker.entry.vm_id
            if vm_id is None:
                continue
            other = found.get(vm_id)
            if other is None or worker.entry.booted_unix_ms > other.entry.booted_unix_ms:
                found[vm_id] = worker
        return found

    # Planned ends of VMs

    def vacate(self, worker: WorkerView, *, at_once: bool) -> None:
        """Stop runs on a VM before its planned end; `PlannedStops` stops long-running ones.

        Args:
            worker: The backend server on the VM.
            at_once: Also stop tasks that would lose their work.
        """
        for run in list(worker.runs.values()):
            if run.key not in worker.runs:
                continue  # ended with another run of its gang
            if not run.stop_requested and self._needs_no_room(run, at_once=at_once):
                self._state.request_stop(run)
                if not run.begun:
                    self._state.stop_rest_of_gang(run)

    def _needs_no_room(self, run: Run, *, at_once: bool) -> bool:
        """Return whether a run may be stopped before another server has room for its task."""
        step = run.task.step
        if step.long_running:
            return run.never_sent
        return at_once or step.checkpointing

    def _new_view(self, entry: WorkerEntry) -> WorkerView:
        state = self._state
        lease_s = state.settings.handed_over_leases_s.get(entry.boot, state.settings.former_lease_s)
        # Clocks differ, so its age by the start that it reports is only roughly known.
        up_s = max(0.0, (state.now_unix_ms - entry.booted_unix_ms) / MS_PER_S)
        made = WorkerView(
            entry,
            former_lease_until_s=state.started_s + lease_s,
            cold_until_s=state.now_s + entry.cold_s,
            known_since_s=state.now_s,
            steady_from_s=state.now_s + max(0.0, const.STEADY_AFTER_S - up_s),
        )
        made.update_entry(entry, state.now_s)
        return made

    def _set_latest(self, worker: WorkerView) -> None:
        """Make a boot the latest one of its server, and of its VM unless a later one is known."""
        entry = worker.entry
        self._state.workers[entry.worker_id] = worker
        self._await_former_order(worker)
        if entry.vm_id is None:
            return
        other = self._latest_on_vm.get(entry.vm_id)
        if other is None or entry.booted_unix_ms >= other.entry.booted_unix_ms:
            self._latest_on_vm[entry.vm_id] = worker
            if other is not None and other.entry.worker_id != entry.worker_id and not other.runs:
                # It has ended, but the platform's list may contain it for some seconds.
                self.require_heartbeat(other)

    def _replaced_on_vm(self, worker: WorkerView) -> bool:
        """Return whether a later boot on the VM of an unresponsive one has answered after it.

        It is a boot of another server, or of the same one that has left the list meanwhile. Starts
        that the platform gives may be wrong where the clock of the VM has stepped.
        """
        entry = worker.entry
        later = self._latest_on_vm.get(entry.vm_id) if entry.vm_id is not None else None
        return (
            later is not None
            and later is not worker
            and not later.ended
            and later.answered_s > worker.answered_s
            and later.entry.vm_id == entry.vm_id
            and later.entry.booted_unix_ms > entry.booted_unix_ms > 0
        )

    def _other_server_on_vm(self, worker: WorkerView) -> bool:
        """Return whether the VM of a replaced boot has another server, and no boot has its id.

        Orders name a server by its id, so that the other server refuses those for this boot. A
        restart in place keeps the id; a move or a maintenance of the VM gives it another server.
        """
        entry = worker.entry
        later = self._latest_on_vm.get(entry.vm_id) if entry.vm_id is not None else None
        present = self._state.workers.get(entry.worker_id)
        return (
            later is not None
            and later.entry.worker_id != entry.worker_id
            and (present is None or present is worker)
        )

    def _known_boot(self, entry: WorkerEntry) -> WorkerView | None:
        """Return the former boot that an entry describes, if there is one, and update it."""
        for known in self._state.former_boots:
            if known.entry.boot == entry.boot:
                self._state.former_boots.remove(known)
                known.update_entry(entry, self._state.now_s)
                known.cold_until_s = self._state.now_s + entry.cold_s
                known.listed = True
                return known
        return None


def _unlisted_entry(run: RunRecord) -> WorkerEntry:
    """Return an entry for a boot that is known only from the record of a run."""
    return WorkerEntry(
        run.worker_id,
        PoolId(""),
        "",
        DataCentreId(""),
        NO_RESOURCES,
        (),
        False,
        run.worker_booted_unix_ms,
        vm_id=run.vm_id,
    )

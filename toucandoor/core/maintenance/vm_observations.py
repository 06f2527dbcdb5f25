"""Latest observations of VMs by a planner, with their times."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.maintenance.drain import StopView
from toucandoor.core.maintenance.models import PollVm
from toucandoor.core.pools.models import VmStep

if TYPE_CHECKING:
    from collections.abc import Collection

    from toucandoor.core.maintenance.models import (
        MaintenanceSettings,
        VmCommand,
        VmListRead,
        VmReport,
        VmUnreachable,
    )
    from toucandoor.core.pools.models import AssignmentMap, VmAssignment
    from toucandoor.ids import DataCentreId, VmId


class VmObservations:
    """Latest VM list, status reports, consecutive good probes and time spent in each step.

    Times are taken from this controller's clock only, so a successor starts each step's time-out
    anew and clocks of other VMs don't matter.
    """

    def __init__(self, settings: MaintenanceSettings) -> None:
        self._settings = settings
        self._reports: dict[VmId, tuple[VmReport, float]] = {}
        self._unreachable: set[VmId] = set()
        self._unhealthy: set[VmId] = set()
        self._good_probes: dict[VmId, int] = {}
        self._step_starts: dict[VmId, tuple[VmStep, float]] = {}
        self._polled_s: dict[VmId, float] = {}
        self._sent_s: dict[VmCommand, float] = {}
        self._list: VmListRead | None = None
        self._list_s = float("-inf")

    def on_list(self, read: VmListRead, now_s: float) -> None:
        """Handle a read of the platform's VM list."""
        self._list, self._list_s = read, now_s - read.age_s

    def on_report(self, report: VmReport, now_s: float) -> None:
        """Handle a VM's status report."""
        self._reports[report.vm] = (report, now_s)
        self._unreachable.discard(report.vm)
        self._unhealthy.discard(report.vm)
        if not report.healthy:
            self._unhealthy.add(report.vm)
        good = report.healthy and not report.draining
        self._good_probes[report.vm] = self._good_probes.get(report.vm, 0) + 1 if good else 0

    def on_unreachable(self, event: VmUnreachable) -> None:
        """Handle a VM that did not answer; its last report is dropped."""
        self._unreachable.add(event.vm)
        self._reports.pop(event.vm, None)
        self._good_probes[event.vm] = 0

    def list_fresh(self, now_s: float) -> bool:
        """Return whether the platform's VM list is recent enough to start stops."""
        return now_s - self._list_s <= self._settings.list_age_max_s

    def leaving(self) -> Collection[VmId]:
        """Return the VMs listed as leaving."""
        return self._list.leaving if self._list else ()

    def located_in(self, data_centre: DataCentreId) -> set[VmId]:
        """Return the VMs that the platform places in a data centre."""
        live = self._list.live if self._list else {}
        return {vm_id for vm_id, where in live.items() if where == data_centre}

    def listed(self, vm_id: VmId) -> bool:
        """Return whether a VM is listed as live and not leaving; True before the first list."""
        if self._list is None:
            return True
        return vm_id in self._list.live and vm_id not in self._list.leaving

    def unavailable(self, maps: Collection[AssignmentMap]) -> frozenset[VmId]:
        """Return the VMs of the maps that are unreachable, unhealthy or not listed as live."""
        return frozenset(
            vm_id
            for record in maps
            for vm_id in record.vms
            if vm_id in self._unreachable or vm_id in self._unhealthy or not self.listed(vm_id)
        )

    def fresh_reports(self, now_s: float) -> dict[VmId, VmReport]:
        """Return the status reports that are recent enough to use."""
        oldest_s = now_s - self._settings.report_age_max_s
        return {vm: report for vm, (report, at_s) in self._reports.items() if at_s >= oldest_s}

    def stop_views(self, record: AssignmentMap, fence: int, now_s: float) -> dict[VmId, StopView]:
        """Return the state of each VM in a planned stop; starts the time of new steps."""
        under_way = {vm_id: vm for vm_id, vm in record.vms.items() if vm.planned_out}
        for vm_id in self._step_starts.keys() - under_way.keys():
            del self._step_starts[vm_id]
        reports = self.fresh_reports(now_s)
        return {
            vm_id: StopView(
                now_s - self._step_start_s(vm_id, vm, now_s),
                reports.get(vm_id),
                self._good_probes.get(vm_id, 0),
                self.listed(vm_id),
                fence,
            )
            for vm_id, vm in under_way.items()
        }

    def _step_start_s(self, vm_id: VmId, vm: VmAssignment, now_s: float) -> float:
        known = self._step_starts.get(vm_id)
        if known is None or known[0] is not vm.step:
            self._step_starts[vm_id] = known = (vm.step, now_s)
            self._good_probes[vm_id] = 0
        return known[1]

    def due_polls(self, record: AssignmentMap, extra: list[VmId], now_s: float) -> list[VmCommand]:
        """Return the status polls that are due.

        Args:
            record: The data centre's assignment map.
            extra: VMs to poll as often as those in a planned stop.
            now_s: The monotonic time.
        """
        due: list[VmCommand] = []
        for vm_id, vm in record.vms.items():
            stopping = vm.planned_out and vm.step is not VmStep.FAILED
            every_s = self._settings.poll_in_service_every_s
            if stopping or vm_id in extra:
                every_s = self._settings.poll_stopping_every_s
            elif vm.out or vm_id in self._unreachable or vm_id in self._unhealthy:
                every_s = self._settings.poll_out_every_s
            if now_s - self._polled_s.get(vm_id, float("-inf")) >= every_s:
                self._polled_s[vm_id] = now_s
                due.append(PollVm(vm_id))
        return due

    def due_commands(self, commands: list[VmCommand], now_s: float) -> list[VmCommand]:
        """Return the commands that were not sent within ``command_resend_after_s``."""
        resend_after_s = self._settings.command_resend_after_s
        self._sent_s = {
            command: sent_s
            for command, sent_s in self._sent_s.items()
            if now_s - sent_s < resend_after_s
        }
        due = [command for command in commands if command not in self._sent_s]
        self._sent_s |= dict.fromkeys(due, now_s)
        return due

"""What a planner has heard of the VMs of its data centre, and how old it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.maintenance.drain import StopView
from toucandoor.core.maintenance.models import AskVm
from toucandoor.core.pools.models import VmStep

if TYPE_CHECKING:
    from collections.abc import Collection

    from toucandoor.core.maintenance.models import (
        ListSeen,
        MaintenanceSettings,
        VmAct,
        VmReport,
        VmSilent,
    )
    from toucandoor.core.pools.models import AssignmentMap, VmAssignment
    from toucandoor.ids import DataCentreId, VmId


class Sightings:
    """Latest list, reports, good probes and time spent in each step.

    Times are this controller's own, so a successor starts each step's time-out afresh and no
    clock of another VM is trusted.
    """

    def __init__(self, settings: MaintenanceSettings) -> None:
        self._settings = settings
        self._reports: dict[VmId, tuple[VmReport, float]] = {}
        self._silent: set[VmId] = set()
        self._unhealthy: set[VmId] = set()
        self._good_probes: dict[VmId, int] = {}
        self._in_step: dict[VmId, tuple[VmStep, float]] = {}
        self._asked_s: dict[VmId, float] = {}
        self._acted_s: dict[VmAct, float] = {}
        self._list: ListSeen | None = None
        self._list_s = float("-inf")

    def on_list(self, seen: ListSeen, now_s: float) -> None:
        """Take the platform's list."""
        self._list, self._list_s = seen, now_s - seen.age_s

    def on_report(self, report: VmReport, now_s: float) -> None:
        """Take a VM's own word."""
        self._reports[report.vm] = (report, now_s)
        self._silent.discard(report.vm)
        self._unhealthy.discard(report.vm)
        if not report.healthy:
            self._unhealthy.add(report.vm)
        good = report.healthy and not report.draining
        self._good_probes[report.vm] = self._good_probes.get(report.vm, 0) + 1 if good else 0

    def on_silence(self, event: VmSilent) -> None:
        """Note that a VM did not answer."""
        self._silent.add(event.vm)
        self._reports.pop(event.vm, None)
        self._good_probes[event.vm] = 0

    def list_fresh(self, now_s: float) -> bool:
        """Return whether the platform's list is recent enough to start stops on."""
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
        """Return the VMs of all data centres that are out by the list or by their silence."""
        return frozenset(
            vm_id
            for record in maps
            for vm_id in record.vms
            if vm_id in self._silent or vm_id in self._unhealthy or not self.listed(vm_id)
        )

    def fresh_reports(self, now_s: float) -> dict[VmId, VmReport]:
        """Return the VMs' words that are recent enough to act on."""
        oldest_s = now_s - self._settings.report_age_max_s
        return {vm: report for vm, (report, at_s) in self._reports.items() if at_s >= oldest_s}

    def stop_views(self, record: AssignmentMap, fence: int, now_s: float) -> dict[VmId, StopView]:
        """Return what is known of each VM in a planned stop; starts its step's time."""
        under_way = {vm_id: vm for vm_id, vm in record.vms.items() if vm.planned_out}
        for gone in self._in_step.keys() - under_way.keys():
            del self._in_step[gone]
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
        known = self._in_step.get(vm_id)
        if known is None or known[0] is not vm.step:
            self._in_step[vm_id] = known = (vm.step, now_s)
            self._good_probes[vm_id] = 0
        return known[1]

    def due_questions(self, record: AssignmentMap, extra: list[VmId], now_s: float) -> list[VmAct]:
        """Return the questions that are due; often to VMs in a stop, at times to all others."""
        due: list[VmAct] = []
        for vm_id, vm in record.vms.items():
            moving = vm.planned_out and vm.step is not VmStep.FAILED
            every_s = self._settings.ask_idle_every_s
            if moving or vm_id in extra:
                every_s = self._settings.ask_every_s
            elif vm.out or vm_id in self._silent or vm_id in self._unhealthy:
                every_s = self._settings.ask_failed_every_s
            if now_s - self._asked_s.get(vm_id, float("-inf")) >= every_s:
                self._asked_s[vm_id] = now_s
                due.append(AskVm(vm_id))
        return due

    def due_acts(self, acts: list[VmAct], now_s: float) -> list[VmAct]:
        """Return the acts that were not sent a moment ago."""
        again_s = self._settings.act_again_after_s
        self._acted_s = {act: at for act, at in self._acted_s.items() if now_s - at < again_s}
        due = [act for act in acts if act not in self._acted_s]
        self._acted_s |= dict.fromkeys(due, now_s)
        return due

"""The steps of one VM's planned stop: cordon, drain, reboot, probe, uncordon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.maintenance.models import CheckpointTask, DrainVm, RebootVm, UndrainVm
from toucandoor.core.pools.models import VmStep

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.core.maintenance.models import MaintenanceSettings, VmCommand, VmReport
    from toucandoor.core.pools.models import AssignmentMap, VmAssignment
    from toucandoor.ids import VmId


@dataclass(frozen=True, slots=True)
class StopView:
    """State of a VM in a planned stop as the planner knows it.

    Attributes:
        elapsed_s: Time for which this controller has observed the VM in its present step.
        report: The VM's latest status report; None when there is no recent one.
        good_probes: Consecutive healthy status reports within the step.
        listed: Whether the platform lists the VM as live.
        fence: Fencing number of the planning lease under which this controller sends commands.
    """

    elapsed_s: float
    report: VmReport | None
    good_probes: int
    listed: bool
    fence: int


@dataclass(frozen=True, slots=True)
class StepChange:
    """Change of a VM to its next step.

    Attributes:
        step: The next step.
        reason: Why, for the event log.
        completed: Whether the planned stop is complete, with a reboot.
        failed: Whether to count a failure of the planned stop.
    """

    step: VmStep
    reason: str
    completed: bool = False
    failed: bool = False


def next_step(vm: VmAssignment, view: StopView, settings: MaintenanceSettings) -> StepChange | None:
    """Return the VM's next step, or None while it stays in its present one."""
    match vm.step:
        case VmStep.CORDONED:
            return _after_cordon(vm, view, settings)
        case VmStep.DRAINING:
            return _after_drain(vm, view, settings)
        case VmStep.REBOOTING:
            return _after_reboot(vm, view, settings)
        case VmStep.PROBING:
            return _after_probe(vm, view, settings)
        case VmStep.FAILED:
            return _after_failure(view)
    return None


def step_commands(vm_id: VmId, vm: VmAssignment, view: StopView) -> list[VmCommand]:
    """Return the commands for a VM in its present step; each is safe to send repeatedly."""
    report, fence = view.report, view.fence
    if report is None:
        return []
    same_boot = report.boot == vm.boot
    if vm.step is VmStep.DRAINING and same_boot:
        commands: list[VmCommand] = [] if report.draining else [DrainVm(vm_id, vm.boot, fence)]
        return commands + [
            CheckpointTask(vm_id, task.task_id, vm.boot, fence)
            for task in report.running
            if task.can_checkpoint and report.draining
        ]
    if vm.step is VmStep.REBOOTING and same_boot:
        return [RebootVm(vm_id, vm.boot, fence)]
    if vm.step is VmStep.PROBING and not _takes_tasks(view):
        return [UndrainVm(vm_id, report.boot, fence)]
    return []


def _takes_tasks(view: StopView) -> bool:
    # Once a VM has seen this fencing number, it refuses commands sent under an older lease.
    report = view.report
    return report is not None and not report.draining and report.fence >= view.fence


def undo_stray_drains(
    record: AssignmentMap, reports: Mapping[VmId, VmReport], fence: int
) -> list[VmCommand]:
    """Return the commands that undo drains of VMs that are in service by their record.

    Such a drain was sent by a controller that was frozen before sending and resumed too late. A VM
    whose drain was not commanded by a planner is leaving; its drain is not undone.
    """
    return [
        UndrainVm(vm_id, report.boot, fence)
        for vm_id, report in sorted(reports.items())
        if report.drain_fence > 0 and vm_id in record.vms and not record.vms[vm_id].planned_out
    ]


def _rebooted_itself(vm: VmAssignment, view: StopView) -> StepChange | None:
    if view.report is None or view.report.boot == vm.boot:
        return None
    return StepChange(VmStep.PROBING, "it has restarted")


def _after_cordon(
    vm: VmAssignment, view: StopView, settings: MaintenanceSettings
) -> StepChange | None:
    if view.elapsed_s < settings.cordon_settle_s:
        return None
    return _rebooted_itself(vm, view) or StepChange(VmStep.DRAINING, "entries have seen the cordon")


def _after_drain(
    vm: VmAssignment, view: StopView, settings: MaintenanceSettings
) -> StepChange | None:
    restarted = _rebooted_itself(vm, view)
    if restarted is not None:
        return restarted
    report = view.report
    if report is not None and report.draining and not report.running:
        return StepChange(VmStep.REBOOTING, "no task is running")
    if view.elapsed_s < settings.drain_timeout_s:
        return None
    if report is None:
        return StepChange(VmStep.FAILED, "it fell silent while draining", failed=True)
    return StepChange(
        VmStep.PROBING, f"{len(report.running)} tasks would neither end nor checkpoint", failed=True
    )


def _after_reboot(
    vm: VmAssignment, view: StopView, settings: MaintenanceSettings
) -> StepChange | None:
    if view.report is not None and view.report.boot != vm.boot:
        return StepChange(VmStep.PROBING, "it has rebooted")
    if view.elapsed_s < settings.reboot_timeout_s:
        return None
    return StepChange(VmStep.FAILED, "it has not come back from its reboot", failed=True)


def _after_probe(
    vm: VmAssignment, view: StopView, settings: MaintenanceSettings
) -> StepChange | None:
    report = view.report
    good = report is not None and report.healthy and _takes_tasks(view) and view.listed
    if good and report is not None and view.good_probes >= settings.probes_needed:
        rebooted = report.boot != vm.boot
        reason = "its probes pass" if rebooted else "its probes pass, without a reboot"
        return StepChange(VmStep.IN_SERVICE, reason, completed=rebooted)
    if view.elapsed_s < settings.probe_timeout_s:
        return None
    return StepChange(VmStep.FAILED, "its probes fail", failed=True)


def _after_failure(view: StopView) -> StepChange | None:
    report = view.report
    if report is None or not report.healthy or not view.listed:
        return None
    return StepChange(VmStep.PROBING, "it answers again")

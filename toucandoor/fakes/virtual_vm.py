"""Stand-in for a backend server's VM in virtual time, for tests and measurements."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.maintenance.models import (
    CheckpointTask,
    DrainVm,
    RebootVm,
    RunningTask,
    UndrainVm,
    VmReport,
)

if TYPE_CHECKING:
    from toucandoor.core.maintenance.models import VmCommand
    from toucandoor.ids import VmId


class VmFault(Enum):
    """Fault of a VM."""

    NEVER_COMES_BACK = "never_comes_back"
    FAILS_PROBES = "fails_probes"
    KEEPS_TASKS = "keeps_tasks"


@dataclass(slots=True)
class VirtualVm:
    """A VM with tasks that end at known times.

    Attributes:
        reboot_s: Duration of a reboot, in seconds.
        guarded: Whether commands for another boot or with an older fencing token are refused.
        boots: Number of boots.
        fence: Highest fencing token of a command since the last boot.
        drain_fence: Fencing token of the command that drained it.
        down_until_s: Time until which it doesn't answer.
        tasks: End of each running task and whether it can checkpoint.
        tasks_cut: Number of tasks that were running when the VM was rebooted on command.
        refused: Number of commands refused for their boot or fencing token.
        reboots: Number of reboots on command.
    """

    vm: VmId
    reboot_s: float = 120.0
    fault: VmFault | None = None
    guarded: bool = True
    boots: int = 1
    fence: int = 0
    draining: bool = False
    drain_fence: int = 0
    down_until_s: float = float("-inf")
    tasks: dict[str, tuple[float, bool]] = field(default_factory=dict)
    tasks_cut: int = 0
    refused: int = 0
    reboots: int = 0

    @property
    def boot(self) -> str:
        """Return the id of the present boot."""
        return f"{self.vm}-boot{self.boots}"

    def is_up(self, now_s: float) -> bool:
        """Return whether the VM answers."""
        return now_s >= self.down_until_s

    def accepts_tasks(self, now_s: float) -> bool:
        """Return whether the VM accepts tasks."""
        return self.is_up(now_s) and not self.draining

    def crash(self, now_s: float, down_s: float) -> None:
        """Stop at once, and boot again after `down_s`."""
        self.boots += 1
        self.draining, self.fence = False, 0
        self.tasks.clear()
        self.down_until_s = max(self.down_until_s, now_s + down_s)

    def report(self, now_s: float) -> VmReport | None:
        """Return the VM's status report; None while it is down."""
        if not self.is_up(now_s):
            return None
        self.tasks = {name: task for name, task in self.tasks.items() if task[0] > now_s}
        running = tuple(RunningTask(name, can) for name, (_, can) in sorted(self.tasks.items()))
        healthy = not (self.fault is VmFault.FAILS_PROBES and self.boots > 1)
        drain_fence = self.drain_fence if self.draining else 0
        return VmReport(
            self.vm, self.boot, healthy, self.draining, running, self.fence, drain_fence
        )

    def execute(self, command: VmCommand, now_s: float) -> bool:
        """Carry out a command; return False when the VM is down or refuses it."""
        if not self.is_up(now_s):
            return False
        self.report(now_s)
        match command:
            case DrainVm() | CheckpointTask() | RebootVm() | UndrainVm():
                stale = command.boot != self.boot or command.fence < self.fence
                if stale and self.guarded:
                    self.refused += 1
                    return False
                self.fence = max(command.fence, self.fence)
        match command:
            case DrainVm():
                self.draining, self.drain_fence = True, command.fence
            case UndrainVm():
                self.draining = False
            case CheckpointTask(task_id=task_id):
                if task_id in self.tasks and self.tasks[task_id][1]:
                    del self.tasks[task_id]
            case RebootVm():
                self._reboot(now_s)
        return True

    def _reboot(self, now_s: float) -> None:
        self.tasks_cut += len(self.tasks)
        self.reboots += 1
        never = self.fault is VmFault.NEVER_COMES_BACK
        self.crash(now_s, float("inf") if never else self.reboot_s)

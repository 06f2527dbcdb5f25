"""Client of a backend server's maintenance calls; see docs/worker-protocol.md."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

import urllib3

from toucandoor.core.maintenance.models import (
    CheckpointTask,
    DrainVm,
    PollVm,
    RebootVm,
    RunningTask,
    UndrainVm,
    VmReport,
    VmUnreachable,
)

if TYPE_CHECKING:
    from toucandoor.core.maintenance.models import VmCommand
    from toucandoor.ids import VmId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "worker admin:"


class WorkerAdmin:
    """Reads backend servers' state and orders them to checkpoint, drain, undrain and reboot.

    All calls block, each on a connection of its own.

    Args:
        timeout_s: Timeout to connect, and again to answer, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s)
        )

    def poll(self, vm: VmId, address: str) -> VmReport | VmUnreachable:
        """Return the status report of a VM's backend server, or that it could not be read."""
        try:
            status = self._call("GET", address, "/v1/status")
            healthy = self._http.request("GET", f"http://{address}/v1/health").status == 200
            running = tuple(
                RunningTask(str(task["id"]), bool(task.get("can_checkpoint", False)))
                for task in status["running"]
            )
            return VmReport(
                vm,
                str(status["boot"]),
                healthy,
                bool(status["draining"]),
                running,
                int(status["fence"]),
                int(status.get("drain_fence", 0)),
            )
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as err:
            _LOGGER.info("%s cannot read the status of %s at %s: %s", _PREFIX, vm, address, err)
            return VmUnreachable(vm)

    def execute(self, command: VmCommand, address: str) -> VmReport | VmUnreachable:
        """Send a command and return the VM's status report after it, also when it failed.

        A command that the backend server refuses changes nothing there.
        """
        if isinstance(command, PollVm):
            return self.poll(command.vm, address)
        try:
            self._call(
                "POST", address, _path(command), {"boot": command.boot, "fence": command.fence}
            )
        except (urllib3.exceptions.HTTPError, ValueError) as err:
            _LOGGER.warning("%s %s at %s failed: %s", _PREFIX, type(command).__name__, address, err)
        return self.poll(command.vm, address)

    def _call(
        self, method: str, address: str, path: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        headers = {"Connection": "close"}
        response = self._http.request(method, f"http://{address}{path}", json=body, headers=headers)
        answer = json.loads(response.data)
        if response.status != 200 or not isinstance(answer, dict):
            raise ValueError(f"HTTP status {response.status}: {answer}")
        return answer


def _path(command: DrainVm | UndrainVm | RebootVm | CheckpointTask) -> str:
    match command:
        case CheckpointTask(task_id=task_id):
            return f"/v1/tasks/{task_id}/checkpoint"
        case DrainVm():
            return "/v1/drain"
        case UndrainVm():
            return "/v1/undrain"
        case RebootVm():
            return "/v1/reboot"

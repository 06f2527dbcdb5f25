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
    """Asks backend servers for their state and tells them to drain, reboot and serve again.

    All calls block, each on a connection of its own.

    Args:
        timeout_s: Time to connect, and again to answer.
    """

    def __init__(self, timeout_s: float) -> None:
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s)
        )

    def ask(self, vm: VmId, address: str) -> VmReport | VmUnreachable:
        """Return a VM's own word, or that it gave none."""
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
            _LOGGER.info("%s no answer from %s at %s: %s", _PREFIX, vm, address, err)
            return VmUnreachable(vm)

    def tell(self, act: VmCommand, address: str) -> VmReport | VmUnreachable:
        """Carry an act out and return the VM's word after it; a refusal changes nothing."""
        if isinstance(act, PollVm):
            return self.ask(act.vm, address)
        try:
            self._call("POST", address, _path(act), {"boot": act.boot, "fence": act.fence})
        except (urllib3.exceptions.HTTPError, ValueError) as err:
            _LOGGER.warning("%s %s at %s: %s", _PREFIX, type(act).__name__, address, err)
        return self.ask(act.vm, address)

    def _call(
        self, method: str, address: str, path: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        headers = {"Connection": "close"}
        response = self._http.request(method, f"http://{address}{path}", json=body, headers=headers)
        answer = json.loads(response.data)
        if response.status != 200 or not isinstance(answer, dict):
            raise ValueError(f"status {response.status}: {answer}")
        return answer


def _path(act: DrainVm | UndrainVm | RebootVm | CheckpointTask) -> str:
    match act:
        case CheckpointTask(task_id=task_id):
            return f"/v1/tasks/{task_id}/checkpoint"
        case DrainVm():
            return "/v1/drain"
        case UndrainVm():
            return "/v1/undrain"
        case RebootVm():
            return "/v1/reboot"

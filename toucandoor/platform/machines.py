"""Clients for the platform's VMs, which it calls machines, and for the adviser of queues."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

from toucandoor.core.jobs.models import StepKey
from toucandoor.core.scheduling.workers import (
    Advice,
    AdvicePort,
    OrderRefusal,
    OrderRefusedError,
    OrderUnansweredError,
    VmEntry,
    VmPort,
    VmRefusal,
    VmRefusedError,
    VmState,
)
from toucandoor.ids import DataCentreId, FencingToken, PoolId, VmId, WorkerId
from toucandoor.platform.http import (
    Answer,
    AnswerUnreadableError,
    CallNotSentError,
    CallUnansweredError,
)
from toucandoor.platform.wire import WireResources

if TYPE_CHECKING:
    from collections.abc import Mapping

    from toucandoor.platform.http import PlatformHttp

VM_ORDER_TIMEOUT_S: Final = 1.5
"""Time-out of a call about VMs; below the time within which two owners must not order the same VM
in turn."""
HOLDER_HEADER: Final = "X-Toucandoor-Lease-Holder"
TOKEN_HEADER: Final = "X-Toucandoor-Fencing-Token"

_STATES = {
    "up": VmState.UP,
    "moving": VmState.MOVING,
    "upkeep": VmState.MAINTENANCE,
    "down": VmState.DOWN,
}
_REFUSALS = {
    "fence": VmRefusal.FENCED,
    "busy": VmRefusal.BUSY,
    "wave": VmRefusal.NOT_IN_WAVE,
}


class _Machine(msgspec.Struct, frozen=True):
    """A VM in the platform's VM list.

    Attributes:
        machine: Id of the VM.
        zone: Its data centre.
        id: Id of the backend server on the VM; None if there is none.
    """

    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: WireResources = WireResources()
    id: str | None = None


class _Page(msgspec.Struct, frozen=True):
    machines: list[_Machine]
    next_token: str | None = None


class _Reason(msgspec.Struct, frozen=True):
    reason: str = ""


class _Advice(msgspec.Struct, frozen=True):
    """Answer of the adviser.

    Attributes:
        approved: Id and ticket of each backend server that may run the step.
        validity_ms: Time for which the tickets are valid.
    """

    approved: list[tuple[str, str]]
    validity_ms: int = 0


class PlatformVms(VmPort):
    """Client for the platform's VMs over HTTP."""

    def __init__(self, http: PlatformHttp, address: str) -> None:
        self._http = http
        self._address = address

    def list(self) -> tuple[VmEntry, ...]:
        """Return all VMs."""
        entries: list[VmEntry] = []
        token = ""
        while True:
            answer = self._call("list", "GET", "/-/machines", query={"page_token": token})
            try:
                page = answer.decode(_Page)
            except AnswerUnreadableError as err:
                raise OrderUnansweredError(err.reason, step=err.step, peer=err.peer) from err
            entries += [_vm_entry(machine) for machine in page.machines]
            if not page.next_token:
                return tuple(entries)
            token = page.next_token

    def move(self, vm_id: VmId, pool: PoolId, holder: str, token: FencingToken) -> None:
        """Move a VM to another pool."""
        self._order("move", "/-/machine-move", {"machine": vm_id, "pool": pool}, holder, token)

    def start_maintenance(self, vm_id: VmId, wave: int, holder: str, token: FencingToken) -> None:
        """Start the maintenance of a VM."""
        body = {"machine": vm_id, "rollout_wave": wave}
        self._order("maintain", "/-/machine-upkeep", body, holder, token)

    def _order(
        self, name: str, path: str, body: dict[str, Any], holder: str, token: FencingToken
    ) -> None:
        headers = {HOLDER_HEADER: holder, TOKEN_HEADER: str(token)}
        self._call(name, "POST", path, body=body, headers=headers)

    def _call(
        self,
        name: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        step = f"machines.{name}"
        try:
            answer = self._http.call(
                method,
                self._address,
                path,
                step=step,
                timeout_s=VM_ORDER_TIMEOUT_S,
                body=body,
                query={key: value for key, value in (query or {}).items() if value},
                headers=headers,
            )
        except CallNotSentError as err:
            raise VmRefusedError(VmRefusal.UNAVAILABLE, step=step, peer=err.peer) from err
        except CallUnansweredError as err:
            raise OrderUnansweredError(err.reason, step=step, peer=err.peer) from err
        if answer.status == 200:
            return answer
        raise VmRefusedError(_vm_refusal(answer), step=step, peer=answer.peer)


def _vm_refusal(answer: Answer) -> VmRefusal:
    if answer.status == 429:
        return VmRefusal.RATE_LIMITED
    if answer.status == 503:
        return VmRefusal.UNAVAILABLE
    if answer.status != 409:
        return VmRefusal.REJECTED
    try:
        return _REFUSALS.get(answer.decode(_Reason).reason, VmRefusal.REJECTED)
    except AnswerUnreadableError:
        return VmRefusal.REJECTED


def _vm_entry(machine: _Machine) -> VmEntry:
    return VmEntry(
        vm_id=VmId(machine.machine),
        pool=PoolId(machine.pool),
        state=_STATES.get(machine.state, VmState.UNKNOWN),
        data_centre=DataCentreId(machine.zone),
        labels=tuple(machine.labels),
        capacity=machine.capacity.resources,
        worker_id=WorkerId(machine.id) if machine.id else None,
    )


class PlatformAdvice(AdvicePort):
    """Client for the adviser over HTTP."""

    def __init__(self, http: PlatformHttp, address: str) -> None:
        self._http = http
        self._address = address

    def advise(self, step_key: StepKey, workers: tuple[WorkerId, ...], timeout_s: float) -> Advice:
        """Return which of the given backend servers may run a step."""
        step = "advice.ask"
        name = f"{step_key.job_id}.{step_key.occurrence}.{step_key.step}"
        try:
            answer = self._http.call(
                "POST",
                self._address,
                "/-/advise",
                step=step,
                timeout_s=timeout_s,
                body={"phase": name, "workers": list(workers)},
            )
            if answer.status == 429:
                raise OrderRefusedError(OrderRefusal.UNHEALTHY, step=step, peer=answer.peer)
            if answer.status != 200:
                raise OrderRefusedError(OrderRefusal.REJECTED, step=step, peer=answer.peer)
            advice = answer.decode(_Advice)
        except (CallNotSentError, CallUnansweredError, AnswerUnreadableError) as err:
            raise OrderUnansweredError(err.reason, step=step, peer=err.peer) from err
        tickets = {WorkerId(worker_id): ticket for worker_id, ticket in advice.approved}
        return Advice(tickets, advice.validity_ms / 1000)

"""Operators' commands about pools and maintenance."""

from __future__ import annotations

import asyncio
import uuid
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any, Final

from toucandoor.adapters.threads import async_call
from toucandoor.core.maintenance.event_log import events_between
from toucandoor.core.maintenance.lease import lease_key
from toucandoor.core.maintenance.orders import MaintainOrder, MaintainOrderSession
from toucandoor.core.pools.models import FleetRead, ReadFleet, StoreUnavailable, Swap
from toucandoor.core.pools.move import MoveEnded, MoveOrder, MoveOutcome, MoveSession
from toucandoor.exceptions import StoreError, StoreUnavailableError
from toucandoor.ids import DataCentreId, OperationId, PoolId, VmId
from toucandoor.messages import OperatorReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.fleet_maps import FleetMaps
    from toucandoor.adapters.fleet_store import FleetStore
    from toucandoor.adapters.fleet_task import FleetTask
    from toucandoor.clock import Clock
    from toucandoor.core.pools.models import FleetEvent, StoreAnswer

RENEWAL_OBSERVATION_S: Final = 7.0
_ERROR_OF_OUTCOME = {
    MoveOutcome.REFUSED: "refused",
    MoveOutcome.NOT_MOVED: "store",
    MoveOutcome.UNKNOWN: "unknown",
}


class FleetCommands:
    """Carries out the commands ``move``, ``drain``, ``wave`` and ``explain`` for the fleet."""

    def __init__(
        self,
        fleet: FleetTask,
        maps: FleetMaps,
        store: FleetStore,
        clock: Clock,
        unavailable: Callable[[], frozenset[VmId]],
    ) -> None:
        self._fleet = fleet
        self._maps = maps
        self._store = store
        self._clock = clock
        self._unavailable = unavailable

    async def async_move(self, arguments: dict[str, Any]) -> OperatorReply:
        """Move a VM to another pool."""
        order = MoveOrder(
            OperationId(str(arguments.get("operation") or uuid.uuid4().hex)),
            VmId(str(arguments["vm"])),
            PoolId(str(arguments["source"])),
            PoolId(str(arguments["target"])),
            str(arguments.get("operator", "operator")),
        )
        unmonitored = await self._async_unmonitored()
        return _reply(await self._async_run(MoveSession(order), unmonitored))

    async def async_maintain(self, arguments: dict[str, Any]) -> OperatorReply:
        """Order maintenance of one VM, or of every VM of a data centre."""
        vm = arguments.get("vm")
        data_centre = arguments.get("data_centre") or self._data_centre_of(str(vm))
        order = MaintainOrder(
            OperationId(str(arguments.get("operation") or uuid.uuid4().hex)),
            DataCentreId(str(data_centre)),
            VmId(str(vm)) if vm else None,
            str(arguments.get("operator", "operator")),
        )
        return _reply(await self._async_run(MaintainOrderSession(order), frozenset()))

    async def async_explain_vm(self, arguments: dict[str, Any]) -> OperatorReply:
        """Return a VM's assignment, its recent events, and why it is not being drained."""
        vm = VmId(str(arguments["vm"]))
        record = next((each for each in self._maps.maps.values() if vm in each.vms), None)
        if record is None:
            return OperatorReply(False, "not_found", f"VM {vm} is in no assignment map")
        assignment = record.vms[vm]
        lines = [f"pool {assignment.pool}, home {assignment.home}, {assignment.step.value}"]
        lines.append(f"last maintained {assignment.maintained_at or 'never'}")
        lines.append(self._obstacle_text(vm, record.data_centre))
        hours = float(arguments.get("hours", 24 * 7))
        events = await self._async_events(record.data_centre, hours, vm)
        lines += [_event_text(event) for event in events]
        return OperatorReply(True, body={"vm": vm, "lines": lines})

    async def async_explain_fleet(self, arguments: dict[str, Any]) -> OperatorReply:
        """Return the fleet's events of the last hours, with their reasons."""
        hours = float(arguments.get("hours", 12))
        found = []
        for data_centre in sorted(self._maps.maps):
            found += await self._async_events(data_centre, hours, None)
        lines = [_event_text(event) for event in sorted(found, key=lambda event: event.at)]
        return OperatorReply(True, body={"hours": hours, "lines": lines})

    def _obstacle_text(self, vm: VmId, data_centre: DataCentreId) -> str:
        now_s = self._clock.monotonic_s()
        planner = self._fleet.planner
        if data_centre != self._fleet.data_centre or not planner.lease.held(now_s):
            return (
                "not planned here; ask the controller that holds the lease: "
                + self._lease_holder(data_centre)
            )
        return planner.explain(vm, now_s, self._clock.now()).text

    def _lease_holder(self, data_centre: DataCentreId) -> str:
        read = self._store.read_lease(lease_key(data_centre))
        if isinstance(read, StoreUnavailable) or read.record is None:
            return "unknown"
        return read.record.holder or "nobody"

    def _data_centre_of(self, vm: str) -> str:
        for data_centre, record in self._maps.maps.items():
            if vm in record.vms:
                return data_centre
        raise ValueError(f"VM {vm} is in no assignment map")

    async def _async_events(
        self, data_centre: DataCentreId, hours: float, vm: VmId | None
    ) -> list[FleetEvent]:
        segments = await async_call(lambda: self._store.read_segments(data_centre))
        length = timedelta(hours=hours)
        start: datetime = self._clock.now() - length
        waiting = self._maps.maps[data_centre].events
        return events_between(segments, waiting, start, length + timedelta(minutes=5), vm)

    async def _async_unmonitored(self) -> frozenset[DataCentreId]:
        """Return the data centres whose lease is not renewed within `RENEWAL_OBSERVATION_S`.

        With VMs in fewer than two data centres it returns none and doesn't wait.
        """
        first = await self._async_read(frozenset())
        if sum(bool(record.vms) for record in first.maps.values()) < 2:
            return frozenset()
        await asyncio.sleep(RENEWAL_OBSERVATION_S)
        second = await self._async_read(frozenset())
        return frozenset(
            data_centre
            for data_centre in second.maps
            if second.revisions.get(lease_key(data_centre), 0)
            == first.revisions.get(lease_key(data_centre), 0)
        )

    async def _async_read(self, unmonitored: frozenset[DataCentreId]) -> FleetRead:
        read = await async_call(lambda: self._store.read_fleet(()))
        if isinstance(read, StoreUnavailable):
            raise StoreUnavailableError("the store is unavailable", step="fleet.read")
        return FleetRead(read.maps, read.ledger, read.revisions, self._unavailable(), unmonitored)

    async def _async_run(
        self, session: MoveSession | MaintainOrderSession, unmonitored: frozenset[DataCentreId]
    ) -> MoveEnded:
        decision = session.start()
        while not isinstance(decision, MoveEnded):
            if isinstance(decision, ReadFleet):
                try:
                    read = await self._async_read(unmonitored)
                except StoreError:
                    decision = session.on_answer(StoreUnavailable("fleet"))
                else:
                    decision = session.on_read(read, self._clock.now())
            else:
                decision = session.on_answer(await self._async_swap(decision))
        return decision

    async def _async_swap(self, swap: Swap) -> StoreAnswer:
        return await async_call(lambda: self._store.swap(swap))


def _reply(ended: MoveEnded) -> OperatorReply:
    body = {"operation": ended.operation, "outcome": ended.outcome.value}
    if ended.outcome is MoveOutcome.MOVED:
        return OperatorReply(True, body=body)
    return OperatorReply(False, _ERROR_OF_OUTCOME[ended.outcome], ended.reason, body)


def _event_text(event: FleetEvent) -> str:
    parts = [event.at.isoformat(timespec="seconds"), event.kind.value]
    parts += [str(each) for each in (event.vm, event.pool) if each]
    return f"{' '.join(parts)}: {event.reason} ({event.actor})"

"""Controller task that runs the maintenance planner and carries out its decisions."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.adapters.fleet_maps import FleetMaps
from toucandoor.adapters.fleet_store import FleetStore
from toucandoor.adapters.threads import async_call
from toucandoor.adapters.vm_list_task import ListedState
from toucandoor.adapters.worker_admin import WorkerAdmin
from toucandoor.clock import SystemClock
from toucandoor.core.maintenance.event_log import ReadLog
from toucandoor.core.maintenance.lease import ReadLease
from toucandoor.core.maintenance.models import (
    ConfigurationInForce,
    MaintenanceSettings,
    ServiceSignals,
    Tick,
    VmListRead,
)
from toucandoor.core.maintenance.planner import MaintenancePlanner
from toucandoor.core.pools.models import FleetRead, ReadFleet, Swap, SwapDone, assignment_key
from toucandoor.messages import VmState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from toucandoor.adapters.configuration_task import ConfigurationTask
    from toucandoor.adapters.settings import ControllerSettings
    from toucandoor.adapters.store_client import Store
    from toucandoor.adapters.vm_list_task import VmListTask
    from toucandoor.clock import Clock
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.core.maintenance.models import VmCommand
    from toucandoor.core.maintenance.planner import PlannerDecision, PlannerEvent
    from toucandoor.core.pools.models import AssignmentMap, StoreUnavailable
    from toucandoor.ids import DataCentreId, VmId
    from toucandoor.messages import ServiceReport

_LOGGER = logging.getLogger(__name__)
_PREFIX = "fleet:"
_RETRY_S = 0.5
_STEPS_PER_TICK = 6


class FleetTask:
    """Runs the maintenance planner of one data centre.

    The planner handles its events on the event loop only, never in the threads that make calls.

    Args:
        signals: Returns the service signals received since its last call, None without any.
        period_s: Time between two ticks, in seconds.
    """

    def __init__(
        self,
        planner: MaintenancePlanner,
        data_centre: DataCentreId,
        fleet_store: FleetStore,
        workers: WorkerAdmin,
        maps: FleetMaps,
        configuration: ConfigurationTask,
        vm_list: VmListTask,
        clock: Clock,
        signals: Callable[[], ServiceSignals | None],
        period_s: float,
    ) -> None:
        self.planner = planner
        self.data_centre = data_centre
        self._store = fleet_store
        self._workers = workers
        self._maps = maps
        self._own_revision: int | None = None
        self._configuration = configuration
        self._vm_list = vm_list
        self._clock = clock
        self._signals = signals
        self._period_s = period_s
        self._observed_version = -1

    async def async_run(self) -> None:
        """Run the planner until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            self._pass_observations()
            await self._async_tick()
            spent_s = self._clock.monotonic_s() - started_s
            await asyncio.sleep(max(0.05, self._period_s - spent_s))

    async def async_release(self) -> None:
        """Release the planning lease, so that a successor need not wait until it expires."""
        swap = self.planner.release(self._clock.monotonic_s())
        if swap is not None:
            await async_call(lambda: self._store.swap(swap))

    def _pass_observations(self) -> None:
        head = self._configuration.head
        if head is not None and head.version != self._observed_version:
            self._observed_version = head.version
            self._handle_event(ConfigurationInForce(head.version, head.configuration))
        if head is not None and self._vm_list.last_read_s is not None:
            vms = head.configuration.vms
            live = {
                each.vm: each.data_centre or vms[each.vm].data_centre
                for each in self._vm_list.listed
                if each.vm in vms
            }
            leaving = frozenset(
                each.vm for each in self._vm_list.listed if each.state is ListedState.LEAVING
            )
            age_s = self._clock.monotonic_s() - self._vm_list.last_read_s
            self._handle_event(VmListRead(live, leaving, age_s))
        signals = self._signals()
        if signals is not None:
            self._handle_event(signals)

    async def _async_tick(self) -> None:
        """Carry out the planner's decisions, round by round, until it makes none."""
        for _ in range(_STEPS_PER_TICK):
            decisions = self._handle_event(Tick())
            if not decisions:
                return
            await asyncio.gather(*(self._async_carry_out(each) for each in decisions))

    def _handle_event(self, event: PlannerEvent) -> list[PlannerDecision]:
        return self.planner.handle(event, self._clock.monotonic_s(), self._clock.now())

    async def _async_carry_out(self, decision: PlannerDecision) -> None:
        event = await self._async_execute(decision)
        if event is None:
            return
        for follow_up in self._handle_event(event):
            await self._async_carry_out(follow_up)

    async def _async_execute(self, decision: PlannerDecision) -> PlannerEvent | None:
        match decision:
            case Swap():
                answer = await async_call(lambda: self._store.swap(decision))
                if answer.key == assignment_key(self.data_centre):
                    # Without a confirmed revision, the own map must be read from the store.
                    self._own_revision = answer.revision if isinstance(answer, SwapDone) else None
                return answer
            case ReadLease(key=key):
                return await async_call(lambda: self._store.read_lease(key))
            case ReadFleet():
                return await self._async_read_fleet()
            case ReadLog(data_centre=data_centre):
                return await async_call(lambda: self._store.read_log(data_centre))
        return await self._async_send_command(decision)

    async def _async_read_fleet(self) -> FleetRead | StoreUnavailable:
        head = self._configuration.head
        known = {*(head.configuration.data_centres if head else ()), self.data_centre}
        followed = self._maps.revisions()
        own = followed.get(assignment_key(self.data_centre), 0)
        if self._own_revision is None or own < self._own_revision or not self._maps.is_fresh():
            read = await async_call(lambda: self._store.read_fleet(known))
            if isinstance(read, FleetRead):
                self._own_revision = read.revisions[assignment_key(self.data_centre)]
            return read
        maps = dict(self._maps.maps)
        return await async_call(lambda: self._store.read_fleet_with_maps(known, maps, followed))

    async def _async_send_command(self, command: VmCommand) -> PlannerEvent | None:
        head = self._configuration.head
        if head is None or command.vm not in head.configuration.vms:
            return None
        address = head.configuration.vms[command.vm].address

        def send() -> PlannerEvent | None:
            # The thread may have started late: the lease must be valid when the command is sent.
            if not self.planner.lease.may_finish(self._clock.monotonic_s()):
                return None
            return self._workers.execute(command, address)

        return await async_call(send)


def vm_states(
    configuration: Configuration,
    leaving: set[VmId],
    maps: dict[DataCentreId, AssignmentMap],
) -> list[VmState]:
    """Return the states, for the entries, of all VMs whose state the configuration doesn't give.

    These are VMs that serve another pool than configured, are cordoned or are leaving.
    """
    states = []
    for vm_id, vm in configuration.vms.items():
        record = maps.get(vm.data_centre)
        assigned = record.vms.get(vm_id) if record else None
        pool = assigned.pool if assigned else vm.pool
        cordoned = assigned.planned_out if assigned else False
        if pool != vm.pool or cordoned or vm_id in leaving:
            states.append(VmState(vm_id, pool, leaving=vm_id in leaving, cordoned=cordoned))
    return states


class LatestServiceSignals:
    """Service signals from the latest report of this VM's entry."""

    def __init__(self) -> None:
        self._signals: ServiceSignals | None = None

    def on_report(self, report: ServiceReport) -> None:
        """Store the signals of a report, in place of earlier ones."""
        late_ratio = report.urgent_late / max(1, report.urgent_started)
        self._signals = ServiceSignals(late_ratio, report.share_error_ratio)

    def pop_signals(self) -> ServiceSignals | None:
        """Return the signals received since the last call, None without any."""
        signals, self._signals = self._signals, None
        return signals


@dataclass(frozen=True, slots=True)
class FleetComponents:
    """The components of a controller that manage pools and maintenance."""

    task: FleetTask
    maps: FleetMaps
    store: FleetStore
    clock: Clock
    vm_list: VmListTask

    def unavailable(self) -> frozenset[VmId]:
        """Return the VMs of all assignment maps that the platform does not list as live."""
        live = {each.vm for each in self.vm_list.listed if each.state is ListedState.LIVE}
        return frozenset(
            vm for record in self.maps.maps.values() for vm in record.vms if vm not in live
        )


def create_fleet(
    settings: ControllerSettings,
    store: Store,
    configuration: ConfigurationTask,
    vm_list: VmListTask,
    announce: Callable[[], Awaitable[None]],
    signals: Callable[[], ServiceSignals | None],
) -> FleetComponents:
    """Create the components of a controller that manage pools and maintenance."""
    clock = SystemClock()
    fleet_store = FleetStore(store)
    planner = MaintenancePlanner(
        planner_process_id(settings.entry_id),
        settings.data_centre,
        MaintenanceSettings(
            lease_s=settings.planning_lease_s,
            renew_every_s=settings.planning_lease_s / 3,
            interval_s=settings.maintenance_interval_s,
            drain_timeout_s=settings.drain_timeout_s,
            reboot_timeout_s=settings.reboot_timeout_s,
        ),
    )
    workers = WorkerAdmin(settings.store_timeout_s)
    maps = FleetMaps(store, settings.watch_wait_s, clock, announce)
    task = FleetTask(
        planner,
        settings.data_centre,
        fleet_store,
        workers,
        maps,
        configuration,
        vm_list,
        clock,
        signals,
        settings.planner_period_s,
    )
    return FleetComponents(task, maps, fleet_store, clock, vm_list)


def planner_process_id(entry_id: str) -> str:
    """Return an id of the planner that no later start of this controller uses again."""
    return f"{entry_id}@{time.time_ns()}"

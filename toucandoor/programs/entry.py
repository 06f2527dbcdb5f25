"""``toucandoor-entry``: receives callers' requests and runs them on backend servers."""

from __future__ import annotations

import asyncio
import logging
import threading
import time
import uuid
from random import Random
from typing import TYPE_CHECKING

import typer

from toucandoor.adapters.caller_http import CallerApp, EntryState
from toucandoor.adapters.caller_server import make_caller_server
from toucandoor.adapters.claims import ClaimClient, OwnedClaims, make_claims_servers
from toucandoor.adapters.controller_link import ControllerLink
from toucandoor.adapters.engine_loop import EngineLoop
from toucandoor.adapters.entry_ceilings import EntryCeilings
from toucandoor.adapters.errands import WorkerDecisionExecutor
from toucandoor.adapters.idempotency import IdempotencyGuard
from toucandoor.adapters.metrics import EntryMetrics, make_ops_app
from toucandoor.adapters.settings import EntrySettings
from toucandoor.adapters.stopping import StopSignal
from toucandoor.adapters.threads import async_call
from toucandoor.adapters.worker_client import WorkerClient
from toucandoor.adapters.wsgi import make_server
from toucandoor.clock import SystemClock
from toucandoor.core.admission.coordinator import AdmissionCoordinator
from toucandoor.core.admission.lending import LendToUrgent
from toucandoor.core.attempts.budget import RetryBudget
from toucandoor.core.attempts.tracker import AttemptTracker
from toucandoor.core.ceilings.demand import CountedQueue
from toucandoor.core.ceilings.entry import EntryPermits
from toucandoor.core.ceilings.models import Member
from toucandoor.core.configuration.models import Configuration, QueueConfig
from toucandoor.core.keys import KeyRing
from toucandoor.core.leases.sessions import DelegatedLease
from toucandoor.core.requests.engine import RequestEngine
from toucandoor.core.requests.models import BackendServer
from toucandoor.core.routing.shared_load import SharedLoadRouting
from toucandoor.ids import AttemptId, QueueId, VmId
from toucandoor.messages import VmState
from toucandoor.programs.starting import PrintSettingsOption, SettingsFileOption, start

if TYPE_CHECKING:
    from collections.abc import Callable

_LOGGER = logging.getLogger(__name__)
_PREFIX = "entry:"
SERVICE_REPORT_INTERVAL_S = 2.0
_STOP_STEP_TIMEOUT_S = 2.0
"""Maximum time that each step of a stop waits, after the grace period for open requests."""


class Entry:
    """State of one entry process; it is only changed from the asyncio loop."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._lease = DelegatedLease()
        self._link = ControllerLink(
            settings,
            self.configure,
            self.update_states,
            self._lease,
            self._clock,
            lambda request_id: self.loop.journal.explain(request_id),
            lambda envelope: self._ceilings.on_message(envelope),
        )
        self._permits = EntryPermits(Member(settings.entry_id, self._link.incarnation), self._lease)
        self._workers = WorkerClient(settings.connect_timeout_s)
        self._admission = AdmissionCoordinator(LendToUrgent(), settings.entries_total)
        self._routing = SharedLoadRouting(Random(), settings.data_centre, settings.entries_total)
        self._engine = RequestEngine(
            make_queue=self._make_queue,
            admission=self._admission,
            routing=self._routing,
            tracker=AttemptTracker(
                RetryBudget(Random()), self._routing.is_healthy, self._permits.may_renew
            ),
            permits=self._permits,
            lease=self._lease,
            new_attempt_id=lambda: AttemptId(uuid.uuid4().hex),
        )
        executor = WorkerDecisionExecutor(self._workers)
        self.loop = EngineLoop(self._engine, self._clock, executor.perform)
        executor.post = self.loop.post
        self._ceilings = EntryCeilings(
            self._permits, self._clock, self.loop.call_soon, self._link.post
        )
        self._configuration: Configuration | None = None
        self._keys: KeyRing | None = None
        self._vm_states: dict[VmId, VmState] = {}
        self._stopping = False
        self._metrics = EntryMetrics()

    async def async_run(self) -> None:
        """Serve until a stop is requested."""
        settings, stop, metrics = self._settings, StopSignal(), self._metrics
        state = EntryState(lambda: self._keys, self._is_open_queue, lambda: self._stopping)
        owned_claims = OwnedClaims(settings, self._clock)
        guard = IdempotencyGuard(ClaimClient(settings, owned_claims), self._workers, self._clock)
        app = CallerApp(
            self.loop, self._workers, metrics, self._clock, state, settings.entry_id, guard
        )
        callers = make_caller_server(settings, app, self._clock)
        ops_app = make_ops_app(
            self._not_ready_reason, lambda: metrics.set_in_flight(self._engine.counts())
        )
        ops = make_server(settings.ops_address, ops_app, 2)
        tasks = [asyncio.create_task(self.loop.async_run())]
        tasks.append(asyncio.create_task(self._link.async_run()))
        tasks.append(asyncio.create_task(self._ceilings.async_run()))
        tasks.append(asyncio.create_task(self._async_send_service_reports()))
        servers = [callers, ops, *make_claims_servers(settings, owned_claims)]
        for server in servers:
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        _LOGGER.info("%s serving at %s", _PREFIX, settings.caller_address)
        await stop.requested.wait()
        await self._async_drain(stop)
        await self.loop.async_refuse_all(_STOP_STEP_TIMEOUT_S)
        await self._ceilings.async_leave(_STOP_STEP_TIMEOUT_S)
        await self._link.async_send_goodbye()
        for task in tasks:
            task.cancel()
        stopping = [asyncio.create_task(async_call(server.stop)) for server in servers]
        await asyncio.wait(stopping, timeout=_STOP_STEP_TIMEOUT_S)
        _LOGGER.info("%s stopped", _PREFIX)

    async def _async_send_service_reports(self) -> None:
        while True:
            self._link.post(self._metrics.service_report())
            await asyncio.sleep(SERVICE_REPORT_INTERVAL_S)

    def configure(
        self, version: int, configuration: Configuration, on_in_force: Callable[[], None]
    ) -> None:
        """Put a configuration in force between two engine events, then call ``on_in_force``."""

        def switch() -> None:
            self._configure(version, configuration)
            on_in_force()

        self.loop.call_soon(switch)

    def update_states(self, states: list[VmState]) -> None:
        """Replace the VM states reported by the controller, between two engine events."""
        self.loop.call_soon(lambda: self._update_states(states))

    def _configure(self, version: int, configuration: Configuration) -> None:
        self._configuration = configuration
        self._keys = KeyRing(configuration)
        self._metrics.urgent_target_s = configuration.policy.urgent_start_target_s
        self._engine.configure(configuration, self._clock.monotonic_s())
        self._workers.task_lease_s = configuration.policy.task_lease_s
        self._permits.set_task_lease(configuration.policy.task_lease_s)
        self._update_workers()
        _LOGGER.info("%s configuration %s is in force", _PREFIX, version)

    def _update_states(self, states: list[VmState]) -> None:
        self._vm_states = {state.vm: state for state in states}
        self._update_workers()

    def _update_workers(self) -> None:
        if self._configuration is None:
            return
        workers = []
        for vm_id, vm in self._configuration.vms.items():
            state = self._vm_states.get(vm_id, VmState(vm_id, vm.pool))
            workers.append(
                BackendServer(
                    vm=vm_id,
                    pool=state.pool,
                    address=vm.address,
                    slots=vm.slots,
                    connections=vm.connections,
                    data_centre=vm.data_centre,
                    rack=vm.rack,
                    leaving=state.leaving,
                    cordoned=state.cordoned,
                )
            )
        self._engine.update_workers(workers, self._clock.monotonic_s())

    def _is_open_queue(self, queue_id: QueueId) -> bool | None:
        queue = self._configuration.queues.get(queue_id) if self._configuration else None
        return None if queue is None else queue.open_to_all

    def _make_queue(self, queue: QueueConfig) -> CountedQueue:
        return CountedQueue(self._admission.make_queue(queue), self._ceilings.waiting)

    def _not_ready_reason(self) -> str:
        if self._stopping:
            return "stopping"
        if not self._configuration:
            return "no configuration yet"
        return "" if self._lease.was_renewed else "no lease yet"

    async def _async_drain(self, stop: StopSignal) -> None:
        self._stopping = True
        _LOGGER.info("%s stopping, waiting for open requests to finish", _PREFIX)
        until_s = time.monotonic() + self._settings.stop_grace_s
        while any(self._engine.counts().values()) and time.monotonic() < until_s:
            await stop.async_sleep(0.05)
            if stop.at_once.is_set():
                return


def _command(
    settings_file: SettingsFileOption = None, print_settings: PrintSettingsOption = False
) -> None:
    """Receive callers' requests and run them on backend servers."""
    start(EntrySettings, settings_file, print_settings, _async_main)


async def _async_main(settings: EntrySettings) -> None:
    await Entry(settings).async_run()


def main() -> None:
    """Run the program."""
    typer.run(_command)


if __name__ == "__main__":
    main()

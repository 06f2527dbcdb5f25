"""``toucandoor-controller``: control program of one entry VM."""

from __future__ import annotations

import asyncio
import logging
import threading
import time
from typing import TYPE_CHECKING, Any

import typer
from websockets.asyncio.server import ServerConnection, serve

from toucandoor.adapters.ceiling_task import CeilingTask
from toucandoor.adapters.configuration_task import ConfigurationTask, Head
from toucandoor.adapters.explain_task import ExplainTask
from toucandoor.adapters.fleet_commands import FleetCommands
from toucandoor.adapters.fleet_task import LatestServiceSignals, create_fleet, vm_states
from toucandoor.adapters.in_force_task import InForceTask
from toucandoor.adapters.link import Link, authenticate
from toucandoor.adapters.metrics import make_ops_app
from toucandoor.adapters.operator_api import OperatorApi
from toucandoor.adapters.settings import ControllerSettings, split_address
from toucandoor.adapters.slots_task import SlotsTask
from toucandoor.adapters.stopping import StopSignal
from toucandoor.adapters.store_client import HttpStore
from toucandoor.adapters.vm_list_task import ListedState, ListedVm, VmListTask
from toucandoor.adapters.wsgi import make_server
from toucandoor.ceiling_messages import CeilingEnvelope
from toucandoor.clock import SystemClock
from toucandoor.exceptions import MessageError
from toucandoor.ids import ConfigVersion, IncarnationId
from toucandoor.messages import (
    MESSAGE_BYTES_MAX,
    PROTOCOL_VERSION,
    ConfigurationAck,
    ConfigurationPush,
    ExplainAnswer,
    Hello,
    Message,
    OperatorProgress,
    OperatorRequest,
    ServiceReport,
    VmState,
    VmStatesPush,
)
from toucandoor.peer_messages import (
    ContentQuery,
    EntryGoodbye,
    LeaseAnswer,
    LeaseQuery,
    PeerGoodbye,
    PeerPoll,
    PeerPollAnswer,
)
from toucandoor.programs.starting import PrintSettingsOption, SettingsFileOption, start

if TYPE_CHECKING:
    from websockets.http11 import Request, Response

_LOGGER = logging.getLogger(__name__)
_PREFIX = "controller:"
_PROGRESS_PERIOD_S = 1.0


class Controller:
    """Connects the controller's tasks with each other and with its links."""

    def __init__(self, settings: ControllerSettings) -> None:
        self._settings = settings
        self._incarnation = IncarnationId(time.time_ns())
        self._store = HttpStore(settings.store_address, settings.store_timeout_s)
        self._configuration = ConfigurationTask(
            self._store, settings.watch_wait_s, self._async_on_configuration
        )
        self._vm_list = VmListTask(
            settings.vm_list_address, settings.vm_list_period_s, self._async_on_vm_list
        )
        clock = SystemClock()
        self._in_force = InForceTask(settings, self._incarnation, self._configuration, clock)
        self._slots = SlotsTask(settings, self._configuration, self._in_force, clock)
        self._operators = OperatorApi(
            self._configuration,
            self._in_force,
            self._slots,
            settings.accept_wait_s,
            self._status,
        )
        # Version that the entry on each link last acknowledged; 0 before the first.
        self._entries: dict[Link, int] = {}
        self._ceilings = CeilingTask(
            settings,
            self._incarnation,
            self._store,
            self._in_force.node.connectivity_lease(),
            clock,
            self._async_send_entries,
        )
        self._explain = ExplainTask(settings.entry_id, lambda: self._entries)
        self._operators.register("explain_request", self._explain.async_explain_request)
        self._listed: list[ListedVm] = []
        self._service = LatestServiceSignals()
        self._fleet = create_fleet(
            settings,
            self._store,
            self._configuration,
            self._vm_list,
            self._async_push_states,
            self._service.pop_signals,
        )
        self._register_fleet_commands()

    async def async_run(self) -> None:
        """Serve until a stop is requested."""
        settings, stop = self._settings, StopSignal()
        host, port = split_address(settings.link_address)
        ops = make_server(
            settings.ops_address, make_ops_app(self._not_ready_reason, lambda: None), 2
        )
        ops.prepare()
        threading.Thread(target=ops.serve, daemon=True).start()
        tasks = [
            asyncio.create_task(self._configuration.async_run()),
            asyncio.create_task(self._vm_list.async_run()),
            asyncio.create_task(self._in_force.async_run()),
            asyncio.create_task(self._slots.async_register()),
            asyncio.create_task(self._fleet.maps.async_run()),
            asyncio.create_task(self._fleet.task.async_run()),
            asyncio.create_task(self._ceilings.async_run()),
        ]
        async with serve(
            self._async_connection,
            host,
            port,
            process_request=self._authenticate,
            max_size=MESSAGE_BYTES_MAX,
            compression=None,
            ping_interval=20,
            ping_timeout=10,
        ):
            _LOGGER.info("%s serving at %s", _PREFIX, settings.link_address)
            await stop.requested.wait()
            await self._in_force.async_stop()
            await self._ceilings.async_stop()
        for task in tasks:
            task.cancel()
        await self._fleet.task.async_release()
        ops.stop()
        _LOGGER.info("%s stopped", _PREFIX)

    def _authenticate(self, connection: ServerConnection, request: Request) -> Response | None:
        peer = self._settings.peer_secret.get_secret_value()
        operator = self._settings.operator_secret.get_secret_value()
        secrets = {"/entry": peer, "/peer": peer, "/operator": operator}
        return authenticate(connection, request, secrets)

    async def _async_connection(self, connection: ServerConnection) -> None:
        assert connection.request is not None
        link = Link(connection, str(connection.remote_address))
        handlers = {
            "/entry": self._async_serve_entry,
            "/operator": self._async_serve_operator,
            "/peer": self._async_serve_peer,
        }
        try:
            await handlers[connection.request.path](link)
        except MessageError as err:
            _LOGGER.info("%s link ended with an error: %s", _PREFIX, err)

    async def _async_serve_entry(self, link: Link) -> None:
        self._entries[link] = 0
        try:
            await link.async_send(
                Hello(
                    PROTOCOL_VERSION,
                    self._settings.entry_id,
                    self._incarnation,
                    self._settings.data_centre,
                )
            )
            if self._configuration.head is not None:
                await link.async_send(_configuration_push(self._configuration.head))
            await link.async_send(VmStatesPush(self._vm_states()))
            incarnation = IncarnationId(0)
            async for message in link.async_messages():
                if isinstance(message, Hello):
                    incarnation = IncarnationId(message.incarnation)
                await self._async_handle_entry_message(link, incarnation, message)
        finally:
            self._entries.pop(link, None)

    async def _async_handle_entry_message(
        self, link: Link, incarnation: IncarnationId, message: Message
    ) -> None:
        sessions = self._in_force.sessions
        match message:
            case Hello():
                sessions.on_connected(incarnation)
            case ConfigurationAck(version):
                self._entries[link] = version
                sessions.on_acknowledged(incarnation, ConfigVersion(version))
                self._in_force.update_in_force()
            case LeaseQuery(sequence, version):
                sessions.on_acknowledged(incarnation, ConfigVersion(version))
                left_s = self._in_force.delegate_lease(incarnation)
                await link.async_send(LeaseAnswer(sequence, left_s))
            case EntryGoodbye():
                sessions.on_ended(incarnation)
            case ServiceReport():
                self._service.on_report(message)
            case ExplainAnswer():
                self._explain.on_answer(message)
            case CeilingEnvelope():
                await self._ceilings.async_deliver(message, from_peer=False)

    async def _async_serve_peer(self, link: Link) -> None:
        async for message in link.async_messages():
            match message:
                case Hello() if message.protocol_version != PROTOCOL_VERSION:
                    _LOGGER.warning(
                        "%s peer %s uses another protocol version, closing its link",
                        _PREFIX,
                        message.sender,
                    )
                    await link.async_close()
                case PeerPoll(poll):
                    await link.async_send(PeerPollAnswer(self._in_force.on_poll(poll)))
                case ContentQuery():
                    await link.async_send(self._in_force.content_for(message))
                case PeerGoodbye():
                    self._in_force.on_goodbye(message)
                case CeilingEnvelope():
                    await self._ceilings.async_deliver(message, from_peer=True)

    async def _async_serve_operator(self, link: Link) -> None:
        async for message in link.async_messages():
            if isinstance(message, OperatorRequest):
                await self._async_execute_command(link, message)

    async def _async_execute_command(self, link: Link, request: OperatorRequest) -> None:
        """Execute a command; meanwhile send the operator what it waits for."""
        command = asyncio.create_task(self._operators.async_handle(request, link.peer))
        while not (await asyncio.wait({command}, timeout=_PROGRESS_PERIOD_S))[0]:
            await link.async_send(OperatorProgress(self._progress_text()))
        await link.async_send(command.result())

    def _progress_text(self) -> str:
        awaited = [
            f"{each.data_centre}/{each.entry}: {each.reason.value}"
            for entries in self._in_force.pending().values()
            for each in entries
        ]
        return "waiting for " + ("; ".join(awaited) or "the store")

    async def _async_on_configuration(self, head: Head | None) -> None:
        self._in_force.on_head_record(self._configuration.record)
        self._ceilings.set_slots(self._configuration.record.slots)
        if head is not None:
            self._ceilings.configure(ConfigVersion(head.version), head.configuration)
            await self._async_send_entries(_configuration_push(head))

    async def _async_on_vm_list(self, listed: list[ListedVm]) -> None:
        self._listed = listed
        await self._async_push_states()

    async def _async_push_states(self) -> None:
        await self._async_send_entries(VmStatesPush(self._vm_states()))

    def _vm_states(self) -> list[VmState]:
        head = self._configuration.head
        if head is None:
            return []
        leaving = {each.vm for each in self._listed if each.state is ListedState.LEAVING}
        return vm_states(head.configuration, leaving, self._fleet.maps.maps)

    def _register_fleet_commands(self) -> None:
        fleet = self._fleet
        commands = FleetCommands(
            fleet.task, fleet.maps, fleet.store, fleet.clock, fleet.unavailable
        )
        self._operators.register("move", commands.async_move)
        self._operators.register("maintain", commands.async_maintain)
        self._operators.register("explain_vm", commands.async_explain_vm)
        self._operators.register("explain_fleet", commands.async_explain_fleet)

    async def _async_send_entries(self, message: Message) -> None:
        for link in list(self._entries):
            try:
                await link.async_send(message)
            except MessageError as err:
                _LOGGER.info("%s failed to send to an entry: %s", _PREFIX, err)

    def _status(self) -> dict[str, Any]:
        head = self._configuration.head
        return {
            "entry_id": self._settings.entry_id,
            "data_centre": self._settings.data_centre,
            "version": head.content_version if head else 0,
            **self._in_force.status(),
            "entries": [{"peer": link.peer, "version": v} for link, v in self._entries.items()],
            "ceilings": self._ceilings.status(),
            "store_error": self._configuration.store_error,
            "store_calls": dict(self._store.calls),
        }

    def _not_ready_reason(self) -> str:
        return "" if self._configuration.head else "no configuration yet"


def _configuration_push(head: Head) -> ConfigurationPush:
    return ConfigurationPush(head.version, head.configuration.model_dump(mode="json"))


def _command(
    settings_file: SettingsFileOption = None, print_settings: PrintSettingsOption = False
) -> None:
    """Run the control program of one entry VM."""
    start(ControllerSettings, settings_file, print_settings, _async_main)


async def _async_main(settings: ControllerSettings) -> None:
    await Controller(settings).async_run()


def main() -> None:
    """Run the program."""
    typer.run(_command)


if __name__ == "__main__":
    main()

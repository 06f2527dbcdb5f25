"""The entry's link to the controller on its own VM."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import TYPE_CHECKING

from pydantic import ValidationError

from toucandoor.adapters.link import Link, async_open_link
from toucandoor.ceiling_messages import CeilingEnvelope
from toucandoor.core.configuration.models import Configuration
from toucandoor.exceptions import MessageError, ToucandoorError
from toucandoor.ids import IncarnationId
from toucandoor.messages import (
    PROTOCOL_VERSION,
    ConfigurationAck,
    ConfigurationPush,
    ExplainAnswer,
    ExplainQuery,
    Hello,
    Message,
    VmStatesPush,
)
from toucandoor.peer_messages import EntryGoodbye, LeaseAnswer, LeaseQuery

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.settings import EntrySettings
    from toucandoor.clock import Clock
    from toucandoor.core.leases.sessions import DelegatedLease
    from toucandoor.ids import RequestId
    from toucandoor.messages import VmState

_LOGGER = logging.getLogger(__name__)
_PREFIX = "controller link:"
_RECONNECT_S = 0.3
_LEASE_QUERY_INTERVAL_S = 1.0


class ControllerLink:
    """Keeps a link to the controller open and handles the messages that it sends.

    While the link is down, the entry continues with its last configuration, VM states and lease.

    Args:
        configure: Puts a version of the configuration in force, then calls its last argument.
        update_states: Replaces the states of the VMs.
        lease: The entry's lease, renewed from the controller's answers.
        explain: Returns lines that describe how a request was handled.
        on_ceiling_message: Handles a message of the ceilings.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configure: Callable[[int, Configuration, Callable[[], None]], None],
        update_states: Callable[[list[VmState]], None],
        lease: DelegatedLease,
        clock: Clock,
        explain: Callable[[RequestId], list[str]],
        on_ceiling_message: Callable[[CeilingEnvelope], None],
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._clock = clock
        self._lease_query_sent_s: dict[int, float] = {}
        self._sequence = 0
        self._in_force_version = 0
        self._link: Link | None = None
        self._acknowledgements: set[asyncio.Task[None]] = set()
        self._configure = configure
        self._update_states = update_states
        self._explain = explain
        self._on_ceiling_message = on_ceiling_message
        self._received_version = 0
        self._incarnation = IncarnationId(time.time_ns())
        self._outbox: asyncio.Queue[Message] | None = None

    @property
    def incarnation(self) -> IncarnationId:
        """Incarnation of this entry process."""
        return self._incarnation

    def post(self, message: Message) -> None:
        """Queue a message for sending; drop it while there is no link."""
        if self._outbox is not None:
            self._outbox.put_nowait(message)

    async def async_run(self) -> None:
        """Connect, and reconnect after each failure, until cancelled."""
        while True:
            try:
                await self._async_session()
            except ToucandoorError as err:
                _LOGGER.warning("%s link to the controller failed, reconnecting: %s", _PREFIX, err)
            await asyncio.sleep(_RECONNECT_S)

    async def _async_session(self) -> None:
        settings = self._settings
        secret = settings.peer_secret.get_secret_value()
        link = await async_open_link(settings.controller_address, "/entry", secret)
        await link.async_send(
            Hello(PROTOCOL_VERSION, settings.entry_id, self._incarnation, settings.data_centre)
        )
        self._link = link
        self._outbox = asyncio.Queue()
        tasks = [
            asyncio.create_task(self._async_send(link, self._outbox)),
            asyncio.create_task(self._async_query_leases(link)),
        ]
        try:
            async for message in link.async_messages():
                await self._async_handle(message, link)
        finally:
            self._link = None
            self._outbox = None
            for task in tasks:
                task.cancel()

    async def _async_send(self, link: Link, outbox: asyncio.Queue[Message]) -> None:
        try:
            while True:
                await link.async_send(await outbox.get())
        except ToucandoorError as err:
            _LOGGER.info("%s sending to the controller stopped: %s", _PREFIX, err)

    async def async_send_goodbye(self) -> None:
        """End the lease and tell the controller that no more work with teams' keys starts here."""
        self._lease.end()
        if self._link is not None:
            with contextlib.suppress(MessageError):
                await self._link.async_send(EntryGoodbye())

    async def _async_query_leases(self, link: Link) -> None:
        while True:
            await self._async_query_lease(link)
            await asyncio.sleep(_LEASE_QUERY_INTERVAL_S)

    async def _async_query_lease(self, link: Link) -> None:
        self._sequence += 1
        self._lease_query_sent_s[self._sequence] = self._clock.monotonic_s()
        with contextlib.suppress(MessageError):
            await link.async_send(LeaseQuery(self._sequence, self._in_force_version))

    def _renew_lease(self, answer: LeaseAnswer) -> None:
        sent_s = self._lease_query_sent_s.pop(answer.sequence, None)
        self._lease_query_sent_s = {
            sequence: at_s
            for sequence, at_s in self._lease_query_sent_s.items()
            if sequence > answer.sequence
        }
        if sent_s is not None:
            self._lease.renew(sent_s, answer.left_s)

    async def _async_handle(self, message: Message, link: Link) -> None:
        match message:
            case ConfigurationPush():
                self._apply_configuration(message)
                await link.async_send(ConfigurationAck(self._in_force_version))
            case LeaseAnswer():
                self._renew_lease(message)
            case VmStatesPush(states):
                self._update_states(states)
            case CeilingEnvelope():
                self._on_ceiling_message(message)
            case ExplainQuery(query_id, request_id):
                await link.async_send(ExplainAnswer(query_id, self._explain(request_id)))

    def _apply_configuration(self, push: ConfigurationPush) -> None:
        if push.version <= self._received_version:
            return
        try:
            configuration = Configuration.model_validate(push.configuration)
        except ValidationError as err:
            _LOGGER.error(
                "%s configuration version %s is invalid, ignoring it: %s",
                _PREFIX,
                push.version,
                err,
            )
            return
        self._received_version = push.version
        self._configure(push.version, configuration, lambda: self._on_in_force(push.version))

    def _on_in_force(self, version: int) -> None:
        """Acknowledge a version that is in force in all of this process."""
        self._in_force_version = version
        if self._link is not None:
            task = asyncio.ensure_future(self._async_acknowledge(self._link, version))
            self._acknowledgements.add(task)
            task.add_done_callback(self._acknowledgements.discard)

    async def _async_acknowledge(self, link: Link, version: int) -> None:
        with contextlib.suppress(MessageError):
            await link.async_send(ConfigurationAck(version))
            await self._async_query_lease(link)

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
_LEASE_INTERVAL_S = 1.0


class ControllerLink:
    """Keeps a link to the controller and takes in what it pushes.

    The entry goes on with what it has while the controller is away.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configure: Callable[[int, Configuration, Callable[[], None]], None],
        update_states: Callable[[list[VmState]], None],
        lease: DelegatedLease,
        clock: Clock,
        explain: Callable[[RequestId], list[str]],
        take_mail: Callable[[CeilingEnvelope], None],
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._clock = clock
        self._asked_s: dict[int, float] = {}
        self._sequence = 0
        self._in_force = 0
        self._link: Link | None = None
        self._acknowledging: set[asyncio.Task[None]] = set()
        self._configure = configure
        self._update_states = update_states
        self._explain = explain
        self._take_mail = take_mail
        self._version = 0
        self._incarnation = IncarnationId(time.time_ns())
        self._outbox: asyncio.Queue[Message] | None = None

    @property
    def incarnation(self) -> IncarnationId:
        """This start of the entry's process."""
        return self._incarnation

    def post(self, message: Message) -> None:
        """Send a message when its turn comes, or drop it while there is no link."""
        if self._outbox is not None:
            self._outbox.put_nowait(message)

    async def async_run(self) -> None:
        """Connect again and again, for ever."""
        while True:
            try:
                await self._async_session()
            except ToucandoorError as err:
                _LOGGER.warning("%s %s", _PREFIX, err)
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
        helpers = [
            asyncio.create_task(self._async_send(link, self._outbox)),
            asyncio.create_task(self._async_ask_lease(link)),
        ]
        try:
            async for message in link.async_messages():
                await self._async_take(message, link)
        finally:
            self._link = None
            self._outbox = None
            for helper in helpers:
                helper.cancel()

    async def _async_send(self, link: Link, outbox: asyncio.Queue[Message]) -> None:
        try:
            while True:
                await link.async_send(await outbox.get())
        except ToucandoorError as err:
            _LOGGER.info("%s %s", _PREFIX, err)

    async def async_say_goodbye(self) -> None:
        """Tell the controller that no keyed work starts here any more."""
        self._lease.end()
        if self._link is not None:
            with contextlib.suppress(MessageError):
                await self._link.async_send(EntryGoodbye())

    async def _async_ask_lease(self, link: Link) -> None:
        while True:
            await self._async_ask_once(link)
            await asyncio.sleep(_LEASE_INTERVAL_S)

    async def _async_ask_once(self, link: Link) -> None:
        self._sequence += 1
        self._asked_s[self._sequence] = self._clock.monotonic_s()
        with contextlib.suppress(MessageError):
            await link.async_send(LeaseQuery(self._sequence, self._in_force))

    def _take_lease(self, answer: LeaseAnswer) -> None:
        sent_s = self._asked_s.pop(answer.sequence, None)
        self._asked_s = {n: s for n, s in self._asked_s.items() if n > answer.sequence}
        if sent_s is not None:
            self._lease.renew(sent_s, answer.left_s)

    async def _async_take(self, message: Message, link: Link) -> None:
        match message:
            case ConfigurationPush():
                self._take_configuration(message)
                await link.async_send(ConfigurationAck(self._in_force))
            case LeaseAnswer():
                self._take_lease(message)
            case VmStatesPush(states):
                self._update_states(states)
            case CeilingEnvelope():
                self._take_mail(message)
            case ExplainQuery(query_id, request_id):
                await link.async_send(ExplainAnswer(query_id, self._explain(request_id)))

    def _take_configuration(self, push: ConfigurationPush) -> None:
        if push.version <= self._version:
            return
        try:
            configuration = Configuration.model_validate(push.configuration)
        except ValidationError as err:
            _LOGGER.error("%s refused configuration %s: %s", _PREFIX, push.version, err)
            return
        self._version = push.version
        self._configure(push.version, configuration, lambda: self._switched(push.version))

    def _switched(self, version: int) -> None:
        """Acknowledge a version once everything in this process obeys it."""
        self._in_force = version
        if self._link is not None:
            task = asyncio.ensure_future(self._async_acknowledge(self._link, version))
            self._acknowledging.add(task)
            task.add_done_callback(self._acknowledging.discard)

    async def _async_acknowledge(self, link: Link, version: int) -> None:
        with contextlib.suppress(MessageError):
            await link.async_send(ConfigurationAck(version))
            await self._async_ask_once(link)

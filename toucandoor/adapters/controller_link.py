"""The entry's link to the controller on its own VM."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from pydantic import ValidationError

from toucandoor.adapters.link import Link, async_open_link
from toucandoor.core.configuration.models import Configuration
from toucandoor.exceptions import ToucandoorError
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.settings import EntrySettings
    from toucandoor.ids import RequestId
    from toucandoor.messages import ServiceReport, VmState

_LOGGER = logging.getLogger(__name__)
_PREFIX = "controller link:"
_RECONNECT_S = 0.3
_REPORT_EVERY_S = 5.0


class ControllerLink:
    """Keeps a link to the controller and takes in what it pushes.

    The entry goes on with what it has while the controller is away.
    """

    def __init__(
        self,
        settings: EntrySettings,
        configure: Callable[[int, Configuration], None],
        update_states: Callable[[list[VmState]], None],
        explain: Callable[[RequestId], list[str]],
        service_report: Callable[[], ServiceReport],
    ) -> None:
        self._settings = settings
        self._configure = configure
        self._update_states = update_states
        self._explain = explain
        self._service_report = service_report
        self._version = 0
        self._incarnation = IncarnationId(time.time_ns())

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
        reports = asyncio.create_task(self._async_report(link))
        try:
            async for message in link.async_messages():
                await self._async_take(message, link)
        finally:
            reports.cancel()

    async def _async_report(self, link: Link) -> None:
        while True:
            try:
                await link.async_send(self._service_report())
            except ToucandoorError:
                return  # the session ends by itself and reconnects
            await asyncio.sleep(_REPORT_EVERY_S)

    async def _async_take(self, message: Message, link: Link) -> None:
        match message:
            case ConfigurationPush():
                self._take_configuration(message)
                await link.async_send(ConfigurationAck(self._version))
            case VmStatesPush(states):
                self._update_states(states)
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
        self._configure(push.version, configuration)

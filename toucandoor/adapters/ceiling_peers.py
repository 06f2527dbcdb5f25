"""Links from this controller to the other controllers of its data centre."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.link import Link, async_open_link
from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from toucandoor.ids import EntryId
    from toucandoor.messages import Hello, Message

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceiling peers:"
_RECONNECT_S: Final = 0.5


class CeilingPeers:
    """Keeps a link open to each peer; messages to peers without an open link are dropped."""

    def __init__(self, secret: str, hello: Hello) -> None:
        self._secret = secret
        self._hello = hello
        self._links: dict[EntryId, Link] = {}
        self._tasks: dict[EntryId, asyncio.Task[None]] = {}
        self._addresses: dict[EntryId, str] = {}

    def set_addresses(self, addresses: dict[EntryId, str]) -> None:
        """Replace the peers to keep links to, each with its ``IP:port``."""
        for entry, address in addresses.items():
            if self._addresses.get(entry) == address:
                continue
            if entry in self._tasks:
                self._tasks.pop(entry).cancel()
            self._tasks[entry] = asyncio.create_task(self._async_keep_connected(entry, address))
        for entry in set(self._addresses) - set(addresses):
            self._tasks.pop(entry).cancel()
        self._addresses = dict(addresses)

    def connected(self) -> set[EntryId]:
        """Return the peers with an open link."""
        return set(self._links)

    async def async_send(self, entry: EntryId, message: Message) -> None:
        """Send a message, or drop it when no link to the peer is open."""
        link = self._links.get(entry)
        if link is None:
            return
        try:
            await link.async_send(message)
        except ToucandoorError as err:
            _LOGGER.info("%s dropped a message: %s", _PREFIX, err)

    async def _async_keep_connected(self, entry: EntryId, address: str) -> None:
        while True:
            try:
                await self._async_session(entry, address)
            except ToucandoorError as err:
                _LOGGER.info("%s link failed: %s", _PREFIX, err)
            await asyncio.sleep(_RECONNECT_S)

    async def _async_session(self, entry: EntryId, address: str) -> None:
        link = await async_open_link(address, "/peer", self._secret)
        await link.async_send(self._hello)
        self._links[entry] = link
        try:
            async for message in link.async_messages():
                _LOGGER.debug("%s %s sent %s", _PREFIX, entry, message)
        finally:
            if self._links.get(entry) is link:
                del self._links[entry]

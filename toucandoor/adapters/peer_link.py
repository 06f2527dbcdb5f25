"""This controller's link to one of its peers: questions and their answers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from toucandoor.adapters.link import Link, async_open_link
from toucandoor.exceptions import MessageError, ToucandoorError
from toucandoor.messages import PROTOCOL_VERSION, Hello, Message
from toucandoor.peer_messages import ContentAnswer, PeerPollAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

_LOGGER = logging.getLogger(__name__)
_PREFIX = "peer link:"
_OPEN_TIMEOUT_S = 1.0


class PeerLink:
    """Connects when it is first asked, and anew after a question that got no answer.

    A connection can go silent for good while a new one works, so one unanswered question is
    enough to give it up.

    Args:
        count: Called with the bytes of each message sent or received.
    """

    def __init__(
        self, address: str, secret: str, hello: Hello, count: Callable[[int], None]
    ) -> None:
        self.address = address
        self._secret = secret
        self._hello = hello
        self._count = count
        self._link: Link | None = None
        self._reader: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._waiting: dict[tuple[type[Message], int], asyncio.Future[Message]] = {}

    async def async_ask(
        self, question: Message, sequence: int, kind: type[Message], timeout_s: float
    ) -> Message:
        """Send a question and return its answer.

        Args:
            sequence: Number that the answer must carry.
            kind: Type of the answer.

        Raises:
            MessageError: No connection, or no answer in time.
            PeerAuthenticationError: The peer refused the secret.
        """
        link = await self._async_link()
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[kind, sequence] = answer
        try:
            await link.async_send(question)
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as err:
            await self._async_drop(link)
            raise MessageError("no answer", step="peer.ask", peer=self.address) from err
        except MessageError:
            await self._async_drop(link)
            raise
        finally:
            self._waiting.pop((kind, sequence), None)

    async def async_tell(self, message: Message) -> None:
        """Send a message that has no answer.

        Raises:
            MessageError: No connection.
        """
        await (await self._async_link()).async_send(message)

    async def async_close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            await self._async_drop(self._link)

    async def _async_link(self) -> Link:
        async with self._opening:
            if self._link is None:
                link = await async_open_link(
                    self.address,
                    "/peer",
                    self._secret,
                    open_timeout_s=_OPEN_TIMEOUT_S,
                    ping_interval_s=None,
                )
                await link.async_send(self._hello)
                self._link = link
                self._reader = asyncio.create_task(self._async_read(link))
            return self._link

    async def _async_read(self, link: Link) -> None:
        async for message in link.async_messages():
            self._take(message)
        if self._link is link:
            self._link = None

    def _take(self, message: Message) -> None:
        match message:
            case PeerPollAnswer(answer):
                sequence = answer.sequence
            case ContentAnswer(sequence):
                pass
            case Hello() if message.protocol_version != PROTOCOL_VERSION:
                _LOGGER.warning("%s %s speaks another version", _PREFIX, self.address)
                return
            case _:
                return
        waiting = self._waiting.get((type(message), sequence))
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    async def _async_drop(self, link: Link) -> None:
        if self._link is not link:
            return
        self._link = None
        self._count(link.bytes_sent + link.bytes_received)
        if self._reader is not None:
            self._reader.cancel()
        closing = asyncio.create_task(link.async_close())
        closing.add_done_callback(_ignore_error)

    def bytes_moved(self) -> int:
        """Return the bytes of the open connection's messages."""
        return self._link.bytes_sent + self._link.bytes_received if self._link else 0


def _ignore_error(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, ToucandoorError):
        _LOGGER.info("%s closing failed: %s", _PREFIX, error)

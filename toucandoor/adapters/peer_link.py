"""This controller's link to one of its peers: queries and their answers."""

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
    """Connects on the first query, and again after a query without an answer.

    A connection can stop delivering for good while a new one would work, so it is closed after
    one unanswered query.

    Args:
        address: ``IP:port`` of the peer's link address.
        hello: First message of each connection.
        count_bytes: Called, when a connection is given up, with the bytes of its messages in both
            directions.
    """

    def __init__(
        self, address: str, secret: str, hello: Hello, count_bytes: Callable[[int], None]
    ) -> None:
        self.address = address
        self._secret = secret
        self._hello = hello
        self._count_bytes = count_bytes
        self._link: Link | None = None
        self._reader: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._waiting: dict[tuple[type[Message], int], asyncio.Future[Message]] = {}

    async def async_query(
        self, query: Message, sequence: int, answer_type: type[Message], timeout_s: float
    ) -> Message:
        """Send a query and return its answer.

        Args:
            sequence: Sequence number that the answer must carry.
            answer_type: Type of the answer.
            timeout_s: Timeout for the answer, in seconds.

        Raises:
            MessageError: No connection, or no answer in time.
            PeerAuthenticationError: The peer refused the secret.
        """
        link = await self._async_ensure_open()
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[answer_type, sequence] = answer
        try:
            await link.async_send(query)
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as err:
            await self._async_discard(link)
            raise MessageError("no answer in time", step="peer.ask", peer=self.address) from err
        except MessageError:
            await self._async_discard(link)
            raise
        finally:
            self._waiting.pop((answer_type, sequence), None)

    async def async_send(self, message: Message) -> None:
        """Send a message that has no answer.

        Raises:
            MessageError: No connection.
        """
        await (await self._async_ensure_open()).async_send(message)

    async def async_close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            await self._async_discard(self._link)

    async def _async_ensure_open(self) -> Link:
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
            self._on_message(message)
        if self._link is link:
            self._link = None

    def _on_message(self, message: Message) -> None:
        match message:
            case PeerPollAnswer(answer):
                sequence = answer.sequence
            case ContentAnswer(sequence):
                pass
            case Hello() if message.protocol_version != PROTOCOL_VERSION:
                _LOGGER.warning("%s %s uses another protocol version", _PREFIX, self.address)
                return
            case _:
                return
        waiting = self._waiting.get((type(message), sequence))
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    async def _async_discard(self, link: Link) -> None:
        if self._link is not link:
            return
        self._link = None
        self._count_bytes(link.bytes_sent + link.bytes_received)
        if self._reader is not None:
            self._reader.cancel()
        closing = asyncio.create_task(link.async_close())
        closing.add_done_callback(_log_close_error)

    def bytes_transferred(self) -> int:
        """Return the bytes of the open connection's messages, in both directions."""
        return self._link.bytes_sent + self._link.bytes_received if self._link else 0


def _log_close_error(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, ToucandoorError):
        _LOGGER.info("%s cannot close a connection: %s", _PREFIX, error)

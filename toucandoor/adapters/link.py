"""Links between the system's processes: websockets that carry CBOR messages."""

from __future__ import annotations

import hmac
import logging
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import TYPE_CHECKING

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from toucandoor.exceptions import MessageError, PeerAuthenticationError
from toucandoor.messages import MESSAGE_BYTES_MAX, Message, decode, encode

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import ServerConnection
    from websockets.http11 import Request, Response

_LOGGER = logging.getLogger(__name__)
_PREFIX = "link:"


class Link:
    """An open connection to another process of the system.

    Attributes:
        peer: Address of the other process, for logs and errors.
        bytes_sent: Bytes of the messages sent so far.
        bytes_received: Bytes of the messages received so far.
    """

    def __init__(self, connection: Connection, peer: str) -> None:
        self._connection = connection
        self.peer = peer
        self.bytes_sent = 0
        self.bytes_received = 0

    async def async_send(self, message: Message) -> None:
        """Send a message.

        Raises:
            MessageError: The connection is closed.
        """
        frame = encode(message)
        try:
            await self._connection.send(frame)
        except ConnectionClosed as err:
            raise MessageError("connection closed", step="link.send", peer=self.peer) from err
        self.bytes_sent += len(frame)

    async def async_messages(self) -> AsyncIterator[Message]:
        """Yield messages until the connection closes; log and skip those that are not valid."""
        try:
            async for frame in self._connection:
                self.bytes_received += len(frame)
                try:
                    yield decode(frame, peer=self.peer)
                except MessageError as err:
                    _LOGGER.warning("%s ignored a message: %s", _PREFIX, err)
        except ConnectionClosed:
            return

    async def async_close(self) -> None:
        """Close the connection."""
        await self._connection.close()


async def async_open_link(
    address: str,
    path: str,
    secret: str,
    *,
    open_timeout_s: float = 2.0,
    ping_interval_s: float | None = 2.0,
) -> Link:
    """Connect to a controller.

    Args:
        address: ``IP:port`` of the controller's link address.
        path: Role of this side: ``/entry``, ``/peer`` or ``/operator``.
        secret: Secret that the role requires.
        open_timeout_s: Timeout to connect, in seconds.
        ping_interval_s: Time between pings, in seconds; None where the caller detects a dead link
            by its own messages.

    Raises:
        PeerAuthenticationError: The controller refused the secret.
        MessageError: No connection could be made.
    """
    try:
        connection = await connect(
            f"ws://{address}{path}",
            additional_headers={"Authorization": f"Bearer {secret}"},
            max_size=MESSAGE_BYTES_MAX,
            open_timeout=open_timeout_s,
            ping_interval=ping_interval_s,
            ping_timeout=4,
            compression=None,
            proxy=None,
        )
    except InvalidHandshake as err:
        raise PeerAuthenticationError(str(err), step="link.open", peer=address) from err
    except (OSError, TimeoutError) as err:
        raise MessageError(f"no connection: {err}", step="link.open", peer=address) from err
    return Link(connection, address)


def authenticate(
    connection: ServerConnection, request: Request, secrets: dict[str, str]
) -> Response | None:
    """Check the path and secret of an incoming connection.

    Args:
        secrets: Secret of each path.

    Returns:
        The response that refuses the connection; None when it is accepted.
    """
    secret = secrets.get(request.path)
    if secret is None:
        return connection.respond(HTTPStatus.NOT_FOUND, "unknown path\n")
    authorization = request.headers.get("Authorization", "")
    if hmac.compare_digest(authorization.encode(), f"Bearer {secret}".encode()):
        return None
    _LOGGER.warning(
        "%s refused a connection from %s: missing or wrong secret",
        _PREFIX,
        connection.remote_address,
    )
    return connection.respond(HTTPStatus.UNAUTHORIZED, "missing or wrong secret\n")

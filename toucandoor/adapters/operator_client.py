"""Client of a controller for the operators' command line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from toucandoor.adapters.link import async_open_link
from toucandoor.exceptions import MessageError
from toucandoor.messages import OperatorProgress, OperatorReply, OperatorRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.settings import OperatorSettings


async def async_send_command(
    settings: OperatorSettings,
    action: str,
    arguments: dict[str, Any],
    progress: Callable[[str], None],
) -> OperatorReply:
    """Send a command to a controller and return its reply.

    Args:
        progress: Called with each progress line while the command is executed.

    Raises:
        PeerAuthenticationError: The controller refused the secret.
        MessageError: The controller was unreachable or closed the connection before it replied;
            the command may have been executed.
    """
    address = settings.controller_address
    link = await async_open_link(address, "/operator", settings.operator_secret.get_secret_value())
    try:
        await link.async_send(OperatorRequest(action, arguments))
        async for message in link.async_messages():
            if isinstance(message, OperatorProgress):
                progress(message.text)
            if isinstance(message, OperatorReply):
                return message
    finally:
        await link.async_close()
    raise MessageError(
        "the controller closed the connection before it replied",
        step=f"operator.{action}",
        peer=address,
    )

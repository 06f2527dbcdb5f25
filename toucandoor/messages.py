"""Messages between the system's own processes.

Each message is one CBOR map in one websocket frame; its ``type`` field names the message. A
receiver reports unknown types and continues, so that versions can be mixed during a roll-out.
"""

from __future__ import annotations

from typing import Any, Final

import cbor2
import msgspec

from toucandoor.exceptions import MessageError
from toucandoor.ids import DataCentreId, PoolId, RequestId, VmId

PROTOCOL_VERSION: Final = 1
MESSAGE_BYTES_MAX: Final = 4 * 1024 * 1024


class Message(msgspec.Struct, frozen=True, tag_field="type"):
    """Base class of all messages."""


class Hello(Message, frozen=True, tag="hello"):
    """First message on every link, from both sides.

    Attributes:
        sender: Id of the entry VM or operator.
        incarnation: Incarnation of the sending process; grows with each start.
    """

    protocol_version: int
    sender: str
    incarnation: int
    data_centre: DataCentreId


class ConfigurationPush(Message, frozen=True, tag="configuration_push"):
    """Whole configuration of a version that the receiver is to put in force.

    Attributes:
        configuration: The configuration as plain JSON types.
    """

    version: int
    configuration: dict[str, Any]


class ConfigurationAck(Message, frozen=True, tag="configuration_ack"):
    """Reports that the sender has this version in force, including all earlier changes."""

    version: int


class VmState(msgspec.Struct, frozen=True):
    """State of one VM that is not part of the configuration."""

    vm: VmId
    pool: PoolId
    leaving: bool = False
    cordoned: bool = False


class VmStatesPush(Message, frozen=True, tag="vm_states_push"):
    """States of all VMs whose state differs from the configuration."""

    states: list[VmState]


class ServiceReport(Message, frozen=True, tag="service_report"):
    """Recent service quality of an entry.

    Attributes:
        urgent_started: Number of urgent requests started in the last 30 s.
        urgent_late: Number of those that started later than the configured target.
        share_error_ratio: Largest deviation of a team from its share while the fleet is full.
    """

    urgent_started: int
    urgent_late: int
    share_error_ratio: float = 0.0


class ExplainQuery(Message, frozen=True, tag="explain_query"):
    """Asks an entry for what it knows about a request."""

    query_id: int
    request_id: RequestId


class ExplainAnswer(Message, frozen=True, tag="explain_answer"):
    """Lines of text on a request that an entry knows; empty if it does not know the request."""

    query_id: int
    lines: list[str]


class OperatorRequest(Message, frozen=True, tag="operator_request"):
    """Command of an operator.

    Attributes:
        action: Name of the command, such as ``apply``.
        arguments: The command's arguments as plain JSON types.
    """

    action: str
    arguments: dict[str, Any] = {}


class OperatorProgress(Message, frozen=True, tag="operator_progress"):
    """Progress of a long-running command, as one line of text."""

    text: str


class OperatorReply(Message, frozen=True, tag="operator_reply"):
    """Final answer to an operator's command.

    Attributes:
        ok: Whether the command succeeded.
        error: Short name of the error, such as ``conflict``; empty on success.
        reason: Text that explains the error.
        body: Result of the command as plain JSON types.
    """

    ok: bool
    error: str = ""
    reason: str = ""
    body: dict[str, Any] = {}


def _message_types() -> tuple[type[Message], ...]:
    return tuple(Message.__subclasses__())


def encode(message: Message) -> bytes:
    """Return a message as a CBOR map."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode(frame: bytes | str, *, peer: str) -> Message:
    """Return the message in a frame.

    Raises:
        MessageError: The frame is text, not valid CBOR, not a map, or not a valid message.
    """
    if isinstance(frame, str):
        raise MessageError(
            "received a text frame instead of a binary CBOR frame", step="message.decode", peer=peer
        )
    try:
        builtins = cbor2.loads(frame)
    except (
        Exception
    ) as err:  # cbor2 raises several types of exception on malformed or hostile input
        raise MessageError(
            f"frame is not valid CBOR: {err}", step="message.decode", peer=peer
        ) from err
    kind = builtins.get("type") if isinstance(builtins, dict) else None
    by_tag = {c.__struct_config__.tag: c for c in _message_types()}
    if not isinstance(kind, str) or kind not in by_tag:
        raise MessageError(f"unknown message type {kind!r}", step="message.decode", peer=peer)
    try:
        return msgspec.convert(builtins, by_tag[kind])
    except msgspec.ValidationError as err:
        raise MessageError(
            f"invalid {kind} message: {err}", step="message.decode", peer=peer
        ) from err

"""Messages between the system's own processes.

Each is one CBOR map in one websocket frame; its ``type`` field names the message. A receiver that
does not know a type reports it and goes on, so that versions can be mixed during a roll-out.
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
    """Base of all messages."""


class Hello(Message, frozen=True, tag="hello"):
    """First message on every link, from both sides.

    Attributes:
        sender: Id of the entry VM or operator.
        incarnation: Start of the sending process; grows with each start.
    """

    protocol_version: int
    sender: str
    incarnation: int
    data_centre: DataCentreId


class ConfigurationPush(Message, frozen=True, tag="configuration_push"):
    """The configuration in force, whole.

    Attributes:
        configuration: The configuration as plain JSON types.
    """

    version: int
    configuration: dict[str, Any]


class ConfigurationAck(Message, frozen=True, tag="configuration_ack"):
    """The sender has put this version, and every change before it, in force."""

    version: int


class VmState(msgspec.Struct, frozen=True):
    """What the control path says of one VM beside its configuration."""

    vm: VmId
    pool: PoolId
    leaving: bool = False
    cordoned: bool = False


class VmStatesPush(Message, frozen=True, tag="vm_states_push"):
    """States of all VMs that differ from the configuration."""

    states: list[VmState]


class ServiceReport(Message, frozen=True, tag="service_report"):
    """How well an entry served lately.

    Attributes:
        urgent_started: Urgent requests started in the last half minute.
        urgent_late: Those of them that started later than the configured target.
        share_error_ratio: Largest distance of a team from its share while the fleet is full.
    """

    urgent_started: int
    urgent_late: int
    share_error_ratio: float = 0.0


class ExplainQuery(Message, frozen=True, tag="explain_query"):
    """Asks an entry what became of a request."""

    query_id: int
    request_id: RequestId


class ExplainAnswer(Message, frozen=True, tag="explain_answer"):
    """What an entry knows of a request, a line each; empty when it knows nothing."""

    query_id: int
    lines: list[str]


class OperatorRequest(Message, frozen=True, tag="operator_request"):
    """One operator's command.

    Attributes:
        action: Name of the command, such as ``apply``.
        arguments: The command's arguments as plain JSON types.
    """

    action: str
    arguments: dict[str, Any] = {}


class OperatorProgress(Message, frozen=True, tag="operator_progress"):
    """A line on work that takes long."""

    text: str


class OperatorReply(Message, frozen=True, tag="operator_reply"):
    """Final answer to an operator's command.

    Attributes:
        ok: Whether it did what was asked.
        error: Short name of the error, such as ``conflict``; empty when ok.
    """

    ok: bool
    error: str = ""
    reason: str = ""
    body: dict[str, Any] = {}


def _all_messages() -> tuple[type[Message], ...]:
    return tuple(Message.__subclasses__())


def encode(message: Message) -> bytes:
    """Return a message as one CBOR map."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode(frame: bytes | str, *, peer: str) -> Message:
    """Return the message of one frame.

    Raises:
        MessageError: The frame is text, torn, not a map, or not a valid message.
    """
    if isinstance(frame, str):
        raise MessageError("a text frame, not CBOR", step="message.decode", peer=peer)
    try:
        builtins = cbor2.loads(frame)
    except Exception as err:  # cbor2 raises several kinds on hostile input
        raise MessageError(f"not CBOR: {err}", step="message.decode", peer=peer) from err
    kind = builtins.get("type") if isinstance(builtins, dict) else None
    by_tag = {c.__struct_config__.tag: c for c in _all_messages()}
    if not isinstance(kind, str) or kind not in by_tag:
        raise MessageError(f"unknown message type {kind!r}", step="message.decode", peer=peer)
    try:
        return msgspec.convert(builtins, by_tag[kind])
    except msgspec.ValidationError as err:
        raise MessageError(f"bad {kind}: {err}", step="message.decode", peer=peer) from err

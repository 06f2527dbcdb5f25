"""Messages between the node programs of entry VMs, as CBOR over websockets.

A node that cannot reach the store relays calls to a peer with these messages. The names of the
classes stand in the steps of errors.
"""

from __future__ import annotations

import zlib
from typing import Any

import cbor2
import msgspec

from toucandoor.exceptions import MessageError
from toucandoor.ids import JobId, QueueAddress, QueueId, TeamId


class SubmitJob(msgspec.Struct, frozen=True, tag="submit_job"):
    """Asks a peer to store a job; answered by `Outcome`.

    Attributes:
        spec: The encoded job specification.
        wait_s: How long the caller still waits, in seconds.
    """

    spec: bytes
    wait_s: float


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Asks a peer to store the cancellation of a job; answered by `Outcome`."""

    job_id: JobId
    wait_s: float


class AskStatus(msgspec.Struct, frozen=True, tag="ask_status"):
    """Asks a peer for the state of a job; answered by `Status`."""

    job_id: JobId


class AskPending(msgspec.Struct, frozen=True, tag="ask_pending"):
    """Asks a peer for the number of waiting jobs of a queue; answered by `Pending`.

    Attributes:
        queue: Name of the queue.
        address: Its address; empty in messages of older builds.
    """

    queue: QueueId
    address: QueueAddress = QueueAddress("")


class AskConfiguration(msgspec.Struct, frozen=True, tag="ask_configuration"):
    """Asks a peer for its configuration if newer than a version; answered by `Configuration`.

    Attributes:
        newer_than: Version that the sender has, 0 for none.
        compressed: Whether the answer may be compressed.
    """

    newer_than: int
    compressed: bool = False


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """Outcome of a write: the value of a `WriteOutcome` of the job service."""

    outcome: str


class Status(msgspec.Struct, frozen=True, tag="status"):
    """State of a job; the state is empty if the job was not found.

    Attributes:
        queue: Name of its queue.
        team: Its team.
        state: Its state.
        address: Address of its queue; empty in messages of older builds.
    """

    queue: QueueId
    team: TeamId
    state: str
    address: QueueAddress = QueueAddress("")


class Pending(msgspec.Struct, frozen=True, tag="pending"):
    """Number of waiting jobs of a queue."""

    count: int


class Configuration(msgspec.Struct, frozen=True, tag="configuration"):
    """Encoded configuration record of the operators; empty if the peer has no newer one.

    Attributes:
        source: The record.
        compressed: Whether it is compressed by zlib.
    """

    source: bytes
    compressed: bool = False

    @property
    def record(self) -> bytes:
        """The record as operators wrote it.

        Raises:
            zlib.error: It is not valid.
        """
        return zlib.decompress(self.source) if self.compressed else self.source


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The peer could not process the message; it had no effect."""

    reason: str


NodeMessage = (
    SubmitJob
    | CancelJob
    | AskStatus
    | AskPending
    | AskConfiguration
    | Outcome
    | Status
    | Pending
    | Configuration
    | Failed
)


def encode_message(message: NodeMessage) -> bytes:
    """Return a message as a CBOR frame."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(frame: Any, peer: str) -> NodeMessage:
    """Return the message in a frame.

    Raises:
        MessageError: The frame is not valid CBOR or not a valid message.
    """
    try:
        return msgspec.convert(cbor2.loads(frame), NodeMessage)  # type: ignore[no-any-return]
    except (cbor2.CBORDecodeError, msgspec.ValidationError, TypeError, ValueError) as err:
        raise MessageError(str(err), step="peers.decode", peer=peer) from err

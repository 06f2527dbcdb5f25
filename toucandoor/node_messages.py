"""Messages between the node programs of entry VMs, in CBOR over websockets."""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec

from toucandoor.exceptions import MessageError
from toucandoor.ids import JobId, QueueId, TeamId


class SubmitJob(msgspec.Struct, frozen=True, tag="submit_job"):
    """Store this job.

    Attributes:
        spec: The job's record.
        wait_s: How long the caller still waits.
    """

    spec: bytes
    wait_s: float


class CancelJob(msgspec.Struct, frozen=True, tag="cancel_job"):
    """Store the cancellation of this job."""

    job_id: JobId
    wait_s: float


class AskStatus(msgspec.Struct, frozen=True, tag="ask_status"):
    """Tell what is known of a job."""

    job_id: JobId


class AskPending(msgspec.Struct, frozen=True, tag="ask_pending"):
    """Tell how many jobs of a queue wait."""

    queue: QueueId


class AskConfiguration(msgspec.Struct, frozen=True, tag="ask_configuration"):
    """Send the configuration if it is newer than this version; 0 for any."""

    newer_than: int


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """What became of a write: the name of a `WriteOutcome`."""

    outcome: str


class Status(msgspec.Struct, frozen=True, tag="status"):
    """What is known of a job; not found where the state is empty."""

    queue: QueueId
    team: TeamId
    state: str


class Pending(msgspec.Struct, frozen=True, tag="pending"):
    """How many jobs of a queue wait."""

    count: int


class Configuration(msgspec.Struct, frozen=True, tag="configuration"):
    """The operators' record; empty where there is no newer one."""

    source: bytes


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The peer could not do it, and has done nothing."""

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
    """Return a message's frame."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(frame: Any, peer: str) -> NodeMessage:
    """Decode a frame.

    Raises:
        MessageError: It is no such message.
    """
    try:
        return msgspec.convert(cbor2.loads(frame), NodeMessage)  # type: ignore[no-any-return]
    except (cbor2.CBORDecodeError, msgspec.ValidationError, TypeError, ValueError) as err:
        raise MessageError(str(err), step="peers.decode", peer=peer) from err

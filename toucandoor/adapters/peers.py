"""Connections between node programs of entry VMs, used while one of them cannot reach the store."""

from __future__ import annotations

import logging
import random
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import serve

from toucandoor.adapters.settings import split_address
from toucandoor.core.ownership.candidates import VmCapacity
from toucandoor.core.records import LeaseEndedError, Transaction, TransactionConflictError
from toucandoor.exceptions import MessageError, ToucandoorError
from toucandoor.ids import DataCentreId, EntryId
from toucandoor.node_messages import Failed, NodeMessage, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from websockets.sync.server import ServerConnection

    from toucandoor.core.records import Record, RecordStore, StoreLease

_LOGGER = logging.getLogger(__name__)

NODE_PREFIX: Final = "nodes/"
NODE_TTL_S: Final = 15.0
"""Lease of a node's record in the store; longer than the usual outage of the store."""
NODE_RENEW_INTERVAL_S: Final = 4.0
"""Interval between renewals of the record and reads of the other nodes' records. A lease covers
three renewals."""
PEER_CONNECT_TIMEOUT_S: Final = 0.5
"""Longest wait for a connection; nodes that can reach each other connect in milliseconds."""
FRAME_BYTES_MAX: Final = 2_097_152
"""Largest frame. A value in the store holds up to a megabyte, and a frame adds little to it."""


class PeerError(ToucandoorError):
    """A peer could not be reached, or did not answer."""


class PeerNotReachedError(PeerError):
    """No connection was made; the peer has not received the message."""


class NodeRecord(msgspec.Struct, frozen=True):
    """Record of a node in the store.

    Attributes:
        address: ``IP:port`` for messages of peers.
        data_centre: Data centre of its entry VM.
        processor_cores: Processor of its entry VM; 0 if not given.
        link_mbps: Bandwidth of its entry VM's link; 0 if not given.
    """

    address: str
    data_centre: DataCentreId
    processor_cores: float = 0.0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class Peer:
    """A node as its peers see it.

    Attributes:
        entry_id: Id of its entry VM.
        address: ``IP:port`` for messages of peers.
        data_centre: Data centre of its entry VM.
        capacity: Capacity of its entry VM.
        revision: Revision of its record in the store, which its process has written at its start;
            0 if it is not known from there.
    """

    entry_id: EntryId
    address: str
    data_centre: DataCentreId
    capacity: VmCapacity = VmCapacity()
    revision: int = 0


class PeerDirectory:
    """Registers this node in the store and reads the other nodes' records.

    While the store is unreachable, it keeps the nodes of the last read, or the seeds if there has
    been none. This node's record is written again if it is not the one that this process has
    written under its lease: a write without an answer may be carried out late, under a lease that
    is no longer renewed.

    Args:
        store: The platform's store.
        this_node: This node.
        seeds: Nodes that the settings name; they may have been replaced.
    """

    def __init__(self, store: RecordStore, this_node: Peer, seeds: tuple[Peer, ...] = ()) -> None:
        self._store = store
        self._this_node = this_node
        self._peers = tuple(seed for seed in seeds if seed.address != this_node.address)
        self._lease: StoreLease | None = None
        self._revision = 0
        self._stop = threading.Event()

    def start(self) -> None:
        """Start the thread that registers this node and reads the other nodes' records."""
        threading.Thread(target=self._run, name="peers", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread and remove this node's record."""
        self._stop.set()
        lease = self._lease
        if lease is None:
            return
        try:
            self._store.end_lease(lease.lease_id)
        except ToucandoorError as err:
            _LOGGER.info(
                "peers: removing this node's record failed; it expires with its lease: %s", err
            )

    def nearest_first(self) -> list[Peer]:
        """Return the other nodes in random order, those of this data centre first."""
        peers = list(self._peers)
        random.shuffle(peers)
        peers.sort(key=lambda peer: peer.data_centre != self._this_node.data_centre)
        return peers

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._register()
                self._read_peers()
            except ToucandoorError as err:
                _LOGGER.info("peers: registering this node or reading the others failed: %s", err)
            self._stop.wait(NODE_RENEW_INTERVAL_S)

    def _register(self) -> None:
        if self._lease is not None:
            try:
                self._store.renew_lease(self._lease.lease_id)
            except LeaseEndedError:
                self._lease = None
            else:
                return
        lease = self._store.grant_lease(NODE_TTL_S)
        this_node = self._this_node
        record = NodeRecord(
            this_node.address,
            this_node.data_centre,
            this_node.capacity.processor_cores,
            this_node.capacity.link_mbps,
        )
        value = msgspec.json.encode(record)
        try:
            self._write_own(value, lease)
        except TransactionConflictError as err:
            self._revision = sum(each.revision for each in err.present)
            self._write_own(value, lease)
        self._lease = lease

    def _write_own(self, value: bytes, lease: StoreLease) -> None:
        key = self._own_key
        self._revision = self._store.write(
            Transaction({key: self._revision}, {key: value}, lease_id=lease.lease_id)
        )

    @property
    def _own_key(self) -> str:
        return NODE_PREFIX + self._this_node.entry_id

    def _read_peers(self) -> None:
        records = self._store.read_prefix(NODE_PREFIX).records
        self._peers = decode_peers(records, self._this_node.entry_id)
        own_revision = sum(each.revision for each in records if each.key == self._own_key)
        if self._lease is not None and own_revision != self._revision:
            _LOGGER.warning(
                "peers: this node's record is missing or was replaced; writing it again",
                extra={"revision": own_revision, "written_revision": self._revision},
            )
            self._lease = None


def decode_peers(records: Iterable[Record], this_node: EntryId) -> tuple[Peer, ...]:
    """Return the nodes other than this one; leaves out records that cannot be decoded."""
    peers: list[Peer] = []
    for record in records:
        entry_id = EntryId(record.key.removeprefix(NODE_PREFIX))
        if entry_id == this_node:
            continue
        try:
            node = msgspec.json.decode(record.value, type=NodeRecord)
        except msgspec.MsgspecError as err:
            _LOGGER.error("peers: record %s cannot be decoded: %s", record.key, err)
            continue
        capacity = VmCapacity(node.processor_cores, node.link_mbps)
        peers.append(
            Peer(entry_id, node.address, node.data_centre, capacity, revision=record.revision)
        )
    return tuple(peers)


class PeerServer:
    """Websocket server for messages of other nodes.

    Args:
        address: ``IP:port`` to listen on.
        answer: Returns the answer to a message; may block.
    """

    def __init__(self, address: str, answer: Callable[[NodeMessage], NodeMessage]) -> None:
        self._address = address
        self._answer = answer

    def start(self) -> None:
        """Start to serve in a thread."""
        host, port = split_address(self._address)
        server = serve(
            self._serve_connection, host, port, compression=None, max_size=FRAME_BYTES_MAX
        )
        threading.Thread(target=server.serve_forever, name="peer-server", daemon=True).start()

    def _serve_connection(self, connection: ServerConnection) -> None:
        try:
            for frame in connection:
                connection.send(encode_message(self._answer_frame(frame)))
        except (WebSocketException, OSError) as err:
            _LOGGER.debug("peers: a connection ended: %s", err)

    def _answer_frame(self, frame: str | bytes) -> NodeMessage:
        try:
            return self._answer(decode_message(frame, "peer"))
        except MessageError as err:
            _LOGGER.warning("peers: a message cannot be decoded: %s", err)
            return Failed(str(err))
        except (ToucandoorError, msgspec.MsgspecError) as err:
            return Failed(str(err))


def call_peer(peer: Peer, message: NodeMessage, timeout_s: float) -> NodeMessage:
    """Send one message and return its answer.

    Raises:
        PeerNotReachedError: No connection was made.
        PeerError: No valid answer came; the peer may have carried out the message.
    """
    step = f"peers.{type(message).__name__}"
    try:
        connection = connect(
            f"ws://{peer.address}",
            open_timeout=min(timeout_s, PEER_CONNECT_TIMEOUT_S),
            close_timeout=0,
            compression=None,
            max_size=FRAME_BYTES_MAX,
            proxy=None,
        )
    except (WebSocketException, OSError) as err:
        raise PeerNotReachedError(str(err), step=step, peer=peer.entry_id) from err
    try:
        with connection:
            connection.send(encode_message(message))
            return decode_message(connection.recv(timeout_s), peer.entry_id)
    except (WebSocketException, OSError, MessageError) as err:
        raise PeerError(str(err), step=step, peer=peer.entry_id) from err

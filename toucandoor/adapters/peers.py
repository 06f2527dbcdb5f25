"""Links between the node programs of entry VMs, for when the store turns one of them away."""

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
from toucandoor.core.records import LeaseEndedError, Transaction
from toucandoor.exceptions import MessageError, ToucandoorError
from toucandoor.ids import DataCentreId, EntryId
from toucandoor.node_messages import Failed, NodeMessage, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from websockets.sync.server import ServerConnection

    from toucandoor.core.records import RecordStore, StoreLease

_LOGGER = logging.getLogger(__name__)

NODE_PREFIX: Final = "nodes/"
NODE_TTL_S: Final = 15.0
"""Lease of a node's record; outlives the usual outage of the store."""
NODE_RENEW_INTERVAL_S: Final = 4.0
"""Time between renewals and reads of the list; three of them fit into the lease."""
PEER_CONNECT_TIMEOUT_S: Final = 0.5
"""Longest wait for a link; two nodes in touch answer in milliseconds."""
FRAME_BYTES_MAX: Final = 2_097_152
"""Largest frame: a value of the store, which holds a megabyte, and what is around it."""


class PeerError(ToucandoorError):
    """A peer could not be asked, or did not answer."""


class PeerNotReachedError(PeerError):
    """No link could be made; the peer has not seen the message."""


class NodeRecord(msgspec.Struct, frozen=True):
    """Where a node's peers reach it."""

    address: str
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class Peer:
    """Another node."""

    entry_id: EntryId
    address: str
    data_centre: DataCentreId


class PeerDirectory:
    """Knows the other nodes from their records in the store; keeps them while it is away."""

    def __init__(self, store: RecordStore, this_node: Peer) -> None:
        self._store = store
        self._this_node = this_node
        self._peers: tuple[Peer, ...] = ()
        self._lease: StoreLease | None = None
        self._stop = threading.Event()

    def start(self) -> None:
        """Register this node, and follow the others in a thread of its own."""
        threading.Thread(target=self._run, name="peers", daemon=True).start()

    def stop(self) -> None:
        """Withdraw this node's record."""
        self._stop.set()
        lease = self._lease
        if lease is None:
            return
        try:
            self._store.end_lease(lease.lease_id)
        except ToucandoorError as err:
            _LOGGER.info("peers: the record ends with its lease: %s", err)

    def nearest_first(self) -> list[Peer]:
        """Return the other nodes, those of this data centre first, else in random order."""
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
                _LOGGER.info("peers: the store does not answer: %s", err)
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
        record = NodeRecord(self._this_node.address, self._this_node.data_centre)
        key = NODE_PREFIX + self._this_node.entry_id
        writes = {key: msgspec.json.encode(record)}
        self._store.write(Transaction(writes=writes, lease_id=lease.lease_id))
        self._lease = lease

    def _read_peers(self) -> None:
        peers: list[Peer] = []
        for record in self._store.read_prefix(NODE_PREFIX).records:
            entry_id = EntryId(record.key.removeprefix(NODE_PREFIX))
            if entry_id == self._this_node.entry_id:
                continue
            try:
                node = msgspec.json.decode(record.value, type=NodeRecord)
            except msgspec.MsgspecError as err:
                _LOGGER.error("peers: record %s cannot be read: %s", record.key, err)
                continue
            peers.append(Peer(entry_id, node.address, node.data_centre))
        self._peers = tuple(peers)


class PeerServer:
    """Answers the messages of other nodes.

    Args:
        address: ``IP:port`` to listen on.
        answer: Returns the answer to a message; blocks.
    """

    def __init__(self, address: str, answer: Callable[[NodeMessage], NodeMessage]) -> None:
        self._address = address
        self._answer = answer

    def start(self) -> None:
        """Serve in a thread of its own."""
        host, port = split_address(self._address)
        server = serve(
            self._serve_connection, host, port, compression=None, max_size=FRAME_BYTES_MAX
        )
        threading.Thread(target=server.serve_forever, name="peer-server", daemon=True).start()

    def _serve_connection(self, link: ServerConnection) -> None:
        try:
            for frame in link:
                link.send(encode_message(self._answer_frame(frame)))
        except (WebSocketException, OSError) as err:
            _LOGGER.debug("peers: a link ended: %s", err)

    def _answer_frame(self, frame: str | bytes) -> NodeMessage:
        try:
            return self._answer(decode_message(frame, "peer"))
        except MessageError as err:
            _LOGGER.warning("peers: a message cannot be read: %s", err)
            return Failed(str(err))
        except (ToucandoorError, msgspec.MsgspecError) as err:
            return Failed(str(err))


def call_peer(peer: Peer, message: NodeMessage, timeout_s: float) -> NodeMessage:
    """Send one message and return its answer.

    Raises:
        PeerNotReachedError: No link could be made.
        PeerError: No answer came; the peer may have done what it was asked.
    """
    step = f"peers.{type(message).__name__}"
    try:
        link = connect(
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
        with link:
            link.send(encode_message(message))
            return decode_message(link.recv(timeout_s), peer.entry_id)
    except (WebSocketException, OSError, MessageError) as err:
        raise PeerError(str(err), step=step, peer=peer.entry_id) from err

"""Job service that relays calls to peers while this node cannot reach the store."""

from __future__ import annotations

import logging
import zlib
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.job_service import NO_ADDRESS, JobService, JobStatus, WriteOutcome
from toucandoor.adapters.peers import PeerError, PeerNotReachedError, call_peer
from toucandoor.core.jobs.models import JobState
from toucandoor.core.jobs.records import decode_job, encode
from toucandoor.exceptions import MessageError, StoreError, StoreUnavailableError, ToucandoorError
from toucandoor.ids import QueueId, TeamId
from toucandoor.node_messages import (
    AskConfiguration,
    AskPending,
    AskStatus,
    CancelJob,
    Configuration,
    Failed,
    NodeMessage,
    Outcome,
    Pending,
    Status,
    SubmitJob,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.peers import Peer, PeerDirectory
    from toucandoor.clock import Clock
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.ids import JobId, QueueAddress

_LOGGER = logging.getLogger(__name__)

COMPRESSION_LEVEL: Final = 1
"""Routes resemble each other, so that the fastest level makes a configuration much smaller."""

PEERS_TRIED_MAX: Final = 3
"""Most peers tried for one call. If a third of the nodes cannot reach the store, it is unlikely
that three peers are all among them."""
PEER_TIMEOUT_S: Final = 1.0
"""Longest wait for the answer of one peer."""
PEERS_FIRST_S: Final = 1.0
"""Time after a failed write to the store for which a node tries peers first."""


class RelayJobService(JobService):
    """Uses this node's own access to the store, and that of peers if it fails."""

    def __init__(
        self,
        own: JobService,
        peers: PeerDirectory,
        clock: Clock,
        store_reachable: Callable[[], bool],
    ) -> None:
        """Initialize.

        Args:
            own: Job service on this node's own access to the store.
            peers: The other nodes.
            clock: The clock.
            store_reachable: Whether the store has answered this node recently. While it has not,
                nothing is sent to it. A caller then learns at once that its job is not stored, and
                no late write makes that answer false.
        """
        self._store_reachable = store_reachable
        self._own = own
        self._peers = peers
        self._clock = clock
        self._peers_first_until_s = 0.0

    def submit(self, spec: JobSpec, until_s: float) -> WriteOutcome:
        """Store a job; a job that exists already counts as stored."""
        return self._write(
            lambda until: self._own.submit(spec, until),
            lambda wait_s: SubmitJob(encode(spec), wait_s),
            until_s,
        )

    def cancel(self, job_id: JobId, until_s: float) -> WriteOutcome:
        """Store the cancellation of a job."""
        return self._write(
            lambda until: self._own.cancel(job_id, until),
            lambda wait_s: CancelJob(job_id, wait_s),
            until_s,
        )

    def status(self, job_id: JobId) -> JobStatus | None:
        """Return the status of a job; None if it does not exist."""
        try:
            if self._store_reachable():
                return self._own.status(job_id)
            answer = self._query_peers(AskStatus(job_id), _STORE_UNREACHABLE)
        except StoreError as err:
            answer = self._query_peers(AskStatus(job_id), err)
        if not isinstance(answer, Status):
            raise MessageError("not a status", step="peers.status")
        if not answer.state:
            return None
        return JobStatus(answer.queue, answer.team, JobState(answer.state), answer.address)

    def pending(self, queue: QueueId, address: QueueAddress = NO_ADDRESS) -> int:
        """Return how many jobs of a queue have no started task."""
        try:
            if self._store_reachable():
                return self._own.pending(queue, address)
            answer = self._query_peers(AskPending(queue, address), _STORE_UNREACHABLE)
        except StoreError as err:
            answer = self._query_peers(AskPending(queue, address), err)
        if not isinstance(answer, Pending):
            raise MessageError("not a count", step="peers.pending")
        return answer.count

    def _write(
        self,
        write_own: Callable[[float], WriteOutcome],
        build_message: Callable[[float], NodeMessage],
        until_s: float,
    ) -> WriteOutcome:
        """Write by this node's own access, by peers, or by both.

        Writing by both is safe, as each creates the same record, which can exist only once.

        Args:
            write_own: Writes by this node's own access until a time on the monotonic clock.
            build_message: Returns the message to a peer that may take this many seconds.
            until_s: When the caller stops waiting, on the monotonic clock.
        """
        peers_first = self._clock.monotonic_s() < self._peers_first_until_s
        in_doubt = False
        reachable = self._store_reachable()
        if reachable and not peers_first:
            outcome = write_own(until_s - PEER_TIMEOUT_S)
            if outcome is WriteOutcome.STORED:
                return outcome
            in_doubt = outcome is WriteOutcome.UNKNOWN
            self._peers_first_until_s = self._clock.monotonic_s() + PEERS_FIRST_S
        for peer in self._peers.nearest_first()[:PEERS_TRIED_MAX]:
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0:
                break
            outcome = self._write_by_peer(peer, build_message(min(left_s, PEER_TIMEOUT_S)), left_s)
            if outcome is WriteOutcome.STORED:
                return outcome
            in_doubt = in_doubt or outcome is WriteOutcome.UNKNOWN
        if reachable and peers_first:
            outcome = write_own(until_s)
            if outcome is not WriteOutcome.NOT_STORED:
                return outcome
        return WriteOutcome.UNKNOWN if in_doubt else WriteOutcome.NOT_STORED

    def _write_by_peer(self, peer: Peer, message: NodeMessage, left_s: float) -> WriteOutcome:
        try:
            answer = call_peer(peer, message, min(left_s, PEER_TIMEOUT_S))
        except PeerNotReachedError as err:
            _LOGGER.info("peers: connecting to a peer failed: %s", err)
            return WriteOutcome.NOT_STORED
        except PeerError as err:
            _LOGGER.info("peers: no answer to a write: %s", err)
            return WriteOutcome.UNKNOWN
        if isinstance(answer, Outcome):
            return WriteOutcome(answer.outcome)
        _LOGGER.info("peers: %s did not confirm a write: %s", peer.entry_id, answer)
        return WriteOutcome.NOT_STORED if isinstance(answer, Failed) else WriteOutcome.UNKNOWN

    def _query_peers(self, message: NodeMessage, cause: ToucandoorError) -> NodeMessage:
        """Return the first successful answer of a peer to a query.

        Args:
            message: The query.
            cause: Error to raise if no peer answers.
        """
        for peer in self._peers.nearest_first()[:PEERS_TRIED_MAX]:
            try:
                answer = call_peer(peer, message, PEER_TIMEOUT_S)
            except PeerError as err:
                _LOGGER.info("peers: query failed: %s", err)
                continue
            if not isinstance(answer, Failed):
                return answer
        raise cause


class PeerRequestHandler:
    """Handles messages of other nodes by this node's own access to the store."""

    def __init__(
        self,
        own: JobService,
        configuration: Callable[[], JobConfiguration | None],
        clock: Clock,
        store_reachable: Callable[[], bool],
    ) -> None:
        self._latest_compressed: tuple[int, bytes] = (-1, b"")
        self._store_reachable = store_reachable
        self._own = own
        self._configuration = configuration
        self._clock = clock

    def answer(self, message: NodeMessage) -> NodeMessage:
        """Return the answer to a message.

        Raises:
            ToucandoorError: The store does not answer.
        """
        if isinstance(message, AskConfiguration):
            present = self._configuration()
            if present is None or present.version <= message.newer_than:
                return Configuration(b"")
            if message.compressed:
                return Configuration(self._compressed(present), compressed=True)
            return Configuration(present.source)
        if not self._store_reachable():
            return Failed(_STORE_UNREACHABLE.reason)
        now_s = self._clock.monotonic_s()
        if isinstance(message, SubmitJob):
            return Outcome(self._own.submit(decode_job(message.spec), now_s + message.wait_s).value)
        if isinstance(message, CancelJob):
            return Outcome(self._own.cancel(message.job_id, now_s + message.wait_s).value)
        if isinstance(message, AskStatus):
            status = self._own.status(message.job_id)
            if status is None:
                return _UNKNOWN_JOB
            return Status(status.queue, status.team, status.state.value, status.address)
        if isinstance(message, AskPending):
            return Pending(self._own.pending(message.queue, message.address))
        return Failed("not a question")

    def _compressed(self, configuration: JobConfiguration) -> bytes:
        """Return a configuration's record, compressed once for all peers that ask for it."""
        version, source = self._latest_compressed
        if version != configuration.version:
            source = zlib.compress(configuration.source, COMPRESSION_LEVEL)
            self._latest_compressed = configuration.version, source
        return source


_STORE_UNREACHABLE = StoreUnavailableError("the store does not answer", step="store")
_UNKNOWN_JOB = Status(QueueId(""), TeamId(""), "")

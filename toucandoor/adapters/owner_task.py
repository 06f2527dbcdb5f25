"""Claims the ownership of the schedule, and runs the scheduler while this entry VM holds it."""

from __future__ import annotations

import logging
import random
import threading
from typing import TYPE_CHECKING, Final
from uuid import uuid4

import msgspec

from toucandoor.adapters.owner_term import OwnerTerm
from toucandoor.adapters.pauses import jittered_s
from toucandoor.adapters.peers import NODE_PREFIX, Peer, decode_peers
from toucandoor.core.ownership.candidates import (
    CANDIDATES_READ_INTERVAL_S,
    VmCapacity,
    YieldPolicy,
    claim_delay_s,
    earlier_claims,
    stronger_exists,
    usable_elsewhere,
)
from toucandoor.core.ownership.handover import HANDOVER_KEY, decode_handover
from toucandoor.core.ownership.lease import (
    OWNER_KEY,
    OWNER_TTL_S,
    OwnerRecord,
    OwnershipLease,
    decode_owner,
    encode_owner,
)
from toucandoor.core.records import HistoryLostError, Transaction, TransactionConflictError
from toucandoor.exceptions import StoreAnswerLostError, ToucandoorError
from toucandoor.ids import FencingToken

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from toucandoor.adapters.term_context import OwnerDependencies
    from toucandoor.core.records import Record, StoreLease
    from toucandoor.core.scheduling.workers import Boot

_LOGGER = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 1.5
"""Longest wait of a watch of the ownership record. It bounds for how long a dead connection to the
store delays a takeover."""
RETRY_PAUSE_S: Final = 0.2
"""Pause after a failed call to the store."""
CLAIM_JITTER_S: Final = 0.005
"""Longest random delay of a claim, against conflicts of VMs that have the same delay. It is well
below the delay between two VMs that claim in turn."""


class OwnerTask:
    """Thread that claims the ownership whenever it is vacant, and runs a term as the owner."""

    def __init__(self, dependencies: OwnerDependencies) -> None:
        self._dependencies = dependencies
        self._stop = threading.Event()
        self._term: OwnerTerm | None = None
        self._revision: int | None = None
        self._handover: Record | None = None
        settings = dependencies.settings
        self._capacity = VmCapacity(settings.processor_cores, settings.link_mbps)
        self._yield_policy = YieldPolicy(self._capacity)
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    def start(self) -> None:
        """Start to watch the ownership record."""
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """End a running term, release the ownership, and wait for the thread to end."""
        self._stop.set()
        term = self._term
        if term is not None:
            term.stop()
        self._thread.join(timeout_s)

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the schedule now."""
        return self._term is not None

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                if self._wait_for_vacancy() and not self._stop.is_set() and self._wait_for_turn():
                    self._revision = None
                    self._claim_and_serve()
            except HistoryLostError:
                self._revision = None
            except ToucandoorError as err:
                _LOGGER.info("owner: a call to the store failed; trying again: %s", err)
                self._revision = None
                self._stop.wait(jittered_s(RETRY_PAUSE_S))
            except Exception:
                # A bug must not leave the fleet without an owner permanently.
                _LOGGER.exception("owner: unhandled error while claiming or in a term")
                self._revision = None
                self._stop.wait(jittered_s(RETRY_PAUSE_S))

    def _wait_for_turn(self) -> bool:
        """Wait for the delay of a claim; return whether this VM should claim then."""
        snapshot = self._dependencies.store.read_prefix(NODE_PREFIX)
        peers = decode_peers(snapshot.records, self._dependencies.entry_id)
        own_key = NODE_PREFIX + self._dependencies.entry_id
        own_revision = next((each.revision for each in snapshot.records if each.key == own_key), 0)
        delay_s = self._claim_delay_s(peers, own_revision)
        jitter_s = random.uniform(0, CLAIM_JITTER_S)
        if not delay_s or self._revision is None:
            self._stop.wait(delay_s + jitter_s)
            return True
        # Claims after that of another VM would load the store while the new owner reads its
        # records, and each takes three calls.
        changes = self._dependencies.store.watch(OWNER_KEY, self._revision, delay_s + jitter_s)
        self._revision = changes.revision
        return all(record.key != OWNER_KEY for record in changes.written)

    def _claim_delay_s(self, peers: Collection[Peer], own_revision: int) -> float:
        """Return how long to delay a claim, without the random part against conflicts."""
        others = ((peer.revision, peer.capacity) for peer in peers)
        earlier = earlier_claims(self._capacity, own_revision, others)
        return claim_delay_s(earlier, weaker=self._weaker_than_a_peer(peers))

    def _weaker_than_a_peer(self, peers: Collection[Peer]) -> bool:
        """Return whether one of the listed entry VMs should claim well before this one."""
        if stronger_exists(self._capacity, (peer.capacity for peer in peers)):
            return True
        return self._should_be_elsewhere(peers)

    def _read_peers(self) -> tuple[Peer, ...]:
        snapshot = self._dependencies.store.read_prefix(NODE_PREFIX)
        return decode_peers(snapshot.records, self._dependencies.entry_id)

    def _should_be_elsewhere(self, peers: Iterable[Peer]) -> bool:
        """Return whether this data centre is evacuated and a VM elsewhere can own the schedule."""
        evacuations = self._dependencies.configuration.evacuations
        if evacuations is None:
            return False
        others = ((peer.data_centre, peer.capacity) for peer in peers)
        own = self._dependencies.settings.data_centre
        return usable_elsewhere(self._capacity, own, others, evacuations.in_force)

    def _yield_to_a_stronger_vm(self, term: OwnerTerm, term_ended: threading.Event) -> None:
        """End the term once a stronger VM can own the schedule; runs in a thread of the term."""
        while not term_ended.wait(CANDIDATES_READ_INTERVAL_S):
            try:
                peers = self._read_peers()
            except ToucandoorError as err:
                _LOGGER.info("owner: reading the other entry VMs failed: %s", err)
                continue
            now_s = self._dependencies.clock.monotonic_s()
            if self._should_be_elsewhere(peers) and self._yield_policy.should_leave(now_s):
                _LOGGER.info("owner: releasing the ownership, as this data centre is evacuated")
                term.stop()
                return
            capacities = {peer.entry_id: peer.capacity for peer in peers}
            if self._yield_policy.should_yield(capacities, now_s):
                _LOGGER.info("owner: releasing the ownership, as a stronger VM is available")
                term.stop()
                return

    def _wait_for_vacancy(self) -> bool:
        """Wait for a change if a revision is known; return whether the ownership is vacant."""
        store = self._dependencies.store
        if self._revision is not None:
            changes = store.watch(OWNER_KEY, self._revision, WATCH_WAIT_S)
            self._revision = changes.revision
            if not changes.deleted:
                return False
        snapshot = store.read_prefix(OWNER_KEY)
        self._revision = snapshot.revision
        found = {record.key: record for record in snapshot.records}
        self._handover = found.get(HANDOVER_KEY)
        return OWNER_KEY not in found

    def _claim_and_serve(self) -> None:
        clock = self._dependencies.clock
        claim = OwnerRecord(self._dependencies.entry_id, uuid4().hex)
        requested_at_s = clock.monotonic_s()
        lease = self._dependencies.store.grant_lease(OWNER_TTL_S)
        try:
            token = self._claim(claim, lease)
        except ToucandoorError:
            # The store may still carry out the claim; without its lease it can't.
            self._dependencies.store.end_lease(lease.lease_id)
            raise
        if token is None:
            self._dependencies.store.end_lease(lease.lease_id)
            return
        _LOGGER.info(
            "owner: this VM owns the schedule",
            extra={"token": token, "claim_s": clock.monotonic_s() - requested_at_s},
        )
        ownership = OwnershipLease(clock, requested_at_s, lease.ttl_s)
        term = OwnerTerm(
            self._dependencies, token, lease, ownership, _decode_leases(self._handover)
        )
        self._term = term
        self._dependencies.metrics.set_owner(True)
        term_ended = threading.Event()
        self._yield_policy.begin_term()
        threading.Thread(
            target=self._yield_to_a_stronger_vm,
            args=(term, term_ended),
            name="candidates",
            daemon=True,
        ).start()
        try:
            if not self._stop.is_set():
                term.serve()
        finally:
            term_ended.set()
            self._term = None
            self._dependencies.metrics.set_owner(False)
            self._release(lease)

    def _claim(self, claim: OwnerRecord, lease: StoreLease) -> FencingToken | None:
        """Write the claim; return its fencing token, or None if another entry VM was first.

        The write also deletes the handover record, and conflicts if that record was written or
        deleted since it was read. So each handover is used by one owner only.
        """
        handover = self._handover
        transaction = Transaction(
            {OWNER_KEY: 0, HANDOVER_KEY: handover.revision if handover is not None else 0},
            {OWNER_KEY: encode_owner(claim)},
            (HANDOVER_KEY,) if handover is not None else (),
            lease_id=lease.lease_id,
        )
        store = self._dependencies.store
        try:
            return FencingToken(store.write(transaction))
        except TransactionConflictError:
            return None
        except StoreAnswerLostError:
            record = store.read(OWNER_KEY)
            if record is not None and _matches_claim(record, claim):
                return FencingToken(record.created_revision)
            raise

    def _release(self, lease: StoreLease) -> None:
        try:
            self._dependencies.store.end_lease(lease.lease_id)
            _LOGGER.info("owner: the ownership is released")
        except ToucandoorError as err:
            _LOGGER.warning(
                "owner: releasing the ownership failed; it expires with its lease: %s", err
            )


def _decode_leases(record: Record | None) -> dict[Boot, float]:
    """Return the leases of unresponsive boots in a handover record; empty without a valid one."""
    if record is None:
        return {}
    try:
        return decode_handover(record.value)
    except msgspec.MsgspecError as err:
        _LOGGER.error("owner: the handover record cannot be decoded: %s", err)
        return {}


def _matches_claim(record: Record, claim: OwnerRecord) -> bool:
    try:
        return decode_owner(record.value) == claim
    except msgspec.MsgspecError as err:
        _LOGGER.error("owner: the ownership record cannot be decoded: %s", err)
        return False

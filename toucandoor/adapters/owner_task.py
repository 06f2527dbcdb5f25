"""Claims the schedule's ownership and, while it holds, runs the scheduler against the platform."""

from __future__ import annotations

import logging
import random
import threading
from typing import TYPE_CHECKING, Final
from uuid import uuid4

import msgspec

from toucandoor.adapters.owner_term import OwnerTerm
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
    from toucandoor.adapters.term_context import Surroundings
    from toucandoor.core.records import Record, StoreLease
    from toucandoor.core.scheduling.workers import Boot

_LOGGER = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 1.5
"""How long a watch of the ownership waits; below its lease, so that a silent connection to the
store delays a take-over by less than that."""
RETRY_PAUSE_S: Final = 0.2
"""Pause after the store did not answer."""
CLAIM_JITTER_S: Final = 0.02
"""Claims are spread over this long, five answers of the store, so that few of them conflict."""
CLAIM_DELAY_S_MAX: Final = 0.2
"""Longest that a claim is left to younger processes; a tenth of the ownership's lease."""
CLAIM_DELAY_HALF_AGE_S: Final = 10.0
"""Age of a process at which half of that applies; nodes are restarted seconds apart."""


class OwnerTask:
    """Thread that owns the schedule whenever no other entry VM does."""

    def __init__(self, surroundings: Surroundings) -> None:
        self._around = surroundings
        self._stop = threading.Event()
        self._term: OwnerTerm | None = None
        self._revision: int | None = None
        self._handover: Record | None = None
        self._started_s = surroundings.clock.monotonic_s()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    def start(self) -> None:
        """Begin to watch for the ownership."""
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """Hand the ownership over and end."""
        self._stop.set()
        term = self._term
        if term is not None:
            term.stop()
        self._thread.join(timeout_s)

    @property
    def owns(self) -> bool:
        """Whether this process owns the schedule now."""
        return self._term is not None

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                if self._vacant() and not self._stop.is_set():
                    self._revision = None
                    self._stop.wait(self._claim_delay_s())
                    self._claim_and_serve()
            except HistoryLostError:
                self._revision = None
            except ToucandoorError as err:
                _LOGGER.info("owner: the store does not answer: %s", err)
                self._revision = None
                self._stop.wait(RETRY_PAUSE_S)
            except Exception:
                # A fault of ours must not leave the fleet without an owner for good.
                _LOGGER.exception("owner: a term broke")
                self._revision = None
                self._stop.wait(RETRY_PAUSE_S)

    def _claim_delay_s(self) -> float:
        """Return how long to leave the claim to others: longer, the longer this process runs.

        Where nodes are restarted in turn, the owner's place goes to one that has been.
        """
        age_s = self._around.clock.monotonic_s() - self._started_s
        waits = CLAIM_DELAY_S_MAX * age_s / (age_s + CLAIM_DELAY_HALF_AGE_S)
        return waits + random.uniform(0, CLAIM_JITTER_S)

    def _vacant(self) -> bool:
        """Wait for a change of the ownership where one is known; return whether nobody has it."""
        store = self._around.store
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
        clock = self._around.clock
        claim = OwnerRecord(self._around.entry_id, uuid4().hex)
        asked_at_s = clock.monotonic_s()
        lease = self._around.store.grant_lease(OWNER_TTL_S)
        token = self._claim(claim, lease)
        if token is None:
            self._around.store.end_lease(lease.lease_id)
            return
        _LOGGER.info(
            "owner: this VM owns the schedule",
            extra={"token": token, "claim_s": clock.monotonic_s() - asked_at_s},
        )
        validity = OwnershipLease(clock, asked_at_s, lease.ttl_s)
        term = OwnerTerm(self._around, token, lease, validity, _handed_over(self._handover))
        self._term = term
        self._around.metrics.owns(True)
        try:
            if not self._stop.is_set():
                term.serve()
        finally:
            self._term = None
            self._around.metrics.owns(False)
            self._release(lease)

    def _claim(self, claim: OwnerRecord, lease: StoreLease) -> FencingToken | None:
        """Write the claim; return its token, None where another VM was first.

        The claim fails where another handover has been written or used since this one was read.
        """
        handover = self._handover
        transaction = Transaction(
            {OWNER_KEY: 0, HANDOVER_KEY: handover.revision if handover is not None else 0},
            {OWNER_KEY: encode_owner(claim)},
            (HANDOVER_KEY,) if handover is not None else (),
            lease_id=lease.lease_id,
        )
        store = self._around.store
        try:
            return FencingToken(store.write(transaction))
        except TransactionConflictError:
            return None
        except StoreAnswerLostError:
            record = store.read(OWNER_KEY)
            if record is not None and _is_claim(record, claim):
                return FencingToken(record.created_revision)
            raise

    def _release(self, lease: StoreLease) -> None:
        try:
            self._around.store.end_lease(lease.lease_id)
            _LOGGER.info("owner: the ownership is given back")
        except ToucandoorError as err:
            _LOGGER.warning("owner: the ownership ends with its lease: %s", err)


def _handed_over(record: Record | None) -> dict[Boot, float]:
    """Return what the former owner has said of silent boots; nothing where it has not."""
    if record is None:
        return {}
    try:
        return decode_handover(record.value)
    except msgspec.MsgspecError as err:
        _LOGGER.error("owner: what was handed over cannot be read: %s", err)
        return {}


def _is_claim(record: Record, claim: OwnerRecord) -> bool:
    try:
        return decode_owner(record.value) == claim
    except msgspec.MsgspecError as err:
        _LOGGER.error("owner: its record cannot be read: %s", err)
        return False

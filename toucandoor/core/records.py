"""Interface to the platform's key-value store: records, watches and leases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.exceptions import StoreConflictError, StoreError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from toucandoor.ids import StoreLeaseId

DEFAULT_VALUE_BYTES_MAX: Final = 1024 * 1024
"""Largest value of the store if the settings do not name it."""


@dataclass(frozen=True, slots=True)
class Record:
    """Key of the store with its value.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the store at which the key was last written.
        created_revision: Revision of the store at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Records under a prefix.

    Attributes:
        records: The records. A large prefix is read in pages, each at its own revision, so the
            records need not be consistent with each other.
        revision: Revision as of the first page; a watch from it misses no change.
        bytes_read: Size of the store's answers; 0 where the client does not count it.
    """

    records: tuple[Record, ...]
    revision: int
    bytes_read: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes that a watch returned.

    Attributes:
        written: Records that were written, in order.
        deleted: Keys that were deleted, in order.
        revision: Revision from which the next watch continues.
        deletion_revisions: Revisions of the deletions, in the order of `deleted`; empty where the
            client does not give them.
    """

    written: tuple[Record, ...]
    deleted: tuple[str, ...]
    revision: int
    deletion_revisions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect atomically.

    Attributes:
        expected: Revision that each of these keys must have, by key; 0 if the key must not exist.
        writes: Values to write, by key.
        removals: Keys to delete.
        lease_id: Store lease whose end deletes the written keys; None for no lease.
    """

    expected: dict[str, int] = field(default_factory=dict)
    writes: dict[str, bytes] = field(default_factory=dict)
    removals: tuple[str, ...] = ()
    lease_id: StoreLeaseId | None = None


@dataclass(frozen=True, slots=True)
class StoreLease:
    """Lease granted by the store."""

    lease_id: StoreLeaseId
    ttl_s: float


class HistoryLostError(StoreError):
    """The store has discarded changes that a watch asked for."""


class LeaseEndedError(StoreError):
    """The store lease named by a write or renewal has ended."""


class TransactionConflictError(StoreConflictError):
    """A key did not have the expected revision; nothing was written.

    Args:
        present: Present records of the expected keys; keys that do not exist are left out.
    """

    def __init__(
        self, reason: str, *, step: str, peer: str = "", present: tuple[Record, ...] = ()
    ) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.present = present


class RecordStore(ABC):
    """Client of the platform's key-value store with blocking calls.

    All calls raise `StoreUnavailableError` if they had no effect, and `StoreAnswerLostError` if a
    write may have taken effect or may still do so.
    """

    @abstractmethod
    def read(self, key: str) -> Record | None:
        """Return a record, None if the key does not exist."""

    @abstractmethod
    def read_pages(self, prefix: str) -> Iterator[Snapshot]:
        """Yield the records under a prefix in pages; a page is read when it is asked for."""

    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all records under a prefix."""
        pages = list(self.read_pages(prefix))
        records = tuple(record for page in pages for record in page.records)
        return Snapshot(records, pages[0].revision, sum(page.bytes_read for page in pages))

    @abstractmethod
    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision; return none if the wait times out.

        Raises:
            HistoryLostError: The store has discarded some of the changes; read the prefix again.
        """

    @abstractmethod
    def write(self, transaction: Transaction) -> int:
        """Write a transaction and return its revision.

        Raises:
            TransactionConflictError: A key did not have the expected revision.
            LeaseEndedError: The lease has ended.
            StoreRejectedError: The transaction is invalid, such as with a value that is too large.
        """

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> StoreLease:
        """Return a new lease."""

    @abstractmethod
    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        """Renew a lease.

        Args:
            lease_id: The lease.
            timeout_s: Time-out of the call; None for the default.

        Raises:
            LeaseEndedError: The lease has ended.
        """

    @abstractmethod
    def end_lease(self, lease_id: StoreLeaseId) -> None:
        """End a lease; the store deletes its keys."""

"""Interface to the platform's store, as the product needs it: records, watches, leases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.exceptions import StoreConflictError, StoreError

if TYPE_CHECKING:
    from toucandoor.ids import StoreLeaseId


@dataclass(frozen=True, slots=True)
class Record:
    """A key's value.

    Attributes:
        key: Name of the record.
        value: Its bytes.
        revision: Revision of the store that wrote it last.
        created_revision: Revision of the store that created it.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Records below a prefix.

    Attributes:
        records: The records; a large prefix is read in pages, which are not of one moment.
        revision: Revision before the first page; a watch from here misses nothing.
    """

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch saw, in order.

    Attributes:
        written: Records that were written.
        deleted: Keys that were removed.
        revision: Where the next watch continues.
    """

    written: tuple[Record, ...]
    deleted: tuple[str, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect all together or not at all.

    Attributes:
        expected: Revision that each of these keys must have; 0 where it must not exist.
        writes: Values to write by key.
        removals: Keys to remove.
        lease_id: Lease that the written keys go with; None for none.
    """

    expected: dict[str, int] = field(default_factory=dict)
    writes: dict[str, bytes] = field(default_factory=dict)
    removals: tuple[str, ...] = ()
    lease_id: StoreLeaseId | None = None


@dataclass(frozen=True, slots=True)
class StoreLease:
    """A lease that the store granted."""

    lease_id: StoreLeaseId
    ttl_s: float


class HistoryLostError(StoreError):
    """The store no longer has the changes that a watch asked for."""


class LeaseEndedError(StoreError):
    """The lease that a write or renewal named has ended."""


class TransactionConflictError(StoreConflictError):
    """A key had another revision than the expected one; nothing was written.

    Args:
        present: The expected keys as they are now; keys that do not exist are left out.
    """

    def __init__(
        self, reason: str, *, step: str, peer: str = "", present: tuple[Record, ...] = ()
    ) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.present = present


class RecordStore(ABC):
    """The platform's store. Calls block.

    All raise `StoreUnavailableError` where nothing was done, and `StoreAnswerLostError` where a
    write may have taken effect or may still do so.
    """

    @abstractmethod
    def read(self, key: str) -> Record | None:
        """Return a record, None where it does not exist."""

    @abstractmethod
    def read_prefix(self, prefix: str) -> Snapshot:
        """Return all records below a prefix."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; empty when none came in time.

        Raises:
            HistoryLostError: Changes are missing; read the prefix anew.
        """

    @abstractmethod
    def write(self, transaction: Transaction) -> int:
        """Write and return the revision.

        Raises:
            TransactionConflictError: A key had another revision.
            LeaseEndedError: The lease has ended.
        """

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> StoreLease:
        """Return a new lease."""

    @abstractmethod
    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        """Renew a lease.

        Args:
            lease_id: The lease.
            timeout_s: Longest wait for the answer; None for the usual.

        Raises:
            LeaseEndedError: It has ended.
        """

    @abstractmethod
    def end_lease(self, lease_id: StoreLeaseId) -> None:
        """End a lease; its keys are removed."""

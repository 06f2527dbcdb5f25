"""Ledger writes of one coordinator: at most one is open at a time."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.models import WriteLedger
from toucandoor.ids import OperationId

if TYPE_CHECKING:
    from toucandoor.core.ceilings.ledger import LedgerChange
    from toucandoor.core.ceilings.models import Ledger
    from toucandoor.ids import TeamId


class WriteOutcome(Enum):
    """Outcome of the last write, as far as it is known."""

    NONE = "none"
    """There was no write, or its outcome was returned before."""

    APPLIED = "applied"
    VOID = "void"
    """The write can never take effect any more."""

    OPEN = "open"
    """The write may still take effect."""


class LedgerWrites:
    """Tracks the write whose outcome is not known yet.

    Args:
        start_id: Unique to this start of the coordinator; prefix of its operation ids.

    Attributes:
        withdrawn: Permits that the coordinator gave up with the write.
    """

    def __init__(self, start_id: str) -> None:
        self._start_id = start_id
        self._operations_count = 0
        self._pending: WriteLedger | None = None
        self._is_retry_due = False
        self.withdrawn: Counter[TeamId] = Counter()

    @property
    def is_open(self) -> bool:
        """Return whether the outcome of a write is not known yet."""
        return self._pending is not None

    def next_operation(self) -> OperationId:
        """Return the id that the next write will carry."""
        return OperationId(f"{self._start_id}.{self._operations_count + 1}")

    def begin(self, ledger: Ledger, base_revision: int) -> WriteLedger:
        """Open a write that moves no permits and return it."""
        self._pending = WriteLedger(ledger, base_revision, self.next_operation())
        self._operations_count += 1
        return self._pending

    def begin_change(self, change: LedgerChange, base_revision: int) -> WriteLedger:
        """Open the write of a change and return it; the caller has given up its permits."""
        self.withdrawn = +change.withdrawn
        return self.begin(change.ledger, base_revision)

    def settle(self, last_operation: OperationId, revision: int) -> WriteOutcome:
        """Return the outcome of the open write, and close it when that is known.

        Args:
            last_operation: Operation in this data centre's line of the ledger.
            revision: Revision of that ledger.
        """
        pending = self._pending
        if pending is None:
            return WriteOutcome.NONE
        if last_operation == pending.operation:
            self._pending = None
            return WriteOutcome.APPLIED
        if revision > pending.base_revision:
            # The base revision has been replaced, so the compare-and-swap cannot succeed any more.
            self._pending = None
            return WriteOutcome.VOID
        self._is_retry_due = True
        return WriteOutcome.OPEN

    def pop_retry(self) -> WriteLedger | None:
        """Return the open write for a retry, once after each read that did not show it."""
        if not self._is_retry_due:
            return None
        self._is_retry_due = False
        return self._pending

    def pop_withdrawn(self) -> Counter[TeamId]:
        """Return the permits that were given up with the settled write, and clear them."""
        withdrawn, self.withdrawn = self.withdrawn, Counter()
        return withdrawn

    def discard(self) -> None:
        """Discard the open write, because its term has ended."""
        self._pending = None
        self._is_retry_due = False
        self.withdrawn = Counter()

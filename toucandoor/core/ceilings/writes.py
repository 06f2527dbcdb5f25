"""Ledger writes of one coordinator: one at a time, each settled before the next."""

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
    """What is known of the last write."""

    NONE = "none"
    """There was none, or it was settled before."""

    APPLIED = "applied"
    VOID = "void"
    """It can never take effect any more."""

    OPEN = "open"


class LedgerWrites:
    """The write whose outcome is not known yet, and the permits that left the pool with it.

    Args:
        start_id: Unique to this start of the coordinator; prefix of its operation ids.
    """

    def __init__(self, start_id: str) -> None:
        self._start_id = start_id
        self._operations = 0
        self._pending: WriteLedger | None = None
        self._is_due_again = False
        self.withdrawn: Counter[TeamId] = Counter()

    @property
    def is_open(self) -> bool:
        """Return whether a write waits for its outcome."""
        return self._pending is not None

    def next_operation(self) -> OperationId:
        """Return the id that the next write will carry."""
        return OperationId(f"{self._start_id}.{self._operations + 1}")

    def send(self, ledger: Ledger, base_revision: int) -> WriteLedger:
        """Return a write that moves no permits."""
        self._pending = WriteLedger(ledger, base_revision, self.next_operation())
        self._operations += 1
        return self._pending

    def send_change(self, change: LedgerChange, base_revision: int) -> WriteLedger:
        """Return the write of a change; its permits have left the pool."""
        self.withdrawn = +change.withdrawn
        return self.send(change.ledger, base_revision)

    def settle(self, last_operation: OperationId, revision: int) -> WriteOutcome:
        """Find out what became of the write.

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
            # The compare-and-swap can never succeed any more.
            self._pending = None
            return WriteOutcome.VOID
        self._is_due_again = True
        return WriteOutcome.OPEN

    def again(self) -> WriteLedger | None:
        """Return the open write once each time the store was seen without it."""
        if not self._is_due_again:
            return None
        self._is_due_again = False
        return self._pending

    def take_withdrawn(self) -> Counter[TeamId]:
        """Return the permits that left the pool with the settled write, and forget them."""
        withdrawn, self.withdrawn = self.withdrawn, Counter()
        return withdrawn

    def forget(self) -> None:
        """Forget the open write: its term is over."""
        self._pending = None
        self._is_due_again = False
        self.withdrawn = Counter()

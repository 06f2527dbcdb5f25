"""Stand-in for the platform's key-value service in virtual time, for tests and measurements."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.pools.models import StoreUnavailable, SwapConflict, SwapDone, SwapUnconfirmed

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.pools.models import StoreAnswer, Swap


class StoreFault(Enum):
    """Fault of one call.

    With the three kinds of a lost answer, the swap takes effect never, at once or late.
    """

    UNAVAILABLE = "away"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LOST_LATE = "lost_late"


@dataclass(slots=True)
class VirtualStore:
    """Compare-and-swap on keys, with a fault for each call where its caller chooses one.

    Attributes:
        values: Present value of each key.
        revisions: Present revision of each key.
        writes: Number of swaps that took effect.
        calls: Number of calls of any kind.
        bytes_written: Sum of the sizes of written values, in bytes.
        on_write: Called with the key after each swap that took effect.
    """

    values: dict[str, bytes] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    writes: int = 0
    calls: int = 0
    bytes_written: int = 0
    on_write: Callable[[str], None] | None = None
    _late: list[Swap] = field(default_factory=list)

    def swap(self, swap: Swap, fault: StoreFault | None = None) -> StoreAnswer:
        """Carry out a swap and return the answer that its caller gets."""
        self.calls += 1
        match fault:
            case StoreFault.UNAVAILABLE:
                return StoreUnavailable(swap.key)
            case StoreFault.LOST_BEFORE:
                return SwapUnconfirmed(swap.key)
            case StoreFault.LOST_AFTER:
                self._apply(swap)
                return SwapUnconfirmed(swap.key)
            case StoreFault.LOST_LATE:
                self._late.append(swap)
                return SwapUnconfirmed(swap.key)
        return self._apply(swap)

    def deliver_late(self) -> None:
        """Apply the swaps that were delayed on the network."""
        late, self._late = self._late, []
        for swap in late:
            self._apply(swap)

    def get(self, key: str) -> tuple[bytes | None, int]:
        """Return a key's value and revision; None and 0 when it does not exist."""
        self.calls += 1
        return self.values.get(key), self.revisions.get(key, 0)

    def _apply(self, swap: Swap) -> StoreAnswer:
        if self.revisions.get(swap.key, 0) != swap.expected_revision:
            return SwapConflict(swap.key)
        self.writes += 1
        self.bytes_written += len(swap.value)
        self.values[swap.key] = swap.value
        self.revisions[swap.key] = self.writes
        if self.on_write is not None:
            self.on_write(swap.key)
        return SwapDone(swap.key, self.writes)

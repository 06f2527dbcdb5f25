"""Parts of the permit simulation: store, entries, tasks, event queue and network faults."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.ceilings.ledger import decode_ledger, encode_ledger
from toucandoor.core.ceilings.models import Ledger

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.ceilings.coordinator import PermitCoordinator
    from toucandoor.core.ceilings.models import WriteLedger
    from toucandoor.core.ceilings.policy import PermitPolicy
    from toucandoor.core.leases.serving import FixedLease
    from toucandoor.ids import AttemptId, DataCentreId, EntryId, IncarnationId, TeamId

ENTRY_LEASE_S = 6.0
TASK_LEASE_S = 30.0
CUT_OFF_GRACE_S = 120.0
LEASE_EXPIRY_MARGIN_S = 1.0
"""Time after a lease's end from which it counts as expired and is not renewed."""


@dataclass(slots=True)
class Task:
    """A task on a backend server; it ends at its end time or when its lease expires."""

    team: TeamId
    end_s: float
    lease_end_s: float


@dataclass(slots=True)
class FakeEntry:
    """An entry's process.

    Attributes:
        lease: Lease as the process knows it.
        granted_until_s: Virtual time until which the lease was granted.
        partitioned: Whether the entry exchanges no messages and its lease is not renewed.
    """

    entry: EntryId
    data_centre: DataCentreId
    incarnation: IncarnationId
    lease: FixedLease
    permits: PermitPolicy
    tasks: dict[AttemptId, Task] = field(default_factory=dict)
    alive: bool = True
    paused: bool = False
    partitioned: bool = False
    granted_until_s: float = 0.0

    @property
    def active(self) -> bool:
        """Whether the process is alive and not paused."""
        return self.alive and not self.paused


@dataclass(slots=True)
class FormerCoordinator:
    """A coordinator that goes on running beside its successor."""

    data_centre: DataCentreId
    coordinator: PermitCoordinator
    reaches_store: bool


class FakeStore:
    """The ledger's key in the store; the simulation checks `available` and loses answers itself."""

    def __init__(self) -> None:
        self.value = encode_ledger(Ledger())
        self.ledger = Ledger()
        self.revision = 0
        self.available = True
        self.writes = 0
        self.calls = 0
        self.bytes_max = 0

    def compare_and_swap(self, write: WriteLedger) -> bool:
        """Write the ledger if its base revision is the current one; return whether it was."""
        self.calls += 1
        if write.base_revision != self.revision:
            return False
        self.writes += 1
        self.revision += 1
        self.value = encode_ledger(write.ledger)
        self.ledger = decode_ledger(self.value)
        self.bytes_max = max(self.bytes_max, len(self.value))
        return True


class EventQueue:
    """Queue of actions by the virtual time at which they are due."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callable[[], object]]] = []
        self._order = itertools.count()

    def add(self, at_s: float, action: Callable[[], object]) -> None:
        """Add an action; those of the same time run in the order they were added."""
        heapq.heappush(self._entries, (at_s, next(self._order), action))

    def run_due(self, now_s: float) -> None:
        """Run the actions that are due, including those that they add."""
        while self._entries and self._entries[0][0] <= now_s:
            heapq.heappop(self._entries)[2]()


@dataclass(slots=True)
class NetworkFaults:
    """Probabilities of faults of messages between members and of writes to the store.

    Attributes:
        lost_ratio: Part of the messages that never arrive.
        duplicated_ratio: Part of the messages that arrive twice.
        delayed_ratio: Part of the messages that arrive up to `delay_max_s` later, out of order.
        answer_lost_ratio: Part of the writes that take effect but whose answer is lost.
        write_delayed_ratio: Part of the writes that reach the store up to 5 s late, or never when
            it is unavailable by then.
    """

    lost_ratio: float = 0.0
    duplicated_ratio: float = 0.0
    delayed_ratio: float = 0.0
    delay_max_s: float = 3.0
    answer_lost_ratio: float = 0.0
    write_delayed_ratio: float = 0.0

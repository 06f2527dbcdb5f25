"""What the ceilings' fakes are made of: store, entries, tasks and disturbances."""

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
JUDGE_MARGIN_S = 1.0
"""Time after a lease's end from which the holder is judged gone for good."""


@dataclass(slots=True)
class Task:
    """A task on a backend server; it ends by itself or with its lease."""

    team: TeamId
    end_s: float
    lease_end_s: float


@dataclass(slots=True)
class FakeEntry:
    """An entry's process."""

    entry: EntryId
    data_centre: DataCentreId
    incarnation: IncarnationId
    lease: FixedLease
    permits: PermitPolicy
    tasks: dict[AttemptId, Task] = field(default_factory=dict)
    alive: bool = True
    paused: bool = False
    cut_off: bool = False
    granted_until_s: float = 0.0

    @property
    def runs(self) -> bool:
        """Whether the process does anything now."""
        return self.alive and not self.paused


@dataclass(slots=True)
class FormerCoordinator:
    """A coordinator that goes on beside its successor."""

    data_centre: DataCentreId
    coordinator: PermitCoordinator
    sees_store: bool


class FakeStore:
    """The ledger's key in the store, with outages and answers lost after the write."""

    def __init__(self) -> None:
        self.value = encode_ledger(Ledger())
        self.ledger = Ledger()
        self.revision = 0
        self.up = True
        self.writes = 0
        self.calls = 0
        self.bytes_max = 0

    def swap(self, write: WriteLedger) -> bool:
        """Write if the revision is the expected one; return whether it was."""
        self.calls += 1
        if write.base_revision != self.revision:
            return False
        self.writes += 1
        self.revision += 1
        self.value = encode_ledger(write.ledger)
        self.ledger = decode_ledger(self.value)
        self.bytes_max = max(self.bytes_max, len(self.value))
        return True


class Agenda:
    """Actions at points of virtual time."""

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
class Chaos:
    """What may happen to messages and answers.

    Attributes:
        lost_ratio: Part of the messages that never arrive.
        doubled_ratio: Part of the messages that arrive twice.
        late_ratio: Part of the messages that arrive up to `late_s` later, out of order.
        answer_lost_ratio: Part of the writes that take effect without an answer.
        write_late_ratio: Part of the writes that reach the store late or never.
    """

    lost_ratio: float = 0.0
    doubled_ratio: float = 0.0
    late_ratio: float = 0.0
    late_s: float = 3.0
    answer_lost_ratio: float = 0.0
    write_late_ratio: float = 0.0

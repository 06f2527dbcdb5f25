"""Records of the pools domain, as they are kept in the platform's store."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import datetime
from enum import Enum
from typing import Any

import msgspec

from toucandoor.core.pools.const import KEY_ASSIGNMENT_PREFIX, OPERATIONS_KEPT_MAX
from toucandoor.ids import DataCentreId, OperationId, PoolId, RackId, VmId


class VmStep(Enum):
    """Where a VM is on its way through a planned stop."""

    IN_SERVICE = "in_service"
    CORDONED = "cordoned"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    PROBING = "probing"
    FAILED = "failed"


class EventKind(Enum):
    """What an entry of the event log reports."""

    STEP = "step"
    MOVED = "moved"
    OUTAGE = "outage"
    RECOVERED = "recovered"
    ADDED = "added"
    REMOVED = "removed"
    PAUSED = "paused"
    RESUMED = "resumed"
    TAKEOVER = "takeover"
    WAVE = "wave"


class FleetEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One entry of the event log.

    Attributes:
        sequence: Number within the data centre; grows by one.
        actor: The controller or operator that made the change.
        reason: Short sentence that says why.
    """

    sequence: int
    at: datetime
    kind: EventKind
    actor: str
    reason: str
    vm: VmId | None = None
    pool: PoolId | None = None
    operation: OperationId | None = None


class VmAssignment(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a data centre's assignment map says of one VM.

    Attributes:
        pool: The one pool the VM belongs to now.
        home: Pool the configuration names; away from it, the VM takes a place in its budget.
        step: Step of a planned stop; every step but ``IN_SERVICE`` takes a place in ``pool``.
        boot: Boot of the VM that the planned stop began on; acts on another boot are refused.
        out_since: Start of an unplanned outage, as far as it is known.
        maintained_at: End of the last planned stop.
        requested_at: When an operator last asked for a planned stop.
        failures: Planned stops that did not complete since the last good one.
        not_before: Time before which no new planned stop is tried.
    """

    pool: PoolId
    home: PoolId
    rack: RackId
    step: VmStep = VmStep.IN_SERVICE
    operation: OperationId | None = None
    boot: str = ""
    out_since: datetime | None = None
    maintained_at: datetime | None = None
    requested_at: datetime | None = None
    failures: int = 0
    not_before: datetime | None = None

    @property
    def planned_out(self) -> bool:
        """Whether a planned stop is under way or has failed."""
        return self.step is not VmStep.IN_SERVICE

    @property
    def out(self) -> bool:
        """Whether the VM counts as unavailable in its pool."""
        return self.planned_out or self.out_since is not None


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """An operator's order to maintain every VM once, whenever it was last maintained."""

    operation: OperationId
    requested_at: datetime


@dataclass(frozen=True, slots=True)
class AssignmentMap:
    """The record of one data centre: owner and planned stop of each VM, and its budget parts.

    Everything that must change together stands in this one value, so that one compare-and-swap
    changes an owner or starts a planned stop, takes its place and reports it.

    Attributes:
        fence: Highest fencing number of a planning lease that has written here.
        configuration_version: Configuration from which the set of VMs was last taken.
        granted_seen: Places ever received from the ledger, by pool; only grows.
        returned: Places ever given back, by pool; only grows.
        operations: Latest operations applied, oldest first.
        operations_dropped: How many operations have left ``operations``.
        events: Events that are not yet in the event log.
        next_sequence: Number that the next event takes.
        paused: Why no planned stop starts here; None while they may.
        wave: Latest order to maintain everything.
    """

    data_centre: DataCentreId
    fence: int = 0
    configuration_version: int = 0
    vms: dict[VmId, VmAssignment] = field(default_factory=dict)
    granted_seen: dict[PoolId, int] = field(default_factory=dict)
    returned: dict[PoolId, int] = field(default_factory=dict)
    operations: tuple[OperationId, ...] = ()
    operations_dropped: int = 0
    events: tuple[FleetEvent, ...] = ()
    next_sequence: int = 0
    paused: str | None = None
    wave: WaveOrder | None = None

    def held(self, pool: PoolId) -> int:
        """Return the places of a pool's budget that this data centre holds."""
        return self.granted_seen.get(pool, 0) - self.returned.get(pool, 0)

    def occupied(self) -> Counter[PoolId]:
        """Return the places taken here by planned stops and by VMs away from home, by pool."""
        taken: Counter[PoolId] = Counter()
        for vm in self.vms.values():
            if vm.step is not VmStep.IN_SERVICE:
                taken[vm.pool] += 1
            if vm.home != vm.pool:
                taken[vm.home] += 1
        return taken

    def with_vm(self, vm_id: VmId, **changes: Any) -> AssignmentMap:
        """Return the map with fields of one VM's entry changed."""
        changed = msgspec.structs.replace(self.vms[vm_id], **changes)
        return replace(self, vms={**self.vms, vm_id: changed})

    def with_operation(self, operation: OperationId) -> AssignmentMap:
        """Return the map with an operation noted as applied."""
        kept = (*self.operations, operation)
        dropped = max(0, len(kept) - OPERATIONS_KEPT_MAX)
        return replace(
            self,
            operations=kept[dropped:],
            operations_dropped=self.operations_dropped + dropped,
        )

    def with_event(
        self,
        at: datetime,
        kind: EventKind,
        actor: str,
        reason: str,
        *,
        vm: VmId | None = None,
        pool: PoolId | None = None,
        operation: OperationId | None = None,
    ) -> AssignmentMap:
        """Return the map with an event added to those that await the log."""
        event = FleetEvent(self.next_sequence, at, kind, actor, reason, vm, pool, operation)
        return replace(self, events=(*self.events, event), next_sequence=self.next_sequence + 1)

    def operations_total(self) -> int:
        """Return how many operations were ever applied here."""
        return self.operations_dropped + len(self.operations)


@dataclass(frozen=True, slots=True)
class PoolLimit:
    """A pool's ``unavailable_max`` with the configuration version it comes from."""

    version: int
    unavailable_max: int


@dataclass(frozen=True, slots=True)
class BudgetLedger:
    """The fleet-wide record that hands out whole places of each pool's budget.

    Both counts only grow, so an update seen late, twice or not at all can make a data centre
    hold fewer places than were handed out to it, never more.

    Attributes:
        limits: Each pool's budget.
        granted: Places ever handed to each data centre, by pool.
        returned: Places each data centre has given back as far as was noted here, by pool.
    """

    limits: dict[PoolId, PoolLimit] = field(default_factory=dict)
    granted: dict[PoolId, dict[DataCentreId, int]] = field(default_factory=dict)
    returned: dict[PoolId, dict[DataCentreId, int]] = field(default_factory=dict)

    def free(self, pool: PoolId) -> int:
        """Return the places of a pool that no data centre holds; below 0 after a cut."""
        limit = self.limits.get(pool)
        out = sum(self.granted.get(pool, {}).values()) - sum(self.returned.get(pool, {}).values())
        return (limit.unavailable_max if limit else 0) - out


@dataclass(frozen=True, slots=True)
class FleetRead:
    """Event: all fleet records as read, with their revisions (0 where a key does not exist).

    Attributes:
        maps: Assignment map of each data centre.
        revisions: Revision of each key read.
        unavailable: VMs out according to the platform's list or a probe, whatever a map says.
        unseen: Data centres whose outages nobody can see now; all their VMs count as out.
    """

    maps: dict[DataCentreId, AssignmentMap]
    ledger: BudgetLedger
    revisions: dict[str, int]
    unavailable: frozenset[VmId] = frozenset()
    unseen: frozenset[DataCentreId] = frozenset()


@dataclass(frozen=True, slots=True)
class ReadFleet:
    """Decision: read all fleet records."""


@dataclass(frozen=True, slots=True)
class Swap:
    """Decision: write a key if it is still at the expected revision (0: if it does not exist)."""

    key: str
    expected_revision: int
    value: bytes


@dataclass(frozen=True, slots=True)
class SwapDone:
    """Event: the swap took effect."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """Event: the key was at another revision; nothing was written."""

    key: str


@dataclass(frozen=True, slots=True)
class SwapLost:
    """Event: no answer came; the write may have taken effect, or may yet."""

    key: str


@dataclass(frozen=True, slots=True)
class StoreAway:
    """Event: the store did not take the call; nothing was written or read."""

    key: str


StoreAnswer = SwapDone | SwapConflict | SwapLost | StoreAway

_MAP_DECODER = msgspec.json.Decoder(AssignmentMap)
_LEDGER_DECODER = msgspec.json.Decoder(BudgetLedger)


def assignment_key(data_centre: DataCentreId) -> str:
    """Return the store key of a data centre's assignment map."""
    return f"{KEY_ASSIGNMENT_PREFIX}{data_centre}"


def encode(record: AssignmentMap | BudgetLedger) -> bytes:
    """Return a record as JSON; the same record gives the same bytes."""
    return msgspec.json.encode(record, order="sorted")


def decode_map(value: bytes) -> AssignmentMap:
    """Return the assignment map in a stored value; raises ``msgspec.ValidationError``."""
    return _MAP_DECODER.decode(value)


def decode_ledger(value: bytes) -> BudgetLedger:
    """Return the budget ledger in a stored value; raises ``msgspec.ValidationError``."""
    return _LEDGER_DECODER.decode(value)

"""Records of the pools domain as stored, and the events and decisions on the store."""

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
    """Step of a VM in a planned stop."""

    IN_SERVICE = "in_service"
    CORDONED = "cordoned"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    PROBING = "probing"
    FAILED = "failed"


class EventKind(Enum):
    """Kind of change that an event of the event log reports."""

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
        sequence: Number of the event within its data centre, without gaps.
        at: Wall-clock time of the change.
        actor: The controller or operator that made the change.
        reason: Why the change was made, as a short text.
        operation: Id of the operator's operation that made the change, if any.
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
    """Entry of one VM in a data centre's assignment map.

    Attributes:
        pool: The pool that the VM belongs to now.
        home: The VM's pool by the configuration; while the VM is lent to another pool, it takes a
            place in the budget of ``home``.
        step: Step of a planned stop; every step but ``IN_SERVICE`` takes a place in the budget of
            ``pool``.
        operation: Id of the operation that last moved the VM to another pool.
        boot: Boot of the VM on which the planned stop started; commands for another boot are
            refused.
        out_since: When an unplanned outage was first observed; None without one.
        maintained_at: End of the last planned stop.
        requested_at: When an operator last ordered maintenance of the VM.
        failures: Planned stops that failed since the last completed one.
        not_before: Earliest time of the next planned stop.
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
    """An operator's order to maintain every VM of a data centre once.

    Attributes:
        operation: Id of the order.
        requested_at: Time of the order; VMs maintained before it are due.
    """

    operation: OperationId
    requested_at: datetime


@dataclass(frozen=True, slots=True)
class AssignmentMap:
    """Stored record of one data centre: pool and planned stop of each VM, and the places it holds.

    All that must change together is in this one value: a single compare-and-swap moves a VM or
    starts a planned stop, takes the place in the budget and records the event.

    Attributes:
        fence: Highest fencing token of a planning lease that has written here.
        configuration_version: Version of the configuration that last changed the set of VMs.
        granted_seen: Total of places ever received from the ledger, by pool; only grows.
        returned: Total of places ever returned, by pool; only grows.
        operations: Ids of the latest operations applied, oldest first.
        operations_dropped: Number of operations that were applied and are no longer in
            ``operations``.
        events: Outbox: events that wait to be copied to the event log.
        next_sequence: Sequence of the next event.
        paused: Why no planned stop starts in this data centre; None while they may start.
        wave: Latest order to maintain every VM.
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

    def places_held(self, pool: PoolId) -> int:
        """Return the places of a pool's budget that this data centre holds."""
        return self.granted_seen.get(pool, 0) - self.returned.get(pool, 0)

    def places_occupied(self) -> Counter[PoolId]:
        """Return the places used here by planned stops and by VMs lent to another pool, by pool."""
        used: Counter[PoolId] = Counter()
        for vm in self.vms.values():
            if vm.step is not VmStep.IN_SERVICE:
                used[vm.pool] += 1
            if vm.home != vm.pool:
                used[vm.home] += 1
        return used

    def with_vm(self, vm_id: VmId, **changes: Any) -> AssignmentMap:
        """Return the map with fields of one VM's entry changed."""
        changed = msgspec.structs.replace(self.vms[vm_id], **changes)
        return replace(self, vms={**self.vms, vm_id: changed})

    def with_operation(self, operation: OperationId) -> AssignmentMap:
        """Return the map with an operation recorded as applied."""
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
        """Return the map with an event added to the outbox."""
        event = FleetEvent(self.next_sequence, at, kind, actor, reason, vm, pool, operation)
        return replace(self, events=(*self.events, event), next_sequence=self.next_sequence + 1)

    def operations_total(self) -> int:
        """Return the total of operations ever applied in this data centre."""
        return self.operations_dropped + len(self.operations)


@dataclass(frozen=True, slots=True)
class PoolLimit:
    """A pool's ``unavailable_max`` with the version of the configuration that set it."""

    version: int
    unavailable_max: int


@dataclass(frozen=True, slots=True)
class BudgetLedger:
    """The fleet-wide stored record that grants places of each pool's budget to data centres.

    Both counts only grow, so an update that is seen late, twice or not at all can make a data
    centre hold fewer places than were granted to it, never more.

    Attributes:
        limits: Each pool's budget.
        granted: Total of places ever granted to each data centre, by pool.
        returned: Total of places that each data centre has returned, by pool, as far as recorded
            here.
    """

    limits: dict[PoolId, PoolLimit] = field(default_factory=dict)
    granted: dict[PoolId, dict[DataCentreId, int]] = field(default_factory=dict)
    returned: dict[PoolId, dict[DataCentreId, int]] = field(default_factory=dict)

    def places_free(self, pool: PoolId) -> int:
        """Return the places of a pool that no data centre holds; negative after a budget cut."""
        limit = self.limits.get(pool)
        out = sum(self.granted.get(pool, {}).values()) - sum(self.returned.get(pool, {}).values())
        return (limit.unavailable_max if limit else 0) - out


@dataclass(frozen=True, slots=True)
class FleetRead:
    """Event: all fleet records as read, with their revisions (0 where a key does not exist).

    Attributes:
        maps: Assignment map of each data centre.
        revisions: Revision of each key read.
        ledger: The budget ledger.
        unavailable: VMs that are out by the platform's VM list or a poll, also if their map does
            not say so.
        unmonitored: Data centres whose outages no planner records now; all their VMs count as
            out.
    """

    maps: dict[DataCentreId, AssignmentMap]
    ledger: BudgetLedger
    revisions: dict[str, int]
    unavailable: frozenset[VmId] = frozenset()
    unmonitored: frozenset[DataCentreId] = frozenset()


@dataclass(frozen=True, slots=True)
class ReadFleet:
    """Decision: read all fleet records."""


@dataclass(frozen=True, slots=True)
class Swap:
    """Decision: compare-and-swap of a key.

    Attributes:
        expected_revision: Revision that the key must still have; 0 if it must not exist.
    """

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
class SwapUnconfirmed:
    """Event: no answer to a swap; it may have taken effect, or may still do so."""

    key: str


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Event: the store is unavailable; nothing was written or read."""

    key: str


StoreAnswer = SwapDone | SwapConflict | SwapUnconfirmed | StoreUnavailable

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

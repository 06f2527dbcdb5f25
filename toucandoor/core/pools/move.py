"""Moving a VM to another pool with one compare-and-swap."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.pools.budget import (
    budget_uses,
    with_grant,
    with_received,
    with_returned,
    with_returns,
)
from toucandoor.core.pools.const import DEFAULT_MOVE_TRIES, KEY_LEDGER, OUTBOX_EVENTS_MAX
from toucandoor.core.pools.models import (
    EventKind,
    ReadFleet,
    StoreAway,
    Swap,
    SwapConflict,
    SwapDone,
    SwapLost,
    assignment_key,
    encode,
)

if TYPE_CHECKING:
    from datetime import datetime

    from toucandoor.core.pools.models import AssignmentMap, FleetRead, StoreAnswer
    from toucandoor.ids import OperationId, PoolId, VmId


class MoveOutcome(Enum):
    """How a move ended."""

    MOVED = "moved"
    REFUSED = "refused"
    NOT_MOVED = "not_moved"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """An operator's or planner's wish to move one VM.

    Attributes:
        source: Pool the VM is believed to be in; a VM found elsewhere is not moved.
        operation: Names this move; the same id is never applied twice.
        actor: Who asked, for the event log.
    """

    operation: OperationId
    vm: VmId
    source: PoolId
    target: PoolId
    actor: str


@dataclass(frozen=True, slots=True)
class MoveEnded:
    """Decision: the move is over.

    Attributes:
        reason: Short sentence for the operator.
    """

    operation: OperationId
    outcome: MoveOutcome
    reason: str


MoveDecision = ReadFleet | Swap | MoveEnded


def refusal(order: MoveOrder, read: FleetRead, record: AssignmentMap) -> str | None:
    """Return why a VM may not be moved now; None when it may."""
    vm = record.vms[order.vm]
    uses = budget_uses(read, record.data_centre)
    if vm.pool != order.source:
        return f"it belongs to pool {vm.pool}, not {order.source}"
    if order.target not in uses:
        return f"no pool {order.target}"
    if vm.out or order.vm in read.unavailable:
        return f"it is out of service ({vm.step.value})"
    if len(record.events) >= OUTBOX_EVENTS_MAX:
        return "the data centre's event log is behind"
    if vm.home == vm.pool != order.target and uses[vm.home].room < 1:
        use = uses[vm.home]
        return f"the budget of pool {vm.home} has no room: {use.used} of {use.limit} out"
    return None


def _all_held(pool: PoolId) -> str:
    return f"other data centres hold every place in the budget of pool {pool}"


class MoveSession:
    """Carries one move from the order to its outcome.

    Every answer of the store leads to a new read or to the end. A lost answer is settled by
    looking for the operation's id, so the move is neither redone nor forgotten.

    Args:
        order: What to move.
        tries: Swaps to attempt before giving up.
    """

    def __init__(self, order: MoveOrder, tries: int = DEFAULT_MOVE_TRIES) -> None:
        self._order = order
        self._tries_left = tries
        self._lost_at: tuple[str, int] | None = None
        self._sent_at = ("", 0)
        self._first_total: int | None = None

    def start(self) -> MoveDecision:
        """Return the first decision."""
        return ReadFleet()

    def on_read(self, read: FleetRead, now: datetime) -> MoveDecision:
        """Decide on the records as they are."""
        order = self._order
        record = next((m for m in read.maps.values() if order.vm in m.vms), None)
        applied = any(order.operation in m.operations for m in read.maps.values())
        if applied:
            return self._end(MoveOutcome.MOVED, "done")
        if record is None:
            return self._end(self._without_trace(), f"no VM {order.vm}")
        if self._first_total is None:
            self._first_total = record.operations_total()
        if self._lost_at is not None and record.operations_dropped > self._first_total:
            return self._end(MoveOutcome.UNKNOWN, "the answer was lost and its trace is gone")
        self._settle_lost(read)
        reason = refusal(order, read, record)
        if reason is not None:
            return self._end(self._without_trace(MoveOutcome.REFUSED), reason)
        if self._tries_left == 0:
            return self._end(self._without_trace(), "the store kept changing or did not answer")
        self._tries_left -= 1
        return self._swap(read, record, now)

    def on_answer(self, answer: StoreAnswer) -> MoveDecision:
        """Decide on the store's answer to a swap or a read."""
        match answer:
            case SwapDone(key=key) if key != KEY_LEDGER:
                return self._end(MoveOutcome.MOVED, "done")
            case SwapDone() | SwapConflict():
                return ReadFleet()
            case SwapLost(key=key):
                if key != KEY_LEDGER:
                    self._lost_at = self._sent_at
                return self._again()
            case StoreAway():
                return self._again()

    def _swap(self, read: FleetRead, record: AssignmentMap, now: datetime) -> MoveDecision:
        order = self._order
        vm = record.vms[order.vm]
        leaves_home = vm.home == vm.pool
        if leaves_home:
            record = with_received(record, read.ledger, vm.home)
        if leaves_home and record.held(vm.home) <= record.occupied()[vm.home]:
            ledger = with_returns(read.ledger, read.maps.values())
            use = budget_uses(read, record.data_centre)[vm.home]
            if ledger.free(vm.home) - len(use.unplanned) < 1:
                return self._end(self._without_trace(MoveOutcome.REFUSED), _all_held(vm.home))
            ledger = with_grant(ledger, vm.home, record.data_centre)
            return Swap(KEY_LEDGER, read.revisions.get(KEY_LEDGER, 0), encode(ledger))
        record = record.with_vm(order.vm, pool=order.target, operation=order.operation)
        record = record.with_operation(order.operation)
        if order.target == vm.home and record.held(vm.home) > record.occupied()[vm.home]:
            record = with_returned(record, vm.home, 1)
        record = record.with_event(
            now,
            EventKind.MOVED,
            order.actor,
            f"from pool {order.source}",
            vm=order.vm,
            pool=order.target,
            operation=order.operation,
        )
        key = assignment_key(record.data_centre)
        self._sent_at = (key, read.revisions[key])
        return Swap(key, read.revisions[key], encode(record))

    def _settle_lost(self, read: FleetRead) -> None:
        """Forget a lost swap that can no longer land, as its key has moved on without it."""
        if self._lost_at is None:
            return
        key, expected_revision = self._lost_at
        if read.revisions.get(key, 0) != expected_revision:
            self._lost_at = None

    def _again(self) -> MoveDecision:
        if self._tries_left == 0:
            return self._end(self._without_trace(), "the store did not answer")
        self._tries_left -= 1
        return ReadFleet()

    def _without_trace(self, otherwise: MoveOutcome = MoveOutcome.NOT_MOVED) -> MoveOutcome:
        return otherwise if self._lost_at is None else MoveOutcome.UNKNOWN

    def _end(self, outcome: MoveOutcome, reason: str) -> MoveEnded:
        return MoveEnded(self._order.operation, outcome, reason)

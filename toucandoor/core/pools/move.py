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
    StoreUnavailable,
    Swap,
    SwapConflict,
    SwapDone,
    SwapUnconfirmed,
    assignment_key,
    encode,
)

if TYPE_CHECKING:
    from datetime import datetime

    from toucandoor.core.pools.models import AssignmentMap, FleetRead, StoreAnswer
    from toucandoor.ids import OperationId, PoolId, VmId


class MoveOutcome(Enum):
    """Outcome of a move, or of another operator's order on a data centre's map."""

    MOVED = "moved"
    REFUSED = "refused"
    NOT_MOVED = "not_moved"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """An order to move one VM to another pool.

    Attributes:
        operation: Id of this move; the same id is never applied twice.
        source: Pool that the VM is expected in; a VM in another pool is not moved.
        target: Pool to move the VM to.
        actor: Operator or planner that gave the order, for the event log.
    """

    operation: OperationId
    vm: VmId
    source: PoolId
    target: PoolId
    actor: str


@dataclass(frozen=True, slots=True)
class MoveEnded:
    """Decision: the move has ended.

    Attributes:
        reason: Short text for the operator.
    """

    operation: OperationId
    outcome: MoveOutcome
    reason: str


MoveDecision = ReadFleet | Swap | MoveEnded


def refusal_reason(order: MoveOrder, read: FleetRead, record: AssignmentMap) -> str | None:
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
        return "too many events of the data centre wait to be written to the event log"
    if vm.home == vm.pool != order.target and uses[vm.home].room < 1:
        use = uses[vm.home]
        return f"the budget of pool {vm.home} has no room: {use.used} of {use.limit} out"
    return None


def _all_held_reason(pool: PoolId) -> str:
    return f"other data centres hold every place in the budget of pool {pool}"


class MoveSession:
    """Carries out one move.

    Every answer of the store leads to a new read or to the end. After a lost answer, the
    operation's id in the maps shows whether the move was applied, so it is neither repeated nor
    reported wrongly.

    Args:
        order: The move.
        tries: Swaps and unanswered calls after which to give up.
    """

    def __init__(self, order: MoveOrder, tries: int = DEFAULT_MOVE_TRIES) -> None:
        self._order = order
        self._tries_left = tries
        self._unconfirmed_write: tuple[str, int] | None = None
        self._last_write = ("", 0)
        self._operations_total_at_start: int | None = None

    def start(self) -> MoveDecision:
        """Return the first decision."""
        return ReadFleet()

    def on_read(self, read: FleetRead, now: datetime) -> MoveDecision:
        """Handle a read of the records and return the next decision."""
        order = self._order
        record = next((m for m in read.maps.values() if order.vm in m.vms), None)
        applied = any(order.operation in m.operations for m in read.maps.values())
        if applied:
            return self._end(MoveOutcome.MOVED, "done")
        if record is None:
            return self._end(self._outcome_not_applied(), f"no VM {order.vm}")
        if self._operations_total_at_start is None:
            self._operations_total_at_start = record.operations_total()
        if (
            self._unconfirmed_write is not None
            and record.operations_dropped > self._operations_total_at_start
        ):
            return self._end(
                MoveOutcome.UNKNOWN,
                "an answer was lost, and the list of operations does not reach back to it",
            )
        self._settle_unconfirmed(read)
        reason = refusal_reason(order, read, record)
        if reason is not None:
            return self._end(self._outcome_not_applied(MoveOutcome.REFUSED), reason)
        if self._tries_left == 0:
            return self._end(
                self._outcome_not_applied(), "the store kept changing or did not answer"
            )
        self._tries_left -= 1
        return self._swap(read, record, now)

    def on_answer(self, answer: StoreAnswer) -> MoveDecision:
        """Handle the store's answer to a swap or a read and return the next decision."""
        match answer:
            case SwapDone(key=key) if key != KEY_LEDGER:
                return self._end(MoveOutcome.MOVED, "done")
            case SwapDone() | SwapConflict():
                return ReadFleet()
            case SwapUnconfirmed(key=key):
                if key != KEY_LEDGER:
                    self._unconfirmed_write = self._last_write
                return self._read_again()
            case StoreUnavailable():
                return self._read_again()

    def _swap(self, read: FleetRead, record: AssignmentMap, now: datetime) -> MoveDecision:
        order = self._order
        vm = record.vms[order.vm]
        leaves_home = vm.home == vm.pool
        if leaves_home:
            record = with_received(record, read.ledger, vm.home)
        if leaves_home and record.places_held(vm.home) <= record.places_occupied()[vm.home]:
            ledger = with_returns(read.ledger, read.maps.values())
            use = budget_uses(read, record.data_centre)[vm.home]
            if ledger.places_free(vm.home) - len(use.unplanned) < 1:
                return self._end(
                    self._outcome_not_applied(MoveOutcome.REFUSED), _all_held_reason(vm.home)
                )
            ledger = with_grant(ledger, vm.home, record.data_centre)
            return Swap(KEY_LEDGER, read.revisions.get(KEY_LEDGER, 0), encode(ledger))
        record = record.with_vm(order.vm, pool=order.target, operation=order.operation)
        record = record.with_operation(order.operation)
        if (
            order.target == vm.home
            and record.places_held(vm.home) > record.places_occupied()[vm.home]
        ):
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
        self._last_write = (key, read.revisions[key])
        return Swap(key, read.revisions[key], encode(record))

    def _settle_unconfirmed(self, read: FleetRead) -> None:
        """Drop an unconfirmed swap once its key has another revision; it can't take effect then."""
        if self._unconfirmed_write is None:
            return
        key, expected_revision = self._unconfirmed_write
        if read.revisions.get(key, 0) != expected_revision:
            self._unconfirmed_write = None

    def _read_again(self) -> MoveDecision:
        if self._tries_left == 0:
            return self._end(self._outcome_not_applied(), "the store did not answer")
        self._tries_left -= 1
        return ReadFleet()

    def _outcome_not_applied(self, otherwise: MoveOutcome = MoveOutcome.NOT_MOVED) -> MoveOutcome:
        return otherwise if self._unconfirmed_write is None else MoveOutcome.UNKNOWN

    def _end(self, outcome: MoveOutcome, reason: str) -> MoveEnded:
        return MoveEnded(self._order.operation, outcome, reason)

"""Operators' orders to maintain one VM, or every VM of a data centre, before its regular time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from toucandoor.core.pools.const import DEFAULT_MOVE_TRIES, OUTBOX_EVENTS_MAX
from toucandoor.core.pools.models import (
    EventKind,
    ReadFleet,
    StoreUnavailable,
    Swap,
    SwapDone,
    WaveOrder,
    assignment_key,
    encode,
)
from toucandoor.core.pools.move import MoveEnded, MoveOutcome

if TYPE_CHECKING:
    from datetime import datetime

    from toucandoor.core.pools.models import AssignmentMap, FleetRead, StoreAnswer
    from toucandoor.core.pools.move import MoveDecision
    from toucandoor.ids import DataCentreId, OperationId, VmId


@dataclass(frozen=True, slots=True)
class MaintainOrder:
    """An operator's order for maintenance.

    Attributes:
        operation: Id of the order; the same id is never applied twice.
        vm: The VM; every VM of the data centre when None.
        actor: Operator who gave the order, for the event log.
    """

    operation: OperationId
    data_centre: DataCentreId
    vm: VmId | None
    actor: str


class MaintainOrderSession:
    """Writes an order into the data centre's map exactly once, also when answers are lost.

    The order only makes VMs due. They are stopped when the budgets allow, like all others.

    Args:
        order: What to maintain.
        tries: Swaps and failed reads after which to give up.
    """

    def __init__(self, order: MaintainOrder, tries: int = DEFAULT_MOVE_TRIES) -> None:
        self._order = order
        self._tries_left = tries
        self._sent = False

    def start(self) -> MoveDecision:
        """Return the first decision."""
        return ReadFleet()

    def on_read(self, read: FleetRead, now: datetime) -> MoveDecision:
        """Handle a read of the records and return the next decision."""
        order = self._order
        record = read.maps.get(order.data_centre)
        if record is not None and order.operation in record.operations:
            return self._end(MoveOutcome.MOVED, "noted")
        if record is None or (order.vm is not None and order.vm not in record.vms):
            return self._end(MoveOutcome.REFUSED, f"no VM {order.vm} in {order.data_centre}")
        if len(record.events) >= OUTBOX_EVENTS_MAX:
            return self._end(
                MoveOutcome.REFUSED,
                "too many events of the data centre wait to be written to the event log",
            )
        if self._tries_left == 0:
            outcome = MoveOutcome.UNKNOWN if self._sent else MoveOutcome.NOT_MOVED
            return self._end(outcome, "the store kept changing or did not answer")
        self._tries_left -= 1
        self._sent = True
        key = assignment_key(order.data_centre)
        return Swap(key, read.revisions[key], encode(self._with_order(record, now)))

    def on_answer(self, answer: StoreAnswer) -> MoveDecision:
        """Handle the store's answer to a swap or a read and return the next decision."""
        if isinstance(answer, SwapDone):
            return self._end(MoveOutcome.MOVED, "noted")
        if isinstance(answer, StoreUnavailable) and not self._sent:
            return self._end(MoveOutcome.NOT_MOVED, "the store is unavailable")
        if self._tries_left == 0:
            return self._end(MoveOutcome.UNKNOWN, "the store did not answer")
        self._tries_left -= isinstance(answer, StoreUnavailable)
        return ReadFleet()

    def _with_order(self, record: AssignmentMap, now: datetime) -> AssignmentMap:
        order = self._order
        if order.vm is None:
            record = replace(record, wave=WaveOrder(order.operation, now))
        else:
            record = record.with_vm(order.vm, requested_at=now, not_before=None)
        record = record.with_operation(order.operation)
        return record.with_event(
            now,
            EventKind.WAVE,
            order.actor,
            "maintenance ordered",
            vm=order.vm,
            operation=order.operation,
        )

    def _end(self, outcome: MoveOutcome, reason: str) -> MoveEnded:
        return MoveEnded(self._order.operation, outcome, reason)

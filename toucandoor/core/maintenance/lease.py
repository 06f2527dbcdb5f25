"""The planning lease of a data centre, with a fencing token.

At most one controller plans for a data centre at a time: the one that holds this lease.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from toucandoor.core.maintenance.const import KEY_LEASE_PREFIX
from toucandoor.core.pools.models import (
    StoreUnavailable,
    Swap,
    SwapConflict,
    SwapDone,
    SwapUnconfirmed,
)

if TYPE_CHECKING:
    from toucandoor.core.maintenance.models import MaintenanceSettings
    from toucandoor.core.pools.models import StoreAnswer
    from toucandoor.ids import DataCentreId


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as stored.

    Attributes:
        holder: Id of the controller that holds it; empty after a release.
        fence: Fencing token; grows with each change of holder.
        renewal: Grows with each renewal by the same holder.
    """

    holder: str = ""
    fence: int = 0
    renewal: int = 0


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Decision: read the lease's record."""

    key: str


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Event: the lease's record as read; None where there is none."""

    record: LeaseRecord | None
    revision: int


_DECODER = msgspec.json.Decoder(LeaseRecord)


def lease_key(data_centre: DataCentreId) -> str:
    """Return the store key of a data centre's planning lease."""
    return f"{KEY_LEASE_PREFIX}{data_centre}"


def decode_lease(value: bytes) -> LeaseRecord:
    """Return the lease in a stored value; raises ``msgspec.ValidationError``."""
    return _DECODER.decode(value)


class PlanningLease:
    """One controller's view of its data centre's planning lease.

    The holder counts the lease from before it sent a renewal. Another controller counts from after
    it first read a record that has not changed since, and starts over whenever the store was
    unavailable or it made no reads for a while, so an outage of the store makes no holder lose the
    lease.

    Args:
        controller_id: Id of this controller's process; unique to each start.
    """

    def __init__(
        self, controller_id: str, data_centre: DataCentreId, settings: MaintenanceSettings
    ) -> None:
        self._controller_id = controller_id
        self._key = lease_key(data_centre)
        self._settings = settings
        self._held_until_s = float("-inf")
        self._fence = 0
        self._record: LeaseRecord | None = None
        self._revision = 0
        self._unchanged_since_s: float | None = None
        self._read_s = float("-inf")
        self._pending_write: tuple[LeaseRecord, float] | None = None
        self._next_due_s = float("-inf")
        self._unavailable_s = float("-inf")
        self._releasing = False

    @property
    def key(self) -> str:
        """Key of the lease's record."""
        return self._key

    @property
    def fence(self) -> int:
        """Fencing token under which this controller last held the lease."""
        return self._fence

    def held(self, now_s: float) -> bool:
        """Return whether this controller may act as planner now."""
        return now_s < self._held_until_s

    def may_finish(self, now_s: float) -> bool:
        """Return whether stops under way may go on.

        Also True after the lease has expired, as long as a recent call since then found the store
        unavailable: no other controller can have taken the lease over, and commands carry boot and
        fence anyway.
        """
        failed_recently = now_s - self._unavailable_s <= 2 * self._settings.renew_every_s
        return self.held(now_s) or (
            failed_recently and 0 < self._held_until_s <= self._unavailable_s
        )

    def tick(self, now_s: float) -> ReadLease | Swap | None:
        """Return the call that is due: a read of the record, a renewal or takeover, or None."""
        if self._pending_write is not None or now_s < self._next_due_s or self._releasing:
            return None
        self._next_due_s = now_s + self._settings.renew_every_s
        if now_s - self._read_s > self._settings.lease_s:
            self._unchanged_since_s = None
        if self._record is None and self._unchanged_since_s is None:
            return ReadLease(self._key)
        if self._record is not None and self._record.holder == self._controller_id:
            return self._start_write(replace(self._record, renewal=self._record.renewal + 1), now_s)
        if self._may_take_over(now_s):
            fence = (self._record.fence if self._record else 0) + 1
            return self._start_write(LeaseRecord(self._controller_id, fence, 0), now_s)
        return ReadLease(self._key)

    def release(self, now_s: float) -> Swap | None:
        """Return the write that releases the lease; planning ends. None when it is not held."""
        self._releasing = True
        if not self.held(now_s) or self._record is None:
            return None
        self._held_until_s = float("-inf")
        return self._start_write(replace(self._record, holder=""), now_s)

    def on_read(self, read: LeaseRead, now_s: float) -> None:
        """Handle a read of the record; settles a swap whose answer was lost."""
        tried, self._pending_write = self._pending_write, None
        if tried is not None and read.record == tried[0]:
            self._apply_write(tried[0], read.revision, tried[1])
        changed = read.revision != self._revision or self._unchanged_since_s is None
        if changed or now_s - self._read_s > self._settings.lease_s:
            self._unchanged_since_s = now_s
        if read.record is None or read.record.holder != self._controller_id:
            self._held_until_s = float("-inf")
        self._record, self._revision, self._read_s = read.record, read.revision, now_s
        if read.record is None or not read.record.holder:
            self._next_due_s = now_s

    def on_answer(self, answer: StoreAnswer, now_s: float) -> ReadLease | None:
        """Handle the store's answer to a read or swap of the lease."""
        tried = self._pending_write
        match answer:
            case SwapDone(revision=revision) if tried is not None:
                self._pending_write = None
                self._apply_write(tried[0], revision, tried[1])
                self._read_s = self._unchanged_since_s = now_s
            case SwapConflict():
                self._pending_write = None
                self._held_until_s = float("-inf")
                return ReadLease(self._key)
            case SwapUnconfirmed():
                return ReadLease(self._key)
            case StoreUnavailable():
                self._pending_write = None
                self._unchanged_since_s = None
                self._unavailable_s = now_s
        return None

    def _may_take_over(self, now_s: float) -> bool:
        if self._record is None or not self._record.holder:
            return True
        if self._unchanged_since_s is None:
            return False
        wait_s = self._settings.lease_s + self._settings.lease_margin_s
        return now_s - self._unchanged_since_s >= wait_s

    def _start_write(self, record: LeaseRecord, now_s: float) -> Swap:
        self._pending_write = (record, now_s)
        return Swap(self._key, self._revision, msgspec.json.encode(record))

    def _apply_write(self, record: LeaseRecord, revision: int, sent_s: float) -> None:
        self._record, self._revision = record, revision
        if record.holder == self._controller_id:
            self._fence = record.fence
            self._held_until_s = sent_s + self._settings.lease_s

"""What the admission of a pool knows of its slots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.core.requests.models import Request
    from toucandoor.ids import AttemptId, VmId


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that holds a slot of the pool.

    Attributes:
        preemptions: How often its request was preempted before.
    """

    request: Request
    attempt_id: AttemptId
    vm: VmId
    address: str
    started_s: float
    preemptions: int = 0


@dataclass(frozen=True, slots=True)
class SlotUse:
    """Slots of a pool as this entry counts them.

    Attributes:
        slots: Slots this entry may count on: its part of the pool.
        urgent: Slots held by urgent requests.
        fixed: Slots held by patient requests that cannot be preempted any more.
        preemptible: Attempts that could be preempted, in the order of their start.
        under_way: Preemptions asked for whose slot is not free yet.
    """

    slots: int
    urgent: int
    fixed: int
    preemptible: tuple[RunningAttempt, ...]
    under_way: int

    @property
    def patient(self) -> int:
        """Return the slots held by patient requests."""
        return self.fixed + len(self.preemptible) + self.under_way

    @property
    def free(self) -> int:
        """Return the slots that hold nothing."""
        return max(0, self.slots - self.urgent - self.patient)

"""Running attempts and slot usage of a pool, as one entry counts them."""

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
        address: Address of the backend server.
        started_s: Monotonic time of the start.
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
    """Usage of a pool's slots as this entry counts them.

    Attributes:
        slots: This entry's part of the pool's slots.
        urgent: Slots held by urgent requests.
        non_preemptible: Slots held by patient requests that cannot be preempted any more.
        preemptible: Attempts that could be preempted, in the order of their start.
        preempting: Slots of attempts whose preemption was requested and has not ended them yet.
    """

    slots: int
    urgent: int
    non_preemptible: int
    preemptible: tuple[RunningAttempt, ...]
    preempting: int

    @property
    def patient(self) -> int:
        """Return the slots held by patient requests."""
        return self.non_preemptible + len(self.preemptible) + self.preempting

    @property
    def free(self) -> int:
        """Return the slots that no attempt holds."""
        return max(0, self.slots - self.urgent - self.patient)

"""Reserve policies, which decide how slots of a pool are kept for urgent requests."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from toucandoor.core.requests.models import PreemptMethod

if TYPE_CHECKING:
    from toucandoor.core.admission.models import RunningAttempt, SlotUse


class ReservePolicy(ABC):
    """Decides when a patient request may take a slot and which attempts are preempted."""

    @abstractmethod
    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return whether one more patient request may take a slot.

        Args:
            preemptible: Whether the request can be preempted.
        """

    @abstractmethod
    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return the attempts to preempt for the waiting urgent requests."""


class NoReserve(ReservePolicy):
    """Baseline policy without a reserve: any request may take any slot and keeps it."""

    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return True."""
        return True

    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return nothing."""
        return []


class FixedReserve(ReservePolicy):
    """Keeps a part of the slots free of patient requests.

    Args:
        reserve_ratio: Part of the slots that patient requests may not take.
    """

    def __init__(self, reserve_ratio: float) -> None:
        self._reserve_ratio = reserve_ratio

    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return whether the request would stay out of the reserve."""
        return use.patient < use.slots - _reserved_slots(use.slots, self._reserve_ratio)

    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return nothing."""
        return []


class LentReserve(ReservePolicy):
    """Lends the reserve to preemptible patient requests and reclaims it for urgent ones.

    Patient requests that cannot be preempted stay out of the reserve, so that it can always be
    reclaimed as a whole. Urgent requests reclaim no more than its size and otherwise wait for
    slots to become free, so that a long wave of them cannot stop all patient requests.

    Args:
        reserve_ratio: Part of the slots that urgent requests can get at any time by preemption.
    """

    def __init__(self, reserve_ratio: float) -> None:
        self._reserve_ratio = reserve_ratio

    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return whether the request can be preempted or would stay out of the reserve."""
        return preemptible or use.non_preemptible < use.slots - _reserved_slots(
            use.slots, self._reserve_ratio
        )

    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return the attempts that lose least work, at most as many as the reserve still lends."""
        needed = urgent_waiting - use.free - use.preempting
        reclaimable = (
            _reserved_slots(use.slots, self._reserve_ratio) - use.urgent - use.free - use.preempting
        )
        count = min(needed, reclaimable)
        if count <= 0:
            return []
        return sorted(use.preemptible, key=_preemption_cost)[:count]


def _reserved_slots(slots: int, reserve_ratio: float) -> int:
    """Return the size of the reserve: at least one slot for a ratio above 0, and never all slots.

    With all slots reserved, patient requests that cannot be preempted would never start.
    """
    return max(0, min(slots - 1, math.ceil(slots * reserve_ratio)))


def _preemption_cost(attempt: RunningAttempt) -> tuple[bool, int, float]:
    """Return a sort key by the work lost: checkpointed first, then least preempted, then youngest.

    An attempt that is stopped loses all its work; one that is checkpointed resumes later.
    """
    stopped = attempt.request.preempt_how is PreemptMethod.STOP
    return (stopped, attempt.preemptions, -attempt.started_s)

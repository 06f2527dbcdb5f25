"""Reserve policies: which slots of a pool are kept for urgent requests, and how."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from toucandoor.core.requests.models import PreemptMethod

if TYPE_CHECKING:
    from toucandoor.core.admission.models import RunningAttempt, SlotUse


class ReservePolicy(ABC):
    """Decides when a patient request may take a slot and which attempts give theirs back."""

    @abstractmethod
    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return whether one more patient request may take a slot."""

    @abstractmethod
    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return the attempts to preempt for the urgent requests that wait."""


class NoReserve(ReservePolicy):
    """Baseline policy: any request may take any slot and keeps it."""

    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return True."""
        return True

    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return nothing."""
        return []


class FixedReserve(ReservePolicy):
    """Keeps a part of the slots empty until an urgent request takes them.

    Args:
        reserve_ratio: Part of the slots that patient requests may not take.
    """

    def __init__(self, reserve_ratio: float) -> None:
        self._reserve_ratio = reserve_ratio

    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return whether the patient requests stay out of the reserve."""
        return use.patient < use.slots - _kept(use.slots, self._reserve_ratio)

    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return nothing."""
        return []


class LentReserve(ReservePolicy):
    """Lends the reserve to patient requests that can be preempted, and takes it back.

    Patient requests that cannot be preempted stay out of the reserve, so that it can always be
    taken back whole. Urgent requests take it back only up to its size: beyond it they wait for
    slots that become free, so that a long wave of them cannot stop all patient work.

    Args:
        reserve_ratio: Part of the slots that urgent requests can have at once, at any time.
    """

    def __init__(self, reserve_ratio: float) -> None:
        self._reserve_ratio = reserve_ratio

    def may_start_patient(self, use: SlotUse, *, preemptible: bool) -> bool:
        """Return whether the request can be preempted or the reserve stays untouched."""
        return preemptible or use.fixed < use.slots - _kept(use.slots, self._reserve_ratio)

    def reclaim(self, use: SlotUse, urgent_waiting: int) -> list[RunningAttempt]:
        """Return the attempts that lose least work, no more than the reserve has left."""
        wanted = urgent_waiting - use.free - use.under_way
        left = _kept(use.slots, self._reserve_ratio) - use.urgent - use.free - use.under_way
        count = min(wanted, left)
        if count <= 0:
            return []
        return sorted(use.preemptible, key=_loss)[:count]


def _kept(slots: int, reserve_ratio: float) -> int:
    """Return the slots of the reserve: one at least for a ratio above 0, and never all.

    With all slots kept, patient requests that cannot be preempted would never start.
    """
    return max(0, min(slots - 1, math.ceil(slots * reserve_ratio)))


def _loss(attempt: RunningAttempt) -> tuple[bool, int, float]:
    """Order attempts by what preempting them loses: nothing, then the youngest."""
    stopped = attempt.request.preempt_how is PreemptMethod.STOP
    return (stopped, attempt.preemptions, -attempt.started_s)

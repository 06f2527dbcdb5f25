"""Admission to the slots of one pool: reserve and preemption."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from toucandoor.core.admission.const import (
    DEFAULT_PREEMPT_TIMEOUT_S,
    DEFAULT_PREEMPTIONS_MAX,
    PREEMPTED_REQUESTS_MAX,
)
from toucandoor.core.admission.models import RunningAttempt, SlotUse
from toucandoor.core.requests.models import AttemptOutcome, Preempt, RequestClass

if TYPE_CHECKING:
    from toucandoor.core.admission.reserve import ReservePolicy
    from toucandoor.core.requests.models import AttemptEnded, BackendServer, Request
    from toucandoor.ids import AttemptId, RequestId

_INTERRUPTED = (AttemptOutcome.CHECKPOINTED, AttemptOutcome.STOPPED)


class PoolAdmission:
    """Counts this entry's attempts in a pool and applies the urgent reserve to its slots.

    Args:
        reserve: Policy of the urgent reserve.
        slots: This entry's part of the pool's slots.
    """

    def __init__(self, reserve: ReservePolicy, slots: int) -> None:
        self._reserve = reserve
        self._slots = slots
        self._running: dict[AttemptId, RunningAttempt] = {}
        self._preempt_requested_s: dict[AttemptId, float] = {}
        self._preemptions: OrderedDict[RequestId, int] = OrderedDict()
        self._slot_use: SlotUse | None = None
        self._slot_use_until_s = 0.0

    def set_slots(self, slots: int) -> None:
        """Set this entry's part of the pool's slots."""
        self._slots = slots
        self._slot_use = None

    def set_reserve(self, reserve: ReservePolicy) -> None:
        """Replace the policy of the urgent reserve."""
        self._reserve = reserve

    def may_start(self, request: Request, now_s: float) -> bool:
        """Return whether the reserve lets the request take a slot of the pool."""
        if request.request_class is RequestClass.URGENT:
            return True
        return self._reserve.may_start_patient(
            self.slot_use(now_s), preemptible=self._is_preemptible(request)
        )

    def may_lend_slot(self, request: Request, now_s: float) -> bool:
        """Return whether a request of another pool's queue may take a slot of this pool.

        One slot stays free, so that lending does not make the pool's own next request wait.
        """
        return self.slot_use(now_s).free > 1 and self.may_start(request, now_s)

    def on_attempt_started(
        self, request: Request, attempt_id: AttemptId, worker: BackendServer, now_s: float
    ) -> None:
        """Record that an attempt takes a slot."""
        preemptions = self._preemptions.get(request.request_id, 0)
        self._running[attempt_id] = RunningAttempt(
            request, attempt_id, worker.vm, worker.address, now_s, preemptions
        )
        self._slot_use = None

    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Record that an attempt has freed its slot; a second call changes nothing."""
        attempt = self._running.pop(event.attempt_id, None)
        if attempt is None:
            return
        requested = self._preempt_requested_s.pop(event.attempt_id, None) is not None
        self._slot_use = None
        if requested and event.outcome in _INTERRUPTED:
            self._record_preemption(attempt)
        else:
            self._preemptions.pop(attempt.request.request_id, None)

    def reclaim(self, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return the preemptions that free slots for waiting urgent requests.

        Args:
            urgent_waiting: Urgent requests that wait for nothing but a slot of the pool.
            now_s: Monotonic time.
        """
        if urgent_waiting <= 0:
            return []
        return [
            self._preempt(attempt, now_s)
            for attempt in self._reserve.reclaim(self.slot_use(now_s), urgent_waiting)
        ]

    def slot_use(self, now_s: float) -> SlotUse:
        """Return the current usage of the slots."""
        if self._slot_use is None or now_s >= self._slot_use_until_s:
            self._slot_use = self._count_slots(now_s)
        return self._slot_use

    def _count_slots(self, now_s: float) -> SlotUse:
        attempts = self._running.values()
        urgent = sum(each.request.request_class is RequestClass.URGENT for each in attempts)
        preemptible = tuple(each for each in attempts if self._can_preempt(each))
        timeouts_s = [
            requested_s + DEFAULT_PREEMPT_TIMEOUT_S
            for requested_s in self._preempt_requested_s.values()
        ]
        under_way_s = [timeout_s for timeout_s in timeouts_s if timeout_s > now_s]
        self._slot_use_until_s = min(under_way_s, default=math.inf)
        fixed = len(attempts) - urgent - len(preemptible) - len(under_way_s)
        return SlotUse(self._slots, urgent, fixed, preemptible, len(under_way_s))

    def _preempt(self, attempt: RunningAttempt, now_s: float) -> Preempt:
        how = attempt.request.preempt_how
        assert how is not None
        self._preempt_requested_s[attempt.attempt_id] = now_s
        self._slot_use = None
        return Preempt(
            attempt.request.request_id, attempt.attempt_id, attempt.vm, attempt.address, how
        )

    def _can_preempt(self, attempt: RunningAttempt) -> bool:
        """Return whether the attempt may be preempted; that is requested only once for each."""
        return attempt.attempt_id not in self._preempt_requested_s and self._is_preemptible(
            attempt.request
        )

    def _is_preemptible(self, request: Request) -> bool:
        if request.request_class is RequestClass.URGENT or request.preempt_how is None:
            return False
        return self._preemptions.get(request.request_id, 0) < DEFAULT_PREEMPTIONS_MAX

    def _record_preemption(self, attempt: RunningAttempt) -> None:
        self._preemptions[attempt.request.request_id] = attempt.preemptions + 1
        if len(self._preemptions) > PREEMPTED_REQUESTS_MAX:
            self._preemptions.popitem(last=False)

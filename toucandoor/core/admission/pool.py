"""Admission to one pool's slots: reserve and preemption."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from toucandoor.core.admission.const import (
    DEFAULT_PREEMPT_TIMEOUT_S,
    DEFAULT_PREEMPTIONS_MAX,
    PREEMPTED_REMEMBERED_MAX,
)
from toucandoor.core.admission.models import RunningAttempt, SlotUse
from toucandoor.core.requests.models import AttemptOutcome, Preempt, RequestClass

if TYPE_CHECKING:
    from toucandoor.core.admission.reserve import ReservePolicy
    from toucandoor.core.requests.models import AttemptEnded, BackendServer, Request
    from toucandoor.ids import AttemptId, RequestId

_INTERRUPTED = (AttemptOutcome.CHECKPOINTED, AttemptOutcome.STOPPED)


class PoolAdmission:
    """Counts what this entry runs in a pool and applies the reserve to it.

    Args:
        reserve: Policy of the urgent reserve.
        slots: This entry's part of the pool's slots.
    """

    def __init__(self, reserve: ReservePolicy, slots: int) -> None:
        self._reserve = reserve
        self._slots = slots
        self._running: dict[AttemptId, RunningAttempt] = {}
        self._asked_s: dict[AttemptId, float] = {}
        self._preempted: OrderedDict[RequestId, int] = OrderedDict()
        self._use: SlotUse | None = None
        self._use_until_s = 0.0

    def set_slots(self, slots: int) -> None:
        """Take a new part of the pool's slots."""
        self._slots = slots
        self._use = None

    def set_reserve(self, reserve: ReservePolicy) -> None:
        """Take the reserve of a new configuration."""
        self._reserve = reserve

    def may_start(self, request: Request, now_s: float) -> bool:
        """Return whether the reserve lets the request take a slot of the pool."""
        if request.request_class is RequestClass.URGENT:
            return True
        return self._reserve.may_start_patient(
            self.use(now_s), preemptible=self._is_preemptible(request)
        )

    def may_start_guest(self, request: Request, now_s: float) -> bool:
        """Return whether a request of another pool's queue may take a slot of this one.

        One slot stays free for the pool's own next request, so that lending does not push it
        into a queue.
        """
        return self.use(now_s).free > 1 and self.may_start(request, now_s)

    def started(
        self, request: Request, attempt_id: AttemptId, server: BackendServer, now_s: float
    ) -> None:
        """Note that an attempt takes a slot."""
        preemptions = self._preempted.get(request.request_id, 0)
        self._running[attempt_id] = RunningAttempt(
            request, attempt_id, server.vm, server.address, now_s, preemptions
        )
        self._use = None

    def ended(self, event: AttemptEnded, now_s: float) -> None:
        """Note that an attempt gave its slot back; a second call changes nothing."""
        attempt = self._running.pop(event.attempt_id, None)
        if attempt is None:
            return
        asked = self._asked_s.pop(event.attempt_id, None) is not None
        self._use = None
        if asked and event.outcome in _INTERRUPTED:
            self._remember(attempt)
        else:
            self._preempted.pop(attempt.request.request_id, None)

    def reclaim(self, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return the preemptions to ask for, so that waiting urgent requests can start.

        Args:
            urgent_waiting: Urgent requests that wait for nothing but a slot of the pool.
            now_s: Monotonic time.
        """
        if urgent_waiting <= 0:
            return []
        return [
            self._preempt(attempt, now_s)
            for attempt in self._reserve.reclaim(self.use(now_s), urgent_waiting)
        ]

    def use(self, now_s: float) -> SlotUse:
        """Return how the slots are used now."""
        if self._use is None or now_s >= self._use_until_s:
            self._use = self._count(now_s)
        return self._use

    def _count(self, now_s: float) -> SlotUse:
        attempts = self._running.values()
        urgent = sum(each.request.request_class is RequestClass.URGENT for each in attempts)
        preemptible = tuple(each for each in attempts if self._can_preempt(each))
        timeouts_s = [asked_s + DEFAULT_PREEMPT_TIMEOUT_S for asked_s in self._asked_s.values()]
        under_way_s = [timeout_s for timeout_s in timeouts_s if timeout_s > now_s]
        self._use_until_s = min(under_way_s, default=math.inf)
        fixed = len(attempts) - urgent - len(preemptible) - len(under_way_s)
        return SlotUse(self._slots, urgent, fixed, preemptible, len(under_way_s))

    def _preempt(self, attempt: RunningAttempt, now_s: float) -> Preempt:
        how = attempt.request.preempt_how
        assert how is not None
        self._asked_s[attempt.attempt_id] = now_s
        self._use = None
        return Preempt(
            attempt.request.request_id, attempt.attempt_id, attempt.vm, attempt.address, how
        )

    def _can_preempt(self, attempt: RunningAttempt) -> bool:
        """Return whether it may be asked; one that was asked and went on is not asked again."""
        return attempt.attempt_id not in self._asked_s and self._is_preemptible(attempt.request)

    def _is_preemptible(self, request: Request) -> bool:
        if request.request_class is RequestClass.URGENT or request.preempt_how is None:
            return False
        return self._preempted.get(request.request_id, 0) < DEFAULT_PREEMPTIONS_MAX

    def _remember(self, attempt: RunningAttempt) -> None:
        self._preempted[attempt.request.request_id] = attempt.preemptions + 1
        if len(self._preempted) > PREEMPTED_REMEMBERED_MAX:
            self._preempted.popitem(last=False)

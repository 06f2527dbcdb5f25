"""Asks the queues' adviser which backend servers may run a step.

The adviser takes a time for each server that a call names, and handles the calls of a VM one after
the other. So only few calls are in flight, each has the time that it and those before it take, and
a call that was not answered is repeated later, with more time and for fewer servers.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

from toucandoor.core.scheduling.orders import RequestAdvice

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.core.jobs.configuration import AdviserTimes
    from toucandoor.core.jobs.models import Resources, StepKey
    from toucandoor.core.scheduling.progress import StepProgress
    from toucandoor.core.scheduling.worker_view import WorkerView
    from toucandoor.core.scheduling.workers import Advice

_LOGGER = logging.getLogger(__name__)

CALLS_IN_FLIGHT_MAX: Final = 2
"""Calls in flight: one that the adviser handles, and the next one."""
WORKERS_PER_CALL_MAX: Final = 100
"""Most backend servers in one call, by the platform's protocol."""
WORKERS_PER_CALL_MIN: Final = 8
"""Fewest servers that a call is reduced to because of the time that it takes."""
CALL_S: Final = 2.0
"""Expected time of a call up to which it names more servers."""
TIMEOUT_MARGIN_S: Final = 1.0
"""Part of a time-out for the network and for delays of both sides."""
TIMEOUT_RATIO: Final = 1.25
"""Time-out to the expected time of the calls."""
RETRY_PAUSE_S: Final = 0.25
"""Pause before a step is asked for again after a call without an answer; doubles with each."""
FAILURES_MAX: Final = 3
"""Failed calls, one after the other, up to each of which time-outs and pauses grow. A call that is
lost because of a fault must not be waited for much longer than the fault lasts."""


class AdviceRequests:
    """Decides when the adviser is asked, for which servers and with which time-out."""

    def __init__(self) -> None:
        self._in_flight: dict[StepKey, float] = {}
        self._failures = 0

    def request(
        self,
        step: StepProgress,
        adviser: AdviserTimes,
        workers: Iterable[WorkerView],
        needs: Resources,
        now_s: float,
    ) -> RequestAdvice | None:
        """Return a call for servers that a step's advice does not cover; None if none is due.

        Args:
            step: The step.
            adviser: Times of its queue's adviser.
            workers: Usable servers; those with room for a task are asked for first.
            needs: Resources that a task reserves.
            now_s: The monotonic time.
        """
        if step.advice_in_flight or now_s < step.next_advice_s:
            return None
        if len(self._in_flight) >= CALLS_IN_FLIGHT_MAX:
            return None
        unasked = [
            each
            for each in workers
            if each.entry.worker_id not in step.tickets_until_s
            and now_s >= step.not_asked_until_s.get(each.entry.boot, 0.0)
        ]
        if not unasked:
            return None
        unasked.sort(key=lambda each: not needs.fits_in(each.free))
        count = _workers_per_call(adviser, step.advice_failures)
        asked = tuple(each.entry.boot for each in unasked[:count])
        expected_s = adviser.decision_s + adviser.per_worker_s * len(asked)
        ahead_s = sum(self._in_flight.values())
        failures = min(max(self._failures, step.advice_failures), FAILURES_MAX)
        timeout_s = (TIMEOUT_RATIO * (ahead_s + expected_s) + TIMEOUT_MARGIN_S) * (1 + failures)
        self._in_flight[step.key] = expected_s
        step.advice_in_flight = True
        step.advice_requested = asked
        return RequestAdvice(step.key, tuple(boot.worker_id for boot in asked), timeout_s)

    def ended(self, key: StepKey, *, answered: bool) -> None:
        """Process the end of a call, also of one for a step that no longer exists."""
        self._in_flight.pop(key, None)
        self._failures = 0 if answered else self._failures + 1

    def apply(self, step: StepProgress, advice: Advice | None, now_s: float) -> None:
        """Apply the adviser's answer to a step.

        Args:
            step: The step.
            advice: The answer; None if there was none.
            now_s: The monotonic time.
        """
        step.advice_in_flight = False
        if advice is None:
            step.advice_failures += 1
            doublings = min(step.advice_failures, FAILURES_MAX) - 1
            step.next_advice_s = now_s + RETRY_PAUSE_S * 2**doublings
            _LOGGER.info(
                "advice: no answer; asking again later for fewer servers",
                extra={
                    "job": step.key.job_id,
                    "workers": len(step.advice_requested),
                    "failures": step.advice_failures,
                },
            )
            return
        step.advice_failures = 0
        step.add_advice(advice, now_s)


def _workers_per_call(adviser: AdviserTimes, failures: int) -> int:
    """Return the most servers that a call names after some failed ones."""
    count = WORKERS_PER_CALL_MAX
    if adviser.per_worker_s > 0:
        count = min(count, int((CALL_S - adviser.decision_s) / adviser.per_worker_s))
    return max(count, WORKERS_PER_CALL_MIN) >> min(failures, FAILURES_MAX) or 1

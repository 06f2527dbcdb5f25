"""Health of backend servers: ejection of failing or unreachable ones, and their return."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from toucandoor.core.requests.models import AttemptOutcome
from toucandoor.core.routing.const import (
    DEFAULT_EJECT_AFTER_FAILURES,
    DEFAULT_EJECT_MAX_S,
    DEFAULT_EJECT_MIN_S,
    DEFAULT_EJECTED_RATIO_MAX,
    DEFAULT_PROBE_INTERVAL_S,
    DEFAULT_SUCCESS_WINDOW_S,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from toucandoor.ids import AttemptId, VmId

_SUCCESSES = (AttemptOutcome.ANSWERED, AttemptOutcome.CHECKPOINTED)
_UNREACHABLE = (AttemptOutcome.UNKNOWN, AttemptOutcome.UNREACHABLE)


class HealthState(Enum):
    """Whether a backend server receives attempts."""

    IN_SERVICE = "in"
    EJECTED = "ejected"
    TRIAL = "trial"
    """The ejection has expired; one trial attempt decides whether the backend server returns."""


@dataclass(slots=True)
class _Health:
    """Health record of one backend server.

    Attributes:
        failures: Consecutive failures.
        ejections: Consecutive ejections.
        ejected_until_s: Monotonic time at which the ejection expires; None when not ejected.
        unreachable: Whether the backend server was ejected because it was unreachable.
        succeeded_s: Monotonic time of the last successful task; None without one.
        trial: The trial attempt in progress.
        probe_at_s: Monotonic time of the next probe.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    unreachable: bool = False
    succeeded_s: float | None = None
    trial: AttemptId | None = None
    probe_at_s: float = 0.0


class HealthTable:
    """Tracks the health of an entry's backend servers and ejects failing ones."""

    def __init__(self) -> None:
        self._health: dict[VmId, _Health] = {}

    def state(self, vm: VmId, now_s: float) -> HealthState:
        """Return whether the backend server receives attempts."""
        health = self._health.get(vm)
        if health is None or health.ejected_until_s is None:
            return HealthState.IN_SERVICE
        if health.unreachable or health.trial or now_s < health.ejected_until_s:
            return HealthState.EJECTED
        return HealthState.TRIAL

    def is_healthy(self, vm: VmId, now_s: float) -> bool:
        """Return whether the backend server is not ejected and completed a task recently."""
        health = self._health.get(vm)
        if health is None or health.succeeded_s is None or health.ejected_until_s is not None:
            return False
        return now_s - health.succeeded_s <= DEFAULT_SUCCESS_WINDOW_S

    def on_attempt_started(self, vm: VmId, attempt_id: AttemptId) -> None:
        """Record the start of an attempt; on an ejected backend server it becomes the trial."""
        health = self._get_or_add(vm)
        if health.ejected_until_s is not None:
            health.trial = attempt_id

    def on_attempt_ended(
        self,
        vm: VmId,
        attempt_id: AttemptId,
        outcome: AttemptOutcome,
        pool: Collection[VmId],
        now_s: float,
    ) -> None:
        """Record the outcome of an attempt, and eject its backend server if necessary.

        Args:
            pool: All VMs of the backend server's pool.
        """
        health = self._get_or_add(vm)
        on_trial = health.trial == attempt_id
        if on_trial:
            health.trial = None
        if outcome in _SUCCESSES:
            self._health[vm] = _Health(succeeded_s=now_s)
            return
        if outcome is not AttemptOutcome.FAILED and outcome not in _UNREACHABLE:
            return
        # Attempts sent before the ejection must not extend it when they fail after it.
        if health.ejected_until_s is not None and not on_trial:
            return
        health.failures += 1
        unreachable = outcome in _UNREACHABLE
        if on_trial or self._must_eject(vm, health, unreachable, pool, now_s):
            self._eject(health, unreachable, now_s)

    def due_for_probe(self, now_s: float) -> list[VmId]:
        """Return the unreachable backend servers to probe now, each at most once per interval."""
        due = [
            vm
            for vm, health in sorted(self._health.items())
            if health.unreachable and now_s >= health.probe_at_s
        ]
        for vm in due:
            self._health[vm].probe_at_s = now_s + DEFAULT_PROBE_INTERVAL_S
        return due

    def mark_unreachable(self, vm: VmId, now_s: float) -> None:
        """Eject a backend server at once until a probe reaches it."""
        health = self._get_or_add(vm)
        if not health.unreachable:
            self._eject(health, True, now_s)

    def mark_reachable(self, vm: VmId) -> None:
        """End the ejection of an unreachable backend server that answers again.

        Its next failure ejects it again.
        """
        health = self._health.get(vm)
        if health is not None and health.unreachable:
            health.unreachable = False
            health.ejected_until_s = None
            health.failures = DEFAULT_EJECT_AFTER_FAILURES - 1

    def retain(self, vms: set[VmId]) -> None:
        """Remove all backend servers that are not among the VMs."""
        self._health = {vm: health for vm, health in self._health.items() if vm in vms}

    def _get_or_add(self, vm: VmId) -> _Health:
        return self._health.setdefault(vm, _Health())

    def _must_eject(
        self, vm: VmId, health: _Health, unreachable: bool, pool: Collection[VmId], now_s: float
    ) -> bool:
        if health.failures < DEFAULT_EJECT_AFTER_FAILURES:
            return False
        if unreachable:
            return True
        return self._others_succeed(vm, pool, now_s) and self._may_eject_another(vm, pool)

    def _eject(self, health: _Health, unreachable: bool, now_s: float) -> None:
        duration_s = min(DEFAULT_EJECT_MAX_S, DEFAULT_EJECT_MIN_S * 2.0**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + duration_s
        health.unreachable = unreachable
        health.probe_at_s = now_s + DEFAULT_PROBE_INTERVAL_S

    def _others_succeed(self, vm: VmId, pool: Collection[VmId], now_s: float) -> bool:
        """Return whether another backend server of the pool is healthy.

        Where none succeeds, the requests are at fault and not this backend server.
        """
        return any(self.is_healthy(other, now_s) for other in pool if other != vm)

    def _may_eject_another(self, vm: VmId, pool: Collection[VmId]) -> bool:
        ejected = sum(
            1
            for other in pool
            if other != vm and self._get_or_add(other).ejected_until_s is not None
        )
        return ejected + 1 <= len(pool) * DEFAULT_EJECTED_RATIO_MAX

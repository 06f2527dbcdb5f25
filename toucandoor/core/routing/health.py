"""Health of backend servers: ejection of those that fail everything, and their way back."""

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

_GOOD = (AttemptOutcome.ANSWERED, AttemptOutcome.CHECKPOINTED)
_OUT_OF_REACH = (AttemptOutcome.UNKNOWN, AttemptOutcome.UNREACHABLE)


class HealthState(Enum):
    """Whether a backend server gets work."""

    IN = "in"
    EJECTED = "ejected"
    TRIAL = "trial"
    """Its ejection is over; one attempt may show whether it works again."""


@dataclass(slots=True)
class _Health:
    """Record of one server.

    Attributes:
        failures: Failures in a row.
        ejections: Ejections in a row.
        out_of_reach: Whether it was ejected because it could not be reached.
        trial: The attempt that may show whether it works again.
        probe_at_s: When it is probed next.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    out_of_reach: bool = False
    succeeded_s: float | None = None
    trial: AttemptId | None = None
    probe_at_s: float = 0.0


class HealthTable:
    """Counts failures in a row for each backend server of an entry."""

    def __init__(self) -> None:
        self._health: dict[VmId, _Health] = {}

    def state(self, vm: VmId, now_s: float) -> HealthState:
        """Return whether the server gets work."""
        health = self._health.get(vm)
        if health is None or health.ejected_until_s is None:
            return HealthState.IN
        if health.out_of_reach or health.trial or now_s < health.ejected_until_s:
            return HealthState.EJECTED
        return HealthState.TRIAL

    def is_healthy(self, vm: VmId, now_s: float) -> bool:
        """Return whether the server is in use and did some task well not long ago."""
        health = self._health.get(vm)
        if health is None or health.succeeded_s is None or health.ejected_until_s is not None:
            return False
        return now_s - health.succeeded_s <= DEFAULT_SUCCESS_WINDOW_S

    def started(self, vm: VmId, attempt_id: AttemptId) -> None:
        """Note an attempt; on an ejected server it is the trial."""
        health = self._of(vm)
        if health.ejected_until_s is not None:
            health.trial = attempt_id

    def ended(
        self,
        vm: VmId,
        attempt_id: AttemptId,
        outcome: AttemptOutcome,
        pool: Collection[VmId],
        now_s: float,
    ) -> None:
        """Note how an attempt ended on a server of the pool."""
        health = self._of(vm)
        on_trial = health.trial == attempt_id
        if on_trial:
            health.trial = None
        if outcome in _GOOD:
            self._health[vm] = _Health(succeeded_s=now_s)
            return
        if outcome is not AttemptOutcome.FAILED and outcome not in _OUT_OF_REACH:
            return
        # Attempts sent before the ejection end after it and say nothing new.
        if health.ejected_until_s is not None and not on_trial:
            return
        health.failures += 1
        out_of_reach = outcome in _OUT_OF_REACH
        if on_trial or self._is_to_be_ejected(vm, health, out_of_reach, pool, now_s):
            self._eject(health, out_of_reach, now_s)

    def due_for_probe(self, now_s: float) -> list[VmId]:
        """Return the unreachable servers to be asked for their status; each once an interval."""
        due = [
            vm
            for vm, health in sorted(self._health.items())
            if health.out_of_reach and now_s >= health.probe_at_s
        ]
        for vm in due:
            self._health[vm].probe_at_s = now_s + DEFAULT_PROBE_INTERVAL_S
        return due

    def out_of_reach(self, vm: VmId, now_s: float) -> None:
        """Eject a server at once until a probe reaches it."""
        health = self._of(vm)
        if not health.out_of_reach:
            self._eject(health, True, now_s)

    def reached(self, vm: VmId) -> None:
        """Take a server back in that could not be reached and now answers.

        The next failure ejects it again.
        """
        health = self._health.get(vm)
        if health is not None and health.out_of_reach:
            health.out_of_reach = False
            health.ejected_until_s = None
            health.failures = DEFAULT_EJECT_AFTER_FAILURES - 1

    def forget_all_but(self, vms: set[VmId]) -> None:
        """Drop servers that no longer exist."""
        self._health = {vm: health for vm, health in self._health.items() if vm in vms}

    def _of(self, vm: VmId) -> _Health:
        return self._health.setdefault(vm, _Health())

    def _is_to_be_ejected(
        self, vm: VmId, health: _Health, out_of_reach: bool, pool: Collection[VmId], now_s: float
    ) -> bool:
        if health.failures < DEFAULT_EJECT_AFTER_FAILURES:
            return False
        if out_of_reach:
            return True
        return self._others_succeed(vm, pool, now_s) and self._room_to_eject(vm, pool)

    def _eject(self, health: _Health, out_of_reach: bool, now_s: float) -> None:
        length_s = min(DEFAULT_EJECT_MAX_S, DEFAULT_EJECT_MIN_S * 2.0**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + length_s
        health.out_of_reach = out_of_reach
        health.probe_at_s = now_s + DEFAULT_PROBE_INTERVAL_S

    def _others_succeed(self, vm: VmId, pool: Collection[VmId], now_s: float) -> bool:
        """Where nothing succeeds anywhere, the jobs are at fault and not the server."""
        return any(self.is_healthy(other, now_s) for other in pool if other != vm)

    def _room_to_eject(self, vm: VmId, pool: Collection[VmId]) -> bool:
        ejected = sum(
            1 for other in pool if other != vm and self._of(other).ejected_until_s is not None
        )
        return ejected + 1 <= len(pool) * DEFAULT_EJECTED_RATIO_MAX

"""Service of the teams in one pool, and whether the pool is short of capacity."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from toucandoor.core.fair_order.const import (
    DEADLINE_EVERY,
    LEVEL_S,
    LOOK_AHEAD_S,
    SHORTAGE_END_S,
)
from toucandoor.core.shares.ledger import ShareLedger
from toucandoor.ids import AttemptId

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from toucandoor.core.scheduling.worker_view import Run
    from toucandoor.core.scheduling.workers import RunKey
    from toucandoor.ids import PoolId, TeamId

_LOGGER = logging.getLogger(__name__)


class PoolShares:
    """Virtual time of the teams that compete for one pool.

    Service counts from the beginning of a shortage, when all teams start level: what a team has
    used while there was room for all was taken from nobody. The unit of service is the time for
    which a whole server is reserved, by the resource of which a run reserves the largest share.

    Args:
        pool: Name of the pool.
        weights: Weight of each team.

    Attributes:
        waiting: Steps left waiting at the end of the latest pass, by team.
    """

    def __init__(self, pool: PoolId, weights: Mapping[TeamId, float]) -> None:
        self._pool = pool
        # Service is measured by the scheduler itself, so no usage reports correct it.
        self._ledger = ShareLedger(weights, correctable_max=0)
        self._competing: set[TeamId] = set()
        self._short_since_s: float | None = None
        self._left_s = 0.0
        self._deadline_due_core_s = 0.0
        self.waiting: dict[TeamId, int] = {}

    def set_weights(self, weights: Mapping[TeamId, float], now_s: float) -> None:
        """Apply the weights of a newer configuration."""
        self._ledger.set_weights(weights, now_s)
        self._ledger.forget_idle(weights.keys())

    # Service

    def on_started(self, team: TeamId, run: Run, now_s: float) -> None:
        """Charge a run to its team from now on."""
        self._ledger.on_attempt_started(team, _attempt_id(run.key), now_s, _dominant_share(run))

    def on_ended(self, run: Run, now_s: float) -> None:
        """Stop charging a run."""
        self._ledger.on_attempt_ended(_attempt_id(run.key), now_s, completed=False)

    def service_s(self, now_s: float) -> dict[TeamId, float]:
        """Return the service of each team since the start of the term, in server-seconds."""
        return self._ledger.local_service(now_s)

    def position(self, team: TeamId, now_s: float) -> float:
        """Return the virtual time that a team will have reached shortly if what runs goes on.

        A run that has just been planned counts at once in it.
        """
        return self._ledger.virtual_time(team, now_s + LOOK_AHEAD_S)

    def level_height(self) -> float:
        """Return the difference of positions within which teams count as level."""
        return self._ledger.pace() * LEVEL_S

    # Passes over the waiting steps

    @property
    def short(self) -> bool:
        """Whether steps have been left waiting in recent passes."""
        return self._short_since_s is not None

    @property
    def deadline_due(self) -> bool:
        """Whether the next room goes to the job with the least time until its latest start."""
        return self.short and self._deadline_due_core_s > 0

    def begin_pass(self, competing: Collection[TeamId], now_s: float) -> None:
        """Begin a pass over the waiting steps.

        Args:
            competing: Teams with steps that compete for room by share.
            now_s: The monotonic time.
        """
        self.end_shortage(now_s)
        for team in self._competing.difference(competing):
            self._ledger.on_dequeued(team)
        for team in competing:
            if team not in self._competing:
                self._ledger.on_enqueued(team, now_s)
        self._competing = set(competing)
        self.waiting = {}

    def end_shortage(self, now_s: float) -> None:
        """End the shortage if no step has been left waiting for some time."""
        if self._short_since_s is None or now_s - self._left_s < SHORTAGE_END_S:
            return
        _LOGGER.info(
            "order: pool %s has room for all waiting steps again",
            self._pool,
            extra={"pool": self._pool, "after_s": round(self._left_s - self._short_since_s, 3)},
        )
        self._short_since_s = None
        self.waiting = {}

    def on_left_waiting(self, team: TeamId, now_s: float) -> None:
        """Record that a step of a team has not got room for all its tasks in this pass."""
        self._left_s = now_s
        self.waiting[team] = self.waiting.get(team, 0) + 1
        if self._short_since_s is None:
            self._short_since_s = now_s
            self._deadline_due_core_s = 0.0
            self._ledger.set_level(now_s)
            _LOGGER.info(
                "order: pool %s is short of capacity; teams get it by their shares",
                self._pool,
                extra={"pool": self._pool, "teams": len(self._competing)},
            )

    def on_room_given(self, core_s: float, *, by_deadline: bool) -> None:
        """Count room that a step has got, in reserved core-seconds."""
        if not self.short:
            return
        if by_deadline:
            self._deadline_due_core_s -= core_s
        elif self._deadline_due_core_s <= 0:
            # A turn that found no room stays due, but does not grow meanwhile.
            self._deadline_due_core_s += core_s / (DEADLINE_EVERY - 1)


def _attempt_id(key: RunKey) -> AttemptId:
    task = key.task
    return AttemptId(f"{task.job_id}/{task.occurrence}.{task.step}.{task.number}/{key.attempt}")


def _dominant_share(run: Run) -> float:
    """Return the largest share of any resource of its server that a run reserves."""
    reserved, capacity = run.task.step.reserved, run.worker.entry.capacity
    return max(
        reserved.cpu_millicores / max(1, capacity.cpu_millicores),
        reserved.memory_mb / max(1, capacity.memory_mb),
        reserved.gpus / max(1, capacity.gpus),
    )

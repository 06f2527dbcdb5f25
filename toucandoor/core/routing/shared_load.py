"""Routing policy for backend servers whose slots are shared with other entries."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.requests.models import AttemptOutcome
from toucandoor.core.routing.const import (
    DEFAULT_BUSY_BACKOFF_MAX_S,
    DEFAULT_BUSY_BACKOFF_MIN_S,
    DEFAULT_PROBE_INTERVAL_S,
    DEFAULT_REPORT_DECAY_S,
)
from toucandoor.core.routing.health import HealthState, HealthTable
from toucandoor.core.routing.leaving import LeavingReports, LeavingSource
from toucandoor.core.routing.policy import RoutingPolicy

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from toucandoor.core.requests.models import AttemptEnded, BackendServer
    from toucandoor.ids import AttemptId, PoolId, VmId


@dataclass(slots=True)
class _Load:
    """This entry's view of one backend server's load.

    Attributes:
        own_attempts: Attempts of this entry in progress on the backend server.
        used_by_others: Slots that other entries used when the backend server last reported.
        reported_s: Monotonic time of that report.
        busy_until_s: Monotonic time until which the backend server gets no attempts after a busy
            reply.
        busy_in_a_row: Consecutive busy replies.
    """

    own_attempts: int = 0
    used_by_others: int = 0
    reported_s: float = -math.inf
    busy_until_s: float = -math.inf
    busy_in_a_row: int = 0


class SharedLoadRouting(RoutingPolicy):
    """Selects the backend server with the lowest ratio of used slots.

    Used slots are this entry's own attempts plus the load that the backend server last reported.

    Args:
        random: Breaks ties, so that entries with the same view select different backend servers.
        data_centre: The entry's own data centre; its backend servers are preferred on equal load.
        entries: Entries that share each backend server's connections.
    """

    def __init__(self, random: Random, data_centre: str, entries: int = 1) -> None:
        self._random = random
        self._data_centre = data_centre
        self._entries = entries
        self._workers: dict[VmId, BackendServer] = {}
        self._pools: dict[PoolId, list[VmId]] = {}
        self._loads: dict[VmId, _Load] = {}
        self._vm_by_attempt: dict[AttemptId, VmId] = {}
        self._leaving_probe_at_s = 0.0
        self.health = HealthTable()
        self.leaving = LeavingReports()

    def set_entries(self, entries: int) -> None:
        """Change the number of entries that share each backend server's connections."""
        self._entries = max(1, entries)

    def update_workers(self, workers: Iterable[BackendServer], now_s: float) -> None:
        """Replace the list of backend servers; the load of those listed or in use is kept."""
        self._workers = {worker.vm: worker for worker in workers}
        vms = set(self._workers)
        self.health.retain(vms)
        self.leaving.retain(vms)
        self._loads = {
            vm: load for vm, load in self._loads.items() if vm in vms or load.own_attempts
        }
        self._pools = {}
        for worker in self._workers.values():
            self._pools.setdefault(worker.pool, []).append(worker.vm)
            if worker.leaving:
                self.leaving.add(worker.vm, LeavingSource.PLATFORM, now_s)
            else:
                self.leaving.withdraw(worker.vm, LeavingSource.PLATFORM)

    def pick(
        self,
        pool: PoolId,
        now_s: float,
        *,
        urgent: bool,
        exclude: Collection[VmId] = (),
        trial: bool = False,
    ) -> BackendServer | None:
        """Return the backend server for the next attempt; None when none can accept it."""
        free = [
            worker
            for worker in self._pool_workers(pool)
            if self._can_accept(worker, now_s, trial=trial)
        ]
        candidates = [worker for worker in free if worker.vm not in exclude] or free
        if not candidates:
            return None
        on_trial = [s for s in candidates if self.health.state(s.vm, now_s) is HealthState.TRIAL]
        if on_trial:
            return on_trial[0]
        return min(candidates, key=lambda worker: self._rank(worker, now_s))

    def on_attempt_started(self, attempt_id: AttemptId, vm: VmId, now_s: float) -> None:
        """Count an attempt on its backend server."""
        self._vm_by_attempt[attempt_id] = vm
        self._load(vm).own_attempts += 1
        self.health.on_attempt_started(vm, attempt_id)

    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Free the attempt's slot and update load and health of its backend server."""
        vm = self._vm_by_attempt.pop(event.attempt_id, None)
        if vm is None:
            return
        load = self._load(vm)
        load.own_attempts -= 1
        self._update_load(vm, load, event, now_s)
        if event.outcome is AttemptOutcome.DRAINING:
            self.leaving.add(vm, LeavingSource.WORKER, now_s)
        worker = self._workers.get(vm)
        if worker is not None:
            pool = self._pools[worker.pool]
            self.health.on_attempt_ended(vm, event.attempt_id, event.outcome, pool, now_s)

    def on_worker_probed(self, vm: VmId, *, draining: bool, now_s: float) -> None:
        """Record that a backend server answered a probe, and whether it is draining."""
        self.health.mark_reachable(vm)
        if draining:
            self.leaving.add(vm, LeavingSource.WORKER, now_s)
        else:
            self.leaving.withdraw(vm, LeavingSource.WORKER)

    def mark_unreachable(self, vm: VmId, now_s: float) -> None:
        """Eject a backend server that did not answer a query on a new connection."""
        if vm in self._workers:
            self.health.mark_unreachable(vm, now_s)

    def due_for_probe(self, now_s: float) -> list[BackendServer]:
        """Return the unreachable and self-reported leaving backend servers to probe now."""
        due = self.health.due_for_probe(now_s)
        if now_s >= self._leaving_probe_at_s:
            self._leaving_probe_at_s = now_s + DEFAULT_PROBE_INTERVAL_S
            due += [vm for vm in self.leaving.self_reported() if vm not in due]
        return [self._workers[vm] for vm in due]

    def is_healthy(self, vm: VmId, now_s: float) -> bool:
        """Return whether the backend server is healthy; if so, failures are the requests' fault."""
        return self.health.is_healthy(vm, now_s)

    def _pool_workers(self, pool: PoolId) -> list[BackendServer]:
        return [self._workers[vm] for vm in self._pools.get(pool, ())]

    def _can_accept(self, worker: BackendServer, now_s: float, *, trial: bool) -> bool:
        if worker.cordoned or self.leaving.is_leaving(worker.vm, now_s):
            return False
        health = self.health.state(worker.vm, now_s)
        if health is HealthState.EJECTED or (health is HealthState.TRIAL and not trial):
            return False
        load = self._load(worker.vm)
        if now_s < load.busy_until_s:
            return False
        # One connection of this entry's share stays reserved for queries about tasks.
        connections = max(1, worker.connections // self._entries - 1)
        return load.own_attempts < min(worker.slots, connections)

    def _rank(self, worker: BackendServer, now_s: float) -> tuple[float, bool, float]:
        load = self._load(worker.vm)
        # Rounded to whole slots, so that the remainder of an old report does not decide between
        # idle backend servers.
        used_ratio = (
            round(load.own_attempts + self._slots_used_by_others(load, now_s)) / worker.slots
        )
        return (used_ratio, worker.data_centre != self._data_centre, self._random.random())

    def _slots_used_by_others(self, load: _Load, now_s: float) -> float:
        """Return the estimated slots used by other entries; a report decays with its age."""
        return load.used_by_others * math.exp(-(now_s - load.reported_s) / DEFAULT_REPORT_DECAY_S)

    def _update_load(self, vm: VmId, load: _Load, event: AttemptEnded, now_s: float) -> None:
        worker = self._workers.get(vm)
        if event.outcome is AttemptOutcome.BUSY:
            load.busy_in_a_row += 1
            backoff_s = min(
                DEFAULT_BUSY_BACKOFF_MAX_S, DEFAULT_BUSY_BACKOFF_MIN_S * 2.0**load.busy_in_a_row
            )
            load.busy_until_s = now_s + backoff_s * self._random.uniform(0.5, 1.0)
        elif event.outcome is AttemptOutcome.ANSWERED:
            load.busy_in_a_row = 0
            load.busy_until_s = -math.inf
        if worker is not None and event.slots_free is not None:
            load.used_by_others = max(0, worker.slots - event.slots_free - load.own_attempts)
            load.reported_s = now_s

    def _load(self, vm: VmId) -> _Load:
        return self._loads.setdefault(vm, _Load())

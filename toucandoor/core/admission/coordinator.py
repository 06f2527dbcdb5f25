"""Admission of one entry: combines the pools' reserves, the teams' shares and the spare pools."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.admission.fair import FairQueue, FairSettings
from toucandoor.core.admission.pool import PoolAdmission
from toucandoor.core.admission.reserve import LentReserve, ReservePolicy
from toucandoor.core.admission.slots import SlotAdmission
from toucandoor.core.requests.models import AttemptOutcome
from toucandoor.core.shares.const import ANONYMOUS_TEAM
from toucandoor.core.shares.ledger import ShareLedger
from toucandoor.core.shares.models import ServiceMeter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from toucandoor.core.admission.lending import LendingPolicy
    from toucandoor.core.configuration.models import Configuration, QueueConfig
    from toucandoor.core.requests.models import AttemptEnded, BackendServer, Preempt, Request
    from toucandoor.ids import AttemptId, PoolId, TeamId


@dataclass(frozen=True, slots=True)
class PoolState:
    """Admission and share ledger of one pool.

    Attributes:
        shares: Service of the teams in the pool's queues, including attempts in spare pools.
    """

    admission: PoolAdmission
    shares: ShareLedger


class AdmissionCoordinator(SlotAdmission):
    """Applies reserve, shares and lending to all pools.

    Args:
        lending: Policy of the spare pools.
        entries_total: Entries that share each pool's slots.
        meter: Unit of the teams' service.
        settings: Weights of class and age against the teams' shares.
    """

    def __init__(
        self,
        lending: LendingPolicy,
        entries_total: int = 1,
        meter: ServiceMeter = ServiceMeter.RUN_TIME,
        settings: FairSettings | None = None,
    ) -> None:
        self._lending = lending
        self._entries_total = max(1, entries_total)
        self._meter = meter
        self._settings = settings
        self._pools: dict[PoolId, PoolState] = {}
        self._spare_pools: frozenset[PoolId] = frozenset()
        self._placements: dict[AttemptId, tuple[PoolId, PoolId]] = {}
        self._slots: Counter[PoolId] = Counter()
        self._weights: dict[TeamId, float] = {}

    def configure(self, configuration: Configuration, now_s: float) -> None:
        """Apply pools, weights and the size of the reserve; running attempts stay counted."""
        self._weights = {
            team_id: team.share_weight for team_id, team in configuration.teams.items()
        }
        self._meter = configuration.policy.service_meter
        reserve = LentReserve(configuration.policy.urgent_reserve_ratio)
        for pool_id in configuration.pools:
            state = self._pools.get(pool_id)
            if state is None:
                self.add_pool(pool_id, reserve)
                continue
            state.admission.set_reserve(reserve)
            state.shares.set_weights(self._weights, now_s)
            state.shares.set_meter(self._meter)
        self._spare_pools = frozenset(p for p, pool in configuration.pools.items() if pool.spare)

    def add_pool(self, pool_id: PoolId, reserve: ReservePolicy) -> None:
        """Add a pool with nothing running."""
        ledger = ShareLedger(self._weights, self._meter)
        admission = PoolAdmission(reserve, self._own_slots(pool_id))
        self._pools[pool_id] = PoolState(admission, ledger)

    def set_spare_pools(self, spare: frozenset[PoolId]) -> None:
        """Set the pools that lend slots to other pools' queues."""
        self._spare_pools = spare

    def set_weights(self, weights: Mapping[TeamId, float]) -> None:
        """Set the weights for pools that are added later."""
        self._weights = dict(weights)

    def make_queue(self, queue: QueueConfig) -> FairQueue:
        """Return a new queue that uses the share ledger of its pool."""
        return FairQueue(queue.waiting_max, self._pools[queue.pool].shares, self._settings)

    def share_ledger(self, pool_id: PoolId) -> ShareLedger:
        """Return the share ledger of a pool."""
        return self._pools[pool_id].shares

    def update_workers(self, workers: Iterable[BackendServer]) -> None:
        """Count the slots of each pool's backend servers that are neither leaving nor cordoned."""
        self._slots = Counter()
        for worker in workers:
            if not worker.leaving and not worker.cordoned:
                self._slots[worker.pool] += worker.slots
        for pool_id, state in self._pools.items():
            state.admission.set_slots(self._own_slots(pool_id))

    def pools_for(self, request: Request, home: PoolId, now_s: float) -> Iterator[PoolId]:
        """Return the pools in which the request may start, its own pool first."""
        if home not in self._pools:
            return
        if self._pools[home].admission.may_start(request, now_s):
            yield home
        if not self._lending.may_borrow(request):
            return
        for pool in sorted(self._spare_pools - {home}):
            if self._pools[pool].admission.may_lend_slot(request, now_s):
                yield pool

    def on_attempt_started(
        self,
        request: Request,
        home: PoolId,
        attempt_id: AttemptId,
        worker: BackendServer,
        now_s: float,
    ) -> None:
        """Record an attempt: its slot in the pool where it runs, its service in its own pool."""
        if attempt_id in self._placements:
            return
        self._placements[attempt_id] = (home, worker.pool)
        self._pools[worker.pool].admission.on_attempt_started(request, attempt_id, worker, now_s)
        self._pools[home].shares.on_attempt_started(
            request.team or ANONYMOUS_TEAM, attempt_id, now_s
        )

    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> None:
        """Record how an attempt ended; a second call changes nothing."""
        placement = self._placements.pop(event.attempt_id, None)
        if placement is None:
            return
        home, pool = placement
        self._pools[pool].admission.on_attempt_ended(event, now_s)
        completed = event.outcome is AttemptOutcome.ANSWERED
        self._pools[home].shares.on_attempt_ended(event.attempt_id, now_s, completed=completed)

    def reclaim(self, home: PoolId, urgent_waiting: int, now_s: float) -> list[Preempt]:
        """Return the preemptions that free slots for the urgent requests of a pool's queues.

        Args:
            home: Pool of the queues.
            urgent_waiting: Urgent requests there that wait for nothing but a slot.
            now_s: Monotonic time.
        """
        return self._pools[home].admission.reclaim(urgent_waiting, now_s)

    def _own_slots(self, pool_id: PoolId) -> int:
        """Return this entry's part of a pool's slots."""
        return -(-self._slots[pool_id] // self._entries_total)

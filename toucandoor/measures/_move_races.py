"""Operators that race each other with moves, on a store that loses answers."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from toucandoor.core.pools.models import (
    ReadFleet,
    Swap,
    SwapDone,
    assignment_key,
    decode_map,
    encode,
)
from toucandoor.core.pools.move import MoveOrder, MoveOutcome, MoveSession
from toucandoor.core.pools.records import first_ledger, first_map, fleet_keys, fleet_read
from toucandoor.fakes.fleets import data_centres, fleet_configuration
from toucandoor.fakes.virtual_store import StoreFault, VirtualStore
from toucandoor.ids import OperationId, PoolId, VmId

if TYPE_CHECKING:
    from random import Random

    from toucandoor.core.pools.move import MoveDecision
    from toucandoor.fakes.fleets import FleetSize

_START = datetime(2026, 1, 5, 18, 0, tzinfo=UTC)
_FAULTS = (*StoreFault,)


@dataclass(frozen=True, slots=True)
class RaceSettings:
    """How rough a race is.

    Attributes:
        moves: Moves ordered in all.
        operators: Moves under way at once.
        fault_ratio: Part of the swaps that meet a fault.
        pause_ratio: Part of the steps after which an operator is frozen for a while.
        crash_ratio: Part of the steps after which an operator is gone for good.
        hot_vms: VMs that all moves are about.
    """

    moves: int
    operators: int = 4
    fault_ratio: float = 0.1
    pause_ratio: float = 0.05
    crash_ratio: float = 0.01
    hot_vms: int = 4


class Mover(ABC):
    """One move under way; each step is one call to the store."""

    def __init__(self, order: MoveOrder) -> None:
        self.order = order
        self.outcome: MoveOutcome | None = None
        self.calls = 0

    @abstractmethod
    def step(self, store: VirtualStore, fault: StoreFault | None, now: datetime) -> None:
        """Make the next call; sets ``outcome`` when the move is over."""


class SwapMover(Mover):
    """The product: a move session."""

    def __init__(self, order: MoveOrder, size: FleetSize) -> None:
        super().__init__(order)
        self._centres = data_centres(size)
        self._session = MoveSession(order)
        self._next: MoveDecision = self._session.start()
        self._stored: dict[str, tuple[bytes | None, int]] = {}

    def step(self, store: VirtualStore, fault: StoreFault | None, now: datetime) -> None:
        """Read one key, or swap."""
        self.calls += 1
        if isinstance(self._next, Swap):
            self._take(self._session.on_answer(store.swap(self._next, fault)))
            return
        keys = fleet_keys(self._centres)
        key = keys[len(self._stored)]
        self._stored[key] = store.get(key)
        if len(self._stored) == len(keys):
            read = fleet_read(self._centres, self._stored)
            self._take(self._session.on_read(read, now))

    def _take(self, decision: MoveDecision) -> None:
        self._next = decision
        if isinstance(decision, ReadFleet):
            self._stored = {}
        elif not isinstance(decision, Swap):
            self.outcome = decision.outcome


def pool_key(pool: PoolId) -> str:
    """Return the baseline's key of a pool's list of VMs."""
    return f"baseline/pool/{pool}"


class DeleteThenInsert(Mover):
    """The baseline: a list of VMs for each pool; take the VM off one, then add it to the other."""

    def __init__(self, order: MoveOrder) -> None:
        super().__init__(order)
        self._inserting = False
        self._read: tuple[list[str], int] | None = None

    def step(self, store: VirtualStore, fault: StoreFault | None, now: datetime) -> None:
        """Read a pool's list, or swap it."""
        self.calls += 1
        pool = self.order.target if self._inserting else self.order.source
        if self._read is None:
            value, revision = store.get(pool_key(pool))
            self._read = (json.loads(value or b"[]"), revision)
            return
        vms, revision = self._read
        self._read = None
        others = [vm for vm in vms if vm != self.order.vm]
        changed = sorted([*others, self.order.vm]) if self._inserting else others
        if changed == vms:
            self._advance()
            return
        swap = Swap(pool_key(pool), revision, json.dumps(changed).encode())
        if isinstance(store.swap(swap, fault), SwapDone):
            self._advance()

    def _advance(self) -> None:
        if self._inserting:
            self.outcome = MoveOutcome.MOVED
        self._inserting = True


@dataclass(slots=True)
class RaceFigures:
    """What a race showed.

    Attributes:
        double: VM and write pairs after which a VM stood in two pools or more.
        without: VM and write pairs after which a VM stood in no pool.
        redone: Moves applied more than once.
        untrue: Moves whose outcome says what did not happen.
        over_budget: Writes after which more VMs of a pool were lent than its budget has places.
    """

    double: int = 0
    without: int = 0
    redone: int = 0
    untrue: int = 0
    over_budget: int = 0
    moved: int = 0
    refused: int = 0
    unknown: int = 0
    crashed: int = 0
    faults: int = 0
    calls: int = 0
    bytes_written: int = 0


class Race:
    """Runs many moves at once, one call at a time in a random order.

    Args:
        product: Whether to run the product; the baseline otherwise.
    """

    def __init__(self, size: FleetSize, settings: RaceSettings, rng: Random, *, product: bool):
        self._size = size
        self._settings = settings
        self._rng = rng
        self._product = product
        self._configuration = fleet_configuration(size)
        self._pools = sorted(self._configuration.pools)
        self._vms = sorted(self._configuration.vms)
        self._store = VirtualStore()
        self._applied: Counter[str] = Counter()
        self._owners: dict[str, dict[str, list[str]]] = {}
        self.figures = RaceFigures()

    def run(self) -> RaceFigures:
        """Run to the end and return the figures."""
        self._fill()
        self._store.on_write = self._check
        settings, rng = self._settings, self._rng
        waiting = list(range(settings.moves))
        running: list[tuple[Mover, int]] = []
        done: list[Mover] = []
        tick = 0
        while waiting or running:
            tick += 1
            while waiting and len(running) < settings.operators:
                running.append((self._mover(self._order(waiting.pop())), tick))
            index = rng.randrange(len(running))
            mover, frozen_until = running[index]
            if tick < frozen_until:
                continue
            fault = rng.choice(_FAULTS) if rng.random() < settings.fault_ratio else None
            self.figures.faults += fault is not None
            mover.step(self._store, fault, _START + timedelta(seconds=tick))
            if rng.random() < settings.fault_ratio:
                self._store.deliver_late()
            if mover.outcome is not None:
                done.append(mover)
                running.pop(index)
            elif rng.random() < settings.crash_ratio:
                self.figures.crashed += 1
                running.pop(index)
            elif rng.random() < settings.pause_ratio:
                running[index] = (mover, tick + rng.randrange(100))
        self._store.deliver_late()
        self._conclude(done)
        return self.figures

    def _mover(self, order: MoveOrder) -> Mover:
        return SwapMover(order, self._size) if self._product else DeleteThenInsert(order)

    def _order(self, index: int) -> MoveOrder:
        vm = VmId(self._rng.choice(self._vms[: self._settings.hot_vms]))
        seen = [pool for owners in self._owners.values() for pool in owners.get(vm, ())]
        source = PoolId(seen[0] if seen else self._pools[0])
        others = [pool for pool in self._pools if pool != source]
        home = self._configuration.vms[vm].pool
        target = home if source != home else self._rng.choice(others)
        if self._rng.random() < 0.3:
            target = self._rng.choice(others)
        return MoveOrder(OperationId(f"move-{index}"), vm, source, target, "operator")

    def _fill(self) -> None:
        if self._product:
            for each in data_centres(self._size):
                record = first_map(self._configuration, 1, each)
                self._store.swap(Swap(assignment_key(each), 0, encode(record)))
            ledger = first_ledger(self._configuration, 1)
            self._store.swap(Swap("fleet/budgets", 0, encode(ledger)))
        else:
            for pool in self._pools:
                vms = [vm for vm in self._vms if self._configuration.vms[VmId(vm)].pool == pool]
                self._store.swap(Swap(pool_key(pool), 0, json.dumps(vms).encode()))
        for key in list(self._store.values):
            self._check(key)
        self.figures = RaceFigures()
        self._store.calls = self._store.bytes_written = 0

    def _check(self, key: str) -> None:
        value = self._store.values[key]
        if not self._product:
            pool = key.rpartition("/")[2]
            self._owners[key] = {vm: [pool] for vm in json.loads(value)}
        elif key == "fleet/budgets":
            return
        else:
            record = decode_map(value)
            self._owners[key] = {vm: [each.pool] for vm, each in record.vms.items()}
            for event in record.events:
                self._applied[f"{event.operation}/{key}/{event.sequence}"] = 1
            self._check_budget()
        owners = Counter(vm for each in self._owners.values() for vm in each)
        self.figures.double += sum(count > 1 for count in owners.values())
        self.figures.without += sum(vm not in owners for vm in self._vms)

    def _check_budget(self) -> None:
        lent: Counter[str] = Counter()
        for key in self._owners:
            for vm in decode_map(self._store.values[key]).vms.values():
                lent[vm.home] += vm.home != vm.pool
        self.figures.over_budget += any(n > self._size.unavailable_max for n in lent.values())

    def _conclude(self, done: list[Mover]) -> None:
        figures = self.figures
        outcomes = Counter(mover.outcome for mover in done)
        figures.moved = outcomes[MoveOutcome.MOVED]
        figures.refused = outcomes[MoveOutcome.REFUSED] + outcomes[MoveOutcome.NOT_MOVED]
        figures.unknown = outcomes[MoveOutcome.UNKNOWN]
        figures.calls = self._store.calls
        figures.bytes_written = self._store.bytes_written
        if not self._product:
            return
        times = Counter(each.partition("/")[0] for each in self._applied)
        figures.redone = sum(count > 1 for count in times.values())
        for mover in done:
            applied = mover.order.operation in times
            said = mover.outcome is MoveOutcome.MOVED
            figures.untrue += mover.outcome is not MoveOutcome.UNKNOWN and applied != said

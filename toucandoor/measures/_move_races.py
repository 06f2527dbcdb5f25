"""Concurrent moves of VMs by several operators, with lost answers of the store."""

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
    """Load and faults of a race.

    Attributes:
        moves: Number of moves ordered in total.
        operators: Number of moves in progress at the same time.
        fault_ratio: Fraction of steps with a store fault, which takes effect if the step is a swap,
            and probability in each step that delayed swaps are applied.
        pause_ratio: Fraction of steps after which an operator is frozen for up to 100 steps.
        crash_ratio: Fraction of steps after which an operator ends for good.
        hot_vms: Number of VMs from which each move picks the one to move.
    """

    moves: int
    operators: int = 4
    fault_ratio: float = 0.1
    pause_ratio: float = 0.05
    crash_ratio: float = 0.01
    hot_vms: int = 4


class Mover(ABC):
    """Carries out one move; each step is one call to the store.

    Attributes:
        outcome: Outcome of the move; None while it is in progress.
        calls: Number of steps so far.
    """

    def __init__(self, order: MoveOrder) -> None:
        self.order = order
        self.outcome: MoveOutcome | None = None
        self.calls = 0

    @abstractmethod
    def step(self, store: VirtualStore, fault: StoreFault | None, now: datetime) -> None:
        """Make the next call to the store; set ``outcome`` if it ends the move."""


class SwapMover(Mover):
    """Mover of the product: carries out a ``MoveSession``."""

    def __init__(self, order: MoveOrder, size: FleetSize) -> None:
        super().__init__(order)
        self._data_centres = data_centres(size)
        self._session = MoveSession(order)
        self._next: MoveDecision = self._session.start()
        self._stored: dict[str, tuple[bytes | None, int]] = {}

    def step(self, store: VirtualStore, fault: StoreFault | None, now: datetime) -> None:
        """Read the next key of the fleet records, or swap."""
        self.calls += 1
        if isinstance(self._next, Swap):
            self._handle_decision(self._session.on_answer(store.swap(self._next, fault)))
            return
        keys = fleet_keys(self._data_centres)
        key = keys[len(self._stored)]
        self._stored[key] = store.get(key)
        if len(self._stored) == len(keys):
            read = fleet_read(self._data_centres, self._stored)
            self._handle_decision(self._session.on_read(read, now))

    def _handle_decision(self, decision: MoveDecision) -> None:
        self._next = decision
        if isinstance(decision, ReadFleet):
            self._stored = {}
        elif not isinstance(decision, Swap):
            self.outcome = decision.outcome


def pool_key(pool: PoolId) -> str:
    """Return the baseline's key of a pool's list of VMs."""
    return f"baseline/pool/{pool}"


class DeleteThenInsert(Mover):
    """Mover of the baseline: deletes the VM from one pool's list, then inserts it in another."""

    def __init__(self, order: MoveOrder) -> None:
        super().__init__(order)
        self._inserting = False
        self._read: tuple[list[str], int] | None = None

    def step(self, store: VirtualStore, fault: StoreFault | None, now: datetime) -> None:
        """Read the pool's list, or swap it."""
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
    """Figures of a race.

    Attributes:
        double: VMs that belong to more than one pool, summed over all writes.
        without: VMs that belong to no pool, summed over all writes.
        redone: Moves applied more than once.
        untrue: Moves whose reported outcome differs from what was applied.
        over_budget: Writes after which more VMs of a pool are lent than its budget has places.
        moved: Moves reported as carried out.
        refused: Moves reported as refused or not carried out.
        unknown: Moves reported with an unknown outcome.
        crashed: Operators that ended before their move did.
        faults: Store faults injected.
        calls: Calls to the store.
        bytes_written: Sum of the sizes of values written to the store.
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
    """Interleaves the store calls of concurrent moves in random order and checks every write.

    Args:
        product: Whether to move by ``SwapMover``; by ``DeleteThenInsert`` otherwise.
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
        """Run until every move has ended or its operator has crashed, and return the figures."""
        self._write_initial_records()
        self._store.on_write = self._check_write
        settings, rng = self._settings, self._rng
        waiting = list(range(settings.moves))
        running: list[tuple[Mover, int]] = []
        done: list[Mover] = []
        tick = 0
        while waiting or running:
            tick += 1
            while waiting and len(running) < settings.operators:
                running.append((self._new_mover(self._random_order(waiting.pop())), tick))
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
        self._update_totals(done)
        return self.figures

    def _new_mover(self, order: MoveOrder) -> Mover:
        return SwapMover(order, self._size) if self._product else DeleteThenInsert(order)

    def _random_order(self, index: int) -> MoveOrder:
        vm = VmId(self._rng.choice(self._vms[: self._settings.hot_vms]))
        current = [pool for owners in self._owners.values() for pool in owners.get(vm, ())]
        source = PoolId(current[0] if current else self._pools[0])
        others = [pool for pool in self._pools if pool != source]
        home = self._configuration.vms[vm].pool
        target = home if source != home else self._rng.choice(others)
        if self._rng.random() < 0.3:
            target = self._rng.choice(others)
        return MoveOrder(OperationId(f"move-{index}"), vm, source, target, "operator")

    def _write_initial_records(self) -> None:
        if self._product:
            for data_centre in data_centres(self._size):
                record = first_map(self._configuration, 1, data_centre)
                self._store.swap(Swap(assignment_key(data_centre), 0, encode(record)))
            ledger = first_ledger(self._configuration, 1)
            self._store.swap(Swap("fleet/budgets", 0, encode(ledger)))
        else:
            for pool in self._pools:
                vms = [vm for vm in self._vms if self._configuration.vms[VmId(vm)].pool == pool]
                self._store.swap(Swap(pool_key(pool), 0, json.dumps(vms).encode()))
        for key in list(self._store.values):
            self._check_write(key)
        self.figures = RaceFigures()
        self._store.calls = self._store.bytes_written = 0

    def _check_write(self, key: str) -> None:
        value = self._store.values[key]
        if not self._product:
            pool = key.rpartition("/")[2]
            self._owners[key] = {vm: [pool] for vm in json.loads(value)}
        elif key == "fleet/budgets":
            return
        else:
            record = decode_map(value)
            self._owners[key] = {vm_id: [vm.pool] for vm_id, vm in record.vms.items()}
            for event in record.events:
                self._applied[f"{event.operation}/{key}/{event.sequence}"] = 1
            self._check_budget()
        owner_counts = Counter(vm for owners in self._owners.values() for vm in owners)
        self.figures.double += sum(count > 1 for count in owner_counts.values())
        self.figures.without += sum(vm not in owner_counts for vm in self._vms)

    def _check_budget(self) -> None:
        lent: Counter[str] = Counter()
        for key in self._owners:
            for vm in decode_map(self._store.values[key]).vms.values():
                lent[vm.home] += vm.home != vm.pool
        self.figures.over_budget += any(
            count > self._size.unavailable_max for count in lent.values()
        )

    def _update_totals(self, done: list[Mover]) -> None:
        figures = self.figures
        outcomes = Counter(mover.outcome for mover in done)
        figures.moved = outcomes[MoveOutcome.MOVED]
        figures.refused = outcomes[MoveOutcome.REFUSED] + outcomes[MoveOutcome.NOT_MOVED]
        figures.unknown = outcomes[MoveOutcome.UNKNOWN]
        figures.calls = self._store.calls
        figures.bytes_written = self._store.bytes_written
        if not self._product:
            return
        applied_counts = Counter(event.partition("/")[0] for event in self._applied)
        figures.redone = sum(count > 1 for count in applied_counts.values())
        for mover in done:
            applied = mover.order.operation in applied_counts
            reported = mover.outcome is MoveOutcome.MOVED
            figures.untrue += mover.outcome is not MoveOutcome.UNKNOWN and applied != reported

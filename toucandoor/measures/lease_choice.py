"""Keyed work lost against delay of "accepted" for the chosen leases and simpler ones."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final

from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.configuration.const import DEFAULT_CUT_OFF_GRACE_S, DEFAULT_ENTRY_LEASE_S
from toucandoor.core.leases.models import LeaseTimes
from toucandoor.core.leases.node import LeaseNode
from toucandoor.measures._fleet_drive import FleetDrive
from toucandoor.measures._fleet_model import FleetModel
from toucandoor.measures.result import Figures, MeasureResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.ids import EntryId

LAYOUTS: Final = {
    "whistleline": {"a": 2, "b": 3, "c": 3},
    "oberland": {"a": 2, "b": 2, "c": 2, "d": 2},
    "target": dict.fromkeys("abcdef", 8),
}
FAULT_S: Final = 300.0
ACCEPTED_MAX_S: Final = 12.0
LONG: Final = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)
SHORT: Final = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_ENTRY_LEASE_S)


class _FlatAcceptance(Acceptance):
    """Knows no entry lease: who is silent is awaited until its grace ends."""

    def _cannot_renew(self, entry: EntryId) -> bool:
        return False


class _FlatNode(LeaseNode):
    """Holds the freshness lease alone."""

    def entry_lease_until_s(self) -> float:
        return math.inf


class _NearNode(LeaseNode):
    """Takes its entry lease from a majority of its data centre only."""

    def entry_lease_until_s(self) -> float:
        mine = self._slots.get(self.entry)
        if mine is None:
            return -math.inf
        held = {**self._grant_until_s, self.entry: math.inf}
        return self._majority_until_s(held, self._entries_in(mine.data_centre))


def run(seed: int) -> MeasureResult:
    """Put the same faults to four choices of leases at three sizes."""
    product: Figures = {}
    baseline: Figures = {}
    for name, layout in LAYOUTS.items():
        product |= _choice(name, layout, seed, LONG, Acceptance, LeaseNode)
        baseline |= _choice(f"flat_long_{name}", layout, seed, LONG, _FlatAcceptance, _FlatNode)
        baseline |= _choice(f"flat_short_{name}", layout, seed, SHORT, _FlatAcceptance, _FlatNode)
        baseline |= _choice(f"near_only_{name}", layout, seed, LONG, Acceptance, _NearNode)
    worst_s = [product[f"{name}_crash_accepted_s"] for name in LAYOUTS]
    return MeasureResult(
        measure="lease_choice",
        seed=seed,
        parameters={
            "fault_s": FAULT_S,
            "entry_lease_s": LONG.entry_lease_s,
            "cut_off_grace_s": LONG.grace_s,
        },
        product=product,
        baseline=baseline,
        bound={"crash_accepted_max_s": ACCEPTED_MAX_S},
        holds=all(isinstance(s, float) and s <= ACCEPTED_MAX_S for s in worst_s),
    )


def _choice(
    name: str,
    layout: dict[str, int],
    seed: int,
    times: LeaseTimes,
    acceptance: Callable[..., Acceptance],
    make_node: Callable[..., LeaseNode],
) -> Figures:
    def drive() -> FleetDrive:
        model = FleetModel(layout, times, acceptance=acceptance, make_node=make_node)
        started = FleetDrive(model, random.Random(seed))
        started.run(20.0)
        return started

    return {
        f"{name}_crash_accepted_s": _crash(drive()),
        f"{name}_cut_lost_ratio": _cut(drive()),
        f"{name}_outage_and_crash_lost_ratio": _outage_and_crash(drive()),
    }


def _crash(drive: FleetDrive) -> float | None:
    """Return how long a change takes right after an entry VM of the first data centre crashed."""
    drive.crash(next(iter(drive.fleet.nodes)), None)
    drive.change()
    until_s = drive.fleet.now_s + FAULT_S
    while drive.changes[0].accepted_s is None and drive.fleet.now_s < until_s:
        drive.step()
    accepted_s = drive.changes[0].accepted_s
    return None if accepted_s is None else round(accepted_s - drive.changes[0].written_s, 2)


def _cut(drive: FleetDrive) -> float:
    """Return the keyed time that the first data centre loses when it is cut off."""
    drive.cut_off("a")
    inside = sum(1 for m in drive.fleet.nodes.values() if m.slot.data_centre == "a")
    return _lost(drive, inside, 0)


def _outage_and_crash(drive: FleetDrive) -> float:
    """Return the keyed time that survivors of a crash lose while the store is away."""
    drive.fleet.store_up = False
    drive.crash(next(iter(drive.fleet.nodes)), None)
    return _lost(drive, len(drive.fleet.nodes) - 1, 1)


def _lost(drive: FleetDrive, concerned: int, gone: int) -> float:
    before_s = drive.keyed_entry_s
    drive.run(FAULT_S)
    possible_s = FAULT_S * (len(drive.fleet.nodes) - gone)
    lost_s = possible_s - (drive.keyed_entry_s - before_s)
    return round(max(0.0, lost_s) / (concerned * FAULT_S), 3)

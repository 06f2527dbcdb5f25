"""Drives the model of a fleet as the controllers do: heartbeats, reads of the store, adoption."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from toucandoor.core.leases.const import (
    CONFIRMATIONS_PER_GRACE,
    DEFAULT_FRESHNESS_INTERVAL_S,
    DEFAULT_POLL_INTERVAL_S,
)

if TYPE_CHECKING:
    from toucandoor.ids import EntryId
    from toucandoor.measures._fleet_model import FleetModel

STEP_S: Final = 0.25
START_UP_S: Final = 3.0


@dataclass(slots=True)
class Change:
    """One change of configuration as it went.

    Attributes:
        in_force_s: When no entry could start keyed work below it, None while one can.
        accepted_s: When it was answered as accepted, None before.
        cut: Whether a data centre was cut off while it was under way.
    """

    version: int
    written_s: float
    in_force_s: float | None = None
    accepted_s: float | None = None
    cut: bool = False


@dataclass(slots=True)
class FleetDrive:
    """A fleet that runs by itself, and what was seen of its changes.

    Attributes:
        below_accepted: Steps at which an entry could start keyed work below an accepted version.
        keyed_entry_s: Time that entries could start keyed work, summed over the entries.
    """

    fleet: FleetModel
    rng: random.Random
    changes: list[Change] = field(default_factory=list)
    below_accepted: int = 0
    keyed_entry_s: float = 0.0
    _next_poll_s: dict[EntryId, float] = field(default_factory=dict)
    _back_s: dict[EntryId, float] = field(default_factory=dict)

    def run(self, seconds: float) -> None:
        """Run for a time."""
        until_s = self.fleet.now_s + seconds
        while self.fleet.now_s < until_s:
            self.step()

    def step(self) -> None:
        """Run one step of the time."""
        fleet = self.fleet
        for entry in [e for e, at_s in self._back_s.items() if at_s <= fleet.now_s]:
            del self._back_s[entry]
            fleet.restart(entry)
        for entry, mine in fleet.nodes.items():
            if mine.up and not mine.paused:
                self._turn(entry)
        fleet.advance(STEP_S)
        self._look()
        self._repeat()

    def _repeat(self) -> None:
        """Repeat the newest change through another controller when the first one went away."""
        fleet = self.fleet
        if not self.changes or fleet.accepted >= self.changes[-1].version:
            return
        version = self.changes[-1].version
        nodes = [(e, m) for e, m in fleet.nodes.items() if m.up and not m.paused]
        if any(at >= version for _, mine in nodes for at in mine.following):
            return
        for entry, mine in nodes:
            if mine.node.known >= version and fleet.sees_store(entry):
                fleet.follow(entry, version)
                return

    def change(self) -> None:
        """Write a change from some node that sees the store."""
        fleet = self.fleet
        able = [e for e, m in fleet.nodes.items() if fleet.sees_store(e) and m.node.in_force]
        writer = self.rng.choice(able)
        fleet.read_store(writer)
        version = fleet.write(writer)
        if version:
            self.changes.append(Change(version, fleet.now_s, cut=bool(fleet.cuts)))

    def crash(self, entry: EntryId, back_after_s: float | None) -> None:
        """End a node without a goodbye; its successor starts after a time, or never."""
        self.fleet.nodes[entry].up = False
        if back_after_s is not None:
            self._back_s[entry] = self.fleet.now_s + back_after_s

    def restart(self, entry: EntryId) -> None:
        """Restart a node as planned."""
        self.fleet.goodbye(entry)
        self._back_s[entry] = self.fleet.now_s + START_UP_S

    def cut_off(self, data_centre: str) -> None:
        """Cut a data centre off from the others and from the store."""
        nodes = self.fleet.nodes.items()
        inside = {e for e, m in nodes if m.slot.data_centre == data_centre}
        self.fleet.cuts = {
            (a, b)
            for a in self.fleet.nodes
            for b in self.fleet.nodes
            if (a in inside) != (b in inside)
        }
        self.fleet.store_cuts = inside
        for change in self.changes:
            change.cut = change.cut or change.accepted_s is None

    def mend(self) -> None:
        """End all cuts."""
        self.fleet.cuts, self.fleet.store_cuts = set(), set()

    def _turn(self, entry: EntryId) -> None:
        fleet, mine = self.fleet, self.fleet.nodes[entry]
        if mine.node.known < fleet.head and fleet.sees_store(entry):
            fleet.read_store(entry)  # the watch
        fleet.adopt(entry)
        following = any(True for _ in mine.following)
        if following:
            self._poll(entry, list(fleet.nodes))
        if fleet.now_s < self._next_poll_s.get(entry, 0.0):
            return
        interval_s = min(DEFAULT_POLL_INTERVAL_S, fleet.times.entry_lease_s / 3)
        self._next_poll_s[entry] = fleet.now_s + interval_s * self.rng.uniform(0.9, 1.1)
        near = [e for e, m in fleet.nodes.items() if m.slot.data_centre == mine.slot.data_centre]
        self._poll(entry, near if self._confirmed(entry) else list(fleet.nodes))
        fleet.adopt(entry)

    def _confirmed(self, entry: EntryId) -> bool:
        fleet, node = self.fleet, self.fleet.nodes[entry].node
        age_s = node.fresh_age_s(fleet.local_s(entry))
        interval_s = min(
            DEFAULT_FRESHNESS_INTERVAL_S, fleet.times.grace_s / CONFIRMATIONS_PER_GRACE
        )
        limit_s = interval_s * self.rng.uniform(1.0, 1.5)
        if age_s is not None and age_s <= limit_s and node.caught_up():
            lease_left_s = node.entry_lease_until_s() - fleet.local_s(entry)
            return lease_left_s > fleet.times.entry_lease_s / 2
        if not fleet.sees_store(entry):
            return False
        fleet.read_store(entry)
        return True

    def _poll(self, entry: EntryId, others: list[EntryId]) -> None:
        for other in others:
            if other != entry or self.fleet.nodes[entry].following:
                self.fleet.poll(entry, other)

    def _look(self) -> None:
        fleet = self.fleet
        serving = [e for e in fleet.nodes if fleet.may_start(e)]
        self.keyed_entry_s += STEP_S * len(serving)
        lowest = min((int(fleet.nodes[e].node.in_force) for e in serving), default=fleet.head)
        self.below_accepted += lowest < fleet.accepted
        for change in self.changes[-20:]:
            if change.in_force_s is None and lowest >= change.version:
                change.in_force_s = fleet.now_s
            if change.accepted_s is None and fleet.accepted >= change.version:
                change.accepted_s = fleet.now_s

"""Drives the model of a fleet as controllers do: polls, store reads, adoption of new versions."""

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
RESTART_DURATION_S: Final = 3.0


@dataclass(slots=True)
class Change:
    """One change of the configuration.

    Attributes:
        version: Version that it wrote.
        written_s: Time at which it was written.
        in_force_s: Time from which no entry could start keyed work under a lower version; None
            before.
        accepted_s: Time at which it was reported as accepted; None before.
        during_partition: Whether there was a network partition before it was accepted.
    """

    version: int
    written_s: float
    in_force_s: float | None = None
    accepted_s: float | None = None
    during_partition: bool = False


@dataclass(slots=True)
class FleetDriver:
    """Runs a fleet model step by step and records when its changes take effect.

    Attributes:
        changes: Changes written so far.
        false_accepted_steps: Number of steps in which an entry could start keyed work under a
            version lower than an accepted one.
        keyed_time_s: Time for which entries could start keyed work, summed over the entries.
    """

    fleet: FleetModel
    rng: random.Random
    changes: list[Change] = field(default_factory=list)
    false_accepted_steps: int = 0
    keyed_time_s: float = 0.0
    _next_poll_s: dict[EntryId, float] = field(default_factory=dict)
    _restart_at_s: dict[EntryId, float] = field(default_factory=dict)

    def run(self, seconds: float) -> None:
        """Run for a duration."""
        until_s = self.fleet.now_s + seconds
        while self.fleet.now_s < until_s:
            self.step()

    def step(self) -> None:
        """Run one step of ``STEP_S``."""
        fleet = self.fleet
        for entry in [e for e, at_s in self._restart_at_s.items() if at_s <= fleet.now_s]:
            del self._restart_at_s[entry]
            fleet.restart(entry)
        for entry, model_node in fleet.nodes.items():
            if model_node.up and not model_node.paused:
                self._run_node(entry)
        fleet.advance(STEP_S)
        self._record_state()
        self._track_newest_change()

    def _track_newest_change(self) -> None:
        """Let another node track the newest change if no running node tracks it.

        This is what an operator does who repeats a command at another controller because the first
        one has stopped.
        """
        fleet = self.fleet
        if not self.changes or fleet.accepted_version >= self.changes[-1].version:
            return
        version = self.changes[-1].version
        nodes = [(e, m) for e, m in fleet.nodes.items() if m.up and not m.paused]
        if any(at >= version for _, model_node in nodes for at in model_node.tracked):
            return
        for entry, model_node in nodes:
            if model_node.node.known >= version and fleet.can_reach_store(entry):
                fleet.track(entry, version)
                return

    def write_change(self) -> None:
        """Write a change from a random node that can reach the store."""
        fleet = self.fleet
        writers = [
            e for e, m in fleet.nodes.items() if fleet.can_reach_store(e) and m.node.in_force
        ]
        writer = self.rng.choice(writers)
        fleet.read_store(writer)
        version = fleet.write(writer)
        if version:
            self.changes.append(
                Change(version, fleet.now_s, during_partition=bool(fleet.partitions))
            )

    def crash(self, entry: EntryId, restart_after_s: float | None) -> None:
        """End a node without a goodbye; its next incarnation starts later, or never if None."""
        self.fleet.nodes[entry].up = False
        if restart_after_s is not None:
            self._restart_at_s[entry] = self.fleet.now_s + restart_after_s

    def restart(self, entry: EntryId) -> None:
        """Restart a node as planned."""
        self.fleet.goodbye(entry)
        self._restart_at_s[entry] = self.fleet.now_s + RESTART_DURATION_S

    def isolate(self, data_centre: str) -> None:
        """Partition a data centre from the others and the store, and end other partitions."""
        nodes = self.fleet.nodes.items()
        inside = {e for e, m in nodes if m.slot.data_centre == data_centre}
        self.fleet.partitions = {
            (a, b)
            for a in self.fleet.nodes
            for b in self.fleet.nodes
            if (a in inside) != (b in inside)
        }
        self.fleet.partitioned_from_store = inside
        for change in self.changes:
            change.during_partition = change.during_partition or change.accepted_s is None

    def end_partitions(self) -> None:
        """End all network partitions."""
        self.fleet.partitions, self.fleet.partitioned_from_store = set(), set()

    def _run_node(self, entry: EntryId) -> None:
        fleet, model_node = self.fleet, self.fleet.nodes[entry]
        if model_node.node.known < fleet.head_version and fleet.can_reach_store(entry):
            # As a controller does when its watch on the head record reports a change.
            fleet.read_store(entry)
        fleet.adopt(entry)
        tracking = any(True for _ in model_node.tracked)
        if tracking:
            self._poll_entries(entry, list(fleet.nodes))
        if fleet.now_s < self._next_poll_s.get(entry, 0.0):
            return
        interval_s = min(DEFAULT_POLL_INTERVAL_S, fleet.times.entry_lease_s / 3)
        self._next_poll_s[entry] = fleet.now_s + interval_s * self.rng.uniform(0.9, 1.1)
        local = [
            e for e, m in fleet.nodes.items() if m.slot.data_centre == model_node.slot.data_centre
        ]
        self._poll_entries(entry, local if self._local_polls_suffice(entry) else list(fleet.nodes))
        fleet.adopt(entry)

    def _local_polls_suffice(self, entry: EntryId) -> bool:
        """Return whether an entry needs to poll its own data centre only, not the whole fleet.

        While its freshness is confirmed, it polls the fleet only if less than half of its entry
        lease is left. Otherwise it confirms its freshness by reading the store here, and polls the
        fleet only if it cannot reach the store.
        """
        fleet, node = self.fleet, self.fleet.nodes[entry].node
        age_s = node.fresh_age_s(fleet.local_s(entry))
        interval_s = min(
            DEFAULT_FRESHNESS_INTERVAL_S, fleet.times.grace_s / CONFIRMATIONS_PER_GRACE
        )
        limit_s = interval_s * self.rng.uniform(1.0, 1.5)
        if age_s is not None and age_s <= limit_s and node.caught_up():
            lease_left_s = node.entry_lease_until_s() - fleet.local_s(entry)
            return lease_left_s > fleet.times.entry_lease_s / 2
        if not fleet.can_reach_store(entry):
            return False
        fleet.read_store(entry)
        return True

    def _poll_entries(self, entry: EntryId, others: list[EntryId]) -> None:
        for other in others:
            if other != entry or self.fleet.nodes[entry].tracked:
                self.fleet.poll(entry, other)

    def _record_state(self) -> None:
        fleet = self.fleet
        serving = [e for e in fleet.nodes if fleet.may_start(e)]
        self.keyed_time_s += STEP_S * len(serving)
        lowest = min(
            (int(fleet.nodes[e].node.in_force) for e in serving), default=fleet.head_version
        )
        self.false_accepted_steps += lowest < fleet.accepted_version
        for change in self.changes[-20:]:
            if change.in_force_s is None and lowest >= change.version:
                change.in_force_s = fleet.now_s
            if change.accepted_s is None and fleet.accepted_version >= change.version:
                change.accepted_s = fleet.now_s

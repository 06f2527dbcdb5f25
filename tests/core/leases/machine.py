"""Hypothesis state machine that drives a fleet's leases and acceptance through faults."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.leases.models import LeaseTimes
from toucandoor.core.leases.node import LeaseNode
from toucandoor.ids import EntryId
from toucandoor.measures._fleet_model import FleetModel

LAYOUTS = ({"a": 3}, {"a": 2, "b": 1}, {"a": 2, "b": 2}, {"a": 3, "b": 2, "c": 2})
TIMES = LeaseTimes(entry_lease_s=6.0, grace_s=30.0)
ENTRY = st.integers(0, 6)
DELAY = st.sampled_from([0.0, 0.0, 0.0, None, 4.0, 20.0])
STEP = st.sampled_from([0.0, 0.5, 1.0, 3.0, 5.9, 6.2, 15.0, 31.0])


class FleetMachine(RuleBasedStateMachine):
    """Fleet under pauses, network partitions, lost and late messages, outages and restarts.

    Attributes:
        early: Whether a version is accepted on the store write alone; the baseline.
        acceptance: Class that decides over acceptance.
        make_node: Class that holds a node's leases.
    """

    early = False
    acceptance: type[Acceptance] = Acceptance
    make_node: type[LeaseNode] = LeaseNode

    @initialize(layout=st.sampled_from(LAYOUTS))
    def start(self, layout: dict[str, int]) -> None:
        self.fleet = FleetModel(
            layout,
            TIMES,
            early=self.early,
            acceptance=self.acceptance,
            make_node=self.make_node,
        )
        self.fleet.advance(6.2)
        self.round(127, 0.0)
        self.fleet.advance(1.0)
        self.in_force_seen: dict[tuple[EntryId, int], int] = {}

    def entry(self, index: int) -> EntryId:
        names = list(self.fleet.nodes)
        return names[index % len(names)]

    @rule(sender=ENTRY, receiver=ENTRY, delay_s=DELAY)
    def poll(self, sender: int, receiver: int, delay_s: float | None) -> None:
        self.fleet.poll(self.entry(sender), self.entry(receiver), delay_s)

    @rule(group=st.integers(1, 127), delay_s=DELAY)
    def round(self, group: int, delay_s: float | None) -> None:
        names = [e for i, e in enumerate(self.fleet.nodes) if group >> i & 1]
        for sender in names:
            for receiver in names:
                self.fleet.poll(sender, receiver, delay_s)

    @rule(group=st.integers(1, 127))
    def adopt(self, group: int) -> None:
        for index, entry in enumerate(self.fleet.nodes):
            if group >> index & 1 and self.fleet.nodes[entry].up:
                self.fleet.adopt(entry)

    @rule(seconds=STEP)
    def advance(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @rule(entry=ENTRY)
    def read_store(self, entry: int) -> None:
        self.fleet.read_store(self.entry(entry))

    @rule(entry=ENTRY, answer_lost=st.booleans())
    def write(self, entry: int, answer_lost: bool) -> None:
        self.fleet.write(self.entry(entry), answer_lost=answer_lost)

    @rule(entry=ENTRY)
    def read_back_and_follow(self, entry: int) -> None:
        self.fleet.follow(self.entry(entry), self.fleet.head)

    @rule(entry=ENTRY)
    def restart(self, entry: int) -> None:
        self.fleet.restart(self.entry(entry))

    @rule(entry=ENTRY)
    def goodbye(self, entry: int) -> None:
        self.fleet.goodbye(self.entry(entry))

    @rule(entry=ENTRY)
    def pause_or_wake(self, entry: int) -> None:
        node = self.fleet.nodes[self.entry(entry)]
        node.paused = not node.paused

    @rule(one=ENTRY, other=ENTRY)
    def cut_or_mend(self, one: int, other: int) -> None:
        self.fleet.cuts ^= {(self.entry(one), self.entry(other))}

    @rule(group=st.integers(0, 127))
    def cut_group(self, group: int) -> None:
        names = list(enumerate(self.fleet.nodes))
        self.fleet.cuts = {
            (e, f) for i, e in names for j, f in names if (group >> i & 1) != (group >> j & 1)
        }
        self.fleet.store_cuts = {e for i, e in names if group >> i & 1}

    @rule()
    def outage_begins_or_ends(self) -> None:
        self.fleet.store_up = not self.fleet.store_up

    @invariant()
    def accepted_is_true(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check()

    @invariant()
    def never_reverts(self) -> None:
        if not hasattr(self, "fleet"):
            return
        for entry, mine in self.fleet.nodes.items():
            key = (entry, int(mine.node.incarnation))
            assert mine.node.in_force >= self.in_force_seen.get(key, 0)
            self.in_force_seen[key] = mine.node.in_force

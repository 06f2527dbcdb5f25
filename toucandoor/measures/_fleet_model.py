"""Model of a fleet's nodes on the I/O-free core, with clocks, cuts and losses set by the caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.leases.models import EntrySlot, LeaseTimes, Poll, PollAnswer
from toucandoor.core.leases.node import LeaseNode
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId

if TYPE_CHECKING:
    from collections.abc import Callable


class FalseAcceptanceError(AssertionError):
    """An entry could start keyed work below a version that had been accepted."""


@dataclass(slots=True)
class Late:
    """An answer under way."""

    to: EntryId
    to_incarnation: IncarnationId
    answer: PollAnswer
    sent_s: float
    due_s: float = 0.0


@dataclass(slots=True)
class ModelNode:
    """One node, its clock's rate, and what it follows for operators."""

    slot: EntrySlot
    rate: float
    node: LeaseNode
    up: bool = True
    paused: bool = False
    following: dict[ConfigVersion, Acceptance] = field(default_factory=dict)


@dataclass(slots=True)
class FleetModel:
    """Nodes, a store's head version, and the messages between them.

    Attributes:
        early: Whether "accepted" is answered on the store write alone.
        acceptance: Makes the object that follows a version; replaced to test the tests.
        make_node: Makes a node's leases; replaced to test the tests.
    """

    layout: dict[str, int]
    times: LeaseTimes
    early: bool = False
    acceptance: Callable[..., Acceptance] = Acceptance
    make_node: Callable[..., LeaseNode] = LeaseNode
    now_s: float = 1000.0
    head: int = 1
    accepted: int = 0
    store_up: bool = True
    nodes: dict[EntryId, ModelNode] = field(default_factory=dict)
    cuts: set[tuple[EntryId, EntryId]] = field(default_factory=set)
    store_cuts: set[EntryId] = field(default_factory=set)
    late: list[Late] = field(default_factory=list)
    store_reads: int = 0
    polls: int = 0

    def __post_init__(self) -> None:
        """Start every node and let it read the store."""
        slots = [
            EntrySlot(EntryId(f"{name}{index}"), DataCentreId(name))
            for name, count in self.layout.items()
            for index in range(count)
        ]
        for index, slot in enumerate(slots):
            rate = 1.0 + 0.004 * (1 - 2 * (index % 2))
            self.nodes[slot.entry] = ModelNode(slot, rate, self._new_node(slot.entry, 1, rate))

        self.now_s += 0.01
        for entry in self.nodes:
            self.read_store(entry)
            self.adopt(entry)

    def local_s(self, entry: EntryId) -> float:
        """Return an entry's own monotonic time."""
        return self.now_s * self.nodes[entry].rate

    def reach(self, sender: EntryId, receiver: EntryId) -> bool:
        """Return whether a message from one node arrives at another now."""
        there = self.nodes[receiver]
        return there.up and not there.paused and (sender, receiver) not in self.cuts

    def sees_store(self, entry: EntryId) -> bool:
        """Return whether an entry's call to the store would be answered."""
        mine = self.nodes[entry]
        return self.store_up and entry not in self.store_cuts and mine.up and not mine.paused

    def poll(self, sender: EntryId, receiver: EntryId, delay_s: float | None = 0.0) -> None:
        """Send one poll; its answer is delayed, or lost where the delay is None."""
        mine = self.nodes[sender]
        if not mine.up or mine.paused:
            return
        self.polls += 1
        poll: Poll = mine.node.next_poll()
        sent_s = self.local_s(sender)
        if not self.reach(sender, receiver):
            return
        answer = self.nodes[receiver].node.on_poll(poll, self.local_s(receiver))
        if delay_s is None or (receiver, sender) in self.cuts:
            return
        late = Late(sender, mine.node.incarnation, answer, sent_s, self.now_s + delay_s)
        if delay_s > 0:
            self.late.append(late)
            return
        self.deliver(late)

    def deliver(self, late: Late) -> None:
        """Hand an answer to the process that asked, if it still runs."""
        mine = self.nodes[late.to]
        if not mine.up or mine.paused or mine.node.incarnation != late.to_incarnation:
            return
        self._pull(late.to, late.answer)
        mine.node.on_answer(late.answer, late.sent_s)
        for followed in mine.following.values():
            followed.on_answer(late.answer, late.sent_s, self.local_s(late.to))
        self.settle(late.to)

    def _pull(self, entry: EntryId, answer: PollAnswer) -> None:
        giver, taker = answer.sender, entry
        if (taker, giver) not in self.cuts and (giver, taker) not in self.cuts:
            self.nodes[entry].node.set_known(answer.known)

    def adopt(self, entry: EntryId) -> None:
        """Put the highest known version in force at an entry."""
        mine = self.nodes[entry]
        mine.node.set_in_force(mine.node.known)

    def read_store(self, entry: EntryId) -> None:
        """Read the head record and its content."""
        if not self.sees_store(entry):
            return
        self.store_reads += 1
        node = self.nodes[entry].node
        node.set_known(ConfigVersion(self.head))
        node.on_store_read(ConfigVersion(self.head), self.local_s(entry))

    def write(self, entry: EntryId, *, answer_lost: bool = False) -> int:
        """Write a new version from a node; return it, or 0 where it could not be written."""
        if not self.sees_store(entry) or self.nodes[entry].node.known < self.head:
            return 0
        self.head += 1
        if answer_lost:
            return self.head
        self.nodes[entry].node.set_known(ConfigVersion(self.head))
        self.follow(entry, self.head)
        return self.head

    def follow(self, entry: EntryId, version: int) -> None:
        """Have a node work out whether a version that it has is in force everywhere."""
        mine = self.nodes[entry]
        if mine.node.known < version:
            return
        slots = [other.slot for other in self.nodes.values()]
        mine.following[ConfigVersion(version)] = self.acceptance(
            ConfigVersion(version), slots, self.times
        )
        if self.early:
            self.accepted = max(self.accepted, version)

    def settle(self, entry: EntryId) -> None:
        """Answer "accepted" for what a node may say it of."""
        mine = self.nodes[entry]
        if not mine.up or mine.paused:
            return
        for version, followed in list(mine.following.items()):
            if followed.accepted(self.local_s(entry)):
                self.accepted = max(self.accepted, version)
                del mine.following[version]

    def restart(self, entry: EntryId) -> None:
        """Replace a node's process by a new incarnation that knows nothing."""
        mine = self.nodes[entry]
        mine.node = self._new_node(entry, mine.node.incarnation + 1, mine.rate)
        mine.following.clear()
        mine.up, mine.paused = True, False

    def goodbye(self, entry: EntryId) -> None:
        """Stop a node as planned: it tells the others, then ends."""
        mine = self.nodes[entry]
        if not mine.up or mine.paused:
            return
        mine.up = False
        for other in self.nodes:
            if self.reach(entry, other):
                self.nodes[other].node.grants.drop_ended(entry, mine.node.incarnation)

    def may_start(self, entry: EntryId) -> bool:
        """Return whether an entry may start keyed work now."""
        mine = self.nodes[entry]
        return mine.up and not mine.paused and mine.node.holds(self.local_s(entry))

    def check(self) -> None:
        """Raise when an entry may start keyed work below an accepted version."""
        for entry, mine in self.nodes.items():
            if mine.node.in_force < self.accepted and self.may_start(entry):
                raise FalseAcceptanceError(
                    f"{entry} serves version {mine.node.in_force}, accepted is {self.accepted}"
                )

    def advance(self, seconds: float) -> None:
        """Move the time forward and deliver what is due."""
        self.now_s += seconds
        due = [late for late in self.late if late.due_s <= self.now_s]
        self.late = [late for late in self.late if late.due_s > self.now_s]
        for late in due:
            self.deliver(late)
        for entry in self.nodes:
            self.settle(entry)

    def _new_node(self, entry: EntryId, incarnation: int, rate: float) -> LeaseNode:
        node = self.make_node(entry, IncarnationId(incarnation), self.times, self.now_s * rate)
        node.set_slots(
            EntrySlot(EntryId(f"{name}{index}"), DataCentreId(name))
            for name, count in self.layout.items()
            for index in range(count)
        )
        return node

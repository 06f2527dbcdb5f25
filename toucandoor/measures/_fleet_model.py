"""Model of a fleet's nodes on the I/O-free core; the caller sets the time and the faults."""

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
    """An entry could start keyed work under a version lower than an accepted one."""


@dataclass(slots=True)
class DelayedAnswer:
    """Answer to a poll that has not arrived yet.

    Attributes:
        receiver: Entry whose poll it answers.
        receiver_incarnation: Incarnation that sent the poll; a later one ignores the answer.
        sent_s: Time on the receiver's own clock at which the poll was sent.
        due_s: Time of the model at which the answer arrives.
    """

    receiver: EntryId
    receiver_incarnation: IncarnationId
    answer: PollAnswer
    sent_s: float
    due_s: float = 0.0


@dataclass(slots=True)
class ModelNode:
    """One node of the fleet.

    Attributes:
        clock_rate: Rate of its clock relative to the model's time; clocks are 0.4 % fast or slow.
        node: Its leases.
        up: Whether its process runs.
        paused: Whether its process is frozen.
        tracked: Versions that are not accepted yet and that it tracks until they are.
    """

    slot: EntrySlot
    clock_rate: float
    node: LeaseNode
    up: bool = True
    paused: bool = False
    tracked: dict[ConfigVersion, Acceptance] = field(default_factory=dict)


@dataclass(slots=True)
class FleetModel:
    """Nodes, the version in the store's head record, and the messages between nodes.

    Attributes:
        layout: Number of nodes in each data centre.
        times: Durations of the leases.
        accept_on_write: Whether a version counts as accepted once it is written to the store; this
            is the baseline.
        acceptance: Class that decides when a version is accepted; replaced by one without a safety
            mechanism to check that a test finds the fault.
        make_node: Class that holds a node's leases; replaced for the same reason.
        now_s: Time of the model.
        head_version: Version in the store's head record.
        accepted_version: Highest version that was reported as accepted.
        store_up: Whether the store is available.
        partitions: Pairs of sender and receiver whose messages are lost.
        partitioned_from_store: Nodes that cannot reach the store.
        delayed_answers: Answers that have not arrived yet.
        store_reads: Number of reads of the store.
        polls: Number of polls sent.
    """

    layout: dict[str, int]
    times: LeaseTimes
    accept_on_write: bool = False
    acceptance: Callable[..., Acceptance] = Acceptance
    make_node: Callable[..., LeaseNode] = LeaseNode
    now_s: float = 1000.0
    head_version: int = 1
    accepted_version: int = 0
    store_up: bool = True
    nodes: dict[EntryId, ModelNode] = field(default_factory=dict)
    partitions: set[tuple[EntryId, EntryId]] = field(default_factory=set)
    partitioned_from_store: set[EntryId] = field(default_factory=set)
    delayed_answers: list[DelayedAnswer] = field(default_factory=list)
    store_reads: int = 0
    polls: int = 0

    def __post_init__(self) -> None:
        """Start every node, read the store and put the version read in force."""
        slots = [
            EntrySlot(EntryId(f"{name}{index}"), DataCentreId(name))
            for name, count in self.layout.items()
            for index in range(count)
        ]
        for index, slot in enumerate(slots):
            clock_rate = 1.0 + 0.004 * (1 - 2 * (index % 2))
            self.nodes[slot.entry] = ModelNode(
                slot, clock_rate, self._new_node(slot.entry, 1, clock_rate)
            )

        self.now_s += 0.01
        for entry in self.nodes:
            self.read_store(entry)
            self.adopt(entry)

    def local_s(self, entry: EntryId) -> float:
        """Return the monotonic time on an entry's own clock."""
        return self.now_s * self.nodes[entry].clock_rate

    def can_reach(self, sender: EntryId, receiver: EntryId) -> bool:
        """Return whether a message from one node to another would arrive now."""
        receiver_node = self.nodes[receiver]
        return (
            receiver_node.up
            and not receiver_node.paused
            and (sender, receiver) not in self.partitions
        )

    def can_reach_store(self, entry: EntryId) -> bool:
        """Return whether the store would answer an entry's call now."""
        model_node = self.nodes[entry]
        return (
            self.store_up
            and entry not in self.partitioned_from_store
            and model_node.up
            and not model_node.paused
        )

    def poll(self, sender: EntryId, receiver: EntryId, delay_s: float | None = 0.0) -> None:
        """Send one poll; its answer arrives after a delay, or never if the delay is None."""
        model_node = self.nodes[sender]
        if not model_node.up or model_node.paused:
            return
        self.polls += 1
        poll: Poll = model_node.node.next_poll()
        sent_s = self.local_s(sender)
        if not self.can_reach(sender, receiver):
            return
        answer = self.nodes[receiver].node.on_poll(poll, self.local_s(receiver))
        if delay_s is None or (receiver, sender) in self.partitions:
            return
        delayed = DelayedAnswer(
            sender, model_node.node.incarnation, answer, sent_s, self.now_s + delay_s
        )
        if delay_s > 0:
            self.delayed_answers.append(delayed)
            return
        self.deliver(delayed)

    def deliver(self, delayed: DelayedAnswer) -> None:
        """Process an answer at the incarnation that sent the poll, if it still runs."""
        model_node = self.nodes[delayed.receiver]
        if (
            not model_node.up
            or model_node.paused
            or model_node.node.incarnation != delayed.receiver_incarnation
        ):
            return
        self._pull_content(delayed.receiver, delayed.answer)
        model_node.node.on_answer(delayed.answer, delayed.sent_s)
        for acceptance in model_node.tracked.values():
            acceptance.on_answer(delayed.answer, delayed.sent_s, self.local_s(delayed.receiver))
        self.update_accepted(delayed.receiver)

    def _pull_content(self, entry: EntryId, answer: PollAnswer) -> None:
        """Get the content of the version that the sender of an answer has, if it can be reached."""
        holder, reader = answer.sender, entry
        if (reader, holder) not in self.partitions and (holder, reader) not in self.partitions:
            self.nodes[entry].node.set_known(answer.known)

    def adopt(self, entry: EntryId) -> None:
        """Put the highest version that an entry knows in force there."""
        model_node = self.nodes[entry]
        model_node.node.set_in_force(model_node.node.known)

    def read_store(self, entry: EntryId) -> None:
        """Read the head record and its content from the store, if an entry can reach it."""
        if not self.can_reach_store(entry):
            return
        self.store_reads += 1
        node = self.nodes[entry].node
        node.set_known(ConfigVersion(self.head_version))
        node.on_store_read(ConfigVersion(self.head_version), self.local_s(entry))

    def write(self, entry: EntryId, *, answer_lost: bool = False) -> int:
        """Write a new version from a node; return it, or 0 if it could not be written."""
        if not self.can_reach_store(entry) or self.nodes[entry].node.known < self.head_version:
            return 0
        self.head_version += 1
        if answer_lost:
            return self.head_version
        self.nodes[entry].node.set_known(ConfigVersion(self.head_version))
        self.track(entry, self.head_version)
        return self.head_version

    def track(self, entry: EntryId, version: int) -> None:
        """Let a node that knows a version track it until it is in force everywhere."""
        model_node = self.nodes[entry]
        if model_node.node.known < version:
            return
        slots = [other.slot for other in self.nodes.values()]
        model_node.tracked[ConfigVersion(version)] = self.acceptance(
            ConfigVersion(version), slots, self.times
        )
        if self.accept_on_write:
            self.accepted_version = max(self.accepted_version, version)

    def update_accepted(self, entry: EntryId) -> None:
        """Report the versions as accepted that a node can tell to be in force everywhere."""
        model_node = self.nodes[entry]
        if not model_node.up or model_node.paused:
            return
        for version, acceptance in list(model_node.tracked.items()):
            if acceptance.accepted(self.local_s(entry)):
                self.accepted_version = max(self.accepted_version, version)
                del model_node.tracked[version]

    def restart(self, entry: EntryId) -> None:
        """Replace a node's process by a new incarnation without any state."""
        model_node = self.nodes[entry]
        model_node.node = self._new_node(
            entry, model_node.node.incarnation + 1, model_node.clock_rate
        )
        model_node.tracked.clear()
        model_node.up, model_node.paused = True, False

    def goodbye(self, entry: EntryId) -> None:
        """Stop a node as planned: it says goodbye to the others, then ends."""
        model_node = self.nodes[entry]
        if not model_node.up or model_node.paused:
            return
        model_node.up = False
        for other in self.nodes:
            if self.can_reach(entry, other):
                self.nodes[other].node.grants.drop_ended(entry, model_node.node.incarnation)

    def may_start(self, entry: EntryId) -> bool:
        """Return whether an entry may start keyed work now."""
        model_node = self.nodes[entry]
        return (
            model_node.up and not model_node.paused and model_node.node.holds(self.local_s(entry))
        )

    def check(self) -> None:
        """Check that no entry may start keyed work under a version lower than an accepted one.

        Raises:
            FalseAcceptanceError: An entry may.
        """
        for entry, model_node in self.nodes.items():
            if model_node.node.in_force < self.accepted_version and self.may_start(entry):
                raise FalseAcceptanceError(
                    f"{entry} may start keyed work under version {model_node.node.in_force},"
                    f" although version {self.accepted_version} is accepted"
                )

    def advance(self, seconds: float) -> None:
        """Advance the time, deliver the answers due and report versions that are accepted now."""
        self.now_s += seconds
        due = [delayed for delayed in self.delayed_answers if delayed.due_s <= self.now_s]
        self.delayed_answers = [
            delayed for delayed in self.delayed_answers if delayed.due_s > self.now_s
        ]
        for delayed in due:
            self.deliver(delayed)
        for entry in self.nodes:
            self.update_accepted(entry)

    def _new_node(self, entry: EntryId, incarnation: int, clock_rate: float) -> LeaseNode:
        node = self.make_node(
            entry, IncarnationId(incarnation), self.times, self.now_s * clock_rate
        )
        node.set_slots(
            EntrySlot(EntryId(f"{name}{index}"), DataCentreId(name))
            for name, count in self.layout.items()
            for index in range(count)
        )
        return node

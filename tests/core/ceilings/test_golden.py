"""Sessions of one data centre, compared with approved files."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING, Any

import msgspec
from approvaltests import Options, verify

from toucandoor.clock import ManualClock
from toucandoor.core.ceilings.const import COORDINATOR_ID
from toucandoor.core.ceilings.coordinator import PermitCoordinator
from toucandoor.core.ceilings.entry import EntryPermits
from toucandoor.core.ceilings.models import (
    Envelope,
    IncarnationExpired,
    Ledger,
    Member,
    WriteLedger,
)
from toucandoor.core.leases.serving import FixedLease
from toucandoor.ids import (
    AttemptId,
    ConfigVersion,
    DataCentreId,
    EntryId,
    IncarnationId,
    TeamId,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

NORTH, RED = DataCentreId("north"), TeamId("red")
FIRST, SECOND = EntryId("north-0"), EntryId("north-1")


class Session:
    """Runs two entries and a coordinator on one clock and records messages and writes as lines."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.lines: list[dict[str, Any]] = []
        self.lease = FixedLease(1000.0)
        self.entries = {each: self.start(each, 1) for each in (FIRST, SECOND)}
        self.coordinator = PermitCoordinator(NORTH, "c", FixedLease(1000.0))
        self.ledger, self.revision = Ledger(), 0
        self.lose_answer = False

    def start(self, entry: EntryId, incarnation: int) -> EntryPermits:
        return EntryPermits(Member(entry, IncarnationId(incarnation)), self.lease)

    def record(self, kind: str, **facts: Any) -> None:
        line = {"at_s": round(self.clock.monotonic_s(), 2), "kind": kind}
        self.lines.append(line | msgspec.to_builtins(facts))

    def run(self, steps: int, step_s: float = 0.5) -> None:
        for _ in range(steps):
            self.clock.advance(step_s)
            now_s = self.clock.monotonic_s()
            self.coordinator.on_ledger(self.ledger, self.revision, now_s)
            output = self.coordinator.tick(now_s)
            if output.write is not None:
                self.write(output.write)
            self.deliver("coordinator", output.envelopes)
            for entry, permits in self.entries.items():
                self.deliver(entry, permits.tick(now_s))

    def write(self, write: WriteLedger) -> None:
        applied = write.base_revision == self.revision
        if applied:
            self.ledger, self.revision = write.ledger, self.revision + 1
        self.record("write", applied=applied, answered=not self.lose_answer, ledger=write.ledger)
        if applied and not self.lose_answer:
            now_s = self.clock.monotonic_s()
            self.coordinator.on_ledger(self.ledger, self.revision, now_s)

    def deliver(self, sender: str, envelopes: Iterable[Envelope]) -> None:
        now_s = self.clock.monotonic_s()
        for envelope in envelopes:
            to = envelope.to.entry
            self.record("message", sender=sender, to=to, message=envelope.message)
            if to == COORDINATOR_ID:
                answers = self.coordinator.on_message(envelope.message, now_s)
                self.deliver("coordinator", answers)
            else:
                self.deliver(to, self.entries[to].on_message(envelope.message, now_s))

    def acquire(self, entry: EntryId, count: int) -> None:
        now_s = self.clock.monotonic_s()
        permits = self.entries[entry]
        acquired = [permits.acquire(RED, AttemptId(f"{entry}.{n}"), now_s) for n in range(count)]
        permits.set_waiting(RED, count - sum(acquired), now_s)
        self.record("take", entry=entry, asked=count, taken=sum(acquired))

    def verify(self) -> None:
        text = "\n".join(json.dumps(line, sort_keys=True) for line in self.lines)
        verify(text + "\n", options=Options())


class GoldenTest(unittest.TestCase):
    def test_permits_follow_demand_and_come_down(self) -> None:
        session = Session()
        session.coordinator.set_ceilings(ConfigVersion(1), {RED: 4}, 30.0)
        session.run(3)
        session.acquire(FIRST, 6)
        session.run(3)
        session.acquire(FIRST, 6)
        session.coordinator.set_ceilings(ConfigVersion(2), {RED: 2}, 30.0)
        session.run(2)
        for number in range(3):
            session.entries[FIRST].release(
                AttemptId(f"{FIRST}.{number}"), session.clock.monotonic_s()
            )
        session.entries[FIRST].set_waiting(RED, 0, session.clock.monotonic_s())
        session.run(3)
        session.acquire(SECOND, 2)
        session.run(2)
        session.acquire(SECOND, 2)
        session.verify()

    def test_killed_entry_and_lost_answers(self) -> None:
        session = Session()
        session.lose_answer = True
        session.coordinator.set_ceilings(ConfigVersion(1), {RED: 4}, 30.0)
        session.run(3)
        session.acquire(FIRST, 4)
        session.run(4)
        session.acquire(FIRST, 4)
        session.entries[FIRST] = session.start(FIRST, 2)
        now_s = session.clock.monotonic_s()
        session.coordinator.on_incarnation_expired(
            IncarnationExpired(FIRST, IncarnationId(1), now_s + 36.0)
        )
        session.acquire(SECOND, 4)
        session.run(3, 8.0)
        session.acquire(SECOND, 4)
        session.run(5, 6.0)
        session.acquire(SECOND, 4)
        session.verify()

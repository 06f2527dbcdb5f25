"""Golden session of one node's leases and one version's acceptance."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from tests.common import verify_session
from toucandoor.clock import ManualClock
from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.leases.models import EntrySlot, LeaseTimes, Poll, PollAnswer
from toucandoor.core.leases.node import LeaseNode
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId, IncarnationId

TIMES = LeaseTimes(entry_lease_s=4.0, grace_s=60.0)
SLOTS = [EntrySlot(EntryId(name), DataCentreId(name[0])) for name in ("a1", "a2", "a3", "b1", "b2")]


class SessionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(10.0)
        self.node = LeaseNode(EntryId("a1"), IncarnationId(7), TIMES, self.clock.monotonic_s())
        self.acceptance: Acceptance | None = None
        self.lines: list[dict[str, Any]] = []

    def test_session(self) -> None:
        self._set_version(1)
        self._read_store(1)
        self._answer("a2", known=1)
        self._poll("a2", in_force=1)
        self.clock.advance(5.0)
        self._note("time passes without peers")
        self._answer("a2", known=1)
        self._set_version(2)
        self.acceptance = Acceptance(ConfigVersion(2), SLOTS, TIMES)
        self._poll("a1", in_force=2)
        self._poll("a2", in_force=1)
        for turn in range(2):
            self.clock.advance(0.5)
            self._poll("a1", in_force=2)
            for name in ("a2", "a3", "b1"):
                lower = ("b2",) if turn == 0 else ()
                self._answer(name, known=2, lower=lower)
        self.clock.advance(59.0)
        self._note("b2 is silent still")
        self.clock.advance(2.0)
        self._note("its grace has ended")
        self._answer("a2", known=3)
        self._poll("a2", in_force=2, incarnation=2)
        self._poll("a2", in_force=2, incarnation=1)
        verify_session(self.lines)

    def _set_version(self, version: int) -> None:
        self.node.set_known(ConfigVersion(version))
        self.node.set_slots(SLOTS)
        self.node.set_in_force(ConfigVersion(version))
        self._line({"event": "version in force", "version": version})

    def _read_store(self, head: int) -> None:
        sent_s = self.clock.monotonic_s()
        self.clock.advance(0.1)
        self.node.on_store_read(ConfigVersion(head), sent_s)
        self._line({"event": "store read", "head": head})

    def _answer(self, name: str, known: int, lower: tuple[str, ...] = ()) -> None:
        sent_s = self.clock.monotonic_s()
        self.clock.advance(0.01)
        answer = PollAnswer(
            sender=EntryId(name),
            incarnation=IncarnationId(1),
            sequence=self.node.next_poll().sequence,
            known=ConfigVersion(known),
            in_force=ConfigVersion(known),
            caught_up=True,
            settled=True,
            fresh_age_s=1.0,
            grant_s=TIMES.entry_lease_s,
            lower_grants=tuple(EntryId(each) for each in lower),
        )
        self.node.on_answer(answer, sent_s)
        if self.acceptance is not None:
            self.acceptance.on_answer(answer, sent_s, self.clock.monotonic_s())
        self._line({"event": "answer", **msgspec.structs.asdict(answer)})

    def _poll(self, name: str, in_force: int, incarnation: int = 1) -> None:
        version = ConfigVersion(in_force)
        poll = Poll(EntryId(name), IncarnationId(incarnation), 1, version, version)
        sent_s = self.clock.monotonic_s()
        answer = self.node.on_poll(poll, sent_s)
        if name == "a1" and self.acceptance is not None:
            self.acceptance.on_answer(answer, sent_s, sent_s)
        self._line(
            {
                "event": "poll",
                "from": name,
                "incarnation": incarnation,
                "in_force": in_force,
                "decision": msgspec.structs.asdict(answer),
            }
        )

    def _note(self, event: str) -> None:
        self._line({"event": event})

    def _line(self, line: dict[str, Any]) -> None:
        now_s = self.clock.monotonic_s()
        shown: dict[str, Any] = {"at_s": round(now_s, 2), **line}
        shown["may_start_keyed"] = self.node.holds(now_s)
        if self.acceptance is not None:
            shown["accepted"] = self.acceptance.accepted(now_s)
            shown["pending"] = [
                f"{each.entry}: {each.reason.name}" for each in self.acceptance.pending(now_s)
            ]
        rounded = msgspec.json.decode(msgspec.json.encode(shown))
        self.lines.append(_round_floats(rounded))


def _round_floats(item: Any) -> Any:
    if isinstance(item, float):
        return round(item, 3)
    if isinstance(item, dict):
        return {key: _round_floats(value) for key, value in item.items()}
    return [_round_floats(each) for each in item] if isinstance(item, list) else item

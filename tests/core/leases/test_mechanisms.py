"""One course of faults for each mechanism, with it and with it taken out."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.leases.grants import GrantBook
from toucandoor.core.leases.models import LeaseTimes, PollAnswer
from toucandoor.core.leases.node import LeaseNode
from toucandoor.ids import EntryId
from toucandoor.measures._fleet_model import FalseAcceptanceError, FleetModel

if TYPE_CHECKING:
    from collections.abc import Callable

TIMES = LeaseTimes(entry_lease_s=6.0, grace_s=30.0)


class _OneRound(Acceptance):
    """Takes first answers as enough, whatever happened to their senders since."""

    def on_answer(self, answer: PollAnswer, sent_s: float, now_s: float) -> None:
        super().on_answer(answer, sent_s, now_s)
        if self._majority_s is None and self._held_from_s is not None:
            self._majority_s = now_s

    def _restart_count(self) -> None:
        return


class _NoMajority(Acceptance):
    """Counts the grace from the first answer, without a majority that has the version."""

    def on_answer(self, answer: PollAnswer, sent_s: float, now_s: float) -> None:
        super().on_answer(answer, sent_s, now_s)
        if self._majority_s is None:
            self._majority_s = now_s


class _ForgetfulBook(GrantBook):
    """Holds that a fresh process has granted nothing."""

    def settled(self, now_s: float) -> bool:
        return True


class _ForgetfulNode(LeaseNode):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.grants = _ForgetfulBook(self._times, self._started_s)


class _NaiveNode(LeaseNode):
    """Counts towards a majority before it has confirmed anything."""

    def caught_up(self) -> bool:
        return True


class _ShorteningBook(GrantBook):
    """Counts what it granted by the holder's duration, with no margin for drift."""

    def lower_than(self, version: int, now_s: float) -> tuple[EntryId, ...]:  # type: ignore[override]
        return super().lower_than(version, now_s + 0.1)  # type: ignore[arg-type]


class _ShorteningNode(LeaseNode):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.grants = _ShorteningBook(self._times, self._started_s)


def e(name: str) -> EntryId:
    return EntryId(name)


def rounds(fleet: FleetModel, group: str, count: int = 1, step_s: float = 0.0) -> None:
    for _ in range(count):
        names = group.split()
        for sender in names:
            for receiver in names:
                fleet.poll(e(sender), e(receiver))
        for name in names:
            fleet.adopt(e(name))
        fleet.advance(step_s)
        fleet.check()


def cut(fleet: FleetModel, left: str, right: str) -> None:
    for one in left.split():
        for other in right.split():
            fleet.cuts |= {(e(one), e(other)), (e(other), e(one))}


def ready(fleet: FleetModel) -> None:
    fleet.advance(7.0)
    names = " ".join(fleet.nodes)
    for name in names.split():
        fleet.read_store(e(name))
    rounds(fleet, names, 2)


class MechanismTest(unittest.TestCase):
    def _both(
        self, course: Callable[[FleetModel], None], layout: dict[str, int], **taken_out: object
    ) -> None:
        course(FleetModel(layout, TIMES))
        with self.assertRaises(FalseAcceptanceError):
            course(FleetModel(layout, TIMES, **taken_out))  # type: ignore[arg-type]

    def test_a_restarted_granter_waits_for_the_grants_it_forgot(self) -> None:
        def course(fleet: FleetModel) -> None:
            ready(fleet)
            fleet.advance(5.5)
            fleet.poll(e("a2"), e("a1"))
            cut(fleet, "a0", "a2")
            fleet.write(e("a0"))
            fleet.advance(0.8)
            fleet.restart(e("a1"))
            fleet.advance(0.01)
            fleet.read_store(e("a1"))
            rounds(fleet, "a0 a1", 3)

        self._both(course, {"a": 3}, make_node=_ForgetfulNode)

    def test_the_grace_counts_from_a_majority(self) -> None:
        def course(fleet: FleetModel) -> None:
            ready(fleet)
            cut(fleet, "a0", "a1 a2")
            fleet.write(e("a0"))
            fleet.store_up = False
            for _ in range(40):
                rounds(fleet, "a0")
                rounds(fleet, "a1 a2", step_s=1.0)

        self._both(course, {"a": 3}, acceptance=_NoMajority)

    def test_a_majority_holds_the_version_at_one_moment(self) -> None:
        def course(fleet: FleetModel) -> None:
            ready(fleet)
            cut(fleet, "a0", "a3 a4")
            fleet.write(e("a0"))
            fleet.store_up = False
            fleet.poll(e("a0"), e("a0"))
            fleet.poll(e("a1"), e("a0"))
            fleet.poll(e("a0"), e("a1"))
            cut(fleet, "a0", "a1")
            fleet.restart(e("a1"))
            fleet.advance(0.01)
            rounds(fleet, "a1 a2 a3 a4", 3)
            fleet.poll(e("a2"), e("a0"))
            cut(fleet, "a2", "a1 a3 a4")
            for _ in range(40):
                rounds(fleet, "a0 a2")
                rounds(fleet, "a1 a3 a4", step_s=1.0)

        self._both(course, {"a": 5}, acceptance=_OneRound)

    def test_a_fresh_process_counts_only_once_it_has_caught_up(self) -> None:
        def course(fleet: FleetModel) -> None:
            ready(fleet)
            cut(fleet, "a0 a1", "a2")
            fleet.write(e("a0"))
            fleet.store_up = False
            rounds(fleet, "a0 a1", 3)
            fleet.cuts.clear()
            cut(fleet, "a0", "a1 a2")
            fleet.restart(e("a1"))
            fleet.advance(0.01)
            for _ in range(40):
                rounds(fleet, "a0")
                rounds(fleet, "a1 a2", step_s=1.0)

        self._both(course, {"a": 3}, make_node=_NaiveNode)

    def test_a_granter_waits_a_margin_for_drift(self) -> None:
        def course(fleet: FleetModel) -> None:
            ready(fleet)
            cut(fleet, "a0", "a1")
            fleet.write(e("a0"))
            fleet.cuts.clear()
            cut(fleet, "a0 a2", "a1")
            for _ in range(700):
                rounds(fleet, "a0 a2", step_s=0.01)

        self._both(course, {"a": 3}, make_node=_ShorteningNode)


class CostTest(unittest.TestCase):
    def test_one_crash_delays_acceptance_by_an_entry_lease_only(self) -> None:
        for layout in ({"a": 2, "b": 3, "c": 3}, {"a": 2, "b": 2, "c": 2, "d": 2}):
            fleet = FleetModel(layout, TIMES)
            ready(fleet)
            fleet.nodes[e("a0")].up = False
            fleet.write(e("a1"))
            started_s = fleet.now_s
            while fleet.accepted < 2 and fleet.now_s < started_s + 40:
                rounds(fleet, " ".join(fleet.nodes), step_s=0.5)
            self.assertLess(fleet.now_s - started_s, 8.0)

    def test_goodbye_delays_acceptance_by_nothing(self) -> None:
        fleet = FleetModel({"a": 2, "b": 3, "c": 3}, TIMES)
        ready(fleet)
        fleet.goodbye(e("b0"))
        fleet.write(e("a1"))
        rounds(fleet, "a0 a1 b1 b2 c0 c1 c2", 3)
        self.assertEqual(fleet.accepted, 2)

    def test_a_platform_outage_alone_stops_nobody(self) -> None:
        fleet = FleetModel({"a": 2, "b": 3, "c": 3}, TIMES)
        ready(fleet)
        fleet.store_up = False
        rounds(fleet, " ".join(fleet.nodes), 100, 1.0)
        fleet.nodes[e("a0")].up = False
        rounds(fleet, " ".join(fleet.nodes), 100, 1.0)
        serving = [entry for entry in fleet.nodes if fleet.may_start(entry)]
        self.assertEqual(len(serving), 7)

    def test_a_data_centre_cut_off_serves_until_its_grace_ends(self) -> None:
        fleet = FleetModel({"a": 2, "b": 3, "c": 3}, TIMES)
        ready(fleet)
        cut(fleet, "a0 a1", "b0 b1 b2 c0 c1 c2")
        fleet.store_cuts = {e("a0"), e("a1")}
        rounds(fleet, "a0 a1", 28, 1.0)
        self.assertTrue(fleet.may_start(e("a0")))
        rounds(fleet, "a0 a1", 3, 1.0)
        self.assertFalse(fleet.may_start(e("a0")))

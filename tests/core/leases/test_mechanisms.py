"""One sequence of faults for each safety mechanism, run with the mechanism and without it.

Without the mechanism the sequence must lead to a false acceptance; with it, it must not.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from toucandoor.core.configuration.acceptance import Acceptance
from toucandoor.core.leases.grants import GrantedLeases
from toucandoor.core.leases.models import LeaseTimes, PollAnswer
from toucandoor.core.leases.node import LeaseNode
from toucandoor.ids import EntryId
from toucandoor.measures._fleet_model import FalseAcceptanceError, FleetModel

if TYPE_CHECKING:
    from collections.abc import Callable

TIMES = LeaseTimes(entry_lease_s=6.0, grace_s=30.0)


class _FirstAnswersOnly(Acceptance):
    """Accepts a majority of first answers, even if a sender has restarted since."""

    def on_answer(self, answer: PollAnswer, sent_s: float, now_s: float) -> None:
        super().on_answer(answer, sent_s, now_s)
        if self._majority_confirmed_s is None and self._majority_has_version_s is not None:
            self._majority_confirmed_s = now_s

    def _restart_count(self) -> None:
        return


class _GraceFromFirstAnswer(Acceptance):
    """Counts the grace period from the first answer, without a majority that has the version."""

    def on_answer(self, answer: PollAnswer, sent_s: float, now_s: float) -> None:
        super().on_answer(answer, sent_s, now_s)
        if self._majority_confirmed_s is None:
            self._majority_confirmed_s = now_s


class _NoRestartWait(GrantedLeases):
    """Assumes that earlier incarnations of a restarted node granted nothing."""

    def earlier_grants_expired(self, now_s: float) -> bool:
        return True


class _NoRestartWaitNode(LeaseNode):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.grants = _NoRestartWait(self._times, self._started_s)


class _CountsAtOnceNode(LeaseNode):
    """Counts towards a majority before it has confirmed its version."""

    def caught_up(self) -> bool:
        return True


class _NoDriftMargin(GrantedLeases):
    """Expires granted leases after the holder's duration, without the margin for clock drift."""

    def holders_below(self, version: int, now_s: float) -> tuple[EntryId, ...]:  # type: ignore[override]
        return super().holders_below(version, now_s + 0.1)  # type: ignore[arg-type]


class _NoDriftMarginNode(LeaseNode):
    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.grants = _NoDriftMargin(self._times, self._started_s)


def entry_id(name: str) -> EntryId:
    return EntryId(name)


def poll_rounds(fleet: FleetModel, group: str, count: int = 1, step_s: float = 0.0) -> None:
    for _ in range(count):
        names = group.split()
        for sender in names:
            for receiver in names:
                fleet.poll(entry_id(sender), entry_id(receiver))
        for name in names:
            fleet.adopt(entry_id(name))
        fleet.advance(step_s)
        fleet.check()


def partition(fleet: FleetModel, left: str, right: str) -> None:
    for one in left.split():
        for other in right.split():
            fleet.cuts |= {(entry_id(one), entry_id(other)), (entry_id(other), entry_id(one))}


def confirm_all(fleet: FleetModel) -> None:
    fleet.advance(7.0)
    names = " ".join(fleet.nodes)
    for name in names.split():
        fleet.read_store(entry_id(name))
    poll_rounds(fleet, names, 2)


class MechanismTest(unittest.TestCase):
    def _check_with_and_without(
        self, scenario: Callable[[FleetModel], None], layout: dict[str, int], **without: object
    ) -> None:
        scenario(FleetModel(layout, TIMES))
        with self.assertRaises(FalseAcceptanceError):
            scenario(FleetModel(layout, TIMES, **without))  # type: ignore[arg-type]

    def test_a_restarted_granter_waits_for_the_grants_it_forgot(self) -> None:
        def scenario(fleet: FleetModel) -> None:
            confirm_all(fleet)
            fleet.advance(5.5)
            fleet.poll(entry_id("a2"), entry_id("a1"))
            partition(fleet, "a0", "a2")
            fleet.write(entry_id("a0"))
            fleet.advance(0.8)
            fleet.restart(entry_id("a1"))
            fleet.advance(0.01)
            fleet.read_store(entry_id("a1"))
            poll_rounds(fleet, "a0 a1", 3)

        self._check_with_and_without(scenario, {"a": 3}, make_node=_NoRestartWaitNode)

    def test_the_grace_counts_from_a_majority(self) -> None:
        def scenario(fleet: FleetModel) -> None:
            confirm_all(fleet)
            partition(fleet, "a0", "a1 a2")
            fleet.write(entry_id("a0"))
            fleet.store_up = False
            for _ in range(40):
                poll_rounds(fleet, "a0")
                poll_rounds(fleet, "a1 a2", step_s=1.0)

        self._check_with_and_without(scenario, {"a": 3}, acceptance=_GraceFromFirstAnswer)

    def test_a_majority_holds_the_version_at_one_moment(self) -> None:
        def scenario(fleet: FleetModel) -> None:
            confirm_all(fleet)
            partition(fleet, "a0", "a3 a4")
            fleet.write(entry_id("a0"))
            fleet.store_up = False
            fleet.poll(entry_id("a0"), entry_id("a0"))
            fleet.poll(entry_id("a1"), entry_id("a0"))
            fleet.poll(entry_id("a0"), entry_id("a1"))
            partition(fleet, "a0", "a1")
            fleet.restart(entry_id("a1"))
            fleet.advance(0.01)
            poll_rounds(fleet, "a1 a2 a3 a4", 3)
            fleet.poll(entry_id("a2"), entry_id("a0"))
            partition(fleet, "a2", "a1 a3 a4")
            for _ in range(40):
                poll_rounds(fleet, "a0 a2")
                poll_rounds(fleet, "a1 a3 a4", step_s=1.0)

        self._check_with_and_without(scenario, {"a": 5}, acceptance=_FirstAnswersOnly)

    def test_a_fresh_process_counts_only_once_it_has_caught_up(self) -> None:
        def scenario(fleet: FleetModel) -> None:
            confirm_all(fleet)
            partition(fleet, "a0 a1", "a2")
            fleet.write(entry_id("a0"))
            fleet.store_up = False
            poll_rounds(fleet, "a0 a1", 3)
            fleet.cuts.clear()
            partition(fleet, "a0", "a1 a2")
            fleet.restart(entry_id("a1"))
            fleet.advance(0.01)
            for _ in range(40):
                poll_rounds(fleet, "a0")
                poll_rounds(fleet, "a1 a2", step_s=1.0)

        self._check_with_and_without(scenario, {"a": 3}, make_node=_CountsAtOnceNode)

    def test_a_granter_waits_a_margin_for_drift(self) -> None:
        def scenario(fleet: FleetModel) -> None:
            confirm_all(fleet)
            partition(fleet, "a0", "a1")
            fleet.write(entry_id("a0"))
            fleet.cuts.clear()
            partition(fleet, "a0 a2", "a1")
            for _ in range(700):
                poll_rounds(fleet, "a0 a2", step_s=0.01)

        self._check_with_and_without(scenario, {"a": 3}, make_node=_NoDriftMarginNode)


class CostTest(unittest.TestCase):
    def test_one_crash_delays_acceptance_by_an_entry_lease_only(self) -> None:
        for layout in ({"a": 2, "b": 3, "c": 3}, {"a": 2, "b": 2, "c": 2, "d": 2}):
            fleet = FleetModel(layout, TIMES)
            confirm_all(fleet)
            fleet.nodes[entry_id("a0")].up = False
            fleet.write(entry_id("a1"))
            started_s = fleet.now_s
            while fleet.accepted < 2 and fleet.now_s < started_s + 40:
                poll_rounds(fleet, " ".join(fleet.nodes), step_s=0.5)
            self.assertLess(fleet.now_s - started_s, 8.0)

    def test_goodbye_delays_acceptance_by_nothing(self) -> None:
        fleet = FleetModel({"a": 2, "b": 3, "c": 3}, TIMES)
        confirm_all(fleet)
        fleet.goodbye(entry_id("b0"))
        fleet.write(entry_id("a1"))
        poll_rounds(fleet, "a0 a1 b1 b2 c0 c1 c2", 3)
        self.assertEqual(fleet.accepted, 2)

    def test_a_platform_outage_alone_stops_nobody(self) -> None:
        fleet = FleetModel({"a": 2, "b": 3, "c": 3}, TIMES)
        confirm_all(fleet)
        fleet.store_up = False
        poll_rounds(fleet, " ".join(fleet.nodes), 100, 1.0)
        fleet.nodes[entry_id("a0")].up = False
        poll_rounds(fleet, " ".join(fleet.nodes), 100, 1.0)
        serving = [entry for entry in fleet.nodes if fleet.may_start(entry)]
        self.assertEqual(len(serving), 7)

    def test_a_data_centre_cut_off_serves_until_its_grace_ends(self) -> None:
        fleet = FleetModel({"a": 2, "b": 3, "c": 3}, TIMES)
        confirm_all(fleet)
        partition(fleet, "a0 a1", "b0 b1 b2 c0 c1 c2")
        fleet.store_cuts = {entry_id("a0"), entry_id("a1")}
        poll_rounds(fleet, "a0 a1", 28, 1.0)
        self.assertTrue(fleet.may_start(entry_id("a0")))
        poll_rounds(fleet, "a0 a1", 3, 1.0)
        self.assertFalse(fleet.may_start(entry_id("a0")))

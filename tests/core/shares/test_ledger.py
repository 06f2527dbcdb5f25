"""Tests of the share ledger and the fair division."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucandoor.core.shares.fairness import due_service, misplaced_ratio
from toucandoor.core.shares.ledger import ShareLedger
from toucandoor.core.shares.models import EntryService, ServiceMeter, TaskUsage
from toucandoor.ids import AttemptId, EntryId, IncarnationId, TeamId

A, B = TeamId("a"), TeamId("b")
X = AttemptId("x")


def _report(sequence: int, service: float, incarnation: int = 1) -> EntryService:
    return EntryService(EntryId("e"), IncarnationId(incarnation), sequence, {A: service})


class ShareLedgerTest(unittest.TestCase):
    def test_charges_running_time_as_it_passes(self) -> None:
        ledger = ShareLedger({A: 2.0})
        ledger.on_attempt_started(A, X, 10.0)
        ledger.on_attempt_started(A, X, 12.0)
        self.assertEqual(ledger.virtual_time(A, 16.0), 3.0)
        ledger.on_attempt_ended(X, 18.0, completed=False)
        ledger.on_attempt_ended(X, 30.0, completed=False)
        self.assertEqual(ledger.virtual_time(A, 40.0), 4.0)

    def test_a_usage_report_corrects_run_time_unless_it_is_outdated(self) -> None:
        ledger = ShareLedger({A: 1.0})
        ledger.on_attempt_started(A, X, 0.0)
        ledger.on_attempt_ended(X, 8.0, completed=True)
        for run_s, ended, expected in ((5.0, False, 8.0), (9.0, False, 9.0), (6.0, True, 6.0)):
            ledger.correct_run_time(TaskUsage(X, run_s, ended))
            self.assertEqual(ledger.virtual_time(A, 9.0), expected)
        ledger.correct_run_time(TaskUsage(X, 50.0, True))
        self.assertEqual(ledger.virtual_time(A, 9.0), 6.0)

    def test_idle_time_earns_no_credit(self) -> None:
        ledger = ShareLedger({})
        ledger.on_attempt_started(A, X, 0.0)
        ledger.on_enqueued(B, 100.0)
        self.assertEqual(ledger.virtual_time(B, 100.0), 100.0)

    def test_a_change_of_weight_keeps_the_virtual_time(self) -> None:
        ledger = ShareLedger({A: 1.0})
        ledger.on_attempt_started(A, X, 0.0)
        ledger.set_weights({A: 4.0}, 10.0)
        self.assertEqual(ledger.virtual_time(A, 10.0), 10.0)
        self.assertEqual(ledger.virtual_time(A, 14.0), 11.0)

    def test_an_attempt_is_charged_by_its_rate(self) -> None:
        """Guards against small tasks that are charged as much as ones that fill a server."""
        ledger = ShareLedger({A: 1.0, B: 1.0})
        ledger.on_attempt_started(A, X, 10.0, rate=0.25)
        ledger.on_attempt_started(B, AttemptId("y"), 10.0)
        self.assertEqual(ledger.virtual_time(A, 14.0), 1.0)
        self.assertEqual(ledger.virtual_time(B, 14.0), 4.0)
        ledger.on_attempt_ended(X, 18.0, completed=True)
        self.assertEqual(ledger.virtual_time(A, 20.0), 2.0)
        ledger.correct_run_time(TaskUsage(X, 4.0, True))
        self.assertEqual(ledger.virtual_time(A, 20.0), 1.0)

    def test_rounding_of_rates_does_not_add_up(self) -> None:
        """Guards against a team that is ahead of others by the errors of ended attempts."""
        ledger = ShareLedger({A: 1.0, B: 1.0})
        for number in range(300):
            now_s = 1e6 + number * 0.1
            attempt = AttemptId(f"{number}")
            ledger.on_attempt_started(A, attempt, now_s, rate=1 / (3 + number % 7))
            ledger.on_attempt_ended(attempt, now_s, completed=True)
        self.assertEqual(ledger.virtual_time(A, 2e6), 0.0)

    def test_teams_can_be_made_level(self) -> None:
        ledger = ShareLedger({A: 1.0, B: 2.0})
        ledger.on_attempt_started(A, X, 0.0)
        ledger.set_level(100.0)
        self.assertEqual(ledger.virtual_time(B, 100.0), ledger.virtual_time(A, 100.0))
        self.assertEqual(ledger.lead(A, 105.0), 0.0)
        ledger.on_enqueued(B, 105.0)
        self.assertEqual(ledger.lead(A, 110.0), 5.0)

    def test_accounts_of_removed_teams_are_dropped_once_idle(self) -> None:
        ledger = ShareLedger({A: 2.0, B: 2.0})
        ledger.on_attempt_started(A, X, 0.0)
        ledger.forget_idle({B})
        self.assertEqual(ledger.virtual_time(A, 4.0), 2.0)
        ledger.on_attempt_ended(X, 4.0, completed=True)
        ledger.forget_idle({B})
        self.assertEqual(set(ledger.local_service(5.0)), {B})

    def test_counts_completed_jobs_where_they_are_the_service(self) -> None:
        ledger = ShareLedger({A: 1.0}, ServiceMeter.COMPLETED_JOB)
        ledger.on_attempt_started(A, X, 0.0)
        ledger.on_attempt_started(A, AttemptId("y"), 0.0)
        ledger.on_attempt_ended(X, 500.0, completed=True)
        ledger.on_attempt_ended(AttemptId("y"), 500.0, completed=False)
        self.assertEqual(ledger.virtual_time(A, 500.0), 1.0)

    def test_another_meter_starts_all_teams_level(self) -> None:
        ledger = ShareLedger({A: 1.0})
        ledger.on_attempt_started(A, X, 0.0)
        ledger.on_attempt_ended(X, 500.0, completed=True)
        ledger.set_meter(ServiceMeter.COMPLETED_JOB)
        self.assertEqual((ledger.virtual_time(A, 500.0), ledger.virtual_time(B, 500.0)), (0.0, 0.0))

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, 20), min_size=1, max_size=30))
    def test_peer_reports_may_come_late_and_twice(self, arrivals: list[int]) -> None:
        ledger = ShareLedger({A: 1.0})
        for sequence in arrivals:
            ledger.merge_peer_service(_report(sequence, 3.0 * sequence))
        expected = 3.0 * (max(arrivals) - arrivals[0]) if max(arrivals) > arrivals[0] else 0.0
        self.assertAlmostEqual(ledger.virtual_time(A, 0.0), expected)

    def test_a_restarted_entry_counts_from_its_first_report(self) -> None:
        ledger = ShareLedger({A: 1.0})
        for report in (
            _report(1, 100.0),
            _report(2, 110.0),
            _report(1, 3.0, 2),
            _report(2, 5.0, 2),
            _report(9, 900),
        ):
            ledger.merge_peer_service(report)
        self.assertEqual(ledger.virtual_time(A, 0.0), 12.0)


class FairnessTest(unittest.TestCase):
    def test_service_beyond_a_teams_demand_goes_to_the_others(self) -> None:
        due = due_service(12.0, {A: 1.0, B: 100.0, TeamId("c"): 100.0}, {A: 2, B: 1, "c": 1})
        self.assertEqual(due, {A: 1.0, B: 5.5, "c": 5.5})
        self.assertAlmostEqual(misplaced_ratio({A: 3.0, B: 1.0}, {A: 9, B: 9}, {A: 1, B: 1}), 0.25)

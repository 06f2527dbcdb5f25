"""The record of the overload report: written by the present owner only, and followed by nodes."""

from __future__ import annotations

import threading
import unittest
from unittest import mock

from tests.adapters.test_owner_task import MemoryStore, wait_for
from tests.core.scheduling.common import QUEUE, TEAM
from toucandoor.adapters.load_watch import LoadWatch
from toucandoor.adapters.owner_records import OwnerRecords
from toucandoor.adapters.term_load import TermLoad
from toucandoor.clock import SystemClock
from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.overload.followed_report import FollowedReport
from toucandoor.core.overload.models import LoadReport, TeamWait, WaitCause
from toucandoor.core.overload.records import LOAD_KEY, decode_report, encode_report
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import Transaction
from toucandoor.fakes.virtual_platform import VirtualRecords
from toucandoor.ids import FencingToken

WAIT = TeamWait(TEAM, QUEUE, WaitCause.CEILING, 10.0, 1.0)


def report(token: int, sequence: int) -> LoadReport:
    """Return a report that was written now."""
    now_unix_ms = int(SystemClock().now().timestamp() * 1000)
    return LoadReport(token, sequence, now_unix_ms, waits=(WAIT,))


class TermLoadTest(unittest.TestCase):
    """A term whose calls are carried out when the test runs them."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        self.store = MemoryStore(self.records, threading.Condition(threading.RLock()))
        token = self.store.write(Transaction({OWNER_KEY: 0}, {OWNER_KEY: b"{}"}))
        self.calls = mock.Mock()
        term = mock.Mock(submit=self.calls, post=lambda event: event())
        term.scheduler.token = token
        term.records = OwnerRecords(self.store, FencingToken(token))
        with mock.patch("toucandoor.adapters.term_load.LoadReporter") as reporters:
            self.load = TermLoad(term, lambda: NO_RESOURCES)
        self.reporter = reporters.return_value
        self.reporter.next_report.return_value = report(token, 1)

    def test_a_report_is_written_before_the_next_one_is_made(self) -> None:
        self.load.submit_due()
        self.load.submit_due()
        self.calls.assert_called_once()
        self.calls.call_args.args[0]()
        self.assertEqual(decode_report(self.records.records[LOAD_KEY].value).waits, (WAIT,))
        self.reporter.not_written.assert_not_called()
        self.load.submit_due()
        self.assertEqual(self.calls.call_count, 2)

    def test_a_late_write_of_a_former_owner_fails(self) -> None:
        # Otherwise nodes would lose the present owner's report to one with a lower token.
        self.load.submit_due()
        self.records.remove(OWNER_KEY)
        self.store.write(Transaction({OWNER_KEY: 0}, {OWNER_KEY: b"{}"}))
        self.calls.call_args.args[0]()
        self.assertNotIn(LOAD_KEY, self.records.records)
        self.reporter.not_written.assert_called_once()


class LoadWatchTest(unittest.TestCase):
    """A node that follows the reports in a store."""

    def test_reports_are_followed_again_after_an_outage_of_the_store(self) -> None:
        records, changed = VirtualRecords(), threading.Condition(threading.RLock())
        writer, store = MemoryStore(records, changed), MemoryStore(records, changed)
        followed = FollowedReport(SystemClock())
        watch = LoadWatch(store, followed, mock.Mock())
        self.addCleanup(watch.stop)

        def sequence() -> int:
            current = followed.current()
            return 0 if current is None else current[0].sequence

        writer.write(Transaction(writes={LOAD_KEY: encode_report(report(1, 1))}))
        # Another key with the same start must not be taken for a report.
        writer.write(Transaction(writes={LOAD_KEY + "-other": b"x"}))
        watch.start()
        wait_for(self, lambda: sequence() == 1)
        store.unavailable = True
        writer.write(Transaction(writes={LOAD_KEY: encode_report(report(1, 2))}))
        wait_for(self, lambda: sequence() == 2)
        writer.write(Transaction(writes={LOAD_KEY: encode_report(report(1, 3))}))
        store.unavailable = False
        wait_for(self, lambda: sequence() == 3)
        self.assertEqual(followed.ignored, 0)


if __name__ == "__main__":
    unittest.main()

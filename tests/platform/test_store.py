"""Client of the store, against a stub server that answers as the platform's protocol says."""

from __future__ import annotations

import base64
import unittest
from typing import Any
from unittest import mock

from tests.platform.stub_server import Answer, StubServer
from toucandoor.core.records import (
    HistoryLostError,
    LeaseEndedError,
    Transaction,
    TransactionConflictError,
)
from toucandoor.exceptions import (
    StoreAnswerLostError,
    StoreRejectedError,
    StoreUnavailableError,
)
from toucandoor.ids import StoreLeaseId
from toucandoor.platform.http import Answer as HttpAnswer
from toucandoor.platform.http import (
    AnswerUnreadableError,
    CallUnansweredError,
    PlatformHttp,
)
from toucandoor.platform.store import PlatformStore


def item(key: str, value: bytes, revision: int) -> dict[str, Any]:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": 1, "lease_id": 0}


class StoreTest(unittest.TestCase):
    """Each call of the client, and each refusal."""

    def setUp(self) -> None:
        self.calls: list[tuple[str, str, dict[str, str], Any]] = []
        self.answers: list[Answer] = []
        self.server = StubServer(self.answer)
        self.addCleanup(self.server.stop)
        self.store = PlatformStore(PlatformHttp(), self.server.address, 0.5)

    def answer(
        self, method: str, path: str, query: dict[str, str], body: Any, _headers: dict[str, str]
    ) -> Answer:
        self.calls.append((method, path, query, body))
        return self.answers.pop(0)

    def test_read(self) -> None:
        self.answers = [(200, item("a", b"x", 5)), (404, {})]
        record = self.store.read("a")
        assert record is not None
        self.assertEqual((record.value, record.revision), (b"x", 5))
        self.assertIsNone(self.store.read("b"))
        self.assertEqual(self.calls[0][:3], ("GET", "/-/kv-key", {"key": "a"}))

    def test_a_prefix_is_read_in_pages(self) -> None:
        self.answers = [
            (200, {"items": [item("p/1", b"", 2)], "has_more": True, "at": 7}),
            (200, {"items": [item("p/2", b"", 3)], "has_more": False, "at": 9}),
        ]
        snapshot = self.store.read_prefix("p/")
        self.assertEqual([record.key for record in snapshot.records], ["p/1", "p/2"])
        self.assertEqual(snapshot.revision, 7)
        self.assertEqual(self.calls[1][2], {"prefix": "p/", "after": "p/1"})

    # Guards against records that count as removed, as they come after a page without any.
    def test_an_empty_page_that_is_not_the_last_is_an_error(self) -> None:
        self.answers = [
            (200, {"items": [item("p/1", b"", 2)], "has_more": True, "at": 7}),
            (200, {"items": [], "has_more": True, "at": 9}),
        ]
        with self.assertRaises(AnswerUnreadableError):
            self.store.read_prefix("p/")

    def test_watch_separates_writes_from_removals(self) -> None:
        removal = {"key": "p/2", "revision": 9, "deleted": True}
        self.answers = [(200, {"events": [item("p/1", b"v", 8), removal], "at": 9}), (410, {})]
        changes = self.store.watch("p/", 7, 0.1)
        self.assertEqual([record.key for record in changes.written], ["p/1"])
        self.assertEqual((changes.deleted, changes.revision), (("p/2",), 9))
        with self.assertRaises(HistoryLostError):
            self.store.watch("p/", 1, 0.1)

    def test_deletions_in_a_watch_have_revisions(self) -> None:
        # Without its own revision, a deletion is dated by the end of the watch, which is later.
        events = [
            {"key": "op/a", "revision": 6, "deleted": True},
            {"key": "op/b", "revision": 2, "deleted": True},
        ]
        self.answers = [(200, {"events": events, "at": 9})]
        changes = self.store.watch("op/", 4, 0.1)
        self.assertEqual((changes.deleted, changes.deletion_revisions), (("op/a", "op/b"), (6, 9)))

    def test_write_and_its_refusals(self) -> None:
        self.answers = [
            (200, {"revision": 12}),
            (412, {"items": [item("a", b"other", 11)]}),
            (404, {}),
            (503, {}),
            (429, {}),
        ]
        transaction = Transaction({"a": 3}, {"a": b"v"}, ("b",), StoreLeaseId(4))
        self.assertEqual(self.store.write(transaction), 12)
        self.assertEqual(
            self.calls[0][3],
            {
                "expected_revision": [{"key": "a", "revision": 3}],
                "write": [{"key": "a", "value": "dg==", "lease_id": 4}],
                "remove": ["b"],
            },
        )
        with self.assertRaises(TransactionConflictError) as conflict:
            self.store.write(transaction)
        self.assertEqual(conflict.exception.present[0].value, b"other")
        with self.assertRaises(LeaseEndedError):
            self.store.write(transaction)
        for _ in range(2):
            with self.assertRaises(StoreUnavailableError):
                self.store.write(transaction)

    # Guards against a write that is repeated without end, as its refusal counts as an outage.
    def test_a_write_that_is_invalid_is_rejected_and_an_outage_is_not(self) -> None:
        transaction = Transaction({}, {"a": b"x"})
        for status, rejected in ((400, True), (403, True), (413, True), (429, False), (500, False)):
            self.answers = [(status, {})]
            with self.subTest(status=status), self.assertRaises(StoreUnavailableError) as raised:
                self.store.write(transaction)
            self.assertIs(isinstance(raised.exception, StoreRejectedError), rejected)

    def test_a_value_that_is_too_large_is_not_sent(self) -> None:
        store = PlatformStore(PlatformHttp(), self.server.address, 0.5, value_bytes_max=10)
        self.answers = [(200, {"revision": 1})]
        store.write(Transaction({}, {"a": b"x" * 10}))
        with self.assertRaises(StoreRejectedError) as raised:
            store.write(Transaction({}, {"a": b"x" * 11}))
        self.assertIn("value of a has 11 bytes", str(raised.exception))
        self.assertEqual(len(self.calls), 1)

    def test_leases(self) -> None:
        self.answers = [(200, {"lease_id": 7, "ttl_ms": 3000}), (200, {"ttl_ms": 3000}), (404, {})]
        lease = self.store.grant_lease(3.0)
        self.assertEqual((lease.lease_id, lease.ttl_s), (7, 3.0))
        self.store.renew_lease(lease.lease_id)
        with self.assertRaises(LeaseEndedError):
            self.store.renew_lease(lease.lease_id)

    def test_a_stopped_store_raises_an_error(self) -> None:
        self.server.stop()
        with self.assertRaises((StoreUnavailableError, StoreAnswerLostError)):
            self.store.read("a")


class TimeoutTest(unittest.TestCase):
    """Time-outs given to the HTTP client."""

    def setUp(self) -> None:
        self.timeouts_s: list[float] = []
        self.lost = False
        http = mock.Mock()
        http.call.side_effect = self.call
        self.store = PlatformStore(http, "store:1", 0.9)

    def call(self, *_: object, timeout_s: float, **__: object) -> HttpAnswer:
        self.timeouts_s.append(timeout_s)
        if self.lost:
            raise CallUnansweredError("no answer", step="store.write")
        return HttpAnswer(200, b'{"revision": 1}', "store.write", "store:1")

    def test_a_lost_answer_is_not_waited_for_much_longer_than_answers_take(self) -> None:
        """A lost answer of one write in three must not stop the owner for most of a second."""
        for _ in range(20):
            self.store.write(Transaction())
        self.lost = True
        for _ in range(4):
            with self.assertRaises(StoreAnswerLostError):
                self.store.write(Transaction())
        self.assertEqual(self.timeouts_s[0], 0.9)
        self.assertLess(self.timeouts_s[20], 0.3)
        self.assertEqual(sorted(self.timeouts_s[20:]), self.timeouts_s[20:])
        self.assertEqual(self.timeouts_s[-1], 0.9)

    # Guards against a large write that never succeeds, as sending it takes longer than it may.
    def test_a_large_write_is_given_the_time_that_sending_it_takes(self) -> None:
        http = mock.Mock()
        http.call.side_effect = self.call
        store = PlatformStore(http, "store:1", 0.9, link_bytes_per_s=625_000)
        for size in (100, 100, 100, 300_000):
            store.write(Transaction({}, {"a": b"x" * size}))
        self.assertLess(self.timeouts_s[-2], 0.2)
        self.assertGreater(self.timeouts_s[-1], 300_000 * 4 / 3 / 625_000)

    def test_a_renewal_is_waited_for_no_longer_than_its_own_limit(self) -> None:
        self.store.renew_lease(StoreLeaseId(1), 0.4)
        self.assertEqual(self.timeouts_s, [0.4])


if __name__ == "__main__":
    unittest.main()

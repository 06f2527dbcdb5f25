"""Orders to backend servers: their encoding, and the results and errors from the answers."""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.platform.stub_server import Answer, StubServer
from toucandoor.clock import ManualClock, SystemClock
from toucandoor.core.jobs.models import TaskKey
from toucandoor.core.scheduling.workers import (
    EndReason,
    OrderNotSentError,
    OrderRefusal,
    OrderRefusedError,
    OrderUnansweredError,
    RunKey,
    StartOrder,
    WorkerTarget,
)
from toucandoor.ids import FencingToken, JobId, WorkerId
from toucandoor.platform.address import parse_address
from toucandoor.platform.async_http import AsyncPlatformHttp
from toucandoor.platform.http import Answer as HttpAnswer
from toucandoor.platform.workers import (
    InvalidEntryError,
    PlatformWorkers,
    decode_worker,
    parse_worker,
)

RUN = RunKey(TaskKey(JobId("5c0e7a21d94b36f8"), 0, 1, 17), 2)
TOKEN = FencingToken(7)
ENTRY: dict[str, Any] = {
    "service": "p",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "sequence": 1,
    "capacity": {"cpu": 1, "mem_mb": 1},
    "labels": [],
    "born": 5,
}
"""A valid entry of a backend server."""


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Orders to a stub server over a socket."""

    def setUp(self) -> None:
        self.answers: list[Answer] = []
        self.calls: list[tuple[str, Any, dict[str, str]]] = []
        server = StubServer(self.answer)
        self.addCleanup(server.stop)
        self.target = WorkerTarget(WorkerId("i-1"), server.address)
        self.workers = PlatformWorkers(AsyncPlatformHttp(), SystemClock())

    def answer(
        self, _method: str, path: str, _query: dict[str, str], body: Any, headers: dict[str, str]
    ) -> Answer:
        self.calls.append((path, body, headers))
        return self.answers.pop(0)

    async def test_start(self) -> None:
        self.answers = [(200, {"clock_ms": 482113})]
        order = StartOrder(RUN, "text", 486000, TOKEN, "00aa", "ticket")
        started = self.workers.async_start(self.target, order, lambda: True)
        self.assertEqual(await started, 482113)
        path, body, headers = self.calls[0]
        self.assertEqual(path, "/-/run-start")
        self.assertEqual(
            body,
            {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "attempt": 2,
                "spec": "text",
                "deadline_ms": 486000,
                "fencing_token": 7,
                "checkpoint": "00aa",
                "token": "ticket",
            },
        )
        self.assertEqual(headers["X_TOUCANDOOR_EXPECTED_INSTANCE"], "i-1")

    async def test_refusals(self) -> None:
        cases = [
            ((409, {"clock_ms": 1, "reason": "fence"}), OrderRefusal.FENCED),
            ((409, {"clock_ms": 1, "reason": "old"}), OrderRefusal.SUPERSEDED),
            ((409, {"clock_ms": 1, "reason": "late"}), OrderRefusal.DEADLINE_PASSED),
            ((409, {"clock_ms": 1, "reason": "room"}), OrderRefusal.NO_ROOM),
            ((409, {"clock_ms": 1, "reason": "ticket"}), OrderRefusal.TICKET_INVALID),
            ((421, {}), OrderRefusal.OTHER_BOOT),
            ((503, b""), OrderRefusal.UNHEALTHY),
            ((429, b""), OrderRefusal.UNHEALTHY),
            ((400, {}), OrderRefusal.REJECTED),
        ]
        for answer, refusal in cases:
            with self.subTest(refusal=refusal):
                self.answers = [answer]
                with self.assertRaises(OrderRefusedError) as raised:
                    await self.workers.async_stop(self.target, RUN, TOKEN)
                self.assertEqual(raised.exception.refusal, refusal)

    async def test_heartbeat_returns_active_and_ended_runs(self) -> None:
        answer = {
            "clock_ms": 5,
            "born": 1700000000000,
            "active": [["5c0e7a21d94b36f8.0.1.17", 2, "00aa", 41, 350]],
            "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "lapsed", ""]],
        }
        self.answers = [(200, answer)]
        report = await self.workers.async_heartbeat(
            self.target, TOKEN, lease_until_ms=9, acknowledged=57, wait_s=0.1, runs=1
        )
        self.assertEqual(report.active[0].run, RUN)
        self.assertEqual(
            (report.active[0].speed_percent, report.active[0].recent_metric), (41, 350)
        )
        self.assertEqual(report.ended[0].reason, EndReason.LEASE_EXPIRED)
        self.assertEqual(report.booted_unix_ms, 1700000000000)

    # Guards against tasks that run twice, as ends beyond the limit of an answer were not seen.
    async def test_a_report_with_as_many_ends_as_an_answer_can_list_is_not_complete(self) -> None:
        for count, complete in ((499, True), (500, False)):
            rows = [[n + 1, f"5c0e7a21d94b36f8.0.0.{n}", 1, "done", ""] for n in range(count)]
            self.answers = [(200, {"clock_ms": 5, "active": [], "finished": rows})]
            report = await self.workers.async_heartbeat(
                self.target, TOKEN, lease_until_ms=None, acknowledged=0, wait_s=0, runs=0
            )
            self.assertEqual(len(report.ended), count)
            self.assertIs(report.complete, complete)

    async def test_invalid_status_report_counts_as_no_answer(self) -> None:
        task = "5c0e7a21d94b36f8.0.1.9"
        answers: list[dict[str, Any]] = [
            {"clock_ms": 5, "finished": [[1, "not a task", 1, "done", ""]]},
            {"clock_ms": 5, "finished": [[]]},
            {"clock_ms": 5, "finished": [[1, task, 1, ["done"], ""]]},
            {"clock_ms": 5, "finished": [[1, task, 10**30, "done", ""]]},
            {"clock_ms": 5, "finished": [[1, 7, 1, "done", ""]]},
            {"clock_ms": 5, "active": [["5c0e7a21d94b36f8.0.-1.9", 1, "", 100]]},
            {"clock_ms": 5, "active": [[task, None, "", 100]]},
            {"clock_ms": 5, "active": [[task, 1, ""]]},
            {"clock_ms": 10**30},
            {"clock_ms": -1},
        ]
        for answer in answers:
            self.answers = [(200, answer)]
            with self.subTest(answer=answer), self.assertRaises(OrderUnansweredError):
                await self.workers.async_heartbeat(
                    self.target, TOKEN, lease_until_ms=None, acknowledged=0, wait_s=0, runs=0
                )

    # Guards against a malformed address that ends the term of each owner that calls it.
    async def test_a_server_that_cannot_be_called_counts_as_no_answer(self) -> None:
        for address in ("127.0.0.1", "127.0.0.1:99999", "127.0.0.1:x", "a..b:80", ""):
            target = WorkerTarget(WorkerId("i-1"), address)
            with self.subTest(address=address), self.assertRaises(OrderUnansweredError):
                await self.workers.async_heartbeat(
                    target, TOKEN, lease_until_ms=None, acknowledged=0, wait_s=0, runs=0
                )

    # Guards against a run that is waited for although no server can know of it.
    async def test_a_start_without_a_connection_was_not_sent(self) -> None:
        order = StartOrder(RUN, "text", 486000, TOKEN, "")
        for address in ("127.0.0.1:1", "127.0.0.1:x"):
            target = WorkerTarget(WorkerId("i-1"), address)
            with self.subTest(address=address), self.assertRaises(OrderNotSentError):
                await self.workers.async_start(target, order, lambda: True)

    # Guards against a run that is taken for one that cannot exist.
    async def test_a_start_that_was_written_counts_as_unanswered(self) -> None:
        order = StartOrder(RUN, "text", 486000, TOKEN, "")
        with socket.create_server(("127.0.0.1", 0)) as listening:
            target = WorkerTarget(WorkerId("i-1"), f"127.0.0.1:{listening.getsockname()[1]}")
            with self.assertRaises(OrderUnansweredError) as caught:
                await self.workers.async_start(target, order, lambda: True)
        self.assertNotIsInstance(caught.exception, OrderNotSentError)


class HeartbeatTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """How long the answer to a heartbeat is waited for."""

    # Guards against runs that are lost with their lease, as the list of them never arrives in time.
    async def test_an_answer_with_many_runs_has_the_time_that_it_takes_on_the_link(self) -> None:
        timeouts_s: list[float] = []

        async def answer(*_: Any, timeout_s: float, step: str, **__: Any) -> HttpAnswer:
            timeouts_s.append(timeout_s)
            return HttpAnswer(200, b'{"clock_ms": 1}', step, "w:1")

        link_bytes_per_s = 625_000
        workers = PlatformWorkers(mock.Mock(async_post=answer), ManualClock(), link_bytes_per_s)
        target = WorkerTarget(WorkerId("i-1"), "10.0.0.1:80")
        for runs in (0, 2000):
            await workers.async_heartbeat(
                target, TOKEN, lease_until_ms=None, acknowledged=0, wait_s=1.0, runs=runs
            )
        self.assertGreater(timeouts_s[1] - timeouts_s[0], 2000 * 50 / link_bytes_per_s)


class EntryTest(unittest.TestCase):
    """Entries of backend servers in the store."""

    def test_entry(self) -> None:
        value = (
            b'{"service":"p","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,'
            b'"state":"draining","sequence":1,"cold_left_ms":0,"born":5,"remaining_ms":900,'
            b'"capacity":{"cpu":64000,"mem_mb":1,"gpu":0},"labels":["a","r2-3"],"machine":"m-1"}'
        )
        entry = decode_worker("i-1", value)
        assert entry is not None
        self.assertTrue(entry.draining)
        self.assertEqual((entry.rack, entry.vm_id, entry.remaining_ms), ("r2-3", "m-1", 900))

    def test_time_for_which_a_server_is_cold(self) -> None:
        # An implausible value must not take the server out of use.
        for text, expected_s in (("2500", 2.5), ('"2500"', 0), ("-1", 0), ("1e9", 0), ("null", 0)):
            value = (
                b'{"service":"p","address":"10.0.0.1:80","zone":"z","state":"ready","sequence":1,'
                b'"capacity":{"cpu":1,"mem_mb":1},"labels":[],"cold_left_ms":'
            )
            with self.subTest(text=text):
                entry = decode_worker("i-1", value + text.encode() + b"}")
                assert entry is not None
                self.assertEqual(entry.cold_s, expected_s)

    def test_invalid_entries_are_ignored(self) -> None:
        for value in (
            b"\xff\x00",
            b"{}",
            b"[]",
            b'{"service":"p","address":"a","zone":"z","state":"odd","sequence":1,'
            b'"capacity":{"cpu":1,"mem_mb":1},"labels":[]}',
            b'{"service":"p","address":"a","zone":"z","state":"ready","sequence":"1",'
            b'"capacity":{"cpu":1,"mem_mb":1},"labels":[]}',
        ):
            with self.subTest(value=value):
                self.assertIsNone(decode_worker("i-1", value))


if __name__ == "__main__":
    unittest.main()

    # Guards against an entry of another writer that ends each owner's term, as it cannot be called.
    def test_an_entry_that_cannot_be_called_or_counted_with_names_its_field(self) -> None:
        addresses = (
            "127.0.0.1",
            ":80",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1: 80",
            "10.0.0.1:8_0",
            "10.0.0.1:\u0663",
            "a..b:80",
            "host:80",
            "10.0.0.1:80\r\nX: y",
        )
        changes: list[tuple[str, dict[str, Any]]] = [
            *(("address", {"address": address}) for address in addresses),
            ("capacity.cpu", {"capacity": {"cpu": -1, "mem_mb": 1}}),
            ("capacity.mem_mb", {"capacity": {"cpu": 1, "mem_mb": 10**400}}),
            ("born", {"born": 10**30}),
            ("service", {"service": ""}),
            ("state", {"state": "odd"}),
        ]
        for field, change in changes:
            with self.subTest(change=change):
                with self.assertRaises(InvalidEntryError) as raised:
                    parse_worker("i-1", json.dumps(ENTRY | change).encode())
                self.assertIn(field, raised.exception.reason)

    def test_an_id_that_cannot_be_sent_in_a_header_is_invalid(self) -> None:
        value = json.dumps(ENTRY).encode()
        self.assertEqual(parse_worker("i-1", value).address, "10.0.0.1:80")
        for worker_id in ("", "a b", "a\r\nX: y", "\u00e9", "a" * 201):
            with self.subTest(worker_id=worker_id), self.assertRaises(InvalidEntryError):
                parse_worker(worker_id, value)

    @given(
        field=st.sampled_from([*ENTRY, "cold_left_ms", "remaining_ms", "machine", "more"]),
        value=st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda each: st.lists(each, max_size=3) | st.dictionaries(st.text(), each, max_size=3),
        ),
    )
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    def test_an_entry_with_any_value_in_a_field_is_used_or_names_its_fault(
        self, field: str, value: object
    ) -> None:
        try:
            entry = parse_worker("i-1", json.dumps(ENTRY | {field: value}).encode())
        except InvalidEntryError as err:
            self.assertTrue(err.reason)
        else:
            self.assertEqual(parse_address(entry.address)[0].count("."), 3)

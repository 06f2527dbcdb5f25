"""Orders to backend servers: their encoding, and the results and errors from the answers."""

from __future__ import annotations

import unittest
from typing import Any

from tests.platform.stub_server import Answer, StubServer
from toucandoor.clock import SystemClock
from toucandoor.core.jobs.models import TaskKey
from toucandoor.core.scheduling.workers import (
    EndReason,
    OrderRefusal,
    OrderRefusedError,
    OrderUnansweredError,
    RunKey,
    StartOrder,
    WorkerTarget,
)
from toucandoor.ids import FencingToken, JobId, WorkerId
from toucandoor.platform.async_http import AsyncPlatformHttp
from toucandoor.platform.workers import PlatformWorkers, decode_worker

RUN = RunKey(TaskKey(JobId("5c0e7a21d94b36f8"), 0, 1, 17), 2)
TOKEN = FencingToken(7)


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
            self.target, TOKEN, lease_until_ms=9, acknowledged=57, wait_s=0.1
        )
        self.assertEqual(report.active[0].run, RUN)
        self.assertEqual(
            (report.active[0].speed_percent, report.active[0].recent_metric), (41, 350)
        )
        self.assertEqual(report.ended[0].reason, EndReason.LEASE_EXPIRED)
        self.assertEqual(report.booted_unix_ms, 1700000000000)

    async def test_invalid_status_report_counts_as_no_answer(self) -> None:
        self.answers = [(200, {"clock_ms": 5, "finished": [[1, "not a task", 1, "done", ""]]})]
        with self.assertRaises(OrderUnansweredError):
            await self.workers.async_heartbeat(
                self.target, TOKEN, lease_until_ms=None, acknowledged=0, wait_s=0
            )


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
                b'{"service":"p","address":"a","zone":"z","state":"ready","sequence":1,'
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

"""Tests of the backend server client against a scripted server on a real socket."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from collections.abc import Callable
from contextlib import suppress
from io import BufferedReader

from toucandoor.adapters.worker_client import WorkerClient
from toucandoor.core.attempts.models import (
    CloseAttempt,
    CloseConnections,
    FetchAnswer,
    QueryTask,
    TaskState,
)
from toucandoor.core.requests.models import (
    AttemptOutcome,
    Dispatch,
    Request,
    RequestClass,
)
from toucandoor.ids import AttemptId, QueueId, RequestId, VmId

VM = VmId("vm-1")


def reply(body: bytes, task_id: str = "{id}", status: str = "200 OK", extra: str = "") -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nX-Task-Id: {task_id}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


class ScriptedServer:
    """Answers each request with the next entry of its script; sends no answer for None."""

    def __init__(self, *script: bytes | None) -> None:
        self.script = list(script)
        self.requests: list[str] = []
        self.connections = 0
        self.open: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self.open.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        while text := self._read(reader):
            self.requests.append(text)
            task_id = next((h[11:] for h in text.split("\r\n") if h.startswith("X-Task-Id: ")), "")
            answer = self.script.pop(0) if self.script else None
            if answer is None:
                continue
            connection.sendall(answer.replace(b"{id}", task_id.encode()))
            if b"Content-Length: 999" in answer:
                connection.shutdown(socket.SHUT_RDWR)
                return

    def _read(self, reader: BufferedReader) -> str:
        """Read one complete request and return its head; its body comes in a separate segment."""
        head = ""
        with suppress(ConnectionResetError):
            while (line := reader.readline().decode()) not in ("", "\r\n"):
                head += line
        lengths = [h[16:] for h in head.split("\r\n") if h.lower().startswith("content-length: ")]
        reader.read(int(lengths[0]) if lengths else 0)
        return head


class WorkerClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.client = WorkerClient(1.0)
        self.count = 0

    def serve(self, *script: bytes | None) -> ScriptedServer:
        self.server = ScriptedServer(*script)
        self.addCleanup(self.server.close)
        return self.server

    def send(self, start_by_s: float = 1.0) -> tuple[AttemptOutcome, bytes | None]:
        self.count += 1
        now_s = time.monotonic()
        request = Request(
            RequestId("r"), QueueId("q"), None, RequestClass.URGENT, False, now_s, now_s + 5.0
        )
        dispatch = Dispatch(
            request.request_id,
            AttemptId(f"a{self.count}"),
            VM,
            self.server.address,
            now_s + start_by_s,
            30.0,
        )
        ended, answer = self.client.send(dispatch, request, b"{}", "")
        return ended.outcome, answer.body if answer else None

    def test_a_connection_is_reused_after_a_complete_answer(self) -> None:
        server = self.serve(reply(b"one"), reply(b"two"))
        self.assertEqual(self.send(), (AttemptOutcome.ANSWERED, b"one"))
        self.assertEqual(self.send(), (AttemptOutcome.ANSWERED, b"two"))
        self.assertEqual(server.connections, 1)

    def test_an_answer_with_another_task_id_is_discarded_and_its_connection_closed(self) -> None:
        server = self.serve(reply(b"of another", task_id="other"), reply(b"own"))
        self.assertEqual(self.send(), (AttemptOutcome.UNKNOWN, None))
        self.assertEqual(self.send(), (AttemptOutcome.ANSWERED, b"own"))
        self.assertEqual(server.connections, 2)

    def test_a_truncated_answer_gives_an_unknown_outcome(self) -> None:
        self.serve(b"HTTP/1.1 200 OK\r\nX-Task-Id: {id}\r\nContent-Length: 999\r\n\r\nhalf")
        self.assertEqual(self.send(), (AttemptOutcome.UNKNOWN, None))

    def test_a_connection_with_an_unread_answer_is_not_reused(self) -> None:
        server = self.serve(reply(b"one"), reply(b"two"))
        self.assertEqual(self.send(), (AttemptOutcome.ANSWERED, b"one"))
        server.open[0].sendall(reply(b"late", task_id="a2"))
        time.sleep(0.05)
        self.assertEqual(self.send(), (AttemptOutcome.ANSWERED, b"two"))
        self.assertEqual(server.connections, 2)

    def test_outcomes_by_status_and_headers(self) -> None:
        busy = "X-Task-State: not_run\r\nX-Reason: busy\r\n"
        draining = "X-Task-State: not_run\r\nX-Reason: draining\r\n"
        table = [
            ("503 No", busy, AttemptOutcome.BUSY),
            ("503 No", draining, AttemptOutcome.DRAINING),
            ("503 No", "", AttemptOutcome.UNKNOWN),
            ("500 No", "X-Task-State: failed\r\n", AttemptOutcome.FAILED),
            ("500 No", "", AttemptOutcome.UNKNOWN),
            ("409 No", "X-Task-State: checkpointed\r\n", AttemptOutcome.CHECKPOINTED),
            ("409 No", "X-Task-State: stopped\r\n", AttemptOutcome.STOPPED),
            ("409 No", "X-Task-State: running\r\n", AttemptOutcome.UNKNOWN),
        ]
        self.serve(*(reply(b"{}", status=status, extra=extra) for status, extra, _ in table))
        for status, extra, outcome in table:
            with self.subTest(status=status, extra=extra):
                self.assertEqual(self.send(), (outcome, None))

    def test_nothing_is_sent_after_the_time_limit_for_sending(self) -> None:
        server = self.serve(reply(b"one"))
        self.assertEqual(self.send(start_by_s=-0.1), (AttemptOutcome.NOT_SENT, None))
        self.assertEqual(server.requests, [])

    def test_a_refused_connection_gives_unreachable(self) -> None:
        self.serve()
        with socket.create_server(("127.0.0.1", 0)) as closed:
            self.server.address = f"127.0.0.1:{closed.getsockname()[1]}"
        self.assertEqual(self.send(), (AttemptOutcome.UNREACHABLE, None))

    def test_closing_a_connection_wakes_its_waiting_thread(self) -> None:
        self.serve(None, None)
        closes: list[Callable[[], object]] = [
            lambda: self.client.perform(CloseAttempt(AttemptId("a1"))),
            lambda: self.client.perform(CloseConnections(VM, self.server.address)),
        ]
        for close in closes:
            timer = threading.Timer(0.2, close)
            timer.start()
            started_s = time.monotonic()
            self.assertEqual(self.send(), (AttemptOutcome.UNKNOWN, None))
            self.assertLess(time.monotonic() - started_s, 2.0)
            timer.join()

    def test_closing_a_servers_connections_includes_idle_ones(self) -> None:
        server = self.serve(reply(b"one"), reply(b"two"))
        self.send()
        self.client.perform(CloseConnections(VM, server.address))
        self.send()
        self.assertEqual(server.connections, 2)

    def test_a_query_uses_a_new_connection_and_renews_the_lease(self) -> None:
        server = self.serve(reply(b"one"), reply(b'{"state": "running", "up_s": 5.5}'))
        self.send()
        start_by_s = time.monotonic() + 1.0
        query = QueryTask(AttemptId("a1"), VM, server.address, True, start_by_s)
        queried = self.client.query_task(query)
        self.assertEqual((queried.state, queried.up_s), (TaskState.RUNNING, 5.5))
        self.assertEqual(server.connections, 2)
        self.assertTrue(server.requests[1].startswith("POST /v1/tasks/a1/renew"))
        self.assertIn("X-Start-By: ", server.requests[1])

    def test_an_invalid_task_state_is_none(self) -> None:
        for body in (b"[]", b"{}", b'{"state": "asleep"}', b"not json", b'{"state": []}'):
            with self.subTest(body=body):
                server = self.serve(reply(body))
                query = QueryTask(AttemptId("a1"), VM, server.address, False, 0.0)
                self.assertIsNone(self.client.query_task(query).state)

    def test_a_fetched_answer_must_be_complete_and_carry_the_attempts_id(self) -> None:
        table = [
            (reply(b"whole", task_id="a1"), b"whole"),
            (reply(b"of another", task_id="a2"), None),
            (reply(b"{}", task_id="a1", status="404 No"), None),
            (b"HTTP/1.1 200 OK\r\nX-Task-Id: a1\r\nContent-Length: 999\r\n\r\nhalf", None),
        ]
        for answer, body in table:
            with self.subTest(answer=answer):
                server = self.serve(answer)
                fetch = FetchAnswer(RequestId("r"), AttemptId("a1"), VM, server.address)
                fetched, got = self.client.fetch(fetch)
                self.assertEqual(fetched.whole, body is not None)
                self.assertEqual(got.body if got else None, body)

"""Counts of what callers got."""

from __future__ import annotations

import threading
import time
import unittest
import urllib.request
from typing import TYPE_CHECKING
from unittest import mock

from toucandoor.adapters.caller_outcomes import NO_ANSWER, CallerOutcomes, CallKind
from toucandoor.adapters.wsgi import make_server, respond

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.adapters.wsgi import Environ, StartResponse


class CallerOutcomesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = mock.Mock()
        self.outcomes = CallerOutcomes(self.metrics)

    # Guards against an answer that is counted although its connection was closed before.
    def test_an_answer_counts_once_it_is_written(self) -> None:
        self.outcomes.begin()
        answer = self.outcomes.deliver(CallKind.STATE, "running", {}, [b"{}"])
        self.assertEqual(next(answer), b"{}")
        self.metrics.add_caller_outcome.assert_not_called()
        self.assertEqual(list(answer), [])
        self.metrics.add_caller_outcome.assert_called_once_with("state", "running")
        self.assertEqual(self.outcomes.in_flight, 0)

    # Guards against a call that gets no answer and shows in no line and no metric.
    def test_an_answer_that_cannot_be_written_is_counted_and_logged(self) -> None:
        self.outcomes.begin()
        answer = self.outcomes.deliver(CallKind.SUBMISSION, "ok", {"path": "/n/1"}, [b"{}"])
        next(answer)
        with self.assertLogs("toucandoor.adapters.caller_outcomes", "WARNING") as logs:
            del answer
        self.assertEqual(vars(logs.records[0])["path"], "/n/1")
        self.metrics.add_caller_outcome.assert_called_once_with("submission", NO_ANSWER)
        self.assertEqual(self.outcomes.in_flight, 0)

    # Guards against a node that stops in the middle of calls and says nothing of them.
    def test_calls_that_are_left_when_the_server_has_stopped_are_logged(self) -> None:
        self.outcomes.begin()
        self.outcomes.begin()
        with self.assertLogs("toucandoor.adapters.caller_outcomes", "WARNING") as logs:
            self.outcomes.log_unanswered()
        self.assertEqual(vars(logs.records[0])["calls"], 2)
        self.metrics.add_caller_outcome.assert_called_once_with("other", NO_ANSWER, 2)

    # Guards against answers that are counted as not written, as the server reads them otherwise.
    def test_answers_of_the_http_server_are_counted_as_written(self) -> None:
        def app(_environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
            self.outcomes.begin()
            answer = respond(start_response, 200, b"{}", "application/json")
            return self.outcomes.deliver(CallKind.STATE, "running", {}, answer)

        server = make_server("127.0.0.1:0", app, 1)
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        host, port = server.bind_addr
        with urllib.request.urlopen(f"http://{host}:{port}/", timeout=5) as answer:
            self.assertEqual(answer.read(), b"{}")
        until_s = time.monotonic() + 5
        while self.outcomes.in_flight and time.monotonic() < until_s:
            time.sleep(0.01)
        self.metrics.add_caller_outcome.assert_called_once_with("state", "running")


if __name__ == "__main__":
    unittest.main()

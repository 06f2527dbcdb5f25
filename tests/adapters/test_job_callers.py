"""HTTP answers to valid and invalid calls of callers."""

from __future__ import annotations

import io
import json
import unittest
from typing import Any
from unittest import mock

from tests.core.scheduling.common import QUEUE, TEAM, configuration
from toucandoor.adapters.job_callers import JobApi
from toucandoor.adapters.job_service import JobStatus, WriteOutcome
from toucandoor.clock import ManualClock
from toucandoor.core.admission.submission import Rejection
from toucandoor.core.jobs.models import JobState
from toucandoor.core.overload.outages import StoreOutages
from toucandoor.exceptions import StoreUnavailableError
from toucandoor.ids import QueueId

JOB = "5c0e7a21d94b36f8"
BODY = b'{"spec":"x","phases":[{"count":1,"cpu":5}]}'


VALUE_BYTES_MAX = 3000


class CallersTest(unittest.TestCase):
    """Calls to the API on a job service with fixed outcomes."""

    def setUp(self) -> None:
        self.service = mock.Mock()
        self.service.submit.return_value = WriteOutcome.STORED
        self.service.cancel.return_value = WriteOutcome.STORED
        self.service.status.return_value = JobStatus(QUEUE, TEAM, JobState.RUNNING)
        self.service.pending.return_value = 4
        self.configuration: Any = configuration()
        self.store_reachable = True
        self.clock = ManualClock()
        self.submissions = mock.Mock()
        self.submissions.rejection.return_value = None
        self.outages = StoreOutages()
        self.metrics = mock.Mock()
        self.app = JobApi(
            self.service,
            lambda: self.configuration,
            self.clock,
            self.metrics,
            lambda: self.store_reachable,
            self.submissions,
            self.outages,
            VALUE_BYTES_MAX,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        key: str = "key",
        host: str = "north.example:80",
    ) -> tuple[int, dict[str, str], Any]:
        answered: dict[str, Any] = {}

        def start_response(status: str, headers: list[tuple[str, str]]) -> None:
            answered["status"] = int(status[:3])
            answered["headers"] = dict(headers)

        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": host,
            "HTTP_AUTHORIZATION": f"Bearer {key}",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        data = b"".join(self.app(environ, start_response))
        return answered["status"], answered["headers"], json.loads(data)

    # Guards against a job that is answered 410, or shown as failed, and shows in no metric.
    def test_outcomes_are_counted_by_kind_of_call(self) -> None:
        self.call("POST", f"/n/{JOB}", BODY)
        self.call("GET", f"/n/{JOB}")
        self.service.status.return_value = JobStatus(QUEUE, TEAM, JobState.FAILED)
        with self.assertLogs("toucandoor.adapters.job_callers", "INFO") as logs:
            self.call("GET", f"/n/{JOB}")
        self.assertIn("a job is shown as failed", logs.output[0])
        self.call("DELETE", f"/n/{JOB}")
        self.service.status.return_value = None
        self.call("GET", f"/n/{JOB}")
        self.call("DELETE", f"/n/{JOB}")
        counted = [each.args for each in self.metrics.add_caller_outcome.call_args_list]
        self.assertEqual(
            counted,
            [
                ("submission", "ok"),
                ("state", "running"),
                ("state", "failed"),
                ("cancellation", "ok"),
                ("state", "410"),
                ("cancellation", "410"),
            ],
        )

    # Guards against errors of the program that are counted as calls with status 200.
    def test_an_unexpected_error_is_counted_as_status_500(self) -> None:
        self.service.status.side_effect = ValueError
        with self.assertRaises(ValueError):
            self.call("GET", f"/n/{JOB}")
        self.metrics.add_caller_outcome.assert_called_once_with("state", "500")
        self.assertEqual(self.metrics.record_caller_call.call_args.args[3], 500)
        self.assertEqual(self.app.outcomes.in_flight, 0)

    def test_valid_calls(self) -> None:
        self.assertEqual(self.call("POST", f"/n/{JOB}", BODY)[0], 200)
        self.assertEqual(self.call("GET", f"/n/{JOB}")[2], {"state": "in_progress"})
        self.assertEqual(self.call("GET", "/n/")[2], {"pending": 4})
        self.assertEqual(self.call("DELETE", f"/n/{JOB}")[0], 200)

    def test_invalid_calls_submit_nothing(self) -> None:
        cases = [
            (404, ("POST", f"/other/{JOB}", BODY), {}),
            (404, ("POST", f"/n/{JOB}", BODY), {"host": "other.example"}),
            (401, ("POST", f"/n/{JOB}", BODY), {"key": "withdrawn"}),
            (400, ("POST", "/n/not-an-id", BODY), {}),
            (400, ("POST", f"/n/{JOB}", b"{"), {}),
            (413, ("POST", f"/n/{JOB}", b"x" * 300_000), {}),
            (405, ("PUT", f"/n/{JOB}", BODY), {}),
        ]
        for status, call, options in cases:
            with self.subTest(status=status, call=call[:2]):
                self.assertEqual(self.call(*call, **options)[0], status)
        self.service.submit.assert_not_called()

    # Guards against a job that is refused as if the store were out of service, each time anew.
    def test_a_job_that_is_too_large_for_the_store_is_refused_for_good(self) -> None:
        for length, status in ((2400, 200), (3200, 413)):
            body = json.dumps({"spec": "x" * length, "phases": [{"count": 1}]}).encode()
            answered, headers, _ = self.call("POST", f"/n/{JOB}", body)
            self.assertEqual(answered, status)
            self.assertNotIn("Retry-After", headers)
        self.service.submit.assert_called_once()

    def test_unknown_jobs_and_jobs_of_other_queues(self) -> None:
        for status in (None, JobStatus(QueueId("other"), TEAM, JobState.RUNNING)):
            self.service.status.return_value = status
            self.assertEqual(self.call("GET", f"/n/{JOB}")[0], 410)
            self.assertEqual(self.call("DELETE", f"/n/{JOB}")[0], 410)
        self.service.cancel.assert_not_called()

    def test_not_stored_and_unknown_have_different_answers(self) -> None:
        self.service.submit.return_value = WriteOutcome.NOT_STORED
        status, headers, _ = self.call("POST", f"/n/{JOB}", BODY)
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        # A fixed 2 s told callers to return in vain early in an outage, and too late at its end.
        self.store_reachable = False
        self.outages.on_failure(self.clock.monotonic_s())
        found = []
        for _ in range(4):
            found.append(int(self.call("POST", f"/n/{JOB}", BODY)[1]["Retry-After"]))
            self.clock.advance(1.0)
        self.assertEqual(found, [4, 3, 2, 1])
        self.service.submit.return_value = WriteOutcome.UNKNOWN
        status, headers, _ = self.call("POST", f"/n/{JOB}", BODY)
        self.assertEqual(status, 504)
        self.assertNotIn("Retry-After", headers)

    def test_a_refused_job_that_an_earlier_try_has_stored_is_accepted_again(self) -> None:
        # Otherwise a caller whose first answer was lost is told that a running job has not run.
        self.submissions.rejection.return_value = Rejection(429, "overloaded; it has not run", 3)
        self.assertEqual(self.call("POST", f"/n/{JOB}", BODY)[0], 200)
        self.service.status.return_value = None
        status, headers, body = self.call("POST", f"/n/{JOB}", BODY)
        self.assertEqual((status, headers["Retry-After"]), (429, "3"))
        self.assertEqual(body, {"error": "overloaded; it has not run"})
        self.service.submit.assert_not_called()

    def test_a_refusal_claims_nothing_that_the_store_does_not_confirm(self) -> None:
        self.submissions.rejection.return_value = Rejection(429, "overloaded; it has not run", 3)
        self.service.status.side_effect = StoreUnavailableError("unavailable", step="store")
        status, headers, body = self.call("POST", f"/n/{JOB}", BODY)
        self.assertEqual(status, 504)
        self.assertNotIn("Retry-After", headers)
        self.assertNotIn("not run", body["error"])
        self.service.submit.assert_not_called()

    def test_queries_while_the_store_is_unavailable(self) -> None:
        self.service.status.side_effect = StoreUnavailableError("unavailable", step="store")
        self.assertEqual(self.call("GET", f"/n/{JOB}")[0], 503)

    def test_without_a_configuration(self) -> None:
        self.configuration = None
        self.assertEqual(self.call("POST", f"/n/{JOB}", BODY)[0], 503)


if __name__ == "__main__":
    unittest.main()

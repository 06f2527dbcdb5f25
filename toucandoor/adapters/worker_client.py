"""Client of the backend servers; see docs/worker-protocol.md."""

from __future__ import annotations

import json
import logging
import time
from dataclasses import dataclass
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from toucandoor.adapters.settings import split_address
from toucandoor.adapters.worker_connections import WorkerConnections
from toucandoor.core.attempts.const import DEFAULT_QUERY_TIMEOUT_S
from toucandoor.core.attempts.models import (
    AnswerFetched,
    CloseAttempt,
    CloseConnections,
    FetchAnswer,
    QueryTask,
    StopTask,
    TaskQueried,
    TaskState,
)
from toucandoor.core.requests.commands import ProbeWorker, WorkerDecision, WorkerProbed
from toucandoor.core.requests.models import AttemptEnded, AttemptOutcome, Dispatch, Preempt, Request

_LOGGER = logging.getLogger(__name__)
_PREFIX = "worker:"

ANSWER_BYTES_MAX = 64 * 1024 * 1024
PREEMPT_TIMEOUT_S = 2.0
_FETCH_TIMEOUT_S = 5.0
_WAIT_PAST_DEADLINE_S = 5.0
"""Time for which a call waits for its answer after the request's deadline; only at the deadline is
the task stopped."""

_OUTCOMES = {
    (500, "failed"): AttemptOutcome.FAILED,
    (409, "checkpointed"): AttemptOutcome.CHECKPOINTED,
    (409, "stopped"): AttemptOutcome.STOPPED,
}
"""Outcome of an attempt by the response's status and its ``X-Task-State`` header."""


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """A backend server's complete answer."""

    content_type: str
    body: bytes


class WorkerClient:
    """HTTP client for backend servers; safe to use from many threads.

    Args:
        task_lease_s: Lease in seconds to request when a task's lease is renewed.
    """

    def __init__(self, connect_timeout_s: float, task_lease_s: float = 30.0) -> None:
        self._connections = WorkerConnections(connect_timeout_s)
        self.task_lease_s = task_lease_s

    def send(
        self, dispatch: Dispatch, request: Request, body: bytes, trace: str
    ) -> tuple[AttemptEnded, WorkerAnswer | None]:
        """Send an attempt and wait for its answer.

        Args:
            trace: Value of the caller's ``traceparent`` header; empty for none.

        Returns:
            The attempt's outcome, and the answer if the outcome is ANSWERED.
        """
        started_s = time.monotonic()
        try:
            in_use = self._connections.acquire(dispatch.address, dispatch.attempt_id)
        except (OSError, HTTPError) as err:
            return _make_end(dispatch, AttemptOutcome.UNREACHABLE, started_s, str(err)), None
        reusable = False
        try:
            # The process may have been paused, or connecting may have taken too long.
            if time.monotonic() > dispatch.start_by_s:
                reusable = True
                return (
                    _make_end(dispatch, AttemptOutcome.NOT_SENT, started_s, "start-by time passed"),
                    None,
                )
            wait_s = max(0.1, request.deadline_s - time.monotonic()) + _WAIT_PAST_DEADLINE_S
            headers = _task_headers(dispatch, request, trace)
            response = _call(in_use.connection, "POST", "/v1/tasks", body, headers, wait_s)
            answer = _read_answer(response)
            ended = _read_attempt_end(response, dispatch, started_s)
            reusable = ended.outcome is not AttemptOutcome.UNKNOWN
            return ended, answer if ended.outcome is AttemptOutcome.ANSWERED else None
        except (OSError, HTTPError, ValueError) as err:
            return _make_end(dispatch, AttemptOutcome.UNKNOWN, started_s, str(err)), None
        finally:
            self._connections.release(in_use, dispatch.attempt_id, reusable=reusable)

    def fetch(self, decision: FetchAnswer) -> tuple[AnswerFetched, WorkerAnswer | None]:
        """Fetch a finished task's answer by its id on a new connection."""
        path = f"/v1/tasks/{decision.attempt_id}/answer"
        try:
            response = _call_on_new_connection(decision.address, "GET", path, {}, _FETCH_TIMEOUT_S)
        except (OSError, HTTPError, ValueError) as err:
            _LOGGER.warning("%s GET %s at %s failed: %s", _PREFIX, path, decision.address, err)
            return AnswerFetched(decision.attempt_id, whole=False), None
        own = response.headers.get("X-Task-Id") == decision.attempt_id
        if response.status != 200 or not own or "Content-Length" not in response.headers:
            return AnswerFetched(decision.attempt_id, whole=False), None
        return AnswerFetched(decision.attempt_id, whole=True), _read_answer(response)

    def query_task(self, decision: QueryTask) -> TaskQueried:
        """Query a task's state on a new connection."""
        return self._query_task(decision)

    def perform(self, decision: WorkerDecision) -> TaskQueried | WorkerProbed | None:
        """Execute a decision that is not for a caller's thread; return its result as an event."""
        match decision:
            case QueryTask() | StopTask():
                return self._query_task(decision)
            case CloseAttempt(attempt_id):
                self._connections.close_attempt(attempt_id)
            case CloseConnections(vm, address):
                _LOGGER.warning("%s connections to %s deliver no data, closing them", _PREFIX, vm)
                self._connections.close_worker(address)
            case ProbeWorker():
                return _probe(decision)
            case Preempt():
                _preempt(decision)
        return None

    def _query_task(self, decision: QueryTask | StopTask) -> TaskQueried:
        path, method = f"/v1/tasks/{decision.attempt_id}", "GET"
        headers: dict[str, str] = {}
        if isinstance(decision, StopTask):
            path, method = f"{path}/stop", "POST"
        elif decision.renew:
            path, method = f"{path}/renew", "POST"
            headers = _lease_headers(self.task_lease_s, decision.start_by_s)
        try:
            response = _call_on_new_connection(
                decision.address, method, path, headers, DEFAULT_QUERY_TIMEOUT_S
            )
            return _read_task_state(decision, response)
        except (OSError, HTTPError, ValueError, KeyError, TypeError) as err:
            _LOGGER.info("%s no task state from %s: %s", _PREFIX, decision.address, err)
            return TaskQueried(decision.attempt_id, None)


def _call(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    wait_s: float,
) -> BaseHTTPResponse:
    connection.timeout = wait_s
    if connection.sock is not None:
        connection.sock.settimeout(wait_s)
    connection.request(method, path, body=body, headers=headers, preload_content=False)
    return connection.getresponse()


def _read_answer(response: BaseHTTPResponse) -> WorkerAnswer:
    """Read the complete body.

    Raises:
        IncompleteRead: The body is truncated.
        ValueError: The body is larger than ``ANSWER_BYTES_MAX``.
    """
    if int(response.headers.get("Content-Length", "0")) > ANSWER_BYTES_MAX:
        raise ValueError("the answer is too large")
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return WorkerAnswer(content_type, response.data)


def _call_on_new_connection(
    address: str, method: str, path: str, headers: dict[str, str], timeout_s: float
) -> BaseHTTPResponse:
    """Send one request on a new connection and read the complete response."""
    host, port = split_address(address)
    connection = HTTPConnection(host, port, timeout=timeout_s)
    try:
        closing = {**headers, "Connection": "close"}
        connection.request(method, path, body=b"", headers=closing, preload_content=True)
        return connection.getresponse()
    finally:
        connection.close()


def _preempt(preempt: Preempt) -> None:
    """Ask the backend server to checkpoint or stop a task; the attempt's answer has the outcome."""
    path = f"/v1/tasks/{preempt.attempt_id}/{preempt.how.value}"
    try:
        _call_on_new_connection(preempt.address, "POST", path, {}, PREEMPT_TIMEOUT_S)
    except (OSError, HTTPError) as err:
        _LOGGER.warning(
            "%s preempting task %s at %s failed: %s",
            _PREFIX,
            preempt.attempt_id,
            preempt.address,
            err,
        )


def _probe(decision: ProbeWorker) -> WorkerProbed:
    try:
        response = _call_on_new_connection(
            decision.address, "GET", "/v1/status", {}, DEFAULT_QUERY_TIMEOUT_S
        )
        status: dict[str, Any] = json.loads(response.data)
        return WorkerProbed(decision.vm, response.status == 200, bool(status["draining"]))
    except (OSError, HTTPError, ValueError, KeyError, TypeError):
        return WorkerProbed(decision.vm, reached=False)


def _read_task_state(decision: QueryTask | StopTask, response: BaseHTTPResponse) -> TaskQueried:
    report = json.loads(response.data)
    if response.status != 200 or not isinstance(report, dict):
        raise ValueError(f"no task state in the response with status {response.status}")
    up_s = report.get("up_s")
    return TaskQueried(
        attempt_id=decision.attempt_id,
        state=TaskState(report["state"]),
        up_s=None if up_s is None else float(up_s),
        resume_token=report.get("resume_token") or None,
    )


def _task_headers(dispatch: Dispatch, request: Request, trace: str) -> dict[str, str]:
    headers = {
        "Content-Type": "application/octet-stream",
        "X-Task-Id": dispatch.attempt_id,
        "X-Request-Id": request.request_id,
        "X-Team": request.team or "",
        "X-Class": request.request_class.value,
        **_lease_headers(dispatch.lease_s, dispatch.start_by_s),
    }
    if dispatch.resume_token:
        headers["X-Resume-Token"] = dispatch.resume_token
    if trace:
        headers["traceparent"] = trace
    return headers


def _lease_headers(lease_s: float, start_by_s: float) -> dict[str, str]:
    """Return headers with the lease to request and the Unix time after which to refuse the call."""
    start_by_unix_s = time.time() + start_by_s - time.monotonic()
    return {"X-Task-Lease-S": f"{lease_s:.3f}", "X-Start-By": f"{start_by_unix_s:.3f}"}


def _read_attempt_end(
    response: BaseHTTPResponse, dispatch: Dispatch, started_s: float
) -> AttemptEnded:
    slots_free = response.headers.get("X-Slots-Free")
    return AttemptEnded(
        attempt_id=dispatch.attempt_id,
        outcome=_outcome(response, dispatch),
        slots_free=int(slots_free) if slots_free and slots_free.isdigit() else None,
        resume_token=response.headers.get("X-Resume-Token"),
        run_s=time.monotonic() - started_s,
    )


def _outcome(response: BaseHTTPResponse, dispatch: Dispatch) -> AttemptOutcome:
    if response.headers.get("X-Task-Id") != dispatch.attempt_id:
        return AttemptOutcome.UNKNOWN
    state = response.headers.get("X-Task-State", "")
    if response.status == 200 and "Content-Length" in response.headers:
        return AttemptOutcome.ANSWERED
    if response.status == 503 and state == "not_run":
        draining = response.headers.get("X-Reason") == "draining"
        return AttemptOutcome.DRAINING if draining else AttemptOutcome.BUSY
    return _OUTCOMES.get((response.status, state), AttemptOutcome.UNKNOWN)


def _make_end(
    dispatch: Dispatch, outcome: AttemptOutcome, started_s: float, detail: str
) -> AttemptEnded:
    return AttemptEnded(
        attempt_id=dispatch.attempt_id,
        outcome=outcome,
        run_s=time.monotonic() - started_s,
        detail=detail,
    )

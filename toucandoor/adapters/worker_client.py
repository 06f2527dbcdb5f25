"""Client of the backend servers; see docs/worker-protocol.md."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

import urllib3

from toucandoor.core.requests.models import (
    AttemptEnded,
    AttemptOutcome,
    Dispatch,
    Preempt,
    Request,
)

_LOGGER = logging.getLogger(__name__)
_PREFIX = "worker:"
INTERRUPT_READ_S = 2.0
ANSWER_BYTES_MAX = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class WorkerAnswer:
    """A backend server's whole answer."""

    content_type: str
    body: bytes


class WorkerClient:
    """Sends attempts to backend servers; safe to use from many threads."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(num_pools=4096, maxsize=64, retries=False)

    def send(
        self, dispatch: Dispatch, request: Request, body: bytes, trace: str
    ) -> tuple[AttemptEnded, WorkerAnswer | None]:
        """Send an attempt and wait for its end.

        Returns:
            How it ended, and the whole answer where there is one.
        """
        started_s = time.monotonic()
        if started_s > dispatch.start_by_s:
            return _ended(dispatch, AttemptOutcome.UNREACHABLE, started_s, "paused too long"), None
        try:
            response = self._pool.request(
                "POST",
                f"http://{dispatch.address}/v1/tasks",
                body=body,
                headers=_headers(dispatch, request, trace),
                timeout=urllib3.Timeout(
                    connect=self._connect_timeout_s,
                    read=max(0.1, request.deadline_s - started_s),
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as err:
            return _ended(dispatch, AttemptOutcome.UNREACHABLE, started_s, str(err)), None
        except urllib3.exceptions.HTTPError as err:
            return _ended(dispatch, AttemptOutcome.UNKNOWN, started_s, str(err)), None
        outcome = _outcome(response, dispatch)
        slots_free = response.headers.get("X-Slots-Free")
        ended = AttemptEnded(
            attempt_id=dispatch.attempt_id,
            outcome=outcome,
            slots_free=int(slots_free) if slots_free and slots_free.isdigit() else None,
            resume_token=response.headers.get("X-Resume-Token"),
            run_s=time.monotonic() - started_s,
        )
        if outcome is not AttemptOutcome.ANSWERED:
            return ended, None
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ended, WorkerAnswer(content_type, response.data)

    def interrupt(self, preempt: Preempt) -> None:
        """Ask for a task's checkpoint or stop; its attempt's own answer says how it ended."""
        try:
            self._pool.request(
                "POST",
                f"http://{preempt.address}/v1/tasks/{preempt.attempt_id}/{preempt.how.value}",
                timeout=urllib3.Timeout(connect=self._connect_timeout_s, read=INTERRUPT_READ_S),
            )
        except urllib3.exceptions.HTTPError as err:
            _LOGGER.warning(
                "%s task %s at %s was not interrupted: %s",
                _PREFIX,
                preempt.attempt_id,
                preempt.address,
                err,
            )


def _headers(dispatch: Dispatch, request: Request, trace: str) -> dict[str, str]:
    headers = {
        "Content-Type": "application/octet-stream",
        "X-Task-Id": dispatch.attempt_id,
        "X-Request-Id": request.request_id,
        "X-Team": request.team or "",
        "X-Class": request.request_class.value,
        "X-Task-Lease-S": f"{dispatch.lease_s:.3f}",
    }
    if dispatch.resume_token:
        headers["X-Resume-Token"] = dispatch.resume_token
    if trace:
        headers["traceparent"] = trace
    return headers


def _outcome(response: urllib3.BaseHTTPResponse, dispatch: Dispatch) -> AttemptOutcome:
    if response.headers.get("X-Task-Id") != dispatch.attempt_id:
        return AttemptOutcome.UNKNOWN
    state = response.headers.get("X-Task-State", "")
    if response.status == 200 and response.headers.get("Content-Length"):
        return AttemptOutcome.ANSWERED
    if response.status == 503 and state == "not_run":
        draining = response.headers.get("X-Reason") == "draining"
        return AttemptOutcome.DRAINING if draining else AttemptOutcome.BUSY
    by_state = {
        "failed": AttemptOutcome.FAILED,
        "checkpointed": AttemptOutcome.CHECKPOINTED,
        "stopped": AttemptOutcome.STOPPED,
    }
    return by_state.get(state, AttemptOutcome.UNKNOWN)


def _ended(
    dispatch: Dispatch, outcome: AttemptOutcome, started_s: float, detail: str
) -> AttemptEnded:
    return AttemptEnded(
        attempt_id=dispatch.attempt_id,
        outcome=outcome,
        run_s=time.monotonic() - started_s,
        detail=detail,
    )

"""HTTP interface for callers; see docs/api.md."""

from __future__ import annotations

import json
import logging
import queue
import select
import socket
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cheroot.errors import MaxSizeExceeded

from toucandoor.adapters.caller_server import ATTR_SENDER_WATCH, ATTR_SOCKET
from toucandoor.adapters.idempotency import Claim
from toucandoor.adapters.wsgi import respond
from toucandoor.core.attempts.models import FetchAnswer
from toucandoor.core.keys import secret_digest
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    Cancelled,
    Dispatch,
    ExecutionStatus,
    PreemptMethod,
    Refuse,
    Request,
    RequestClass,
    Submitted,
)
from toucandoor.ids import AttemptId, QueueId, RequestId, TeamId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.adapters.engine_loop import EngineLoop
    from toucandoor.adapters.idempotency import IdempotencyGuard
    from toucandoor.adapters.metrics import EntryMetrics
    from toucandoor.adapters.slow_senders import SenderWatch
    from toucandoor.adapters.worker_client import WorkerAnswer, WorkerClient
    from toucandoor.adapters.wsgi import Environ, StartResponse
    from toucandoor.clock import Clock
    from toucandoor.core.keys import KeyRing
    from toucandoor.core.requests.commands import CallerDecision

_LOGGER = logging.getLogger(__name__)
_PREFIX = "caller:"

ATTR_CLASS = "HTTP_TOUCANDOOR_CLASS"
ATTR_DEADLINE_S = "HTTP_TOUCANDOOR_DEADLINE_S"
ATTR_RUN_S = "HTTP_TOUCANDOOR_RUN_S"
ATTR_IDEMPOTENT = "HTTP_TOUCANDOOR_IDEMPOTENT"
ATTR_PREEMPT = "HTTP_TOUCANDOOR_PREEMPT"
ATTR_IDEMPOTENCY_KEY = "HTTP_IDEMPOTENCY_KEY"
DEFAULT_DEADLINE_S = {RequestClass.URGENT: 30.0, RequestClass.PATIENT: 3600.0}
DEADLINE_S_MAX = 24 * 3600.0
"""Longer deadlines of callers are shortened to this."""
_DISCONNECT_CHECK_PERIOD_S = 0.5
"""Interval at which a waiting request checks whether its caller has disconnected."""


class _BadRequestError(Exception):
    """The request was refused before it reached the engine; it was not run."""

    def __init__(self, status: int, reason: str, step: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.step = step


@dataclass(frozen=True, slots=True)
class EntryState:
    """Read access to the entry's current state.

    Attributes:
        keys: Returns the teams' keys in force; None before the first configuration.
        open_queues: Returns whether a queue accepts requests without a key; None if it is unknown.
        stopping: Returns whether the entry is stopping and accepts no new requests.
    """

    keys: Callable[[], KeyRing | None]
    open_queues: Callable[[QueueId], bool | None]
    stopping: Callable[[], bool]


class CallerApp:
    """WSGI application that callers send their requests to."""

    def __init__(
        self,
        loop: EngineLoop,
        workers: WorkerClient,
        metrics: EntryMetrics,
        clock: Clock,
        state: EntryState,
        entry_id: str,
        guard: IdempotencyGuard | None = None,
    ) -> None:
        self._guard = guard
        self._loop = loop
        self._workers = workers
        self._metrics = metrics
        self._clock = clock
        self._state = state
        self._entry_id = entry_id

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        request_id = RequestId(f"{self._entry_id}-{uuid.uuid4().hex}")
        try:
            request = self._parse(environ, request_id)
            body = _read_body(environ)
        except _BadRequestError as err:
            _LOGGER.info(
                "%s request refused with status %s",
                _PREFIX,
                err.status,
                extra={
                    "request_id": request_id,
                    "step": err.step,
                    "peer": environ.get("REMOTE_ADDR", ""),
                },
            )
            return _problem_response(
                start_response,
                Refuse(request_id, err.status, err.reason, ExecutionStatus.NOT_RUN, err.step),
                retry_after_s=1.0 if err.status == 503 else None,
            )
        return self._serve(request, body, environ, start_response)

    def _parse(self, environ: Environ, request_id: RequestId) -> Request:
        queue_id = _parse_queue(environ)
        if self._state.stopping():
            raise _BadRequestError(503, "this entry is stopping", "entry.stop")
        team, key_digest = self._authenticate(environ, queue_id)
        request_class = _parse_request_class(environ)
        idempotent = _parse_flag(environ, ATTR_IDEMPOTENT)
        now_s = self._clock.monotonic_s()
        deadline_s = _parse_seconds(environ, ATTR_DEADLINE_S, DEFAULT_DEADLINE_S[request_class])
        return Request(
            request_id=request_id,
            queue=queue_id,
            team=team,
            request_class=request_class,
            idempotent=idempotent,
            arrived_s=now_s,
            deadline_s=now_s + min(deadline_s or 0.0, DEADLINE_S_MAX),
            idempotency_key=environ.get(ATTR_IDEMPOTENCY_KEY),
            declared_run_s=_parse_seconds(environ, ATTR_RUN_S, None),
            key_digest=key_digest,
            preempt_how=_parse_preempt_method(environ, request_class, idempotent),
        )

    def _authenticate(
        self, environ: Environ, queue_id: QueueId
    ) -> tuple[TeamId, str] | tuple[None, None]:
        """Return the team and the digest of its key; two Nones where no key is needed or given.

        Raises:
            _BadRequestError: The queue is unknown, or the key is missing or invalid.
        """
        keys = self._state.keys()
        if keys is None:
            raise _BadRequestError(503, "no configuration yet", "entry.configuration")
        open_to_all = self._state.open_queues(queue_id)
        if open_to_all is None:
            raise _BadRequestError(404, f"no such queue: {queue_id}", "admission.queue")
        scheme, _, secret = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if not secret:
            if open_to_all:
                return None, None
            raise _BadRequestError(401, "this queue needs a team's key", "admission.key")
        if scheme.lower() != "bearer":
            raise _BadRequestError(401, "Authorization must be of kind Bearer", "admission.key")
        team = keys.team_of(secret.strip())
        if team is None:
            raise _BadRequestError(401, "unknown or withdrawn key", "admission.key")
        return team, secret_digest(secret.strip())

    def _serve(
        self, request: Request, body: bytes, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        claim: Claim | None = None
        if self._guard is not None and self._guard.applies_to(request):
            claimed = self._guard.claim(request)
            if not isinstance(claimed, Claim):
                return self._respond(request, claimed, start_response)
            claim = claimed
        mailbox = self._loop.submit(Submitted(request))
        try:
            result = self._execute_decisions(request, body, environ, mailbox, claim)
        finally:
            self._loop.remove_mailbox(request.request_id)
        if (
            claim is not None
            and isinstance(result, Refuse)
            and result.fate is ExecutionStatus.NOT_RUN
        ):
            claim.release()
        return self._respond(request, result, start_response)

    def _execute_decisions(
        self,
        request: Request,
        body: bytes,
        environ: Environ,
        mailbox: queue.SimpleQueue[CallerDecision],
        claim: Claim | None,
    ) -> WorkerAnswer | Refuse:
        """Execute the engine's decisions for the request and return its final answer."""
        trace = environ.get("HTTP_TRACEPARENT", "")
        answers: dict[AttemptId, WorkerAnswer | None] = {}
        started = False
        while True:
            decision = self._next_decision(mailbox, request, environ)
            match decision:
                case Dispatch():
                    if not started:
                        self._record_start(request)
                        started = True
                    if claim is not None and not claim.announce(decision):
                        return self._cancel_unannounced(decision)
                    ended, answer = self._workers.send(decision, request, body, trace)
                    answers = {decision.attempt_id: answer}
                    self._loop.post(ended)
                case FetchAnswer():
                    fetched, answer = self._workers.fetch(decision)
                    answers = {decision.attempt_id: answer}
                    self._loop.post(fetched)
                case Answer(_, attempt_id) if (answer := answers.get(attempt_id)) is not None:
                    return answer
                case Refuse():
                    return decision

    def _cancel_unannounced(self, dispatch: Dispatch) -> Refuse:
        """Cancel a request whose attempt could not be announced to the owner of its key."""
        self._loop.post(AttemptEnded(dispatch.attempt_id, AttemptOutcome.NOT_SENT))
        self._loop.post(Cancelled(dispatch.request_id))
        # With a resume token, an earlier attempt ran up to a checkpoint.
        fate = ExecutionStatus.UNKNOWN if dispatch.resume_token else ExecutionStatus.NOT_RUN
        reason = "the key's owner is out of reach or gave the key to a later submission"
        return Refuse(dispatch.request_id, 503, reason, fate, "idempotency.announce")

    def _respond(
        self, request: Request, result: WorkerAnswer | Refuse, start_response: StartResponse
    ) -> Iterable[bytes]:
        if isinstance(result, Refuse):
            self._record_end(request, result.status, result.fate.value, result.step, result.peer)
            return _problem_response(start_response, result, result.retry_after_s)
        self._record_end(request, 200, "answered")
        headers = [("Toucandoor-Request-Id", request.request_id)]
        return respond(start_response, 200, result.body, result.content_type, headers)

    def _next_decision(
        self, mailbox: queue.SimpleQueue[Any], request: Request, environ: Environ
    ) -> CallerDecision:
        """Wait for the engine's next decision; cancel the request if its caller disconnects."""
        cancelled = False
        while True:
            try:
                decision: CallerDecision = mailbox.get(timeout=_DISCONNECT_CHECK_PERIOD_S)
                return decision
            except queue.Empty:
                if not cancelled and _is_disconnected(environ.get(ATTR_SOCKET)):
                    cancelled = True
                    self._loop.post(Cancelled(request.request_id))

    def _record_start(self, request: Request) -> None:
        waited_s = self._clock.monotonic_s() - request.arrived_s
        self._metrics.record_start(request.team or "", request.request_class.value, waited_s)

    def _record_end(
        self, request: Request, status: int, fate: str, step: str = "", peer: str = ""
    ) -> None:
        taken_s = self._clock.monotonic_s() - request.arrived_s
        team, request_class = request.team or "", request.request_class.value
        self._metrics.record_answer(team, request_class, status, fate, taken_s)
        _LOGGER.info(
            "%s request ended with status %s",
            _PREFIX,
            status,
            extra={
                "request_id": request.request_id,
                "team": team,
                "class": request_class,
                "fate": fate,
                "step": step,
                "peer": peer,
                "taken_s": round(taken_s, 4),
            },
        )


def _parse_queue(environ: Environ) -> QueueId:
    match environ["PATH_INFO"].strip("/").split("/"):
        case ["v1", "queues", queue_id, "requests"]:
            if environ["REQUEST_METHOD"] != "POST":
                raise _BadRequestError(405, "requests are sent with POST", "http.method")
            return QueueId(queue_id)
    raise _BadRequestError(404, "no such page", "http.path")


def _parse_request_class(environ: Environ) -> RequestClass:
    text = environ.get(ATTR_CLASS, RequestClass.PATIENT.value)
    try:
        return RequestClass(text)
    except ValueError:
        reason = f"Toucandoor-Class must be urgent or patient, not {text[:40]!r}"
        raise _BadRequestError(400, reason, "http.headers") from None


def _parse_preempt_method(
    environ: Environ, request_class: RequestClass, idempotent: bool
) -> PreemptMethod | None:
    text = environ.get(ATTR_PREEMPT)
    if text is None:
        return None
    if text not in [how.value for how in PreemptMethod]:
        reason = f"Toucandoor-Preempt must be checkpoint or stop, not {text[:40]!r}"
        raise _BadRequestError(400, reason, "http.headers")
    if request_class is RequestClass.URGENT:
        raise _BadRequestError(400, "an urgent request is never preempted", "http.headers")
    if text == PreemptMethod.STOP.value and not idempotent:
        reason = "Toucandoor-Preempt: stop runs the request again; it must be idempotent"
        raise _BadRequestError(400, reason, "http.headers")
    return PreemptMethod(text)


def _parse_flag(environ: Environ, name: str) -> bool:
    text = environ.get(name, "false")
    if text not in ("true", "false"):
        reason = f"Toucandoor-Idempotent must be true or false, not {text[:40]!r}"
        raise _BadRequestError(400, reason, "http.headers")
    return bool(text == "true")


def _parse_seconds(environ: Environ, name: str, default_s: float | None) -> float | None:
    text = environ.get(name)
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        header = name.removeprefix("HTTP_").replace("_", "-").title()
        reason = f"{header} must be a number of seconds above 0, not {text[:40]!r}"
        raise _BadRequestError(400, reason, "http.headers")
    return seconds


def _read_body(environ: Environ) -> bytes:
    chunked = environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"
    length_text = environ.get("CONTENT_LENGTH") or ""
    if not chunked and not length_text.isdigit():
        raise _BadRequestError(411, "Content-Length is missing", "http.body")
    try:
        body: bytes = environ["wsgi.input"].read(*([] if chunked else [int(length_text)]))
    except MaxSizeExceeded as err:
        raise _BadRequestError(413, "the body is too large", "http.body") from err
    except TimeoutError as err:
        raise _BadRequestError(408, "the body did not come in time", "http.body") from err
    except Exception as err:  # cheroot raises various types on oversized and truncated bodies
        raise _BadRequestError(400, f"the body cannot be read: {err}", "http.body") from err
    watch: SenderWatch | None = environ.get(ATTR_SENDER_WATCH)
    if watch is not None and watch.stop_timer(environ[ATTR_SOCKET]):
        raise _BadRequestError(408, "the body did not come in time", "http.body")
    if not chunked and len(body) != int(length_text):
        reason = f"the body is torn: {len(body)} of {length_text} bytes"
        raise _BadRequestError(400, reason, "http.body")
    return body


def _is_disconnected(sock: socket.socket | None) -> bool:
    """Return whether the caller has closed its connection."""
    if sock is None:
        return False
    try:
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and not sock.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


def _problem_response(
    start_response: StartResponse, refusal: Refuse, retry_after_s: float | None
) -> Iterable[bytes]:
    headers: list[tuple[str, str]] = [("Toucandoor-Request-Id", refusal.request_id)]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(retry_after_s)))))
    if refusal.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    body = {
        "type": "about:blank",
        "title": refusal.reason,
        "status": refusal.status,
        "fate": refusal.fate.value,
        "step": refusal.step,
        "peer": refusal.peer,
        "request_id": refusal.request_id,
    }
    content = json.dumps(body).encode()
    return respond(start_response, refusal.status, content, "application/problem+json", headers)

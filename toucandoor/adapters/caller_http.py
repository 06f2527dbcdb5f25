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

from toucandoor.adapters.caller_request import (
    ATTR_DEADLINE_S,
    ATTR_IDEMPOTENCY_KEY,
    ATTR_IDEMPOTENT,
    ATTR_RUN_S,
    DEADLINE_S_MAX,
    DEFAULT_DEADLINE_S,
    BadRequestError,
    parse_flag,
    parse_preempt_method,
    parse_queue,
    parse_request_class,
    parse_seconds,
    read_body,
)
from toucandoor.adapters.caller_server import ATTR_SOCKET
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
    Refuse,
    Request,
    Submitted,
)
from toucandoor.ids import AttemptId, QueueId, RequestId, TeamId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.adapters.engine_loop import EngineLoop
    from toucandoor.adapters.idempotency import IdempotencyGuard
    from toucandoor.adapters.metrics import EntryMetrics
    from toucandoor.adapters.worker_client import WorkerAnswer, WorkerClient
    from toucandoor.adapters.wsgi import Environ, StartResponse
    from toucandoor.clock import Clock
    from toucandoor.core.keys import KeyRing
    from toucandoor.core.requests.commands import CallerDecision

_LOGGER = logging.getLogger(__name__)
_PREFIX = "caller:"

_DISCONNECT_CHECK_PERIOD_S = 0.5
"""Interval at which a waiting request checks whether its caller has disconnected."""


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
            body = read_body(environ)
        except BadRequestError as err:
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
        queue_id = parse_queue(environ)
        if self._state.stopping():
            raise BadRequestError(503, "this entry is stopping", "entry.stop")
        team, key_digest = self._authenticate(environ, queue_id)
        request_class = parse_request_class(environ)
        idempotent = parse_flag(environ, ATTR_IDEMPOTENT)
        now_s = self._clock.monotonic_s()
        deadline_s = parse_seconds(environ, ATTR_DEADLINE_S, DEFAULT_DEADLINE_S[request_class])
        return Request(
            request_id=request_id,
            queue=queue_id,
            team=team,
            request_class=request_class,
            idempotent=idempotent,
            arrived_s=now_s,
            deadline_s=now_s + min(deadline_s or 0.0, DEADLINE_S_MAX),
            idempotency_key=environ.get(ATTR_IDEMPOTENCY_KEY),
            declared_run_s=parse_seconds(environ, ATTR_RUN_S, None),
            key_digest=key_digest,
            preempt_how=parse_preempt_method(environ, request_class, idempotent),
        )

    def _authenticate(
        self, environ: Environ, queue_id: QueueId
    ) -> tuple[TeamId, str] | tuple[None, None]:
        """Return the team and the digest of its key; two Nones where no key is needed or given.

        Raises:
            BadRequestError: The queue is unknown, or the key is missing or invalid.
        """
        keys = self._state.keys()
        if keys is None:
            raise BadRequestError(503, "no configuration yet", "entry.configuration")
        open_to_all = self._state.open_queues(queue_id)
        if open_to_all is None:
            raise BadRequestError(404, f"no such queue: {queue_id}", "admission.queue")
        scheme, _, secret = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if not secret:
            if open_to_all:
                return None, None
            raise BadRequestError(401, "this queue needs a team's key", "admission.key")
        if scheme.lower() != "bearer":
            raise BadRequestError(401, "Authorization must be of kind Bearer", "admission.key")
        team = keys.team_of(secret.strip())
        if team is None:
            raise BadRequestError(401, "unknown or withdrawn key", "admission.key")
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

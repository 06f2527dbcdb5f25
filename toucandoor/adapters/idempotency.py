"""Runs a request with an Idempotency-Key at most once, also if another entry gets the repeat."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.attempts.const import (
    DEFAULT_KEY_SKEW_S,
    DEFAULT_QUERY_INTERVAL_S,
    DEFAULT_QUERY_TIMEOUT_S,
)
from toucandoor.core.attempts.models import FetchAnswer, QueryTask, TaskQueried, TaskState
from toucandoor.core.attempts.ownership import (
    AnnouncedAttempt,
    ClaimAction,
    ClaimCall,
    ClaimRefusal,
    ClaimReply,
    EarlierClaim,
    SubmissionKey,
)
from toucandoor.core.requests.models import Dispatch, ExecutionStatus, Refuse, Request

if TYPE_CHECKING:
    from toucandoor.adapters.claims import ClaimClient
    from toucandoor.adapters.worker_client import WorkerAnswer, WorkerClient
    from toucandoor.clock import Clock

STEP = "idempotency.claim"
OWNER_UNREACHABLE_RETRY_S = 5.0
POLL_INTERVAL_S = min(0.25, DEFAULT_QUERY_INTERVAL_S)
TAKE_OVERS_MAX = 3


@dataclass(frozen=True, slots=True)
class Claim:
    """This entry's right to run a request under its key."""

    client: ClaimClient
    clock: Clock
    key: SubmissionKey
    number: int

    def announce(self, dispatch: Dispatch) -> bool:
        """Announce an attempt to the key's owner before any of it is sent.

        Returns:
            Whether the attempt may be sent.
        """
        sent_s = self.clock.now().timestamp()
        attempt = AnnouncedAttempt(dispatch.attempt_id, dispatch.vm, dispatch.address, sent_s)
        reply = self._call(ClaimAction.ANNOUNCE, attempt)
        return reply is not None and reply.done

    def release(self) -> None:
        """Release the claim of a request that did not run, so that it may be submitted again."""
        self._call(ClaimAction.NOT_RUN, None)

    def _call(self, action: ClaimAction, attempt: AnnouncedAttempt | None) -> ClaimReply | None:
        entry = self.client.entry_id
        return self.client.call(ClaimCall(action, self.key, entry, self.number, attempt))


class IdempotencyGuard:
    """Claims keys, and fetches the answer of an earlier submission of the same key."""

    def __init__(self, client: ClaimClient, workers: WorkerClient, clock: Clock) -> None:
        self._client = client
        self._workers = workers
        self._clock = clock

    def applies_to(self, request: Request) -> bool:
        """Return whether the request must run at most once over all its submissions."""
        return request.idempotency_key is not None and not request.idempotent

    def claim(self, request: Request) -> Claim | WorkerAnswer | Refuse:
        """Claim the request's key.

        Returns:
            The claim, or the answer or refusal that the caller gets without running the request.
        """
        key = SubmissionKey(request.queue, request.team, request.idempotency_key or "")
        reply = self._client.call(ClaimCall(ClaimAction.CLAIM, key, self._client.entry_id))
        for _ in range(TAKE_OVERS_MAX):
            if reply is None:
                return self._owner_unreachable(request, key)
            if reply.granted is not None:
                return Claim(self._client, self._clock, key, reply.granted.number)
            if reply.earlier is None:
                return _refused(request, reply.refusal or ClaimRefusal.NOT_OWNER)
            result = self._await_earlier(request, reply.earlier)
            if result is not None:
                return result
            reply = self._take_over(key, reply.earlier)
        return _unresolved(request, "other submissions of the key came in between")

    def _take_over(self, key: SubmissionKey, earlier: EarlierClaim) -> ClaimReply | None:
        entry = self._client.entry_id
        call = ClaimCall(ClaimAction.TAKE_OVER, key, entry, earlier.number, earlier.attempt)
        return self._client.call(call)

    def _await_earlier(
        self, request: Request, earlier: EarlierClaim
    ) -> WorkerAnswer | Refuse | None:
        """Return the result of the earlier submission; None when it did not run and never will.

        An earlier submission without an announced attempt can send none after the take-over.
        """
        if earlier.attempt is None:
            return None
        while True:
            queried = self._query_attempt(earlier.attempt)
            if queried.state is not TaskState.RUNNING:
                return self._result_of_attempt(request, earlier.attempt, queried)
            if self._clock.monotonic_s() + POLL_INTERVAL_S >= request.deadline_s:
                return _unresolved(request, "the earlier submission is still running")
            time.sleep(POLL_INTERVAL_S)

    def _query_attempt(self, attempt: AnnouncedAttempt) -> TaskQueried:
        start_by_s = self._clock.monotonic_s() + DEFAULT_QUERY_TIMEOUT_S
        query = QueryTask(attempt.attempt_id, attempt.vm, attempt.address, False, start_by_s)
        return self._workers.query_task(query)

    def _result_of_attempt(
        self, request: Request, attempt: AnnouncedAttempt, queried: TaskQueried
    ) -> WorkerAnswer | Refuse | None:
        if queried.state is TaskState.FINISHED:
            fetch = FetchAnswer(request.request_id, attempt.attempt_id, attempt.vm, attempt.address)
            _, answer = self._workers.fetch(fetch)
            return answer or _unresolved(request, "the earlier submission's answer did not come")
        if queried.state is TaskState.FAILED:
            reason = "the earlier submission of the key failed"
            return Refuse(request.request_id, 502, reason, ExecutionStatus.FAILED, STEP, attempt.vm)
        if queried.state is TaskState.STOPPED:
            return None
        if queried.state is TaskState.NEVER_SEEN and self._was_running_at(attempt, queried):
            return None
        return _unresolved(request, "the outcome of the earlier submission is unknown")

    def _was_running_at(self, attempt: AnnouncedAttempt, queried: TaskQueried) -> bool:
        """Return whether the backend server's process certainly predates the attempt."""
        age_s = self._clock.now().timestamp() - attempt.sent_s
        return queried.up_s is not None and queried.up_s > age_s + DEFAULT_KEY_SKEW_S

    def _owner_unreachable(self, request: Request, key: SubmissionKey) -> Refuse:
        reason = "the key's owner is out of reach; this submission was not run"
        peer = self._client.owner_of(key)
        return Refuse(
            request.request_id,
            503,
            reason,
            ExecutionStatus.NOT_RUN,
            STEP,
            peer,
            OWNER_UNREACHABLE_RETRY_S,
        )


def _refused(request: Request, refusal: ClaimRefusal) -> Refuse:
    reason = f"{refusal.value.replace('_', ' ')}; this submission was not run"
    final = refusal is ClaimRefusal.TOO_OLD
    return Refuse(
        request.request_id,
        409 if final else 503,
        reason,
        ExecutionStatus.NOT_RUN,
        STEP,
        retry_after_s=None if final else OWNER_UNREACHABLE_RETRY_S,
    )


def _unresolved(request: Request, reason: str) -> Refuse:
    text = f"{reason}; this submission was not run"
    return Refuse(request.request_id, 409, text, ExecutionStatus.UNKNOWN, STEP)

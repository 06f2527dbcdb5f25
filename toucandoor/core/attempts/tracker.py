"""State machine of an entry's attempts in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.attempts.const import (
    DEFAULT_ANSWER_GRACE_S,
    DEFAULT_ATTEMPTS_MAX,
    DEFAULT_FAILED_WORKERS_MAX,
    DEFAULT_LEASE_MARGIN_S,
    DEFAULT_PROGRESS_TIMEOUT_S,
    DEFAULT_QUERY_INTERVAL_S,
    DEFAULT_QUERY_TIMEOUT_S,
    DEFAULT_UNANSWERED_QUERIES_MAX,
    DEFAULT_UPTIME_MARGIN_S,
)
from toucandoor.core.attempts.models import (
    AnswerFetched,
    AttemptDecision,
    CloseConnections,
    FetchAnswer,
    QueryTask,
    RecordOutcome,
    Requeue,
    TaskEnded,
    TaskQueried,
    TaskState,
    WorkerUnreachable,
)
from toucandoor.core.attempts.state import Attempt, Phase, RequestState, abandon, stop_task
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    Dispatch,
    ExecutionStatus,
    Refuse,
    Request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.attempts.budget import RetryBudget
    from toucandoor.ids import AttemptId, RequestId, VmId


class AttemptTracker:
    """Tracks attempts, decides on retries and refusals, and tells when permits may be returned.

    Each event and ``tick`` returns decisions in the order in which to carry them out. Events of
    attempts that have ended are ignored, so events may arrive late, twice or out of order.

    Args:
        budget: Limits the retries.
        is_healthy: Returns whether a backend server is healthy at a monotonic time. Failures on
            unhealthy ones don't count as the fault of the request.
        may_renew: Returns whether an attempt's task lease may be renewed at a monotonic time.
    """

    def __init__(
        self,
        budget: RetryBudget,
        is_healthy: Callable[[VmId, float], bool],
        may_renew: Callable[[AttemptId, float], bool] = lambda _attempt_id, _now_s: True,
    ) -> None:
        self._budget = budget
        self._is_healthy = is_healthy
        self._may_renew = may_renew
        self._requests: dict[RequestId, RequestState] = {}
        self._attempts: dict[AttemptId, Attempt] = {}

    def __len__(self) -> int:
        """Return the number of attempts whose task may still run."""
        return len(self._attempts)

    def awaited_count(self) -> int:
        """Return the number of attempts whose answer is still awaited."""
        return sum(attempt.phase is not Phase.ABANDONED for attempt in self._attempts.values())

    def on_attempt_started(self, request: Request, dispatch: Dispatch, now_s: float) -> None:
        """Register an attempt that is about to be sent."""
        state = self._requests.setdefault(request.request_id, RequestState(request))
        if not state.attempts_made:
            self._budget.add_first_attempt(now_s)
        state.attempts_made += 1
        state.tried_vms.add(dispatch.vm)
        self._attempts[dispatch.attempt_id] = Attempt(
            dispatch=dispatch,
            sent_s=now_s,
            lease_until_s=dispatch.start_by_s + dispatch.lease_s + DEFAULT_LEASE_MARGIN_S,
            query_at_s=now_s + DEFAULT_PROGRESS_TIMEOUT_S,
        )

    def on_attempt_ended(self, event: AttemptEnded, now_s: float) -> list[AttemptDecision]:
        """Handle the end of an attempt as reported by its dispatching thread."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None:
            return []
        if event.outcome is AttemptOutcome.UNKNOWN:
            return self._on_connection_lost(attempt, now_s)
        if attempt.phase is Phase.ABANDONED:
            return self._drop(attempt)
        if event.outcome is AttemptOutcome.ANSWERED:
            return self._on_answered(attempt)
        if event.outcome is AttemptOutcome.FAILED:
            return self._on_failed(attempt, now_s, event.detail)
        if event.outcome is AttemptOutcome.CHECKPOINTED:
            return self._on_checkpointed(attempt, now_s, resume_token=event.resume_token)
        costs_retry = event.outcome is AttemptOutcome.UNREACHABLE
        return self._on_not_run(attempt, now_s, costs_retry=costs_retry)

    def on_task_queried(self, event: TaskQueried, now_s: float) -> list[AttemptDecision]:
        """Handle the result of a query for a task's state."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None:
            return []
        attempt.query_pending = False
        attempt.query_at_s = now_s + DEFAULT_QUERY_INTERVAL_S
        if attempt.phase is Phase.FETCHING:
            return []
        if event.state is None:
            return self._on_query_unanswered(attempt, now_s)
        if event.state is TaskState.RUNNING:
            attempt.unanswered_queries = 0
            return []
        if self._may_have_restarted(attempt, event, now_s):
            return self._on_lost_in_restart(attempt, now_s)
        if attempt.phase is Phase.SENT and not attempt.reported_end:
            attempt.reported_end = event.state
            attempt.query_at_s = now_s + DEFAULT_ANSWER_GRACE_S
            return []
        return self._on_end_reported(attempt, event, now_s)

    def on_answer_fetched(self, event: AnswerFetched, now_s: float) -> list[AttemptDecision]:
        """Handle the result of fetching a finished task's answer."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None or attempt.phase is not Phase.FETCHING:
            return []
        if event.whole:
            recorded = RecordOutcome(event.attempt_id, AttemptOutcome.ANSWERED)
            return [recorded, *self._on_answered(attempt)]
        attempt.phase = Phase.DISCONNECTED
        attempt.unanswered_queries += 1
        if attempt.unanswered_queries >= DEFAULT_UNANSWERED_QUERIES_MAX:
            return self._on_outcome_unknown(attempt, now_s)
        attempt.query_at_s = now_s
        return self._query_if_due(attempt, now_s)

    def on_request_cancelled(self, request_id: RequestId, now_s: float) -> list[AttemptDecision]:
        """Abandon and stop the attempts of a request that its caller cancelled."""
        self._requests.pop(request_id, None)
        decisions: list[AttemptDecision] = []
        for attempt in self._of_request(request_id):
            decisions += [*abandon(attempt), stop_task(attempt)]
        return decisions

    def execution_status_of(self, request_id: RequestId) -> ExecutionStatus:
        """Return whether a request that waits in its queue has run, for use in a refusal."""
        state = self._requests.get(request_id)
        return state.execution_status() if state is not None else ExecutionStatus.NOT_RUN

    def forget_request(self, request_id: RequestId) -> None:
        """Remove a request that got its final answer while none of its attempts was in progress."""
        self._requests.pop(request_id, None)

    def tick(self, now_s: float) -> list[AttemptDecision]:
        """Check request deadlines, connections without an answer and expired task leases."""
        decisions: list[AttemptDecision] = []
        for attempt in list(self._attempts.values()):
            if attempt.phase is Phase.ABANDONED and now_s >= attempt.lease_until_s:
                decisions += self._drop(attempt)
                continue
            if attempt.phase is not Phase.ABANDONED:
                decisions += self._check_deadline(attempt, now_s)
            decisions += self._query_if_due(attempt, now_s)
        return decisions

    def next_due_s(self) -> float | None:
        """Return the monotonic time at which ``tick`` is due; None without attempts in progress."""
        return min((self._due_s(attempt) for attempt in self._attempts.values()), default=None)

    def _due_s(self, attempt: Attempt) -> float:
        due_s = [attempt.lease_until_s]
        if not attempt.query_pending and attempt.phase is not Phase.FETCHING:
            due_s.append(attempt.query_at_s)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is not None and attempt.phase is not Phase.ABANDONED:
            due_s.append(state.request.deadline_s)
        return min(due_s)

    def _check_deadline(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None or now_s < state.request.deadline_s:
            return []
        refusal = self._refuse_unknown(attempt, 504, "deadline passed while running")
        return [*refusal, stop_task(attempt)]

    def _query_if_due(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        if attempt.query_pending or attempt.phase is Phase.FETCHING or now_s < attempt.query_at_s:
            return []
        attempt.query_pending = True
        start_by_s = now_s + DEFAULT_QUERY_TIMEOUT_S
        dispatch = attempt.dispatch
        renew = attempt.phase is not Phase.ABANDONED
        renew = renew and self._may_renew(dispatch.attempt_id, now_s)
        if renew:
            lease_until_s = start_by_s + dispatch.lease_s + DEFAULT_LEASE_MARGIN_S
            attempt.lease_until_s = max(attempt.lease_until_s, lease_until_s)
        return [QueryTask(dispatch.attempt_id, dispatch.vm, dispatch.address, renew, start_by_s)]

    def _on_connection_lost(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        if attempt.phase is not Phase.SENT:
            return []
        attempt.phase = Phase.DISCONNECTED
        attempt.query_at_s = now_s
        return self._query_if_due(attempt, now_s)

    def _on_query_unanswered(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        attempt.unanswered_queries += 1
        decisions: list[AttemptDecision] = [WorkerUnreachable(attempt.dispatch.vm)]
        if attempt.phase is Phase.ABANDONED:
            return decisions
        if (
            attempt.phase is Phase.SENT
            and attempt.unanswered_queries < DEFAULT_UNANSWERED_QUERIES_MAX
        ):
            attempt.query_at_s = now_s
            return decisions
        return decisions + self._on_outcome_unknown(attempt, now_s)

    def _on_end_reported(
        self, attempt: Attempt, event: TaskQueried, now_s: float
    ) -> list[AttemptDecision]:
        decisions: list[AttemptDecision] = []
        if attempt.phase is Phase.SENT:
            decisions.append(CloseConnections(attempt.dispatch.vm, attempt.dispatch.address))
        if attempt.phase is Phase.ABANDONED:
            self._settle_abandoned(attempt, event.state)
            return decisions + self._drop(attempt)
        if event.state is TaskState.FINISHED:
            attempt.phase = Phase.FETCHING
            dispatch = attempt.dispatch
            fetch = FetchAnswer(
                dispatch.request_id, dispatch.attempt_id, dispatch.vm, dispatch.address
            )
            return [*decisions, fetch]
        if event.state is TaskState.FAILED:
            decisions.append(RecordOutcome(event.attempt_id, AttemptOutcome.FAILED))
            return decisions + self._on_failed(attempt, now_s, "")
        if event.state is TaskState.CHECKPOINTED:
            return decisions + self._on_checkpointed(
                attempt, now_s, resume_token=event.resume_token
            )
        return decisions + self._on_not_run(
            attempt, now_s, costs_retry=event.state is TaskState.NEVER_SEEN
        )

    def _may_have_restarted(self, attempt: Attempt, event: TaskQueried, now_s: float) -> bool:
        """Return whether the backend server may have restarted and lost the attempt's task."""
        if event.state is not TaskState.NEVER_SEEN:
            return False
        return event.up_s is None or event.up_s <= now_s - attempt.sent_s + DEFAULT_UPTIME_MARGIN_S

    def _on_lost_in_restart(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        """Handle a task that a restart of its backend server ended; it may have taken effect."""
        if attempt.phase is Phase.ABANDONED:
            return self._drop(attempt)
        return [*self._on_outcome_unknown(attempt, now_s), *self._drop(attempt)]

    def _settle_abandoned(self, attempt: Attempt, reported: TaskState | None) -> None:
        """Drop an abandoned attempt from the unknown ones when its task surely had no effect."""
        state = self._requests.get(attempt.dispatch.request_id)
        if state is not None and reported in (TaskState.NEVER_SEEN, TaskState.STOPPED):
            state.unknown_attempts.discard(attempt.dispatch.attempt_id)

    def _on_answered(self, attempt: Attempt) -> list[AttemptDecision]:
        dispatch = attempt.dispatch
        self._requests.pop(dispatch.request_id, None)
        return [Answer(dispatch.request_id, dispatch.attempt_id), *self._drop(attempt)]

    def _on_failed(self, attempt: Attempt, now_s: float, detail: str) -> list[AttemptDecision]:
        decisions = self._drop(attempt)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return decisions
        state.unsuccessful_attempts += 1
        state.ran = True
        state.failed_vms.add(attempt.dispatch.vm)
        if not state.request.idempotent:
            return [
                *decisions,
                self._refuse(attempt, 502, detail or "task failed", ExecutionStatus.FAILED),
            ]
        healthy = sum(self._is_healthy(vm, now_s) for vm in state.failed_vms)
        if healthy >= DEFAULT_FAILED_WORKERS_MAX:
            reason = f"failed on {healthy} healthy backend servers"
            return [*decisions, self._refuse(attempt, 422, reason, ExecutionStatus.FAILED)]
        if state.unsuccessful_attempts >= DEFAULT_ATTEMPTS_MAX or not self._budget.try_spend(now_s):
            return [
                *decisions,
                self._refuse(attempt, 502, detail or "task failed", ExecutionStatus.FAILED),
            ]
        return [*decisions, self._requeue(state, now_s)]

    def _on_not_run(
        self, attempt: Attempt, now_s: float, *, costs_retry: bool
    ) -> list[AttemptDecision]:
        decisions = self._drop(attempt)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return decisions
        if not costs_retry:
            # The routing policy backs off from busy and draining backend servers, so the request
            # waits in its queue without using up the retry budget.
            requeue = Requeue(state.request.request_id, now_s, frozenset(), state.resume_token)
            return [*decisions, requeue]
        state.unsuccessful_attempts += 1
        if state.unsuccessful_attempts < DEFAULT_ATTEMPTS_MAX and self._budget.try_spend(now_s):
            return [*decisions, self._requeue(state, now_s)]
        return [*decisions, self._refuse(attempt, 503, "no retry left", state.execution_status())]

    def _on_checkpointed(
        self, attempt: Attempt, now_s: float, *, resume_token: str | None
    ) -> list[AttemptDecision]:
        decisions = self._drop(attempt)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return decisions
        if resume_token is None and not state.request.idempotent:
            return [
                *decisions,
                self._refuse(attempt, 502, "checkpoint lost", ExecutionStatus.FAILED),
            ]
        state.ran = True
        state.resume_token = resume_token
        requeue = Requeue(state.request.request_id, now_s, frozenset(), resume_token)
        return [*decisions, requeue]

    def _on_outcome_unknown(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return []
        recorded = RecordOutcome(attempt.dispatch.attempt_id, AttemptOutcome.UNKNOWN)
        state.unsuccessful_attempts += 1
        may_repeat = state.request.idempotent and state.unsuccessful_attempts < DEFAULT_ATTEMPTS_MAX
        if not may_repeat or not self._budget.try_spend(now_s):
            return [recorded, *self._refuse_unknown(attempt, 504, "outcome unknown")]
        state.unknown_attempts.add(attempt.dispatch.attempt_id)
        return [recorded, *abandon(attempt), self._requeue(state, now_s)]

    def _refuse_unknown(self, attempt: Attempt, status: int, reason: str) -> list[AttemptDecision]:
        return [*abandon(attempt), self._refuse(attempt, status, reason, ExecutionStatus.UNKNOWN)]

    def _requeue(self, state: RequestState, now_s: float) -> Requeue:
        not_before_s = now_s + self._budget.backoff_s(state.unsuccessful_attempts)
        tried = frozenset(state.tried_vms)
        return Requeue(state.request.request_id, not_before_s, tried, state.resume_token)

    def _refuse(
        self, attempt: Attempt, status: int, reason: str, execution_status: ExecutionStatus
    ) -> Refuse:
        dispatch = attempt.dispatch
        self._requests.pop(dispatch.request_id, None)
        retry_after_s = (
            max(1.0, self._budget.refill_s())
            if execution_status is ExecutionStatus.NOT_RUN
            else None
        )
        return Refuse(
            dispatch.request_id,
            status,
            reason,
            execution_status,
            "attempt",
            dispatch.vm,
            retry_after_s=retry_after_s,
        )

    def _of_request(self, request_id: RequestId) -> list[Attempt]:
        return [a for a in self._attempts.values() if a.dispatch.request_id == request_id]

    def _drop(self, attempt: Attempt) -> list[AttemptDecision]:
        attempt_id = attempt.dispatch.attempt_id
        return [TaskEnded(attempt_id)] if self._attempts.pop(attempt_id, None) else []

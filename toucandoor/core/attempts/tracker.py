"""State machine of the attempts that an entry has under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.attempts.const import (
    DEFAULT_ANSWER_GRACE_S,
    DEFAULT_ASK_INTERVAL_S,
    DEFAULT_ASK_TIMEOUT_S,
    DEFAULT_ATTEMPTS_MAX,
    DEFAULT_FAILED_SERVERS_FINAL,
    DEFAULT_LEASE_MARGIN_S,
    DEFAULT_PROGRESS_TIMEOUT_S,
    DEFAULT_UNANSWERED_ASKS_MAX,
    DEFAULT_UP_MARGIN_S,
)
from toucandoor.core.attempts.models import (
    AnswerFetched,
    AskTask,
    AttemptDecision,
    CloseConnections,
    FetchAnswer,
    Judged,
    OutOfReach,
    Requeue,
    TaskEnded,
    TaskState,
    TaskWord,
)
from toucandoor.core.attempts.state import Attempt, Phase, RequestState, leave, stop
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    Dispatch,
    Fate,
    Refuse,
    Request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.core.attempts.budget import RetryBudget
    from toucandoor.ids import AttemptId, RequestId, VmId


class AttemptTracker:
    """Decides what becomes of each attempt, and when its permit may be given back.

    Each event and ``tick`` returns decisions in the order in which they are to be done. Events
    of attempts that have ended change nothing, so they may come late, twice or out of order.

    Args:
        is_healthy: Whether a backend server does what is asked of it on the whole; failures
            on others don't count against a job.
    """

    def __init__(self, budget: RetryBudget, is_healthy: Callable[[VmId, float], bool]) -> None:
        self._budget = budget
        self._is_healthy = is_healthy
        self._requests: dict[RequestId, RequestState] = {}
        self._attempts: dict[AttemptId, Attempt] = {}

    def __len__(self) -> int:
        """Return how many attempts have a task that may still run."""
        return len(self._attempts)

    def under_way(self) -> int:
        """Return how many attempts a caller still waits for."""
        return sum(attempt.phase is not Phase.LEFT for attempt in self._attempts.values())

    def started(self, request: Request, dispatch: Dispatch, now_s: float) -> None:
        """Note that an attempt is about to be sent."""
        state = self._requests.setdefault(request.request_id, RequestState(request))
        if not state.attempts_made:
            self._budget.first_attempt(now_s)
        state.attempts_made += 1
        state.tried.add(dispatch.vm)
        self._attempts[dispatch.attempt_id] = Attempt(
            dispatch=dispatch,
            sent_s=now_s,
            lease_until_s=dispatch.start_by_s + dispatch.lease_s + DEFAULT_LEASE_MARGIN_S,
            ask_at_s=now_s + DEFAULT_PROGRESS_TIMEOUT_S,
        )

    def ended(self, event: AttemptEnded, now_s: float) -> list[AttemptDecision]:
        """Take the end of an attempt as its dispatching thread saw it."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None:
            return []
        if event.outcome is AttemptOutcome.UNKNOWN:
            return self._connection_lost(attempt, now_s)
        if attempt.phase is Phase.LEFT:
            return self._forget(attempt)
        if event.outcome is AttemptOutcome.ANSWERED:
            return self._answered(attempt)
        if event.outcome is AttemptOutcome.FAILED:
            return self._failed(attempt, now_s, event.detail)
        if event.outcome is AttemptOutcome.CHECKPOINTED:
            return self._again(attempt, now_s, resume_token=event.resume_token)
        costs_retry = event.outcome is AttemptOutcome.UNREACHABLE
        return self._not_run(attempt, now_s, costs_retry=costs_retry)

    def word(self, event: TaskWord, now_s: float) -> list[AttemptDecision]:
        """Take a backend server's word about a task."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None:
            return []
        attempt.asking = False
        attempt.ask_at_s = now_s + DEFAULT_ASK_INTERVAL_S
        if attempt.phase is Phase.FETCHING:
            return []
        if event.state is None:
            return self._no_word(attempt, now_s)
        if event.state is TaskState.RUNNING:
            attempt.unanswered_asks = 0
            return []
        if self._restarted_since(attempt, event, now_s):
            return self._lost_with_its_server(attempt, now_s)
        if attempt.phase is Phase.SENT and not attempt.ended_word:
            attempt.ended_word = event.state
            attempt.ask_at_s = now_s + DEFAULT_ANSWER_GRACE_S
            return []
        return self._ended_by_word(attempt, event, now_s)

    def fetched(self, event: AnswerFetched, now_s: float) -> list[AttemptDecision]:
        """Take the outcome of fetching a finished task's answer."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None or attempt.phase is not Phase.FETCHING:
            return []
        if event.whole:
            judged = Judged(event.attempt_id, AttemptOutcome.ANSWERED)
            return [judged, *self._answered(attempt)]
        attempt.phase = Phase.ADRIFT
        attempt.unanswered_asks += 1
        if attempt.unanswered_asks >= DEFAULT_UNANSWERED_ASKS_MAX:
            return self._unknown(attempt, now_s)
        attempt.ask_at_s = now_s
        return self._ask_if_due(attempt, now_s)

    def cancelled(self, request_id: RequestId, now_s: float) -> list[AttemptDecision]:
        """Leave the attempts of a request that its caller no longer waits for."""
        self._requests.pop(request_id, None)
        decisions: list[AttemptDecision] = []
        for attempt in self._of_request(request_id):
            decisions += [*leave(attempt), stop(attempt)]
        return decisions

    def fate_of(self, request_id: RequestId) -> Fate:
        """Return what a refusal of a request that waits again may truly say."""
        state = self._requests.get(request_id)
        return state.fate() if state is not None else Fate.NOT_RUN

    def forget_request(self, request_id: RequestId) -> None:
        """Drop a request that got its final answer while it had no attempt under way."""
        self._requests.pop(request_id, None)

    def tick(self, now_s: float) -> list[AttemptDecision]:
        """Look at deadlines, quiet connections and the ends of task leases."""
        decisions: list[AttemptDecision] = []
        for attempt in list(self._attempts.values()):
            if attempt.phase is Phase.LEFT and now_s >= attempt.lease_until_s:
                decisions += self._forget(attempt)
                continue
            if attempt.phase is not Phase.LEFT:
                decisions += self._past_deadline(attempt, now_s)
            decisions += self._ask_if_due(attempt, now_s)
        return decisions

    def next_due_s(self) -> float | None:
        """Return when ``tick`` has something to do next, None when nothing is under way."""
        return min((self._due_s(attempt) for attempt in self._attempts.values()), default=None)

    def _due_s(self, attempt: Attempt) -> float:
        due_s = [attempt.lease_until_s]
        if not attempt.asking and attempt.phase is not Phase.FETCHING:
            due_s.append(attempt.ask_at_s)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is not None and attempt.phase is not Phase.LEFT:
            due_s.append(state.request.deadline_s)
        return min(due_s)

    def _past_deadline(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None or now_s < state.request.deadline_s:
            return []
        refusal = self._give_up_unknown(attempt, 504, "deadline passed while running")
        return [*refusal, stop(attempt)]

    def _ask_if_due(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        if attempt.asking or attempt.phase is Phase.FETCHING or now_s < attempt.ask_at_s:
            return []
        attempt.asking = True
        renew = attempt.phase is not Phase.LEFT
        start_by_s = now_s + DEFAULT_ASK_TIMEOUT_S
        sent = attempt.dispatch
        if renew:
            lease_until_s = start_by_s + sent.lease_s + DEFAULT_LEASE_MARGIN_S
            attempt.lease_until_s = max(attempt.lease_until_s, lease_until_s)
        return [AskTask(sent.attempt_id, sent.vm, sent.address, renew, start_by_s)]

    def _connection_lost(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        if attempt.phase is not Phase.SENT:
            return []
        attempt.phase = Phase.ADRIFT
        attempt.ask_at_s = now_s
        return self._ask_if_due(attempt, now_s)

    def _no_word(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        attempt.unanswered_asks += 1
        decisions: list[AttemptDecision] = [OutOfReach(attempt.dispatch.vm)]
        if attempt.phase is Phase.LEFT:
            return decisions
        if attempt.phase is Phase.SENT and attempt.unanswered_asks < DEFAULT_UNANSWERED_ASKS_MAX:
            attempt.ask_at_s = now_s
            return decisions
        return decisions + self._unknown(attempt, now_s)

    def _ended_by_word(
        self, attempt: Attempt, event: TaskWord, now_s: float
    ) -> list[AttemptDecision]:
        decisions: list[AttemptDecision] = []
        if attempt.phase is Phase.SENT:
            decisions.append(CloseConnections(attempt.dispatch.vm, attempt.dispatch.address))
        if attempt.phase is Phase.LEFT:
            self._settle_left(attempt, event.state)
            return decisions + self._forget(attempt)
        if event.state is TaskState.FINISHED:
            attempt.phase = Phase.FETCHING
            sent = attempt.dispatch
            fetch = FetchAnswer(sent.request_id, sent.attempt_id, sent.vm, sent.address)
            return [*decisions, fetch]
        if event.state is TaskState.FAILED:
            decisions.append(Judged(event.attempt_id, AttemptOutcome.FAILED))
            return decisions + self._failed(attempt, now_s, "")
        if event.state is TaskState.CHECKPOINTED:
            return decisions + self._again(attempt, now_s, resume_token=event.resume_token)
        return decisions + self._not_run(
            attempt, now_s, costs_retry=event.state is TaskState.NEVER_SEEN
        )

    def _restarted_since(self, attempt: Attempt, event: TaskWord, now_s: float) -> bool:
        """Return whether the server may have forgotten the task: it is younger than the attempt."""
        if event.state is not TaskState.NEVER_SEEN:
            return False
        return event.up_s is None or event.up_s <= now_s - attempt.sent_s + DEFAULT_UP_MARGIN_S

    def _lost_with_its_server(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        """The server's process was replaced: the task has ended, but may have had its effect."""
        if attempt.phase is Phase.LEFT:
            return self._forget(attempt)
        return [*self._unknown(attempt, now_s), *self._forget(attempt)]

    def _settle_left(self, attempt: Attempt, word: TaskState | None) -> None:
        """Note for a request that waits again whether its earlier attempt ran."""
        state = self._requests.get(attempt.dispatch.request_id)
        if state is not None and word in (TaskState.NEVER_SEEN, TaskState.STOPPED):
            state.unknown.discard(attempt.dispatch.attempt_id)

    def _answered(self, attempt: Attempt) -> list[AttemptDecision]:
        sent = attempt.dispatch
        self._requests.pop(sent.request_id, None)
        return [Answer(sent.request_id, sent.attempt_id), *self._forget(attempt)]

    def _failed(self, attempt: Attempt, now_s: float, detail: str) -> list[AttemptDecision]:
        decisions = self._forget(attempt)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return decisions
        state.setbacks += 1
        state.ran = True
        state.failed_on.add(attempt.dispatch.vm)
        if not state.request.idempotent:
            return [*decisions, self._refuse(attempt, 502, detail or "task failed", Fate.FAILED)]
        healthy = sum(self._is_healthy(vm, now_s) for vm in state.failed_on)
        if healthy >= DEFAULT_FAILED_SERVERS_FINAL:
            reason = f"failed on {healthy} healthy backend servers"
            return [*decisions, self._refuse(attempt, 422, reason, Fate.FAILED)]
        if state.setbacks >= DEFAULT_ATTEMPTS_MAX or not self._budget.take(now_s):
            return [*decisions, self._refuse(attempt, 502, detail or "task failed", Fate.FAILED)]
        return [*decisions, self._requeue(state, now_s)]

    def _not_run(
        self, attempt: Attempt, now_s: float, *, costs_retry: bool
    ) -> list[AttemptDecision]:
        decisions = self._forget(attempt)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return decisions
        if not costs_retry:
            # The routing policy paces servers that say so; the request waits in its queue.
            requeue = Requeue(state.request.request_id, now_s, frozenset(), state.resume_token)
            return [*decisions, requeue]
        state.setbacks += 1
        if state.setbacks < DEFAULT_ATTEMPTS_MAX and self._budget.take(now_s):
            return [*decisions, self._requeue(state, now_s)]
        return [*decisions, self._refuse(attempt, 503, "no retry left", state.fate())]

    def _again(
        self, attempt: Attempt, now_s: float, *, resume_token: str | None
    ) -> list[AttemptDecision]:
        decisions = self._forget(attempt)
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return decisions
        if resume_token is None and not state.request.idempotent:
            return [*decisions, self._refuse(attempt, 502, "checkpoint lost", Fate.FAILED)]
        state.ran = True
        state.resume_token = resume_token
        requeue = Requeue(state.request.request_id, now_s, frozenset(), resume_token)
        return [*decisions, requeue]

    def _unknown(self, attempt: Attempt, now_s: float) -> list[AttemptDecision]:
        state = self._requests.get(attempt.dispatch.request_id)
        if state is None:
            return []
        judged = Judged(attempt.dispatch.attempt_id, AttemptOutcome.UNKNOWN)
        state.setbacks += 1
        may_repeat = state.request.idempotent and state.setbacks < DEFAULT_ATTEMPTS_MAX
        if not may_repeat or not self._budget.take(now_s):
            return [judged, *self._give_up_unknown(attempt, 504, "outcome unknown")]
        state.unknown.add(attempt.dispatch.attempt_id)
        return [judged, *leave(attempt), self._requeue(state, now_s)]

    def _give_up_unknown(self, attempt: Attempt, status: int, reason: str) -> list[AttemptDecision]:
        return [*leave(attempt), self._refuse(attempt, status, reason, Fate.UNKNOWN)]

    def _requeue(self, state: RequestState, now_s: float) -> Requeue:
        not_before_s = now_s + self._budget.backoff_s(state.setbacks)
        tried = frozenset(state.tried)
        return Requeue(state.request.request_id, not_before_s, tried, state.resume_token)

    def _refuse(self, attempt: Attempt, status: int, reason: str, fate: Fate) -> Refuse:
        sent = attempt.dispatch
        self._requests.pop(sent.request_id, None)
        retry_after_s = max(1.0, self._budget.refill_s()) if fate is Fate.NOT_RUN else None
        return Refuse(
            sent.request_id, status, reason, fate, "attempt", sent.vm, retry_after_s=retry_after_s
        )

    def _of_request(self, request_id: RequestId) -> list[Attempt]:
        return [a for a in self._attempts.values() if a.dispatch.request_id == request_id]

    def _forget(self, attempt: Attempt) -> list[AttemptDecision]:
        attempt_id = attempt.dispatch.attempt_id
        return [TaskEnded(attempt_id)] if self._attempts.pop(attempt_id, None) else []

"""Stateful property test: lost, duplicated or reordered events never break the guarantees.

The guarantees: at most one run of a non-idempotent request, no false report that a request did not
run, one final answer per request, and no permit returned before its task has ended.
"""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import dataclass
from typing import Any

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.core.attempts.common import LEASE_S, Session, make_request
from toucandoor.core.attempts.models import (
    AnswerFetched,
    FetchAnswer,
    QueryTask,
    Requeue,
    StopTask,
    TaskEnded,
    TaskQueried,
    TaskState,
)
from toucandoor.core.requests.models import (
    Answer,
    AttemptEnded,
    AttemptOutcome,
    ExecutionStatus,
    Refuse,
    Request,
)
from toucandoor.ids import AttemptId, RequestId

_START_WITHIN_S = 1.0
_VMS = strategies.sampled_from(["vm-1", "vm-2"])


@dataclass
class _Task:
    """Actual state of an attempt's task, which the tracker can't see."""

    request: Request
    vm: str
    start_by_s: float
    state: str = "on its way"
    lease_until_s: float = 0.0


class AttemptMachine(RuleBasedStateMachine):
    """Callers, the tracker of one entry and two backend servers over an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        self.session = Session(retry_tokens=2.0)
        self.tasks: dict[str, _Task] = {}
        self.up_since_s = {"vm-1": -100.0, "vm-2": -100.0}
        self.fenced: set[tuple[str, str]] = set()
        self.runs: Counter[RequestId] = Counter()
        self.requeued: list[Request] = []
        self.final_answers: Counter[RequestId] = Counter()
        self.queries: list[QueryTask | StopTask] = []
        self.fetching: list[FetchAnswer] = []
        self.delayed_replies: list[TaskQueried] = []
        self.reported_not_run: set[RequestId] = set()
        self.requests = 0

    @property
    def now_s(self) -> float:
        return self.session.clock.monotonic_s()

    def apply(self, decisions: list[Any]) -> None:
        for decision in decisions:
            match decision:
                case Requeue():
                    self.requeued.append(self.request_of(decision.request_id))
                case QueryTask() | StopTask():
                    self.queries.append(decision)
                case FetchAnswer():
                    self.fetching.append(decision)
                case Answer():
                    assert self.tasks[decision.attempt_id].state == "finished"
                    assert self.tasks[decision.attempt_id].request.request_id == decision.request_id
                    self.final_answers[decision.request_id] += 1
                case Refuse():
                    self.final_answers[decision.request_id] += 1
                    if decision.fate is ExecutionStatus.NOT_RUN:
                        self.reported_not_run.add(decision.request_id)
                case TaskEnded():
                    task = self.tasks[decision.attempt_id]
                    assert not self.may_run(
                        decision.attempt_id, task
                    ), "permit returned before its task ended"

    def may_run(self, attempt_id: str, task: _Task) -> bool:
        if task.state == "on its way":
            fenced = (task.vm, attempt_id) in self.fenced
            return not fenced and self.now_s <= task.start_by_s
        return task.state == "running" and self.now_s < task.lease_until_s

    def request_of(self, request_id: RequestId) -> Request:
        return next(t.request for t in self.tasks.values() if t.request.request_id == request_id)

    def find_task(self, number: int, *states: str) -> tuple[str, _Task] | None:
        found = [(i, t) for i, t in self.tasks.items() if t.state in states]
        return found[-1 - number % len(found)] if found else None

    def end_leases(self) -> None:
        for task in self.tasks.values():
            if task.state == "running" and self.now_s >= task.lease_until_s:
                task.state = "failed"

    @precondition(lambda self: self.requests < 3)
    @rule(idempotent=strategies.booleans(), vm=_VMS, arrives=strategies.booleans())
    def submit(self, idempotent: bool, vm: str, arrives: bool) -> None:
        self.requests += 1
        self.send(make_request(f"r{self.requests}", idempotent=idempotent), vm, arrives)

    @precondition(lambda self: self.requeued)
    @rule(vm=_VMS, arrives=strategies.booleans())
    def send_again(self, vm: str, arrives: bool) -> None:
        self.send(self.requeued.pop(0), vm, arrives)

    def send(self, request: Request, vm: str, arrives: bool) -> None:
        attempt = f"a{len(self.tasks) + 1}"
        self.tasks[attempt] = _Task(request, vm, self.now_s + _START_WITHIN_S)
        self.session.start(request, attempt, vm)
        if arrives:
            self.arrive(0)

    @precondition(lambda self: self.find_task(0, "on its way"))
    @rule(number=strategies.integers(0, 9))
    def arrive(self, number: int) -> None:
        found = self.find_task(number, "on its way")
        if found and self.may_run(*found):
            self.runs[found[1].request.request_id] += 1
            found[1].state, found[1].lease_until_s = "running", self.now_s + LEASE_S

    @precondition(lambda self: self.find_task(0, "running"))
    @rule(number=strategies.integers(0, 9), state=strategies.sampled_from(["finished", "failed"]))
    def end_task(self, number: int, state: str) -> None:
        found = self.find_task(number, "running")
        if found:
            found[1].state = state

    @precondition(lambda self: self.tasks)
    @rule(vm=_VMS)
    def restart_server(self, vm: str) -> None:
        self.up_since_s[vm] = self.now_s
        self.fenced = {fence for fence in self.fenced if fence[0] != vm}
        for task in self.tasks.values():
            if task.vm == vm and task.state in ("running", "finished", "failed", "on its way"):
                task.state = "lost"

    @precondition(lambda self: self.find_task(0, "finished", "failed", "refused"))
    @rule(number=strategies.integers(0, 9))
    def thread_sees_end(self, number: int) -> None:
        found = self.find_task(number, "finished", "failed", "refused")
        if found:
            outcome = {
                "finished": AttemptOutcome.ANSWERED,
                "failed": AttemptOutcome.FAILED,
                "refused": AttemptOutcome.BUSY,
            }[found[1].state]
            self.apply(self.session.event(AttemptEnded(AttemptId(found[0]), outcome)))

    @precondition(lambda self: self.find_task(0, "on its way"))
    @rule(number=strategies.integers(0, 9))
    def refuse(self, number: int) -> None:
        found = self.find_task(number, "on its way")
        if found:
            found[1].state = "refused"

    @precondition(lambda self: self.tasks)
    @rule(number=strategies.integers(0, 9))
    def thread_loses_connection(self, number: int) -> None:
        found = self.find_task(number, "on its way", "running", "finished", "failed", "lost")
        if found:
            event = AttemptEnded(AttemptId(found[0]), AttemptOutcome.UNKNOWN)
            self.apply(self.session.event(event))

    @precondition(lambda self: self.queries)
    @rule(number=strategies.integers(0, 9), lost=strategies.booleans(), late=strategies.booleans())
    def ask_server(self, number: int, lost: bool, late: bool) -> None:
        query = self.queries.pop(number % len(self.queries))
        reply = self.reply_to(query)
        reply = TaskQueried(query.attempt_id, None) if lost else reply
        if late:
            self.delayed_replies.append(reply)
        else:
            self.apply(self.session.event(reply))

    def reply_to(self, query: QueryTask | StopTask) -> TaskQueried:
        task = self.tasks[query.attempt_id]
        up_s = self.now_s - self.up_since_s[task.vm]
        if task.state in ("on its way", "lost", "refused"):
            self.fenced.add((task.vm, query.attempt_id))
            return TaskQueried(query.attempt_id, TaskState.NEVER_SEEN, up_s)
        renews = isinstance(query, QueryTask) and query.renew and self.now_s <= query.start_by_s
        if task.state == "running" and renews:
            task.lease_until_s = max(task.lease_until_s, self.now_s + LEASE_S)
        return TaskQueried(query.attempt_id, TaskState(task.state), up_s)

    @precondition(lambda self: self.delayed_replies)
    @rule(number=strategies.integers(0, 9), again=strategies.booleans())
    def late_reply_arrives(self, number: int, again: bool) -> None:
        index = number % len(self.delayed_replies)
        reply = self.delayed_replies[index] if again else self.delayed_replies.pop(index)
        self.apply(self.session.event(reply))

    @precondition(lambda self: self.fetching)
    @rule(whole=strategies.booleans())
    def fetch(self, whole: bool) -> None:
        fetch = self.fetching.pop()
        available = self.tasks[fetch.attempt_id].state == "finished"
        self.apply(self.session.event(AnswerFetched(fetch.attempt_id, whole and available)))

    @precondition(lambda self: self.requests > 2)
    @rule(number=strategies.integers(1, 9))
    def cancel(self, number: int) -> None:
        request_id = RequestId(f"r{number % self.requests + 1}")
        self.final_answers[request_id] += not self.final_answers[request_id]
        self.requeued = [each for each in self.requeued if each.request_id != request_id]
        self.apply(self.session.cancel(self.request_of(request_id)))

    @precondition(lambda self: self.tasks)
    @rule(after_s=strategies.sampled_from([0.1, 0.6, 1.1, 2.1, 5.0, 12.0]))
    def pass_time(self, after_s: float) -> None:
        self.session.clock.advance(after_s)
        self.end_leases()
        self.apply(self.session.tick(0.0))

    @invariant()
    def at_most_once(self) -> None:
        for task in self.tasks.values():
            if not task.request.idempotent:
                assert self.runs[task.request.request_id] <= 1, "non-idempotent request ran twice"

    @invariant()
    def reported_not_run_never_ran(self) -> None:
        for request_id in self.reported_not_run:
            assert self.runs[request_id] == 0, "request reported as not run, but it ran"

    @invariant()
    def one_final_answer(self) -> None:
        assert all(
            count <= 1 for count in self.final_answers.values()
        ), "request got two final answers"

    def teardown(self) -> None:
        """Let all tasks and leases end, and check that every permit is returned."""
        for _ in range(4):
            self.queries.clear()
            self.session.clock.advance(60.0)
            self.end_leases()
            for attempt_id in list(self.tasks):
                event = AttemptEnded(AttemptId(attempt_id), AttemptOutcome.UNKNOWN)
                self.apply(self.session.event(event))
                self.apply(self.session.event(TaskQueried(AttemptId(attempt_id), None)))
            for fetch in self.fetching:
                self.apply(self.session.event(AnswerFetched(fetch.attempt_id, False)))
            self.fetching.clear()
        self.apply(self.session.tick(60.0))
        assert not len(self.session.tracker), "permit of an ended task was not returned"


AttemptMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
)


class AttemptMachineTest(AttemptMachine.TestCase, unittest.TestCase):
    pass

"""State machine of admission on the request engine.

Guards against requests that are lost, answered twice, started late or never started.
"""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.core.admission.session import TEAMS, Session
from toucandoor.core.requests.models import (
    Answer,
    AttemptOutcome,
    Decision,
    Dispatch,
    Preempt,
    PreemptMethod,
    Refuse,
    RequestClass,
)

SLOTS = 2
RESERVE = 1
WAITING_MAX = 6


class AdmissionMachine(RuleBasedStateMachine):
    baseline = False

    def __init__(self) -> None:
        super().__init__()
        self.session = Session(slots=SLOTS, waiting_max=WAITING_MAX, baseline=self.baseline)
        self.requests: dict[str, tuple[RequestClass, PreemptMethod | None, float]] = {}
        self.finals: Counter[str] = Counter()
        self.preempting: dict[str, PreemptMethod] = {}
        self.preempted: Counter[str] = Counter()
        self.failed: set[str] = set()

    def _record(self, decisions: list[Decision]) -> None:
        now_s = self.session.clock.monotonic_s()
        for decision in decisions:
            name = decision.request_id
            match decision:
                case Dispatch():
                    assert not self.finals[name], "started after its final answer"
                    assert self.requests[name][2] > now_s, "started after its deadline"
                case Preempt(how=how):
                    assert self.requests[name][0] is RequestClass.PATIENT
                    assert name not in self.preempting
                    self.preempting[name] = how
                case Answer() | Refuse():
                    self.finals[name] += 1
                    assert self.finals[name] == 1, "answered twice"
        # The backend server stops a task whose request has had its final answer.
        while name := next((each for each in self.session.running if self.finals[each]), None):
            self.preempting.pop(name, None)
            self._record(self.session.end(name, AttemptOutcome.STOPPED))

    @rule(
        urgent=st.booleans(),
        team=st.sampled_from(TEAMS),
        how=st.sampled_from([None, *PreemptMethod]),
        deadline_s=st.sampled_from([1.0, 20.0, 200.0]),
    )
    def submit(self, urgent: bool, team: str, how: PreemptMethod | None, deadline_s: float) -> None:
        name = f"r{len(self.requests)}"
        kind = RequestClass.URGENT if urgent else RequestClass.PATIENT
        self.requests[name] = (kind, how, self.session.clock.monotonic_s() + deadline_s)
        self._record(
            self.session.submit(name, urgent=urgent, team=team, how=how, deadline_s=deadline_s)
        )

    @precondition(lambda self: self.session.running)
    @rule(data=st.data(), outcome=st.sampled_from(["answered", "busy", "failed"]))
    def end(self, data: st.DataObject, outcome: str) -> None:
        name = data.draw(st.sampled_from(sorted(self.session.running)))
        self.preempting.pop(name, None)
        if outcome == "failed":
            self.failed.add(name)
        self._record(self.session.end(name, AttemptOutcome(outcome)))

    @precondition(lambda self: self.preempting)
    @rule(data=st.data())
    def preempt(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.preempting)))
        how = self.preempting.pop(name)
        self.preempted[name] += 1
        stopped = how is PreemptMethod.STOP
        outcome = AttemptOutcome.STOPPED if stopped else AttemptOutcome.CHECKPOINTED
        self._record(self.session.end(name, outcome, "token"))

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def cancel_wave(self, data: st.DataObject) -> None:
        for name in data.draw(st.lists(st.sampled_from(sorted(self.requests)), unique=True)):
            self._record(self.session.cancel(name))

    @rule(seconds=st.sampled_from([0.0, 0.5, 3.0, 31.0]), paused=st.booleans())
    def wait(self, seconds: float, paused: bool) -> None:
        """Advance the clock; a paused process gets other events before its next tick."""
        if paused:
            self.session.clock.advance(seconds)
        else:
            self._record(self.session.after(seconds))

    @invariant()
    def every_request_is_somewhere(self) -> None:
        counts = self.session.engine.counts()
        answered = sum(self.finals.values())
        assert counts["waiting"] + counts["running"] + answered == len(self.requests)
        assert counts["running"] == len(self.session.running) <= SLOTS

    @invariant()
    def fixed_patient_work_stays_out_of_the_reserve(self) -> None:
        fixed = sum(
            self.requests[name][:2] == (RequestClass.PATIENT, None) for name in self.session.running
        )
        assert fixed <= SLOTS - RESERVE

    @invariant()
    def preemptions_are_bounded(self) -> None:
        assert all(count <= 3 for count in self.preempted.values())

    def teardown(self) -> None:
        """Check that all waiting requests are started or refused once attempts end."""
        for _ in range(4 * len(self.requests)):
            if not self.session.running:
                break
            name = min(self.session.running)
            self.preempting.pop(name, None)
            self._record(self.session.end(name))
        self._record(self.session.after(0.0))
        # A request that failed on the only backend server may wait for another until its deadline.
        assert set(self.requests) - set(self.finals) <= self.failed
        self._record(self.session.after(201.0))
        assert self.session.engine.counts() == {"waiting": 0, "running": 0}
        assert set(self.finals) == set(self.requests)


AdmissionMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


class AdmissionMachineTest(AdmissionMachine.TestCase, unittest.TestCase):
    pass

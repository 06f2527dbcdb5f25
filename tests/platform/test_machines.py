"""The platform's VM list and the adviser of queues: decoding of their answers."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from tests.platform.stub_server import Answer, StubServer
from toucandoor.core.jobs.models import StepKey
from toucandoor.core.scheduling.workers import (
    Advice,
    OrderRefusal,
    OrderRefusedError,
    VmState,
)
from toucandoor.ids import JobId, WorkerId
from toucandoor.platform.http import Answer as HttpAnswer
from toucandoor.platform.http import PlatformHttp
from toucandoor.platform.machines import PlatformAdvice, PlatformVms


class MachinesTest(unittest.TestCase):
    """Calls to a stub server over a socket."""

    def setUp(self) -> None:
        self.answers: list[Answer] = []
        self.bodies: list[Any] = []
        server = StubServer(self.answer)
        self.addCleanup(server.stop)
        self.address = server.address

    def answer(
        self, _method: str, _path: str, query: dict[str, str], body: Any, _headers: dict[str, str]
    ) -> Answer:
        self.bodies.append(body or query)
        return self.answers.pop(0)

    # Guards against runs that are started again as their VM is in a state of a later version.
    def test_a_vm_in_an_unknown_state_is_not_down(self) -> None:
        states = ("up", "moving", "upkeep", "down", "resting")
        machines = [{"machine": f"m{state}", "pool": "p", "state": state} for state in states]
        self.answers = [
            (200, {"machines": machines[:2], "next_token": "2"}),
            (200, {"machines": machines[2:]}),
        ]
        found = PlatformVms(PlatformHttp(), self.address).list()
        self.assertEqual(
            [vm.state for vm in found],
            [VmState.UP, VmState.MOVING, VmState.MAINTENANCE, VmState.DOWN, VmState.UNKNOWN],
        )
        self.assertEqual(self.bodies, [{}, {"page_token": "2"}])

    def test_advice(self) -> None:
        answer = {"approved": [["w1", "t-1"], ["w3", "t-3"]], "validity_ms": 600}
        self.answers = [(200, answer), (429, {}), (500, {})]
        advice = PlatformAdvice(PlatformHttp(), self.address)
        step = StepKey(JobId("5c0e7a21d94b36f8"), 0, 1)
        workers = (WorkerId("w1"), WorkerId("w2"), WorkerId("w3"))
        found = advice.advise(step, workers, 2.0)
        self.assertEqual(found, Advice({workers[0]: "t-1", workers[2]: "t-3"}, 0.6))
        self.assertEqual(self.bodies[0], {"phase": "5c0e7a21d94b36f8.0.1", "workers": [*workers]})
        for refusal in (OrderRefusal.UNHEALTHY, OrderRefusal.REJECTED):
            with self.assertRaises(OrderRefusedError) as raised:
                advice.advise(step, workers, 2.0)
            self.assertIs(raised.exception.refusal, refusal)

    # Guards against a time-out that does not grow with the call.
    def test_an_answer_is_waited_for_as_long_as_the_call_says(self) -> None:
        http = mock.Mock()
        http.call.return_value = HttpAnswer(200, b'{"approved":[]}', "advice.ask", "a:1")
        step = StepKey(JobId("5c0e7a21d94b36f8"), 0, 1)
        PlatformAdvice(http, "a:1").advise(step, (WorkerId("w1"),), 6.5)
        self.assertEqual(http.call.call_args.kwargs["timeout_s"], 6.5)


if __name__ == "__main__":
    unittest.main()

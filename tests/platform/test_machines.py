"""The platform's VM list and the adviser of queues: decoding of their answers."""

from __future__ import annotations

import unittest
from typing import Any

from tests.platform.stub_server import Answer, StubServer
from toucandoor.core.scheduling.workers import VmState
from toucandoor.platform.http import PlatformHttp
from toucandoor.platform.machines import PlatformVms


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


if __name__ == "__main__":
    unittest.main()

"""Golden session: a job of two steps with a lost answer, a failed run and a failover."""

from __future__ import annotations

import unittest
from typing import Any

from tests.common import verify_session
from tests.core.scheduling.common import CAPACITY, NEEDS, POOL, configuration, job
from toucandoor.core.jobs.models import Step, TaskKey
from toucandoor.core.scheduling.workers import EndReason
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.fakes.virtual_platform import TaskBehaviour
from toucandoor.ids import WorkerId


class SessionTest(unittest.TestCase):
    """Calls to the store and the backend servers, and the records written, in order."""

    def test_session(self) -> None:
        failed: list[TaskKey] = []

        def behaviour(task: TaskKey, _worker: WorkerId) -> TaskBehaviour:
            if task.number == 0 and not failed:
                failed.append(task)
                return TaskBehaviour(NEEDS, 0.3, EndReason.FAILED)
            return TaskBehaviour(NEEDS, 1.0)

        fleet = VirtualFleet(configuration(), behaviour)
        lines: list[dict[str, Any]] = []

        def record_call(kind: str) -> CallOutcome:
            lost = kind == "start" and sum(line.get("call") == "start" for line in lines) == 1
            outcome = CallOutcome.ANSWER_LOST if lost else CallOutcome.ANSWERED
            lines.append({"at_s": self.at(fleet), "call": kind, "fate": outcome.value})
            return outcome

        fleet.calls.choose_outcome = record_call
        forward_change = fleet.records.on_change

        def record_change(key: str, value: Any) -> None:
            if key.startswith("progress/"):
                text = value.value.decode() if value is not None else None
                lines.append({"at_s": self.at(fleet), "record": key, "value": text})
            assert forward_change is not None
            forward_change(key, value)

        fleet.records.on_change = record_change
        for number in range(2):
            fleet.boot(f"w{number}", POOL, CAPACITY)
        fleet.take_over()
        fleet.submit(job(1, Step(2, NEEDS), Step(1, NEEDS, after=(0,))))
        fleet.run(1.2)
        fleet.take_over()
        fleet.run(4.0)
        verify_session(lines)

    def at(self, fleet: VirtualFleet) -> float:
        return round(fleet.clock.monotonic_s() - 100.0, 3)


if __name__ == "__main__":
    unittest.main()

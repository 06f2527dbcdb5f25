"""Tests of the urgent reserve with real processes and sockets."""

from __future__ import annotations

import json
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.programs.test_path import write_folder
from toucandoor.measures._deployment import LocalDeployment

TARGET_S = 1.3
SLOTS = 2


class ReserveTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        folder = Path(scratch.name)
        write_folder(folder)
        file = folder / "10-all.toml"
        one_vm = file.read_text().partition("[vms.w-2]")[0]
        file.write_text(f"{one_vm}slots = {SLOTS}\n")
        self.deployment = self.enterContext(LocalDeployment(folder, ["dc-1"]))
        self.assertEqual(self.deployment.run_command("apply", str(folder)).returncode, 0)
        self.deployment.wait_ready()

    def _send(self, name: str, run_s: float, headers: dict[str, str]) -> tuple[str, float]:
        body = json.dumps({"run_s": run_s, "result": name}).encode()
        sent_s = time.monotonic()
        answer = self.deployment.request("q", body, key="secret-of-a", headers=headers)
        self.assertEqual(answer.status, 200, answer.data)
        return json.loads(answer.data)["result"], time.monotonic() - sent_s

    def test_urgent_work_starts_in_time_and_patient_work_finishes(self) -> None:
        patient = {"Toucandoor-Preempt": "checkpoint"}
        urgent = {"Toucandoor-Class": "urgent"}
        with ThreadPoolExecutor(4) as threads:
            long = [threads.submit(self._send, f"p{n}", 4.0, patient) for n in range(SLOTS)]
            time.sleep(0.5)
            answer, taken_s = self._send("u", 0.05, urgent)
            self.assertEqual(answer, "u")
            self.assertLess(taken_s, TARGET_S)
            self.assertEqual([each.result()[0] for each in long], ["p0", "p1"])

    def test_stop_is_refused_for_a_request_that_must_not_run_twice(self) -> None:
        answer = self.deployment.request(
            "q", b"{}", key="secret-of-a", headers={"Toucandoor-Preempt": "stop"}
        )
        self.assertEqual((answer.status, json.loads(answer.data)["fate"]), (400, "not_run"))

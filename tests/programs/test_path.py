"""Tests of the complete request path with separate processes on loopback addresses."""

from __future__ import annotations

import json
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

from toucandoor.core.keys import secret_digest
from toucandoor.measures._deployment import LocalDeployment, free_address

_FOLDER = f"""
[data_centres.dc-1]
region = "r-1"
[pools.p]
unavailable_max = 1
[queues.q]
pool = "p"
[queues.open]
pool = "p"
open_to_all = true
[teams.a]
ceiling_running = 4
[teams.a.keys.a-1]
sha256 = "{secret_digest('secret-of-a')}"
[teams.none]
ceiling_running = 0
[teams.none.keys.none-1]
sha256 = "{secret_digest('secret-of-none')}"
[vms.w-1]
pool = "p"
data_centre = "dc-1"
rack = "r"
address = "{{w_1}}"
[vms.w-2]
pool = "p"
data_centre = "dc-1"
rack = "r"
address = "{{w_2}}"
"""


def write_folder(folder: Path) -> list[str]:
    """Write a configuration with two backend servers and return their free addresses."""
    addresses = [free_address(), free_address()]
    text = _FOLDER.format(w_1=addresses[0], w_2=addresses[1])
    (folder / "10-all.toml").write_text(text)
    return addresses


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        scratch = TemporaryDirectory()
        cls.addClassCleanup(scratch.cleanup)
        folder = Path(scratch.name)
        write_folder(folder)
        cls.deployment = cls.enterClassContext(LocalDeployment(folder, ["dc-1", "dc-1"]))
        applied = cls.deployment.run_command("apply", str(folder), "--json")
        assert applied.returncode == 0, applied.stderr
        cls.deployment.wait_ready()

    def test_keyed_requests_through_both_entries_are_answered(self) -> None:
        def send(number: int) -> str:
            body = json.dumps({"run_s": 0.02, "result": number}).encode()
            answer = self.deployment.request("q", body, key="secret-of-a", entry=number % 2)
            self.assertEqual(answer.status, 200, answer.data)
            return json.loads(answer.data)["result"]

        with ThreadPoolExecutor(16) as pool:
            self.assertEqual(list(pool.map(send, range(60))), list(range(60)))

    def test_refusals_name_the_step_and_say_not_run(self) -> None:
        table = [
            ("q", "wrong", {}, 401, "admission.key"),
            ("q", None, {}, 401, "admission.key"),
            ("nowhere", "secret-of-a", {}, 404, "admission.queue"),
            ("q", "secret-of-none", {}, 429, "admission.ceiling"),
            ("q", "secret-of-a", {"Toucandoor-Class": "x"}, 400, "http.headers"),
            ("q", "secret-of-a", {"Toucandoor-Deadline-S": "-1"}, 400, "http.headers"),
        ]
        for queue, key, headers, status, step in table:
            with self.subTest(queue=queue, key=key, headers=headers):
                answer = self.deployment.request(queue, b"{}", key=key, headers=headers)
                problem = json.loads(answer.data)
                self.assertEqual(
                    (answer.status, problem["step"], problem["fate"]), (status, step, "not_run")
                )
                self.assertEqual(answer.headers["Content-Type"], "application/problem+json")
                (line,) = [
                    json.loads(each)
                    for each in self.deployment.log("entry-1.entry").splitlines()
                    if problem["request_id"] in each
                ]
                self.assertEqual(line["step"], step)

    def test_open_queue_needs_no_key(self) -> None:
        self.assertEqual(self.deployment.request("open", b"{}").status, 200)

    def test_a_granted_key_works_until_it_is_withdrawn(self) -> None:
        granted = self.deployment.run_command("key", "grant", "a", "a-2", "--json")
        secret = json.loads(granted.stdout)["secret"]
        self.assertEqual(self.deployment.request("q", b"{}", key=secret).status, 200)
        withdrawn = self.deployment.run_command("key", "withdraw", "a-2")
        self.assertEqual(withdrawn.returncode, 0, withdrawn.stdout + withdrawn.stderr)
        for entry in (0, 1):
            self.assertEqual(
                self.deployment.request("q", b"{}", key=secret, entry=entry).status, 401
            )
        again = self.deployment.run_command("key", "grant", "a", "a-2")
        self.assertEqual(again.returncode, 4)

    def test_a_request_is_explained_by_its_own_entry(self) -> None:
        answer = self.deployment.request("q", b"{}", key="secret-of-a", entry=1)
        request_id = answer.headers["Toucandoor-Request-Id"]
        explained = self.deployment.run_command("explain", "request", request_id, entry=1)
        self.assertRegex(
            explained.stdout, r"(?s)patient request of a for q.*sent to w-\d.*answered"
        )
        elsewhere = self.deployment.run_command("explain", "request", request_id, entry=0)
        self.assertEqual((elsewhere.returncode, "entry-2" in elsewhere.stderr), (1, True))
        unknown = self.deployment.run_command("explain", "request", "entry-2-0", entry=1)
        self.assertIn("not_found", unknown.stderr)

    def test_a_second_signal_ends_an_entry_at_once_with_a_final_answer(self) -> None:
        entry = self.deployment.processes["entry-2.entry"]
        with ThreadPoolExecutor(1) as pool:
            sent = pool.submit(self.deployment.request, "open", b'{"run_s": 30}', entry=1)
            time.sleep(0.7)
            entry.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            entry.send_signal(signal.SIGTERM)
            self.assertEqual(entry.process.wait(10), 0)
            problem = json.loads(sent.result(1).data)
        self.assertEqual((problem["status"], problem["fate"]), (503, "unknown"))
        self.assertEqual(problem["step"], "entry.stop")
        entry.start()
        self.deployment.wait_ready()

    def test_racing_operators_get_a_conflict(self) -> None:
        folder = str(self.deployment.folder)
        stale = self.deployment.run_command("apply", folder, "--base-version", "99")
        self.assertEqual(stale.returncode, 4)
        self.assertIn("conflict", stale.stderr)

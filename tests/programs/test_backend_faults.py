"""Tests of the request path with real processes and sockets, while backend servers fail."""

from __future__ import annotations

import json
import threading
import time
import unittest
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from toucandoor.core.attempts.ownership import SubmissionKey, rank_entries
from toucandoor.ids import EntryId, QueueId, TeamId
from toucandoor.measures._faulty_pool import SECRET, FaultyPool

if TYPE_CHECKING:
    from collections.abc import Sequence


def new_key() -> str:
    """Return a version 7 UUID with the current time, which is after the entries' start."""
    random = uuid.uuid4().int & ((1 << 62) - 1)
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (2 << 62) | random
    return str(uuid.UUID(int=value))


def new_key_owned_by(owner: EntryId, entries: Sequence[EntryId]) -> str:
    """Return a new idempotency key of queue ``q`` and team ``a`` that the given entry owns."""
    while True:
        key = new_key()
        if rank_entries(SubmissionKey(QueueId("q"), TeamId("a"), key), entries)[0] == owner:
            return key


class BackendFaultsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.pool = cls.enterClassContext(FaultyPool(2, subnet=9))
        cls.deployment = cls.enterClassContext(cls.pool.make_deployment(entries=2))
        applied = cls.deployment.run_command("apply", str(cls.pool.folder))
        assert applied.returncode == 0, applied.stderr
        cls.deployment.wait_ready()
        time.sleep(1.2)  # keys created from here on are certainly newer than the entries

    def setUp(self) -> None:
        self.name = f"{self.id().rpartition('.')[2]}-{time.monotonic_ns()}"

    def send(
        self, *, run_s: float = 0.0, entry: int = 0, deadline_s: float = 20.0, **headers: str
    ) -> tuple[int, dict[str, Any]]:
        body = json.dumps({"run_s": run_s, "result": self.name}).encode()
        sent = {"Toucandoor-Deadline-S": str(deadline_s)}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        answer = self.deployment.request("q", body, key=SECRET, headers=sent, entry=entry)
        return answer.status, json.loads(answer.data)

    def silence_connections(self) -> None:
        for middlebox in self.pool.middleboxes:
            middlebox.blackhole_connections()

    def test_silent_connections_are_replaced_and_their_tasks_queried(self) -> None:
        self.send()
        timer = threading.Timer(0.3, self.silence_connections)
        timer.start()
        started_s = time.monotonic()
        self.assertEqual(self.send(run_s=1.0), (200, {"result": self.name}))
        self.assertLess(time.monotonic() - started_s, 5.0)
        self.assertEqual(self.pool.run_counts()[self.name], 2)
        timer.join()

    def test_a_request_sent_over_a_silent_connection_runs_once(self) -> None:
        with ThreadPoolExecutor(8) as threads:
            list(threads.map(lambda _: self.send(run_s=0.1), range(8)))
        self.name += "-after"
        self.silence_connections()
        self.assertEqual(self.send(), (200, {"result": self.name}))
        self.assertEqual(self.pool.run_counts()[self.name], 1)

    def test_a_truncated_answer_is_fetched_again_completely(self) -> None:
        for middlebox in self.pool.middleboxes:
            middlebox.truncate_answers(1)
        self.assertEqual(self.send(), (200, {"result": self.name}))
        self.assertEqual(self.pool.run_counts()[self.name], 1)

    def test_a_frozen_server_gives_an_unknown_outcome_and_runs_nothing_late(self) -> None:
        for number in range(2):
            self.pool.freeze(number)
        self.addCleanup(self.thaw)
        started_s = time.monotonic()
        status, problem = self.send()
        self.assertEqual((status, problem.get("fate")), (504, "unknown"), problem)
        self.assertLess(time.monotonic() - started_s, 6.0)
        self.thaw()
        time.sleep(1.0)
        self.assertEqual(self.pool.run_counts()[self.name], 0)

    def thaw(self) -> None:
        for number in range(2):
            self.pool.resume(number)
        time.sleep(1.5)

    def test_a_job_that_always_fails_is_answered(self) -> None:
        for number in range(2):
            self.pool.set_worker_faults(number, fail_all=True)
        try:
            status, problem = self.send(Toucandoor_Idempotent="true")
            self.assertEqual((status, problem["fate"]), (502, "failed"))
        finally:
            for number in range(2):
                self.pool.set_worker_faults(number, fail_all=False)

    def test_a_draining_server_gets_no_new_tasks_until_its_drain_is_undone(self) -> None:
        self.pool.set_draining(0)
        self.addCleanup(self.pool.set_draining, 0, on=False)
        drained_s = time.time()
        while time.time() < drained_s + 6.0:
            self.assertEqual(self.send()[0], 200)
        self.assertLess(self.pool.last_received_unix_s(0) - drained_s, 5.0)
        self.pool.set_draining(0, on=False)
        undrained_s = time.time()
        while self.pool.last_received_unix_s(0) < undrained_s:
            self.assertLess(time.time() - undrained_s, 5.0, "not used again")
            self.send()

    def test_idempotent_requests_succeed_while_one_server_fails_every_task(self) -> None:
        for _ in range(10):
            self.send()
        self.pool.set_worker_faults(0, fail_all=True)
        self.addCleanup(self.pool.set_worker_faults, 0, fail_all=False)
        answers = [self.send(Toucandoor_Idempotent="true") for _ in range(30)]
        self.assertEqual({status for status, _ in answers}, {200})

    def test_answers_of_other_requests_are_discarded(self) -> None:
        for number in range(2):
            self.pool.set_worker_faults(number, cross_answers=True)
            self.addCleanup(self.pool.set_worker_faults, number, cross_answers=False)
        first = self.name
        for number in range(6):
            self.name = f"{first}-{number}"
            status, answer = self.send()
            if status == 200:
                self.assertEqual(answer, {"result": self.name})
            else:
                self.assertEqual((status, answer["fate"]), (504, "unknown"))
            self.assertEqual(self.pool.run_counts()[self.name], 1)

    def test_a_repeat_through_another_entry_gets_the_first_answer(self) -> None:
        key = new_key()
        for entry in (0, 1, 0):
            answer = self.send(entry=entry, Idempotency_Key=key)
            self.assertEqual(answer, (200, {"result": self.name}))
        self.assertEqual(self.pool.run_counts()[self.name], 1)

    def test_a_repeat_while_the_first_runs_waits_for_its_answer(self) -> None:
        key = new_key()
        with ThreadPoolExecutor(2) as threads:
            first = threads.submit(self.send, run_s=1.0, Idempotency_Key=key)
            time.sleep(0.3)
            repeat = threads.submit(self.send, run_s=1.0, entry=1, Idempotency_Key=key)
            self.assertEqual(first.result(), (200, {"result": self.name}))
            self.assertEqual(repeat.result(), (200, {"result": self.name}))
        self.assertEqual(self.pool.run_counts()[self.name], 1)

    def test_a_key_older_than_its_owner_is_not_run(self) -> None:
        old = str(uuid.UUID(int=(int((time.time() - 300) * 1000) << 80) | (7 << 76) | (2 << 62)))
        status, problem = self.send(Idempotency_Key=old)
        self.assertEqual((status, problem["fate"]), (503, "not_run"))
        self.assertEqual(problem["step"], "idempotency.claim")
        self.assertEqual(self.pool.run_counts()[self.name], 0)


class DeadEntryTest(unittest.TestCase):
    def test_a_repeat_after_its_entry_was_killed_runs_nothing_twice(self) -> None:
        """Keys owned by the killed entry are refused; keys of the other one get the answer."""
        with FaultyPool(2, subnet=10) as pool, pool.make_deployment(entries=2) as system:
            self.assertEqual(system.run_command("apply", str(pool.folder)).returncode, 0)
            system.wait_ready()
            time.sleep(1.2)
            entries = [EntryId(vm.entry_id) for vm in system.entry_vms]
            owners = {f"job-{number}": entries[number % 2] for number in range(6)}
            keys = {name: new_key_owned_by(owner, entries) for name, owner in owners.items()}

            def send(name: str, entry: int) -> int:
                body = json.dumps({"run_s": 1.5, "result": name}).encode()
                headers = {"Idempotency-Key": keys[name]}
                try:
                    answer = system.request("q", body, key=SECRET, headers=headers, entry=entry)
                except Exception:
                    return 0
                return answer.status

            with ThreadPoolExecutor(6) as threads:
                first = [threads.submit(send, name, 0) for name in keys]
                time.sleep(0.8)
                system.processes["entry-1.entry"].process.kill()
                self.assertEqual({each.result() for each in first}, {0})
                statuses = dict(
                    zip(keys, threads.map(lambda name: send(name, 1), keys), strict=True)
                )
            expected = {name: 503 if owner == entries[0] else 200 for name, owner in owners.items()}
            self.assertEqual(statuses, expected)
            self.assertEqual(max(pool.run_counts().values()), 1)

"""What callers get for their jobs after a version of the configuration has renamed the queue."""

from __future__ import annotations

import io
import json
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from tests.core.scheduling.common import NEEDS, QUEUE, TEAM, fleet, never_ends
from toucandoor.adapters.job_callers import JobApi
from toucandoor.adapters.job_service import PENDING_CACHE_S, StoreJobService
from toucandoor.core.jobs.configuration import JobConfiguration
from toucandoor.ids import ConfigVersion, QueueId, TeamId

RUNNING = "00000000000000a1"
WAITING = "00000000000000a2"
OTHER = QueueId("other")


def version(
    number: int, present: JobConfiguration, *queues: tuple[str, str], team: str = TEAM
) -> JobConfiguration:
    """Return a version with queues of certain names and path prefixes, and a team."""
    queue = present.queues[QUEUE]
    return JobConfiguration(
        ConfigVersion(number),
        {
            QueueId(name): replace(queue, name=QueueId(name), path_prefix=prefix)
            for name, prefix in queues
        },
        present.pools,
        {TeamId(team): replace(present.teams[TEAM], name=TeamId(team))},
    )


class RenamedQueuesTest(unittest.TestCase):
    """A node and the schedule's owner on one store; one job runs and one waits for a server."""

    def setUp(self) -> None:
        self.fleet = fleet(1, never_ends)
        self.first = self.fleet.configuration
        store = mock.Mock()
        store.read.side_effect = self.fleet.records.records.get
        store.write.side_effect = self.fleet.records.write
        self.in_force = self.first
        self.app = JobApi(
            StoreJobService(store, self.fleet.clock),
            lambda: self.in_force,
            self.fleet.clock,
            mock.Mock(),
            lambda: True,
        )
        tasks = {"count": 1, "cpu": NEEDS.cpu_millicores, "mem_mb": 10, "estimate_ms": 1000}
        self.assertEqual(self.call("POST", f"/n/{RUNNING}", phases=[tasks])[0], 200)
        self.fleet.run(1.0)
        waits = tasks | {"constraints": "no server has it"}
        self.assertEqual(self.call("POST", f"/n/{WAITING}", phases=[waits])[0], 200)
        self.fleet.run(1.0)

    def put_in_force(self, configuration: JobConfiguration) -> None:
        self.in_force = self.fleet.configuration = configuration
        self.fleet.scheduler.set_configuration(configuration)
        self.run_and_count()

    def run_and_count(self) -> None:
        """Let a second pass, and store the count of waiting jobs."""
        self.fleet.run(1.0 + PENDING_CACHE_S)
        commit = self.fleet.scheduler.pending_commit()
        if commit is not None:
            self.fleet.records.write(commit)
            self.fleet.scheduler.pending_written(ok=True)

    def call(self, method: str, path: str, **body: Any) -> tuple[int, Any]:
        answered: list[int] = []
        data = json.dumps(body | {"spec": "x"}).encode() if body else b""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "north.example",
            "HTTP_AUTHORIZATION": "Bearer key",
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        answer = self.app(environ, lambda status, _headers: answered.append(int(status[:3])))
        return answered[0], json.loads(b"".join(answer))

    def assert_known(self, prefix: str = "/n/") -> None:
        self.assertEqual(self.call("GET", prefix + RUNNING), (200, {"state": "in_progress"}))
        self.assertEqual(self.call("GET", prefix + WAITING), (200, {"state": "queued"}))
        self.assertEqual(self.call("GET", prefix), (200, {"pending": 1}))

    # Guards against the answer that a running job does not exist, once its queue is renamed.
    def test_jobs_of_a_renamed_queue_are_shown_and_counted(self) -> None:
        self.put_in_force(version(2, self.first, ("south", "/n/")))
        self.assert_known()
        self.fleet.take_over()
        self.run_and_count()
        self.assert_known()

    # Guards against a running job of a renamed queue that nobody can cancel any more.
    def test_a_job_of_a_renamed_queue_is_cancelled(self) -> None:
        self.put_in_force(version(2, self.first, ("south", "/n/"), team="crew"))
        self.assertEqual(self.call("DELETE", f"/n/{RUNNING}")[0], 200)
        self.fleet.run(2.0)
        self.assertEqual(self.call("GET", f"/n/{RUNNING}"), (200, {"state": "cancelled"}))
        self.assertEqual([len(worker.runs) for worker in self.fleet.workers.values()], [0])

    # Guards against jobs that are shown or cancelled by way of the queue that took the name.
    def test_queues_that_swap_their_names_keep_their_jobs(self) -> None:
        self.put_in_force(version(2, self.first, (QUEUE, "/n/"), (OTHER, "/o/")))
        self.put_in_force(version(3, self.first, (OTHER, "/n/"), (QUEUE, "/o/")))
        self.assert_known()
        self.assertEqual(self.call("GET", f"/o/{RUNNING}")[0], 410)
        self.assertEqual(self.call("DELETE", f"/o/{RUNNING}")[0], 410)
        self.assertEqual(self.call("GET", "/o/"), (200, {"pending": 0}))

    # Guards against jobs that are lost while a version is in force that a later one takes back.
    def test_a_name_that_is_taken_back_changes_nothing(self) -> None:
        for number, name in enumerate(("south", "west", QUEUE), 2):
            self.put_in_force(version(number, self.first, (name, "/n/")))
            self.assert_known()

    def test_a_queue_that_is_removed_and_comes_back_by_another_name_keeps_its_jobs(self) -> None:
        self.put_in_force(version(2, self.first, (OTHER, "/o/")))
        self.assertEqual(self.call("GET", f"/n/{RUNNING}")[0], 404)
        self.put_in_force(version(3, self.first, (OTHER, "/o/"), ("south", "/n/")))
        self.assert_known()

    def test_an_owner_that_begins_while_the_queue_is_removed_counts_its_jobs_later(self) -> None:
        self.put_in_force(version(2, self.first, (OTHER, "/o/")))
        self.fleet.take_over()
        self.run_and_count()
        self.put_in_force(version(3, self.first, (OTHER, "/o/"), ("south", "/n/")))
        self.assert_known()

    # Guards against jobs that are counted for the queue that took the name of their removed one.
    def test_a_removed_queue_whose_name_another_one_took_keeps_its_jobs(self) -> None:
        self.put_in_force(version(2, self.first, (QUEUE, "/o/")))
        self.fleet.take_over()
        self.put_in_force(version(3, self.first, (QUEUE, "/o/"), ("south", "/n/")))
        self.assert_known()
        self.assertEqual(self.call("GET", "/o/"), (200, {"pending": 0}))

    def test_a_queue_that_moves_to_another_address_keeps_its_jobs(self) -> None:
        self.put_in_force(version(2, self.first, (QUEUE, "/m/")))
        self.assert_known("/m/")


if __name__ == "__main__":
    unittest.main()

"""Queues and teams over versions of the configuration that give them other names."""

from __future__ import annotations

import unittest

from tests.core.scheduling.common import job
from toucandoor.core.jobs.configuration import (
    JobConfiguration,
    JobPool,
    JobQueue,
    JobTeam,
    key_digest,
)
from toucandoor.core.jobs.identities import Identities
from toucandoor.core.jobs.models import JobSpec, JobState, Resources
from toucandoor.core.jobs.records import ProgressRecord
from toucandoor.ids import ConfigVersion, PoolId, QueueAddress, QueueId, TeamId

POOL = PoolId("pool")


def version(
    number: int, queues: dict[str, str], teams: dict[str, str] | None = None
) -> JobConfiguration:
    """Return a version with queues by path prefix and teams with the letters of a text as keys."""
    return JobConfiguration(
        ConfigVersion(number),
        {
            QueueId(name): JobQueue(
                QueueId(name), "h", prefix, POOL, False, priority, 1 + priority, 1.6, 0.6
            )
            for priority, (name, prefix) in enumerate(sorted(queues.items(), key=lambda q: q[1]))
        },
        {POOL: JobPool(POOL, True, False)},
        {
            TeamId(name): JobTeam(TeamId(name), frozenset(keys), 1.0, Resources(1000 * len(keys)))
            for name, keys in (teams or {}).items()
        },
    )


def accepted(prefix: str, queue: str, key: str = "", team: str = "") -> JobSpec:
    """Return a job as a node stores it."""
    spec = job(1)
    return JobSpec(
        spec.job_id,
        QueueId(queue),
        TeamId(team),
        "",
        spec.steps,
        spec.terms,
        address=QueueAddress("h" + prefix),
        key_digest=key_digest(key),
    )


class QueuesTest(unittest.TestCase):
    """A queue is the same as long as callers reach it by the same address."""

    def setUp(self) -> None:
        self.identities = Identities()
        self.identities.apply(version(1, {"a": "/1/", "b": "/2/"}))

    def queue_of(self, spec: JobSpec) -> str:
        return self.identities.adopt(spec).queue

    # Guards against jobs of a renamed queue that are counted for no queue.
    def test_a_renamed_queue_keeps_its_id(self) -> None:
        found = self.identities.apply(version(2, {"x": "/1/", "b": "/2/"}))
        self.assertEqual(set(found.queues), {"a", "b"})
        self.assertEqual(found.queues[QueueId("a")].path_prefix, "/1/")
        self.assertEqual(self.identities.queue_name(QueueId("a")), "x")
        self.assertEqual(self.queue_of(accepted("/1/", "a")), "a")
        self.assertEqual(self.queue_of(accepted("/1/", "x")), "a")

    # Guards against jobs that move to the other queue when two swap their names.
    def test_two_queues_that_swap_their_names_keep_their_jobs(self) -> None:
        found = self.identities.apply(version(2, {"b": "/1/", "a": "/2/"}))
        self.assertEqual(found.queues[QueueId("a")].path_prefix, "/1/")
        self.assertEqual(found.queues[QueueId("b")].path_prefix, "/2/")
        for name in ("a", "b"):
            self.assertEqual(self.queue_of(accepted("/1/", name)), "a")
        again = self.identities.apply(version(3, {"a": "/1/", "b": "/2/"}))
        self.assertEqual(again, version(3, {"a": "/1/", "b": "/2/"}))
        self.assertFalse(self.identities.renamed)

    # Guards against a queue that is taken for a former one of which it only has the name.
    def test_a_new_queue_with_a_former_name_is_another_one(self) -> None:
        found = self.identities.apply(version(2, {"x": "/1/", "a": "/3/", "b": "/2/"}))
        self.assertEqual(found.queues[QueueId("a")].path_prefix, "/1/")
        self.assertNotEqual(self.queue_of(accepted("/3/", "a")), "a")
        self.assertEqual(self.identities.queue_name(self.identities.queue_at("h/3/")), "a")

    def test_a_queue_that_moves_to_another_address_is_known_by_its_name(self) -> None:
        found = self.identities.apply(version(2, {"a": "/9/", "b": "/2/"}))
        self.assertEqual(found.queues[QueueId("a")].path_prefix, "/9/")
        self.assertEqual(self.queue_of(accepted("/1/", "a")), "a")

    def test_a_queue_that_is_removed_and_added_again_keeps_its_id(self) -> None:
        self.assertEqual(set(self.identities.apply(version(2, {"b": "/2/"})).queues), {"b"})
        found = self.identities.apply(version(3, {"x": "/1/", "b": "/2/"}))
        self.assertEqual(set(found.queues), {"a", "b"})

    # Guards against jobs that stay without a queue, as it was removed when the term began.
    def test_a_queue_that_the_term_knows_from_a_job_alone_is_recognised(self) -> None:
        spec = self.identities.adopt(accepted("/3/", "c"))
        self.identities.apply(version(2, {"x": "/3/"}))
        self.assertEqual(self.identities.queue_name(spec.queue), "x")
        self.assertEqual(self.identities.address_of(spec.queue), "h/3/")

    # Guards against a job that stays with the queue that took the name of its removed one.
    def test_a_job_returns_to_the_queue_at_its_address(self) -> None:
        self.identities.apply(version(2, {"a": "/9/"}))
        spec = self.identities.adopt(accepted("/1/", "a"))
        self.assertEqual(self.identities.address_of_job(spec.queue, spec.address), "h/9/")
        found = self.identities.apply(version(3, {"a": "/9/", "x": "/1/"}))
        moved = self.identities.move_to_address(spec)
        self.assertEqual(found.queues[moved.queue].path_prefix, "/1/")
        self.assertEqual(self.identities.address_of_job(spec.queue, spec.address), "h/1/")

    def test_records_of_older_builds_are_known_by_name(self) -> None:
        self.identities.apply(version(2, {"x": "/1/", "b": "/2/"}))
        self.assertEqual(self.queue_of(job(1)), "north")
        old = JobSpec(job(1).job_id, QueueId("a"), TeamId(""), "", job(1).steps, job(1).terms)
        self.assertEqual(self.queue_of(old), "a")
        self.assertEqual(self.identities.queue_at("h/1/"), "a")
        self.assertEqual(self.identities.queue_at("x"), "a")

    # Guards against an address that is lost once the job's specification has been removed.
    def test_records_have_present_names_and_the_address(self) -> None:
        self.identities.apply(version(2, {"x": "/1/", "b": "/2/"}))
        stored = self.identities.stored(ProgressRecord(JobState.RUNNING, QueueId("a"), TeamId("t")))
        self.assertEqual((stored.queue, stored.address), ("x", "h/1/"))


class TeamsTest(unittest.TestCase):
    """A team is the same as long as it has one of its keys."""

    def setUp(self) -> None:
        self.identities = Identities()
        self.identities.apply(version(1, {}, {"s": "kl", "t": "m"}))

    def team_of(self, key: str, team: str) -> str:
        return self.identities.adopt(accepted("/1/", "a", key, team)).team

    # Guards against a team that gets its whole ceiling anew by another name.
    def test_a_renamed_team_keeps_its_id_and_gets_its_new_ceiling(self) -> None:
        found = self.identities.apply(version(2, {}, {"x": "klo", "t": "m"}))
        self.assertEqual(found.teams[TeamId("s")].ceiling.cpu_millicores, 3000)
        self.assertEqual(self.identities.team_name(TeamId("s")), "x")
        for key, team in (("k", "s"), ("o", "x")):
            self.assertEqual(self.team_of(key, team), "s")

    # Guards against jobs that count under another team's ceiling after a swap of names.
    def test_two_teams_that_swap_their_names_keep_their_jobs(self) -> None:
        found = self.identities.apply(version(2, {}, {"t": "kl", "s": "m"}))
        self.assertEqual(found.teams[TeamId("s")].ceiling.cpu_millicores, 2000)
        for name in ("s", "t"):
            self.assertEqual(self.team_of("m", name), "t")

    def test_keys_that_change_one_after_the_other_do_not_end_a_team(self) -> None:
        self.identities.apply(version(2, {}, {"s": "lo", "t": "m"}))
        self.identities.apply(version(3, {}, {"x": "o", "t": "m"}))
        for key, team in (("k", "s"), ("l", "s"), ("o", "x")):
            self.assertEqual(self.team_of(key, team), "s")

    def test_a_team_whose_keys_are_all_replaced_is_known_by_its_name(self) -> None:
        self.identities.apply(version(2, {}, {"s": "pq", "t": "m"}))
        self.assertEqual(self.team_of("p", "s"), "s")
        self.assertEqual(self.team_of("k", "s"), "s")

    def test_of_a_team_that_is_split_the_part_with_its_name_continues_it(self) -> None:
        found = self.identities.apply(version(2, {}, {"r": "k", "s": "l", "t": "m"}))
        self.assertEqual(set(found.teams), {"r", "s", "t"})
        self.assertEqual(self.team_of("l", "s"), "s")
        self.assertEqual(self.team_of("k", "r"), "r")

    def test_jobs_without_a_key_have_no_team(self) -> None:
        self.assertEqual(self.team_of("", ""), "")


if __name__ == "__main__":
    unittest.main()

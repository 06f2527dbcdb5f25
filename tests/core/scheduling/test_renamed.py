"""A schedule under versions of the configuration that rename its queue and its team."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgspec

from tests.core.scheduling.common import (
    CAPACITY,
    NEEDS,
    POOL,
    QUEUE,
    TEAM,
    fleet,
    job,
    never_ends,
)
from toucandoor.core.jobs.configuration import JobConfiguration, key_digest
from toucandoor.core.jobs.models import JobSpec, Resources, Step
from toucandoor.core.jobs.records import (
    PENDING_KEY,
    PendingRecord,
    decode_pending,
    decode_progress,
    progress_key,
)
from toucandoor.core.records import Transaction
from toucandoor.core.run_times.snapshots import RUN_TIMES_KEY
from toucandoor.fakes.virtual_fleet import VirtualFleet
from toucandoor.ids import ConfigVersion, PoolId, QueueAddress, QueueId, TeamId, WorkerId

ADDRESS = QueueAddress("north.example/n/")
RENAMED = QueueId("south")
RENAMED_TEAM = TeamId("crew")
ONE_TASK = Step(1, NEEDS, estimate_ms=1000)


def renamed(present: JobConfiguration, *, version: int = 2) -> JobConfiguration:
    """Return a version in which the queue and the team have other names."""
    return JobConfiguration(
        ConfigVersion(version),
        {RENAMED: replace(present.queues[QUEUE], name=RENAMED)},
        present.pools,
        {RENAMED_TEAM: replace(present.teams[TEAM], name=RENAMED_TEAM)},
    )


def swapped(present: JobConfiguration) -> JobConfiguration:
    """Return a version in which another queue and another team have the names of the former."""
    queue, team = present.queues[QUEUE], present.teams[TEAM]
    other = replace(queue, path_prefix="/other/", attempts_max=9)
    other_team = replace(team, keys=frozenset({"other"}), ceiling=Resources())
    return JobConfiguration(
        ConfigVersion(2),
        {RENAMED: replace(queue, name=RENAMED), QUEUE: other},
        present.pools,
        {RENAMED_TEAM: replace(team, name=RENAMED_TEAM), TEAM: other_team},
    )


def accepted(
    number: int, queue: QueueId = QUEUE, team: TeamId = TEAM, *steps: Step, key: str = "key"
) -> JobSpec:
    """Return a job as this build's nodes store it."""
    return msgspec.structs.replace(
        job(number, *(steps or (ONE_TASK,))),
        queue=queue,
        team=team,
        address=ADDRESS,
        key_digest=key_digest(key),
    )


def pending(virtual: VirtualFleet) -> PendingRecord:
    """Return the count that the owner would write."""
    commit = virtual.scheduler.pending_commit()
    assert commit is not None
    virtual.scheduler.pending_written(ok=False)
    return decode_pending(commit.writes[PENDING_KEY])


class RenamedTest(unittest.TestCase):
    """Each case is played with the owner of the rename, and with one that comes after it."""

    def change(self, virtual: VirtualFleet, version: JobConfiguration, *, new_owner: bool) -> None:
        virtual.configuration = version
        if new_owner:
            virtual.take_over()
        else:
            virtual.scheduler.set_configuration(version)

    # Guards against waiting jobs of a renamed queue that count for no queue that callers can ask.
    def test_waiting_jobs_are_counted_at_their_queue_s_address(self) -> None:
        for new_owner in (False, True):
            for change in (renamed, swapped):
                with self.subTest(new_owner=new_owner, change=change.__name__):
                    virtual = fleet(0)
                    virtual.submit(accepted(1))
                    virtual.run(1.0)
                    self.change(virtual, change(virtual.configuration), new_owner=new_owner)
                    virtual.submit(accepted(2, RENAMED, RENAMED_TEAM))
                    virtual.run(1.0)
                    found = pending(virtual)
                    self.assertEqual(found.by_address, {ADDRESS: 2})
                    self.assertEqual(found.by_queue, {RENAMED: 2})

    # Guards against a team that may run its whole ceiling once more under another name.
    def test_a_renamed_team_keeps_its_ceiling(self) -> None:
        ceiling = Resources(2 * NEEDS.cpu_millicores)
        for new_owner in (False, True):
            for change in (renamed, swapped):
                with self.subTest(new_owner=new_owner, change=change.__name__):
                    virtual = fleet(3, never_ends, ceiling=ceiling)
                    virtual.submit(accepted(1, QUEUE, TEAM, Step(2, NEEDS, estimate_ms=1000)))
                    virtual.run(1.0)
                    self.change(virtual, change(virtual.configuration), new_owner=new_owner)
                    virtual.submit(accepted(2, RENAMED, RENAMED_TEAM))
                    virtual.run(3.0)
                    running = sum(len(worker.runs) for worker in virtual.workers.values())
                    self.assertEqual(running, 2)

    # Guards against waiting jobs that no server gets once their service has another name.
    def test_jobs_follow_their_queue_to_a_service_of_another_name(self) -> None:
        for new_owner in (False, True):
            with self.subTest(new_owner=new_owner):
                virtual = fleet(1, never_ends)
                for number in (1, 2):
                    four = Step(4, NEEDS, estimate_ms=1000)
                    virtual.submit(accepted(number, QUEUE, TEAM, four))
                virtual.run(1.0)
                present = virtual.configuration
                pool = replace(present.pools[POOL], name=PoolId("works"))
                queue = replace(present.queues[QUEUE], name=RENAMED, pool=pool.name)
                version = JobConfiguration(
                    ConfigVersion(2), {RENAMED: queue}, {pool.name: pool}, present.teams
                )
                self.change(virtual, version, new_owner=new_owner)
                server = virtual.workers[WorkerId("w0")]
                virtual.scheduler.worker_listed(replace(server.entry, pool=pool.name))
                virtual.boot("w1", pool.name, CAPACITY)
                virtual.run(3.0)
                running = [len(worker.runs) for worker in virtual.workers.values()]
                self.assertEqual(running, [4, 4])
                self.assertEqual(virtual.observations.violations, [])

    # Guards against a job that follows the terms of another queue that has got its queue's name.
    def test_a_job_follows_the_queue_at_its_address(self) -> None:
        for new_owner in (False, True):
            with self.subTest(new_owner=new_owner):
                virtual = fleet(0)
                virtual.submit(accepted(1))
                virtual.run(1.0)
                self.change(virtual, swapped(virtual.configuration), new_owner=new_owner)
                found = virtual.scheduler.jobs[job(1).job_id]
                self.assertEqual(virtual.scheduler.state.attempts_max(found), 2)

    # Guards against a record by which nodes say that the job of a renamed queue does not exist.
    def test_the_record_of_a_job_of_an_older_build_gets_its_queue_s_address(self) -> None:
        virtual = fleet(1, never_ends)
        virtual.submit(job(1, ONE_TASK))
        virtual.run(1.0)
        key = progress_key(job(1).job_id)
        stored = decode_progress(virtual.records.records[key].value)
        self.assertEqual(stored.address, ADDRESS)
        without = msgspec.structs.replace(stored, address=QueueAddress(""))
        virtual.records.write(Transaction(writes={key: msgspec.json.encode(without)}))
        virtual.take_over()
        virtual.run(1.0)
        stored = decode_progress(virtual.records.records[key].value)
        self.assertEqual(stored.address, ADDRESS)

    # Guards against run times that are learned anew, or taken from another queue, after a rename.
    def test_learned_run_times_stay_with_the_queue_s_address(self) -> None:
        virtual = fleet(6)
        for number in range(24):
            virtual.submit(accepted(number, QUEUE, TEAM, Step(1, NEEDS, estimate_ms=4000)))
        virtual.run(6.0)
        commit = virtual.scheduler.run_time_records.commit()
        assert commit is not None
        step = Step(1, NEEDS, estimate_ms=4000)
        learned_s = virtual.scheduler.run_times.expected_s(step, QUEUE)
        self.assertLess(learned_s, 2.0)
        virtual.configuration = swapped(virtual.configuration)
        virtual.take_over()
        virtual.scheduler.run_time_records.restore(commit.writes[RUN_TIMES_KEY])
        run_times = virtual.scheduler.run_times
        self.assertAlmostEqual(run_times.expected_s(step, RENAMED), learned_s, places=2)
        self.assertEqual(run_times.expected_s(step, QUEUE), 4.0)

    # Guards against shares that a renamed team gets from the beginning, beside those it had.
    def test_a_renamed_team_keeps_its_rate_status(self) -> None:
        virtual = fleet(0)
        for number in range(40):
            virtual.submit(accepted(number))
        virtual.run(1.0)
        state = virtual.scheduler.state
        before = state.rates.decided(TEAM)
        self.assertGreater(before[1], 0)
        virtual.scheduler.set_configuration(renamed(virtual.configuration))
        virtual.submit(accepted(41, RENAMED, RENAMED_TEAM))
        virtual.run(1.0)
        self.assertEqual(sum(state.rates.decided(TEAM)), sum(before) + 1)
        self.assertEqual(set(state.rates.rates()), {TEAM})


if __name__ == "__main__":
    unittest.main()

"""Decisions of a node by the owner's report: what is refused, for how long, and what is ignored."""

from __future__ import annotations

import unittest

import msgspec

from tests.core.scheduling.common import NEEDS, POOL, QUEUE, TEAM, job
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import Step
from toucandoor.core.overload.admission import AdmissionByLoad
from toucandoor.core.overload.const import REPORT_BYTES_MAX
from toucandoor.core.overload.followed_report import FollowedReport
from toucandoor.core.overload.models import (
    LoadReport,
    QueueWait,
    SizeWait,
    TeamWait,
    WaitCause,
    WithinWait,
)
from toucandoor.core.overload.outages import StoreOutages
from toucandoor.core.overload.records import decode_report, encode_report
from toucandoor.ids import ConfigVersion, JobId, QueueId, TeamId

CEILING_WAIT = TeamWait(TEAM, QUEUE, WaitCause.CEILING, 10.0, 1.0)
POOL_WAIT = TeamWait(TEAM, QUEUE, WaitCause.POOL, 10.0, 1.0)
JOB = job(1)
"""Its only step takes 1 s, so that its objective is 2.2 s; it needs 6 core-seconds."""


class AdmissionTest(unittest.TestCase):
    """A node with one report."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.followed = FollowedReport(self.clock)
        self.policy = AdmissionByLoad(self.followed)

    def report(self, *waits: TeamWait, token: int = 3, sequence: int = 1, **fields: object) -> None:
        now_unix_ms = int(self.clock.now().timestamp() * 1000)
        report = LoadReport(token, sequence, now_unix_ms, waits=waits)
        self.followed.on_record(encode_report(msgspec.structs.replace(report, **fields)))

    def test_retry_after_is_the_time_until_the_job_would_be_accepted(self) -> None:
        # Callers that return at the given time must not be refused by the same figures.
        self.report(CEILING_WAIT)
        self.clock.advance(0.5)
        rejection = self.policy.rejection(JOB)
        assert rejection is not None
        self.assertEqual((rejection.status, rejection.reason), (429, "overloaded; it has not run"))
        # 9.5 s until a late start and 1 s of run time are 3.9 s more than three objectives.
        self.assertIn(rejection.retry_after_s, (4, 5))
        self.report(msgspec.structs.replace(CEILING_WAIT, late_s=9.5 - 3.9), sequence=2)
        self.assertIsNone(self.policy.rejection(JOB))

    def within(self, *sizes: SizeWait, share_left_core_s: float = 0.0) -> WithinWait:
        wait = QueueWait(QUEUE, 20.0, 1.0, sizes)
        return WithinWait(POOL, {TEAM: share_left_core_s}, 1.0, (wait,))

    def test_within_the_rate_the_wait_of_the_job_s_size_decides(self) -> None:
        # A job that has its turn in time must not be refused for the larger ones that wait.
        large = SizeWait(4.0, 10.0, 8.0)
        self.report(within=(self.within(SizeWait(1.0, 0.0, 8.0), large),))
        self.assertIsNone(self.policy.rejection(job(3, Step(1, NEEDS, estimate_ms=500))))
        rejection = self.policy.rejection(JOB)
        assert rejection is not None
        # 10 s, half a second until its last task starts and 1 s of run time are 9.3 s too many.
        self.assertIn(rejection.retry_after_s, (10, 11))
        later = msgspec.structs.replace(large, wait_s=10.0 - 9.31)
        self.report(within=(self.within(later),), sequence=2)
        self.assertIsNone(self.policy.rejection(JOB))

    def test_a_team_below_its_share_is_not_refused(self) -> None:
        wait = SizeWait(1.0, 10.0, 2.0)
        self.report(within=(self.within(wait, share_left_core_s=6.0),))
        self.assertIsNone(self.policy.rejection(JOB))
        self.report(within=(self.within(wait, share_left_core_s=5.0),), sequence=2)
        self.assertIsNotNone(self.policy.rejection(JOB))

    def test_what_was_accepted_since_the_report_counts(self) -> None:
        # Nodes would accept all jobs until the next report shows what these made of the pool.
        self.report(within=(self.within(SizeWait(1.0, 0.0, 20.0)),))
        self.clock.advance(0.1)
        found = [self.policy.rejection(job(number)) is None for number in range(20)]
        self.assertEqual(found, sorted(found, reverse=True))
        self.assertEqual(found.count(True), 4)

    def test_retry_after_is_spread_by_the_job(self) -> None:
        # Callers that are refused at once must not all return at once.
        self.report(CEILING_WAIT)
        specs = [msgspec.structs.replace(JOB, job_id=JobId(f"{n:016x}")) for n in range(40)]
        found = {
            rejection.retry_after_s for rejection in map(self.policy.rejection, specs) if rejection
        }
        self.assertEqual(len(found), 2)

    def test_what_is_never_refused(self) -> None:
        timed = msgspec.structs.replace(JOB, first_due_unix_ms=1)
        long_running = job(2, Step(1, NEEDS, long_running=True))
        small = job(3, Step(1, NEEDS, estimate_ms=500))
        others = msgspec.structs.replace(JOB, team=TeamId("other"))
        elsewhere = msgspec.structs.replace(JOB, queue=QueueId("other"))
        self.report(CEILING_WAIT)
        for spec in (timed, long_running, small, others, elsewhere):
            self.assertIsNone(self.policy.rejection(spec))

    def test_the_load_of_a_pool_only_counts_for_teams_beyond_their_rate(self) -> None:
        self.report(POOL_WAIT)
        self.assertIsNone(self.policy.rejection(JOB))
        self.report(POOL_WAIT, sequence=2, beyond=(TEAM,))
        self.assertIsNotNone(self.policy.rejection(JOB))

    def test_reports_that_are_too_old_or_out_of_order_are_ignored(self) -> None:
        self.report(CEILING_WAIT, token=3, sequence=5)
        for token, sequence in ((2, 9), (3, 4), (3, 5)):
            self.report(token=token, sequence=sequence)
            self.assertIsNotNone(self.policy.rejection(JOB))
        self.clock.advance(2.6)
        self.assertIsNone(self.policy.rejection(JOB))
        self.report(CEILING_WAIT, token=4, sequence=1)
        self.assertIsNotNone(self.policy.rejection(JOB))

    def test_a_report_that_was_written_long_ago_is_too_old_when_it_is_first_read(self) -> None:
        # A restarted node would refuse jobs by the report of an overload that is long over.
        now_unix_ms = int(self.clock.now().timestamp() * 1000)
        for sequence, written_unix_ms in enumerate((now_unix_ms - 60_000, now_unix_ms + 60_000)):
            self.report(CEILING_WAIT, sequence=sequence + 1, written_unix_ms=written_unix_ms)
            self.assertIsNone(self.policy.rejection(JOB))

    # Guards against refusals for the load of a queue or team that has just lost the name.
    def test_a_report_from_before_names_were_reused_is_not_used(self) -> None:
        names_since = ConfigVersion(4)
        policy = AdmissionByLoad(self.followed, names_since=lambda: names_since)
        self.report(CEILING_WAIT, configuration=4)
        self.assertIsNotNone(policy.rejection(JOB))
        names_since = ConfigVersion(5)
        self.assertIsNone(policy.rejection(JOB))
        self.report(CEILING_WAIT, sequence=2, configuration=5)
        self.assertIsNotNone(policy.rejection(JOB))
        # Owners of an older build do not say the version.
        self.report(CEILING_WAIT, sequence=3)
        self.assertIsNotNone(policy.rejection(JOB))

    def test_a_report_names_queues_and_teams_as_the_version_does(self) -> None:
        report = LoadReport(
            1,
            1,
            1,
            beyond=(TEAM,),
            ceiling_wait_s={TEAM: 1.0},
            waits=(POOL_WAIT,),
            within=(self.within(SizeWait(1.0, 9.0, 9.0)),),
        )
        named = report.with_names(
            lambda queue: QueueId(f"new-{queue}"), lambda team: TeamId(f"new-{team}")
        )
        self.assertEqual(named.beyond, ("new-team",))
        self.assertEqual(named.ceiling_wait_s, {"new-team": 1.0})
        self.assertEqual((named.waits[0].team, named.waits[0].queue), ("new-team", "new-north"))
        (within,) = named.within
        self.assertEqual(list(within.share_left_core_s), ["new-team"])
        self.assertEqual(within.queues[0].queue, "new-north")

    def test_bad_records_leave_the_report_in_force(self) -> None:
        self.report(CEILING_WAIT)
        bad = msgspec.structs.replace(CEILING_WAIT, late_s=-1.0)
        value = encode_report(LoadReport(9, 9, 0, waits=(bad,)))
        for record in (b"", b"{", b"[]", b"\xff", b'{"token":"x"}', value, b" " * 20_000):
            self.followed.on_record(record)
        self.assertEqual(self.followed.ignored, 7)
        self.assertIsNotNone(self.policy.rejection(JOB))

    def test_a_report_stays_within_its_size(self) -> None:
        waits = [
            TeamWait(TeamId(f"team-{n}"), QueueId(f"queue-{q}"), WaitCause.CEILING, n + q, 1.0)
            for n in range(65)
            for q in range(35)
        ]
        value = encode_report(LoadReport(1, 1, 1, waits=tuple(waits)))
        self.assertLessEqual(len(value), REPORT_BYTES_MAX)
        within = self.within(*(SizeWait(float(n), 9.0, 9.0) for n in range(10)))
        many = LoadReport(1, 1, 1, waits=tuple(waits), within=(within,) * 200)
        self.assertLessEqual(len(encode_report(many)), REPORT_BYTES_MAX)
        kept = decode_report(value).waits
        self.assertGreater(len(kept), 100)
        self.assertEqual(kept[0].late_s, 98)


class OutagesTest(unittest.TestCase):
    """Retry-After while the store is unavailable."""

    def test_it_is_the_median_length_minus_the_age(self) -> None:
        outages = StoreOutages()
        self.assertEqual(outages.left_s(0.0), 3.0)
        outages.on_failure(10.0)
        outages.on_failure(11.0)
        self.assertEqual(outages.left_s(11.0), 2.0)
        outages.on_answer(15.0)
        for began_s, length_s in ((20.0, 5.2), (30.0, 0.2), (40.0, 1.0)):
            outages.on_failure(began_s)
            outages.on_answer(began_s + length_s)
        outages.on_failure(50.0)
        self.assertEqual(outages.left_s(51.0), 4.0)
        self.assertIn(outages.retry_after_s(50.0, JobId("a")), range(1, 6))
        self.assertEqual(outages.retry_after_s(60.0, JobId("a")), 1)

"""Days in virtual time on which one team submits several times what can be served."""

from __future__ import annotations

import dataclasses
import unittest
from typing import TYPE_CHECKING, Any

import msgspec

from tests.core.overload.overload_day import BUSY_TEAM, CEILING, OverloadDay
from tests.core.scheduling.common import NEEDS, configuration, fleet, job, never_ends
from toucandoor.core.jobs.models import NO_RESOURCES, Resources, Step
from toucandoor.core.overload.models import RateStatus, WaitCause
from toucandoor.core.overload.rates import RateStatuses
from toucandoor.core.overload.reporter import LoadReporter
from toucandoor.ids import TeamId

if TYPE_CHECKING:
    from toucandoor.core.jobs.models import JobSpec
    from toucandoor.core.scheduling.progress import JobProgress

USUAL = 0.6
"""Part of its ceiling that a team usually needs."""
OVERLOADED = 7 * USUAL
DAY_S = 10.0
OTHERS = (TeamId("a"), TeamId("b"))


class BusyTeamBeyond(RateStatuses):
    """All jobs of the busy team are beyond its rate."""

    def of_job(self, job: JobProgress) -> RateStatus:
        return RateStatus.BEYOND if job.spec.team == BUSY_TEAM else RateStatus.WITHIN

    def teams_beyond(self, now_s: float) -> frozenset[TeamId]:
        return frozenset((BUSY_TEAM,))


class OverloadDayTest(unittest.TestCase):
    """The busy team needs 4.2 times its ceiling; its callers try five times within 2.5 s."""

    def day(self, **options: object) -> OverloadDay:
        day = OverloadDay(1, **options)  # type: ignore[arg-type]
        day.submit_at_random(BUSY_TEAM, OVERLOADED, DAY_S)
        for team in OTHERS:
            day.submit_at_random(team, USUAL, DAY_S)
        return day

    def rejections(self, day: OverloadDay, team: TeamId) -> int:
        return sum(len(each.rejections) for each in day.of_team(team))

    def check_no_rejection_of_others(self, day: OverloadDay) -> None:
        for team in OTHERS:
            self.assertEqual(self.rejections(day, team), 0)

    def done_in_time(self, day: OverloadDay) -> int:
        return sum(day.of_use(each) for each in day.of_team(BUSY_TEAM))

    def test_refusals_cost_no_other_team_and_hardly_any_job_that_could_be_served(self) -> None:
        # Refusing by the backlog alone refused the small jobs that have their turn before it, and
        # halved the number of jobs done in time.
        day, baseline = self.day(), self.day(admission=False)
        for each in (day, baseline):
            each.fleet.run(DAY_S + 8)
        self.assertGreater(self.rejections(day, BUSY_TEAM), 20)
        self.check_no_rejection_of_others(day)
        self.assertGreaterEqual(self.done_in_time(day), 0.9 * self.done_in_time(baseline))
        self.assertTrue(day.reports[-1].empty)

    def test_jobs_are_accepted_without_reports_and_after_a_change_of_owner(self) -> None:
        # Jobs must not be refused by a report that is no longer renewed, and a new owner's counts.
        day = self.day()
        day.fleet.run(5.0)
        day.report_lost = True
        day.take_over()
        day.fleet.run(3.0)
        day.report_lost = False
        day.fleet.run(3.0)
        times_s = [at_s - 100.0 for at_s in day.rejections_s]
        self.assertTrue(any(at_s < 5.0 for at_s in times_s))
        self.assertFalse(any(7.6 < at_s < 8.0 for at_s in times_s))
        self.assertTrue(any(at_s > 8.0 for at_s in times_s))
        self.assertEqual(len({report.token for report in day.reports}), 2)
        self.check_no_rejection_of_others(day)

    def test_the_load_of_a_pool_refuses_only_teams_beyond_their_rate(self) -> None:
        # Without ceilings the pool of 24 cores is what all teams wait for.
        day = self.day(workers=3, ceiling=NO_RESOURCES, rates=BusyTeamBeyond())
        day.fleet.run(DAY_S)
        reported = [wait for report in day.reports for wait in report.waits]
        self.assertTrue(reported)
        self.assertEqual({wait.cause for wait in reported}, {WaitCause.POOL})
        self.assertGreater(self.rejections(day, BUSY_TEAM), 10)
        self.check_no_rejection_of_others(day)


def _accepted_at(spec: JobSpec, unix_ms: int) -> JobSpec:
    return msgspec.structs.replace(spec, accepted_unix_ms=unix_ms)


class ReporterTest(unittest.TestCase):
    """Cases in which a long backlog proves nothing."""

    def reports_for(
        self, ceiling: Resources, *steps: Step, arrivals: bool, behaviour: Any = None
    ) -> list[float]:
        """Return when a backlog of ten large jobs causes reports within four seconds."""
        made = fleet(workers=6, behaviour=behaviour, ceiling=ceiling)
        reporter = LoadReporter(made.scheduler.state)
        began_s = made.clock.monotonic_s()
        now_unix_ms = int(made.clock.now().timestamp() * 1000)
        backlog = [job(n, Step(12, NEEDS, estimate_ms=1000)) for n in range(10)]
        others = [job(100 + n, step) for n, step in enumerate(steps)]
        for spec in (*others, *backlog):
            made.submit(_accepted_at(spec, now_unix_ms))
        reports_s: list[float] = []
        for number in range(80):
            if arrivals:
                small = job(200 + number, Step(1, NEEDS, estimate_ms=1000))
                made.submit(_accepted_at(small, now_unix_ms + 50 * number))
            made.run(0.05)
            report = reporter.next_report(lambda: Resources(48000, 96000, 0))
            if report is not None and not report.empty:
                reports_s.append(made.clock.monotonic_s() - began_s)
        return reports_s

    def test_a_backlog_behind_smaller_jobs_is_reported(self) -> None:
        reports_s = self.reports_for(CEILING, arrivals=True)
        self.assertGreater(len([at_s for at_s in reports_s if at_s > 2.3]), 1)

    def test_a_backlog_that_new_jobs_overtake_is_not(self) -> None:
        # From 2.2 s on only late jobs are started, so a new job would have its turn at once.
        reports_s = self.reports_for(CEILING, arrivals=False)
        self.assertEqual([at_s for at_s in reports_s if at_s > 2.3], [])

    def test_long_running_tasks_that_hold_a_whole_ceiling_predict_nothing(self) -> None:
        # When one of them is cancelled is unknown, so there is no true Retry-After.
        watcher = Step(8, NEEDS, long_running=True)
        self.assertEqual(self.reports_for(CEILING, watcher, arrivals=True), [])

    def test_a_ceiling_that_long_tasks_use_shows_nothing_about_who_is_next(self) -> None:
        # Without starts in the last second a new job may be the next one.
        reports_s = self.reports_for(CEILING, arrivals=True, behaviour=never_ends)
        self.assertEqual(reports_s, [])

    def test_no_report_without_weights(self) -> None:
        made = fleet(workers=1, ceiling=Resources(2000, 0, 0))
        teams = {
            name: dataclasses.replace(team, jobs_per_s=0.0)
            for name, team in configuration().teams.items()
        }
        changed = dataclasses.replace(configuration(version=2), teams=teams)
        made.scheduler.set_configuration(changed)
        reporter = LoadReporter(made.scheduler.state)
        for number in range(40):
            made.submit(job(number))
            made.run(0.1)
            self.assertIsNone(reporter.next_report(lambda: Resources(8000, 0, 0)))

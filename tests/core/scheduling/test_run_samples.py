"""Which runs are samples of run times, and how exactly they are measured."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.core.scheduling.common import NEEDS, QUEUE, always_fails, fleet, job
from toucandoor.core.jobs.models import Step
from toucandoor.core.run_times.learned import LearnedRunTimes
from toucandoor.core.run_times.snapshots import RUN_TIMES_KEY
from toucandoor.fakes.virtual_platform import TaskBehaviour

if TYPE_CHECKING:
    from toucandoor.fakes.virtual_fleet import VirtualFleet


def model(virtual: VirtualFleet) -> LearnedRunTimes:
    """Return the owner's model."""
    assert virtual.owner is not None
    found = virtual.owner.scheduler.run_times
    assert isinstance(found, LearnedRunTimes)
    return found


class RunSampleTest(unittest.TestCase):
    def test_run_times_are_measured_to_milliseconds(self) -> None:
        """Guards against measuring reports: an end waits for a heartbeat that is not open."""
        virtual = fleet()
        for number in range(12):
            virtual.submit(job(number, Step(2, NEEDS, estimate_ms=2000)))
            virtual.run(0.7)
        virtual.run(5.0)
        found = model(virtual)
        self.assertGreaterEqual(found.samples, 20)
        ((_, known),) = found.keys.items()
        self.assertLess(known.sketch.max(), 0.52)
        self.assertGreater(known.sketch.min(), 0.49)

    def test_runs_that_tell_nothing_are_no_samples(self) -> None:
        steps = {
            "data on another rack": Step(3, NEEDS, 1000, data_rack="elsewhere"),
            "best effort": Step(3, NEEDS, 1000, uses_leftovers=True),
            "long-running": Step(3, NEEDS, 1000, long_running=True),
            "no estimate": Step(3, NEEDS),
        }
        for name, step in steps.items():
            with self.subTest(reason=name):
                virtual = fleet()
                virtual.submit(job(1, step))
                virtual.run(4.0)
                self.assertEqual(model(virtual).samples, 0)
        with self.subTest(reason="failed"):
            virtual = fleet(behaviour=always_fails)
            virtual.submit(job(1))
            virtual.run(4.0)
            self.assertEqual(model(virtual).samples, 0)

    def test_runs_of_a_former_owner_are_no_samples(self) -> None:
        """Their start is unknown, and counts as the takeover's time."""
        virtual = fleet(behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, 2.0))
        virtual.submit(job(1))
        virtual.run(1.0)
        virtual.take_over()
        virtual.run(4.0)
        self.assertEqual(model(virtual).samples, 0)

    def test_runs_whose_start_or_end_is_unknown_or_that_resumed_are_no_samples(self) -> None:
        """Guards against run times that are too long by a lost answer, or too short."""
        for name in ("undisturbed", "checkpoint", "starts_sent", "uncommitted"):
            with self.subTest(changed=name):
                virtual = fleet(behaviour=lambda _task, _worker: TaskBehaviour(NEEDS, 1.5))
                virtual.submit(job(1, Step(1, NEEDS, 1000)))
                virtual.run(0.5)
                assert virtual.owner is not None
                (task,) = virtual.owner.scheduler.jobs[job(1).job_id].step(0, 0).tasks
                (run,) = task.runs
                if name == "checkpoint":
                    run.checkpoint = "half"
                elif name == "starts_sent":
                    run.starts_sent = 2
                elif name == "uncommitted":
                    # Heartbeats pause for a second while an effect is not in the store.
                    run.worker.uncommitted.append((job(1).job_id, 1000))
                virtual.run(4.0)
                self.assertTrue(task.done)
                self.assertEqual(model(virtual).samples, 1 if name == "undisturbed" else 0)

    def test_the_next_owner_starts_from_the_snapshot(self) -> None:
        virtual = fleet(6)
        for number in range(24):
            virtual.submit(job(number, Step(1, NEEDS, estimate_ms=4000)))
        virtual.run(6.0)
        assert virtual.owner is not None
        commit = virtual.owner.scheduler.run_time_records.commit()
        assert commit is not None
        self.assertEqual(commit.expected, {"owner": int(virtual.owner.scheduler.token)})
        expected_s = model(virtual).expected_s(job(1).steps[0], QUEUE)
        self.assertLess(expected_s, 0.6)
        virtual.take_over()
        virtual.owner.scheduler.run_time_records.restore(commit.writes[RUN_TIMES_KEY])
        restored_s = model(virtual).expected_s(job(1).steps[0], QUEUE)
        self.assertAlmostEqual(restored_s, expected_s, places=2)


if __name__ == "__main__":
    unittest.main()

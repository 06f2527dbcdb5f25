"""Fields of the node program's log lines: each field must be listed here with its type."""

from __future__ import annotations

import ast
import logging
import unittest
from pathlib import Path

from tests.core.scheduling.common import (
    CAPACITY,
    NEEDS,
    POOL,
    always_fails,
    fleet,
    job,
    never_ends,
)
from toucandoor.core.jobs.models import Step
from toucandoor.fakes.virtual_calls import CallOutcome
from toucandoor.ids import WorkerId

FIELDS: dict[str, type | tuple[type, ...]] = {
    "address": str,
    "after_s": (int, float),
    "age_s": (int, float),
    "answer_age_at_first_start_s": (int, float),
    "answering": int,
    "arriving_cpu": int,
    "attempt": int,
    "cause": str,
    "core_s": (int, float),
    "objective_s": (int, float),
    "pools": int,
    "report_age_s": (int, float),
    "started_core_s": (int, float),
    "busy_s": (int, float),
    "before": int,
    "begun": int,
    "beyond": int,
    "by_deadline": bool,
    "bytes": int,
    "callers": str,
    "calls": int,
    "capacity_cpu": int,
    "capacity_mb": int,
    "claim_s": float,
    "configuration": int,
    "confirmed": bool,
    "copied_worker": str,
    "copies_core_s": int,
    "copies_lost": int,
    "copies_no_room": int,
    "copies_over_budget": int,
    "copies_started": int,
    "copies_won": int,
    "crashes": int,
    "data_centre": str,
    "ends": int,
    "ended_as": str,
    "ended_by": str,
    "retry_s": (int, float),
    "deposed": bool,
    "discarded": int,
    "down_max": int,
    "dropped": int,
    "ended": int,
    "ending_cpu": int,
    "ending_mb": int,
    "entry": str,
    "failures": int,
    "free_cpu": int,
    "first_start_age_s": (int, float),
    "gap_s": (int, float),
    "held_attempt": int,
    "held_by": str,
    "longest_gap_s": (int, float),
    "long_running": bool,
    "host": str,
    "interval_s": (int, float),
    "job": str,
    "job_address": str,
    "job_queue": str,
    "kind": str,
    "known_as": str,
    "job_age_s": (int, float),
    "jobs": int,
    "jobs_cancelled": int,
    "jobs_ended": int,
    "jobs_failed": int,
    "jobs_given_up": int,
    "jobs_late": int,
    "known": bool,
    "last_start_age_s": (int, float),
    "lasting_cpu": int,
    "lasting_mb": int,
    "lasting_runs": int,
    "listing_age_s": (int, float),
    "order": str,
    "receiver": str,
    "load_s": (int, float),
    "longest_step_s": (int, float),
    "lost": int,
    "median_ratio": float,
    "method": str,
    "metrics": str,
    "open_jobs": int,
    "orders": int,
    "order_class": str,
    "origin": str,
    "path": str,
    "pause_s": (int, float),
    "percent": int,
    "place": int,
    "planned": int,
    "planned_age_s": (int, float),
    "plans": int,
    "pool": str,
    "queue": str,
    "revision": int,
    "written_revision": int,
    "queues": int,
    "rack": str,
    "racks": int,
    "rate_status": str,
    "ratio": (int, float),
    "read_s": (int, float),
    "reason": str,
    "received": int,
    "records": int,
    "reported": bool,
    "request": str,
    "run_state": str,
    "runs": int,
    "samples": float,
    "sent": int,
    "servers": int,
    "shared": int,
    "silent": int,
    "started": int,
    "start_outcomes": str,
    "starts": int,
    "starts_unanswered": int,
    "status": int,
    "switched_off": str,
    "step": str,
    "steps": int,
    "task": str,
    "tasks": int,
    "team": str,
    "teams": int,
    "token": int,
    "total_s": (int, float),
    "unexplained": int,
    "unusable_cpu": int,
    "valid": bool,
    "vm": str,
    "vm_order": str,
    "vm_order_age_s": (int, float),
    "vms": int,
    "waited_for": str,
    "waits": str,
    "without_run": int,
    "waiting_cpu": int,
    "waiting_mb": int,
    "weight": (int, float),
    "wave": int,
    "won": bool,
    "within_s": (int, float),
    "worker": str,
    "workers": int,
}
EXPECTED_MESSAGES = {
    "runs: planned",
    "runs: ended",
    "jobs: ended as %s",
    "runs: lost with its server",
    "runs: discarded before it had begun",
    "runs: a run holds its task without having begun",
    "runs: a run that held its task without having begun does so no longer",
    "runs: a long-running task has had no run for a while",
    "runs: a long-running task runs again",
    "jobs: nothing of a job has run for a while",
    "workers: all runs on %s are lost, as it %s",
    "workers: %s gets no new tasks, as runs of several jobs failed on it",
    "workers: %s is no longer in the platform's list",
}
"""Messages that the session with faults must log, so that the types of their fields are checked."""
PACKAGE = Path(__file__).parent.parent / "toucandoor"
NODE_PATHS = (
    "core/copies",
    "core/evacuation",
    "core/failure_domains",
    "core/fair_order",
    "core/jobs",
    "core/scheduling",
    "core/ownership",
    "core/pools/vm_lender.py",
    "core/maintenance/job_waves.py",
    "core/maintenance/vm_list.py",
    "core/maintenance/vm_orders.py",
    "adapters/caller_outcomes.py",
    "adapters/configuration_watch.py",
    "adapters/job_callers.py",
    "adapters/job_service.py",
    "adapters/owner_task.py",
    "adapters/owner_term.py",
    "adapters/peers.py",
    "adapters/relay_service.py",
    "adapters/term_intake.py",
    "adapters/term_orders.py",
    "adapters/term_report.py",
    "adapters/term_vms.py",
    "platform",
    "programs/node.py",
)
"""Files and folders from which the node program logs."""


def node_modules() -> list[Path]:
    """Return the modules that the node program logs from."""
    found: list[Path] = []
    for name in NODE_PATHS:
        path = PACKAGE / name
        found += sorted(path.glob("*.py")) if path.is_dir() else [path]
    return found


def literal_keys(node: ast.expr) -> set[str]:
    """Return the literal keys of a dict expression, also in unions of dicts."""
    return {
        key.value
        for each in ast.walk(node)
        if isinstance(each, ast.Dict)
        for key in each.keys
        if isinstance(key, ast.Constant) and isinstance(key.value, str)
    }


class FieldsTest(unittest.TestCase):
    def test_every_field_in_the_code_is_listed(self) -> None:
        seen: dict[str, str] = {}
        for path in node_modules():
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.keyword) and node.arg == "extra":
                    seen |= dict.fromkeys(literal_keys(node.value), path.name)
        unlisted = {key: where for key, where in seen.items() if key not in FIELDS}
        self.assertEqual(unlisted, {})
        self.assertGreater(len(seen), 20)

    def test_every_field_in_a_session_with_faults_has_its_type(self) -> None:
        plain_fields = set(vars(logging.makeLogRecord({}))) | {"message"}
        with self.assertLogs("toucandoor", "INFO") as logs:
            self.run_session_with_faults()
            self.run_session_with_gaps()
            self.run_session_with_an_unbegun_run()
            for load in self.last_loads:
                logging.getLogger("toucandoor.load").info("load", extra=load.log_fields())
        kinds = {str(record.msg) for record in logs.records}
        self.assertLessEqual(EXPECTED_MESSAGES, kinds)
        for record in logs.records:
            for name, value in vars(record).items():
                if name not in plain_fields:
                    self.assertIsInstance(value, FIELDS[name], (record.msg, name))

    def run_session_with_faults(self) -> None:
        """Run jobs to every kind of end, with lost answers, failed servers and a new owner."""
        virtual = fleet(behaviour=always_fails)
        for number in range(1, 5):
            virtual.submit(job(number, Step(3, NEEDS)))
        virtual.submit(job(5, Step(2, NEEDS, long_running=True)))
        virtual.run(1.0)
        virtual.cancel(job(5).job_id)
        fates = iter([CallOutcome.LATE, CallOutcome.ANSWER_LOST] * 10)
        virtual.calls.choose_outcome = lambda kind: next(fates, CallOutcome.ANSWERED)
        virtual.run(3.0)
        virtual.crash("w0")
        virtual.workers[WorkerId("w1")].reachable = False
        virtual.run(9.0)
        virtual.boot("w0", POOL, CAPACITY)
        virtual.submit(job(6, Step(3, NEEDS)))
        virtual.take_over(planned=True)
        virtual.run(9.0)
        assert virtual.owner is not None
        self.last_loads = list(virtual.owner.scheduler.pool_loads.current().values())

    def run_session_with_gaps(self) -> None:
        """Leave long-running tasks and a job without a run for a while."""
        virtual = fleet(1, never_ends)
        virtual.submit(job(1, Step(1, NEEDS, long_running=True)))
        virtual.run(1.0)
        virtual.crash("w0")
        virtual.run(13.0)
        virtual.boot("w1", POOL, CAPACITY)
        virtual.run(1.0)

    def run_session_with_an_unbegun_run(self) -> None:
        """Leave a start without an answer until the lease of its server has expired."""
        virtual = fleet(1, never_ends)
        virtual.run(0.5)

        def fail(kind: str) -> CallOutcome:
            if kind == "start":
                virtual.workers[WorkerId("w0")].reachable = False
            return CallOutcome.ANSWERED

        virtual.calls.choose_outcome = fail
        virtual.submit(job(1, Step(1, NEEDS, long_running=True)))
        virtual.run(13.0)


if __name__ == "__main__":
    unittest.main()

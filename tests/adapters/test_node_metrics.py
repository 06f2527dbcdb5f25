"""Names and labels of the node's metrics, as dashboards and alarms use them."""

from __future__ import annotations

import re
import unittest

from toucandoor.adapters.node_metrics import NodeMetrics, metrics_app
from toucandoor.core.run_times.models import QueueRatio
from toucandoor.core.scheduling.pool_load import PoolLoad
from toucandoor.core.scheduling.run_gap_models import EndedGap, LastEnd, WaitCause
from toucandoor.core.scheduling.step_order import TeamFigures
from toucandoor.core.scheduling.unbegun_runs import EndedUnbegun
from toucandoor.core.scheduling.worker_view import DiscardReason
from toucandoor.ids import PoolId, QueueId, TeamId

LABELS = {
    "toucandoor_caller_seconds": {"queue", "team", "method", "status"},
    "toucandoor_platform_call_seconds": {"step", "outcome"},
    "toucandoor_platform_body_bytes": {"step", "direction"},
    "toucandoor_job_seconds": {"queue", "team", "class", "state"},
    "toucandoor_owner": set(),
    "toucandoor_configuration_version": set(),
    "toucandoor_pool_cpu_millicores": {"pool", "use"},
    "toucandoor_pool_servers": {"pool"},
    "toucandoor_run_time_ratio": {"queue", "kind"},
    "toucandoor_run_times_dropped": set(),
    "toucandoor_team_server_time_s": {"team"},
    "toucandoor_team_waiting_steps": {"team"},
    "toucandoor_team_jobs": {"team", "rate_status"},
    "toucandoor_invalid_weights": set(),
    "toucandoor_plans_discarded": {"reason"},
    "toucandoor_caller_outcomes": {"call", "outcome"},
    "toucandoor_jobs_ended": {"ended_as"},
    "toucandoor_run_gap_seconds": {"ended_as", "waited_for"},
    "toucandoor_tasks_without_run": {"waited_for"},
    "toucandoor_unbegun_run_seconds": {"ended_by"},
    "toucandoor_invalid_server_entries": set(),
    "toucandoor_unexpected_errors": {"part"},
    "toucandoor_unwritable_jobs": set(),
}
HISTOGRAMS = {name for name in LABELS if name.endswith("_seconds")}
SAMPLE = re.compile(r"^(\w+?)(_bucket|_sum|_count)?(?:\{(.*)\})? \S+$")


class MetricsTest(unittest.TestCase):
    def test_names_and_labels(self) -> None:
        metrics = NodeMetrics()
        metrics.record_caller_call("q", "t", "POST", 200, 0.01)
        metrics.record_platform_call("store.write", "200", 0.004)
        metrics.record_platform_bytes("store.write", 10, 20)
        metrics.record_job("q", "t", "urgent", "completed", 1.5)
        metrics.set_owner(True)
        metrics.set_configuration_version(3)
        metrics.set_pool_load(PoolLoad(PoolId("p")))
        metrics.set_run_time_ratio(QueueRatio(QueueId("q"), 1.2, 1.1, 8.0))
        metrics.add_dropped_run_times(1)
        metrics.set_team(TeamFigures(TeamId("t"), 1.5, 2, 3, 4))
        metrics.set_invalid_weights(1)
        metrics.set_discarded_plans({DiscardReason.SERVER_LOST: 1})
        metrics.add_caller_outcome("state", "410")
        metrics.set_jobs_ended({"completed": 1})
        metrics.record_run_gap(EndedGap(1.5, LastEnd.DRAINING, WaitCause.NO_ROOM))
        metrics.record_unbegun_run(EndedUnbegun(10.5, "lease_expired"))
        metrics.set_tasks_without_run({WaitCause.NO_ROOM: 2})
        metrics.set_invalid_entries(2)
        metrics.set_unwritable_jobs(1)
        metrics.add_unexpected_error("heartbeat")
        seen: dict[str, set[str]] = {}
        buckets: set[str] = set()
        for line in b"".join(metrics_app({}, lambda *_: lambda _data: None)).decode().splitlines():
            match = SAMPLE.match(line)
            if match is None or line.startswith("#"):
                continue
            name, part, labels = match.groups()
            found = set(re.findall(r"(\w+)=", labels or ""))
            seen.setdefault(name, set()).update(found - {"le"})
            if part == "_bucket":
                buckets.add(name)
        self.assertEqual(seen, LABELS)
        self.assertEqual(buckets, HISTOGRAMS)


if __name__ == "__main__":
    unittest.main()

"""Golden sessions of whole roll-outs: decisions and logged events as JSON lines."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING, Any

from tests.common import verify_session
from toucandoor.core.maintenance.models import MaintenanceSettings, PollVm
from toucandoor.core.maintenance.wave import Obstacle
from toucandoor.core.pools.models import Swap, assignment_key, decode_map
from toucandoor.fakes.fleets import SMALL
from toucandoor.measures._fleet_models import RunSettings
from toucandoor.measures._fleet_run import FleetSimulation

if TYPE_CHECKING:
    from toucandoor.core.maintenance.planner import PlannerDecision


class RecordedRun(FleetSimulation):
    """Records swaps of the fleet's records, commands to VMs, and the events logged."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        self.lines: list[dict[str, Any]] = []
        self._logged: dict[str, int] = {}
        super().__init__(*arguments, **options)

    def record_decision(self, controller: str, decision: PlannerDecision) -> None:
        at_s = self.clock.monotonic_s()
        kind = type(decision).__name__
        if isinstance(decision, Swap):
            if not decision.key.startswith("fleet/planner/"):
                key = decision.key
                self.lines.append({"at_s": at_s, "by": controller, "decision": kind, "key": key})
        elif not isinstance(decision, PollVm) and not kind.startswith("Read"):
            vm, fence = decision.vm, decision.fence
            self.lines.append(
                {"at_s": at_s, "by": controller, "decision": kind, "vm": vm, "fence": fence}
            )

    def _check_write(self, key: str) -> None:
        super()._check_write(key)
        if not key.startswith("fleet/assignment/"):
            return
        for event in decode_map(self.store.values[key]).events:
            if event.sequence >= self._logged.get(key, 0):
                self._logged[key] = event.sequence + 1
                self.lines.append(
                    {
                        "at_s": self.clock.monotonic_s(),
                        "event": event.kind.value,
                        "vm": event.vm,
                        "actor": event.actor,
                        "reason": event.reason,
                    }
                )


class GoldenTest(unittest.TestCase):
    def test_rollout_with_an_outage_and_a_planner_killed_while_draining(self) -> None:
        settings = RunSettings(store_outages_s=((250.0, 400.0),), end_s=1_500.0)
        run = RecordedRun(SMALL, settings, "golden")
        killed = False
        while run.clock.monotonic_s() < settings.end_s and not run.all_maintained():
            run.clock.advance(1.0)
            run.step()
            if not killed and any(line.get("decision") == "DrainVm" for line in run.lines):
                killed = True
                by = next(each["by"] for each in run.lines if each.get("decision") == "DrainVm")
                names = [controller.name for controller in run.controllers]
                run.kill(names.index(by))
                run.lines.append({"at_s": run.clock.monotonic_s(), "killed": by})
        self.assertTrue(run.all_maintained())
        self.assertEqual(run.figures.budget_breaches + run.figures.over_held, 0)
        verify_session(run.lines)

    def test_a_quiet_planner_with_a_short_lease_does_not_take_the_store_for_unavailable(
        self,
    ) -> None:
        """Guards against reads rarer than the age up to which a read counts as recent."""
        settings = MaintenanceSettings(lease_s=3.0, renew_every_s=1.0)
        run = FleetSimulation(SMALL, RunSettings(controllers=1), "quiet", settings)
        run.run()
        self.assertIsNotNone(run.figures.rollout_s)
        found: Counter[Obstacle | None] = Counter()
        for _ in range(60):
            run.clock.advance(0.5)
            run.step()
            now_s, now = run.clock.monotonic_s(), run.clock.now()
            for each in run.controllers:
                vm = next(iter(decode_map(run.store.values[assignment_key(each.data_centre)]).vms))
                found[each.planner.explain(vm, now_s, now).obstacle] += 1
        self.assertEqual(found, {Obstacle.NOT_DUE: 60 * len(run.controllers)})

    def test_every_vm_under_way_is_in_one_record_only(self) -> None:
        run = RecordedRun(SMALL, RunSettings(end_s=300.0), "one")
        run.run()
        maps = [decode_map(run.store.values[assignment_key(dc)]) for dc in ("dc1", "dc2")]
        self.assertFalse(maps[0].vms.keys() & maps[1].vms.keys())

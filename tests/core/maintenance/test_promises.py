"""Guarantees of planned stops under faults.

Several tests run again with the mechanism behind the guarantee disabled and expect a breach then.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from toucandoor.core.maintenance import planner as planner_module
from toucandoor.core.maintenance.models import DrainVm
from toucandoor.core.maintenance.wave import WavePlanner
from toucandoor.fakes.fleets import OBERLAND, SMALL, WHISTLELINE
from toucandoor.measures._fleet_models import RunSettings
from toucandoor.measures._fleet_run import FleetSimulation
from toucandoor.measures.budget_breach import CASES, CheckThenAct, breaches


class BlindToOutages(WavePlanner):
    """Grants places as if no VM were out without a planned stop."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.unplanned = {}


class LateDrain(FleetSimulation):
    """Freezes the first planner for 400 s before its first drain; by then that stop has ended."""

    late = False

    def _carry_out(self, controller: Any, decision: Any) -> None:
        if isinstance(decision, DrainVm) and not self.late:
            self.late = True
            controller.delayed_decisions.append(decision)
            controller.frozen_until_s = self.clock.monotonic_s() + 400
            return
        super()._carry_out(controller, decision)


def _run(name: str, seed: str, end_s: float, **options: object) -> FleetSimulation:
    case = replace(CASES[name], end_s=end_s)
    run = FleetSimulation(OBERLAND, case, seed, **options)  # type: ignore[arg-type]
    run.run()
    return run


def _run_500_s(run: FleetSimulation) -> None:
    """Run for 500 s, even if every VM is maintained before that."""
    for _ in range(500):
        run.clock.advance(1.0)
        run.step()
    run.update_totals()


class FaultsTest(unittest.TestCase):
    def test_budgets_hold_in_every_fault_alone(self) -> None:
        for name, case in CASES.items():
            with self.subTest(name):
                figures = FleetSimulation(WHISTLELINE, replace(case, end_s=600.0), "faults").run()
                self.assertEqual(breaches(figures), 0)
                self.assertGreater(figures.planned_starts, 5)

    def test_two_data_centres_do_not_share_the_last_place_during_an_outage(self) -> None:
        seed = "s6"
        self.assertEqual(breaches(_run("restarts", seed, 360.0).figures), 0)
        with mock.patch("toucandoor.core.pools.budget._reserved", return_value=0):
            run = _run("restarts", seed, 360.0, wave_planner=BlindToOutages)
        self.assertGreater(run.figures.budget_breaches, 0)

    def test_without_places_taken_first_budgets_break(self) -> None:
        found = 0
        for seed in ("s7", "s9"):
            self.assertEqual(breaches(_run("freezes", seed, 400.0).figures), 0)
            figures = _run("freezes", seed, 400.0, wave_planner=CheckThenAct).figures
            found += figures.over_held + figures.budget_breaches
        self.assertGreater(found, 0)

    def test_without_boot_and_fence_late_acts_stop_vms_in_service(self) -> None:
        case = RunSettings(late_command_ratio=1.0, end_s=500.0)
        run = LateDrain(SMALL, case, "late")
        _run_500_s(run)
        self.assertEqual((run.figures.unplaced_stops, run.figures.refused_acts), (0, 1))
        run = LateDrain(SMALL, case, "late", guarded=False)
        _run_500_s(run)
        self.assertEqual(run.figures.unplaced_stops, 1)

    def test_waves_pause_and_resume_with_the_signals(self) -> None:
        self.assertEqual(_run("bad_signals", "s", 420.0).figures.starts_while_signals_bad, 0)
        with mock.patch.object(planner_module.SignalGate, "reason", return_value=None):
            run = _run("bad_signals", "s", 420.0)
        self.assertGreater(run.figures.starts_while_signals_bad, 0)

    def test_a_store_outage_lapses_nobody(self) -> None:
        run = FleetSimulation(
            WHISTLELINE, RunSettings(store_outages_s=((100, 400),), end_s=500.0), "lapse"
        )
        run.run()
        self.assertEqual(run.figures.takeovers, 3)

    def test_stops_under_way_finish_while_the_store_is_away(self) -> None:
        run = FleetSimulation(
            WHISTLELINE, RunSettings(store_outages_s=((60.0, 900.0),), end_s=450.0), "away"
        )
        run.run()
        self.assertGreater(run.figures.planned_starts, 0)
        self.assertFalse([vm.vm for vm in run.vms.values() if vm.draining])
        self.assertEqual(sum(vm.reboots for vm in run.vms.values()), run.figures.planned_starts)
        self.assertEqual(run.figures.starts_while_away, 0)


class FleetMachine(RuleBasedStateMachine):
    """Kills and freezes of controllers, store outages, lost answers and VM crashes in any order.

    Rule names are part of the order in which examples are drawn.
    """

    def __init__(self) -> None:
        super().__init__()
        self.run = FleetSimulation(
            SMALL, RunSettings(lost_answer_ratio=0.1, task_max_s=20.0), "machine"
        )

    @rule(steps=st.integers(1, 40))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.run.clock.advance(1.0)
            self.run.step()

    @rule(index=st.integers(0, 3))
    def controller_killed(self, index: int) -> None:
        self.run.kill(index)

    @rule(index=st.integers(0, 3), seconds=st.floats(1, 60))
    def controller_frozen(self, index: int, seconds: float) -> None:
        controller = self.run.controllers[index]
        now_s = self.run.clock.monotonic_s()
        delayed = self.run._handle_event(controller, planner_module.Tick())
        controller.delayed_decisions += delayed
        controller.frozen_until_s = now_s + seconds

    @rule()
    def store_goes_or_returns(self) -> None:
        self.run.store_down = not self.run.store_down

    @rule(index=st.integers(0, 3), down_s=st.floats(1, 300))
    def vm_crashes(self, index: int, down_s: float) -> None:
        vm = sorted(self.run.vms.values(), key=lambda each: each.vm)[index]
        vm.crash(self.run.clock.monotonic_s(), down_s)

    @invariant()
    def promises_hold(self) -> None:
        self.run.update_totals()
        assert breaches(self.run.figures) == 0, self.run.figures


FleetMachine.TestCase.settings = settings(
    max_examples=12,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class FleetMachineTest(FleetMachine.TestCase, unittest.TestCase):
    pass

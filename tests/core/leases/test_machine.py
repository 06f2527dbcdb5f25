"""Leases and acceptance under random faults, and a baseline under the same faults.

Guards against a version that is reported as accepted while an entry can still start keyed work
under a lower one. The baseline accepts on the store write alone and must be caught.
"""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.core.leases.machine import FleetMachine
from toucandoor.measures._fleet_model import FalseAcceptanceError

SETTINGS = settings(
    max_examples=120,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


class EarlyMachine(FleetMachine):
    early = True


class MachineTest(unittest.TestCase):
    def test_accepted_is_never_false_and_nothing_reverts(self) -> None:
        run_state_machine_as_test(FleetMachine, settings=SETTINGS)

    def test_baseline_accepts_on_the_write_and_is_caught(self) -> None:
        with self.assertRaises(FalseAcceptanceError):
            run_state_machine_as_test(EarlyMachine, settings=SETTINGS)

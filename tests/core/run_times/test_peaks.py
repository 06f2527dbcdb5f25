"""VM time and waiting in peaks with wrong estimates, beside the callers' estimates alone."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.core.run_times.peaks import Peaks
from toucandoor.core.run_times.models import CALLER_ESTIMATES

if TYPE_CHECKING:
    from tests.core.run_times.peaks import EstimateRatio


def both(estimate_ratio: EstimateRatio, tail_part: float = 0.0) -> tuple[Peaks, Peaks]:
    """Return the same peaks with learned run times and with the callers' estimates."""
    learned = Peaks(estimate_ratio, None, tail_part)
    estimates = Peaks(estimate_ratio, CALLER_ESTIMATES, tail_part)
    for peaks in (learned, estimates):
        peaks.run(2)
    return learned, estimates


class PeakTest(unittest.TestCase):
    def test_estimates_that_are_too_high_cost_less_vm_time(self) -> None:
        """On deployment H, pools were sized by estimates a third above what was used."""
        learned, estimates = both(lambda _rng, _now_s: 1.9)
        self.assertLess(learned.vm_s, 0.9 * estimates.vm_s)
        self.assertLess(learned.waited_s, 1.25 * estimates.waited_s)

    def test_estimates_that_are_too_low_cause_less_waiting(self) -> None:
        learned, estimates = both(lambda _rng, _now_s: 0.1)
        self.assertLess(learned.waited_s, 0.7 * estimates.waited_s)
        self.assertLess(learned.vm_s, 1.4 * estimates.vm_s)

    def test_right_estimates_change_nothing(self) -> None:
        learned, estimates = both(lambda _rng, _now_s: 1.0)
        self.assertEqual(learned.vm_s, estimates.vm_s)
        self.assertEqual(learned.waited_s, estimates.waited_s)

    def test_errors_in_both_directions_and_a_tail_change_little(self) -> None:
        """The mean of single ratios would ask for a fifth more VM time; their sums do not."""
        learned, estimates = both(lambda rng, _now_s: rng.uniform(0.1, 1.9), tail_part=0.03)
        self.assertLess(learned.vm_s, 1.1 * estimates.vm_s)
        self.assertLess(learned.waited_s, 1.1 * estimates.waited_s)

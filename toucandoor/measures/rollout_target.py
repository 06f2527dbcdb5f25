"""Time to maintain every VM once at the target fleet size; takes many minutes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.fakes.fleets import TARGET
from toucandoor.measures.rollout_time import roll_out

if TYPE_CHECKING:
    from toucandoor.measures.result import MeasureResult


def run(seed: int) -> MeasureResult:
    """Maintain all VMs of the target fleet, with VM failures and restarts at its rates."""
    return roll_out("rollout_target", seed, [TARGET])

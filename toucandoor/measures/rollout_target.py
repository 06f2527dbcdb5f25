"""Time to maintain every VM once at the target size; takes many minutes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.fakes.fleets import TARGET
from toucandoor.measures.rollout_time import roll_out

if TYPE_CHECKING:
    from toucandoor.measures.result import MeasureResult


def run(seed: int) -> MeasureResult:
    """Roll out over the target's fleet with its failures and restarts."""
    return roll_out("rollout_target", seed, [TARGET])

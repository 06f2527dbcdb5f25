"""Waves of maintenance that operators order by name of the VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from toucandoor.ids import VmId


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """An operators' order to maintain certain VMs.

    Attributes:
        number: Number of the wave.
        vms: VMs to maintain.
        within_s: Time in which all must have begun, from the order.
        down_max: Most of them that may be down at once.
    """

    number: int
    vms: tuple[VmId, ...]
    within_s: float
    down_max: int

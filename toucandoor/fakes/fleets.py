"""Configurations of fleets of the users' sizes and the target size, for tests and measurements."""

from __future__ import annotations

from dataclasses import dataclass

from toucandoor.core.configuration.models import Configuration
from toucandoor.ids import DataCentreId


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of a fleet.

    Attributes:
        name: Name of the fleet.
        pools: Number of pools.
        vms: Number of VMs, spread evenly over pools, then over data centres.
        data_centres: Number of data centres.
        vms_per_rack: Number of VMs in a rack.
        unavailable_max: Each pool's availability budget: how many of its VMs may be unavailable at
            once.
    """

    name: str
    pools: int
    vms: int
    data_centres: int
    vms_per_rack: int
    unavailable_max: int


WHISTLELINE = FleetSize("whistleline", 5, 30, 3, 4, 2)
OBERLAND = FleetSize("oberland", 5, 40, 4, 4, 2)
TARGET = FleetSize("target", 35, 2000, 6, 4, 3)
SMALL = FleetSize("small", 2, 4, 2, 2, 1)
SIZES = (WHISTLELINE, OBERLAND, TARGET)


def data_centres(size: FleetSize) -> list[DataCentreId]:
    """Return the ids of a fleet's data centres."""
    return [DataCentreId(f"dc{index + 1}") for index in range(size.data_centres)]


def fleet_configuration(size: FleetSize) -> Configuration:
    """Return a fleet's configuration; consecutive VMs of a rack belong to different pools."""
    centres = data_centres(size)
    placed = dict.fromkeys(centres, 0)
    vms = {}
    for index in range(size.vms):
        pool, member = index % size.pools, index // size.pools
        centre = centres[(member + pool) % size.data_centres]
        rack = placed[centre] // size.vms_per_rack
        placed[centre] += 1
        vms[f"vm{index:04}"] = {
            "pool": f"pool{pool + 1}",
            "data_centre": centre,
            "rack": f"{centre}-r{rack + 1}",
            "address": f"127.0.{index // 200}.{index % 200 + 1}:8080",
        }
    return Configuration.model_validate(
        {
            "data_centres": {each: {"region": "region1"} for each in centres},
            "pools": {
                f"pool{index + 1}": {"unavailable_max": size.unavailable_max}
                for index in range(size.pools)
            },
            "vms": vms,
        }
    )

"""Building the fleet's records and reading them back from stored values."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.pools.budget import with_limits
from toucandoor.core.pools.const import KEY_LEDGER
from toucandoor.core.pools.models import (
    AssignmentMap,
    BudgetLedger,
    FleetRead,
    VmAssignment,
    assignment_key,
    decode_ledger,
    decode_map,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.core.configuration.models import Configuration
    from toucandoor.ids import DataCentreId, PoolId, VmId


def fleet_keys(data_centres: Iterable[DataCentreId]) -> list[str]:
    """Return the keys that a full read of the fleet's records takes."""
    return [KEY_LEDGER, *(assignment_key(each) for each in sorted(data_centres))]


def fleet_read(
    data_centres: Iterable[DataCentreId],
    stored: Mapping[str, tuple[bytes | None, int]],
    *,
    unavailable: frozenset[VmId] = frozenset(),
    unseen: frozenset[DataCentreId] = frozenset(),
) -> FleetRead:
    """Return the event for values and revisions read by key; absent records are empty."""
    maps = {}
    for data_centre in sorted(data_centres):
        value, _ = stored.get(assignment_key(data_centre), (None, 0))
        maps[data_centre] = decode_map(value) if value else AssignmentMap(data_centre)
    value, _ = stored.get(KEY_LEDGER, (None, 0))
    return FleetRead(
        maps,
        decode_ledger(value) if value else BudgetLedger(),
        {key: revision for key, (_, revision) in stored.items()},
        unavailable,
        unseen,
    )


def limits(configuration: Configuration) -> dict[PoolId, int]:
    """Return each pool's budget as operators decided it."""
    return {pool: each.unavailable_max for pool, each in configuration.pools.items()}


def first_map(
    configuration: Configuration, version: int, data_centre: DataCentreId
) -> AssignmentMap:
    """Return a data centre's first assignment map, every VM at home."""
    vms = {
        vm_id: VmAssignment(vm.pool, vm.pool, vm.rack)
        for vm_id, vm in sorted(configuration.vms.items())
        if vm.data_centre == data_centre
    }
    return AssignmentMap(data_centre, configuration_version=version, vms=vms)


def first_ledger(configuration: Configuration, version: int) -> BudgetLedger:
    """Return a ledger that has handed nothing out yet."""
    return with_limits(BudgetLedger(), limits(configuration), version)

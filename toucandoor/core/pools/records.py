"""First records of a fleet, and decoding of stored ones."""

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
    """Return the keys of all fleet records: the ledger and each data centre's map."""
    return [KEY_LEDGER, *(assignment_key(each) for each in sorted(data_centres))]


def fleet_read(
    data_centres: Iterable[DataCentreId],
    stored: Mapping[str, tuple[bytes | None, int]],
    *,
    unavailable: frozenset[VmId] = frozenset(),
    unmonitored: frozenset[DataCentreId] = frozenset(),
) -> FleetRead:
    """Return the event for a read of all fleet records.

    Args:
        data_centres: All data centres.
        stored: Value and revision by key; a record that does not exist counts as empty.
        unavailable: VMs that are out, also if their map does not say so.
        unmonitored: Data centres whose outages no planner records now.
    """
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
        unmonitored,
    )


def pool_limits(configuration: Configuration) -> dict[PoolId, int]:
    """Return each pool's ``unavailable_max`` in a configuration."""
    return {pool: each.unavailable_max for pool, each in configuration.pools.items()}


def first_map(
    configuration: Configuration, version: int, data_centre: DataCentreId
) -> AssignmentMap:
    """Return a data centre's first assignment map, with every VM in its home pool."""
    vms = {
        vm_id: VmAssignment(vm.pool, vm.pool, vm.rack)
        for vm_id, vm in sorted(configuration.vms.items())
        if vm.data_centre == data_centre
    }
    return AssignmentMap(data_centre, configuration_version=version, vms=vms)


def first_ledger(configuration: Configuration, version: int) -> BudgetLedger:
    """Return a ledger that has not granted any places."""
    return with_limits(BudgetLedger(), pool_limits(configuration), version)

"""Availability budgets of pools.

A pool's budget, ``unavailable_max``, is the number of its VMs that may be out of service or lent to
another pool at the same time. A place is one unit of it: the right to take out or lend one VM. The
ledger grants places to data centres; a data centre that no longer needs a place returns it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from toucandoor.core.pools.models import PoolLimit

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable

    from toucandoor.core.pools.models import AssignmentMap, BudgetLedger, FleetRead
    from toucandoor.ids import DataCentreId, PoolId, VmId


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Use of a pool's budget across the fleet, as one data centre sees it.

    Attributes:
        limit: The pool's ``unavailable_max``.
        planned: VMs in a planned stop.
        lent: VMs of the pool that serve another pool.
        unplanned: VMs out for another cause, or in an unmonitored data centre.
        reserved: Places that other data centres hold and do not use as far as is known.
    """

    limit: int
    planned: frozenset[VmId]
    lent: frozenset[VmId]
    unplanned: frozenset[VmId]
    reserved: int = 0

    @property
    def used(self) -> int:
        """Number of VMs that count against the budget, for any cause."""
        return len(self.planned) + len(self.lent) + len(self.unplanned)

    @property
    def room(self) -> int:
        """Number of VMs that may still be taken out now.

        Unused places of other data centres count as used: after an outage, the places granted may
        exceed the budget, and two data centres must not both use theirs then.
        """
        return self.limit - self.used - self.reserved


def budget_uses(read: FleetRead, here: DataCentreId) -> dict[PoolId, BudgetUse]:
    """Return the use of every pool's budget in all data centres, as seen from one of them.

    Args:
        read: All fleet records.
        here: Data centre whose own unused places don't count as used.
    """
    planned: dict[PoolId, set[VmId]] = {}
    lent: dict[PoolId, set[VmId]] = {}
    unplanned: dict[PoolId, set[VmId]] = {}
    for data_centre, record in read.maps.items():
        unmonitored = data_centre in read.unmonitored
        for vm_id, vm in record.vms.items():
            if vm.home != vm.pool:
                lent.setdefault(vm.home, set()).add(vm_id)
            if vm.planned_out:
                planned.setdefault(vm.pool, set()).add(vm_id)
            elif unmonitored or vm.out_since is not None or vm_id in read.unavailable:
                unplanned.setdefault(vm.pool, set()).add(vm_id)
    occupied = {
        data_centre: record.places_occupied()
        for data_centre, record in read.maps.items()
        if data_centre != here
    }
    return {
        pool: BudgetUse(
            limit.unavailable_max,
            frozenset(planned.get(pool, ())),
            frozenset(lent.get(pool, ())),
            frozenset(unplanned.get(pool, ())),
            _reserved(read, pool, occupied),
        )
        for pool, limit in read.ledger.limits.items()
    }


def _reserved(read: FleetRead, pool: PoolId, occupied: dict[DataCentreId, Counter[PoolId]]) -> int:
    ledger = read.ledger
    reserved = 0
    for data_centre, taken in occupied.items():
        record = read.maps[data_centre]
        granted = granted_to(ledger, pool, data_centre)
        granted = max(granted, record.granted_seen.get(pool, 0))
        returned = ledger.returned.get(pool, {}).get(data_centre, 0)
        returned = max(returned, record.returned.get(pool, 0))
        reserved += max(0, granted - returned - taken[pool])
    return reserved


def with_limits(ledger: BudgetLedger, limits: dict[PoolId, int], version: int) -> BudgetLedger:
    """Return the ledger with the budgets of a configuration; budgets of a newer one stay."""
    changed = dict(ledger.limits)
    for pool, unavailable_max in limits.items():
        known = changed.get(pool)
        if known is not None and known.version >= version:
            continue
        if known is None or known.unavailable_max != unavailable_max:
            changed[pool] = PoolLimit(version, unavailable_max)
    return ledger if changed == ledger.limits else replace(ledger, limits=changed)


def with_returns(ledger: BudgetLedger, maps: Iterable[AssignmentMap]) -> BudgetLedger:
    """Return the ledger with all places recorded as returned that the maps have returned."""
    returned = {pool: dict(counts) for pool, counts in ledger.returned.items()}
    for record in maps:
        for pool, count in record.returned.items():
            counts = returned.setdefault(pool, {})
            counts[record.data_centre] = max(count, counts.get(record.data_centre, 0))
    return ledger if returned == ledger.returned else replace(ledger, returned=returned)


def with_grant(ledger: BudgetLedger, pool: PoolId, data_centre: DataCentreId) -> BudgetLedger:
    """Return the ledger with one more place granted to a data centre."""
    counts = ledger.granted.get(pool, {})
    granted = {**counts, data_centre: counts.get(data_centre, 0) + 1}
    return replace(ledger, granted={**ledger.granted, pool: granted})


def granted_to(ledger: BudgetLedger, pool: PoolId, data_centre: DataCentreId) -> int:
    """Return the total of places ever granted to a data centre."""
    return ledger.granted.get(pool, {}).get(data_centre, 0)


def with_received(record: AssignmentMap, ledger: BudgetLedger, pool: PoolId) -> AssignmentMap:
    """Return the map with all places of a pool received that the ledger has granted to it."""
    granted = granted_to(ledger, pool, record.data_centre)
    if granted <= record.granted_seen.get(pool, 0):
        return record
    return replace(record, granted_seen={**record.granted_seen, pool: granted})


def with_returned(record: AssignmentMap, pool: PoolId, places: int) -> AssignmentMap:
    """Return the map with a number of idle places of a pool returned."""
    returned = {**record.returned, pool: record.returned.get(pool, 0) + places}
    return replace(record, returned=returned)

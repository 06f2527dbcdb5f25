"""Access to the fleet's records in the platform's store, with results as events of the core."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from toucandoor.core.maintenance.const import KEY_LEASE_PREFIX, LOG_SEGMENTS_KEPT
from toucandoor.core.maintenance.event_log import (
    LogRead,
    Segment,
    decode_segment,
    decode_summary,
    segment_key,
    summary_key,
)
from toucandoor.core.maintenance.lease import LeaseRead, decode_lease
from toucandoor.core.pools.const import KEY_ASSIGNMENT_PREFIX, KEY_LEDGER
from toucandoor.core.pools.models import (
    FleetRead,
    StoreUnavailable,
    SwapConflict,
    SwapDone,
    SwapUnconfirmed,
    assignment_key,
)
from toucandoor.core.pools.records import fleet_read
from toucandoor.exceptions import (
    StoreAnswerLostError,
    StoreConflictError,
    StoredRecordError,
    StoreError,
)
from toucandoor.ids import DataCentreId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.adapters.store_client import Store, StoredValue
    from toucandoor.core.pools.models import AssignmentMap, StoreAnswer, Swap

_LOGGER = logging.getLogger(__name__)


class FleetStore:
    """Reads and swaps the fleet's records and returns each outcome as an event.

    All calls block.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def swap(self, swap: Swap) -> StoreAnswer:
        """Carry out a compare-and-swap."""
        try:
            revision = self._store.put(
                swap.key, swap.value.decode(), expected_revision=swap.expected_revision
            )
        except StoreConflictError:
            return SwapConflict(swap.key)
        except StoreAnswerLostError:
            return SwapUnconfirmed(swap.key)
        except StoreError:
            return StoreUnavailable(swap.key)
        return SwapDone(swap.key, revision)

    def read_lease(self, key: str) -> LeaseRead | StoreUnavailable:
        """Read a planning lease."""
        try:
            stored = self._store.get(key)
        except StoreError:
            return StoreUnavailable(key)
        if stored is None:
            return LeaseRead(None, 0)
        try:
            return LeaseRead(decode_lease(stored.value.encode()), stored.revision)
        except msgspec.MsgspecError as err:
            return _undecodable(key, err)

    def read_fleet(self, data_centres: Iterable[DataCentreId]) -> FleetRead | StoreUnavailable:
        """Read all assignment maps, the budget ledger and the leases' revisions, in three calls.

        Args:
            data_centres: Data centres that exist by the configuration, with a map or without.
        """
        try:
            ledger = self._store.get(KEY_LEDGER)
            found = [ledger] if ledger else []
            found += self._store.list(KEY_ASSIGNMENT_PREFIX)
            found += self._store.list(KEY_LEASE_PREFIX)
        except StoreError:
            return StoreUnavailable(KEY_ASSIGNMENT_PREFIX)
        try:
            return _fleet_read({*data_centres, *_mapped_data_centres(found)}, found)
        except msgspec.MsgspecError as err:
            return _undecodable(KEY_ASSIGNMENT_PREFIX, err)

    def read_fleet_with_maps(
        self,
        data_centres: Iterable[DataCentreId],
        maps: dict[DataCentreId, AssignmentMap],
        revisions: dict[str, int],
    ) -> FleetRead | StoreUnavailable:
        """Read the budget ledger and the leases' revisions; use the given maps.

        Args:
            data_centres: Data centres that exist by the configuration, with a map or without.
            maps: Maps from the last answer of a watch.
            revisions: Revisions of these maps, by key.
        """
        try:
            ledger = self._store.get(KEY_LEDGER)
            found = [ledger] if ledger else []
            found += self._store.list(KEY_LEASE_PREFIX)
        except StoreError:
            return StoreUnavailable(KEY_LEDGER)
        try:
            read = _fleet_read({*data_centres, *maps}, found)
        except msgspec.MsgspecError as err:
            return _undecodable(KEY_LEDGER, err)
        return replace(read, maps=read.maps | maps, revisions=read.revisions | revisions)

    def read_log(self, data_centre: DataCentreId) -> LogRead | StoreUnavailable:
        """Read the summary of a data centre's event log and the segment being written."""
        try:
            stored = self._store.get(summary_key(data_centre))
            summary = decode_summary(stored.value.encode() if stored else None)
            stored_segment = self._store.get(segment_key(data_centre, summary.segment))
            segment = decode_segment(stored_segment.value.encode() if stored_segment else None)
        except StoreError:
            return StoreUnavailable(summary_key(data_centre))
        except msgspec.MsgspecError as err:
            return _undecodable(summary_key(data_centre), err)
        return LogRead(
            summary,
            stored.revision if stored else 0,
            segment,
            stored_segment.revision if stored_segment else 0,
        )

    def read_segments(self, data_centre: DataCentreId) -> list[Segment]:
        """Return all segments of a data centre's event log.

        Raises:
            StoreError: The store could not be read.
        """
        stored = [
            self._store.get(segment_key(data_centre, number)) for number in range(LOG_SEGMENTS_KEPT)
        ]
        try:
            segments = [decode_segment(value.value.encode()) for value in stored if value]
        except msgspec.MsgspecError as err:
            raise StoredRecordError(str(err), step="fleet.read_segments") from err
        return [each for each in segments if each]


def _undecodable(key: str, err: msgspec.MsgspecError) -> StoreUnavailable:
    """Treat a record that cannot be decoded like one that cannot be read now."""
    _LOGGER.error("fleet: the record %s cannot be decoded: %s", key, err)
    return StoreUnavailable(key)


def _mapped_data_centres(found: list[StoredValue]) -> set[DataCentreId]:
    return {
        DataCentreId(each.key.removeprefix(KEY_ASSIGNMENT_PREFIX))
        for each in found
        if each.key.startswith(KEY_ASSIGNMENT_PREFIX)
    }


def _fleet_read(data_centres: set[DataCentreId], found: list[StoredValue]) -> FleetRead:
    stored: dict[str, tuple[bytes | None, int]] = {
        each.key: (each.value.encode(), each.revision) for each in found
    }
    for data_centre in data_centres:
        stored.setdefault(assignment_key(data_centre), (None, 0))
    stored.setdefault(KEY_LEDGER, (None, 0))
    return fleet_read(data_centres, stored)

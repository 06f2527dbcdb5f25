"""Keeps the fleet's assignment maps up to date through a watch on the store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.adapters.threads import async_call
from toucandoor.core.pools.const import KEY_ASSIGNMENT_PREFIX
from toucandoor.core.pools.models import assignment_key, decode_map
from toucandoor.exceptions import StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from toucandoor.adapters.store_client import Store, StoredValue, WatchResult
    from toucandoor.clock import Clock
    from toucandoor.core.pools.models import AssignmentMap
    from toucandoor.ids import DataCentreId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "fleet maps:"
_RETRY_S = 0.5
_FRESHNESS_MARGIN_S: Final = 5.0


class FleetMaps:
    """Watches the assignment maps of all data centres, for the entries' routing and for commands.

    Args:
        watch_wait_s: Time after which a watch without changes answers, in seconds.
        announce: Called after each change of the maps.

    Attributes:
        maps: Latest map of each data centre.
    """

    def __init__(
        self,
        store: Store,
        watch_wait_s: float,
        clock: Clock,
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._answered_s = float("-inf")
        self._watch_wait_s = watch_wait_s
        self._announce = announce
        self._revisions: dict[DataCentreId, int] = {}
        self.maps: dict[DataCentreId, AssignmentMap] = {}

    def is_fresh(self) -> bool:
        """Return whether the watch has answered recently enough for the maps to be current."""
        age_s = self._clock.monotonic_s() - self._answered_s
        return age_s <= self._watch_wait_s + _FRESHNESS_MARGIN_S

    def revisions(self) -> dict[str, int]:
        """Return the revision of each map, by the map's key."""
        return {assignment_key(each): revision for each, revision in self._revisions.items()}

    async def async_run(self) -> None:
        """Watch the maps until cancelled; keep the last ones while the store is unavailable."""
        revision = -1
        while True:
            try:
                if revision < 0:
                    found = await async_call(lambda: self._store.list(KEY_ASSIGNMENT_PREFIX))
                    revision = max((each.revision for each in found), default=0)
                    await self._async_update(found)
                result = await self._async_watch(revision)
                revision = result.revision
                await self._async_update(result.changed)
                self._answered_s = self._clock.monotonic_s()
            except StoreError as err:
                revision = -1
                _LOGGER.warning("%s cannot watch the assignment maps: %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    async def _async_watch(self, after_revision: int) -> WatchResult:
        return await async_call(
            lambda: self._store.watch(KEY_ASSIGNMENT_PREFIX, after_revision, self._watch_wait_s)
        )

    async def _async_update(self, found: tuple[StoredValue, ...]) -> None:
        newer = False
        for stored in found:
            try:
                record = decode_map(stored.value.encode())
            except msgspec.MsgspecError as err:
                _LOGGER.error("%s the record %s cannot be decoded: %s", _PREFIX, stored.key, err)
                continue
            if stored.revision > self._revisions.get(record.data_centre, 0):
                self._revisions[record.data_centre] = stored.revision
                self.maps[record.data_centre] = record
                newer = True
        if newer:
            await self._announce()

"""Controller task that registers this VM's slot and removes slots."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from typing import TYPE_CHECKING

from toucandoor.core.leases.models import EntrySlot
from toucandoor.exceptions import StoreConflictError, StoreError, ToucandoorError

if TYPE_CHECKING:
    from toucandoor.adapters.configuration_task import ConfigurationTask
    from toucandoor.adapters.in_force_task import InForceTask
    from toucandoor.adapters.settings import ControllerSettings
    from toucandoor.clock import Clock
    from toucandoor.core.configuration.head import HeadRecord
    from toucandoor.ids import EntryId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "slots:"
_REGISTER_RETRY_S = 0.4
_REGISTER_RETRY_MAX_S = 5.0


class SlotsTask:
    """Changes the slots of the head record while its present version is in force everywhere.

    Otherwise more than two sets of slots could be in use at once; see `HeadRecord.with_slot`.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        configuration: ConfigurationTask,
        in_force: InForceTask,
        clock: Clock,
    ) -> None:
        self._own_slot = EntrySlot(settings.entry_id, settings.data_centre, settings.link_address)
        self._configuration = configuration
        self._in_force = in_force
        self._clock = clock
        self._random = random.Random(settings.entry_id)
        self._drop_task: asyncio.Task[None] | None = None

    async def async_register(self) -> None:
        """Add this VM's slot to the head record; retry until that succeeds."""
        wait_s = _REGISTER_RETRY_S
        while True:
            try:
                if await self._async_try_register():
                    return
                wait_s = _REGISTER_RETRY_S
            except ToucandoorError as err:
                _LOGGER.info("%s not registered yet: %s", _PREFIX, err)
                wait_s = min(2 * wait_s, _REGISTER_RETRY_MAX_S)
            await asyncio.sleep(wait_s * self._random.uniform(0.5, 1.5))

    async def async_remove(self, entry: EntryId, within_s: float) -> bool:
        """Remove an entry VM's slot; return whether there was one.

        Args:
            within_s: Time to wait until the present version is in force everywhere, in seconds.

        Raises:
            StoreConflictError: The present version is not in force everywhere yet.
            StoreError: The store could not be reached.
        """
        record, _ = await self._configuration.async_read()
        pending = await self._in_force.async_wait_accepted(record, within_s)

        def change(present: HeadRecord) -> HeadRecord | None:
            if all(slot.entry != entry for slot in present.slots):
                return None
            in_force = not pending and present.version == record.version
            changed = present.without_slot(entry, in_force_everywhere=in_force)
            if changed is None:
                raise StoreConflictError(
                    "the present version is not in force everywhere yet; try again",
                    step="slots.remove",
                    peer=entry,
                )
            return changed

        written = await self._configuration.async_swap(change)
        self._drop_task = asyncio.create_task(self._async_drop_previous_slots(written))
        return written.version > record.version

    async def _async_drop_previous_slots(self, record: HeadRecord) -> None:
        """Remove the previous slots from the head record once a change is in force everywhere."""
        await self._in_force.async_wait_accepted(record, math.inf)
        try:
            await self._configuration.async_swap(
                lambda present: present.without_previous_slots(record.slots)
            )
        except StoreError as err:
            _LOGGER.info("%s previous slots stay until the next change: %s", _PREFIX, err)

    async def _async_try_register(self) -> bool:
        if self._own_slot in self._configuration.record.slots:
            return True
        record, _ = await self._configuration.async_read()
        if self._own_slot in record.slots:
            return True
        acceptance = self._in_force.track_acceptance(record) if record.content_version else None
        in_force = acceptance is not None and acceptance.accepted(self._clock.monotonic_s())

        def change(present: HeadRecord) -> HeadRecord | None:
            registered = self._own_slot in present.slots
            same = present.version == record.version
            return (
                None
                if registered
                else present.with_slot(self._own_slot, in_force_everywhere=in_force and same)
            )

        written = await self._configuration.async_swap(change)
        return self._own_slot in written.slots

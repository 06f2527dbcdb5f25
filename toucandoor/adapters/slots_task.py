"""Controller task that registers this VM's slot and takes slots out."""

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
_REGISTER_WAIT_S = 0.4
_REGISTER_WAIT_MAX_S = 5.0


class SlotsTask:
    """Changes the head record's slots, each time after the version before is in force."""

    def __init__(
        self,
        settings: ControllerSettings,
        configuration: ConfigurationTask,
        in_force: InForceTask,
        clock: Clock,
    ) -> None:
        self._me = EntrySlot(settings.entry_id, settings.data_centre, settings.link_address)
        self._configuration = configuration
        self._in_force = in_force
        self._clock = clock
        self._random = random.Random(settings.entry_id)
        self._settling: asyncio.Task[None] | None = None

    async def async_register(self) -> None:
        """Take part: have this VM's slot in the head record."""
        wait_s = _REGISTER_WAIT_S
        while True:
            try:
                if await self._async_try_register():
                    return
                wait_s = _REGISTER_WAIT_S
            except ToucandoorError as err:
                _LOGGER.info("%s not registered yet: %s", _PREFIX, err)
                wait_s = min(2 * wait_s, _REGISTER_WAIT_MAX_S)
            await asyncio.sleep(wait_s * self._random.uniform(0.5, 1.5))

    async def async_remove(self, entry: EntryId, within_s: float) -> bool:
        """Take an entry VM's slot out for good; return whether it was there.

        Raises:
            StoreConflictError: The version before it is not in force everywhere yet.
            StoreError: The store could not be asked.
        """
        record, _ = await self._configuration.async_read()
        pending = await self._in_force.async_wait_accepted(record, within_s)

        def change(present: HeadRecord) -> HeadRecord | None:
            if all(slot.entry != entry for slot in present.slots):
                return None
            settled = not pending and present.version == record.version
            changed = present.without_slot(entry, in_force_everywhere=settled)
            if changed is None:
                raise StoreConflictError(
                    "the version before is not in force everywhere yet; try again",
                    step="slots.remove",
                    peer=entry,
                )
            return changed

        written = await self._configuration.async_swap(change)
        self._settling = asyncio.create_task(self._async_settle(written))
        return written.version > record.version

    async def _async_settle(self, record: HeadRecord) -> None:
        """Forget the slots before a change once nobody reckons by them any more."""
        await self._in_force.async_wait_accepted(record, math.inf)
        try:
            await self._configuration.async_swap(
                lambda present: present.without_previous_slots(record.slots)
            )
        except StoreError as err:
            _LOGGER.info("%s former slots stay until the next change: %s", _PREFIX, err)

    async def _async_try_register(self) -> bool:
        if self._me in self._configuration.record.slots:
            return True
        record, _ = await self._configuration.async_read()
        if self._me in record.slots:
            return True
        followed = self._in_force.follow(record) if record.content_version else None
        settled = followed is not None and followed.accepted(self._clock.monotonic_s())

        def change(present: HeadRecord) -> HeadRecord | None:
            here = self._me in present.slots
            same = present.version == record.version
            return (
                None if here else present.with_slot(self._me, in_force_everywhere=settled and same)
            )

        written = await self._configuration.async_swap(change)
        return self._me in written.slots

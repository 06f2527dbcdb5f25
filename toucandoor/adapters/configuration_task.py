"""Controller task that follows the configuration in the store and proposes changes to it."""

from __future__ import annotations

import asyncio
import json
import logging
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.adapters.threads import async_call
from toucandoor.core.configuration.models import Configuration
from toucandoor.exceptions import StoreConflictError, StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from toucandoor.adapters.store_client import Store, StoredValue, WatchResult

_LOGGER = logging.getLogger(__name__)
_PREFIX = "configuration:"
HEAD_KEY = "config/head"
_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Head:
    """The configuration's head record.

    Attributes:
        change_id: Id of the change that made this version, for reading back a lost answer.
        revision: Revision of the record in the store.
    """

    version: int
    change_id: str
    configuration: Configuration
    revision: int


class ConfigurationTask:
    """Holds the newest configuration seen; never takes a lower version."""

    def __init__(
        self, store: Store, watch_wait_s: float, announce: Callable[[Head], Awaitable[None]]
    ) -> None:
        self._store = store
        self._watch_wait_s = watch_wait_s
        self._announce = announce
        self.head: Head | None = None
        self.store_error = "not asked yet"

    async def async_run(self) -> None:
        """Follow the head record for ever."""
        revision = 0
        while True:
            try:
                if revision == 0:
                    await self._async_take(await async_call(lambda: self._store.get(HEAD_KEY)))
                result = await self._async_watch(revision)
                revision = result.revision
                self.store_error = ""
                for stored in result.changed:
                    await self._async_take(stored)
            except StoreError as err:
                self.store_error = str(err)
                _LOGGER.warning("%s %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    async def _async_watch(self, after_revision: int) -> WatchResult:
        return await async_call(
            lambda: self._store.watch(HEAD_KEY, after_revision, self._watch_wait_s)
        )

    async def async_propose(
        self, base_version: int, configuration: Configuration, change_id: str = ""
    ) -> Head:
        """Write a new version on top of a base version.

        Raises:
            StoreConflictError: Another change came first.
            StoreError: The store could not be asked; see its kinds.
        """
        stored = await async_call(lambda: self._store.get(HEAD_KEY))
        present = _parse(stored) if stored else None
        present_version = present.version if present else 0
        if present_version != base_version:
            raise StoreConflictError(
                f"version {present_version} is in force, the change is based on {base_version}",
                step="configuration.propose",
                peer=HEAD_KEY,
            )
        record = {
            "version": base_version + 1,
            "change_id": change_id or uuid.uuid4().hex,
            "configuration": configuration.model_dump(mode="json"),
        }
        expected = present.revision if present else 0
        text = json.dumps(record)
        revision = await async_call(
            lambda: self._store.put(HEAD_KEY, text, expected_revision=expected)
        )
        head = Head(base_version + 1, str(record["change_id"]), configuration, revision)
        await self._async_take_head(head)
        return head

    async def _async_take(self, stored: StoredValue | None) -> None:
        if stored is not None and stored.key == HEAD_KEY:
            await self._async_take_head(_parse(stored))

    async def _async_take_head(self, head: Head) -> None:
        if self.head is not None and head.version <= self.head.version:
            return
        self.head = head
        _LOGGER.info("%s version %s taken", _PREFIX, head.version)
        await self._announce(head)


def _parse(stored: StoredValue) -> Head:
    record = json.loads(stored.value)
    return Head(
        version=int(record["version"]),
        change_id=record["change_id"],
        configuration=Configuration.model_validate(record["configuration"]),
        revision=stored.revision,
    )

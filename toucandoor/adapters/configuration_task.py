"""Controller task that watches the configuration in the store and writes changes to it."""

from __future__ import annotations

import asyncio
import logging
import uuid
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from toucandoor.adapters.threads import async_call
from toucandoor.core.configuration.head import HeadRecord, join_parts, split_parts
from toucandoor.exceptions import (
    MessageError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreError,
)
from toucandoor.ids import OperationId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from toucandoor.adapters.store_client import Store, WatchResult
    from toucandoor.core.configuration.models import Configuration

_LOGGER = logging.getLogger(__name__)
_PREFIX = "configuration:"
HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"
_RETRY_S = 0.5
_SWAP_ATTEMPTS_MAX = 20
_RECENT_RECORDS_MAX = 32


@dataclass(frozen=True, slots=True)
class Head:
    """The newest configuration from operators.

    Attributes:
        version: Version of the head record, which entries and peers acknowledge.
        content_version: Version of the configuration, on which operators base their changes.
    """

    version: int
    content_version: int
    configuration: Configuration


class ConfigurationTask:
    """Keeps the newest configuration that was read; never replaces it by a lower version.

    Args:
        watch_wait_s: Time after which a watch without changes answers, in seconds.
        announce: Called with the head after each new head record.

    Attributes:
        record: Newest head record whose parts are all present here.
        head: The configuration of that record; None before operators have given one.
        store_error: Error of the last watch on the store; empty when it succeeded.
    """

    def __init__(
        self, store: Store, watch_wait_s: float, announce: Callable[[Head | None], Awaitable[None]]
    ) -> None:
        self._store = store
        self._watch_wait_s = watch_wait_s
        self._announce = announce
        self.record = HeadRecord()
        self.head: Head | None = None
        self.store_error = "not read yet"
        self._part_texts: dict[str, str] = {}
        self._recent_records: dict[int, HeadRecord] = {}

    async def async_run(self) -> None:
        """Watch the head record until cancelled."""
        revision = 0
        while True:
            try:
                if revision == 0:
                    await self.async_read()
                result = await self._async_watch(revision)
                revision = result.revision
                self.store_error = ""
                for stored in result.changed:
                    await self._async_load_record(HeadRecord.from_json(stored.value))
            except StoreError as err:
                revision = 0
                self.store_error = str(err)
                _LOGGER.warning("%s cannot follow the head record: %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    async def async_read(self) -> tuple[HeadRecord, int]:
        """Read the head record, apply it if it is newer, and return it with its revision.

        Returns:
            The head record and its revision in the store; an empty record and 0 without one.

        Raises:
            StoreError: The store could not be read.
        """
        stored = await async_call(lambda: self._store.get(HEAD_KEY))
        if stored is None:
            return HeadRecord(), 0
        record = HeadRecord.from_json(stored.value)
        await self._async_load_record(record)
        return record, stored.revision

    async def async_propose(
        self, base_version: int, configuration: Configuration, change_id: str = ""
    ) -> Head:
        """Write a new version based on a given version; a change already written is read back.

        Args:
            base_version: Content version that the change is based on.
            configuration: The whole new configuration.
            change_id: Id of the change; the same id makes a repeated call harmless.

        Raises:
            StoreConflictError: Another operator's change came first.
            StoreAnswerLostError: It may have been written: repeat with the same change id.
            StoreError: The store could not be reached; nothing was written.
        """
        operation = OperationId(change_id or uuid.uuid4().hex)

        def change(record: HeadRecord) -> HeadRecord | None:
            if record.version_of(operation) is not None:
                return None
            return record.with_content(base_version, configuration, operation)

        texts = split_parts(configuration)
        record = await self.async_swap(change, texts)
        content_version = record.version_of(operation) or record.content_version
        return Head(record.version, content_version, configuration)

    async def async_swap(
        self, change: Callable[[HeadRecord], HeadRecord | None], texts: dict[str, str] | None = None
    ) -> HeadRecord:
        """Replace the head record by compare-and-swap; retry while other writers come first.

        Args:
            change: Returns the next record for the present one, or None to leave it unchanged.
            texts: Text of each part, by section, where the configuration changes.

        Returns:
            The head record after the change.

        Raises:
            StoreConflictError: Other writers came first in all attempts, or `change` raised it.
            StoreAnswerLostError: The change may have been written.
            StoreError: The store could not be reached; the head record is unchanged.
        """
        for _ in range(_SWAP_ATTEMPTS_MAX):
            present, revision = await self.async_read()
            successor = change(present)
            if successor is None:
                return present
            try:
                await self._async_put_parts(present, successor, texts or {})
                text = successor.to_json()
                await self._async_put(HEAD_KEY, text, revision)
            except StoreConflictError:
                continue
            except StoreAnswerLostError:
                await self._async_read_back()
                continue
            await self._async_load_record(successor)
            return successor
        raise StoreConflictError(
            "other writers changed the head record first each time", step="configuration.swap"
        )

    async def _async_read_back(self) -> None:
        try:
            await self.async_read()
        except StoreError as err:
            raise StoreAnswerLostError(
                "the change may have been written; repeat it with its change id",
                step="configuration.swap",
                peer=HEAD_KEY,
            ) from err

    async def _async_put_parts(
        self, present: HeadRecord, successor: HeadRecord, texts: dict[str, str]
    ) -> None:
        stored = set(present.parts.values())
        for section, name in successor.parts.items():
            if name in stored:
                continue
            self._part_texts[name] = texts[section]
            try:
                await self._async_put(PART_PREFIX + name, texts[section], 0)
            except StoreConflictError:
                continue  # an attempt whose answer was lost has written the same text
            except StoreAnswerLostError:
                if await async_call(partial(self._store.get, PART_PREFIX + name)) is None:
                    raise

    async def _async_put(self, key: str, text: str, revision: int) -> None:
        await async_call(lambda: self._store.put(key, text, expected_revision=revision))

    async def async_delete_unused_parts(self, before: HeadRecord, after: HeadRecord) -> None:
        """Delete the parts that a record names and its successor does not."""
        for name in set(before.parts.values()) - set(after.parts.values()):
            try:
                await async_call(
                    partial(self._store.delete, PART_PREFIX + name, expected_revision=None)
                )
            except StoreError as err:
                _LOGGER.info("%s cannot delete an unused part: %s", _PREFIX, err)

    def recent_record(self, version: int) -> HeadRecord:
        """Return a recent head record; an empty one when it is no longer kept."""
        return self._recent_records.get(version, HeadRecord())

    def content_since(self, version: int) -> tuple[str, dict[str, str]]:
        """Return the head record as JSON, and the parts that a peer with `version` lacks.

        Both are empty before the first head record; the parts are given by name.
        """
        if self.record.version == 0:
            return "", {}
        present = set(self.recent_record(version).parts.values())
        names = [name for name in self.record.parts.values() if name not in present]
        return self.record.to_json(), {name: self._part_texts[name] for name in names}

    async def async_accept_content(self, head: str, parts: dict[str, str]) -> None:
        """Apply a peer's configuration if it is newer.

        Raises:
            MessageError: Parts of the configuration are missing.
        """
        record = HeadRecord.from_json(head)
        texts = self._part_texts | parts
        if any(name not in texts for name in record.parts.values()):
            raise MessageError("parts of the configuration are missing", step="configuration.take")
        await self._async_apply_record(record, texts)

    async def _async_watch(self, after_revision: int) -> WatchResult:
        return await async_call(
            lambda: self._store.watch(HEAD_KEY, after_revision, self._watch_wait_s)
        )

    async def _async_load_record(self, record: HeadRecord) -> None:
        if record.version <= self.record.version:
            return
        texts = dict(self._part_texts)
        for name in record.parts.values():
            if name not in texts:
                stored = await async_call(partial(self._store.get, PART_PREFIX + name))
                if stored is None:
                    _LOGGER.info(
                        "%s cannot load version %s: a part was deleted", _PREFIX, record.version
                    )
                    return  # a newer head record has replaced this one; the watch will return it
                texts[name] = stored.value
        await self._async_apply_record(record, texts)

    async def _async_apply_record(self, record: HeadRecord, texts: dict[str, str]) -> None:
        if record.version <= self.record.version:
            return
        head = None
        if record.content_version:
            configuration = join_parts({s: texts[name] for s, name in record.parts.items()})
            head = Head(record.version, record.content_version, configuration)
        self.record, self.head = record, head
        self._recent_records[record.version] = record
        if len(self._recent_records) > _RECENT_RECORDS_MAX:
            del self._recent_records[min(self._recent_records)]
        self._part_texts = {name: texts[name] for name in record.parts.values()}
        _LOGGER.info("%s applied version %s", _PREFIX, record.version)
        await self._announce(head)

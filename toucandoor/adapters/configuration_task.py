"""Controller task that follows the configuration in the store and proposes changes to it."""

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
_SWAPS_MAX = 20
_RECORDS_KEPT = 32


@dataclass(frozen=True, slots=True)
class Head:
    """The newest configuration that operators gave.

    Attributes:
        version: Version of the head record; what entries and peers acknowledge.
        content_version: What operators base their changes on.
    """

    version: int
    content_version: int
    configuration: Configuration


class ConfigurationTask:
    """Holds the newest configuration seen; never takes a lower version.

    Attributes:
        record: Newest head record of which the whole content is here.
        head: The configuration of that record, None before operators gave any.
        store_error: What went wrong with the last call, empty when nothing did.
    """

    def __init__(
        self, store: Store, watch_wait_s: float, announce: Callable[[Head | None], Awaitable[None]]
    ) -> None:
        self._store = store
        self._watch_wait_s = watch_wait_s
        self._announce = announce
        self.record = HeadRecord()
        self.head: Head | None = None
        self.store_error = "not asked yet"
        self._texts: dict[str, str] = {}
        self._earlier: dict[int, HeadRecord] = {}

    async def async_run(self) -> None:
        """Follow the head record for ever."""
        revision = 0
        while True:
            try:
                if revision == 0:
                    await self.async_read()
                result = await self._async_watch(revision)
                revision = result.revision
                self.store_error = ""
                for stored in result.changed:
                    await self._async_take_stored(HeadRecord.from_json(stored.value))
            except StoreError as err:
                revision = 0
                self.store_error = str(err)
                _LOGGER.warning("%s %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    async def async_read(self) -> tuple[HeadRecord, int]:
        """Read and take the head; return it with its revision, 0 when there is none.

        Raises:
            StoreError: The store could not be asked.
        """
        stored = await async_call(lambda: self._store.get(HEAD_KEY))
        if stored is None:
            return HeadRecord(), 0
        record = HeadRecord.from_json(stored.value)
        await self._async_take_stored(record)
        return record, stored.revision

    async def async_propose(
        self, base_version: int, configuration: Configuration, change_id: str = ""
    ) -> Head:
        """Write a new version on top of a base version; a change already made is only read back.

        Raises:
            StoreConflictError: Another operator's change came first.
            StoreAnswerLostError: It may have been written: repeat with the same change id.
            StoreError: The store could not be asked; nothing was written.
        """
        operation = OperationId(change_id or uuid.uuid4().hex)

        def change(record: HeadRecord) -> HeadRecord | None:
            if record.version_of(operation) is not None:
                return None
            return record.with_content(base_version, configuration, operation)

        texts = split_parts(configuration)
        record = await self.async_swap(change, texts)
        made = record.version_of(operation) or record.content_version
        return Head(record.version, made, configuration)

    async def async_swap(
        self, change: Callable[[HeadRecord], HeadRecord | None], texts: dict[str, str] | None = None
    ) -> HeadRecord:
        """Swap the head record, again and again while others win.

        Args:
            change: Returns the next record, or None when there is nothing to change.
            texts: Texts of the parts by section, where the content changes.

        Raises:
            StoreError: See its kinds.
        """
        for _ in range(_SWAPS_MAX):
            present, revision = await self.async_read()
            wanted = change(present)
            if wanted is None:
                return present
            try:
                await self._async_put_parts(present, wanted, texts or {})
                text = wanted.to_json()
                await self._async_put(HEAD_KEY, text, revision)
            except StoreConflictError:
                continue
            except StoreAnswerLostError:
                await self._async_read_back()
                continue
            await self._async_take_stored(wanted)
            return wanted
        raise StoreConflictError("too many others change it", step="configuration.swap")

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
        self, present: HeadRecord, wanted: HeadRecord, texts: dict[str, str]
    ) -> None:
        known = set(present.parts.values())
        for section, name in wanted.parts.items():
            if name in known:
                continue
            self._texts[name] = texts[section]
            try:
                await self._async_put(PART_PREFIX + name, texts[section], 0)
            except StoreConflictError:
                continue  # the same text, written by an attempt whose answer was lost
            except StoreAnswerLostError:
                if await async_call(partial(self._store.get, PART_PREFIX + name)) is None:
                    raise

    async def _async_put(self, key: str, text: str, revision: int) -> None:
        await async_call(lambda: self._store.put(key, text, expected_revision=revision))

    async def async_collect(self, before: HeadRecord, after: HeadRecord) -> None:
        """Delete the parts that a record named and its successor does not."""
        for name in set(before.parts.values()) - set(after.parts.values()):
            try:
                await async_call(
                    partial(self._store.delete, PART_PREFIX + name, expected_revision=None)
                )
            except StoreError as err:
                _LOGGER.info("%s part left behind: %s", _PREFIX, err)

    def earlier(self, version: int) -> HeadRecord:
        """Return a recent record, an empty one when it is not known any more."""
        return self._earlier.get(version, HeadRecord())

    def content_since(self, version: int) -> tuple[str, dict[str, str]]:
        """Return the record and the parts that a peer with a version lacks."""
        if self.record.version == 0:
            return "", {}
        there = set(self.earlier(version).parts.values())
        names = [name for name in self.record.parts.values() if name not in there]
        return self.record.to_json(), {name: self._texts[name] for name in names}

    async def async_take_content(self, head: str, parts: dict[str, str]) -> None:
        """Take a peer's configuration.

        Raises:
            MessageError: Parts are missing.
        """
        record = HeadRecord.from_json(head)
        texts = self._texts | parts
        if any(name not in texts for name in record.parts.values()):
            raise MessageError("parts are missing", step="configuration.take")
        await self._async_take_record(record, texts)

    async def _async_watch(self, after_revision: int) -> WatchResult:
        return await async_call(
            lambda: self._store.watch(HEAD_KEY, after_revision, self._watch_wait_s)
        )

    async def _async_take_stored(self, record: HeadRecord) -> None:
        if record.version <= self.record.version:
            return
        texts = dict(self._texts)
        for name in record.parts.values():
            if name not in texts:
                stored = await async_call(partial(self._store.get, PART_PREFIX + name))
                if stored is None:
                    _LOGGER.info("%s part of version %s is gone", _PREFIX, record.version)
                    return  # a newer head has replaced it and follows on the watch
                texts[name] = stored.value
        await self._async_take_record(record, texts)

    async def _async_take_record(self, record: HeadRecord, texts: dict[str, str]) -> None:
        if record.version <= self.record.version:
            return
        head = None
        if record.content_version:
            configuration = join_parts({s: texts[name] for s, name in record.parts.items()})
            head = Head(record.version, record.content_version, configuration)
        self.record, self.head = record, head
        self._earlier[record.version] = record
        if len(self._earlier) > _RECORDS_KEPT:
            del self._earlier[min(self._earlier)]
        self._texts = {name: texts[name] for name in record.parts.values()}
        _LOGGER.info("%s version %s taken", _PREFIX, record.version)
        await self._announce(head)

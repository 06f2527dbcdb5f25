"""Configuration task of a controller: records in the store that cannot be decoded."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from toucandoor.adapters.configuration_task import HEAD_KEY, PART_PREFIX, ConfigurationTask, Head
from toucandoor.adapters.store_client import StoredValue
from toucandoor.core.configuration.head import HeadRecord, split_parts
from toucandoor.core.configuration.models import Configuration
from toucandoor.exceptions import StoreError
from toucandoor.fakes.store import FakeStore
from toucandoor.ids import OperationId


class StoreOfFake:
    """The calls of the task that read, on the stand-in's dictionary."""

    def __init__(self) -> None:
        self.fake = FakeStore()

    def get(self, key: str) -> StoredValue | None:
        status, body = self.fake.get(key)
        return StoredValue(**body) if status == 200 else None

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> mock.Mock:
        _, body = self.fake.watch(prefix, after_revision, wait_s)
        changed = tuple(StoredValue(**item) for item in body["changed"])
        return mock.Mock(revision=body["revision"], changed=changed)

    def put(self, key: str, value: str) -> None:
        status, _ = self.fake.put(key, {"value": value})
        assert status == 200


class UnreadableRecordTest(unittest.IsolatedAsyncioTestCase):
    """One record that cannot be decoded must not end the task that follows the store."""

    async def asyncSetUp(self) -> None:
        self.store = StoreOfFake()
        self.announced: asyncio.Queue[Head | None] = asyncio.Queue()
        self.task = ConfigurationTask(self.store, 0.2, self.announced.put)  # type: ignore[arg-type]

    def write(self, version: int, *, part: str | None = None) -> None:
        """Write a head record and its parts; the text of the parts may be replaced."""
        configuration = Configuration()
        texts = split_parts(configuration)
        record = HeadRecord().with_content(0, configuration, OperationId(f"o{version}"))
        for section, name in record.parts.items():
            self.store.put(PART_PREFIX + name, texts[section] if part is None else part)
        self.store.put(HEAD_KEY, record.to_json())

    async def follow_until_announced(self) -> Head | None:
        running = asyncio.create_task(self.task.async_run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(20):
            return await self.announced.get()

    async def test_the_next_record_is_applied_after_a_malformed_one(self) -> None:
        for malformed in ("", "{", "[]", '{"version": "x"}', '{"version": 7, "parts": 3}'):
            with self.subTest(value=malformed):
                self.store.put(HEAD_KEY, malformed)
                with self.assertRaises(StoreError):
                    await self.task.async_read()
        running = asyncio.create_task(self.task.async_run())
        self.addCleanup(running.cancel)
        await asyncio.sleep(0.1)
        self.assertFalse(running.done())
        self.write(1)
        async with asyncio.timeout(20):
            head = await self.announced.get()
        assert head is not None
        self.assertEqual(head.content_version, 1)

    async def test_a_malformed_part_is_an_error_of_the_store(self) -> None:
        for malformed in ("", "{", '{"unknown": 1}', "7"):
            with self.subTest(value=malformed):
                self.store = StoreOfFake()
                self.task = ConfigurationTask(
                    self.store, 0.2, self.announced.put  # type: ignore[arg-type]
                )
                self.write(1, part=malformed)
                with self.assertRaises(StoreError):
                    await self.task.async_read()

    async def test_a_good_record_is_applied(self) -> None:
        self.write(1)
        head = await self.follow_until_announced()
        assert head is not None
        self.assertEqual(head.content_version, 1)


if __name__ == "__main__":
    unittest.main()

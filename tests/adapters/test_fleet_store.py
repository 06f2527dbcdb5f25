"""Records of the fleet in the store that cannot be decoded."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from toucandoor.adapters.fleet_maps import FleetMaps
from toucandoor.adapters.fleet_store import FleetStore
from toucandoor.adapters.store_client import StoredValue
from toucandoor.clock import ManualClock
from toucandoor.core.maintenance.lease import lease_key
from toucandoor.core.pools.const import KEY_ASSIGNMENT_PREFIX, KEY_LEDGER
from toucandoor.core.pools.models import StoreUnavailable, assignment_key
from toucandoor.exceptions import StoreError
from toucandoor.ids import DataCentreId

DATA_CENTRE = DataCentreId("dc-1")
MALFORMED = ("{", "[]", "7")
WRONG_FENCE = '{"fence": "x"}'


def store_with(**values: str) -> Any:
    """Return a store that has a value for every key, or for the given kinds of keys only."""
    store = mock.Mock()
    store.get.side_effect = lambda key: (
        StoredValue(key, values["any"], 1) if "any" in values else None
    )
    store.list.side_effect = lambda prefix: (
        (StoredValue(f"{prefix}{DATA_CENTRE}", values["listed"], 1),) if "listed" in values else ()
    )
    return store


class FleetStoreTest(unittest.TestCase):
    """Such a record counts as one that cannot be read now; no error leaves the adapter."""

    def test_a_lease(self) -> None:
        for value in ("", *MALFORMED, WRONG_FENCE):
            with self.subTest(value=value):
                key = lease_key(DATA_CENTRE)
                answer = FleetStore(store_with(any=value)).read_lease(key)
                self.assertEqual(answer, StoreUnavailable(key))

    def test_the_assignment_maps(self) -> None:
        for value in (*MALFORMED, WRONG_FENCE):
            with self.subTest(value=value):
                answer = FleetStore(store_with(listed=value)).read_fleet([DATA_CENTRE])
                self.assertEqual(answer, StoreUnavailable(KEY_ASSIGNMENT_PREFIX))

    def test_the_ledger_of_budgets(self) -> None:
        for value in MALFORMED:
            with self.subTest(value=value):
                fleet = FleetStore(store_with(any=value))
                answer = fleet.read_fleet_with_maps([DATA_CENTRE], {}, {})
                self.assertEqual(answer, StoreUnavailable(KEY_LEDGER))

    def test_the_event_log(self) -> None:
        for value in MALFORMED:
            with self.subTest(value=value):
                fleet = FleetStore(store_with(any=value))
                self.assertIsInstance(fleet.read_log(DATA_CENTRE), StoreUnavailable)
                with self.assertRaises(StoreError):
                    fleet.read_segments(DATA_CENTRE)


class FleetMapsTest(unittest.IsolatedAsyncioTestCase):
    """The task that follows the maps goes on after such a record."""

    async def test_the_next_record_is_watched(self) -> None:
        store = store_with(listed="{")
        watched = asyncio.Event()
        loop = asyncio.get_running_loop()

        def watch(*_: object) -> mock.Mock:
            loop.call_soon_threadsafe(watched.set)
            changed = (StoredValue(assignment_key(DATA_CENTRE), "7", 2),)
            return mock.Mock(revision=2, changed=changed)

        store.watch.side_effect = watch
        maps = FleetMaps(store, 0.1, ManualClock(), mock.AsyncMock())
        running = asyncio.create_task(maps.async_run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(20):
            await watched.wait()
        self.assertFalse(running.done())
        self.assertEqual(maps.maps, {})


if __name__ == "__main__":
    unittest.main()

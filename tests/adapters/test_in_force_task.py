"""Controller task of leases and acceptance: what it remembers of accepted versions."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from toucandoor.adapters.in_force_task import InForceTask
from toucandoor.adapters.settings import ControllerSettings
from toucandoor.clock import ManualClock
from toucandoor.core.configuration.head import HeadRecord
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.leases.models import EntrySlot
from toucandoor.ids import DataCentreId, EntryId, IncarnationId, OperationId

ADDRESS = "127.0.0.1:1"


class AcceptedVersionTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_accepted_version_is_not_tracked_anew(self) -> None:
        """Guards against commands that wait again for a grace period that has passed."""
        settings = ControllerSettings.model_validate(
            {
                "entry_id": "e-1",
                "data_centre": "dc-1",
                **dict.fromkeys(
                    ("link_address", "ops_address", "store_address", "vm_list_address"), ADDRESS
                ),
                **dict.fromkeys(("peer_secret", "operator_secret"), "sixteen-letters-"),
            }
        )
        slot = EntrySlot(EntryId("e-1"), DataCentreId("dc-1"), ADDRESS)
        record = HeadRecord(slots=(slot,)).with_content(0, Configuration(), OperationId("o"))
        clock = ManualClock()
        configuration = mock.Mock(record=record, head=None)
        task = InForceTask(settings, IncarnationId(1), configuration, clock)
        task.on_head_record(record)
        clock.advance(1000.0)
        task.node.on_store_read(record.version, clock.monotonic_s())
        self.assertEqual(await task.async_wait_accepted(record, 5.0), [])
        for _ in range(100):
            if not task.pending():
                break
            await asyncio.sleep(0.1)
        self.assertEqual(task.pending(), {})
        self.assertEqual(await task.async_wait_accepted(record, 0.0), [])


if __name__ == "__main__":
    unittest.main()

"""Controller task that reads the platform's VM list."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import urllib3

from toucandoor.adapters.threads import async_call
from toucandoor.ids import DataCentreId, VmId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_LOGGER = logging.getLogger(__name__)
_PREFIX = "vm list:"


class ListedState(Enum):
    """State of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the platform's VM list.

    Attributes:
        data_centre: Its data centre by the platform's list; None when the list gives none.
    """

    vm: VmId
    state: ListedState
    data_centre: DataCentreId | None = None


class VmListTask:
    """Reads the VM list periodically and announces each change.

    Args:
        address: ``IP:port`` of the platform's VM list.
        period_s: Time between two reads, in seconds.
        announce: Called with the list after each change.

    Attributes:
        listed: The VM list as last read.
        last_read_s: Time of the last successful read on the monotonic clock; None before the
            first.
    """

    def __init__(
        self,
        address: str,
        period_s: float,
        announce: Callable[[list[ListedVm]], Awaitable[None]],
    ) -> None:
        self._address = address
        self._period_s = period_s
        self._announce = announce
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self.listed: list[ListedVm] = []
        self.last_read_s: float | None = None

    async def async_run(self) -> None:
        """Read the list until cancelled; keep the last one while it cannot be read."""
        while True:
            try:
                listed = await async_call(self._read)
            except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as err:
                _LOGGER.warning("%s cannot read the platform's VM list: %s", _PREFIX, err)
            else:
                self.last_read_s = time.monotonic()
                if listed != self.listed:
                    self.listed = listed
                    await self._announce(listed)
            await asyncio.sleep(self._period_s)

    def _read(self) -> list[ListedVm]:
        response = self._http.request("GET", f"http://{self._address}/v1/vms")
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        vms = json.loads(response.data)["vms"]
        return [
            ListedVm(VmId(vm["id"]), ListedState(vm["state"]), vm.get("data_centre")) for vm in vms
        ]

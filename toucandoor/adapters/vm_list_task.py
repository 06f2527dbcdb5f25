"""Controller task that reads the platform's list of live and leaving VMs."""

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
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM of the platform's list.

    Attributes:
        data_centre: Where the platform says it is; None when it does not say.
    """

    vm: VmId
    state: ListedState
    data_centre: DataCentreId | None = None


class VmListTask:
    """Reads the list again and again and announces each change."""

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
        self.read_s: float | None = None

    async def async_run(self) -> None:
        """Read the list for ever; keep the last one while it cannot be read."""
        while True:
            try:
                listed = await async_call(self._read)
            except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as err:
                _LOGGER.warning("%s cannot be read: %s", _PREFIX, err)
            else:
                self.read_s = time.monotonic()
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

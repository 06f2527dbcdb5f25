"""Reads which data centres exist, for decisions that concern all of them."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.peers import NODE_PREFIX, decode_peers
from toucandoor.exceptions import ToucandoorError
from toucandoor.platform.operator_records import WORKER_PREFIX
from toucandoor.platform.workers import decode_worker

if TYPE_CHECKING:
    from toucandoor.adapters.peers import Peer
    from toucandoor.clock import Clock
    from toucandoor.core.records import RecordStore
    from toucandoor.core.scheduling.workers import VmPort
    from toucandoor.ids import DataCentreId

_LOGGER = logging.getLogger(__name__)

READ_INTERVAL_S: Final = 4.0
"""Shortest interval between reads, as for the nodes' records: each returns all backend servers'
entries and all VMs."""


class DataCentreDirectory:
    """Data centres of all nodes, backend servers and VMs. Safe to use from several threads.

    Args:
        store: The platform's store.
        vms: The platform's VM list; None if there is none.
        this_node: This node, whose own record may not be stored yet.
        clock: The clock.
    """

    def __init__(
        self, store: RecordStore, vms: VmPort | None, this_node: Peer, clock: Clock
    ) -> None:
        self._store = store
        self._vms = vms
        self._this_node = this_node
        self._clock = clock
        self._reading = threading.Lock()
        self._found: frozenset[DataCentreId] = frozenset()
        self._next_read_s = float("-inf")

    def data_centres(self) -> frozenset[DataCentreId]:
        """Return the data centres as of the last read; empty if it failed or there was none.

        Reads again after an interval. Only one caller at a time waits for that.
        """
        if self._reading.acquire(blocking=False):
            try:
                now_s = self._clock.monotonic_s()
                if now_s >= self._next_read_s:
                    self._next_read_s = now_s + READ_INTERVAL_S
                    self._found = self._read()
            finally:
                self._reading.release()
        return self._found

    def _read(self) -> frozenset[DataCentreId]:
        try:
            nodes = self._store.read_prefix(NODE_PREFIX).records
            servers = self._store.read_prefix(WORKER_PREFIX).records
            vms = self._vms.list() if self._vms is not None else ()
        except ToucandoorError as err:
            _LOGGER.info("data centres: reading nodes, servers and VMs failed: %s", err)
            return frozenset()
        found = {self._this_node.data_centre}
        found |= {peer.data_centre for peer in decode_peers(nodes, self._this_node.entry_id)}
        for record in servers:
            entry = decode_worker(record.key.removeprefix(WORKER_PREFIX), record.value)
            if entry is not None:
                found.add(entry.data_centre)
        return frozenset(found | {vm.data_centre for vm in vms})

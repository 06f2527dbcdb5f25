"""Order in which servers are filled with the tasks of one step.

A step is late if one of its tasks is, so a fault of a server or rack delays every job with a task
there. The fewer servers and racks a step uses, the fewer jobs each fault delays.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from toucandoor.core.jobs.models import Resources
    from toucandoor.core.scheduling.worker_view import WorkerView


class TaskGrouping(ABC):
    """Arranges equally good servers for the tasks of a step that are placed at once."""

    @abstractmethod
    def arranged(
        self, servers: Sequence[WorkerView], reserved: Resources, count: int
    ) -> Sequence[WorkerView]:
        """Return the servers in the order in which they are to be filled.

        Args:
            servers: Servers with room for a task, the fullest first.
            reserved: What a task reserves.
            count: Number of tasks to place.
        """


class FullestFirst(TaskGrouping):
    """Baseline: the fullest server is filled first, so that others stay empty."""

    def arranged(
        self, servers: Sequence[WorkerView], reserved: Resources, count: int
    ) -> Sequence[WorkerView]:
        """Return the servers as given."""
        return servers


class FewestServers(TaskGrouping):
    """Prefers one server with room for all tasks, then one rack; the fullest of them.

    Where there is neither, the fullest servers are filled first.
    """

    def arranged(
        self, servers: Sequence[WorkerView], reserved: Resources, count: int
    ) -> Sequence[WorkerView]:
        """Return the preferred servers first, then the others in their order."""
        needed = reserved.times(count)
        whole = next((server for server in servers if needed.fits_in(server.free)), None)
        if whole is not None:
            return [whole, *(server for server in servers if server is not whole)]
        room = {server.entry.worker_id: _room(server, reserved, count) for server in servers}
        racks: dict[str, int] = {}
        for server in servers:
            rack = server.entry.rack
            racks[rack] = racks.get(rack, 0) + room[server.entry.worker_id]
        chosen = next((rack for rack, tasks in racks.items() if rack and tasks >= count), None)
        if chosen is None:
            return servers
        inside = [server for server in servers if server.entry.rack == chosen]
        inside.sort(key=lambda server: -room[server.entry.worker_id])
        return [*inside, *(server for server in servers if server.entry.rack != chosen)]


def _room(server: WorkerView, reserved: Resources, count: int) -> int:
    """Return how many tasks fit on a server, at most `count`."""
    free = server.free
    rooms = [count]
    if reserved.cpu_millicores:
        rooms.append(free.cpu_millicores // reserved.cpu_millicores)
    if reserved.memory_mb:
        rooms.append(free.memory_mb // reserved.memory_mb)
    if reserved.gpus:
        rooms.append(free.gpus // reserved.gpus)
    return min(rooms)

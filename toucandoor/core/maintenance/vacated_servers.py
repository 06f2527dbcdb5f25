"""Which servers waves may vacate, and those whose tasks wait for the same kind of room."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from toucandoor.core.jobs.models import NO_RESOURCES
from toucandoor.core.scheduling.relocation import room_kind
from toucandoor.core.scheduling.worker_view import RunState

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from toucandoor.core.scheduling.relocation import RoomKind
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import VmId

_NOT_CONFIRMED: Final = (RunState.PLANNED, RunState.STARTING)


def blocked_servers(
    vacated: Mapping[VmId, WorkerView], without_room: Mapping[Run, RoomKind]
) -> dict[RoomKind, set[VmId]]:
    """Return the vacated servers with tasks without room, by the kind of room.

    Args:
        vacated: Servers that are vacated, by VM.
        without_room: Runs without room elsewhere, and the kind of room that each needs.
    """
    blocked: dict[RoomKind, set[VmId]] = {}
    for vm_id, worker in vacated.items() if without_room else ():
        for run in worker.runs.values():
            kind = without_room.get(run)
            if kind is not None:
                blocked.setdefault(kind, set()).add(vm_id)
    return blocked


def servers_to_give_back(
    vacated: Mapping[VmId, WorkerView], blocked: Mapping[RoomKind, AbstractSet[VmId]]
) -> set[VmId]:
    """Return of the servers that wait for the same kind of room all but the emptiest one."""
    found: set[VmId] = set()
    for waiting in blocked.values():
        found |= waiting - {min(waiting, key=lambda each: (len(vacated[each].runs), each))}
    return found


def may_be_vacated(worker: WorkerView) -> bool:
    """Return whether no long-running task is about to start on a server or has room held there."""
    return worker.held == NO_RESOURCES and not any(
        run.task.step.long_running and run.state in _NOT_CONFIRMED and not run.stop_requested
        for run in worker.runs.values()
    )


def has_kind(state: ScheduleState, worker: WorkerView | None, kinds: AbstractSet[RoomKind]) -> bool:
    """Return whether long-running tasks of a server need room of certain kinds.

    Args:
        state: The schedule.
        worker: The server; None if there is none.
        kinds: Kinds of room.
    """
    return bool(kinds and worker is not None) and any(
        run.task.step.long_running and room_kind(state, run.task) in kinds
        for run in (worker.runs.values() if worker is not None else ())
    )

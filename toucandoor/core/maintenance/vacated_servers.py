"""Servers vacated at the same time whose tasks wait for the same kind of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.scheduling.relocation import room_kind

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from toucandoor.core.scheduling.relocation import RoomKind
    from toucandoor.core.scheduling.state import ScheduleState
    from toucandoor.core.scheduling.worker_view import Run, WorkerView
    from toucandoor.ids import VmId


def blocked_beside_others(
    vacated: Mapping[VmId, WorkerView], without_room: Mapping[Run, RoomKind]
) -> dict[VmId, WorkerView]:
    """Return the vacated servers with tasks without room, but the emptiest one for each kind.

    Args:
        vacated: Servers that are vacated, by VM.
        without_room: Runs without room elsewhere, and the kind of room that each needs.
    """
    blocked: dict[RoomKind, dict[VmId, WorkerView]] = {}
    for vm_id, worker in vacated.items() if without_room else ():
        for run in worker.runs.values():
            kind = without_room.get(run)
            if kind is not None:
                blocked.setdefault(kind, {})[vm_id] = worker
    found: dict[VmId, WorkerView] = {}
    for waiting in blocked.values():
        first = min(waiting, key=lambda each: (len(waiting[each].runs), each))
        found |= {vm_id: worker for vm_id, worker in waiting.items() if vm_id != first}
    return found


def has_kind(state: ScheduleState, worker: WorkerView | None, kinds: AbstractSet[RoomKind]) -> bool:
    """Return whether long-running tasks of a server need room of certain kinds.

    Args:
        state: The schedule.
        worker: The server; None if there is none.
        kinds: Kinds of room.
    """
    return bool(kinds and worker is not None) and any(
        run.task.step.long_running and room_kind(state, run) in kinds
        for run in (worker.runs.values() if worker is not None else ())
    )

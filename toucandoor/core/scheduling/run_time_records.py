"""Record of the learned run times in the store, from which the next owner starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from toucandoor.core.records import Transaction
from toucandoor.core.run_times.learned import LearnedRunTimes
from toucandoor.core.run_times.snapshots import (
    RUN_TIMES_KEY,
    RunTimeSnapshots,
    restore_run_times,
)
from toucandoor.ids import QueueId

if TYPE_CHECKING:
    from toucandoor.core.scheduling.state import ScheduleState


class RunTimeRecords:
    """Writes snapshots of a schedule's run times; does nothing where they are not learned."""

    def __init__(self, state: ScheduleState) -> None:
        self._state = state
        model = state.run_times
        self._model = model if isinstance(model, LearnedRunTimes) else None
        self._snapshots = (
            None
            if self._model is None
            else RunTimeSnapshots(self._model, state.clock, self._address_of)
        )

    def _address_of(self, queue: str) -> str:
        identities = self._state.identities
        return identities.address_of(QueueId(queue)) or identities.queue_name(QueueId(queue))

    def commit(self) -> Transaction | None:
        """Return the write of a snapshot of the learned run times; None while none is due."""
        value = self._snapshots.due() if self._snapshots is not None else None
        if value is None:
            return None
        settings = self._state.settings
        return Transaction({settings.owner_key: settings.owner_revision}, {RUN_TIMES_KEY: value})

    def written(self, *, ok: bool) -> None:
        """Process the result of writing a snapshot."""
        if self._snapshots is not None:
            self._snapshots.written(ok=ok)

    def restore(self, value: bytes) -> int:
        """Start from the run times that a former owner has learned; return the number of kinds.

        Raises:
            msgspec.MsgspecError: The record can't be used; the run times start from the prior.
        """
        if self._model is None:
            return 0
        queue_at = self._state.identities.queue_at
        return restore_run_times(self._model, value, self._state.now_s, queue_at)

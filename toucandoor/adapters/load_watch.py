"""Follows the owner's overload reports in the store."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.pauses import jittered_s
from toucandoor.core.overload.records import LOAD_KEY
from toucandoor.core.records import HistoryLostError
from toucandoor.exceptions import ToucandoorError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.adapters.node_metrics import NodeMetrics
    from toucandoor.core.overload.followed_report import FollowedReport
    from toucandoor.core.records import Record, RecordStore

_LOGGER = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 5.0
"""Longest wait of a watch. A report that comes late because a connection is dead is too old by
then, and jobs are accepted."""
RETRY_PAUSE_S: Final = 0.5
"""Pause after a failed call to the store; reports are at least as far apart."""


class LoadWatch:
    """Thread that reads the reports; it ends with the process.

    Args:
        store: The platform's store.
        followed: Keeps the newest report.
        metrics: Metrics of the process.
    """

    def __init__(self, store: RecordStore, followed: FollowedReport, metrics: NodeMetrics) -> None:
        self._store = store
        self._followed = followed
        self._metrics = metrics
        self._stop = threading.Event()

    def start(self) -> None:
        """Start to follow the reports."""
        threading.Thread(target=self._run, name="load", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread after its present call to the store."""
        self._stop.set()

    def _run(self) -> None:
        revision: int | None = None
        failing = False
        while not self._stop.is_set():
            try:
                if revision is None:
                    snapshot = self._store.read_prefix(LOAD_KEY)
                    self._process(snapshot.records)
                    revision = snapshot.revision
                changes = self._store.watch(LOAD_KEY, revision, WATCH_WAIT_S)
                self._process(changes.written)
                revision = changes.revision
                failing = False
            except HistoryLostError:
                revision = None
            except ToucandoorError as err:
                if not failing:
                    _LOGGER.info("overload: following the reports failed: %s", err)
                failing = True
                self._stop.wait(jittered_s(RETRY_PAUSE_S))

    def _process(self, records: Iterable[Record]) -> None:
        for record in records:
            if record.key == LOAD_KEY:
                self._followed.on_record(record.value)
                self._metrics.set_ignored_load_reports(self._followed.ignored)

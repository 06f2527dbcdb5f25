"""Threads that carry out the engine's decisions on backend servers beside the callers' threads."""

from __future__ import annotations

import logging
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from toucandoor.core.attempts.models import (
    CloseAttempt,
    CloseConnections,
    QueryTask,
    StopTask,
    TaskQueried,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.adapters.worker_client import WorkerClient
    from toucandoor.core.requests.commands import EngineEvent, ServerDecision

_LOGGER = logging.getLogger(__name__)
_PREFIX = "errand:"
THREADS = 32


class Errands:
    """Asks, stops and probes on new connections and posts what came of it.

    Attributes:
        post: Takes the events; set before the first decision.
    """

    def __init__(self, workers: WorkerClient) -> None:
        self._workers = workers
        self._threads = ThreadPoolExecutor(THREADS, thread_name_prefix="errand")
        self.post: Callable[[EngineEvent], None] = lambda _event: None

    def perform(self, decision: ServerDecision) -> None:
        """Start carrying out a decision; closing connections does not block."""
        if isinstance(decision, (CloseAttempt, CloseConnections)):
            self._workers.perform(decision)
        else:
            self._threads.submit(self._run, decision)

    def _run(self, decision: ServerDecision) -> None:
        try:
            event = self._workers.perform(decision)
        except Exception:
            _LOGGER.exception("%s a decision was not carried out", _PREFIX)
            if not isinstance(decision, (QueryTask, StopTask)):
                return
            # The engine waits for a word on each question before it asks again.
            event = TaskQueried(decision.attempt_id, None)
        if event is not None:
            self.post(event)

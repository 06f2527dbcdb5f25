"""Thread pool for the engine's decisions that concern backend servers and no waiting caller."""

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
    from toucandoor.core.requests.commands import EngineEvent, WorkerDecision

_LOGGER = logging.getLogger(__name__)
_PREFIX = "worker decisions:"
THREADS = 32


class WorkerDecisionExecutor:
    """Queries, stops, preempts and probes on new connections, and posts the results as events.

    Attributes:
        post: Queues an event for the engine; must be set before the first decision.
    """

    def __init__(self, workers: WorkerClient) -> None:
        self._workers = workers
        self._threads = ThreadPoolExecutor(THREADS, thread_name_prefix="worker-decisions")
        self.post: Callable[[EngineEvent], None] = lambda _event: None

    def perform(self, decision: WorkerDecision) -> None:
        """Start executing a decision without blocking.

        Closing connections does not block and is done in the calling thread.
        """
        if isinstance(decision, (CloseAttempt, CloseConnections)):
            self._workers.perform(decision)
        else:
            self._threads.submit(self._run, decision)

    def _run(self, decision: WorkerDecision) -> None:
        try:
            event = self._workers.perform(decision)
        except Exception:
            _LOGGER.exception("%s failed to execute a decision on a backend server", _PREFIX)
            if not isinstance(decision, (QueryTask, StopTask)):
                return
            # The engine sends no new query for this attempt until it gets the result of this one.
            event = TaskQueried(decision.attempt_id, None)
        if event is not None:
            self.post(event)

"""Task that runs the request engine and passes its decisions to the waiting callers' threads."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import queue
from typing import TYPE_CHECKING

from toucandoor.core.attempts.models import FetchAnswer
from toucandoor.core.requests.commands import (
    CallerDecision,
    EngineDecision,
    EngineEvent,
    WorkerDecision,
)
from toucandoor.core.requests.journal import RequestJournal
from toucandoor.core.requests.models import Answer, Dispatch, Refuse, Submitted, Tick

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.core.requests.engine import RequestEngine
    from toucandoor.ids import RequestId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "engine:"
_TICK_PERIOD_S = 0.05

Mailbox = queue.SimpleQueue[CallerDecision]
_CALLER_DECISIONS = (Dispatch, Answer, Refuse, FetchAnswer)


class EngineLoop:
    """Passes events to the engine one at a time and each decision to the thread that executes it.

    Args:
        perform: Starts executing, without blocking, a decision that is not for a caller's thread.

    Attributes:
        journal: Record of recent requests and the decisions on them.
    """

    def __init__(
        self,
        engine: RequestEngine,
        clock: Clock,
        perform: Callable[[WorkerDecision], None] = lambda _decision: None,
    ) -> None:
        self._perform = perform
        self._engine = engine
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._inbox: asyncio.Queue[EngineEvent | Callable[[], None]] = asyncio.Queue()
        self.journal = RequestJournal()
        self._mailboxes: dict[RequestId, Mailbox] = {}
        self._all_answered = asyncio.Event()

    def post(self, event: EngineEvent) -> None:
        """Queue an event for the engine; safe to call from any thread."""
        self._loop.call_soon_threadsafe(self._inbox.put_nowait, event)

    def submit(self, event: Submitted) -> Mailbox:
        """Queue a new request; return the mailbox that its caller's thread reads decisions from."""
        mailbox: Mailbox = queue.SimpleQueue()
        self._mailboxes[event.request.request_id] = mailbox
        self.post(event)
        return mailbox

    def remove_mailbox(self, request_id: RequestId) -> None:
        """Remove the mailbox of a request that has its final answer."""
        self._mailboxes.pop(request_id, None)
        if not self._mailboxes:
            self._loop.call_soon_threadsafe(self._all_answered.set)

    def call_soon(self, action: Callable[[], None]) -> None:
        """Schedule an action to run between two events.

        Must be called from the asyncio loop's thread.
        """
        self._inbox.put_nowait(action)

    async def async_run(self) -> None:
        """Handle events and ticks until cancelled."""
        next_tick_s = self._clock.monotonic_s() + _TICK_PERIOD_S
        while True:
            wait_s = next_tick_s - self._clock.monotonic_s()
            try:
                event = await asyncio.wait_for(self._inbox.get(), max(0.0, wait_s))
            except TimeoutError:
                event = Tick()
                next_tick_s = self._clock.monotonic_s() + _TICK_PERIOD_S
            if callable(event):
                event()
            else:
                self._handle_event(event)

    def _handle_event(self, event: EngineEvent) -> None:
        now_s = self._clock.monotonic_s()
        try:
            decisions = self._engine.handle(event, now_s)
        except Exception:
            _LOGGER.exception(
                "%s the engine failed to handle an event; the event is dropped", _PREFIX
            )
            return
        self.journal.record(event, decisions, now_s)
        self._route_decisions(decisions)

    async def async_refuse_all(self, within_s: float) -> None:
        """Refuse all open requests and wait for the callers' threads to send the answers.

        Args:
            within_s: Maximum time to wait, in seconds.
        """
        self._route_decisions(self._engine.refuse_all(self._clock.monotonic_s()))
        self._all_answered.clear()
        if self._mailboxes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_answered.wait(), within_s)

    def _route_decisions(self, decisions: list[EngineDecision]) -> None:
        for decision in decisions:
            if not isinstance(decision, _CALLER_DECISIONS):
                self._perform(decision)
                continue
            mailbox = self._mailboxes.get(decision.request_id)
            if mailbox is not None:
                mailbox.put(decision)

"""Task that owns the request engine and the mailboxes of the waiting callers' threads."""

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
    ServerDecision,
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
_TO_CALLER = (Dispatch, Answer, Refuse, FetchAnswer)


class EngineLoop:
    """Feeds events to the engine one at a time and hands each decision to its caller's thread.

    Args:
        perform: Carries out, without blocking, a decision that no caller's thread waits for.

    Attributes:
        journal: What became of recent requests.
    """

    def __init__(
        self,
        engine: RequestEngine,
        clock: Clock,
        perform: Callable[[ServerDecision], None] = lambda _decision: None,
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
        """Pass an event on from any thread."""
        self._loop.call_soon_threadsafe(self._inbox.put_nowait, event)

    def submit(self, event: Submitted) -> Mailbox:
        """Pass a new request on from its caller's thread; its decisions come to the mailbox."""
        mailbox: Mailbox = queue.SimpleQueue()
        self._mailboxes[event.request.request_id] = mailbox
        self.post(event)
        return mailbox

    def forget(self, request_id: RequestId) -> None:
        """Drop the mailbox of a request that was answered."""
        self._mailboxes.pop(request_id, None)
        if not self._mailboxes:
            self._loop.call_soon_threadsafe(self._all_answered.set)

    def call(self, action: Callable[[], None]) -> None:
        """Run an action between two events, from the loop's own thread."""
        self._inbox.put_nowait(action)

    async def async_run(self) -> None:
        """Handle events and ticks for ever."""
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
                self._deliver(event)

    def _deliver(self, event: EngineEvent) -> None:
        now_s = self._clock.monotonic_s()
        try:
            decisions = self._engine.handle(event, now_s)
        except Exception:
            _LOGGER.exception("%s an event failed", _PREFIX)
            return
        self.journal.record(event, decisions, now_s)
        self._hand_out(decisions)

    async def async_give_up_all(self, within_s: float) -> None:
        """Give every request its final answer and wait for the callers' threads to pass it on."""
        self._hand_out(self._engine.refuse_all(self._clock.monotonic_s()))
        self._all_answered.clear()
        if self._mailboxes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._all_answered.wait(), within_s)

    def _hand_out(self, decisions: list[EngineDecision]) -> None:
        for decision in decisions:
            if not isinstance(decision, _TO_CALLER):
                self._perform(decision)
                continue
            mailbox = self._mailboxes.get(decision.request_id)
            if mailbox is not None:
                mailbox.put(decision)

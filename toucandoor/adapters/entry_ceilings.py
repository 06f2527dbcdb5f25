"""Entry task that exchanges permits through the controller on the same VM."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import TYPE_CHECKING, Any, Final, cast

from toucandoor.ceiling_messages import CeilingEnvelope
from toucandoor.core.ceilings.entry import EntryPermits, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from toucandoor.clock import Clock
    from toucandoor.core.ceilings.models import Envelope
    from toucandoor.ids import TeamId

_TICK_PERIOD_S: Final = 0.05


def to_mail(envelope: Envelope) -> CeilingEnvelope:
    """Return an envelope as a message between processes."""
    return CeilingEnvelope(envelope.to, cast(Any, envelope.message))


class EntryCeilings:
    """Feeds messages, demand and time to the entry's permits, between two events of the engine.

    Args:
        call: Runs an action between two events of the engine.
        post: Sends a message to the controller, or drops it while there is no link.

    Attributes:
        waiting: Waiting requests of each team, kept by the queues.
    """

    def __init__(
        self,
        permits: EntryPermits,
        clock: Clock,
        call: Callable[[Callable[[], None]], None],
        post: Callable[[CeilingEnvelope], None],
    ) -> None:
        self.waiting: Counter[TeamId] = Counter()
        self._permits = permits
        self._clock = clock
        self._call = call
        self._post = post
        self._left = asyncio.Event()

    async def async_run(self) -> None:
        """Tick for ever."""
        while True:
            self._call(self._tick)
            await asyncio.sleep(_TICK_PERIOD_S)

    async def async_leave(self, within_s: float) -> None:
        """Hand all permits back for a planned stop, and say so."""
        self._call(self._permits.start_leaving)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._left.wait(), within_s)

    def take(self, mail: CeilingEnvelope) -> None:
        """Handle a message from the controller."""
        self._call(lambda: self._take(mail))

    def _take(self, mail: CeilingEnvelope) -> None:
        now_s = self._clock.monotonic_s()
        self._send(self._permits.on_message(mail.message, now_s))
        self._tick()

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        for team, waiting in self.waiting.items():
            self._permits.set_waiting(team, waiting, now_s)
        was_left = self._permits.state is MemberState.LEFT
        self._send(self._permits.tick(now_s))
        if was_left:
            self._left.set()

    def _send(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            self._post(to_mail(envelope))

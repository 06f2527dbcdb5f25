"""Entry task that exchanges ceiling messages through the controller on the same VM."""

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


def to_ceiling_envelope(envelope: Envelope) -> CeilingEnvelope:
    """Return the message that carries an envelope between processes."""
    return CeilingEnvelope(envelope.to, cast(Any, envelope.message))


class EntryCeilings:
    """Passes messages, demand and the time to the entry's permits, in the engine's event loop.

    Args:
        call: Runs an action between two events of the request engine.
        send: Sends a message to the controller, or drops it while the link is closed.

    Attributes:
        waiting: Number of waiting requests of each team; the queues keep it up to date.
    """

    def __init__(
        self,
        permits: EntryPermits,
        clock: Clock,
        call: Callable[[Callable[[], None]], None],
        send: Callable[[CeilingEnvelope], None],
    ) -> None:
        self.waiting: Counter[TeamId] = Counter()
        self._permits = permits
        self._clock = clock
        self._call = call
        self._send_message = send
        self._leave_completed = asyncio.Event()

    async def async_run(self) -> None:
        """Run the permits' ticks until cancelled."""
        while True:
            self._call(self._tick)
            await asyncio.sleep(_TICK_PERIOD_S)

    async def async_leave(self, within_s: float) -> None:
        """Return all permits for a planned stop; wait at most `within_s` until that is done."""
        self._call(self._permits.start_leaving)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._leave_completed.wait(), within_s)

    def on_message(self, envelope: CeilingEnvelope) -> None:
        """Handle a message from the controller."""
        self._call(lambda: self._handle_message(envelope))

    def _handle_message(self, envelope: CeilingEnvelope) -> None:
        now_s = self._clock.monotonic_s()
        self._send_all(self._permits.on_message(envelope.message, now_s))
        self._tick()

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        for team, waiting in self.waiting.items():
            self._permits.set_waiting(team, waiting, now_s)
        has_left = self._permits.state is MemberState.LEFT
        self._send_all(self._permits.tick(now_s))
        if has_left:
            self._leave_completed.set()

    def _send_all(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            self._send_message(to_ceiling_envelope(envelope))

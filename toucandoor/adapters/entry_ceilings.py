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


def to_wire_envelope(envelope: Envelope) -> CeilingEnvelope:
    """Return an envelope as the message that is sent between processes."""
    return CeilingEnvelope(envelope.to, cast(Any, envelope.message))


class EntryCeilings:
    """Updates the entry's permits with messages, demand and time, between two engine events.

    Args:
        call_soon: Schedules an action to run between two engine events.
        post: Sends a message to the controller, or drops it while there is no link.

    Attributes:
        waiting: Number of waiting requests of each team, updated by the queues.
    """

    def __init__(
        self,
        permits: EntryPermits,
        clock: Clock,
        call_soon: Callable[[Callable[[], None]], None],
        post: Callable[[CeilingEnvelope], None],
    ) -> None:
        self.waiting: Counter[TeamId] = Counter()
        self._permits = permits
        self._clock = clock
        self._call_soon = call_soon
        self._post = post
        self._leave_notified = asyncio.Event()

    async def async_run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._call_soon(self._tick)
            await asyncio.sleep(_TICK_PERIOD_S)

    async def async_leave(self, within_s: float) -> None:
        """Return all permits for a planned stop, and wait until the coordinator was notified.

        Args:
            within_s: Maximum time to wait, in seconds.
        """
        self._call_soon(self._permits.start_leaving)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._leave_notified.wait(), within_s)

    def on_message(self, envelope: CeilingEnvelope) -> None:
        """Handle a message from the controller."""
        self._call_soon(lambda: self._handle_message(envelope))

    def _handle_message(self, envelope: CeilingEnvelope) -> None:
        now_s = self._clock.monotonic_s()
        self._send(self._permits.on_message(envelope.message, now_s))
        self._tick()

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        for team, waiting in self.waiting.items():
            self._permits.set_waiting(team, waiting, now_s)
        # In this state, each tick sends the leave notice to the coordinator.
        sends_notice = self._permits.state is MemberState.LEFT
        self._send(self._permits.tick(now_s))
        if sends_notice:
            self._leave_notified.set()

    def _send(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            self._post(to_wire_envelope(envelope))

"""Operators' requests to evacuate data centres, and how owners learn of them, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from toucandoor.core.evacuation.requests import EvacuationEvent, EvacuationRequests
from toucandoor.fakes.virtual_calls import STORE_CALL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.fakes.virtual_calls import OwnerTerm
    from toucandoor.ids import DataCentreId

POLL_PAUSE_S = 0.05
"""Pause between two polls, which stand for the store's watches."""


@dataclass(slots=True)
class ConfirmedRequest:
    """A request as the operator sees it.

    Attributes:
        data_centre: The data centre.
        confirmed_s: When the store confirmed it.
        ended_s: When the store confirmed its end; infinity before that.
    """

    data_centre: DataCentreId
    confirmed_s: float
    ended_s: float = float("inf")


class VirtualOperators:
    """Writes requests to the store, and passes them to owners with faults.

    Args:
        clock: The virtual clock.
        schedule: Runs an action after a delay in seconds of virtual time.
        schedule_event: Passes an event to an owner after a delay in seconds of virtual time.

    Attributes:
        confirmed: All requests so far.
        down_until_s: Time until which the store answers no reads of these records.
        choose_delay_s: Returns the delay of an answer, in seconds.
        reads_again: Returns whether the whole records are also read beside a poll, as after a lost
            history or by a new owner in the same process.
        disagreements: Times at which an owner's knowledge was not that of the latest revision that
            it had received.
    """

    def __init__(
        self,
        clock: Clock,
        schedule: Callable[[float, Callable[[], None]], None],
        schedule_event: Callable[[OwnerTerm, float, Callable[[], None]], None],
    ) -> None:
        self.confirmed: list[ConfirmedRequest] = []
        self.down_until_s = 0.0
        self.choose_delay_s: Callable[[], float] = lambda: STORE_CALL_S
        self.reads_again: Callable[[], bool] = lambda: False
        self.disagreements: list[float] = []
        self._clock = clock
        self._schedule = schedule
        self._schedule_event = schedule_event
        self._history: list[EvacuationEvent] = []

    def request(self, data_centre: DataCentreId) -> None:
        """Request the evacuation of a data centre."""
        self._history.append(EvacuationEvent(data_centre, len(self._history) + 1))
        self.confirmed.append(ConfirmedRequest(data_centre, self._clock.monotonic_s()))

    def withdraw(self, data_centre: DataCentreId) -> None:
        """End the request for a data centre."""
        self._history.append(EvacuationEvent(data_centre, len(self._history) + 1, ended=True))
        for each in self.confirmed:
            if each.data_centre == data_centre:
                each.ended_s = min(each.ended_s, self._clock.monotonic_s())

    def in_force(self, revision: int | None = None) -> list[EvacuationEvent]:
        """Return the records as of a revision; None for the present ones."""
        found: dict[DataCentreId, EvacuationEvent] = {}
        for event in self._history[:revision]:
            if event.ended:
                found.pop(event.data_centre, None)
            else:
                found[event.data_centre] = event
        return list(found.values())

    def follow(self, owner: OwnerTerm, requests: EvacuationRequests) -> None:
        """Read the records for a new owner, then pass it their changes."""
        now_s = self._clock.monotonic_s()
        requests.on_read(self.in_force(), len(self._history), now_s, now_s)
        _Follower(self, owner, requests, len(self._history)).poll()


class _Follower:
    """Passes changes of the records to one owner."""

    def __init__(
        self,
        operators: VirtualOperators,
        owner: OwnerTerm,
        requests: EvacuationRequests,
        revision: int,
    ) -> None:
        self._operators = operators
        self._owner = owner
        self._requests = requests
        self._polled = revision
        self._received = revision

    def poll(self) -> None:
        """Poll once, and again after the answer."""
        operators = self._operators
        now_s = operators._clock.monotonic_s()
        if not self._owner.alive:
            return
        if now_s < operators.down_until_s or now_s < self._owner.paused_until_s:
            operators._schedule(POLL_PAUSE_S, self.poll)
            return
        if operators.reads_again() or self._requests.needs_read:
            operators._schedule(operators.choose_delay_s(), self._read)
        events = operators._history[self._polled :]
        revision = len(operators._history)
        self._polled = revision

        def arrive() -> None:
            self._requests.on_changes(events, revision, now_s, operators._clock.monotonic_s())
            self._check(revision)
            operators._schedule(POLL_PAUSE_S, self.poll)

        operators._schedule_event(self._owner, operators.choose_delay_s(), arrive)

    def _read(self) -> None:
        operators = self._operators
        sent_s = operators._clock.monotonic_s()
        if sent_s < operators.down_until_s:
            return
        found, revision = operators.in_force(), len(operators._history)

        def arrive() -> None:
            self._requests.on_read(found, revision, sent_s, operators._clock.monotonic_s())
            self._check(revision)

        operators._schedule_event(self._owner, STORE_CALL_S, arrive)

    def _check(self, revision: int) -> None:
        self._received = max(self._received, revision)
        expected = {each.data_centre for each in self._operators.in_force(self._received)}
        if self._requests.in_force.keys() != expected:
            self._operators.disagreements.append(self._operators._clock.monotonic_s())

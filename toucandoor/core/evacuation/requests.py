"""Data centres that operators have asked to evacuate, as the store has confirmed them."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.ids import DataCentreId


@dataclass(frozen=True, slots=True)
class EvacuationRequest:
    """A request to send nothing more to the backend servers of a data centre.

    Attributes:
        data_centre: The data centre.
        revision: Revision of the store at which the request was last written.
        seen_s: When this process first saw the request, on the monotonic clock.
    """

    data_centre: DataCentreId
    revision: int
    seen_s: float


@dataclass(frozen=True, slots=True)
class EvacuationEvent:
    """A change of a request, as a watch of the store returns it.

    Attributes:
        data_centre: The data centre.
        revision: Revision of the change.
        ended: Whether the request was deleted; otherwise it was written.
        invalid: Whether its value is invalid, so that it changes nothing.
    """

    data_centre: DataCentreId
    revision: int
    ended: bool = False
    invalid: bool = False


class EvacuationRequests:
    """Requests in force. Safe to use from several threads.

    The node's watch of the operators' records and the reads of a new owner both report to it, each
    from its own thread. Their answers may arrive in another order than the store gave them, so each
    carries its revision, and nothing older replaces what is known.

    Args:
        bound_s: Time from the confirmation of a request after which no task may be started in its
            data centre.
        move_s: Time that a VM's move takes.
    """

    def __init__(self, bound_s: float, move_s: float) -> None:
        self.move_s = move_s
        self.fresh_s = bound_s / 2
        """Age of the knowledge up to which an owner may start tasks: a watch of 1 s, its retry and
        a margin. The other half of the bound is left for orders on their way."""
        self.ignored = 0
        """Records that were ignored because their values are invalid."""
        self._lock = threading.Lock()
        self._in_force: Mapping[DataCentreId, EvacuationRequest] = MappingProxyType({})
        self._known_revision = 0
        self._confirmed_s = float("-inf")

    @property
    def in_force(self) -> Mapping[DataCentreId, EvacuationRequest]:
        """The requests by data centre; the mapping never changes, a later one replaces it."""
        return self._in_force

    def known_within(self, now_s: float, within_s: float) -> bool:
        """Return whether the store has confirmed the present state that recently.

        Args:
            now_s: The monotonic time.
            within_s: Greatest age of the confirmation, in seconds.
        """
        return now_s - self._confirmed_s <= within_s

    def may_start(self, data_centre: DataCentreId, now_s: float) -> bool:
        """Return whether a task may be started in a data centre now."""
        return self.known_within(now_s, self.fresh_s) and data_centre not in self._in_force

    def on_read(
        self, found: Iterable[EvacuationEvent], revision: int, as_of_s: float, now_s: float
    ) -> None:
        """Process a full read of the records; requests that are missing from it have ended.

        Args:
            found: The records that were read.
            revision: Revision of the store as of the read.
            as_of_s: When the read was sent; the state that it returns is not older.
            now_s: The monotonic time.
        """
        with self._lock:
            if revision >= self._known_revision:
                self._known_revision = revision
                valid = [each for each in found if self._accept(each)]
                self._in_force = MappingProxyType(
                    {each.data_centre: self._request(each, now_s) for each in valid}
                )
            self._confirmed_s = max(self._confirmed_s, as_of_s)

    def on_changes(
        self, events: Iterable[EvacuationEvent], revision: int, as_of_s: float, now_s: float
    ) -> None:
        """Process the answer of a watch.

        Args:
            events: Changes of requests; those up to the revision that is known are ignored, such as
                changes before the last full read.
            revision: Revision up to which the watch has returned all changes.
            as_of_s: Monotonic time up to which the store had surely no change beyond these.
            now_s: The monotonic time.
        """
        with self._lock:
            in_force = dict(self._in_force)
            # A deletion has at least the revision of the write that it follows.
            for event in sorted(events, key=lambda each: (each.revision, each.ended)):
                if event.revision <= self._known_revision:
                    continue
                if not event.ended and not self._accept(event):
                    continue
                if event.ended:
                    in_force.pop(event.data_centre, None)
                else:
                    in_force[event.data_centre] = self._request(event, now_s)
            if in_force != self._in_force:
                self._in_force = MappingProxyType(in_force)
            self._known_revision = max(self._known_revision, revision)
            self._confirmed_s = max(self._confirmed_s, as_of_s)

    def _accept(self, event: EvacuationEvent) -> bool:
        """Return whether a record counts; an invalid one doesn't end a request in force."""
        self.ignored += event.invalid
        return not event.invalid or event.data_centre in self._in_force

    def _request(self, event: EvacuationEvent, now_s: float) -> EvacuationRequest:
        known = self._in_force.get(event.data_centre)
        seen_s = now_s if known is None else known.seen_s
        return EvacuationRequest(event.data_centre, event.revision, seen_s)

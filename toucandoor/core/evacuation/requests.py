"""Data centres that operators have asked to evacuate, as the store has confirmed them."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from toucandoor.ids import DataCentreId

_LOGGER = logging.getLogger(__name__)

UNKNOWN_MAX: Final = 64
"""Most requests for data centres that are not known to exist; ten times the data centres of the
target size. A faulty script may write thousands, each of which costs the owner a status."""
KNOWN_MAX: Final = 256
"""Most data centres that count as known; servers name theirs themselves."""


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

    Requests for known data centres are always kept. Of the others, the newest beyond a bound are
    dropped. From then on, a data centre that becomes known gets no start until the records have
    been read again, as its request may be among those dropped.

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
        """Records that were ignored because they are invalid or too many."""
        self._lock = threading.Lock()
        self._in_force: Mapping[DataCentreId, EvacuationRequest] = MappingProxyType({})
        self._known: frozenset[DataCentreId] = frozenset()
        # Data centres whose requests have surely been kept; None while none has been dropped.
        self._checked: frozenset[DataCentreId] | None = None
        self._known_revision = 0
        self._confirmed_s = float("-inf")

    @property
    def in_force(self) -> Mapping[DataCentreId, EvacuationRequest]:
        """The requests by data centre; the mapping never changes, a later one replaces it."""
        return self._in_force

    @property
    def known(self) -> frozenset[DataCentreId]:
        """Data centres that exist."""
        return self._known

    @property
    def needs_read(self) -> bool:
        """Whether the request for a data centre may have been dropped before it became known."""
        checked = self._checked
        return checked is not None and not self._known <= checked

    def add_known(self, data_centres: Iterable[DataCentreId]) -> None:
        """Add data centres that have servers, VMs or nodes."""
        with self._lock:
            new = sorted(set(data_centres) - self._known)
            if new:
                self._known |= frozenset(new[: KNOWN_MAX - len(self._known)])

    def known_within(self, now_s: float, within_s: float) -> bool:
        """Return whether the store has confirmed the present state that recently.

        Args:
            now_s: The monotonic time.
            within_s: Greatest age of the confirmation, in seconds.
        """
        return now_s - self._confirmed_s <= within_s

    def may_start(self, data_centre: DataCentreId, now_s: float) -> bool:
        """Return whether a task may be started in a data centre now."""
        checked = self._checked
        if checked is not None and data_centre not in checked:
            return False
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
                read = {each.data_centre: self._request(each, now_s) for each in valid}
                dropped = self._drop_surplus(read)
                self._in_force = MappingProxyType(read)
                self._set_checked(self._known if dropped else None)
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
            if self._drop_surplus(in_force) and self._checked is None:
                self._set_checked(self._known)
            if in_force != self._in_force:
                self._in_force = MappingProxyType(in_force)
            self._known_revision = max(self._known_revision, revision)
            self._confirmed_s = max(self._confirmed_s, as_of_s)

    def _drop_surplus(self, requests: dict[DataCentreId, EvacuationRequest]) -> bool:
        """Drop requests for unknown data centres beyond the bound; return whether there were any.

        Those in force are kept first, then those that were written first.
        """
        unknown = requests.keys() - self._known
        surplus = sorted(
            unknown, key=lambda each: (each not in self._in_force, requests[each].revision)
        )[UNKNOWN_MAX:]
        for data_centre in surplus:
            del requests[data_centre]
        self.ignored += len(surplus)
        return bool(surplus)

    def _set_checked(self, checked: frozenset[DataCentreId] | None) -> None:
        if (checked is None) is not (self._checked is None):
            _LOGGER.log(
                logging.INFO if checked is None else logging.ERROR,
                (
                    "evacuation: all requests are kept again"
                    if checked is None
                    else "evacuation: too many requests; some for unknown data centres are ignored"
                ),
            )
        self._checked = checked

    def _accept(self, event: EvacuationEvent) -> bool:
        """Return whether a record counts; an invalid one doesn't end a request in force."""
        self.ignored += event.invalid
        return not event.invalid or event.data_centre in self._in_force

    def _request(self, event: EvacuationEvent, now_s: float) -> EvacuationRequest:
        known = self._in_force.get(event.data_centre)
        seen_s = now_s if known is None else known.seen_s
        return EvacuationRequest(event.data_centre, event.revision, seen_s)

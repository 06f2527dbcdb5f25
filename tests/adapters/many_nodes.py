"""Threads of 40 nodes that call the store, each driven alone on one virtual time line."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from toucandoor.adapters.configuration_watch import ConfigurationWatch
from toucandoor.adapters.load_watch import LoadWatch
from toucandoor.adapters.owner_task import OwnerTask
from toucandoor.adapters.peers import NODE_PREFIX, NodeRecord, Peer, PeerDirectory
from toucandoor.clock import ManualClock
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import (
    Changes,
    Record,
    RecordStore,
    Snapshot,
    StoreLease,
    Transaction,
    TransactionConflictError,
)
from toucandoor.exceptions import StoreUnavailableError
from toucandoor.fakes.virtual_calls import STORE_CALL_S
from toucandoor.ids import DataCentreId, EntryId, StoreLeaseId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

NODES = 40
DATA_CENTRE = DataCentreId("d")
_OWNED, _VACATED, _CLAIMED = 1, 2, 3
"""Revisions of the ownership record."""


@dataclass
class TimeLine:
    """What happens to the store, in seconds of virtual time.

    Attributes:
        down_s: Begin of an outage; infinite for none.
        up_s: End of it.
        vacated_s: When the ownership record is removed.
        claimed_s: When a node has claimed it.
        end_s: End of the observation.
        calls: Time, kind and prefix of each call of a node.
    """

    down_s: float = inf
    up_s: float = inf
    vacated_s: float = inf
    claimed_s: float = inf
    end_s: float = 10.0
    calls: list[tuple[float, str, str]] = field(default_factory=list)

    def revision(self, at_s: float) -> int:
        """Return the revision of the ownership record."""
        if at_s >= self.claimed_s:
            return _CLAIMED
        return _VACATED if at_s >= self.vacated_s else _OWNED

    def calls_within(self, from_s: float, for_s: float) -> Counter[str]:
        """Return the number of calls by kind."""
        return Counter(kind for at_s, kind, _ in self.calls if from_s <= at_s < from_s + for_s)

    def busiest(self, from_s: float, for_s: float, window_s: float) -> int:
        """Return the most calls in a window."""
        times = [at_s for at_s, _, _ in self.calls if from_s <= at_s < from_s + for_s]
        return max((sum(t <= u < t + window_s for u in times) for t in times), default=0)


class _Store(RecordStore):
    """One thread's calls to the store."""

    def __init__(self, line: TimeLine, clock: ManualClock) -> None:
        self._line = line
        self._clock = clock

    def _call(self, kind: str, prefix: str = "") -> float:
        self._line.calls.append((self._clock.monotonic_s(), kind, prefix))
        self._clock.advance(STORE_CALL_S / 2)
        arrived_s = self._clock.monotonic_s()
        self._clock.advance(STORE_CALL_S / 2)
        if self._line.down_s <= arrived_s < self._line.up_s:
            raise StoreUnavailableError("503", step="store")
        return arrived_s

    def read(self, key: str) -> Record | None:
        self._call("read", key)
        return None

    def read_pages(self, prefix: str) -> Iterator[Snapshot]:
        arrived_s = self._call("read", prefix)
        revision = self._line.revision(arrived_s)
        records: tuple[Record, ...] = ()
        if prefix == OWNER_KEY and revision != _VACATED:
            records = (Record(OWNER_KEY, b"{}", revision, revision),)
        elif prefix == NODE_PREFIX:
            value = msgspec.json.encode(NodeRecord("10.0.0.1:1", DATA_CENTRE, 1.0, 100.0))
            records = tuple(
                Record(f"{NODE_PREFIX}{number:02}", value, number + 1, number + 1)
                for number in range(NODES)
            )
        yield Snapshot(records, revision)

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        arrived_s = self._call("watch", prefix)
        line, until_s = self._line, arrived_s + wait_s
        changed_s = until_s
        if prefix == OWNER_KEY:
            times = {_VACATED: line.vacated_s, _CLAIMED: line.claimed_s}
            later_s = [at_s for revision, at_s in times.items() if revision > after_revision]
            changed_s = max(arrived_s, min(later_s, default=inf))
        answered_s = min(until_s, changed_s)
        if arrived_s < line.down_s < answered_s:
            self._clock.advance_to(line.down_s)
            raise StoreUnavailableError("503", step="store")
        self._clock.advance_to(answered_s + STORE_CALL_S / 2)
        revision = line.revision(answered_s)
        if prefix != OWNER_KEY or revision <= after_revision:
            return Changes((), (), after_revision)
        if revision == _VACATED:
            return Changes((), (OWNER_KEY,), revision)
        return Changes((Record(OWNER_KEY, b"{}", revision, revision),), (), revision)

    def write(self, transaction: Transaction) -> int:
        arrived_s = self._call("write", next(iter(transaction.writes)))
        if OWNER_KEY in transaction.writes and self._line.revision(arrived_s) != _VACATED:
            raise TransactionConflictError("claimed", step="write")
        return _CLAIMED

    def grant_lease(self, ttl_s: float) -> StoreLease:
        self._call("grant_lease")
        return StoreLease(StoreLeaseId(1), ttl_s)

    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        self._call("renew_lease")

    def end_lease(self, lease_id: StoreLeaseId) -> None:
        self._call("end_lease")


class _Stop:
    """Event of a thread that is set at the end of the observation."""

    def __init__(self, line: TimeLine, clock: ManualClock) -> None:
        self._line = line
        self._clock = clock

    def is_set(self) -> bool:
        return self._clock.monotonic_s() >= self._line.end_s

    def wait(self, timeout_s: float) -> bool:
        self._clock.advance(timeout_s)
        return self.is_set()


def _drive(thread: object, line: TimeLine, clock: ManualClock) -> None:
    thread._stop = _Stop(line, clock)  # type: ignore[attr-defined]
    thread._run()  # type: ignore[attr-defined]


def run_watches(line: TimeLine, seed: int) -> float:
    """Run the other watches of one node; return when it has noticed the store's return."""
    random.seed(seed)
    answers_s: list[float] = []

    def clock(later_s_max: float) -> ManualClock:
        made = ManualClock()
        made.advance(random.uniform(0, later_s_max))
        return made

    configuration_clock = clock(1.0)
    watch = ConfigurationWatch(_Store(line, configuration_clock), configuration_clock)
    watch.outages = mock.Mock()
    watch.outages.on_answer = answers_s.append
    _drive(watch, line, configuration_clock)
    peers_clock = clock(4.0)
    this_node = Peer(EntryId(f"{seed:02}"), "10.0.0.1:1", DATA_CENTRE)
    _drive(PeerDirectory(_Store(line, peers_clock), this_node), line, peers_clock)
    load_clock = clock(5.0)
    _drive(LoadWatch(_Store(line, load_clock), mock.Mock(), mock.Mock()), line, load_clock)
    return min(each for each in answers_s if each >= line.up_s)


def _claim_s(line: TimeLine, number: int, seed: int) -> float:
    """Run one node's thread that claims the ownership; return when its claim succeeded."""
    random.seed(seed * NODES + number)
    clock = ManualClock()
    clock.advance(random.uniform(0, 1))
    claimed: list[float] = []

    class Term:
        def __init__(self, *_: object) -> None:
            claimed.append(clock.monotonic_s())

        def serve(self) -> None:
            clock.advance_to(line.end_s)

    settings = mock.Mock(processor_cores=1.0, link_mbps=100.0, data_centre=DATA_CENTRE)
    dependencies = mock.Mock(
        entry_id=EntryId(f"{number:02}"), clock=clock, store=_Store(line, clock), settings=settings
    )
    dependencies.configuration.evacuations = None
    with (
        mock.patch("toucandoor.adapters.owner_task.OwnerTerm", Term),
        mock.patch("toucandoor.adapters.owner_task.threading"),
    ):
        _drive(OwnerTask(dependencies), line, clock)
    return min(claimed, default=inf)


def run_claims(line: TimeLine, nodes: Iterable[int], seed: int) -> None:
    """Run the claims of nodes; the first that the store receives wins.

    The first pass finds that one: nothing that the nodes see differs before its claim.
    """
    calls = line.calls[:]
    line.claimed_s = min(_claim_s(line, number, seed) for number in nodes) - STORE_CALL_S / 2
    line.calls[:] = calls
    for number in nodes:
        _claim_s(line, number, seed)

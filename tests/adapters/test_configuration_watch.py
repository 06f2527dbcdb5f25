"""A node's view of the store: how soon its return is noticed, and what peers give meanwhile."""

from __future__ import annotations

import threading
import time
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec

from toucandoor.adapters.configuration_watch import LARGE_BYTES, ConfigurationWatch
from toucandoor.adapters.peers import Peer, PeerDirectory
from toucandoor.clock import BootClock, ManualClock
from toucandoor.core.evacuation.requests import EvacuationRequests
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import Changes, Record, RecordStore, Snapshot, StoreLease, Transaction
from toucandoor.exceptions import StoreAnswerLostError, StoreUnavailableError
from toucandoor.ids import DataCentreId, EntryId, StoreLeaseId
from toucandoor.platform.operator_records import decode_configuration

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

SILENT_CALL_S = 2.0
"""Time-out of a call that gets no answer."""
NOTICED_WITHIN_S = 0.3
"""Time within which submissions must be accepted again after an outage of the store."""


def _configuration(version: int, *, large: bool = False) -> bytes:
    return msgspec.json.encode({"version": version, "padding": "x" * LARGE_BYTES * large})


class _Store(RecordStore):
    """Store with a configuration that refuses all calls while it is down."""

    def __init__(self) -> None:
        self.down = False
        self.silent = False
        self.watch_waits_s: list[float] = []
        self.version = 1
        self.watch_outlasts_time_out = False
        self.large = False
        self.read_keys: list[str] = []

    def _check(self) -> None:
        if self.silent:
            time.sleep(SILENT_CALL_S)
            raise StoreAnswerLostError("no answer", step="store")
        if self.down:
            raise StoreUnavailableError("503", step="store")

    def read(self, key: str) -> Record | None:
        self.read_keys.append(key)
        self._check()
        return None

    def read_pages(self, prefix: str) -> Iterator[Snapshot]:
        self._check()
        value = _configuration(self.version, large=self.large)
        yield Snapshot((Record("op/config", value, 5, 5),), 5)

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        until_s = time.monotonic() + wait_s
        while time.monotonic() < until_s and not (self.down or self.silent):
            time.sleep(0.005)
        self._check()
        if self.watch_outlasts_time_out:
            raise StoreAnswerLostError("Read timed out", step="store")
        self.watch_waits_s.append(wait_s)
        return Changes((), (), after_revision)

    def write(self, transaction: Transaction) -> int:
        self._check()
        return 6

    def grant_lease(self, ttl_s: float) -> StoreLease:
        self._check()
        return StoreLease(StoreLeaseId(1), ttl_s)

    def renew_lease(self, lease_id: StoreLeaseId, timeout_s: float | None = None) -> None:
        self._check()

    def end_lease(self, lease_id: StoreLeaseId) -> None:
        self._check()


def _wait_until(condition: Callable[[], bool], within_s: float) -> bool:
    until_s = time.monotonic() + within_s
    while time.monotonic() < until_s:
        if condition():
            return True
        time.sleep(0.005)
    return condition()


class StoreReturnTest(unittest.TestCase):
    """The store refuses all calls for a while."""

    def setUp(self) -> None:
        self.store = _Store()

    def watch(self, fetch: Callable[[int], bytes] | None = None) -> ConfigurationWatch:
        watch = ConfigurationWatch(self.store, BootClock(), fetch)
        self.addCleanup(watch.stop)
        watch.start()
        return watch

    def test_the_return_is_noticed_before_a_watch_has_waited_for_a_change(self) -> None:
        # Nodes used to refuse submissions for 1.1 to 1.7 s after the store had returned.
        watch = self.watch()
        self.assertTrue(_wait_until(lambda: watch.store_reachable, 5))
        self.store.down = True
        self.assertTrue(_wait_until(lambda: not watch.store_reachable, 5))
        self.store.down = False
        self.assertTrue(_wait_until(lambda: watch.store_reachable, NOTICED_WITHIN_S))

    def test_a_call_that_is_lost_before_the_return_does_not_delay_it(self) -> None:
        # After an outage without answers, nodes refused submissions for up to 0.9 s more.
        watch = self.watch()
        self.assertTrue(_wait_until(lambda: watch.store_reachable, 5))
        self.store.silent = True
        self.assertTrue(_wait_until(lambda: not watch.store_reachable, 10))
        sent_s = watch._call_sent_s
        self.assertTrue(_wait_until(lambda: watch._call_sent_s > sent_s, 10))
        self.store.silent = False
        self.assertTrue(_wait_until(lambda: watch.store_reachable, NOTICED_WITHIN_S))

    def test_peers_that_do_not_answer_do_not_delay_it(self) -> None:
        asked, release = threading.Event(), threading.Event()
        self.addCleanup(release.set)

        def fetch(_newer_than: int) -> bytes:
            asked.set()
            release.wait(10)
            return b""

        watch = self.watch(fetch)
        self.assertTrue(_wait_until(lambda: watch.store_reachable, 5))
        self.store.down = True
        self.assertTrue(asked.wait(5))
        self.assertTrue(_wait_until(lambda: not watch.store_reachable, 5))
        self.store.down = False
        self.assertTrue(_wait_until(lambda: watch.store_reachable, NOTICED_WITHIN_S))

    # Guards against a node that keeps an old configuration, as the versions that it has missed take
    # longer than a time-out on its link, and are asked for again and again.
    def test_a_large_configuration_is_read_after_an_outage_instead_of_its_versions(self) -> None:
        self.store.large = True
        watch = self.watch()
        self.assertTrue(_wait_until(lambda: watch.store_reachable, 5))
        self.store.down = True
        self.assertTrue(_wait_until(lambda: not watch.store_reachable, 5))
        self.store.version, self.store.watch_outlasts_time_out = 9, True
        self.store.down = False

        def in_force() -> bool:
            return watch.current is not None and watch.current.version == 9

        self.assertTrue(_wait_until(in_force, 5))

    # Guards against links full of configurations that are read to see whether the store is back.
    def test_a_silent_store_is_probed_with_a_small_record(self) -> None:
        watch = self.watch()
        self.assertTrue(_wait_until(lambda: watch.store_reachable, 5))
        self.store.silent = True
        self.assertTrue(_wait_until(lambda: len(self.store.read_keys) > 3, 10))
        self.assertEqual(set(self.store.read_keys), {OWNER_KEY})

    def test_a_node_that_starts_meanwhile_takes_the_configuration_of_a_peer(self) -> None:
        self.store.down = True
        watch = self.watch(lambda _newer_than: _configuration(7))
        self.assertTrue(_wait_until(lambda: watch.current is not None, 5))
        assert watch.current is not None
        self.assertEqual(watch.current.version, 7)


class NamesTest(unittest.TestCase):
    """Versions that give a name to another queue or team than before."""

    def setUp(self) -> None:
        self.watch = ConfigurationWatch(_Store(), ManualClock())

    def names_since(self, version: int, routes: dict[str, str], teams: dict[str, str]) -> int:
        record = {
            "version": version,
            "routes": [
                {"name": name, "prefix": prefix, "service": "s"} for name, prefix in routes.items()
            ],
            "tenants": [{"name": name, "api_keys": [key]} for name, key in teams.items()],
        }
        configuration = decode_configuration(msgspec.json.encode(record))
        assert configuration is not None
        self.watch.update(configuration, "store")
        assert self.watch.current is not None
        return int(self.watch.current.names_since)

    # Guards against reports that are read by the names of another version.
    def test_the_newest_version_that_reused_a_name_is_known(self) -> None:
        routes, teams = {"a": "/1/", "b": "/2/"}, {"s": "k", "t": "l"}
        self.assertEqual(self.names_since(3, routes, teams), 0)
        self.assertEqual(self.names_since(5, routes | {"c": "/3/"}, teams | {"u": "m"}), 0)
        self.assertEqual(self.names_since(6, {"b": "/1/", "a": "/2/"}, teams), 6)
        self.assertEqual(self.names_since(9, {"b": "/1/", "a": "/2/"}, teams), 6)
        self.assertEqual(self.names_since(10, {"b": "/1/"}, {"s": "l", "t": "k"}), 10)


class EvacuationsTest(unittest.TestCase):
    """Requests to evacuate a data centre, from full reads and watches of the store."""

    def setUp(self) -> None:
        self.store = mock.Mock()
        self.clock = ManualClock()
        self.requests = EvacuationRequests(5.0, 1.5)
        self.watch = ConfigurationWatch(self.store, self.clock, None, self.requests)

    def in_force(self) -> set[str]:
        return set(self.requests.in_force)

    def test_writes_and_deletions_are_passed_on(self) -> None:
        # Deletions used to be ignored; an evacuation would then never end.
        records = (
            Record("op/config", _configuration(1), 5, 5),
            Record("op/evacuate/a", b"{}", 6, 6),
        )
        self.store.read_prefix.return_value = Snapshot(records, 6)
        self.watch._read_all()
        self.assertEqual(self.in_force(), {"a"})
        written = (Record("op/evacuate/b", b"{}", 8, 8),)
        changes = Changes(written, ("op/wave/1", "op/evacuate/a"), 9, (7, 9))
        self.watch._apply_evacuations(changes, self.clock.monotonic_s(), 1.0)
        self.assertEqual(self.in_force(), {"b"})

    def test_knowledge_is_dated_by_what_the_store_has_confirmed(self) -> None:
        # An answer that was on its way for seconds must not count as fresh.
        sent_s = self.clock.monotonic_s()
        self.clock.advance(4.0)
        for changes, confirmed_s in (
            (Changes((Record("op/evacuate/b", b"{}", 8, 8),), (), 8), sent_s),
            (Changes((), (), 8), sent_s + 1.0),
        ):
            self.watch._apply_evacuations(changes, sent_s, 1.0)
            self.assertTrue(self.requests.known_within(confirmed_s + 2.5, 2.5))
            self.assertFalse(self.requests.known_within(confirmed_s + 2.6, 2.5))

    def test_dropped_requests_are_read_again_once_their_data_centre_is_known(self) -> None:
        records = [Record(f"op/evacuate/x{each}", b"{}", each, each) for each in range(1, 200)]
        self.store.read_prefix.return_value = Snapshot(tuple(records), 200)
        self.store.watch.return_value = Changes((), (), 200)
        self.watch.start()
        self.addCleanup(self.watch.stop)
        self.assertTrue(_wait_until(lambda: len(self.in_force()) > 0, 5))
        self.assertNotIn("x199", self.in_force())
        self.requests.add_known([DataCentreId("x199")])
        self.assertTrue(_wait_until(lambda: "x199" in self.in_force(), 5))

    def test_without_the_switch_they_are_ignored(self) -> None:
        watch = ConfigurationWatch(self.store, self.clock)
        self.store.read_prefix.return_value = Snapshot((Record("op/evacuate/a", b"{}", 6, 6),), 6)
        watch._read_all()
        watch._apply_evacuations(Changes((), ("op/evacuate/a",), 7), 0.0, 1.0)
        self.assertIsNone(watch.evacuations)


class SeedsTest(unittest.TestCase):
    """Peers of a node that has not reached the store since its start."""

    def test_a_node_without_records_of_peers_uses_the_seeds_but_itself(self) -> None:
        # Restarted nodes refused calls for lack of a configuration though their peers had one.
        this_node, seed = (
            Peer(EntryId(name), f"10.0.0.{number}:7000", DataCentreId("d"))
            for number, name in enumerate(("this", "seed"))
        )
        directory = PeerDirectory(_Store(), this_node, (this_node, seed))
        self.assertEqual(directory.nearest_first(), [seed])


if __name__ == "__main__":
    unittest.main()
